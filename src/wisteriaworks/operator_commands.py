"""Operator commands: sent to the leader from any member, stored durably.

This module also sends the leader's updates to the gateways that watch it.
"""

import itertools
import zlib

import msgspec
import trio

from wisteriaworks.clocks import read_boot_time
from wisteriaworks.document_codec import pack_document
from wisteriaworks.errors import (
    ControlError,
    NotLeaderError,
    ProposalOutcomeUnknownError,
    WisteriaError,
)
from wisteriaworks.events import Event, log_event
from wisteriaworks.fleet_updates import UpdatePacker
from wisteriaworks.gateway.fleet_shares import MAX_RESERVE, RESERVE_PER_DOMAIN
from wisteriaworks.generated.commands import RaiseConfiguration, SetDomain
from wisteriaworks.generated.messages import (
    Delegate,
    FleetUpdate,
    MembersReply,
    NotLeader,
    OrderDomain,
    OrderDomainReply,
    OrderRollout,
    ProposeVersion,
    ReadMembers,
    ReadRollout,
    ReadSource,
    ReadTicket,
    SourceReply,
    TicketReply,
    Watch,
)
from wisteriaworks.membership_repair import STANDBY_LOSSES
from wisteriaworks.order_age import DomainOrders, Ticket
from wisteriaworks.view_pacer import ViewPacer

# Shorter than the one second after which clients give up on a member.
COMMAND_TIMEOUT_S = 0.9
# A gateway without an update for three intervals connects to another member.
KEEPALIVE_S = 0.5
# Changes of the delegates within this time are sent together.
ANNOUNCE_DELAY_S = 0.05
# Time for which the first command to a new group requires enough voters to survive
# the tolerated losses of disks. Each member takes up to 0.5 s to join.
FORMATION_TIMEOUT_S = 6.0
# A gateway is a delegate for queries of other gateways if its link is this many
# times as fast as the slowest link. The list of delegates is bounded, because it
# is sent in full to each gateway.
DELEGATE_FACTOR = 4.0
MAX_DELEGATES = 32
# The list of delegates does not shrink while fewer than this share of the gateways
# watch this leader, since the others have not found it yet.
COMPLETE_SHARE = 0.5


class UnavailableError(WisteriaError):
    """Report that a command cannot be accepted or confirmed at present."""


class OperatorCommandClient:
    """Send operator commands to the leader, from any member."""

    def __init__(self, client):
        self._client = client

    async def propose(self, version, document, source):
        """Store a version durably if it is the highest; return the version in force.

        Raises UnavailableError; the proposed version may then be in force or not.
        """
        message = ProposeVersion(version=version, document=document, source=source)
        return (await self._call(message)).version

    async def read_source(self):
        """Return the version and the text of the latest configuration.

        Raises UnavailableError if the latest version can't be confirmed.
        """
        reply = await self._call(ReadSource())
        return reply.version, reply.source

    async def set_domain(self, domain, out, age):
        """Take a domain out of service or return it, if the order is current.

        ``age`` is the OrderAge of the order. Raises UnavailableError.
        """
        began_at = trio.current_time()
        ticket = await self._call(ReadTicket(domain))
        order = OrderDomain(domain, out, ticket.term, ticket.number)
        if not age.is_current(read_boot_time()):
            raise _refuse(order, "the order waited too long, or its sender has left")
        await self._call(order, COMMAND_TIMEOUT_S - (trio.current_time() - began_at))

    async def order_rollout(self, service, target_version, duration_ms):
        """Start a rollout; return False if another one is in progress.

        Raises UnavailableError; the rollout may then have been started or not.
        """
        message = OrderRollout(service, target_version, duration_ms)
        return (await self._call(message)).accepted

    async def read_rollout(self, service):
        """Return the RolloutState of a service, or None if it has had no rollout.

        Raises UnavailableError if the latest state can't be confirmed.
        """
        return (await self._call(ReadRollout(service))).state

    async def _call(self, message, timeout_s=COMMAND_TIMEOUT_S):
        try:
            reply = await self._client.call(message, timeout_s)
        except ControlError as exc:
            raise _refuse(message, exc.message) from exc
        if reply.unavailable:
            raise _refuse(message, reply.unavailable)
        return reply


def _refuse(message, reason):
    """Log that a command is not taken, and return the error to raise."""
    log_event(Event.ORDER_NOT_TAKEN, call=type(message).__name__, reason=reason)
    return UnavailableError(reason)


def choose_delegates(watches):
    """Return the gateways whose links are much faster than the slowest link."""
    links = [watch.link_mbps for watch in watches if watch.link_mbps > 0]
    minimum_mbps = DELEGATE_FACTOR * min(links, default=0.0)
    eligible = {
        watch.name: _make_delegate(watch)
        for watch in watches
        if watch.peer and watch.link_mbps and watch.link_mbps >= minimum_mbps
    }
    fastest = sorted(eligible.values(), key=lambda d: (-d.link_mbps, d.name))
    return tuple(fastest[:MAX_DELEGATES])


def choose_reserve(watches, delegates):
    """Return the gateways that run queries while no delegate can.

    They are chosen by a hash of their names, so that a gateway that joins or leaves
    changes at most one of them. There are none if no link is faster than the others.
    """
    if not delegates:
        return ()
    names = {delegate.name for delegate in delegates}
    others = {w.name: w for w in watches if w.peer and w.name not in names}
    ranked = sorted(others.values(), key=lambda watch: zlib.crc32(watch.name.encode()))
    by_domain = {}
    for watch in ranked:
        by_domain.setdefault(watch.domain, []).append(watch)
    chosen = itertools.chain.from_iterable(
        gateways[:RESERVE_PER_DOMAIN] for _, gateways in sorted(by_domain.items())
    )
    return tuple(
        _make_delegate(watch, is_reserve=True)
        for watch in itertools.islice(chosen, MAX_RESERVE)
    )


def _make_delegate(watch, is_reserve=False):
    return Delegate(
        watch.name,
        watch.peer,
        watch.domain,
        watch.link_mbps,
        is_reserve=is_reserve,
        gathers=watch.gathers,
        awaits_confirmation=watch.awaits_confirmation,
    )


class OperatorCommandService:
    """Handle operator commands and gateways' watches at one control member."""

    def __init__(self, node, directory):
        self._node = node
        self._directory = directory
        self._changed = trio.Event()
        # A gateway that reconnects may be in the list twice for a while.
        self._watches = []
        # Position of each gateway by name.
        self._positions = {}
        self._packed_version, self._packed_document = -1, b""
        self._packer = UpdatePacker()
        self._view_pacer = ViewPacer()
        self._domain_orders = DomainOrders()
        self._delegates_changed = trio.Event()
        self._delegates = ()
        # Number of delegates, without the reserve.
        self.delegate_count = 0
        # Returns the RolloutStates, or None if the settings have no rollouts.
        self.get_rollouts = lambda: None

    def list_handlers(self):
        """Return the handler of each message type for ``RpcServer``."""
        return {
            ProposeVersion: self._propose,
            ReadSource: self._read_source,
            OrderDomain: self._set_domain_state,
            ReadTicket: self._read_ticket,
            Watch: self._watch,
            ReadMembers: self.read_members,
        }

    @property
    def watcher_count(self):
        """Return the number of gateways that watch this member."""
        return len(self._positions)

    def list_watchers(self):
        """Return the names of the gateways that watch this member."""
        return list(self._positions)

    def _update_watches(self):
        # The positions and delegates are cached, because each update to each gateway
        # uses them.
        names = sorted({watch.name for watch in self._watches})
        self._positions = {name: position for position, name in enumerate(names)}
        fast = choose_delegates(self._watches)
        delegates = fast + choose_reserve(self._watches, fast)
        if delegates != self._delegates:
            self._delegates = delegates
            self._delegates_changed.set()
        self.delegate_count = len(fast)

    async def announce_delegates(self):
        """Send changes of the delegates to the gateways, until cancelled.

        When many gateways connect at the same time, a change for each of them would
        cause as many updates to all of them.
        """
        while True:
            await self._delegates_changed.wait()
            await trio.sleep(ANNOUNCE_DELAY_S)
            self._delegates_changed = trio.Event()
            self.notify()

    def notify(self):
        """Wake all watches after a change."""
        self._changed.set()
        self._changed = trio.Event()

    async def _propose(self, message, send):
        command = RaiseConfiguration(message.version, message.document, message.source)
        reply = await self.submit(command, lambda version: SourceReply(version=version))
        if isinstance(reply, SourceReply) and reply.version == message.version:
            log_event(Event.CONFIGURATION_ACCEPTED, version=reply.version)
        return reply

    async def _read_ticket(self, message, send):
        replica = self._node.replica
        if self._node.is_stopping or not replica.is_leader:
            return self.redirect_to_leader()
        ticket = self._domain_orders.issue(replica.term, message.domain)
        return TicketReply(term=ticket.term, number=ticket.number)

    async def _set_domain_state(self, message, send):
        if self._is_outdated(message):
            return SourceReply(
                version=0, unavailable="a newer order for the domain was accepted"
            )
        command = SetDomain(message.domain, message.out)
        log_event(Event.DOMAIN_ORDERED, domain=message.domain, out=message.out)
        return await self.submit(command, lambda result: OrderDomainReply())

    def _is_outdated(self, order):
        """Return whether another order for the domain was accepted since its ticket.

        Orders of this leader reach the log in the sequence of these checks.
        """
        replica = self._node.replica
        if not replica.is_leader:
            return False
        ticket = Ticket(order.term, order.number)
        if not order.term:
            ticket = self._domain_orders.issue(replica.term, order.domain)
        return not self._domain_orders.accept(
            replica.term, order.domain, order.out, ticket
        )

    async def submit(self, command, make_reply):
        """Propose a command; return the reply made of its result, or a refusal."""
        if self._node.is_stopping or not self._node.replica.is_leader:
            return self.redirect_to_leader()
        unavailable = self._describe_missing_voters()
        if unavailable:
            return SourceReply(version=0, unavailable=unavailable)
        try:
            result = await self._node.propose(command)
        except NotLeaderError:
            return self.redirect_to_leader()
        except ProposalOutcomeUnknownError as exc:
            return SourceReply(version=0, unavailable=exc.message)
        self.notify()
        return make_reply(result)

    def _describe_missing_voters(self):
        cfg, replica = self._node.cfg.operators, self._node.replica
        if cfg is None:
            return ""
        voters = sum(member.voter for member in replica.members)
        required = cfg.minimum_voters
        is_first = self._node.machine.version == 0
        leading_s = trio.current_time() - (replica.became_leader_at or 0.0)
        if is_first and leading_s < FORMATION_TIMEOUT_S:
            # With fewer voters, a command might not survive the tolerated number
            # of lost disks.
            required = max(required, 2 * cfg.tolerated_losses)
            if cfg.tolerated_losses >= STANDBY_LOSSES:
                # Members that have joined are about to vote, up to the target.
                target = 2 * cfg.tolerated_losses + 1
                required = max(required, min(target, len(replica.members)))
        if voters < required:
            return f"{voters} of {required} required voters have joined"
        return ""

    async def _read_source(self, message, send):
        try:
            await self._node.replica.confirm_leader()
        except NotLeaderError:
            return self.redirect_to_leader()
        machine = self._node.machine
        return SourceReply(version=machine.version, source=machine.source)

    async def read_members(self, message, send):
        """Answer with the member list, whether or not this member leads."""
        replica = self._node.replica
        return MembersReply(
            id=replica.id,
            leader=replica.leader_address or "",
            members=tuple(replica.members),
            commit_index=replica.commit_index,
        )

    def redirect_to_leader(self):
        """Return the reply of a member that does not lead."""
        address = self._node.replica.leader_address
        is_self = address == self._node.cfg.address
        return NotLeader(leader="" if is_self else address or "")

    async def _watch(self, message, send):
        """Send updates until this member is no longer the leader of this term."""
        await self._wait_for_leader()
        replica = self._node.replica
        if not replica.is_leader:
            return self.redirect_to_leader()
        term = replica.term
        try:
            # A leader that was suspended may have been replaced in the meantime, and
            # one that was just elected may not have applied all commands yet.
            await replica.confirm_leader()
        except NotLeaderError:
            return self.redirect_to_leader()
        version, revision = message.config_version, 0
        delegates, known, rollouts = None, message.delegates, None
        self._watches.append(message)
        self._update_watches()
        try:
            while self._leads_in(term) and not self._node.is_stopping:
                update, revision = self._make_paced_update(message, version, revision)
                version = max(version, update.config_version)
                if delegates != self._delegates and self._may_send_delegates(known):
                    delegates, known = self._delegates, self.delegate_count
                    update = self._add_delegates(update, message)
                if rollouts is not self.get_rollouts():
                    rollouts = self.get_rollouts()
                    update = msgspec.structs.replace(update, rollouts=rollouts)
                send(update)
                with trio.move_on_after(KEEPALIVE_S):
                    await self._changed.wait()
        finally:
            self._watches.remove(message)
            self._update_watches()
        return self.redirect_to_leader()

    def _leads_in(self, term):
        # The revisions of the directory begin anew in each term.
        return self._node.replica.is_leader and self._node.replica.term == term

    def _may_send_delegates(self, known):
        """Return whether the list may replace one with ``known`` delegates."""
        recorded = self._node.machine.gateways
        is_complete = self.watcher_count >= COMPLETE_SHARE * recorded
        return is_complete or self.delegate_count > known

    async def _wait_for_leader(self):
        """Wait up to ``KEEPALIVE_S`` for a leader, so that the reply can name it."""
        with trio.move_on_after(KEEPALIVE_S):
            while not self._node.replica.leader_address and not self._node.is_stopping:
                await self._changed.wait()

    def _pack_document(self):
        """Return the encoded document in force, cached by version."""
        machine = self._node.machine
        if self._packed_version != machine.version:
            self._packed_document = pack_document(machine.document)
            self._packed_version = machine.version
        return self._packed_document

    def _add_delegates(self, update, watch):
        if not watch.reads_packed:
            return msgspec.structs.replace(update, delegates=self._delegates)
        packed = self._packer.pack_delegates(self._delegates)
        return msgspec.structs.replace(update, packed_delegates=packed)

    def _make_paced_update(self, watch, version, revision):
        """Return the update, or one without list and configuration until its turn."""
        update, next_revision = self._make_update(watch, version, revision)
        size = len(update.packed_changes) + len(update.document)
        is_view = update.full and watch.reads_packed
        if not is_view or self._view_pacer.admit(size, trio.current_time()):
            return update, next_revision
        kept = {"config_version": version, "document": b"", "packed_changes": b""}
        update = msgspec.structs.replace(update, list_read=False, full=False, **kept)
        return update, revision

    def _make_update(self, watch, version, revision):
        machine, now = self._node.machine, trio.current_time()
        directory = self._directory
        changes, packed = self._packer.pack_changes(directory, revision, now)
        is_newer = machine.version > version
        is_list_read = changes.revision > 0
        update = FleetUpdate(
            state_index=machine.applied_index,
            config_version=machine.version,
            document=self._pack_document() if is_newer else b"",
            domains_out=tuple(sorted(machine.domains_out)),
            gateways=max(machine.gateways, self.watcher_count),
            position=self._positions[watch.name],
            delegate_count=max(machine.delegates, self.delegate_count),
            list_read=is_list_read,
            list_age_s=read_boot_time() - directory.read_at if is_list_read else 0.0,
            full=changes.full,
            servers=() if watch.reads_packed else changes.servers,
            removed=() if watch.reads_packed else changes.removed,
            packed_changes=packed if watch.reads_packed else b"",
            members=tuple(m.address for m in self._node.replica.members),
        )
        return update, changes.revision
