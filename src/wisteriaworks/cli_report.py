"""The commands ``wisteria report burn`` and ``wisteria explain``."""

import sys
from pathlib import Path

import trio
import uuid_utils
from cleo.helpers import argument, option

from wisteriaworks.burn import sum_reports
from wisteriaworks.burn_report import list_table_rows, render_page
from wisteriaworks.cli_common import ToolCommand, parse_addresses
from wisteriaworks.entry_reports import read_reports
from wisteriaworks.errors import EntryError, SettingsError
from wisteriaworks.generated.reports import BurnReport, Explanation
from wisteriaworks.log_explain import (
    align_clocks,
    explain_request,
    read_lines,
    render_line,
)

_ENTRY_OPTION = option(
    "entry",
    description="Admin addresses of the entries as HOST:PORT[,HOST:PORT...], "
    "HOST an IPv4 address.",
    flag=False,
)


class _EntryCommand(ToolCommand):
    def read_reports(self, path, kind):
        """Return one reply per address in ``--entry``. Raises SettingsError."""
        text = self.option("entry")
        if not text:
            raise SettingsError("give --entry with the admin addresses of the entries")
        # An entry that is listed twice is counted once.
        addresses = tuple(dict.fromkeys(parse_addresses(text, "--entry")))
        return trio.run(read_reports, addresses, path, kind)


class ReportBurnCommand(_EntryCommand):
    name = "report burn"
    description = "Show how fast the error budgets burn, summed over entries."
    options = (
        _ENTRY_OPTION,
        option("html", description="Write an HTML page to this file.", flag=False),
    )

    def handle(self):
        """Print the table. Raises EntryError if an entry returned no report."""
        replies = self.read_reports("/v1/burn", BurnReport)
        reports = [reply.report for reply in replies if reply.report]
        missing = [reply for reply in replies if not reply.report]
        versions = sorted({report.config_version for report in reports})
        if len(versions) > 1:
            self.write_to_stderr(f"warning: entries are at versions {versions}")
        series = sum_reports(reports)
        self.write_text(f"{len(reports)} of {len(replies)} entries")
        self.write_rows(*list_table_rows(series))
        if self.option("html"):
            entries = [report.entry for report in reports]
            page = render_page(series, entries, [reply.address for reply in missing])
            _write_file(self.option("html"), page)
        if missing:
            raise EntryError(
                "some entries returned no report, so the sums are too low: "
                f"{_describe(missing)}"
            )


class ExplainCommand(_EntryCommand):
    name = "explain"
    description = "Show how a request was answered, shard by shard."
    arguments = (
        argument("request_id", description="Request id; with --entry a UUIDv7."),
    )
    options = (
        _ENTRY_OPTION,
        option(
            "logs",
            description="Log files FILE[,FILE...] of any processes, - for standard "
            "input; their lines are merged by time.",
            flag=False,
        ),
    )

    def handle(self):
        """Print the explanation of a request. Raises EntryError if there is none."""
        if self.option("logs"):
            self._explain_from_logs(self.argument("request_id"))
        else:
            self._explain_from_entries()

    def _explain_from_logs(self, request_id):
        texts = _read_texts(self.option("logs"))
        lines = align_clocks(read_lines(texts))
        explaining_lines = explain_request(lines, request_id)
        if not explaining_lines:
            raise EntryError(
                f"request {request_id}: none of {len(lines)} log lines names it; "
                "only a sample of the complete answers is logged, and the rate limit "
                "suppresses lines"
            )
        request_lines = [
            line
            for line in explaining_lines
            if line.fields.get("request") == request_id
        ]
        for line in explaining_lines:
            self.write_text(render_line(line, request_lines[0].at))

    def _explain_from_entries(self):
        request_id = _parse_request_id(self.argument("request_id"))
        replies = self.read_reports(f"/v1/explain/{request_id}", Explanation)
        explanations = [reply.report for reply in replies if reply.report]
        for explanation in explanations:
            self.write_text("\n".join(list_explanation(explanation)))
        if not explanations:
            raise EntryError(f"request {request_id}: {_describe(replies)}")


def list_explanation(explanation):
    """Yield the lines that explain one request."""
    yield f"request {explanation.request_id} at entry {explanation.entry}"
    yield f"search {explanation.search} for caller {explanation.caller}"
    yield (
        f"configuration version {explanation.config_version}, "
        f"snapshot {explanation.snapshot}"
    )
    yield f"{explanation.outcome} after {explanation.total_ms:.1f} ms"
    for shard in explanation.shards:
        yield f"shard {shard.index}/{shard.shard}"
        for attempt in shard.attempts:
            yield f"  {_describe_attempt(attempt)}"
    for shard in explanation.missing:
        yield f"missing {shard.index}/{shard.shard}: {shard.reason}"


def _describe_attempt(attempt):
    text = (
        f"{attempt.kind.value:7} to {attempt.server} held by {attempt.holder}: "
        f"{attempt.outcome} after {attempt.ms:.1f} ms"
    )
    return f"{text} ({attempt.detail})" if attempt.detail else text


def _describe(replies):
    return ", ".join(
        f"{reply.address}: {reply.problem or 'has no such report'}" for reply in replies
    )


def _read_texts(option_text):
    """Return the lines of all listed files. Raises SettingsError."""
    texts = []
    for name in option_text.split(","):
        try:
            if name == "-":
                texts += sys.stdin.read().splitlines()
            else:
                path = Path(name)
                texts += path.read_text(encoding="utf-8", errors="replace").splitlines()
        except OSError as exc:
            raise SettingsError(f"cannot read {name}: {exc.strerror}") from exc
    return texts


def _parse_request_id(text):
    try:
        return str(uuid_utils.UUID(text))
    except ValueError:
        raise SettingsError(f"request id: expected a UUID, got {text!r}") from None


def _write_file(path, text):
    try:
        Path(path).write_text(text, encoding="utf-8")
    except OSError as exc:
        raise SettingsError(f"cannot write {path}: {exc.strerror}") from exc


COMMANDS = (ReportBurnCommand, ExplainCommand)
