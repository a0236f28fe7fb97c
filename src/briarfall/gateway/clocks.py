"""Clock that the gateway uses for deadlines and ages."""

import time


def boot_s() -> float:
    """Returns seconds since boot, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
