"""Wait for the signals that stop a program."""

import signal

import trio

EXIT_FORCED = 1


async def wait_for_stop(*, task_status=trio.TASK_STATUS_IGNORED):
    """Set an event at the first SIGTERM or SIGINT; raise SystemExit at the second.

    Start it with ``nursery.start``, which returns the event.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        stop = trio.Event()
        task_status.started(stop)
        await anext(signals)
        stop.set()
        await anext(signals)
    raise SystemExit(EXIT_FORCED)


async def wait_until(condition, poll_s=0.02):
    """Wait until ``condition()`` is true."""
    while not condition():
        await trio.sleep(poll_s)
