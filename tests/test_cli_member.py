"""Guard against a resent member change that is applied twice, and hidden refusals."""

import fake_control
import pytest

from wisteriaworks.cli import run
from wisteriaworks.generated.document import Document
from wisteriaworks.generated.messages import MemberAction


@pytest.fixture
def control(monkeypatch):
    return fake_control.install(monkeypatch, Document())


@pytest.mark.parametrize(
    ("words", "action", "address"),
    [
        (["add", "c4/dd", "127.0.0.1:4"], MemberAction.ADD_LEARNER, "127.0.0.1:4"),
        (["promote", "c4/dd"], MemberAction.PROMOTE, ""),
        (["remove", "c4/dd"], MemberAction.REMOVE, ""),
    ],
)
def test_a_change_without_reply_is_resent_under_one_operation_id(
    control, words, action, address
):
    control.lose_replies = 1
    assert run(["member", *words]) == 0
    (sent,) = control.member_changes.values()
    assert len(sent) == 2
    assert {(m.action, m.id, m.address) for m in sent} == {(action, "c4/dd", address)}


@pytest.mark.parametrize(
    ("words", "code"),
    [
        (["add", "c2/bb", "127.0.0.1:2"], 0),
        (["add", "c2/bb", "127.0.0.1:9"], 9),
        (["promote", "c1/aa"], 0),
        (["promote", "c2/bb"], 9),
        (["promote", "c4/dd"], 9),
        (["remove", "c4/dd"], 0),
        (["remove", "c1/aa"], 9),
    ],
)
def test_refusal_fails_unless_the_first_try_took_effect(control, words, code, capsys):
    control.member_problem = "12 entries behind"
    assert run(["member", *words]) == code
    assert ("12 entries behind" in capsys.readouterr().err) == bool(code)


def test_address_is_checked_before_sending(control):
    assert run(["member", "add", "c4/dd", "localhost:4"]) == 2
    assert control.member_changes == {}
