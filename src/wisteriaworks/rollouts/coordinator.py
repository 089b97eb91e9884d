"""Coordinate rollouts at the leader: orders, reports of gateways and decisions."""

import contextlib
import functools
from dataclasses import dataclass, field

import trio

from wisteriaworks.clocks import read_boot_time
from wisteriaworks.errors import NotLeaderError, ProposalOutcomeUnknownError
from wisteriaworks.events import Event, log_event
from wisteriaworks.generated.commands import AdvanceRollout, StartRollout
from wisteriaworks.generated.messages import (
    OrderRollout,
    ReadRollout,
    ReportVersions,
    RolloutPhase,
    RolloutReply,
    VersionsReported,
)
from wisteriaworks.rollouts.schedule import (
    Situation,
    UsableServers,
    compute_lead,
    compute_watch,
    decide,
)
from wisteriaworks.rollouts.table import (
    OrderAction,
    classify_order,
    is_over,
    make_state,
)
from wisteriaworks.rollouts.verdict import Tally

CHECK_S = 0.1
# Interval at which the elapsed time is recorded, for a new leader that has restarted.
RECORD_ELAPSED_S = 1.0
# A gateway that watched within this time may be looking for the leader again and still
# send to the old servers.
WATCHED_S = 2.0
_EVENTS = {
    RolloutPhase.PROMOTING: Event.ROLLOUT_PROMOTED,
    RolloutPhase.SUCCEEDED: Event.ROLLOUT_SUCCEEDED,
    RolloutPhase.ROLLED_BACK: Event.ROLLOUT_ROLLED_BACK,
}


@dataclass(slots=True)
class Progress:
    """Hold what a member knows of a rollout beside its record."""

    number: int
    # None once the rollout is over.
    tally: Tally | None
    phase: RolloutPhase
    phase_since: float
    elapsed_ms: int
    elapsed_since: float
    # Phase and sends at old servers by gateway, as reported in this term.
    confirmations: dict = field(default_factory=dict)
    term: int = 0

    def update(self, record, now):
        """Note when this member saw the phase, and a longer time since the command."""
        if record.phase is not self.phase:
            self.phase, self.phase_since = record.phase, now
        if record.elapsed_ms / 1000 > self.compute_elapsed(now):
            self.elapsed_ms, self.elapsed_since = record.elapsed_ms, now

    def compute_elapsed(self, now):
        """Return a lower bound of the seconds since the command.

        Each member counts from the moment at which it saw a record, which is after
        the leader counted, so a change of the leader never adds time.
        """
        return self.elapsed_ms / 1000 + now - self.elapsed_since

    def count_unconfirmed(self, gateways):
        """Return how many of the gateways may still use the old servers."""
        done = RolloutPhase.PROMOTING, 0
        return sum(self.confirmations.get(name) != done for name in gateways)


class RolloutCoordinator:
    """Handle rollouts at one member; only the leader decides.

    ``cfg`` are the RolloutSettings and ``directory`` the ServerDirectory.
    """

    def __init__(
        self, cfg, node, directory, operator_commands, read_time=read_boot_time
    ):
        # The wall clock can jump; the boot-time clock also counts a suspension.
        self._read_time = read_time
        self._cfg = cfg
        self._node = node
        self._directory = directory
        self._operator_commands = operator_commands
        self._progress = {}
        # Time at which each gateway was last seen to watch this leader.
        self._watched_at = {}
        self._order_lock = trio.Lock()

    def list_handlers(self):
        """Return the handler of each message type for ``RpcServer``."""
        return {
            OrderRollout: self._order,
            ReadRollout: self._read,
            ReportVersions: self._accept_report,
        }

    def list_states(self):
        """Return the RolloutStates; the same object until one changes."""
        return self._node.machine.rollouts.states

    def count_in_progress(self):
        """Return the number of rollouts that are not decided."""
        return len(self._node.machine.rollouts.list_in_progress())

    async def run(self):
        """Follow the records, and decide while this member leads, until cancelled."""
        while True:
            await trio.sleep(CHECK_S)
            now = self._read_time()
            self._note_watchers(now)
            for record in self._node.machine.rollouts.list_records():
                progress = self._follow(record, now)
                if not is_over(record.phase) and self._leads:
                    await self._advance(record, progress, now)

    def _note_watchers(self, now):
        if not self.count_in_progress() or not self._leads:
            self._watched_at.clear()
            return
        self._watched_at |= dict.fromkeys(self._operator_commands.list_watchers(), now)

    def _list_senders(self, now):
        """Return the gateways that watch this leader, or did a moment ago."""
        return [name for name, at in self._watched_at.items() if now - at <= WATCHED_S]

    @property
    def _leads(self):
        return self._node.replica.is_leader and not self._node.is_stopping

    def _follow(self, record, now):
        progress = self._progress.get(record.service)
        if progress is None or progress.number != record.number:
            progress = self._progress[record.service] = Progress(
                number=record.number,
                tally=Tally(record.target_version),
                phase=record.phase,
                phase_since=now,
                elapsed_ms=record.elapsed_ms,
                elapsed_since=now,
            )
        term = self._node.replica.term
        if progress.term != term:
            progress.term = term
            progress.confirmations.clear()
        progress.update(record, now)
        if is_over(record.phase):
            progress.tally = None
            progress.confirmations.clear()
        return progress

    async def _advance(self, record, progress, now):
        elapsed_s = progress.compute_elapsed(now)
        duration_s = record.duration_ms / 1000
        tally = progress.tally
        lead_s = compute_lead(
            self._cfg, duration_s, elapsed_s, tally.sent, tally.sent_new
        )
        decision = decide(self._describe(record, progress, now, lead_s))
        if decision is not None:
            await self._propose(record, decision.phase, elapsed_s, decision.reason)
        elif elapsed_s - record.elapsed_ms / 1000 >= RECORD_ELAPSED_S:
            await self._propose(record, record.phase, elapsed_s)

    def _describe(self, record, progress, now, lead_s):
        became_leader_at = self._node.replica.became_leader_at
        return Situation(
            phase=record.phase,
            elapsed_s=progress.compute_elapsed(now),
            duration_s=record.duration_ms / 1000,
            lead_s=lead_s,
            watch_s=compute_watch(progress.compute_elapsed(now), progress.tally.sent),
            promoted_for_s=now - progress.phase_since,
            leading_s=trio.current_time() - (became_leader_at or trio.current_time()),
            are_all_watching=self._are_all_watching(),
            bad_reason=progress.tally.find_reason(),
            final_bad_reason=progress.tally.find_reason(is_final=True),
            is_doubtful=progress.tally.is_doubtful,
            unconfirmed=progress.count_unconfirmed(self._list_senders(now)),
            have_all_reported=self._have_all_reported(progress),
            count_servers=functools.partial(self._count_servers, record),
        )

    def _are_all_watching(self):
        """Return whether as many gateways watch this leader as the log has recorded."""
        recorded = self._node.machine.gateways
        return 0 < recorded <= len(self._operator_commands.list_watchers())

    def _have_all_reported(self, progress):
        """Return whether as many gateways have reported as the log has recorded."""
        return len(progress.confirmations) >= self._node.machine.gateways

    def _count_servers(self, record):
        """Return the UsableServers of the service, or None before a list was read."""
        if not self._directory.revision:
            return None
        machine, now = self._node.machine, trio.current_time()
        usable = [
            entry
            for entry in self._directory.list_service(record.service, now)
            if not entry.draining and entry.domain not in machine.domains_out
        ]
        new = [e for e in usable if e.version == record.target_version]
        warm = sum(entry.cold_s <= 0 for entry in new)
        return UsableServers(new=len(new), warm=warm, old=len(usable) - len(new))

    async def _propose(self, record, phase, elapsed_s, reason=""):
        command = AdvanceRollout(
            service=record.service,
            number=record.number,
            phase=phase,
            elapsed_ms=int(elapsed_s * 1000),
        )
        with contextlib.suppress(NotLeaderError, ProposalOutcomeUnknownError):
            result = await self._node.propose(command)
            if phase is not record.phase and result.phase is phase:
                self._operator_commands.notify()
                log_event(
                    _EVENTS[phase],
                    service=record.service,
                    version=record.target_version,
                    elapsed_ms=command.elapsed_ms,
                    reason=reason,
                )

    async def _order(self, message, send):
        # Two orders at the same time would both find that none is in progress.
        async with self._order_lock:
            return await self._decide_order(message)

    async def _decide_order(self, message):
        try:
            await self._node.replica.confirm_leader()
        except NotLeaderError:
            return self._operator_commands.redirect_to_leader()
        latest = self._node.machine.rollouts.get(message.service)
        elapsed_s = 0.0
        if latest is not None:
            now = self._read_time()
            elapsed_s = self._follow(latest, now).compute_elapsed(now)
        match classify_order(latest, message, elapsed_s):
            case OrderAction.ACKNOWLEDGE:
                return RolloutReply(state=make_state(latest))
            case OrderAction.REFUSE:
                return RolloutReply(state=make_state(latest), accepted=False)
        return await self._start(message, latest)

    async def _start(self, message, latest):
        began_at = self._read_time()
        command = StartRollout(
            service=message.service,
            target_version=message.target_version,
            duration_ms=message.duration_ms,
            replaces=latest.number if latest else 0,
        )

        def make_reply(record):
            is_started = record is not None and (
                (record.target_version, record.duration_ms)
                == (message.target_version, message.duration_ms)
            )
            log_event(
                Event.ROLLOUT_ORDERED,
                service=message.service,
                version=message.target_version,
                duration_ms=message.duration_ms,
                accepted=is_started,
            )
            if record is not None:
                self._follow(record, began_at)
            state = None if record is None else make_state(record)
            return RolloutReply(state=state, accepted=is_started)

        return await self._operator_commands.submit(command, make_reply)

    async def _read(self, message, send):
        try:
            await self._node.replica.confirm_leader()
        except NotLeaderError:
            return self._operator_commands.redirect_to_leader()
        record = self._node.machine.rollouts.get(message.service)
        return RolloutReply(state=None if record is None else make_state(record))

    async def _accept_report(self, message, send):
        if not self._leads:
            return self._operator_commands.redirect_to_leader()
        record = self._node.machine.rollouts.get(message.service)
        if record is not None and record.number == message.number:
            now = self._read_time()
            progress = self._follow(record, now)
            if progress.tally is not None:
                progress.tally.add(message, now)
            progress.confirmations[message.gateway] = message.phase, message.old_running
        return VersionsReported()
