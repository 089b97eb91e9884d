"""Guard against stale leases, reverted configurations and unfenced entries."""

from dataclasses import dataclass, field

import msgspec
import pytest
import trio

from wisteriaworks.errors import ControlError, SettingsError
from wisteriaworks.generated.document import Document, Domain, DomainState
from wisteriaworks.generated.messages import (
    EntryState,
    HeartbeatReply,
    Route,
    ServerState,
)
from wisteriaworks.generated.settings import EntrySettings, OnControlLoss
from wisteriaworks.lease import Lease
from wisteriaworks.session import Session
from wisteriaworks.view_store import ViewStore

OUT = Document(domains={"a": Domain(state=DomainState.OUT)})
REPLY = HeartbeatReply(7, 4.0, 0.5, 1, 1, Document(), 1, False, (), (), ())


def make_reply(**fields):
    return msgspec.structs.replace(REPLY, **fields)


def make_route(server, holder=7):
    return Route(server, holder, "127.0.0.1:1", 1, ServerState.READY, False, ())


@dataclass
class FakeControl:
    """Answer heartbeats with the scripted replies; raise those that are exceptions."""

    replies: list
    delay_s: float = 0.0
    received: list = field(default_factory=list)

    async def call(self, message, timeout_s):
        self.received.append(message)
        await trio.sleep(self.delay_s)
        reply = self.replies.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply


@dataclass
class FakeHolder:
    releasing: list = field(default_factory=list)

    def list_released(self):
        return ()

    def collect_reports(self, full):
        return ()

    def apply_view(self, view, session):
        pass

    def start_release(self, servers):
        self.releasing.extend(servers)


def make_session(replies, delay_s=0.0, folder=None, **settings):
    cfg = EntrySettings(
        name="e",
        domain="a",
        api="127.0.0.1:1",
        peer="127.0.0.1:2",
        admin="127.0.0.1:3",
        control=("127.0.0.1:4",),
        **settings,
    )
    control = FakeControl(replies, delay_s)
    lease = Lease()
    session = Session(cfg, control, FakeHolder(), lease, ViewStore(folder))
    return session, control, lease


async def test_lease_counts_from_the_sending_of_the_heartbeat(autojump_clock):
    session, _, lease = make_session([REPLY], delay_s=1.0)
    sent_at = trio.current_time()
    await session.renew()
    assert lease.is_valid(sent_at + 3.9)
    assert not lease.is_valid(sent_at + 4.0)


async def test_closed_session_ends_the_lease_at_once(autojump_clock):
    session, _, lease = make_session([REPLY, make_reply(session=0)])
    await session.renew()
    assert session.may_claim()
    await session.renew()
    assert not session.may_claim()
    assert not lease.is_valid(trio.current_time())


@pytest.mark.parametrize("version", [1, 2])
async def test_lower_or_equal_version_is_not_adopted(autojump_clock, version):
    """A reply delayed by the network must not revert the configuration."""
    replies = [
        make_reply(config_version=2, document=OUT),
        make_reply(config_version=version),
    ]
    session, _, _ = make_session(replies)
    await session.renew()
    await session.renew()
    assert session.view.config_version == 2
    assert session.view.document == OUT


@pytest.mark.parametrize(
    ("mode", "fenced"),
    [(OnControlLoss.FENCE, True), (OnControlLoss.SERVE_STALE, False)],
)
async def test_entry_fences_when_control_is_silent(autojump_clock, mode, fenced):
    session, _, lease = make_session(
        [REPLY, ControlError("lost")], on_control_loss=mode
    )
    assert session.is_fenced()
    await session.renew()
    assert not session.is_fenced()
    await trio.sleep(4.5)
    await session.renew()
    assert session.is_fenced() is fenced
    assert lease.is_valid(trio.current_time()) is not fenced


async def test_reports_are_full_after_a_lost_heartbeat_or_a_new_leader(autojump_clock):
    replies = [REPLY, ControlError("lost"), REPLY, make_reply(leader_epoch=2), REPLY]
    session, control, _ = make_session(replies)
    for _ in range(5):
        await session.renew()
    assert [m.full for m in control.received] == [True, False, True, False, True]


async def test_route_deltas_are_applied(autojump_clock):
    replies = [
        make_reply(routes=(make_route("s"), make_route("t"))),
        make_reply(routes=(make_route("t", holder=8),), removed=("s",)),
        make_reply(full=True, routes=(make_route("u"),)),
    ]
    session, _, _ = make_session(replies)
    seen = []
    for _ in range(3):
        await session.renew()
        seen.append({s: r.holder for s, r in session.view.routes.items()})
    assert seen == [{"s": 7, "t": 7}, {"t": 8}, {"u": 7}]


async def test_entry_in_a_domain_that_is_out_retires(autojump_clock):
    session, control, _ = make_session([make_reply(document=OUT), REPLY])
    await session.renew()
    await trio.sleep(1.5)
    assert session.seconds_since_domain_out() == 1.5
    await session.renew()
    assert [m.state for m in control.received] == [
        EntryState.ACTIVE,
        EntryState.RETIRING,
    ]


async def test_adopted_configuration_survives_a_restart(autojump_clock, tmp_path):
    replies = [make_reply(config_version=9, document=OUT)]
    session, _, _ = make_session(replies, folder=tmp_path)
    await session.renew()
    restarted, _, _ = make_session([], folder=tmp_path)
    assert (restarted.view.config_version, restarted.view.document) == (9, OUT)
    assert restarted.is_fenced()


def test_damaged_stored_configuration_is_a_clear_error(tmp_path):
    (tmp_path / "configuration.json").write_text("{")
    with pytest.raises(SettingsError, match="damaged"):
        ViewStore(tmp_path).load()


async def test_view_is_kept_while_nothing_changes(autojump_clock):
    """A heartbeat without changes must not create a new view.

    The holder and the catalog check every server of a new view.
    """
    replies = [
        make_reply(full=True, routes=(make_route("x"),)),
        make_reply(),
        make_reply(config_version=2, document=OUT),
    ]
    session, _, _ = make_session(replies)
    await session.renew()
    first = session.view
    await session.renew()
    assert session.view is first
    await session.renew()
    assert session.view is not first
    assert session.view.routes is first.routes
