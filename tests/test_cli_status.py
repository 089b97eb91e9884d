"""Guard against a status that hides a lagging entry or a server without holder."""

import fake_control

from wisteriaworks.cli import run
from wisteriaworks.generated.document import Document


def test_status_shows_members_entries_and_servers(monkeypatch, capsys):
    control = fake_control.install(monkeypatch, Document(), version=5)
    control.adopted["e2"] = 4
    assert run(["status"]) == 0
    rows = [line.split() for line in capsys.readouterr().out.splitlines()]
    assert ["c1/aa", "127.0.0.1:1", "leader", "9"] in rows
    assert ["c2/bb", "127.0.0.1:2", "learner", "4"] in rows
    assert ["e2", "d1", "active", "4", "20", "7", "127.0.0.1:3"] in rows
    assert ["s1", "e1", "4", "ready,", "leaving"] in rows
    assert ["s2", "none", "5", "unknown"] in rows
