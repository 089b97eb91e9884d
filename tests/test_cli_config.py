"""Guard against changes applied twice, over another change or without a check."""

import fake_control
import msgspec
import pytest
from test_configuration import VALID

from wisteriaworks import cli_common
from wisteriaworks.cli import run
from wisteriaworks.configuration import parse_document, set_domain_state
from wisteriaworks.generated.document import DomainState

OPERATION_ID = "01890a5d-ac96-774b-bcce-b302099a8057"


@pytest.fixture
def control(monkeypatch):
    return fake_control.install(monkeypatch, parse_document(VALID))


@pytest.fixture
def changed(tmp_path):
    path = tmp_path / "document.yaml"
    path.write_text(VALID.replace("slots: 2", "slots: 3"))
    return str(path)


def test_check_lists_every_problem(tmp_path, capsys):
    path = tmp_path / "document.yaml"
    path.write_text(VALID.replace("[a]", "[b]").replace("domain: d2", "domain: d1"))
    assert run(["config", "check", str(path)]) == 3
    out, err = capsys.readouterr()
    kinds = [line.split(":")[0] for line in out.splitlines()]
    assert kinds == ["error", "error", "warning"]
    assert err.count("\n") == 1


def test_show_and_diff_agree_with_the_file(control, tmp_path, capsys):
    assert run(["config", "show"]) == 0
    path = tmp_path / "shown.yaml"
    path.write_text(capsys.readouterr().out)
    assert run(["config", "diff", str(path)]) == 0
    assert capsys.readouterr().out.endswith("none\n")


def test_apply_shows_the_difference_and_the_version(control, changed, capsys):
    assert run(["config", "apply", changed, "--wait", "0"]) == 0
    out = capsys.readouterr().out
    assert "indexes.a.servers.s1.slots: 2 -> 3" in out
    assert "accepted as version 2" in out
    assert "version 2 in force on 2 entries" in out
    assert run(["config", "apply", changed]) == 0
    assert "nothing to change" in capsys.readouterr().out
    assert control.version == 2


def test_a_change_whose_reply_was_lost_is_applied_once(control, changed):
    control.lose_replies = 1
    assert run(["config", "apply", changed]) == 0
    assert (control.version, len(control.results)) == (2, 1)


def test_a_manual_resend_gets_the_first_reply(control, changed, capsys):
    control.lose_replies = cli_common.SEND_ATTEMPTS
    options = ["--operation-id", OPERATION_ID]
    assert run(["config", "apply", changed, *options]) == 4
    hint = f"--operation-id {OPERATION_ID} --expected-version 1"
    assert hint in capsys.readouterr().err
    control.document, control.version = parse_document(VALID), 3
    again = ["config", "apply", changed, *hint.split()]
    assert run(again) == 0
    assert "accepted as version 2" in capsys.readouterr().out
    assert control.version == 3


@pytest.mark.parametrize(
    ("sent", "text"), [(True, "may have been accepted"), (False, "was not sent")]
)
def test_a_failed_send_reports_whether_it_was_sent(
    control, changed, monkeypatch, capsys, sent, text
):
    monkeypatch.setattr(cli_common, "SEND_ATTEMPTS", 1)
    control.lost_error.sent = sent
    control.lose_replies = 1
    assert run(["config", "apply", changed]) == 4
    assert text in capsys.readouterr().err


def test_a_conflict_shows_both_sides(control, changed, capsys):
    other = set_domain_state(control.document, "d2", DomainState.OUT)
    control.competing = [other]
    assert run(["config", "apply", changed]) == 5
    out, err = capsys.readouterr()
    theirs, yours = out.split("Changes from version 1 to 2")[1].split("Your changes")
    assert "domains.d2.state" in theirs and "slots" not in theirs
    assert "slots" in yours and "domains.d2.state" not in yours
    assert err.startswith("wisteria: ") and err.count("\n") == 1
    assert control.document == other


def test_an_old_expected_version_is_a_conflict(control, changed, tmp_path):
    control.version = 7
    assert run(["config", "apply", changed, "--expected-version", "6"]) == 5
    same = tmp_path / "same.yaml"
    same.write_text(VALID)
    assert run(["config", "apply", str(same), "--expected-version", "6"]) == 5


def test_lagging_entries_are_named(control, changed, capsys):
    control.adopted["e2"] = 1
    assert run(["config", "apply", changed, "--wait", "0"]) == 8
    out, err = capsys.readouterr()
    assert "e1: version 2" in out
    assert "e2 at version 1" in err and "e1" not in err


def test_an_invalid_document_is_not_sent(control, tmp_path):
    path = tmp_path / "document.yaml"
    path.write_text(VALID.replace("[a]", "[b]"))
    assert run(["config", "apply", str(path)]) == 3
    assert control.results == {}


@pytest.mark.parametrize(
    "arguments",
    [
        ["config", "check"],
        ["config", "check", "/no/such/file"],
        ["config", "shw"],
        ["config", "show", "--control", "localhost"],
        ["config", "show", "--no-such-option"],
        ["config", "apply", "FILE", "--expected-version", "x"],
        ["config", "apply", "FILE", "--wait", "nan"],
        ["config", "apply", "FILE", "--operation-id", "7"],
    ],
)
def test_a_usage_error_is_one_line_with_exit_code_2(
    control, changed, arguments, capsys
):
    words = [changed if word == "FILE" else word for word in arguments]
    assert run(words) == 2
    err = capsys.readouterr().err
    assert err.startswith("wisteria: ") and err.count("\n") == 1


def test_an_error_inside_a_nursery_is_one_line(control, monkeypatch, capsys):
    async def fail(message, timeout_s):
        error = cli_common.ControlError("no leader")
        raise ExceptionGroup("nursery", [ExceptionGroup("inner", [error])])

    monkeypatch.setattr(control, "call", fail)
    assert run(["config", "show"]) == 4
    assert capsys.readouterr().err == "wisteria: no leader\n"


@pytest.mark.parametrize("words", [[], ["config"], ["config", "check", "--help"]])
def test_every_command_level_prints_help(words, capsys):
    assert run(words) == 0
    assert "Usage" in capsys.readouterr().out


def test_first_configuration_is_a_change_to_version_0(control, changed):
    control.document, control.version = None, 0
    assert run(["config", "apply", changed]) == 0
    assert control.version == 1
    assert msgspec.to_builtins(control.document)["indexes"]["a"]
