"""Store the claims of non-idempotent requests."""

import heapq

import msgspec

from wisteriaworks.generated.commands import StoredClaim
from wisteriaworks.generated.messages import (
    ClaimRecord,
    ClaimReply,
    ClaimResult,
    ClaimState,
)
from wisteriaworks.uuid7 import parse_uuid7, read_time_ms

# How far the time in a request ID may be ahead of the control group's clock.
MAX_CLOCK_AHEAD_MS = 60_000
# Bounds the duration of a command after ``request_id_window_s`` was made much
# shorter.
MAX_DROPPED_PER_COMMAND = 1000


def make_claim_key(caller, request_id):
    """Return the key of a claim, or None if the request ID is not a UUIDv7."""
    parsed = parse_uuid7(request_id)
    return None if parsed is None else (caller, parsed.key)


class ClaimTable:
    """Grant each pair of caller and request ID at most once.

    ``floor_ms`` never decreases. IDs older than it are refused, and only
    records older than it are deleted, so the ID of a deleted record is never
    granted again, even after ``request_id_window_s`` was made longer.
    ``on_final`` is called with the key when the state of a claim becomes final
    or the claim is deleted.
    """

    def __init__(self, stored=(), floor_ms=0, on_final=lambda key: None):
        self._records = {(item.caller, item.request_id): item.record for item in stored}
        self._by_age = [(read_time_ms(key[1]), key) for key in self._records]
        heapq.heapify(self._by_age)
        self._open_claims = {}
        for key, record in self._records.items():
            if record.state is ClaimState.CLAIMED:
                self._open_claims.setdefault(record.session, {})[key] = None
        self.floor_ms = floor_ms
        self._on_final = on_final

    def __len__(self):
        return len(self._records)

    def claim(self, claim, now_ms, is_session_open):
        """Return the reply to a claim and record it if it is new."""
        key = make_claim_key(claim.caller, claim.request_id)
        if key is None or not self._is_in_window(key, now_ms):
            return ClaimReply(result=ClaimResult.REQUEST_ID_EXPIRED)
        record = self._records.get(key)
        if record is not None:
            return _reply_from_record(record, claim)
        if claim.refuse:
            # A refused request is not sent, so it needs no open session.
            record = self._add(key, claim, ClaimState.NOT_RUN)
            return ClaimReply(result=ClaimResult.EXISTS, record=record)
        if not is_session_open:
            return ClaimReply(result=ClaimResult.SESSION_CLOSED)
        record = self._add(key, claim, ClaimState.CLAIMED)
        self._open_claims.setdefault(claim.session, {})[key] = None
        return ClaimReply(result=ClaimResult.GRANTED, record=record)

    def resolve(self, resolve, max_answer_bytes):
        """Set the final state of an open claim, and return its record or None."""
        key = make_claim_key(resolve.caller, resolve.request_id)
        record = self._records.get(key)
        if record is None or not _may_resolve(record, resolve):
            return record
        answer = resolve.answer if len(resolve.answer) <= max_answer_bytes else b""
        self._set_final_state(key, resolve.state, answer)
        return self._records[key]

    def close_session(self, session):
        """Set the open claims of a session to the state UNKNOWN."""
        for key in tuple(self._open_claims.get(session, ())):
            self._set_final_state(key, ClaimState.UNKNOWN, b"")

    def drop_expired(self, now_ms, window_ms):
        """Raise the floor and delete the records below it."""
        self.floor_ms = max(self.floor_ms, now_ms - window_ms)
        for _ in range(MAX_DROPPED_PER_COMMAND):
            if not self._by_age or self._by_age[0][0] >= self.floor_ms:
                return
            _, key = heapq.heappop(self._by_age)
            self._remove_open(key, self._records.pop(key).session)
            self._on_final(key)

    def has_expired(self, now_ms, window_ms):
        """Return whether a record can be deleted at that time."""
        floor_ms = max(self.floor_ms, now_ms - window_ms)
        return bool(self._by_age) and self._by_age[0][0] < floor_ms

    def read(self, key):
        """Return the record of a claim, or None."""
        return self._records.get(key)

    def list_claims(self):
        """Return all claims, oldest first."""
        return tuple(
            StoredClaim(caller=key[0], request_id=key[1], record=self._records[key])
            for _, key in sorted(self._by_age)
        )

    def _is_in_window(self, key, now_ms):
        time_ms = read_time_ms(key[1])
        return self.floor_ms <= time_ms <= now_ms + MAX_CLOCK_AHEAD_MS

    def _add(self, key, claim, state):
        assert key not in self._records, "a request ID is claimed twice"
        record = ClaimRecord(state=state, session=claim.session, digest=claim.digest)
        self._records[key] = record
        heapq.heappush(self._by_age, (read_time_ms(key[1]), key))
        if state is not ClaimState.CLAIMED:
            self._on_final(key)
        return record

    def _set_final_state(self, key, state, answer):
        record = self._records[key]
        assert record.state is ClaimState.CLAIMED, "a final state was changed"
        assert state is not ClaimState.CLAIMED
        self._records[key] = msgspec.structs.replace(record, state=state, answer=answer)
        self._remove_open(key, record.session)
        self._on_final(key)

    def _remove_open(self, key, session):
        keys = self._open_claims.get(session, {})
        keys.pop(key, None)
        if not keys:
            self._open_claims.pop(session, None)


def _reply_from_record(record, claim):
    if record.digest != claim.digest:
        return ClaimReply(result=ClaimResult.REQUEST_ID_REUSED)
    return ClaimReply(result=ClaimResult.EXISTS, record=record)


def _may_resolve(record, resolve):
    return (
        record.state is ClaimState.CLAIMED
        and record.session == resolve.session
        and resolve.state is not ClaimState.CLAIMED
    )
