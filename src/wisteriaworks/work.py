"""Follow one attempt of a sub-query through a holder."""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from wisteriaworks.generated.subqueries import (
    SubqueryBatch,
    SubqueryItem,
    SubqueryReply,
)


@dataclass(slots=True, eq=False)
class Work:
    """Hold one attempt from its arrival to its reply."""

    batch: SubqueryBatch
    item: SubqueryItem
    deadline: float
    send: Callable
    on_done: Callable
    scope: trio.CancelScope | None = None
    conn: object = None
    began_at: float = 0.0
    done: bool = False

    @property
    def sent(self):
        """Say whether a byte may have left."""
        return self.conn is not None and self.conn.has_sent

    def reply(self, outcome, sent, **fields):
        """Answer the attempt; only the first answer counts."""
        if self.done:
            return
        self.done = True
        self.send(SubqueryReply(self.item.attempt, outcome, sent, **fields))
        self.on_done(self)

    def abandon(self, outcome, detail):
        """Answer now and stop the work, but let a non-idempotent send finish."""
        sent = self.sent
        self.reply(outcome, sent, detail=detail)
        if self.scope is not None and (self.batch.idempotent or not sent):
            self.scope.cancel()

    def expect_progress(self, limit_s):
        """Break an idempotent attempt off if no byte arrives within ``limit_s``."""
        if self.batch.idempotent:
            self.scope.deadline = min(self.deadline, trio.current_time() + limit_s)
