"""Wait until every live entry reports a configuration version."""

import trio
from cleo.helpers import option

from wisteriaworks.cli_common import CALL_TIMEOUT_S
from wisteriaworks.errors import LagError
from wisteriaworks.generated.messages import ReadStatus

POLL_INTERVAL_S = 0.25

WAIT_OPTION = option(
    "wait",
    description="Seconds to wait until all live entries report the new version.",
    flag=False,
)


async def wait_for_entries(command, client, version, wait_s):
    """Print the entries as they adopt a version. Raises LagError after ``wait_s``.

    An entry counts as live while control has a session for it, so an entry that
    crashed delays the result until its lease expires.
    """
    deadline = trio.current_time() + wait_s
    listed = set()
    while True:
        status = await client.call(ReadStatus(), CALL_TIMEOUT_S)
        for entry in _list_current(status, version):
            if entry.name not in listed:
                command.write_text(f"{entry.name}: version {entry.config_version}")
                listed.add(entry.name)
        lagging = [e for e in status.entries if e.config_version < version]
        if not lagging:
            command.write_text(f"version {version} in force on {len(listed)} entries")
            return
        if trio.current_time() >= deadline:
            raise LagError(_describe_lag(lagging, version, wait_s))
        await trio.sleep(POLL_INTERVAL_S)


def _list_current(status, version):
    return [e for e in status.entries if e.config_version >= version]


def _describe_lag(lagging, version, wait_s):
    names = ", ".join(
        f"{entry.name} at version {entry.config_version} "
        f"(last contact {entry.age_ms} ms ago)"
        for entry in lagging
    )
    return f"not at version {version} after {wait_s:g} s: {names}"
