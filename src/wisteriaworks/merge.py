"""Merge the replies of shards into one answer with its coverage."""

import operator
from collections import defaultdict
from dataclasses import dataclass

import msgspec

ANSWER_TOO_LARGE = "answer_too_large"
# Size of an answer's JSON text without its hits and its missing shards.
_ENVELOPE_BYTES = 256
# Size of a missing shard's JSON text without index, shard and reason.
_MISSING_BYTES = 40
# Bytes by which a hit's JSON text grows in an answer, besides the index name: the
# ``index`` field, and a score that is longer as a float.
_HIT_BYTES = 36


# Hits form no reference cycles, and hundreds of tracked objects per answer would
# make the garbage collector run often.
class ReplyHit(msgspec.Struct, frozen=True, gc=False):
    """Represent one hit as a backend server returns it."""

    id: str
    score: float
    # The server's JSON text is forwarded unchanged.
    fields: msgspec.Raw = msgspec.Raw(b"{}")


class Hit(msgspec.Struct, frozen=True, gc=False):
    """Represent one hit of an answer."""

    index: str
    id: str
    score: float
    fields: msgspec.Raw


class Missing(msgspec.Struct, frozen=True):
    """Describe why a shard is missing from an answer."""

    index: str
    shard: str
    reason: str


class Coverage(msgspec.Struct, frozen=True):
    """Describe how many shards of the pinned partition map answered."""

    total: int
    answered: int
    missing: tuple[Missing, ...] = ()

    @property
    def ratio(self):
        """Return the share of the shards that answered."""
        return self.answered / self.total if self.total else 0.0


NO_COVERAGE = Coverage(0, 0)


@dataclass(frozen=True, slots=True)
class ShardReply:
    """Represent the reply that is merged for one shard."""

    index: str
    shard: str
    snapshot: int
    hits: list[ReplyHit]
    # Size of the hits as JSON text.
    size: int


@dataclass(frozen=True, slots=True)
class MergeResult:
    """Represent merged hits and their coverage."""

    hits: tuple[Hit, ...]
    coverage: Coverage


_HITS_DECODER = msgspec.json.Decoder(list[ReplyHit])


def decode_hits(results):
    """Return the hits in a reply. Raises msgspec.DecodeError or ValidationError."""
    return _HITS_DECODER.decode(results)


def merge_replies(plan, replies, reasons, max_answer_bytes):
    """Return the hits and the coverage of one plan.

    ``reasons`` maps (index, shard) to the reason why there is no reply.
    """
    keys = {(shard.index, shard.shard) for shard in plan.shards}
    answered = {(reply.index, reply.shard) for reply in replies}
    assert len(keys) == len(plan.shards), "a shard is planned twice"
    assert len(answered) == len(replies), "a shard is merged twice"
    assert answered <= keys, "a reply is not from the pinned partition map"
    assert all(r.snapshot == plan.snapshot for r in replies), "snapshots are mixed"
    missing = [Missing(*key, reasons[key]) for key in sorted(keys - answered)]
    kept = _limit_size(replies, missing, max_answer_bytes)
    coverage = Coverage(len(keys), len(kept), tuple(missing))
    assert coverage.answered + len(missing) == coverage.total, (
        "coverage does not add up to the total"
    )
    return MergeResult(_merge_hits(kept), coverage)


def _limit_size(replies, missing, max_answer_bytes):
    """Return the replies that fit, and add the others to ``missing``."""
    room = max_answer_bytes - _ENVELOPE_BYTES - sum(map(_measure_missing, missing))
    if sum(map(_measure_reply, replies)) <= room:
        return replies
    # Keeping the smallest replies first maximizes the coverage.
    kept = []
    # Reserve space to name every reply as missing.
    replies_as_missing = [Missing(r.index, r.shard, ANSWER_TOO_LARGE) for r in replies]
    room -= sum(map(_measure_missing, replies_as_missing))
    for reply in sorted(replies, key=lambda r: (_measure_reply(r), r.index, r.shard)):
        size = _measure_reply(reply)
        if size > room:
            missing.append(Missing(reply.index, reply.shard, ANSWER_TOO_LARGE))
            continue
        room -= size
        kept.append(reply)
    return kept


def _measure_reply(reply):
    return reply.size + len(reply.hits) * (_HIT_BYTES + len(reply.index))


def _measure_missing(missing):
    texts = len(missing.index) + len(missing.shard) + len(missing.reason)
    return _MISSING_BYTES + texts


def _merge_hits(replies):
    by_index = defaultdict(list)
    for reply in replies:
        by_index[reply.index].extend(reply.hits)
    hits = [
        Hit(index, hit.id, hit.score, hit.fields)
        for index, index_hits in by_index.items()
        for hit in _select_best(index_hits)
    ]
    # Sorts are stable, and two with C keys are faster than one with a Python key.
    hits.sort(key=operator.attrgetter("id", "index"))
    hits.sort(key=operator.attrgetter("score"), reverse=True)
    return tuple(hits)


def _select_best(hits):
    """Return one hit per id, the one with the highest score."""
    best = {hit.id: hit for hit in hits}
    if len(best) == len(hits):
        return hits
    for hit in hits:
        if hit.score > best[hit.id].score:
            best[hit.id] = hit
    return best.values()
