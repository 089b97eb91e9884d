"""The limits and the connections of the clients of one process."""

import trio

from wisteriaworks.errors import ErrorKind
from wisteriaworks.events import Event, log_event
from wisteriaworks.generated.settings import IngressSettings
from wisteriaworks.ingress.answer_memory import AnswerMemory
from wisteriaworks.ingress.client_table import ClientTable, Phase
from wisteriaworks.ingress.limits import HttpLimits
from wisteriaworks.log_limit import LogLimiter
from wisteriaworks.metrics import create_unexported_metrics

# Connections to the ports for readiness, health and metrics.
PRIVATE_CONNECTIONS = 32
LINES_PER_S = 2


class Ingress:
    """Share the limits between all ports of a process.

    ``http`` may be replaced at any time; requests that begin later use it.
    """

    def __init__(self, settings=None, http=None, metrics=None):
        cfg = self.settings = settings or IngressSettings()
        self.http = http or HttpLimits()
        self.table = ClientTable(
            max_held=int(cfg.memory_mb * cfg.memory_share * 1024 * 1024),
            max_connections=max(1, int(cfg.max_open_files * cfg.connection_share)),
            private_connections=PRIVATE_CONNECTIONS,
            on_refusal=self.record_refusal,
        )
        self.answers = AnswerMemory(
            int(cfg.memory_mb * cfg.answer_share * 1024 * 1024), self.record_refusal
        )
        self.is_stopping = False
        # Held by the only connection that parses a costly part of a request, so that
        # at most one such part is parsed before all other tasks run.
        self.costly_part = trio.Lock()
        self._limiter = LogLimiter(LINES_PER_S)
        self._register(metrics or create_unexported_metrics())

    def record_refusal(self, reason):
        """Count a request or connection that a limit ended, and log it.

        The lines of each reason are limited; ``left_out`` counts those before.
        """
        self._refusals.add(1, {"reason": reason})
        if self._limiter.admit(reason, trio.current_time()):
            log_event(
                Event.CLIENT_REFUSED,
                reason=reason,
                held=self.table.held,
                connections=self.table.counts[True],
                left_out=self._limiter.pop_suppressed_counts().get(reason, 0),
            )

    def stop(self):
        """Close idle connections; the others close after their answers."""
        self.is_stopping = True
        for client in tuple(self.table.clients):
            if client.phase is Phase.IDLE:
                client.end(None)

    def end_unfinished(self):
        """Refuse the requests that have not arrived completely."""
        for client in tuple(self.table.clients):
            if client.phase is Phase.READING:
                client.end(ErrorKind.ENTRY_STOPPING)

    def _register(self, metrics):
        table, answers = self.table, self.answers
        metrics.create_gauge(
            "wisteria.ingress.held",
            "Estimated bytes held by requests of clients without an answer",
            lambda: table.held,
        )
        metrics.create_gauge(
            "wisteria.ingress.answers",
            "Bytes of unfinished answers of servers and answers that clients take",
            lambda: answers.total,
        )
        metrics.create_gauge(
            "wisteria.ingress.connections",
            "Open connections of clients",
            lambda: table.counts[True],
        )
        self._refusals = metrics.create_counter(
            "wisteria.ingress.refusals",
            "Requests and connections that a limit ended, by reason",
        )
