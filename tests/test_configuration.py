"""Guard against invalid documents that are accepted and problems not listed."""

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from wisteriaworks.configuration import (
    Severity,
    check_document,
    diff_documents,
    parse_document,
    render_document,
    set_domain_state,
)
from wisteriaworks.errors import DocumentError
from wisteriaworks.generated.document import Document, DomainState

VALID = """
searches:
  stall: {indexes: [a]}
  order: {indexes: [a], routing: keyed, idempotent: false}
indexes:
  a:
    servers:
      - {name: s1, address: "127.0.0.1:1", domain: d1, replica_set: r1,
         slots: 2, connections: 25}
      - {name: s2, address: "127.0.0.1:2", domain: d2, replica_set: r1,
         slots: 2, connections: 25}
callers:
  desk: {credential_sha256: "%s", searches: [stall, order], timeout_ms: 140}
domains: {d1: {}, d2: {}}
objectives:
  stall-desk: {search: stall, caller: desk, latency_ms: 140, latency_target: 0.99,
               coverage_target: 0.999}
""" % ("0" * 64)


def test_valid_document_has_no_problems():
    assert check_document(parse_document(VALID)) == []


@pytest.mark.parametrize(
    ("old", "new", "path"),
    [
        ("indexes: [a]}", "indexes: [b]}", "searches.stall.indexes[0]"),
        ("indexes: [a]}", "indexes: [a, a]}", "searches.stall.indexes[1]"),
        ("[stall, order]", "[stall, x]", "callers.desk.searches[1]"),
        ("domain: d2", "domain: d3", "indexes.a.servers[1].domain"),
        ("name: s2", "name: s1", "indexes.a.servers[1].name"),
        ("name: s2", "name: s/2", "indexes.a.servers[1].name"),
        ("127.0.0.1:2", "127.0.0.1:1", "indexes.a.servers[1].address"),
        ("127.0.0.1:2", "127.0.0.256:2", "indexes.a.servers[1].address"),
        ("127.0.0.1:2", "127.0.0.1:70000", "indexes.a.servers[1].address"),
        ("routing: keyed, ", "", "searches.order.routing"),
        ("indexes: [a], routing", "indexes: [a, b], routing", "searches.order.indexes"),
        ("ms: 140}", "ms: 140, minimum_coverage: 1.5}", "callers.desk.minimum_cov"),
        ("ms: 140}", "ms: 140, minimum_coverage: .nan}", "callers.desk.minimum_cov"),
        ("search: stall", "search: x", "objectives.stall-desk.search"),
        ("caller: desk", "caller: x", "objectives.stall-desk.caller"),
        ("[stall, order]", "[order]", "objectives.stall-desk.search"),
    ],
)
def test_each_broken_rule_is_an_error_at_its_path(old, new, path):
    assert old in VALID
    errors = check_document(parse_document(VALID.replace(old, new)))
    assert any(problem.path.startswith(path) for problem in errors)
    assert all(problem.severity is Severity.ERROR for problem in errors)


def test_credentials_and_objective_pairs_are_unique():
    document = parse_document(VALID)
    callers = document.callers | {"kiosk": document.callers["desk"]}
    objectives = document.objectives | {"z": document.objectives["stall-desk"]}
    copied = msgspec.structs.replace(document, callers=callers, objectives=objectives)
    paths = [problem.path for problem in check_document(copied)]
    assert paths == ["callers.kiosk.credential_sha256", "objectives.z"]


def test_timeouts_above_the_request_id_window_are_errors():
    window = "limits: {request_id_window_s: 60}\ndomains:"
    text = VALID.replace("domains:", window).replace("ms: 140}", "ms: 60001}")
    assert [p.path for p in check_document(parse_document(text))] == [
        "callers.desk.timeout_ms"
    ]


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("domain: d2", "domain: d1"),
        ("connections: 25}\ncallers", "connections: 26}\ncallers"),
        ("d1: {}, d2: {}", "d1: {state: out}, d2: {state: out}"),
        ("latency_ms: 140", "latency_ms: 141"),
    ],
)
def test_risky_replica_sets_and_objectives_are_warnings(old, new):
    assert old in VALID
    problems = check_document(parse_document(VALID.replace(old, new)))
    assert [problem.severity for problem in problems] == [Severity.WARNING]


def test_all_schema_problems_are_listed_with_their_paths():
    text = VALID.replace(
        "slots: 2, connections: 25}\n      -", "slots: 0, x: 1}\n      -"
    )
    text = text.replace("ms: 140}", "ms: soon}").replace("domains:", "1: 2\ndomains:")
    text = text.replace("  order:", "  stall:").replace("routing: keyed", "routing: k")
    with pytest.raises(DocumentError) as caught:
        parse_document(text)
    assert {problem.split(": expected")[0] for problem in caught.value.problems} == {
        "searches.stall",
        "searches.stall.routing",
        "indexes.a.servers[0].slots",
        "indexes.a.servers[0].connections",
        "indexes.a.servers[0].x",
        "callers.desk.timeout_ms",
        "1",
    }


@pytest.mark.parametrize(
    "text", ["", "[1", "a: 2026-99-99", "&a [*a]", "limits: &x {a: *x}", "{[1]: 2}"]
)
def test_unreadable_text_is_one_error(text):
    with pytest.raises(DocumentError, match="expected"):
        parse_document(text)


@settings(max_examples=50, deadline=None, derandomize=True)
@given(st.permutations(["searches", "indexes", "callers", "domains", "objectives"]))
def test_rendering_reads_back_and_does_not_depend_on_order(fields):
    document = parse_document(VALID)
    shuffled = Document(
        **{field: dict(reversed(getattr(document, field).items())) for field in fields}
    )
    text = render_document(shuffled)
    assert text == render_document(document)
    assert parse_document(text) == document


def test_difference_names_the_server_and_ignores_order():
    old = parse_document(VALID)
    text = VALID.replace("name: s2", "name: s3").replace("slots: 2", "slots: 3", 1)
    changes = list(map(str, diff_documents(old, parse_document(text))))
    assert changes[0] == "indexes.a.servers.s1.slots: 2 -> 3"
    assert (
        changes[1].startswith("indexes.a.servers.s2: {") and "-> absent" in changes[1]
    )
    assert changes[2].startswith("indexes.a.servers.s3: absent -> {")
    index = msgspec.structs.replace(
        old.indexes["a"], servers=old.indexes["a"].servers[::-1]
    )
    reordered = msgspec.structs.replace(old, indexes={"a": index})
    assert diff_documents(old, reordered) == []
    assert diff_documents(None, old)


def test_setting_a_domain_state_changes_nothing_else():
    document = parse_document(VALID)
    out = set_domain_state(document, "d1", DomainState.OUT)
    assert list(map(str, diff_documents(document, out))) == [
        'domains.d1.state: "in_service" -> "out"'
    ]
    with pytest.raises(DocumentError, match=r"domains\.d9: expected one of d1, d2"):
        set_domain_state(document, "d9", DomainState.OUT)
