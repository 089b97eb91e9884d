"""Guard against clients that use up memory or descriptors while others are ended."""

import random

import pytest

from wisteriaworks.errors import ErrorKind
from wisteriaworks.ingress.client_table import STALL_S, Client, ClientTable, Phase

LATER = STALL_S + 1


class Harness:
    def __init__(self, max_held=100, max_connections=3, private=2):
        self.refusals, self.ended = [], []
        self.table = ClientTable(
            max_held, max_connections, private, self.refusals.append
        )

    def open(self, now=0.0, size=0, phase=Phase.READING, is_public=True, served=0):
        client = Client(None, now, is_public, served=served)
        client.end = lambda kind: self.ended.append((client, kind))
        self.is_admitted = self.table.admit(client, now)
        client.phase = phase
        if size:
            self.table.hold(client, size, now)
        return client


def test_largest_request_is_ended_when_memory_is_used_up():
    h = Harness()
    h.open(size=30)
    large = h.open(size=50)
    small = h.open(size=10)
    assert h.table.hold(small, 30, 0.0)
    assert h.ended == [(large, ErrorKind.BUFFERS_FULL)]
    assert (h.table.held, h.refusals) == (60, ["memory"])


def test_request_that_has_stopped_is_ended_before_a_larger_one():
    h = Harness()
    stopped = h.open(size=20)
    h.open(now=LATER, size=60)
    h.open(now=LATER, size=30)
    assert h.ended == [(stopped, ErrorKind.BUFFERS_FULL)]


def test_complete_requests_are_never_ended():
    h = Harness()
    running = h.open(size=90)
    h.table.run(running)
    new = h.open(size=20)
    assert h.ended == [(new, ErrorKind.BUFFERS_FULL)]


def test_large_requests_leave_memory_to_ordinary_ones():
    """New requests were refused while complete ones held all of the memory."""
    h = Harness(max_connections=10)
    assert h.table.run(h.open(size=40))
    assert h.table.run(h.open(size=30))
    large = h.open(size=20)
    assert not h.table.run(large)
    h.table.release(large, Phase.IDLE, 0.0)
    for _ in range(7):
        assert h.table.run(h.open(size=2))
    assert h.ended == []
    assert h.refusals == ["running"]


def test_single_large_request_may_run():
    h = Harness()
    assert h.table.run(h.open(size=500))


def test_single_request_is_kept():
    """One request has limits of its own and must be served without other load."""
    h = Harness()
    h.open(size=500)
    assert h.ended == []
    second = h.open(size=1)
    assert [c is second for c, _ in h.ended] == [False]


@pytest.mark.parametrize(
    ("phases", "victim"),
    [
        ((Phase.RUNNING, Phase.IDLE, Phase.IDLE), 1),
        ((Phase.RUNNING, Phase.READING, Phase.RUNNING), 1),
        ((Phase.RUNNING, Phase.RUNNING, Phase.CLOSING), 2),
        ((Phase.RUNNING, Phase.RUNNING, Phase.RUNNING), None),
    ],
)
def test_connection_without_progress_makes_room(phases, victim):
    h = Harness()
    clients = [h.open(now=n * 0.01, phase=phase) for n, phase in enumerate(phases)]
    h.open(now=LATER)
    assert h.is_admitted is (victim is not None)
    assert [c for c, _ in h.ended] == ([] if victim is None else [clients[victim]])
    assert h.refusals == ["connections"]


def test_connection_that_was_served_is_kept_longer():
    h = Harness()
    h.open(phase=Phase.IDLE, served=5)
    never_served = h.open(now=1.0, phase=Phase.IDLE)
    h.open(phase=Phase.RUNNING)
    h.open(now=2.0)
    assert [c for c, _ in h.ended] == [never_served]


def test_clients_do_not_use_up_the_private_connections():
    h = Harness()
    for _ in range(3):
        h.open(phase=Phase.RUNNING)
    h.open(is_public=False)
    assert h.is_admitted


def test_sums_hold_in_any_order_of_events():
    rng = random.Random(4)
    h = Harness(max_held=1000, max_connections=10)
    clients = []
    for step in range(3000):
        now = step * 0.1
        ended = {id(c) for c, _ in h.ended}
        clients = [c for c in clients if id(c) not in ended]
        if rng.random() < 0.4:
            clients.append(h.open(now))
        if clients:
            client = rng.choice(clients)
            match rng.randrange(4):
                case 0 | 1:
                    client.phase = Phase.READING
                    h.table.hold(client, client.held + rng.randrange(300), now)
                case 2:
                    h.table.release(client, Phase.IDLE, now)
                case 3:
                    h.table.remove(client)
                    clients.remove(client)
        holding = [c for c in h.table.clients if c.held]
        assert h.table.held == sum(c.held for c in h.table.clients)
        assert h.table.held <= 1000 or len(holding) == 1
        assert h.table.counts[True] == len(h.table.clients) <= 10


def test_private_ports_are_not_refused_while_requests_run():
    """A working gateway was taken out, as its readiness was answered with 503."""
    h = Harness()
    h.table.run(h.open(size=110))
    private = h.open(is_public=False)
    h.table.hold(private, 10, 0.0)
    assert h.ended == []
