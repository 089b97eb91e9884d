"""Report the answers by version from a gateway to the leader."""

import contextlib

import trio

from wisteriaworks.errors import RpcError
from wisteriaworks.events import Event, log_event
from wisteriaworks.generated.messages import VersionsReported

CHECK_S = 0.1
TIMEOUT_S = 0.5


def log_stop(state):
    """Log that this gateway stops sending to the version of a RolloutState."""
    log_event(
        Event.VERSION_STOPPED, service=state.service, version=state.target_version
    )


async def report_versions(versions, get_channel):
    """Send the reports of a VersionFilter that are due, until cancelled.

    ``get_channel`` returns the channel to the leader that the gateway follows, or None.
    """
    known_channel = None
    while True:
        await trio.sleep(CHECK_S)
        if versions.was_stalled(trio.current_time()):
            # Updates that arrived meanwhile are read first.
            await trio.sleep(CHECK_S)
        versions.note_alive(trio.current_time())
        channel = get_channel()
        if channel is None:
            continue
        if channel is not known_channel:
            known_channel = channel
            versions.report_again()
        if not await _are_delivered(channel, versions.pop_reports(trio.current_time())):
            known_channel = None


async def _are_delivered(channel, reports):
    """Send reports at once, so that the timeouts of a silent leader don't add up."""
    replies = []

    async def deliver(report):
        with contextlib.suppress(RpcError):
            replies.append(await channel.call(report, TIMEOUT_S))

    async with trio.open_nursery() as nursery:
        for report in reports:
            nursery.start_soon(deliver, report)
    delivered = [reply for reply in replies if isinstance(reply, VersionsReported)]
    return len(delivered) == len(reports)
