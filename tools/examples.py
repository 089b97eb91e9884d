"""Generate the example documents and settings of the sites rodopi and smorformen.

The ports of the servers are consecutive from the site's first port. Entries,
control members, the console and the platform's VM list have fixed offsets from it.
"""

import hashlib
import itertools
from dataclasses import dataclass
from pathlib import Path

import yaml

from wisteriaworks.configuration import render_document
from wisteriaworks.generated.document import (
    Caller,
    Document,
    Domain,
    Index,
    Limits,
    Objective,
    Routing,
    Search,
    Server,
)

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
HOST = "127.0.0.1"
ENTRIES = 10
CONTROL_MEMBERS = 3
REPLICAS = 2
API_OFFSET = 500
PEER_OFFSET = 520
ADMIN_OFFSET = 540
CONTROL_OFFSET = 600
CONTROL_ADMIN_OFFSET = 620
CONSOLE_OFFSET = 640
CONSOLE_ADMIN_OFFSET = 660
PLATFORM_OFFSET = 700
_NOTE = "# Written by tools/examples.py.\n"
_CREDENTIAL_NOTE = (
    "# The credential of caller NAME is {site}-NAME; use secret ones in production.\n"
)
_PASSWORD_NOTE = (
    "# The password of operator is {site}-operator; use a secret one in production.\n"
)


@dataclass(frozen=True, slots=True)
class IndexPlan:
    """Describe the size of one index."""

    name: str
    replica_sets: int
    slots: int
    connections: int


@dataclass(frozen=True, slots=True)
class Site:
    """Describe one example installation."""

    name: str
    first_port: int
    domains: tuple[str, ...]
    plans: tuple[IndexPlan, ...]
    searches: dict[str, Search]
    callers: dict[str, tuple]
    objectives: dict[str, Objective]
    limits: Limits


def _create_search(*indexes, coverage=0.0):
    return Search(indexes=indexes, minimum_coverage=coverage)


def _create_keyed_search(index):
    return Search(
        indexes=(index,), routing=Routing.KEYED, idempotent=False, minimum_coverage=1.0
    )


def _create_objective(search, caller, latency_ms, latency_target, coverage_target):
    return Objective(
        search=search,
        caller=caller,
        latency_ms=latency_ms,
        latency_target=latency_target,
        coverage_target=coverage_target,
    )


# Callers are (searches, timeout in ms, priority). Non-idempotent searches wait
# until control has stored their claim durably, so their callers have longer
# timeouts.
RODOPI = Site(
    name="rodopi",
    first_port=21000,
    domains=("plovdiv-a", "plovdiv-b", "asenovgrad", "stamboliyski"),
    plans=(
        IndexPlan("gate-desk", 20, 2, 25),
        IndexPlan("pass-sales", 30, 2, 25),
        IndexPlan("driver-app", 2, 4, 110),
        IndexPlan("lot-signage", 2, 4, 110),
    ),
    searches={
        "gate": _create_search("gate-desk", coverage=0.5),
        "pass-check": _create_keyed_search("pass-sales"),
        "pass-sales": _create_search("pass-sales", coverage=0.5),
        "driver": _create_search("driver-app"),
        "signage": _create_search("lot-signage"),
        "counter": _create_search("gate-desk", "pass-sales", coverage=0.8),
    },
    callers={
        "gates": (("gate",), 140, 0),
        "barriers": (("pass-check",), 2000, 1),
        "shops": (("pass-sales", "counter"), 300, 3),
        "phones": (("driver",), 250, 4),
        "signs": (("signage",), 250, 6),
        "reports": (("gate", "pass-sales", "driver", "signage", "counter"), 5000, 9),
    },
    objectives={
        "gate": _create_objective("gate", "gates", 140, 0.99, 0.999),
        "pass-check": _create_objective("pass-check", "barriers", 500, 0.99, 0.9999),
        "pass-sales": _create_objective("pass-sales", "shops", 200, 0.99, 0.999),
        "driver": _create_objective("driver", "phones", 140, 0.99, 0.999),
    },
    limits=Limits(hedge_ratio=0.05, retry_ratio=0.1),
)

SMORFORMEN = Site(
    name="smorformen",
    first_port=23000,
    domains=("gavle-hall", "gavle-loft", "orebro-sal", "karlstad-bod"),
    plans=(
        IndexPlan("torgstand", 20, 2, 25),
        IndexPlan("medlemmar", 30, 2, 25),
        IndexPlan("arkivsal", 2, 4, 45),
        IndexPlan("kurser", 2, 4, 45),
    ),
    searches={
        "stall": _create_search("torgstand", coverage=0.9),
        "order-lookup": _create_keyed_search("torgstand"),
        "members": _create_search("medlemmar", coverage=0.95),
        "archive": _create_search("arkivsal", coverage=1.0),
        "courses": _create_search("kurser", coverage=1.0),
        "desk": _create_search("medlemmar", "kurser", coverage=0.95),
    },
    callers={
        "stalls": (("stall",), 140, 0),
        "tills": (("order-lookup",), 2000, 1),
        "desks": (("members", "courses", "desk"), 1000, 3),
        "readers": (("archive",), 2000, 5),
        "newsletter": (("members", "courses"), 10000, 9),
    },
    objectives={
        "stall": _create_objective("stall", "stalls", 140, 0.99, 0.9999),
        "order-lookup": _create_objective("order-lookup", "tills", 500, 0.99, 0.9999),
        "members": _create_objective("members", "desks", 500, 0.99, 0.9999),
        "archive": _create_objective("archive", "readers", 1000, 0.95, 0.999),
    },
    # Coverage is this site's first priority, so failed shards are retried more often.
    limits=Limits(hedge_ratio=0.05, retry_ratio=0.2),
)

SITES = (RODOPI, SMORFORMEN)


def create_document(site):
    """Return the configuration document of a site."""
    ports = itertools.count(site.first_port)
    return Document(
        searches=site.searches,
        indexes={plan.name: _create_index(site, plan, ports) for plan in site.plans},
        callers={
            name: _create_caller(site, name, *spec)
            for name, spec in site.callers.items()
        },
        domains={name: Domain() for name in site.domains},
        limits=site.limits,
        objectives=site.objectives,
    )


def _create_index(site, plan, ports):
    positions = itertools.product(range(plan.replica_sets), range(REPLICAS))
    return Index(
        servers=tuple(
            _create_server(site, plan, number, replica, next(ports))
            for number, replica in positions
        )
    )


def _create_server(site, plan, number, replica, port):
    replica_set = f"{plan.name}-{number + 1:02}"
    return Server(
        name=f"{replica_set}-{replica + 1}",
        address=f"{HOST}:{port}",
        domain=_choose_domain(site.domains, number, replica),
        replica_set=replica_set,
        slots=plan.slots,
        connections=plan.connections,
    )


def _choose_domain(domains, number, replica):
    """Return the domain of a replica.

    The replicas of a set are in different domains, and the sets use all pairs of
    domains in turn.
    """
    distance = 1 + (number // len(domains)) % (len(domains) - 1)
    return domains[(number + replica * distance) % len(domains)]


def _create_caller(site, name, searches, timeout_ms, priority):
    return Caller(
        credential_sha256=hashlib.sha256(f"{site.name}-{name}".encode()).hexdigest(),
        searches=searches,
        timeout_ms=timeout_ms,
        priority=priority,
    )


def _make_address(site, offset, number):
    return f"{HOST}:{site.first_port + offset + number}"


def _list_control(site):
    return [
        _make_address(site, CONTROL_OFFSET, n) for n in range(1, CONTROL_MEMBERS + 1)
    ]


def create_entry_settings(site, number):
    """Return the settings of entry ``number``, counted from 1."""
    return {
        "name": f"entry-{number}",
        "domain": site.domains[(number - 1) % len(site.domains)],
        "api": _make_address(site, API_OFFSET, number),
        "peer": _make_address(site, PEER_OFFSET, number),
        "admin": _make_address(site, ADMIN_OFFSET, number),
        "control": _list_control(site),
    }


def create_control_settings(site, number):
    """Return the settings of control member ``number``, counted from 1."""
    address = _make_address(site, CONTROL_OFFSET, number)
    return {
        "name": f"control-{number}",
        "domain": site.domains[number - 1],
        "address": address,
        "admin": _make_address(site, CONTROL_ADMIN_OFFSET, number),
        "data_folder": f"data/{site.name}/control-{number}",
        "peers": [peer for peer in _list_control(site) if peer != address],
        "platform": _make_address(site, PLATFORM_OFFSET, 0),
    }


def create_console_settings(site):
    """Return the settings of the console, which may run on any VM."""
    password = f"{site.name}-operator"
    return {
        "name": "console-1",
        "listen": _make_address(site, CONSOLE_OFFSET, 1),
        "admin": _make_address(site, CONSOLE_ADMIN_OFFSET, 1),
        "control": _list_control(site),
        "operators": {"operator": hashlib.sha256(password.encode()).hexdigest()},
        "session_s": 3600,
    }


def create_files(site):
    """Return the text of each file of a site by name."""
    note = _NOTE + _CREDENTIAL_NOTE.format(site=site.name)
    files = {"document.yaml": note + render_document(create_document(site))}
    for number in range(1, ENTRIES + 1):
        settings = create_entry_settings(site, number)
        files[f"entry-{number}.yaml"] = _render_settings(settings)
    for number in range(1, CONTROL_MEMBERS + 1):
        settings = create_control_settings(site, number)
        files[f"control-{number}.yaml"] = _render_settings(settings)
    note = _NOTE + _PASSWORD_NOTE.format(site=site.name)
    settings = create_console_settings(site)
    files["console.yaml"] = _render_settings(settings, note)
    return files


def _render_settings(settings, note=_NOTE):
    return note + yaml.safe_dump(settings, sort_keys=False)


def main():
    """Write all files of all sites."""
    for site in SITES:
        folder = EXAMPLES / site.name
        folder.mkdir(parents=True, exist_ok=True)
        for name, text in create_files(site).items():
            (folder / name).write_text(text)


if __name__ == "__main__":
    main()
