"""The pages that show the state of the system."""

import math
from collections import Counter
from dataclasses import dataclass

from wisteriaworks.console_http import parse_number
from wisteriaworks.generated.messages import ServerState

# Keeps a page readable and fast to send at the design size.
PAGE_ROWS = 200
LEAVING = "leaving"
REFRESH_S = 1


@dataclass(frozen=True, slots=True)
class Page:
    """Represent one page of a list that has ``count`` pages and ``total`` rows."""

    rows: tuple
    number: int
    count: int
    total: int


async def show_status(console, req):
    """Show the leader, the members, the entries and the servers by state."""
    status = await console.control.read_status()
    states = Counter(route.state for route in status.servers)
    return console.pages.render(
        req,
        "status.html",
        status=200,
        reply=status,
        members=[(m, _get_role(m, status)) for m in status.members],
        entries=sorted(status.entries, key=lambda entry: entry.name),
        counts=[(state.value, states[state]) for state in ServerState],
        leaving=sum(route.leaving for route in status.servers),
    )


async def show_servers(console, req):
    """Show one page of the servers, optionally of one state only."""
    state = req.get_query("state")
    status = await console.control.read_status()
    holders = {entry.session: entry.name for entry in status.entries}
    routes = [route for route in status.servers if _has_state(route, state)]
    routes.sort(key=lambda route: route.server)
    return console.pages.render(
        req,
        "servers.html",
        page=paginate(routes, req.get_query("page")),
        holders=holders,
        state=state,
        states=["", *(s.value for s in ServerState), LEAVING],
    )


async def show_rollout(console, req):
    """Show which entries have adopted a version; reloads until all have."""
    version = parse_number(req.get_query("version"))
    status = await console.control.read_status()
    entries = sorted(status.entries, key=lambda entry: entry.name)
    lagging = [entry for entry in entries if entry.config_version < version]
    return console.pages.render(
        req,
        "rollout.html",
        version=version,
        in_force=status.config_version,
        entries=entries,
        lagging=lagging,
        refresh_s=REFRESH_S if lagging else 0,
    )


def paginate(rows, number):
    """Return the rows of a page by its number. Raises PageError."""
    count = max(1, math.ceil(len(rows) / PAGE_ROWS))
    number = min(max(1, parse_number(number or "1")), count)
    start = (number - 1) * PAGE_ROWS
    return Page(tuple(rows[start : start + PAGE_ROWS]), number, count, len(rows))


def _has_state(route, state):
    if state == LEAVING:
        return route.leaving
    return not state or route.state.value == state


def _get_role(member, status):
    if status.leader in (member.id, member.address):
        return "leader"
    return "voter" if member.voter else "learner"
