"""Guard against answers that exceed the memory, and against the end of good clients."""

import random

import pytest

from wisteriaworks.ingress.answer_memory import (
    SLOW_BYTES_PER_S,
    SMALL_ANSWER_BYTES,
    STALL_S,
    AnswerMemory,
    Delivery,
)

LIMIT = 1_000_000
LATER = 2 * STALL_S


class Harness:
    def __init__(self, limit=LIMIT):
        self.refusals, self.ended = [], []
        self.memory = AnswerMemory(limit, self.refusals.append)

    def begin(self, size, now=0.0):
        delivery = Delivery(None, size, now, now)
        delivery.give_up = lambda: self.ended.append(delivery)
        self.memory.begin(delivery, now)
        return delivery


def test_client_that_has_stopped_is_ended_before_a_slow_one():
    h = Harness()
    slow = h.begin(300_000)
    stopped = h.begin(300_000)
    stopped.record_progress(200_000, 0.0)
    slow.record_progress(100, LATER)
    h.begin(100_000, LATER)
    assert h.ended == [stopped]
    assert h.refusals == ["answers"]


def test_slowest_client_is_ended_while_others_need_its_memory():
    h = Harness()
    slow, slowest = h.begin(200_000), h.begin(200_000)
    slow.record_progress(2000, LATER)
    slowest.record_progress(1000, LATER)
    h.begin(200_000, LATER)
    assert h.ended == [slowest]


def test_clients_that_take_their_answers_are_kept():
    h = Harness()
    for _ in range(3):
        fast = h.begin(300_000)
        fast.record_progress(int(LATER * SLOW_BYTES_PER_S), LATER)
    h.begin(100_000, LATER)
    assert h.ended == []


def test_answers_that_just_began_are_ended_only_at_the_limit():
    h = Harness()
    first = h.begin(500_000)
    h.begin(400_000, 0.01)
    assert h.ended == []
    h.begin(200_000, 0.02)
    assert h.ended == [first]


def test_single_answer_is_kept_at_any_size_and_rate():
    """A slow link gets the longest answer while nobody else needs the memory."""
    h = Harness()
    alone = h.begin(2 * LIMIT)
    h.memory.compute_room("conn", 100.0)
    assert h.ended == []
    h.begin(1, 100.0)
    assert h.ended == [alone]


@pytest.mark.parametrize(
    ("sizes", "waits"),
    [
        ((100_000, 100_000), (False, False)),
        ((200_000, 100_000), (False, True)),
        ((200_000, 200_000), (False, False)),
        ((260_000, SMALL_ANSWER_BYTES - 1), (False, False)),
    ],
)
def test_long_answers_wait_for_the_largest(sizes, waits):
    h = Harness()
    for number, size in enumerate(sizes):
        h.memory.update(number, size)
    rooms = [h.memory.compute_room(number, 0.0) for number in range(len(sizes))]
    assert tuple(not room for room in rooms) == waits


def test_unfinished_answer_waits_until_slow_clients_have_been_ended():
    h = Harness()
    stopped = h.begin(600_000)
    h.begin(1, 0.0)
    h.memory.update("conn", SMALL_ANSWER_BYTES)
    assert h.memory.compute_room("conn", STALL_S / 2) == 0
    assert h.memory.compute_room("other", STALL_S / 2) == SMALL_ANSWER_BYTES
    assert h.memory.compute_room("conn", STALL_S) > 0
    assert h.ended[0] is stopped


def test_sums_hold_in_any_order_of_events():
    rng = random.Random(4)
    h = Harness()
    taking, unfinished = [], {}
    for step in range(3000):
        now = step * 0.05
        taking = [d for d in taking if d not in h.ended]
        match rng.randrange(6):
            case 0 | 1:
                taking.append(h.begin(rng.randrange(1, 400_000), now))
            case 2 if taking:
                delivery = rng.choice(taking)
                delivery.record_progress(rng.randrange(100_000), now)
            case 3 if taking:
                h.memory.end(taking.pop(rng.randrange(len(taking))))
            case 4:
                conn = rng.randrange(20)
                room = h.memory.compute_room(conn, now)
                unfinished[conn] = unfinished.get(conn, 0) + min(room, 65_536)
                assert h.memory.update(conn, unfinished[conn]) is None
            case 5:
                conn = rng.randrange(20)
                unfinished.pop(conn, None)
                h.memory.update(conn, 0)
        taking = [d for d in taking if d not in h.ended]
        taken_bytes = sum(d.size for d in taking)
        assert h.memory.total == taken_bytes + sum(unfinished.values())
        assert taken_bytes <= LIMIT or len(taking) == 1
