"""Guard against a domain change that reverts another change or hides a warning."""

import fake_control
import pytest
from test_configuration import VALID

from wisteriaworks.cli import run
from wisteriaworks.cli_domain import PROPOSE_ATTEMPTS
from wisteriaworks.configuration import parse_document, set_domain_state
from wisteriaworks.generated.document import DomainState


@pytest.fixture
def control(monkeypatch):
    return fake_control.install(monkeypatch, parse_document(VALID))


def test_drain_and_return_change_one_domain(control, capsys):
    before = control.document
    assert run(["domain", "drain", "d1", "--wait", "0"]) == 0
    assert control.document == set_domain_state(before, "d1", DomainState.OUT)
    assert "version 2 in force on 2 entries" in capsys.readouterr().out
    assert run(["domain", "drain", "d1"]) == 0
    assert control.version == 2
    assert run(["domain", "return", "d1"]) == 0
    assert (control.document, control.version) == (before, 3)


def test_competing_changes_are_kept(control):
    other = parse_document(VALID.replace("slots: 2", "slots: 3"))
    control.competing = [other]
    assert run(["domain", "drain", "d1"]) == 0
    assert control.document == set_domain_state(other, "d1", DomainState.OUT)


def test_retries_after_conflicts_are_bounded(control, capsys):
    control.competing = [control.document] * PROPOSE_ATTEMPTS
    assert run(["domain", "drain", "d1"]) == 5
    assert capsys.readouterr().err.count("trying again") == PROPOSE_ATTEMPTS


def test_last_domain_with_replicas_is_a_warning(control, capsys):
    run(["domain", "drain", "d1"])
    assert "warning" not in capsys.readouterr().err
    assert run(["domain", "drain", "d2"]) == 0
    assert "warning: indexes.a.servers (replica set r1)" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("name", "has_document", "code"), [("d9", 1, 3), ("d1", None, 9)]
)
def test_unknown_domain_and_missing_configuration(control, name, has_document, code):
    control.document = has_document and control.document
    assert run(["domain", "drain", name]) == code
    assert control.results == {}
