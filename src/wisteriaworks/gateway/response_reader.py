"""Parse the bytes of one connection into the answers of a server."""

import httptools

from wisteriaworks.gateway.model import ServerAnswer
from wisteriaworks.http_status import MalformedStatusError, is_final_status

# A larger answer is treated as malformed, since the answers of all running requests
# have to fit into memory.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Bytes of heads, interim answers, chunk sizes and trailers, beside the body. A body
# in small chunks has several bytes of framing for each of its own.
MAX_FRAMING_BYTES = 64 * 1024
MAX_FRAMING_PER_BODY_BYTE = 8
MAX_HEADERS = 256
# A longer body is passed on as it was collected.
MAX_COPIED_BYTES = 16 * 1024
_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
_BODILESS = (204, 304)
_CHUNKED = b"chunked"


class MalformedAnswerError(Exception):
    """Report bytes that are not a valid answer, or that belong to no request."""


def select_end_to_end_headers(headers):
    """Return the end-to-end headers, without the hop-by-hop ones."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    dropped = _HOP_BY_HOP | named
    return tuple((n, v) for n, v in headers if n.lower() not in dropped)


class ResponseReader:
    """Parse answers one after another.

    ``response_format`` defines the header names of the servers' protocol. Call
    ``expect`` before each request is sent; bytes without an expected answer are an
    error.
    """

    def __init__(self, response_format):
        self._format = response_format
        self._parser = httptools.HttpResponseParser(self)
        self._method = None
        self._is_complete = False
        self._max_body_bytes = MAX_ANSWER_BYTES
        self._received = 0
        self._reset()

    def expect(self, method, max_body_bytes=MAX_ANSWER_BYTES):
        """Prepare for the answer to a request with this method."""
        self._max_body_bytes = max_body_bytes
        self._received = 0
        self._method = method
        self._is_complete = False
        self._reset()

    def feed(self, data):
        """Return the answer if it is complete, or None.

        Raises MalformedAnswerError.
        """
        if self._method is None:
            raise MalformedAnswerError(
                "received bytes although no request is in progress"
            )
        self._received += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise MalformedAnswerError("an upgrade that was not asked for") from exc
        except httptools.HttpParserError as exc:
            if not self._is_complete:
                raise MalformedAnswerError(repr(exc)) from exc
            # The answer is complete; the bytes after it belong to no request.
            return self._finish(closes_connection=True)
        if self._is_complete:
            return self._finish()
        self._check_framing()
        return None

    def feed_end(self):
        """Return the answer that the end of the connection completes, or None."""
        if self._method is None or not self._is_final or self._is_framed:
            return None
        return self._finish(closes_connection=True)

    def close(self):
        """Free what is held; no other method may be called then.

        The parser and the reader refer to each other, so they would be kept until the
        garbage collector runs.
        """
        self._parser = None
        self._body = bytearray()

    # Callbacks of the parser

    def on_message_begin(self):
        if self._is_complete:
            raise MalformedAnswerError("a second answer to one request")
        self._reset()

    def on_header(self, name, value):
        if len(self._headers) >= MAX_HEADERS:
            raise MalformedAnswerError("the answer has too many headers")
        self._headers.append((name, value))

    def on_headers_complete(self):
        self._status = self._parser.get_status_code()
        try:
            self._is_final = is_final_status(self._status)
        except MalformedStatusError as exc:
            raise MalformedAnswerError(str(exc)) from exc
        by_name = {name.lower(): value for name, value in self._headers}
        coding = by_name.get(b"transfer-encoding", _CHUNKED).lower()
        if coding != _CHUNKED:
            raise MalformedAnswerError("the body has a coding that was not asked for")
        self._is_framed = (
            b"content-length" in by_name
            or b"transfer-encoding" in by_name
            or self._status in _BODILESS
        )
        # The parser would wait for the body that Content-Length announces, which an
        # answer to HEAD does not have, so the connection is not used again.
        if self._method == b"HEAD" and self._is_final:
            self._is_complete = True

    def on_body(self, data):
        self._body += data
        if len(self._body) > self._max_body_bytes:
            raise MalformedAnswerError("the answer is too large")

    def on_message_complete(self):
        # An interim (1xx) answer is followed by the final answer.
        if self._is_final:
            self._is_complete = True
            # The parser resets the flags of a message once it is complete.
            self._keeps_alive = self._parser.should_keep_alive()

    @property
    def body_bytes(self):
        """Return the length of the unfinished body."""
        return len(self._body)

    def _check_framing(self):
        framing = self._received - len(self._body)
        allowed = MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * len(self._body)
        if framing > allowed:
            raise MalformedAnswerError("the answer has too many bytes beside its body")

    def _reset(self):
        self._headers = []
        self._body = bytearray()
        self._status = 0
        self._is_final = self._is_framed = self._keeps_alive = False

    def _finish(self, closes_connection=False):
        response_format = self._format
        by_name = {name.lower(): value for name, value in self._headers}
        connection = by_name.get(b"connection", b"").lower()
        answer = ServerAnswer(
            status=self._status,
            headers=select_end_to_end_headers(self._headers),
            body=self._take_body(),
            signature=by_name.get(response_format.signature),
            request_id=by_name.get(response_format.request_id),
            not_run=response_format.not_run in by_name
            or self._status == response_format.misdirected_status,
            closes_connection=closes_connection
            or b"close" in connection
            or not self._keeps_alive,
            idle_timeout_s=_read_timeout(by_name.get(b"keep-alive", b"")),
        )
        self._method = None
        return answer

    def _take_body(self):
        # An idle connection must not keep the body of its last answer.
        body, self._body = self._body, bytearray()
        # The records of a bytearray are slower to merge than those of bytes.
        return bytes(body) if len(body) <= MAX_COPIED_BYTES else body


def _read_timeout(value):
    """Return the timeout of a Keep-Alive header in seconds, or None."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None
