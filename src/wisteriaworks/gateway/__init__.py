"""Pass requests on to the servers of services, over routes by host and path."""
