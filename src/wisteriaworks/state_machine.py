"""The replicated state machine of the control group.

Its state depends on nothing but the commands in the log.
"""

import hashlib

import msgspec

from wisteriaworks.claim_table import ClaimTable
from wisteriaworks.compression import compress, decompress
from wisteriaworks.generated.commands import (
    AdvanceRollout,
    Assign,
    ClaimRequest,
    CloseSession,
    Holding,
    NoteGateways,
    OpenSession,
    OperationRecord,
    PutConfiguration,
    RaiseConfiguration,
    ReleaseServers,
    ResolveRequest,
    SessionRecord,
    SetDomain,
    Snapshot,
    Stamped,
    StartRollout,
    Tick,
)
from wisteriaworks.generated.document import Document
from wisteriaworks.generated.messages import (
    ClaimRecordReply,
    ConfigurationReply,
    ProposeResult,
)
from wisteriaworks.operations import OperationTable
from wisteriaworks.rollouts.table import RolloutTable
from wisteriaworks.uuid7 import parse_uuid7

_ENCODER = msgspec.msgpack.Encoder()
_STABLE_ENCODER = msgspec.msgpack.Encoder(order="deterministic")
_COMMAND_DECODER = msgspec.msgpack.Decoder(Stamped)
_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(Snapshot)
_DIGEST_BYTES = 16
_EXPIRED_OPERATION = "operation_id: expected a UUIDv7 created within the last 24 hours"
_REUSED_OPERATION = "operation_id: expected a new ID; another change has used this one"


def encode_command(command, time_ms):
    """Encode a command for ``StateMachine.apply``."""
    return compress(_ENCODER.encode(Stamped(time_ms=time_ms, command=command)))


def list_servers(document):
    """Return all servers of a document by name."""
    return {
        server.name: server
        for index in document.indexes.values()
        for server in index.servers
    }


class StateMachine:
    """Apply commands in log order.

    ``on_final`` is called with the key of each claim that reaches a final
    state or is deleted. It must not modify the state machine.
    """

    def __init__(self, on_final=lambda key: None):
        self._on_final = on_final
        # Incremented by each change of sessions or holdings, new document, SetDomain
        # command and restored snapshot.
        self.revision = 0
        self._load_snapshot(
            Snapshot(
                applied_index=0,
                time_ms=0,
                version=0,
                document=Document(),
                sessions=(),
                holdings=(),
                epoch_floor=0,
                operations=(),
                operation_floor_ms=0,
                claims=(),
                claim_floor_ms=0,
            )
        )

    def apply(self, index, data):
        """Apply one encoded command and return its result."""
        stamped = _COMMAND_DECODER.decode(decompress(data))
        assert index > self.applied_index, "commands are out of log order"
        self.applied_index = index
        self.time_ms = max(self.time_ms, stamped.time_ms)
        return self._apply(stamped.command)

    def encode_snapshot(self):
        """Return the complete state as bytes."""
        return compress(_ENCODER.encode(self._make_snapshot()))

    def _make_snapshot(self):
        return Snapshot(
            applied_index=self.applied_index,
            time_ms=self.time_ms,
            version=self.version,
            document=self.document,
            sessions=tuple(self.sessions.values()),
            holdings=tuple(sorted(self.holdings.values(), key=_get_server)),
            epoch_floor=self._epoch_floor,
            operations=self._operations.list_records(),
            operation_floor_ms=self._operations.floor_ms,
            claims=self._claims.list_claims(),
            claim_floor_ms=self._claims.floor_ms,
            source=self.source,
            domains_out=tuple(sorted(self.domains_out)),
            gateways=self.gateways,
            delegates=self.delegates,
            rollouts=self.rollouts.list_records(),
        )

    def restore_snapshot(self, data):
        """Replace the complete state by a snapshot."""
        self._load_snapshot(_SNAPSHOT_DECODER.decode(decompress(data)))

    def read_claim(self, key):
        """Return the record of a claim by its key, or None."""
        return self._claims.read(key)

    def has_expired_claims(self, now_ms):
        """Return whether a Tick at that time would delete claims."""
        return self._claims.has_expired(max(now_ms, self.time_ms), self._window_ms)

    def count_held(self, session):
        """Return the number of servers that a session holds."""
        return len(self._servers_by_session[session])

    def pop_changed_servers(self):
        """Return the servers that changed since the last call, and reset the set."""
        changed, self._changed_servers = self._changed_servers, set()
        return changed

    @property
    def _window_ms(self):
        return self.document.limits.request_id_window_s * 1000

    def _load_snapshot(self, snapshot):
        self.applied_index = snapshot.applied_index
        self.time_ms = snapshot.time_ms
        self.version = snapshot.version
        self.document = snapshot.document
        self.source = snapshot.source
        self.domains_out = frozenset(snapshot.domains_out)
        self.gateways = snapshot.gateways
        self.delegates = snapshot.delegates
        self.rollouts = RolloutTable(snapshot.rollouts)
        self.servers = list_servers(snapshot.document)
        self.sessions = {record.number: record for record in snapshot.sessions}
        self.holdings = {holding.server: holding for holding in snapshot.holdings}
        self._servers_by_session = {number: set() for number in self.sessions}
        for holding in snapshot.holdings:
            if holding.session:
                self._servers_by_session[holding.session].add(holding.server)
        self._epoch_floor = snapshot.epoch_floor
        self._operations = OperationTable(
            snapshot.operations, snapshot.operation_floor_ms
        )
        self._claims = ClaimTable(
            snapshot.claims, snapshot.claim_floor_ms, self._on_final
        )
        self._changed_servers = set()
        self._record_changed_servers({*self.servers, *self.holdings})

    def _apply(self, command):
        match command:
            case StartRollout() | AdvanceRollout():
                return self.rollouts.apply(command, self.applied_index)
            case PutConfiguration() | RaiseConfiguration() | SetDomain():
                return self._apply_operator_command(command)
            case NoteGateways(count=count, delegates=delegates):
                self.gateways, self.delegates = count, delegates
            case OpenSession():
                return self._open_session(command)
            case CloseSession(session=number):
                return self._close_session(number)
            case Assign(servers=servers):
                return self._assign(servers)
            case ReleaseServers():
                return self._release_servers(command)
            case ClaimRequest() | ResolveRequest() | Tick():
                return self._apply_claim_command(command)

    def _apply_claim_command(self, command):
        match command:
            case ClaimRequest(claim=claim):
                self._claims.drop_expired(self.time_ms, self._window_ms)
                is_open = claim.session in self.sessions
                return self._claims.claim(claim, self.time_ms, is_open)
            case ResolveRequest(resolve=resolve):
                limit = self.document.limits.max_recorded_answer_bytes
                record = self._claims.resolve(resolve, limit)
                return ClaimRecordReply(record=record)
            case Tick():
                return self._claims.drop_expired(self.time_ms, self._window_ms)

    def _apply_operator_command(self, command):
        match command:
            case PutConfiguration():
                return self._put_configuration(command)
            case RaiseConfiguration():
                return self._raise_configuration(command)
            case SetDomain(domain=domain, out=out):
                return self._set_domain(domain, out)

    def _put_configuration(self, command):
        operation = parse_uuid7(command.operation_id)
        if operation is None:
            return self._refuse_operation(_EXPIRED_OPERATION)
        digest = _compute_digest(command)
        existing = self._operations.find(operation.key)
        if existing is not None:
            return self._make_operation_reply(existing, digest)
        if not self._operations.is_acceptable(operation.time_ms, self.time_ms):
            return self._refuse_operation(_EXPIRED_OPERATION)
        result = ProposeResult.CONFLICT
        if command.expected_version == self.version:
            result = ProposeResult.ACCEPTED
            self._replace_document(command.document, self.version + 1)
        record = OperationRecord(operation.key, digest, result, self.version)
        self._operations.add(record)
        return self._make_operation_reply(record, digest)

    def _refuse_operation(self, problem):
        return ConfigurationReply(ProposeResult.INVALID, self.version, None, (problem,))

    def _make_operation_reply(self, record, digest):
        if record.digest != digest:
            return self._refuse_operation(_REUSED_OPERATION)
        if record.result is ProposeResult.CONFLICT:
            # The operator needs the current document to redo the change;
            # earlier documents are not stored.
            return ConfigurationReply(record.result, self.version, self.document)
        return ConfigurationReply(record.result, record.version, None)

    def _raise_configuration(self, command):
        """Apply a higher version and return the version in force.

        A lower or equal version changes nothing, so that a change that is
        resent or arrives late never reverts a newer one.
        """
        if command.version > self.version:
            self._replace_document(command.document, command.version, command.source)
        return self.version

    def _set_domain(self, domain, out):
        self.revision += 1
        changed = frozenset((domain,))
        self.domains_out = (
            self.domains_out | changed if out else self.domains_out - changed
        )

    def _replace_document(self, document, version, source=b""):
        previous = set(self.servers)
        self.version = version
        self.document = document
        self.source = source
        self.servers = list_servers(document)
        self._record_changed_servers(previous ^ set(self.servers))
        for server in sorted(previous - set(self.servers)):
            self._delete_free_holding(server)

    def _open_session(self, command):
        number = self.applied_index
        assert number not in self.sessions
        self.sessions[number] = SessionRecord(
            number, command.name, command.domain, command.address
        )
        self._servers_by_session[number] = set()
        self.revision += 1
        return number

    def _close_session(self, number):
        if self.sessions.pop(number, None) is None:
            return
        self.revision += 1
        self._claims.close_session(number)
        for server in sorted(self._servers_by_session.pop(number)):
            self._free_server(server)

    def _assign(self, servers):
        assigned = {
            server: session
            for server, session in servers.items()
            if self._can_assign(server, session)
        }
        for server, session in assigned.items():
            epoch = self._read_epoch(server) + 1
            self.holdings[server] = Holding(server, session, epoch)
            self._servers_by_session[session].add(server)
        self._record_changed_servers(assigned)
        return assigned

    def _can_assign(self, server, session):
        holding = self.holdings.get(server)
        is_free = holding is None or holding.session == 0
        return is_free and session in self.sessions and server in self.servers

    def _read_epoch(self, server):
        holding = self.holdings.get(server)
        return self._epoch_floor if holding is None else holding.epoch

    def _release_servers(self, command):
        for release in command.released:
            expected = Holding(release.server, command.session, release.epoch)
            if command.session and self.holdings.get(release.server) == expected:
                self._servers_by_session[command.session].remove(release.server)
                self._free_server(release.server)

    def _record_changed_servers(self, servers):
        self._changed_servers.update(servers)
        self.revision += 1

    def _free_server(self, server):
        epoch = self.holdings[server].epoch
        self.holdings[server] = Holding(server, 0, epoch)
        self._record_changed_servers((server,))
        if server not in self.servers:
            self._delete_free_holding(server)

    def _delete_free_holding(self, server):
        # The epochs of added servers start above the floor, so a server that is
        # removed and added again gets a new epoch, although its record was deleted.
        holding = self.holdings.get(server)
        if holding is not None and holding.session == 0:
            del self.holdings[server]
            self._epoch_floor = max(self._epoch_floor, holding.epoch)


def _get_server(holding):
    return holding.server


def _compute_digest(command):
    content = _STABLE_ENCODER.encode((command.expected_version, command.document))
    return hashlib.sha256(content).digest()[:_DIGEST_BYTES]
