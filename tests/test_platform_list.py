"""Guard against an unreadable VM list that changes the addresses or stops polling."""

import msgspec
import pytest
import trio

from wisteriaworks.platform_list import parse_leaving, watch_platform

LIST = (
    b'{"vms": [{"address": "10.0.0.1", "state": "live"},'
    b' {"address": "10.0.0.2", "state": "leaving"},'
    b' {"address": "10.0.0.3:90", "state": "leaving", "zone": "x"}]}'
)
GOOD = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(LIST), LIST)
LEAVING = frozenset({"10.0.0.2", "10.0.0.3:90"})
BAD_BODIES = [b"", b"[]", b'{"vms": [{}]}', b'{"vms": [{"address": 1, "state": ""}]}']


def test_leaving_addresses_are_read():
    assert parse_leaving(LIST) == LEAVING


@pytest.mark.parametrize("body", BAD_BODIES)
def test_malformed_lists_are_refused(body):
    with pytest.raises(msgspec.MsgspecError):
        parse_leaving(body)


@pytest.mark.parametrize("answer", [GOOD.replace(b"200", b"500"), b"garbage", b""])
async def test_last_list_is_kept_while_the_platform_fails(
    nursery, autojump_clock, answer
):
    # Real sockets need real time before the clock may jump.
    autojump_clock.autojump_threshold = 0.05
    answers = iter([GOOD, answer, answer, GOOD])
    lists = []

    async def serve(stream):
        await stream.receive_some()
        await stream.send_all(next(answers, GOOD))
        await stream.aclose()

    listeners = await nursery.start(trio.serve_tcp, serve, 0)
    port = listeners[0].socket.getsockname()[1]
    nursery.start_soon(watch_platform, f"127.0.0.1:{port}", lists.append)
    await trio.sleep(3.5)
    assert lists == [LEAVING, LEAVING]
