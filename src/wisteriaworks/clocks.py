"""Clocks other than the event loop's."""

import time


def read_boot_time():
    """Return the seconds since boot, which include the time of a suspended VM."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
