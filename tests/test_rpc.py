"""Guard against calls that get a wrong reply, are lost or never end."""

import functools
import time

import pytest
import trio

from wisteriaworks import codec, rpc
from wisteriaworks.errors import RpcError
from wisteriaworks.framing import (
    Frame,
    FrameError,
    FrameKind,
    FrameReader,
    pack_frame,
)
from wisteriaworks.generated.messages import NotLeader, ReadStatus
from wisteriaworks.generated.subqueries import Acknowledged, CancelAttempts


@pytest.mark.parametrize("step", [1, 3, 1000])
def test_reader_rebuilds_frames_from_any_split(step):
    frames = [Frame(n, FrameKind.REPLY, b"x" * n) for n in range(20)]
    data = b"".join(map(pack_frame, frames))
    reader = FrameReader()
    pieces = [data[at : at + step] for at in range(0, len(data), step)]
    assert [f for piece in pieces for f in reader.feed(piece)] == frames


@pytest.mark.parametrize("data", [b"\xff" * 9, b"\0" * 8 + b"\x63"])
def test_reader_refuses_garbage(data):
    with pytest.raises(FrameError):
        FrameReader().feed(data)


@pytest.fixture
async def start_server(nursery):
    """Return a function that starts a server and returns it with a channel to it."""

    async def start(handlers):
        server = rpc.RpcServer(handlers)
        listeners = await nursery.start(server.serve, "127.0.0.1:0")
        port = listeners[0].socket.getsockname()[1]
        return server, rpc.Channel(f"127.0.0.1:{port}")

    return start


async def _echo_later(message, send):
    await trio.sleep(0.02 / (1 + len(message.attempts)))
    return NotLeader(leader=message.batch_id)


async def test_reply_that_arrives_while_the_process_does_not_run_is_in_time(
    start_server,
):
    """A slow gateway gave up delegates that had answered it at once."""

    async def reply_and_block(message, send):
        send(NotLeader(leader="replied"))
        # The reply is written in this pass of the event loop.
        await trio.lowlevel.checkpoint()
        time.sleep(0.6)
        await trio.sleep_forever()

    _, channel = await start_server({ReadStatus: reply_and_block})
    async with channel, channel.stream(ReadStatus(), 5.0) as replies:
        reply = await replies.receive_within(0.5)
    assert reply == NotLeader(leader="replied")


async def test_missing_reply_is_not_waited_for(start_server):
    async def never_reply(message, send):
        await trio.sleep_forever()

    _, channel = await start_server({ReadStatus: never_reply})
    async with channel, channel.stream(ReadStatus(), 60.0) as replies:
        with trio.fail_after(10):
            assert await replies.receive_within(0.01) is None


async def test_call_is_held_until_it_is_confirmed(start_server):
    """A cancellation in the same read as the confirmation must end the call."""
    confirmed = []

    async def hold(message, send):
        send(NotLeader(leader="held"))
        await send.wait_until_confirmed()
        confirmed.append(message.batch_id)
        return NotLeader(leader="confirmed")

    _, channel = await start_server({CancelAttempts: hold})
    async with channel:
        for name, is_confirmed in (("never", False), ("crossed", True)):
            message = CancelAttempts(batch_id=name, attempts=())
            async with channel.stream(message, 2.0) as replies:
                assert (await anext(replies)).leader == "held"
                if is_confirmed:
                    replies.confirm()
        message = CancelAttempts(batch_id="last", attempts=())
        async with channel.stream(message, 2.0) as replies:
            await anext(replies)
            replies.confirm()
            assert (await anext(replies)).leader == "confirmed"
    assert confirmed == ["last"]


async def test_replies_out_of_order_reach_their_own_calls(start_server):
    _, channel = await start_server({CancelAttempts: _echo_later})
    replies = {}

    async def call(count):
        message = CancelAttempts(batch_id=str(count), attempts=tuple(range(count)))
        replies[count] = (await channel.call(message, 2.0)).leader

    async with channel, trio.open_nursery() as calls:
        for count in range(10):
            calls.start_soon(call, count)
        await trio.sleep(0)
    assert replies == {count: str(count) for count in range(10)}


async def test_call_to_an_unreachable_peer_is_reported_as_not_sent():
    async with rpc.Channel("127.0.0.1:1") as channel:
        with pytest.raises(RpcError) as caught:
            await channel.call(ReadStatus(), 0.5)
    assert caught.value.sent is False


async def test_leaving_a_stream_cancels_the_handler(start_server):
    cancelled = trio.Event()

    async def handler(message, send):
        send(Acknowledged())
        try:
            await trio.sleep_forever()
        finally:
            cancelled.set()

    _, channel = await start_server({ReadStatus: handler})
    async with channel:
        async with channel.stream(ReadStatus(), 5.0) as replies:
            assert await anext(replies) == Acknowledged()
        with trio.fail_after(5):
            await cancelled.wait()


async def test_call_that_is_cancelled_before_it_is_read_does_not_run(nursery):
    """A suspended process reads the call of a caller that has left, and must not send
    its query to the servers seconds after its deadline."""
    runs = []

    async def handler(message, send):
        runs.append(message)

    server = rpc.RpcServer({ReadStatus: handler})
    listeners = await nursery.start(server.serve, "127.0.0.1:0")
    port = listeners[0].socket.getsockname()[1]
    async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
        call = Frame(1, FrameKind.REQUEST, codec.encode(ReadStatus()))
        await stream.send_all(pack_frame(call) + pack_frame(Frame(1, FrameKind.CANCEL)))
        await stream.send_all(pack_frame(Frame(0, FrameKind.PING)))
        assert await stream.receive_some(100)
    assert runs == []


async def test_unreadable_reply_fails_the_call_and_not_the_process(nursery):
    """A decoding error of one reply ended all tasks of a gateway."""

    async def serve(stream):
        await stream.receive_some(1000)
        await stream.send_all(pack_frame(Frame(1, FrameKind.REPLY, b"\xc1")))
        await trio.sleep_forever()

    (listener,) = await nursery.start(
        functools.partial(trio.serve_tcp, serve, 0, host="127.0.0.1")
    )
    port = listener.socket.getsockname()[1]
    async with rpc.Channel(f"127.0.0.1:{port}") as channel:
        with pytest.raises(RpcError):
            await channel.call(ReadStatus(), 5.0)


async def test_number_that_is_used_twice_does_not_end_the_server(nursery):
    """One malformed connection ended the process of a gateway or a member."""

    async def handler(message, send):
        return NotLeader(leader="")

    server = rpc.RpcServer({ReadStatus: handler})
    listeners = await nursery.start(server.serve, "127.0.0.1:0")
    port = listeners[0].socket.getsockname()[1]
    call = pack_frame(Frame(1, FrameKind.REQUEST, codec.encode(ReadStatus())))
    async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
        await stream.send_all(2 * call)
        assert await stream.receive_some(100)
    async with rpc.Channel(f"127.0.0.1:{port}") as channel:
        assert await channel.call(ReadStatus(), 5.0) == NotLeader(leader="")


async def test_handler_failure_reaches_the_caller_and_keeps_the_connection_open(
    start_server,
):
    async def fail(message, send):
        raise ValueError("broken")

    _, channel = await start_server({ReadStatus: fail, CancelAttempts: _echo_later})
    async with channel:
        with pytest.raises(RpcError, match="broken"):
            await channel.call(ReadStatus(), 1.0)
        reply = await channel.call(CancelAttempts(batch_id="a", attempts=()), 1.0)
        assert reply.leader == "a"


async def test_silent_connection_is_closed_and_replaced(autojump_clock, nursery):
    """A peer that accepts and never answers must not block calls permanently."""
    # Real sockets need real time before the clock may jump.
    autojump_clock.autojump_threshold = 0.05
    accepted = []

    async def accept_without_reply(stream):
        accepted.append(stream)
        await trio.sleep_forever()

    serve = functools.partial(trio.serve_tcp, accept_without_reply, 0, host="127.0.0.1")
    listeners = await nursery.start(serve)
    port = listeners[0].socket.getsockname()[1]
    async with rpc.Channel(f"127.0.0.1:{port}") as channel:
        for _ in range(2):
            with pytest.raises(RpcError) as caught:
                await channel.call(ReadStatus(), 3600.0)
            assert caught.value.sent is True
    assert len(accepted) == 2


@pytest.fixture
def kinds(autojump_clock, monkeypatch):
    """Return the kinds of the frames that servers receive from now on."""
    # Real sockets need real time before the clock may jump.
    autojump_clock.autojump_threshold = 0.05
    received = []
    handle = rpc._ServerConnection._handle

    def record(self, frame, nursery):
        received.append(frame.kind)
        handle(self, frame, nursery)

    monkeypatch.setattr(rpc._ServerConnection, "_handle", record)
    return received


@pytest.mark.parametrize(("interval_s", "has_pings"), [(0.3, False), (1.3, True)])
async def test_only_quiet_connections_are_pinged(
    autojump_clock, start_server, kinds, interval_s, has_pings
):
    """A ping on each busy connection would double the heartbeat load on control."""
    _, channel = await start_server({CancelAttempts: _echo_later})
    async with channel:
        for _ in range(8):
            await channel.call(CancelAttempts("a", (1,)), 1.0)
            await trio.sleep(interval_s)
    assert (FrameKind.PING in kinds) == has_pings


async def test_reader_of_a_long_stream_is_not_taken_for_silent(
    autojump_clock, start_server, kinds
):
    """A server closes a connection on which it receives nothing for 10 s."""

    async def send_slowly(message, send):
        for _ in range(26):
            send(Acknowledged())
            await trio.sleep(0.45)

    _, channel = await start_server({ReadStatus: send_slowly})
    async with channel, channel.stream(ReadStatus(), 60.0) as replies:
        assert len([reply async for reply in replies]) == 26
    assert FrameKind.PING in kinds


async def test_unexpected_error_while_reading_ends_only_the_connection(
    start_server, monkeypatch
):
    """It ended all tasks of the process that had made the call."""

    async def answer(message, send):
        return NotLeader(leader="")

    _, channel = await start_server({ReadStatus: answer})
    async with channel:
        with monkeypatch.context() as patch:
            patch.setattr(rpc._Connection, "_handle", lambda self, frame: 1 / 0)
            with pytest.raises(RpcError):
                await channel.call(ReadStatus(), 5.0)
        assert await channel.call(ReadStatus(), 5.0) == NotLeader(leader="")
