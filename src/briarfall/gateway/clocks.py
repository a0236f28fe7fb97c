"""Clocks of the gateway."""

import time


def boot_s() -> float:
    """Returns seconds on a clock that also counts a suspended machine."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
