"""Requests and responses of the console."""

import http.cookies
import re
import urllib.parse
from dataclasses import dataclass

from wisteriaworks.asgi import read_body
from wisteriaworks.console_sessions import Session
from wisteriaworks.errors import WisteriaError

COOKIE = "wisteria_session"
# The largest forms, a search with the names of its indexes and a caller with the
# names of its searches, are far smaller.
MAX_BODY_BYTES = 65536
MAX_FIELDS = 2000
SECURITY_HEADERS = (
    (
        b"content-security-policy",
        b"default-src 'none'; style-src 'self'; form-action 'self'; "
        b"base-uri 'none'; frame-ancestors 'none'",
    ),
    (b"x-frame-options", b"DENY"),
    (b"x-content-type-options", b"nosniff"),
    # With no-referrer, browsers would send "Origin: null" with the console's own
    # forms.
    (b"referrer-policy", b"same-origin"),
    (b"cache-control", b"no-store"),
)
# 18 digits fit into the 64-bit integers of the messages to control, and are below
# the number of digits that Python's ``int()`` accepts.
_NUMBER = re.compile("[0-9]{1,18}")
_MAX_ECHOED_CHARS = 40
HTML = b"text/html; charset=utf-8"
CSS = b"text/css; charset=utf-8"


class PageError(WisteriaError):
    """Report a request that is answered with an error page."""

    def __init__(self, status, message):
        super().__init__(message)
        self.status = status


@dataclass(frozen=True, slots=True)
class Request:
    """Represent one request; ``query`` and ``form`` list all values by name."""

    method: str
    path: str
    query: dict[str, list[str]]
    form: dict[str, list[str]]
    host: str
    origin: str
    cookie: str
    session: Session | None = None

    def get_query(self, name):
        """Return the first value of a query parameter, or an empty text."""
        return self.query.get(name, [""])[0]

    def get_field(self, name):
        """Return the first value of a form field, or an empty text."""
        return self.form.get(name, [""])[0]


@dataclass(frozen=True, slots=True)
class Response:
    """Represent one response."""

    status: int
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ((b"content-type", HTML),)


async def read_request(scope, receive):
    """Read a request. Raises PageError or RequestError."""
    headers = {name: value.decode("latin-1") for name, value in scope["headers"]}
    body = b""
    if scope["method"] == "POST":
        body = await read_body(receive, MAX_BODY_BYTES)
    return Request(
        method=scope["method"],
        path=scope["path"],
        query=_parse_fields(scope["query_string"]),
        form=_parse_fields(body),
        host=headers.get(b"host", ""),
        origin=headers.get(b"origin", ""),
        cookie=_read_cookie(headers.get(b"cookie", "")),
    )


def parse_number(text):
    """Parse a non-negative integer. Raises PageError."""
    if not _NUMBER.fullmatch(text):
        raise PageError(
            400,
            f"Expected a whole number of 1 to 18 digits, "
            f"got {text[:_MAX_ECHOED_CHARS]!r}.",
        )
    return int(text)


def is_cross_origin(req):
    """Return whether a request has an Origin header of another site."""
    # The scheme is not compared, since a reverse proxy may terminate TLS.
    return bool(req.origin) and urllib.parse.urlsplit(req.origin).netloc != req.host


def redirect(path, *headers, **query):
    """Return a redirect to a page of the console."""
    if query:
        path = f"{path}?{urllib.parse.urlencode(query)}"
    return Response(303, b"", ((b"location", path.encode()), *headers))


def set_cookie(value):
    """Return the header that sets the session cookie."""
    text = f"{COOKIE}={value}; Path=/; HttpOnly; SameSite=Strict"
    return b"set-cookie", text.encode()


def _parse_fields(data):
    try:
        return urllib.parse.parse_qs(
            data.decode(),
            keep_blank_values=True,
            errors="strict",
            max_num_fields=MAX_FIELDS,
        )
    except ValueError as exc:
        raise PageError(
            400, f"Expected a query and a form in UTF-8 with up to {MAX_FIELDS} fields."
        ) from exc


def _read_cookie(text):
    try:
        cookies = http.cookies.SimpleCookie(text)
    except http.cookies.CookieError:
        return ""
    return cookies[COOKIE].value if COOKIE in cookies else ""
