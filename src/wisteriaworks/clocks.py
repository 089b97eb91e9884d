"""Clocks other than the event loop's."""

import time


def read_boot_time():
    """Return the seconds since boot, which include the time of a suspended VM."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_suspended_s():
    """Return for how many seconds the VM has been suspended since boot."""
    return read_boot_time() - time.monotonic()
