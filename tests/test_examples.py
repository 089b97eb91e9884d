"""Guard against invalid examples and against sizes that differ from the design."""

import itertools
from collections import Counter, defaultdict

import pytest

import examples
from wisteriaworks.configuration import check_document, parse_document
from wisteriaworks.generated.document import Routing
from wisteriaworks.generated.settings import (
    ConsoleSettings,
    ControlSettings,
    EntrySettings,
)
from wisteriaworks.settings import load_settings

# Servers, replicas per set, slots and connections, from section 1.4 of
# docs/design.md.
SIZES = {
    "gate-desk": (40, 2, 2, 25),
    "pass-sales": (60, 2, 2, 25),
    "driver-app": (4, 2, 4, 110),
    "lot-signage": (4, 2, 4, 110),
    "torgstand": (40, 2, 2, 25),
    "medlemmar": (60, 2, 2, 25),
    "arkivsal": (4, 2, 4, 45),
    "kurser": (4, 2, 4, 45),
}


@pytest.fixture(params=examples.SITES, ids=lambda site: site.name)
def site(request):
    return request.param


@pytest.fixture
def document(site):
    path = examples.EXAMPLES / site.name / "document.yaml"
    return parse_document(path.read_text())


def _load(site, kind, pattern):
    paths = (examples.EXAMPLES / site.name).glob(pattern)
    return [load_settings(path, kind) for path in paths]


def test_files_match_the_generator(site):
    folder = examples.EXAMPLES / site.name
    written = {path.name: path.read_text() for path in folder.iterdir()}
    assert written == examples.create_files(site)


def test_document_is_valid_and_has_the_stated_sizes(site, document):
    assert check_document(document) == []
    assert set(document.domains) == set(site.domains) and len(site.domains) == 4
    assert len(document.indexes) == 4
    for name, index in document.indexes.items():
        servers, replicas, slots, connections = SIZES[name]
        sets = Counter(server.replica_set for server in index.servers)
        assert len(index.servers) == servers
        assert set(sets.values()) == {replicas}
        assert {(s.slots, s.connections) for s in index.servers} == {
            (slots, connections)
        }


def test_replicas_are_in_different_domains_and_domains_are_balanced(document):
    domains = defaultdict(list)
    for server in itertools.chain(*(i.servers for i in document.indexes.values())):
        domains[server.replica_set].append(server.domain)
    assert all(len(set(names)) == len(names) for names in domains.values())
    counts = Counter(itertools.chain(*domains.values())).values()
    # In each of the two indexes with two replica sets, one domain can have two
    # servers while another has none.
    assert max(counts) - min(counts) <= 4


def test_non_idempotent_searches_are_keyed_and_have_objectives(document):
    non_idempotent = {n for n, s in document.searches.items() if not s.idempotent}
    assert non_idempotent and all(
        document.searches[name].routing is Routing.KEYED for name in non_idempotent
    )
    assert non_idempotent <= {
        objective.search for objective in document.objectives.values()
    }


def test_settings_are_valid_and_no_address_is_used_twice(site, document):
    entries = _load(site, EntrySettings, "entry-*.yaml")
    members = _load(site, ControlSettings, "control-*.yaml")
    consoles = _load(site, ConsoleSettings, "console.yaml")
    assert (len(entries), len(members), len(consoles)) == (10, 3, 1)
    assert {entry.domain for entry in entries} == set(site.domains)
    assert len({member.domain for member in members}) == 3
    addresses = [s.address for i in document.indexes.values() for s in i.servers]
    addresses += itertools.chain(*((e.api, e.peer, e.admin) for e in entries))
    addresses += itertools.chain(*((m.address, m.admin) for m in members))
    addresses += itertools.chain(*((c.listen, c.admin) for c in consoles))
    # Servers, 3 per entry, 2 per control member, 2 of the console.
    assert len(set(addresses)) == len(addresses) == 108 + 30 + 6 + 2
    control = {member.address for member in members}
    assert all(set(cfg.control) == control for cfg in (*entries, *consoles))
    assert all({m.address, *m.peers} == control for m in members)
