"""Guard against reordered messages and messages stuck on a silent connection."""

import math

import trio

from wisteriaworks import rpc
from wisteriaworks.generated.consensus import Deliver, PreVote
from wisteriaworks.message_sender import MessageSender


def _make_message(number):
    return PreVote(term=number, sender="a", last_index=0, last_term=0)


async def test_messages_arrive_in_order(nursery):
    terms = []

    async def handler(message, send):
        terms.append(message.message.term)

    server = rpc.RpcServer({Deliver: handler})
    listeners = await nursery.start(server.serve, "127.0.0.1:0")
    port = listeners[0].socket.getsockname()[1]
    sender = MessageSender("127.0.0.1:1", nursery)
    for number in range(200):
        sender.send("b", f"127.0.0.1:{port}", _make_message(number))
    while len(terms) < 200:
        await trio.sleep(0.01)
    assert terms == list(range(200))


async def test_silent_connection_is_replaced(autojump_clock, nursery, monkeypatch):
    """A silent connection must be replaced before it causes an election.

    The silence limit of the channel is longer than the election timeout, so the
    sender has a timeout of its own.
    """
    monkeypatch.setattr(rpc, "SILENCE_S", math.inf)
    # Real sockets need real time before the clock may jump.
    autojump_clock.autojump_threshold = 0.05
    accepted = []
    terms = []

    async def handler(message, send):
        terms.append(message.message.term)

    server = rpc.RpcServer({Deliver: handler})

    async def accept(stream):
        accepted.append(stream)
        if len(accepted) == 1:
            await trio.sleep_forever()
        await server._accept(stream)

    listeners = await nursery.start(trio.serve_tcp, accept, 0)
    port = listeners[0].socket.getsockname()[1]
    sender = MessageSender("127.0.0.1:1", nursery)
    number = 0
    while not terms:
        sender.send("b", f"127.0.0.1:{port}", _make_message(number))
        number += 1
        await trio.sleep(0.15)
    assert len(accepted) == 2
