"""Decisions on how load and traffic are spread over servers and failure domains."""
