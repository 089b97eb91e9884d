"""Operators' orders at any control member: passed to the leader, durable."""

import trio

from wisteriaworks.errors import (
    ControlError,
    NotLeaderError,
    ProposalUnknownError,
    WisteriaError,
)
from wisteriaworks.events import Event, log_event
from wisteriaworks.generated.commands import RaiseConfiguration, SetDomain
from wisteriaworks.generated.messages import (
    FleetUpdate,
    MembersReply,
    NotLeader,
    OrderDomain,
    OrderDomainReply,
    ProposeVersion,
    ReadMembers,
    ReadSource,
    SourceReply,
    Watch,
)

# Callers give up on a member after a second without an answer.
ORDER_TIMEOUT_S = 0.9
# A gateway that hears nothing for three of these looks for another member.
KEEPALIVE_S = 0.5


class UnavailableError(WisteriaError):
    """Report that no order can be taken or confirmed at the moment."""


class OrderClient:
    """Give orders to the leader, from any member."""

    def __init__(self, client):
        self._client = client

    async def propose(self, version, document, source):
        """Make a version durable if it is the highest; return the one in force.

        Raises UnavailableError, after which it may or may not be in force.
        """
        message = ProposeVersion(version=version, document=document, source=source)
        return (await self._call(message)).version

    async def read_source(self):
        """Return version and text of the newest configuration.

        Raises UnavailableError if the newest one can't be confirmed.
        """
        reply = await self._call(ReadSource())
        return reply.version, reply.source

    async def set_domain(self, domain, out):
        """Take a failure domain out, or put it back. Raises UnavailableError."""
        await self._call(OrderDomain(domain=domain, out=out))

    async def _call(self, message):
        reason = ""
        try:
            reply = await self._client.call(message, ORDER_TIMEOUT_S)
            reason = reply.unavailable
        except ControlError as exc:
            reason = exc.message
        if reason:
            call = type(message).__name__
            log_event(Event.ORDER_NOT_TAKEN, call=call, reason=reason)
            raise UnavailableError(reason)
        return reply


class OrderService:
    """Handle orders and watches at one control member."""

    def __init__(self, node, directory):
        self._node = node
        self._directory = directory
        self._changed = trio.Event()
        # Names of the gateways; one that connects again may be in twice.
        self._watches = []

    def list_handlers(self):
        """Return the handler of each message type for ``RpcServer``."""
        return {
            ProposeVersion: self._propose,
            ReadSource: self._read_source,
            OrderDomain: self._order_domain,
            Watch: self._watch,
            ReadMembers: self._read_members,
        }

    @property
    def watching(self):
        """Return how many gateways follow this member."""
        return len(set(self._watches))

    def notify(self):
        """Wake the watches after a change."""
        self._changed.set()
        self._changed = trio.Event()

    async def _propose(self, message, send):
        command = RaiseConfiguration(message.version, message.document, message.source)
        reply = await self._order(command, lambda version: SourceReply(version=version))
        if isinstance(reply, SourceReply) and reply.version == message.version:
            log_event(Event.CONFIGURATION_ACCEPTED, version=reply.version)
        return reply

    async def _order_domain(self, message, send):
        command = SetDomain(message.domain, message.out)
        log_event(Event.DOMAIN_ORDERED, domain=message.domain, out=message.out)
        return await self._order(command, lambda result: OrderDomainReply())

    async def _order(self, command, make_reply):
        if self._node.is_stopping or not self._node.replica.is_leader:
            return self._name_leader()
        unavailable = self._find_unavailable()
        if unavailable:
            return SourceReply(version=0, unavailable=unavailable)
        try:
            result = await self._node.propose(command)
        except NotLeaderError:
            return self._name_leader()
        except ProposalUnknownError as exc:
            return SourceReply(version=0, unavailable=exc.message)
        self.notify()
        return make_reply(result)

    def _find_unavailable(self):
        cfg = self._node.cfg.operators
        voters = sum(member.voter for member in self._node.replica.members)
        if cfg is not None and voters < cfg.minimum_voters:
            return f"{voters} of {cfg.minimum_voters} members have joined"
        return ""

    async def _read_source(self, message, send):
        try:
            await self._node.replica.confirm_leader()
        except NotLeaderError:
            return self._name_leader()
        machine = self._node.machine
        return SourceReply(version=machine.version, source=machine.source)

    async def _read_members(self, message, send):
        replica = self._node.replica
        return MembersReply(
            id=replica.id,
            leader=replica.leader_address or "",
            members=tuple(replica.members),
        )

    def _name_leader(self):
        address = self._node.replica.leader_address
        is_self = address == self._node.cfg.address
        return NotLeader(leader="" if is_self else address or "")

    async def _watch(self, message, send):
        """Send updates until this member stops to lead."""
        await self._wait_for_leader()
        version, revision = message.config_version, 0
        self._watches.append(message.name)
        self.notify()
        try:
            while self._node.replica.is_leader and not self._node.is_stopping:
                update, revision = self._make_update(message.name, version, revision)
                version = max(version, update.config_version)
                send(update)
                with trio.move_on_after(KEEPALIVE_S):
                    await self._changed.wait()
        finally:
            self._watches.remove(message.name)
        return self._name_leader()

    async def _wait_for_leader(self):
        """Hold a gateway while no leader is known, so that it hears of one at once."""
        with trio.move_on_after(KEEPALIVE_S):
            while not self._node.replica.leader_address and not self._node.is_stopping:
                await self._changed.wait()

    def _make_update(self, name, version, revision):
        machine = self._node.machine
        changes = self._directory.list_changes(revision, trio.current_time())
        is_newer = machine.version > version
        update = FleetUpdate(
            state_index=machine.applied_index,
            config_version=machine.version,
            document=machine.document if is_newer else None,
            domains_out=tuple(sorted(machine.domains_out)),
            gateways=max(machine.gateways, self.watching),
            position=sorted(set(self._watches)).index(name),
            list_read=changes.revision > 0,
            full=changes.full,
            servers=changes.servers,
            removed=changes.removed,
            members=tuple(m.address for m in self._node.replica.members),
        )
        return update, changes.revision
