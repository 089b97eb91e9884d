"""Wait for the signals that stop a program."""

import signal

import trio

EXIT_FORCED = 1


async def wait_for_stop(*, task_status=trio.TASK_STATUS_IGNORED):
    """Return at the first SIGTERM or SIGINT; exit at once at the second.

    With ``nursery.start``, the call returns an event that is set at the first
    signal, and the task keeps watching for the second one.
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
