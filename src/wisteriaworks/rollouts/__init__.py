"""Move a service to servers of another version, and back if that version is bad."""
