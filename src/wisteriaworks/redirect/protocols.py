"""Answer operators, gateways and members, and read the answers of members. No I/O.

Each class takes the bytes that arrive on one connection and returns those to send.
``is_done`` is true when the connection is to be closed after these.
"""

from wisteriaworks.framing import Frame, FrameError, FrameKind, FrameReader, pack_frame
from wisteriaworks.redirect import messages
from wisteriaworks.redirect.members import MembersReply

MAX_HEAD_BYTES = 16384
# The body of an operator's call is read and discarded, since a connection that is
# closed with unread bytes may lose the answer.
MAX_BODY_BYTES = 8 * 1024 * 1024
LAST_CHUNK = b"0\r\n\r\n"
# The questions of gateways and members have some hundred bytes.
MAX_FRAME_BUFFER_BYTES = 64 * 1024
# Errors of messages that are damaged or have other fields than expected.
_MESSAGE_ERRORS = (FrameError, ValueError, TypeError, IndexError)
_REASONS = {
    200: "OK",
    307: "Temporary Redirect",
    400: "Bad Request",
    404: "Not Found",
    413: "Content Too Large",
    503: "Service Unavailable",
}


class HttpCall:
    """Answer one HTTP request.

    ``answer(target)`` returns the status, the headers and the body.
    """

    def __init__(self, answer):
        self._answer = answer
        self._head = bytearray()
        self._reply = None
        self._unread = 0
        # Last bytes of a chunked body, which show its end; None for other bodies.
        self._tail = None
        self.is_done = False

    def receive(self, data):
        """Return the bytes to send after some have arrived."""
        if self._reply is None:
            self._head += data
            head, separator, body = bytes(self._head).partition(b"\r\n\r\n")
            if len(head) > MAX_HEAD_BYTES:
                return self._finish(_make_reply(400))
            if not separator:
                return b""
            self._start(head)
            data = body
        self._unread -= len(data)
        if self._tail is not None:
            self._tail = (self._tail + data)[-len(LAST_CHUNK) :]
            if self._tail == LAST_CHUNK:
                self._unread = 0
        return self._finish(self._reply) if self._unread <= 0 else b""

    def _finish(self, reply):
        self.is_done = True
        return reply

    def _start(self, head):
        lines = head.decode("latin-1").split("\r\n")
        words = lines[0].split(" ")
        names = [line.partition(":")[::2] for line in lines[1:]]
        headers = {name.strip().lower(): value.strip() for name, value in names}
        length = headers.get("content-length", "0")
        if len(words) != 3 or not words[1].startswith("/") or not length.isdecimal():
            self._reply = _make_reply(400)
        elif len(length) > 8 or int(length) > MAX_BODY_BYTES:
            self._reply = _make_reply(413)
        else:
            self._reply = _make_reply(*self._answer(words[1]))
            # A client that waits for "100 Continue" sends no body after an answer.
            self._unread = 0 if "expect" in headers else int(length)
            if "expect" not in headers and "transfer-encoding" in headers:
                self._unread, self._tail = MAX_BODY_BYTES, b""


def _make_reply(status, headers=(), body=b""):
    lines = [
        f"HTTP/1.1 {status} {_REASONS[status]}",
        f"Content-Length: {len(body)}",
        "Connection: close",
        *headers,
    ]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class MemberCalls:
    """Answer the calls of gateways and members on one connection.

    ``view`` is the MemberView, and ``get_time`` returns the time.
    """

    def __init__(self, view, get_time):
        self._view = view
        self._get_time = get_time
        self._reader = FrameReader()
        self._size = 0
        self.is_done = False

    def receive(self, data):
        """Return the bytes to send after some have arrived."""
        try:
            frames = self._reader.feed(data)
            self._size = 0 if frames else self._size + len(data)
            self.is_done = self._size > MAX_FRAME_BUFFER_BYTES
            return b"".join(map(self._answer, frames))
        except _MESSAGE_ERRORS:
            self.is_done = True
            return b""

    def _answer(self, frame):
        match frame.kind:
            case FrameKind.PING:
                return pack_frame(Frame(0, FrameKind.PONG))
            case FrameKind.REQUEST:
                reply = messages.encode(self._make_reply(frame.payload))
                return pack_frame(
                    Frame(frame.number, FrameKind.REPLY, reply)
                ) + pack_frame(Frame(frame.number, FrameKind.END))
        return b""

    def _make_reply(self, payload):
        now, view = self._get_time(), self._view
        match messages.read_tag(payload):
            case messages.READ_MEMBERS:
                # The empty id tells that this process is no member.
                return [messages.MEMBERS_REPLY, "", view.name_member(now), []]
            case messages.ANNOUNCE_MEMBER:
                view.add_candidate(_check_address(messages.decode(payload)[1]))
                return [messages.MEMBERS_REPLY, "", view.name_member(now), []]
            case messages.APPOINT_FOUNDER:
                address = _check_address(messages.decode(payload)[1])
                return [messages.FOUNDER_REPLY, view.appoint(address, now)]
        return [messages.NOT_LEADER, view.name_member(now)]


class MembersQuestion:
    """Ask one process for the members.

    ``on_reply(reply)`` is called with its answer, a MembersReply.
    """

    request = pack_frame(
        Frame(1, FrameKind.REQUEST, messages.encode([messages.READ_MEMBERS]))
    )

    def __init__(self, on_reply):
        self._on_reply = on_reply
        self._reader = FrameReader()
        self.is_done = False

    def receive(self, data):
        """Return the bytes to send after some have arrived."""
        try:
            for frame in self._reader.feed(data):
                if frame.kind is FrameKind.REPLY:
                    self._read(frame.payload)
                self.is_done = True
        except _MESSAGE_ERRORS:
            self.is_done = True
        return b""

    def _read(self, payload):
        tag, member_id, leader, listed, *rest = messages.decode(payload)
        if tag == messages.MEMBERS_REPLY:
            # An encoded member begins with its tag, its id and its address.
            reply = MembersReply(
                member_id=str(member_id),
                leader=leader and _check_address(leader),
                listed={str(m[1]): _check_address(m[2]) for m in listed},
                commit_index=int(rest[0]) if rest else 0,
            )
            self._on_reply(reply)


def _check_address(address):
    """Return ``HOST:PORT``. Raises ValueError or TypeError for anything else."""
    if not isinstance(address, str):
        raise TypeError("an address is not a string")
    host, separator, port = address.rpartition(":")
    if not (host and separator and port.isdecimal()):
        raise ValueError(f"not an address: {address[:60]!r}")
    return address
