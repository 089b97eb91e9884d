"""Check operators' passwords and store their sessions in memory."""

import hashlib
import hmac
import re
import secrets
from dataclasses import dataclass, field

from wisteriaworks.console_drafts import Draft
from wisteriaworks.errors import SettingsError
from wisteriaworks.generated.messages import ProposeConfiguration

COOKIE_BYTES = 32
_SHA256 = re.compile("[0-9a-f]{64}")
# Hash that is compared if the operator's name is unknown, so that the response time
# does not reveal which names exist. No known password has this hash.
_UNMATCHABLE_HASH = "0" * 64


@dataclass(slots=True)
class Session:
    """Store the draft and the proposals of one signed-in operator."""

    operator: str
    expires_at: float
    draft: Draft | None = None
    # Changes that are not accepted yet, by operation id, so that a form that is
    # sent again sends the same change.
    proposals: dict[str, ProposeConfiguration] = field(default_factory=dict)
    # Accepted version by operation id, to answer a form that is sent again.
    accepted: dict[str, int] = field(default_factory=dict)


class SessionStore:
    """Store sessions by cookie; ``clock()`` returns seconds."""

    def __init__(self, lifetime_s, clock):
        self._lifetime_s = lifetime_s
        self._clock = clock
        self._key = secrets.token_bytes(COOKIE_BYTES)
        self._sessions = {}

    def open(self, operator):
        """Create a session and return its cookie."""
        self._drop_expired()
        cookie = create_cookie()
        expires_at = self._clock() + self._lifetime_s
        self._sessions[cookie] = Session(operator, expires_at)
        return cookie

    def find(self, cookie):
        """Return the session of a cookie, or None if it is unknown or expired."""
        session = self._sessions.get(cookie)
        if session is None or session.expires_at <= self._clock():
            return None
        return session

    def renew(self, session):
        """Extend a session after a request of its operator."""
        session.expires_at = self._clock() + self._lifetime_s

    def close(self, cookie):
        """Delete a session and its draft."""
        self._sessions.pop(cookie, None)

    def create_token(self, cookie):
        """Return the token that protects forms against cross-site requests."""
        return hmac.new(self._key, cookie.encode(), hashlib.sha256).hexdigest()

    def is_valid_token(self, cookie, token):
        """Return whether a form's token belongs to the cookie."""
        expected = self.create_token(cookie)
        return bool(cookie) and _is_equal(expected, token)

    def _drop_expired(self):
        now = self._clock()
        live = {c: s for c, s in self._sessions.items() if s.expires_at > now}
        self._sessions = live


def create_cookie():
    """Return a random cookie value that cannot be guessed."""
    return secrets.token_urlsafe(COOKIE_BYTES)


def is_valid_password(operators, name, password):
    """Return whether a name and a password match an operator."""
    digest = hashlib.sha256(password.encode()).hexdigest()
    matches = _is_equal(operators.get(name, _UNMATCHABLE_HASH), digest)
    return matches and name in operators


def check_operators(operators):
    """Raise SettingsError for an empty name or a hash that no password can match."""
    for name, digest in operators.items():
        if not name or not _SHA256.fullmatch(digest):
            raise SettingsError(
                f"operators.{name}: expected a name and 64 hexadecimal digits "
                "in lower case"
            )


def _is_equal(expected, given):
    return hmac.compare_digest(expected.encode(), given.encode())
