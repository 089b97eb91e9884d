"""Limits on the requests of client accounts, over all gateways."""
