"""Adapter for the users' platform: its names, formats and calls.

Nothing here decides; each wire name is decoded once, into types whose fields
say what they hold.
"""
