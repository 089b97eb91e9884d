"""Guard against sessions and tokens that are guessable, shared or never expire."""

import hashlib

import pytest

from wisteriaworks.console_sessions import (
    SessionStore,
    check_operators,
    create_cookie,
    is_valid_password,
)
from wisteriaworks.errors import SettingsError

OPERATORS = {"mira": hashlib.sha256(b"secret").hexdigest()}


@pytest.mark.parametrize(
    ("name", "password", "expected"),
    [
        ("mira", "secret", True),
        ("mira", "Secret", False),
        ("mira", OPERATORS["mira"], False),
        ("nobody", "secret", False),
        ("", "", False),
    ],
)
def test_only_the_password_of_the_operator_matches(name, password, expected):
    assert is_valid_password(OPERATORS, name, password) is expected


@pytest.mark.parametrize(
    "operators", [{"": "a" * 64}, {"a": ""}, {"a": "A" * 64}, {"a": "secret"}]
)
def test_a_hash_that_nothing_matches_is_refused(operators):
    with pytest.raises(SettingsError):
        check_operators(operators)


def test_a_session_ends_when_it_is_not_renewed():
    now = [0.0]
    store = SessionStore(60, lambda: now[0])
    cookie, other = store.open("mira"), store.open("mira")
    now[0] = 59.0
    store.renew(store.find(cookie))
    now[0] = 60.0
    assert store.find(cookie).operator == "mira"
    assert store.find(other) is None and store.find("") is None
    store.close(cookie)
    assert store.find(cookie) is None


def test_a_token_belongs_to_one_cookie_and_one_process():
    store, other = SessionStore(60, float), SessionStore(60, float)
    cookie = create_cookie()
    token = store.create_token(cookie)
    assert store.is_valid_token(cookie, token)
    assert not store.is_valid_token(create_cookie(), token)
    assert not other.is_valid_token(cookie, token)
    assert not store.is_valid_token("", store.create_token(""))
