"""Bodies of the HTTP protocol that backend servers speak."""

import msgspec

SUBQUERY_TARGET = b"/subquery"
CANCEL_TARGET = b"/cancel"
STATUS_TARGET = b"/status"


class SubqueryBody(msgspec.Struct, frozen=True):
    """Request the hits of one shard. ``request`` identifies the attempt."""

    query: msgspec.Raw
    shard: str
    snapshot: int
    timeout_ms: float
    request: str


class AnswerBody(msgspec.Struct, frozen=True):
    """Carry the hits of one shard."""

    results: msgspec.Raw
    shard: str
    snapshot: int
    incarnation: str


class RefusalBody(msgspec.Struct, frozen=True):
    """Describe why a sub-query was not answered."""

    reason: str
    incarnation: str = ""


class CancelBody(msgspec.Struct, frozen=True):
    """Identify the attempt to cancel."""

    request: str


class SnapshotBody(msgspec.Struct, frozen=True):
    """Describe which shards of a snapshot a server serves."""

    snapshot: int
    partition_map: tuple[str, ...]
    shards: tuple[str, ...]


class StatusBody(msgspec.Struct, frozen=True):
    """Carry the state that a server reports."""

    incarnation: str
    state: str
    snapshots: tuple[SnapshotBody, ...]
