"""Guard against gateways that miss a change of the list of servers."""

import random

from gateway_fakes import make_entry

from wisteriaworks.server_directory import ServerDirectory


def apply(table, changes):
    """Apply changes to a table as a gateway does."""
    table = {} if changes.full else table
    table |= {server.id: server for server in changes.servers}
    return {k: v for k, v in table.items() if k not in changes.removed}


def test_unchanged_list_sends_nothing():
    directory = ServerDirectory()
    listed = [make_entry("i1", cold_s=3.0), make_entry("i2")]
    assert directory.replace(listed, 0.0, 0.0)
    aged = [make_entry("i1", cold_s=2.1), make_entry("i2")]
    assert not directory.replace(aged, 1.0, 1.0)
    assert directory.list_changes(directory.revision, 1.0).servers == ()


def test_empty_first_list_counts_as_read():
    directory = ServerDirectory()
    directory.replace([], 0.0, 0.0)
    assert directory.list_changes(0, 0.0).revision > 0


def test_server_that_turns_cold_again_is_sent():
    directory = ServerDirectory()
    directory.replace([make_entry("i1")], 0.0, 0.0)
    assert directory.replace([make_entry("i1", cold_s=3.0)], 1.0, 1.0)


def test_cold_time_counts_down_until_it_is_sent():
    directory = ServerDirectory()
    directory.replace([make_entry("i1", cold_s=3.0)], 0.0, 0.0)
    (server,) = directory.list_changes(0, 2.0).servers
    assert server.cold_s == 1.0


def test_changes_since_any_revision_lead_to_the_same_table():
    rng = random.Random(1)
    directory, states, now = ServerDirectory(), [], 0.0
    for step in range(60):
        ids = rng.sample(range(20), rng.randrange(20))
        listed = [make_entry(f"i{n}", draining=rng.random() < 0.3) for n in ids]
        directory.replace(listed, now, now)
        table = apply({}, directory.list_changes(0, now))
        assert table.keys() == {server.id for server in listed}
        for revision, old in states[-10:]:
            assert apply(old, directory.list_changes(revision, now)) == table, step
        states.append((directory.revision, table))


def test_cleared_list_counts_as_not_read():
    """A member that leads again must not send servers that have left meanwhile."""
    directory = ServerDirectory()
    directory.replace([make_entry("left")], 0.0, 0.0)
    directory.clear()
    assert directory.list_changes(0, 1.0).revision == 0
    assert directory.list_changes(0, 1.0).servers == ()
    directory.replace([make_entry("i2")], 2.0, 2.0)
    assert [s.id for s in directory.list_changes(0, 2.0).servers] == ["i2"]


def test_server_of_another_version_is_sent():
    """A gateway chooses servers by their version during a rollout."""
    directory = ServerDirectory()
    directory.replace([make_entry("i1", version="v1")], 0.0, 0.0)
    revision = directory.revision
    directory.replace([make_entry("i1", version="v2")], 0.0, 0.0)
    (entry,) = directory.list_changes(revision, 0.0).servers
    assert entry.version == "v2"
