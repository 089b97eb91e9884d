"""Guard against unknown, removed or foreign keys that are accepted."""

import pytest
from gateway_fakes import make_accounts

from wisteriaworks.accounts.directory import KeyDirectory

KEYS = KeyDirectory(make_accounts(a=["k1", "k2"], b=["k3"], c=[]))


@pytest.mark.parametrize(
    ("key", "account"),
    [("k1", "a"), ("k2", "a"), ("k3", "b"), ("k", None), ("K1", None), ("", None)],
)
def test_key_names_its_account(key, account):
    owner = KEYS.find(key.encode())
    assert (owner and owner.account) == account
    if owner:
        assert KEYS.is_valid(*owner)
        assert key.encode() not in owner.key_id
        assert not KEYS.is_valid("c", owner.key_id)


def test_removed_key_is_not_valid_in_the_next_version():
    owner = KEYS.find(b"k1")
    assert not KeyDirectory(make_accounts(a=["k2"], b=["k3"])).is_valid(*owner)
    assert KeyDirectory({}).is_valid(*owner)
    assert not KeyDirectory({}).requires_keys
