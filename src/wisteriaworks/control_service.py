"""Handle the messages of entries, operators and other control members."""

import contextlib
import functools

import trio

from wisteriaworks.claim_table import make_claim_key
from wisteriaworks.configuration import check_document, list_errors
from wisteriaworks.errors import NotLeaderError, WisteriaError
from wisteriaworks.events import Event, log_event
from wisteriaworks.generated.commands import (
    ClaimRequest,
    OpenSession,
    PutConfiguration,
    ReleaseServers,
    ResolveRequest,
)
from wisteriaworks.generated.consensus import Deliver
from wisteriaworks.generated.messages import (
    ChangeMembers,
    ChangeMembersReply,
    Claim,
    ClaimRecordReply,
    ClaimState,
    ConfigurationReply,
    Heartbeat,
    HeartbeatReply,
    NotLeader,
    ProposeConfiguration,
    ProposeResult,
    ReadClaim,
    ReadConfiguration,
    ReadStatus,
    Resolve,
)
from wisteriaworks.status import describe_status

MAX_WAIT_S = 60.0


class ControlService:
    """Handle messages at one control member."""

    def __init__(self, node):
        self._node = node
        self._running = 0

    @property
    def running(self):
        """Return the number of calls in progress."""
        return self._running

    def list_handlers(self):
        """Return the handler of each message type for ``RpcServer``."""
        handlers = {
            Heartbeat: self._heartbeat,
            Claim: self._claim,
            Resolve: self._resolve,
            ReadClaim: self._read_claim,
            ProposeConfiguration: self._propose_configuration,
            ReadConfiguration: self._read_configuration,
            ReadStatus: self._read_status,
            ChangeMembers: self._change_members,
        }
        leader_handlers = {
            kind: functools.partial(self._require_leader, handler)
            for kind, handler in handlers.items()
        }
        return {**leader_handlers, Deliver: self._deliver}

    async def _require_leader(self, handler, message, send):
        node = self._node
        if node.is_stopping or not node.replica.is_leader:
            return self._redirect_to_leader(node.replica.leader_address)
        with self._count_call():
            try:
                return await handler(message)
            except NotLeaderError as exc:
                return self._redirect_to_leader(exc.leader_address)

    def _redirect_to_leader(self, address):
        is_self = address == self._node.cfg.address
        return NotLeader(leader="" if is_self else address or "")

    @contextlib.contextmanager
    def _count_call(self):
        self._running += 1
        try:
            yield
        finally:
            self._running -= 1

    async def _deliver(self, message, send):
        return await self._node.replica.handle_deliver(message, send)

    async def _heartbeat(self, message):
        received_at = trio.current_time()
        if message.session == 0:
            number = await self._open_session(message, received_at)
        else:
            number = await self._renew_session(message, received_at)
        if number and message.released:
            await self._release(message)
        return self._reply_to_heartbeat(number, message)

    async def _open_session(self, message, received_at):
        command = OpenSession(
            name=message.name, domain=message.domain, address=message.address
        )
        number = await self._node.propose(command)
        self._node.get_leader_state().sessions.open(number, received_at, message)
        log_event(Event.SESSION_OPENED, session=number, entry=message.name)
        return number

    async def _renew_session(self, message, received_at):
        # Renewal before the leadership is confirmed is safe: it only extends the
        # lease on the control side. It also keeps the session from expiring
        # during the confirmation.
        if not self._owns_session(message):
            await self._node.replica.confirm_leader()
            return 0
        self._node.get_leader_state().sessions.renew(received_at, message)
        await self._node.replica.confirm_leader()
        return message.session

    def _owns_session(self, message):
        record = self._node.machine.sessions.get(message.session)
        return record is not None and (record.name, record.address) == (
            message.name,
            message.address,
        )

    async def _release(self, message):
        holdings = self._node.machine.holdings
        released = tuple(
            release
            for release in message.released
            if release.server in holdings
            and holdings[release.server].session == message.session
            and holdings[release.server].epoch == release.epoch
        )
        if released:
            await self._node.propose(ReleaseServers(message.session, released))
            self._node.wake_assigner()

    def _reply_to_heartbeat(self, number, message):
        node = self._node
        leader = node.get_leader_state()
        info = leader.sessions.get(number)
        if info is None or info.is_closing:
            number = 0
        else:
            leader.accept_reports(number, message.reports)
        changes = leader.list_changes(message.route_version, trio.current_time())
        is_newer = node.machine.version > message.config_version
        return HeartbeatReply(
            session=number,
            lease_s=node.cfg.lease_s,
            heartbeat_s=node.cfg.heartbeat_s,
            leader_epoch=leader.term,
            config_version=node.machine.version,
            document=node.machine.document if is_newer else None,
            route_version=changes.version,
            full=changes.full,
            routes=changes.routes,
            removed=changes.removed,
            release=leader.releases.get(number, ()),
        )

    async def _claim(self, message):
        reply = await self._node.propose(ClaimRequest(message))
        self._node.metrics.claims.add(1, {"result": reply.result.value})
        return reply

    async def _resolve(self, message):
        return await self._node.propose(ResolveRequest(message))

    async def _read_claim(self, message):
        node = self._node
        key = make_claim_key(message.caller, message.request_id)
        deadline = trio.current_time() + min(message.wait_s, MAX_WAIT_S)
        while True:
            await node.replica.confirm_leader()
            record = node.machine.read_claim(key)
            if record is None or record.state is not ClaimState.CLAIMED:
                return ClaimRecordReply(record=record)
            if trio.current_time() >= deadline:
                return ClaimRecordReply(record=record)
            if node.is_stopping:
                raise NotLeaderError("")
            await node.waiters.wait(key, deadline)

    async def _propose_configuration(self, message):
        problems = tuple(map(str, list_errors(check_document(message.document))))
        if problems:
            version = self._node.machine.version
            return ConfigurationReply(ProposeResult.INVALID, version, None, problems)
        command = PutConfiguration(
            message.operation_id, message.expected_version, message.document
        )
        reply = await self._node.propose(command)
        if reply.result is ProposeResult.ACCEPTED:
            log_event(Event.CONFIGURATION_ACCEPTED, version=reply.version)
            self._node.wake_assigner()
        return reply

    async def _read_configuration(self, message):
        await self._node.replica.confirm_leader()
        machine = self._node.machine
        return ConfigurationReply(
            ProposeResult.ACCEPTED, machine.version, machine.document
        )

    async def _read_status(self, message):
        await self._node.replica.confirm_leader()
        return describe_status(self._node)

    async def _change_members(self, message):
        try:
            await self._node.replica.change_members(
                message.action, message.id, message.address, message.domain
            )
        except NotLeaderError:
            raise
        except WisteriaError as exc:
            return ChangeMembersReply(accepted=False, problem=exc.message)
        log_event(Event.MEMBERS_CHANGED, action=message.action.value, id=message.id)
        return ChangeMembersReply(accepted=True)
