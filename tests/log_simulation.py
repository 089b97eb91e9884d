"""Simulate members of a replicated log, their disks and the network.

Every effect is checked against the earlier effects of all members.
"""

import contextlib
import heapq
import itertools
import random

import msgspec

from wisteriaworks.consensus import Consensus
from wisteriaworks.consensus_log import StoredState
from wisteriaworks.consensus_timing import Timing
from wisteriaworks.effects import (
    AppendLog,
    ApplyEntries,
    CompactLog,
    ConfirmationDone,
    DiskEffect,
    LeadershipChanged,
    PersistVote,
    RestoreSnapshot,
    SaveSnapshot,
    SendMessage,
    TakeSnapshot,
    TruncateLog,
)
from wisteriaworks.errors import MembershipError
from wisteriaworks.generated.consensus import (
    EntryKind,
    LogEntry,
    Member,
    PreVote,
    PreVoteReply,
    VoteReply,
)
from wisteriaworks.generated.messages import MemberAction
from wisteriaworks.membership import decode_members, encode_members

TICK_S = 0.05
OPERATOR_INTERVAL_S = 0.2
SNAPSHOT_EVERY = 12


class Disk:
    """Store the state that survives a crash of a member."""

    def __init__(self, entries=(), term=0):
        self.term, self.voted_for = term, None
        self.snapshot = None
        self.entries = list(entries)

    def write(self, effect):
        match effect:
            case PersistVote(_, term, voted_for):
                self.term, self.voted_for = term, voted_for
            case AppendLog(entries=entries):
                assert not self.entries or self.entries[-1].index < entries[0].index
                self.entries += entries
            case TruncateLog(first_index=first_index):
                self.entries = [e for e in self.entries if e.index < first_index]
            case CompactLog(last_index=last_index):
                self.entries = [e for e in self.entries if e.index > last_index]
            case SaveSnapshot(snapshot=snapshot):
                self.snapshot = snapshot
            case RestoreSnapshot(snapshot=snapshot, keep_log=keep_log):
                self.snapshot = snapshot
                self.entries = self.entries if keep_log else []

    def load(self):
        index = self.snapshot.last_index if self.snapshot else 0
        entries = tuple(e for e in self.entries if e.index > index)
        return StoredState(self.term, self.voted_for, self.snapshot, entries)

    def contains(self, entry):
        covered_by_snapshot = self.snapshot and self.snapshot.last_index >= entry.index
        return covered_by_snapshot or entry in self.entries


class Process:
    """Run one member on its disk, from its start until it is killed."""

    def __init__(self, sim, member_id, disk):
        self.sim, self.id, self.disk = sim, member_id, disk
        self.is_alive = True
        self.frozen_until = 0.0
        self.pending = []
        self.is_syncing = False
        self.confirmations = {}
        stored = disk.load()
        self.applied_index = stored.snapshot.last_index if stored.snapshot else 0
        self.commands = self._decode(stored.snapshot) if stored.snapshot else []
        self.consensus = Consensus(
            member_id,
            stored,
            Timing(),
            sim.rng,
            sim.now,
            SNAPSHOT_EVERY,
            sim.tolerated_losses,
        )
        sim.schedule(sim.rng.uniform(0, TICK_S), self.tick)

    def call(self, function):
        """Run an input now, or after a freeze, unless the process was killed."""
        if not self.is_alive:
            return
        if self.sim.now < self.frozen_until:
            delay = self.frozen_until - self.sim.now
            self.sim.schedule(delay, lambda: self.call(function))
            return
        function(self.consensus)
        self._execute_effects()

    def tick(self):
        self.call(lambda consensus: consensus.tick(self.sim.now))
        if self.is_alive:
            self.sim.schedule(TICK_S, self.tick)

    def confirm(self, consensus):
        token = consensus.confirm(self.sim.now)
        if token is not None:
            self.confirmations[token] = len(self.sim.committed)

    def kill(self):
        """Kill the process; only a random prefix of its unsynced writes is kept."""
        self.is_alive = False
        kept = self.sim.rng.randint(0, len(self.pending))
        for effect in self.pending[:kept]:
            self.disk.write(effect)
        self.pending.clear()

    def _execute_effects(self):
        while effects := self.consensus.take_effects():
            for effect in effects:
                self._execute_effect(effect)
        if self.pending and not self.is_syncing:
            self.is_syncing = True
            count = len(self.pending)
            delay = self.sim.rng.choice((0.001, 0.005, 0.02, 0.3))
            self.sim.schedule(delay, lambda: self.call(lambda _: self._sync(count)))

    def _sync(self, count):
        batch, self.pending = self.pending[:count], self.pending[count:]
        for effect in batch:
            self.disk.write(effect)
        self.is_syncing = False
        self.consensus.handle_synced(batch[-1].sequence, self.sim.now)

    def _execute_effect(self, effect):
        if isinstance(effect, DiskEffect):
            self.pending.append(effect)
        match effect:
            case SendMessage(recipient, message):
                self.sim.send(self.id, recipient, message)
            case AppendLog(entries=entries):
                self.sim.check_matching(self.consensus.log, entries)
            case ApplyEntries(entries):
                for entry in entries:
                    self._apply(entry)
            case TakeSnapshot():
                data = msgspec.msgpack.encode(self.commands)
                self.consensus.save_snapshot(data, effect)
            case RestoreSnapshot(snapshot=snapshot):
                self._restore(snapshot)
            case ConfirmationDone(token, confirmed):
                required_index = self.confirmations.pop(token)
                self.sim.check_confirmation(self, confirmed, required_index)
            case LeadershipChanged(is_leader=True):
                self.sim.check_leader(self)

    def _apply(self, entry):
        assert entry.index == self.applied_index + 1
        self.sim.check_committed(self, entry)
        self.applied_index = entry.index
        if entry.kind is EntryKind.COMMAND:
            self.commands.append(entry.data)

    def _restore(self, snapshot):
        self.commands = self._decode(snapshot)
        self.applied_index = snapshot.last_index
        assert self.commands == self.sim.list_commands(self.applied_index)

    def _decode(self, snapshot):
        return msgspec.msgpack.decode(snapshot.data, type=list[bytes])


class Simulation:
    """Run members under the faults that the tests inject."""

    def __init__(self, seed, count, tolerated_losses=1):
        self.rng = random.Random(seed)
        self.tolerated_losses = tolerated_losses
        self.now = 0.0
        self.loss_rate = 0.0
        self.blocked_links = set()
        self.committed = []
        self.confirmed = 0
        self._events = []
        self._numbers = itertools.count()
        self._leaders = {}
        self._votes = {}
        self._known_entries = {}
        ids = [f"m{number}/0" for number in range(count)]
        members = tuple(Member(id=id, address=id, voter=True) for id in ids)
        first = LogEntry(
            index=1, term=1, kind=EntryKind.MEMBERS, data=encode_members(members)
        )
        self.processes = {id: Process(self, id, Disk([first], 1)) for id in ids}
        self.desired = set(ids)
        self.schedule(OPERATOR_INTERVAL_S, self._run_operator)

    # Time and network

    def schedule(self, delay, function):
        event = (self.now + delay, next(self._numbers), function)
        heapq.heappush(self._events, event)

    def run(self, duration):
        end = self.now + duration
        while self._events[0][0] <= end:
            self.now, _, function = heapq.heappop(self._events)
            function()
        self.now = end

    def run_until(self, condition, limit=60.0):
        end = self.now + limit
        while not condition():
            assert self.now < end, "the members made no progress"
            self.run(TICK_S)

    def send(self, sender, recipient, message):
        if isinstance(message, VoteReply) and message.granted:
            vote = self._votes.setdefault((sender, message.term), recipient)
            assert vote == recipient, "a member voted twice in a term"
        copies = 2 if self.rng.random() < 0.03 else 1
        for _ in range(copies):
            slow = self.rng.random() < 0.03
            delay = self.rng.uniform(0.05, 1.5) if slow else self.rng.uniform(0, 0.01)
            if self.rng.random() >= self.loss_rate:
                self.schedule(delay, lambda: self._deliver(sender, recipient, message))

    def _deliver(self, sender, recipient, message):
        process = self.processes.get(recipient)
        if process is None and isinstance(message, PreVote):
            self._reply_for_lost_disk(sender, recipient)
        if process and (sender, recipient) not in self.blocked_links:
            process.call(lambda consensus: consensus.receive(message, self.now))

    def _reply_for_lost_disk(self, sender, recipient):
        """Reply on behalf of a lost member, as its replacement at its address does."""
        name = recipient.split("/")[0]
        successors = [p for id, p in self.processes.items() if id.split("/")[0] == name]
        if (
            successors
            and successors[0].is_alive
            and self.now >= successors[0].frozen_until
        ):
            reply = PreVoteReply(
                term=0,
                sender=recipient,
                granted=False,
                idle=successors[0].consensus.has_no_leader_contact,
                lost=True,
            )
            self.send(successors[0].id, sender, reply)

    # Faults

    def isolate(self, member_id):
        others = self.processes.keys() - {member_id}
        self.blocked_links |= {(member_id, other) for other in others}
        self.blocked_links |= {(other, member_id) for other in others}

    def restart(self, member_id):
        process = self.processes[member_id]
        process.kill()
        self.processes[member_id] = Process(self, member_id, process.disk)

    def lose_disk(self, member_id):
        """Replace a member with one that has an empty disk and so a new identity."""
        self.processes.pop(member_id).is_alive = False
        name, number = member_id.split("/")
        new_id = f"{name}/{int(number) + 1}"
        self.processes[new_id] = Process(self, new_id, Disk())
        self.desired = self.desired - {member_id} | {new_id}
        return new_id

    def heal(self):
        """End all faults."""
        self.blocked_links.clear()
        self.loss_rate = 0.0
        for member_id, process in self.processes.items():
            process.frozen_until = self.now
            if not process.is_alive:
                self.restart(member_id)

    # Inputs

    @property
    def leaders(self):
        alive = [p for p in self.processes.values() if p.is_alive]
        return [p for p in alive if p.consensus.is_leader]

    @property
    def voters(self):
        """Return the voters of the last committed member list."""
        lists = [e.data for e in self.committed if e.kind is EntryKind.MEMBERS]
        members = decode_members(lists[-1]) if lists else ()
        return {member.id for member in members if member.voter}

    def may_lose(self, member_id):
        """Return whether every member list keeps a majority if this member is lost."""
        remaining = self.processes.keys() - {member_id}
        lists = [p.consensus.members for p in self.processes.values()]
        voters = [{m.id for m in members if m.voter} for members in lists]
        voters.append(self.voters)
        return all(len(ids & remaining) * 2 > len(ids) for ids in voters if ids)

    @property
    def is_repaired(self):
        members = [p.consensus.members for p in self.leaders]
        ids = {member.id for listed in members for member in listed}
        return bool(members) and self.voters == self.desired == ids

    def propose(self):
        for process in self.leaders:
            data = b"%d" % next(self._numbers)
            process.call(lambda c, data=data: c.propose(data, self.now))
            process.call(process.confirm)

    def _run_operator(self):
        """Propose commands, and move the member list towards the desired one."""
        self.propose()
        for process in self.leaders:
            process.call(self._change_members)
        self.schedule(OPERATOR_INTERVAL_S, self._run_operator)

    def _change_members(self, consensus):
        ids = [m.id for m in consensus.members]
        surplus = [id for id in ids if id not in self.desired]
        # Lost members are removed first: removing a live voter could lose the
        # majority.
        surplus.sort(key=self.processes.__contains__)
        missing = sorted(self.desired - set(ids))
        learners = [m.id for m in consensus.members if not m.voter]
        if surplus and any(m.voter and m.id in self.desired for m in consensus.members):
            change = (MemberAction.REMOVE, surplus[0], "")
        elif missing:
            change = (MemberAction.ADD_LEARNER, missing[0], missing[0])
        elif learners:
            change = (MemberAction.PROMOTE, learners[0], "")
        else:
            return
        with contextlib.suppress(MembershipError):
            consensus.change_members(*change, self.now)

    # Checks

    def check_matching(self, log, entries):
        """Check that entries with the same index and term are equal.

        The entries before them must also have the same term.
        """
        previous = log.term_at(entries[0].index - 1)
        for entry in entries:
            known = self._known_entries.setdefault(
                (entry.index, entry.term), (entry, previous)
            )
            assert known[0] == entry
            assert None in (known[1], previous) or known[1] == previous
            previous = entry.term

    def check_committed(self, process, entry):
        if entry.index <= len(self.committed):
            assert self.committed[entry.index - 1] == entry
            return
        self.committed.append(entry)
        assert entry.index == len(self.committed)
        voters = [m.id for m in process.consensus.members if m.voter]
        if all(id in self.processes for id in voters):
            members_with_entry = [
                id for id in voters if self.processes[id].disk.contains(entry)
            ]
            assert len(members_with_entry) > len(voters) // 2, (
                "committed before it was synced"
            )

    def check_leader(self, process):
        term, log = process.consensus.term, process.consensus.log
        leader = self._leaders.setdefault(term, process.id)
        assert leader == process.id, "a term has two leaders"
        for entry in self.committed[log.base_index :]:
            assert log.term_at(entry.index) == entry.term, "a leader lacks an entry"

    def check_confirmation(self, process, confirmed, required_index):
        if not confirmed:
            return
        assert process.applied_index >= required_index, "a read would be stale"
        newest = self.committed[-1].term
        assert newest <= process.consensus.term, "a deposed leader was confirmed"
        self.confirmed += 1

    def list_commands(self, last_index):
        entries = self.committed[:last_index]
        return [e.data for e in entries if e.kind is EntryKind.COMMAND]

    def check_recovery(self):
        """Check that all members reach the same state and new commands commit."""
        self.heal()
        self.run_until(lambda: self.is_repaired)
        committed = len(self.committed)
        self.run_until(lambda: len(self.committed) > committed + 2)
        target = len(self.committed)
        processes = [self.processes[id] for id in self.desired]
        self.run_until(lambda: all(p.applied_index >= target for p in processes))
        for process in processes:
            assert process.commands == self.list_commands(process.applied_index)
