"""Measure the placement of servers and the assigner's loop."""

import time

import trio
from capacity_control import SERVERS, TEST_SIZES, fill_node, make_node, report_all
from capacity_data import DESIGN_SERVERS, count_entries, time_ms
from capacity_fit import Part

from wisteriaworks import codec
from wisteriaworks.assigner import Assigner
from wisteriaworks.control_service import ControlService
from wisteriaworks.generated import messages
from wisteriaworks.placement import EntryMode, PlacementEntry, PlacementInput, place

# Limit of the loop in _time_idle_step, which returns after its first step.
STEPS = 40


def measure_placement(servers):
    """Time the placement of servers and the first step of an assigner."""
    return trio.run(_measure_placement, servers)


async def _measure_placement(servers):
    entries = count_entries(servers)
    node = make_node()
    await fill_node(node, entries, servers)
    document, sessions = node.machine.document, node.machine.sessions
    active = [
        PlacementEntry(number, record.domain, EntryMode.ACTIVE)
        for number, record in sessions.items()
    ]
    holders = {name: h.session for name, h in node.machine.holdings.items()}
    moves = max(2, servers // 100)
    inputs = PlacementInput(document, tuple(active), frozenset(), {}, 0)
    first = time_ms(place, inputs, repeats=2)
    placed = place(inputs)
    balanced = PlacementInput(document, tuple(active), frozenset(), placed, moves)
    failed = frozenset(list(sessions)[:: max(2, entries // 40)])
    kept = {name: s for name, s in placed.items() if s not in failed}
    remaining = tuple(entry for entry in active if entry.session not in failed)
    lost = PlacementInput(document, remaining, frozenset(), kept, 0)
    assert len(holders) == servers
    return {
        "place() of all servers, ms": first,
        "place() with nothing to move, ms": time_ms(place, balanced, repeats=2),
        "place() after the loss of 1 in 40 entries, ms": time_ms(
            place, lost, repeats=2
        ),
        "idle step of the assigner, ms": await _time_idle_step(node),
    }


async def _time_idle_step(node):
    """Return the processor time of the first step of an assigner, in ms."""
    assigner = Assigner(node)
    _, idle = await report_all(node)
    handle = ControlService(node).list_handlers()[messages.Heartbeat]
    spent = []
    for _ in range(STEPS):
        for heartbeat in idle:
            await handle(codec.decode(heartbeat), None)
        began = time.process_time_ns()
        await assigner.step()
        spent.append((time.process_time_ns() - began) / 1e6)
        return min(spent)


PARTS = (
    Part(
        "control: placement",
        "server",
        SERVERS,
        TEST_SIZES,
        DESIGN_SERVERS,
        measure_placement,
    ),
)
