"""Client accounts: their keys, and the lease under which a gateway uses keys."""
