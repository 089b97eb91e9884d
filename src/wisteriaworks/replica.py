"""Run one member of the replicated log: its disk, network and clock, on trio."""

import contextlib
import functools
from dataclasses import dataclass

import trio

from wisteriaworks.consensus import Consensus
from wisteriaworks.consensus_timing import Timing
from wisteriaworks.effects import (
    ApplyEntries,
    ConfirmationDone,
    DiskEffect,
    LeadershipChanged,
    MembersChanged,
    RestoreSnapshot,
    SaveSnapshot,
    SendMessage,
    TakeSnapshot,
)
from wisteriaworks.errors import (
    MembershipError,
    NotLeaderError,
    ProposalOutcomeUnknownError,
)
from wisteriaworks.events import Event, log_event
from wisteriaworks.generated.consensus import EntryKind, PreVote, PreVoteReply
from wisteriaworks.message_sender import MessageSender

TICK_S = 0.025
# A command and the message that carries it must fit well within one frame.
MAX_COMMAND_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Leadership:
    """Describe the leadership as known to this member."""

    term: int
    is_leader: bool
    leader_id: str | None
    leader_address: str | None


class _Waiter:
    """Represent a result, or an error, that a task waits for."""

    def __init__(self):
        self._done = trio.Event()
        self._result = self._error = None

    def resolve(self, result):
        self._result = result
        self._done.set()

    def fail(self, error):
        self._error = error
        self._done.set()

    async def wait(self):
        await self._done.wait()
        if self._error is not None:
            raise self._error
        return self._result


class Replica:
    """Replicate a state machine together with the other members.

    The member id is ``name`` and the identity of the disk, joined by a slash.
    Create the replica inside a trio run and start ``run``. ``store`` must stay open
    until ``run`` has ended. ``on_leadership`` is called with a ``Leadership`` whenever
    the term, the leader or the role of this member changes.
    """

    def __init__(
        self,
        store,
        name,
        address,
        state_machine,
        rng,
        *,
        snapshot_every=1000,
        timing=None,
        tolerated_losses=1,
        on_leadership=lambda leadership: None,
    ):
        self.id = f"{name}/{store.identity}"
        self.became_leader_at = None
        self._address = address
        self._store = store
        self._state_machine = state_machine
        self._on_leadership = on_leadership
        self._addresses = {}
        self._proposals = {}
        self._confirmations = {}
        self._pending_writes = []
        self._writes_ready = trio.Event()
        self._failure = None
        self._failed = trio.Event()
        self._sender = None
        if store.stored.snapshot:
            state_machine.restore_snapshot(store.stored.snapshot.data)
        self._consensus = Consensus(
            self.id,
            store.stored,
            timing or Timing(),
            rng,
            trio.current_time(),
            snapshot_every,
            tolerated_losses,
        )

    @property
    def is_leader(self):
        """Return whether this member runs and believes that it is the leader."""
        return self._is_running and self._consensus.is_leader

    @property
    def term(self):
        """Return the current term."""
        return self._consensus.term

    @property
    def leader_address(self):
        """Return the address of the leader, or None if it is not known."""
        leader_id = self._consensus.leader_id
        return leader_id and self._find_address(leader_id)

    @property
    def members(self):
        """Return the active member list."""
        return self._consensus.members

    @property
    def commit_index(self):
        """Return the index of the last entry known to be committed."""
        return self._consensus.commit_index

    @property
    def last_contacts(self):
        """Return the time of the last contact with each other member, if leader."""
        return self._consensus.last_contacts

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Run until cancelled. Raises StorageError or InvariantError."""
        try:
            async with trio.open_nursery() as nursery:
                self._sender = MessageSender(self._address, nursery)
                nursery.start_soon(self._run_until_error, self._write_to_disk)
                nursery.start_soon(self._run_until_error, self._tick)
                task_status.started()
                await self._failed.wait()
                nursery.cancel_scope.cancel()
        finally:
            self._sender = None
            self._fail_proposals()
            self._fail_confirmations()
        raise self._failure

    async def propose(self, data):
        """Commit a command and return the result of the state machine.

        Raises ValueError if the command is too long, NotLeaderError if it will not
        be applied, and ProposalOutcomeUnknownError if it may or may not be applied.
        """
        if len(data) > MAX_COMMAND_BYTES:
            raise ValueError(
                f"a command of {len(data)} bytes exceeds the limit of"
                f" {MAX_COMMAND_BYTES} bytes"
            )
        index = self._call_consensus(self._consensus.propose, data)
        return await self._wait_for_result(self._proposals, index)

    async def change_members(self, action, member_id, address, domain=""):
        """Commit one change of the member list.

        Raises MembershipError if the change is not allowed now, and the same
        errors as ``propose``.
        """
        change = functools.partial(self._consensus.change_members, domain=domain)
        index = self._call_consensus(change, action, member_id, address)
        await self._wait_for_result(self._proposals, index)

    async def confirm_leader(self):
        """Confirm that this member was the leader at some time after the call.

        On return, all commands that were committed before the call are applied.
        Raises NotLeaderError.
        """
        token = self._call_consensus(self._consensus.confirm)
        await self._wait_for_result(self._confirmations, token)

    async def handle_deliver(self, message, send):
        """Handle a message from another member, as a handler of RpcServer.

        This method has no trio checkpoint, so that a message is handled
        completely even if its sender has cancelled the call.
        """
        if not self._is_running:
            return
        if message.recipient != self.id:
            self._reply_for_lost_disk(message)
            return
        self._addresses[message.message.sender] = message.address
        self._call_consensus(self._consensus.receive, message.message)
        self._execute_effects()

    def _reply_for_lost_disk(self, deliver):
        """Tell a candidate that the addressed voter has lost its disk.

        After a power loss that also destroyed a disk, the other voters would
        otherwise wait for the election timeout, since the lost voter might be
        the leader.
        """
        name = deliver.recipient.rpartition("/")[0]
        own_name = self.id.rpartition("/")[0]
        if not isinstance(deliver.message, PreVote) or name != own_name:
            return
        reply = PreVoteReply(
            # The term of the lost voter is not known, so the lowest is sent.
            term=0,
            sender=deliver.recipient,
            granted=False,
            idle=self._consensus.has_no_leader_contact,
            lost=True,
        )
        self._sender.send(deliver.message.sender, deliver.address, reply)

    @property
    def _is_running(self):
        return self._sender is not None and self._failure is None

    @contextlib.contextmanager
    def _stop_on_error(self):
        """Stop the member on an error, in whichever task it occurs."""
        try:
            yield
        except MembershipError:
            raise
        except Exception as exc:
            self._failure = self._failure or exc
            self._failed.set()
            raise

    def _call_consensus(self, method, *args):
        if not self._is_running:
            return None
        with self._stop_on_error():
            return method(*args, trio.current_time())

    async def _wait_for_result(self, waiters, key):
        if key is None:
            self._execute_effects()
            raise NotLeaderError(self.leader_address)
        waiter = waiters[key] = _Waiter()
        self._execute_effects()
        try:
            return await waiter.wait()
        finally:
            if waiters.get(key) is waiter:
                del waiters[key]

    async def _run_until_error(self, step):
        with contextlib.suppress(Exception), self._stop_on_error():
            while True:
                await step()

    async def _tick(self):
        self._call_consensus(self._consensus.tick)
        self._execute_effects()
        await trio.sleep(TICK_S)

    async def _write_to_disk(self):
        await self._writes_ready.wait()
        self._writes_ready = trio.Event()
        batch, self._pending_writes = self._pending_writes, []
        await trio.to_thread.run_sync(self._store.write, batch)
        for effect in batch:
            self._log_snapshot(effect)
        self._call_consensus(self._consensus.handle_synced, batch[-1].sequence)
        self._execute_effects()

    def _log_snapshot(self, effect):
        match effect:
            case SaveSnapshot(snapshot=snapshot):
                event = Event.SNAPSHOT_WRITTEN
            case RestoreSnapshot(snapshot=snapshot):
                event = Event.SNAPSHOT_RESTORED
            case _:
                return
        log_event(event, index=snapshot.last_index, size=len(snapshot.data))

    def _execute_effects(self):
        with self._stop_on_error():
            while self._is_running and (effects := self._consensus.take_effects()):
                for effect in effects:
                    self._execute_effect(effect)

    def _execute_effect(self, effect):
        if isinstance(effect, DiskEffect):
            self._pending_writes.append(effect)
            self._writes_ready.set()
        match effect:
            case SendMessage(recipient, message):
                self._send(recipient, message)
            case ApplyEntries(entries):
                for entry in entries:
                    self._apply(entry)
            case RestoreSnapshot(snapshot=snapshot):
                self._state_machine.restore_snapshot(snapshot.data)
            case TakeSnapshot():
                data = self._state_machine.encode_snapshot()
                self._consensus.save_snapshot(data, effect)
            case ConfirmationDone():
                self._finish_confirmation(effect)
            case LeadershipChanged():
                self._handle_leadership_change(effect)
            case MembersChanged(members):
                log_event(Event.MEMBERS_CHANGED, members=[m.id for m in members])

    def _send(self, recipient, message):
        address = self._find_address(recipient)
        if address is not None:
            self._sender.send(recipient, address, message)

    def _find_address(self, member_id):
        """Return the last address that a member sent, or its address in the list."""
        if member_id == self.id:
            return self._address
        if member_id in self._addresses:
            return self._addresses[member_id]
        listed_addresses = (m.address for m in self.members if m.id == member_id)
        return next(listed_addresses, None)

    def _apply(self, entry):
        result = None
        if entry.kind is EntryKind.COMMAND:
            result = self._state_machine.apply(entry.index, entry.data)
        waiter = self._proposals.pop(entry.index, None)
        if waiter is not None:
            waiter.resolve(result)

    def _finish_confirmation(self, effect):
        waiter = self._confirmations.pop(effect.token, None)
        if waiter is None:
            return
        if effect.confirmed:
            waiter.resolve(None)
        else:
            waiter.fail(NotLeaderError(self.leader_address))

    def _handle_leadership_change(self, effect):
        if not effect.is_leader:
            self._fail_proposals()
        was_leader = self.became_leader_at is not None
        if effect.is_leader and not was_leader:
            self.became_leader_at = trio.current_time()
            log_event(Event.LEADER_ELECTED, term=effect.term)
        elif was_leader and not effect.is_leader:
            self.became_leader_at = None
            log_event(Event.LEADER_LOST, term=effect.term)
        leader_id = effect.leader_id
        address = leader_id and self._find_address(leader_id)
        self._on_leadership(
            Leadership(effect.term, effect.is_leader, leader_id, address)
        )

    def _fail_proposals(self):
        # The next leader may or may not have the entries of these proposals.
        for waiter in self._proposals.values():
            waiter.fail(
                ProposalOutcomeUnknownError(
                    "outcome unknown: leadership was lost or the member stopped"
                )
            )
        self._proposals.clear()

    def _fail_confirmations(self):
        for waiter in self._confirmations.values():
            waiter.fail(NotLeaderError(self.leader_address))
        self._confirmations.clear()
