"""Guard against answers that are cut, doubled or another request's."""

import pytest

from wisteriaworks.gateway.response_reader import MalformedAnswerError, ResponseReader
from wisteriaworks.platform.wire import names

HEAD = b"HTTP/1.1 200 OK\r\nX-Wisteriaworks-Server-Stamp: sig\r\n"
WHOLE = HEAD + b"Content-Length: 4\r\nKeep-Alive: timeout=9\r\n\r\nbody"


def make_reader(method=b"GET"):
    reader = ResponseReader(names)
    reader.expect(method)
    return reader


def test_whole_answer():
    answer = make_reader().feed(WHOLE)
    assert (answer.status, answer.body, answer.signature) == (200, b"body", b"sig")
    assert not answer.closes
    assert answer.idle_timeout_s == 9.0


def test_answer_in_single_bytes():
    reader = make_reader()
    answers = [reader.feed(WHOLE[i : i + 1]) for i in range(len(WHOLE))]
    assert [a.body for a in answers if a] == [b"body"]


def test_chunks_are_joined():
    chunks = b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
    assert make_reader().feed(HEAD + chunks).body == b"abc"


@pytest.mark.parametrize("length", range(len(HEAD), len(WHOLE)))
def test_answer_that_ends_early_is_none(length):
    reader = make_reader()
    assert reader.feed(WHOLE[:length]) is None
    assert reader.feed_end() is None


def test_cut_chunks_are_no_answer():
    reader = make_reader()
    assert reader.feed(HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n") is None
    assert reader.feed_end() is None


def test_answer_without_length_ends_with_its_connection():
    reader = make_reader()
    assert reader.feed(HEAD + b"\r\nbody") is None
    answer = reader.feed_end()
    assert (answer.body, answer.closes) == (b"body", True)


@pytest.mark.parametrize("extra", [WHOLE, b"noise", b"\r\nHTTP/1.1 500 X\r\n\r\n"])
def test_bytes_after_the_answer_end_the_connection(extra):
    """They belong to no request, and must not be read as the next answer."""
    answer = make_reader().feed(WHOLE + extra)
    assert (answer.body, answer.closes) == (b"body", True)


def test_late_second_answer_is_not_expected():
    reader = make_reader()
    reader.feed(WHOLE)
    with pytest.raises(MalformedAnswerError):
        reader.feed(WHOLE)


@pytest.mark.parametrize("data", [b"noise", b"HTTP/1.1 abc\r\n\r\n", b"\x00\x01\x02"])
def test_noise_is_malformed(data):
    with pytest.raises(MalformedAnswerError):
        make_reader().feed(data + b"\r\n\r\n")


def test_interim_answer_is_passed_over():
    reader = make_reader()
    assert reader.feed(b"HTTP/1.1 100 Continue\r\n\r\n") is None
    assert reader.feed(WHOLE).body == b"body"


def test_connection_carries_the_next_answer():
    reader = make_reader()
    reader.feed(WHOLE)
    reader.expect(b"GET")
    assert reader.feed(WHOLE).body == b"body"


@pytest.mark.parametrize(
    ("line", "is_closing"),
    [(b"Connection: close\r\n", True), (b"Connection: keep-alive\r\n", False)],
)
def test_announced_close_is_noted(line, is_closing):
    answer = make_reader().feed(HEAD + line + b"Content-Length: 0\r\n\r\n")
    assert answer.closes is is_closing


@pytest.mark.parametrize(
    "head", [b"503 X\r\nX-Wisteriaworks-Not-Executed: 1", b"421 X"]
)
def test_server_that_did_not_run_it_is_believed(head):
    data = b"HTTP/1.1 " + head + b"\r\nContent-Length: 0\r\n\r\n"
    assert make_reader().feed(data).not_run


def test_plain_refusal_promises_nothing():
    data = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
    assert not make_reader().feed(data).not_run


def test_head_has_no_body():
    answer = make_reader(b"HEAD").feed(HEAD + b"Content-Length: 4\r\n\r\n")
    assert (answer.body, answer.closes) == (b"", True)


def test_hop_by_hop_headers_are_dropped():
    data = HEAD + b"Connection: x-a\r\nX-A: 1\r\nX-B: 2\r\nContent-Length: 0\r\n\r\n"
    names_left = [name for name, _ in make_reader().feed(data).headers]
    assert b"X-B" in names_left
    assert not {b"X-A", b"Connection"} & set(names_left)
