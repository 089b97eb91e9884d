"""Gateway: forward requests to the servers of services by host and path."""
