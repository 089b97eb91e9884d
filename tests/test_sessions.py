"""Guard against leases that expire too early, and renewal of closing sessions."""

import pytest

from wisteriaworks.generated.messages import EntryState, Heartbeat
from wisteriaworks.sessions import LEASE_MARGIN_FACTOR, SessionTable

LEASE_S = 4.0
END_S = LEASE_S * LEASE_MARGIN_FACTOR


def make_heartbeat(session=1, full=False):
    return Heartbeat(session, "e", "a", "e:1", EntryState.ACTIVE, 0, 0, full)


@pytest.fixture
def table():
    table = SessionTable(LEASE_S)
    table.sync({1}, now=100.0)
    return table


@pytest.mark.parametrize(
    ("renewed_at", "now", "expired"),
    [
        ([], 99.99 + END_S, []),
        ([], 100.01 + END_S, [1]),
        ([102.0], 101.99 + END_S, []),
        ([102.0], 102.01 + END_S, [1]),
        # Heartbeats that wait for a confirmation may finish in another order.
        ([103.0, 102.0], 102.99 + END_S, []),
    ],
)
def test_lease_counts_from_the_last_received_heartbeat(table, renewed_at, now, expired):
    for received_at in renewed_at:
        assert table.renew(received_at, make_heartbeat())
    assert table.list_expired(now) == expired


def test_closing_session_is_not_renewed(table):
    """The servers of a closing session may be assigned elsewhere at any moment."""
    assert table.list_expired(200.0) == [1]
    assert not table.renew(200.0, make_heartbeat())
    table.renew_all(200.0)
    assert table.list_expired(200.0) == [1]
    table.sync((), 200.0)
    assert not table.renew(200.0, make_heartbeat())


def test_reports_are_complete_once_every_session_sent_a_full_report(table):
    table.sync({1, 2}, 100.0)
    table.renew(100.0, make_heartbeat(1, full=True))
    assert not table.have_all_reported()
    table.open(3, 100.0, make_heartbeat(3))
    table.renew(100.0, make_heartbeat(2, full=True))
    assert table.have_all_reported()
