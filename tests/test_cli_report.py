"""Guard against sums and explanations that silently omit an entry."""

import msgspec
import pytest
from test_burn import STALL_OBJECTIVE
from test_explain_store import explain

from wisteriaworks import cli_report
from wisteriaworks.cli import run
from wisteriaworks.entry_reports import EntryReply
from wisteriaworks.generated.reports import (
    AttemptExplanation,
    AttemptKind,
    BurnReport,
    BurnSeries,
    MissingShard,
    ShardExplanation,
)

REQUEST_ID = "01890a5d-ac96-774b-bcce-b302099a8057"
ENTRIES = ["--entry", "127.0.0.1:1,127.0.0.1:2,127.0.0.1:1"]
_SERIES = BurnSeries(
    objective=STALL_OBJECTIVE, ages=(0,), totals=(50,), slow=(5,), uncovered=(0,)
)


@pytest.fixture
def replies(monkeypatch):
    """Return the reports that entries reply with, by address; tests fill it."""
    reports = {}

    async def read(addresses, path, kind):
        assert path in ("/v1/burn", f"/v1/explain/{REQUEST_ID}")
        return [EntryReply(a, reports.get(a)) for a in addresses]

    monkeypatch.setattr(cli_report, "read_reports", read)
    return reports


def _burn(entry, version=1):
    return BurnReport(entry=entry, config_version=version, series=(_SERIES,))


def test_burn_is_summed_once_per_entry(replies, tmp_path, capsys):
    replies |= {"127.0.0.1:1": _burn("e1"), "127.0.0.1:2": _burn("e2", 2)}
    page = tmp_path / "burn.html"
    assert run(["report", "burn", *ENTRIES, "--html", str(page)]) == 0
    out, err = capsys.readouterr()
    row = next(line.split() for line in out.splitlines() if "latency" in line)
    assert row[4:6] == ["100", "10"]
    assert "entries are at versions [1, 2]" in err
    assert "<svg" in page.read_text()


def test_a_missing_entry_is_named_and_fails(replies, capsys):
    replies["127.0.0.1:1"] = _burn("e1")
    assert run(["report", "burn", *ENTRIES]) == 10
    out, err = capsys.readouterr()
    assert "1 of 2 entries" in out and "127.0.0.1:2" in err


def test_explanation_shows_attempts_and_missing_shards(replies, capsys):
    attempt = AttemptExplanation(
        kind=AttemptKind.HEDGE,
        server="s1",
        holder="127.0.0.1:3",
        outcome="timed_out",
        ms=35,
        detail="deadline <0>",
    )
    replies["127.0.0.1:2"] = msgspec.structs.replace(
        explain(REQUEST_ID, "partial"),
        shards=(ShardExplanation(index="a", shard="3", attempts=(attempt,)),),
        missing=(MissingShard(index="a", shard="4", reason="no_replica"),),
    )
    assert run(["explain", REQUEST_ID, *ENTRIES]) == 0
    out = capsys.readouterr().out
    assert "hedge   to s1 held by 127.0.0.1:3: timed_out after 35.0 ms" in out
    assert "(deadline <0>)" in out
    assert "missing a/4: no_replica" in out


@pytest.mark.parametrize(
    ("words", "code"),
    [
        (["explain", REQUEST_ID, *ENTRIES], 10),
        (["explain", "../metrics", *ENTRIES], 2),
        (["explain", REQUEST_ID], 2),
        (["explain", REQUEST_ID, "--logs", "/no/such/file"], 2),
        (["explain", REQUEST_ID, "--logs", "/dev/null"], 10),
        (["report", "burn", "--entry", "e1"], 2),
        (["report", "burn", *ENTRIES, "--html", "/no/such/folder/x"], 2),
    ],
)
def test_failures_have_their_exit_codes(replies, words, code):
    assert run(words) == code
