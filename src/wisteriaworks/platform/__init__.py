"""Adapter for the platform that runs wisteriaworks: its names, formats and calls.

The adapter only translates. Each wire name is decoded in one place, into types with
descriptive field names.
"""
