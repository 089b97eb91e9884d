"""HTTP server for clients that are not trusted: bounded memory, descriptors, time."""
