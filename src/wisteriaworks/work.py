"""Track one attempt of a sub-query through a holder."""

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
    """Represent one attempt at the holder until its reply is sent."""

    batch: SubqueryBatch
    item: SubqueryItem
    deadline: float
    send: Callable
    on_answered: Callable
    scope: trio.CancelScope | None = None
    conn: object = None
    started_at: float = 0.0
    answered: bool = False

    @property
    def sent(self):
        """Return whether a byte of the sub-query may have been sent to the server."""
        return self.conn is not None and self.conn.has_sent

    def reply(self, outcome, sent, **fields):
        """Answer the attempt; only the first answer counts."""
        if self.answered:
            return
        self.answered = True
        self.send(SubqueryReply(self.item.attempt, outcome, sent, **fields))
        self.on_answered(self)

    def answer_and_cancel(self, outcome, detail):
        """Answer immediately, and cancel the work if that is safe.

        Non-idempotent work that may have been sent is not cancelled.
        """
        sent = self.sent
        self.reply(outcome, sent, detail=detail)
        if self.scope is not None and (self.batch.idempotent or not sent):
            self.scope.cancel()

    def extend_progress_deadline(self, progress_timeout_s):
        """Abort an idempotent attempt if no byte arrives in ``progress_timeout_s``."""
        if self.batch.idempotent:
            self.scope.deadline = min(
                self.deadline, trio.current_time() + progress_timeout_s
            )
