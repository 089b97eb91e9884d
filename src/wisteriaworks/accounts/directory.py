"""Find the client account of a key in one version of the configuration. No I/O.

Load pattern: each request on a route that is not public carries a key. A look-up
takes one hash and one dictionary access, whatever the number of accounts.
"""

import hashlib
from typing import NamedTuple

# An id identifies a key within its account. Two keys of an account have the same id
# with a probability of 2**-64.
KEY_ID_BYTES = 8


def hash_key(key):
    """Return the SHA-256 hash of a key, as bytes."""
    return hashlib.sha256(key).digest()


class KeyOwner(NamedTuple):
    """Name the account of a key, and the key by the first bytes of its hash."""

    account: str
    key_id: bytes


class KeyDirectory:
    """Map the hashes of keys to accounts.

    The look-up by hash takes a time that does not depend on how much of a key is
    right, so it tells nothing about the keys.
    """

    def __init__(self, accounts):
        # Without accounts, requests need no key.
        self.requires_keys = bool(accounts)
        self._owners = {
            digest: KeyOwner(name, digest[:KEY_ID_BYTES])
            for name, account in accounts.items()
            for digest in map(bytes.fromhex, account.key_sha256)
        }
        self._valid = frozenset(self._owners.values())

    def find(self, key):
        """Return the KeyOwner of a key, given as bytes, or None."""
        return self._owners.get(hash_key(key))

    def is_valid(self, account, key_id):
        """Return whether an account has a key with an id, or no key is required."""
        return not self.requires_keys or KeyOwner(account, key_id) in self._valid
