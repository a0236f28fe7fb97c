"""A clock that tests can replace to control time."""

import threading
import time


class Clock:
    """Monotonic time, wall-clock time and timed waits on events."""

    def now(self) -> float:
        """Returns monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Returns seconds since the epoch."""
        return time.time()

    def wait(self, event: threading.Event, timeout_s: float) -> bool:
        """Waits until `event` is set or `timeout_s` has passed."""
        return event.wait(timeout_s)


class ManualClock(Clock):
    """A clock that moves only by `advance`.

    Args:
        start_s: Initial time in seconds.
    """

    def __init__(self, start_s: float = 1_000_000.0):
        self._now = start_s

    def now(self) -> float:
        """Returns the manual time in seconds."""
        return self._now

    def wall(self) -> float:
        """Returns the manual time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Moves the clock forward."""
        self._now += seconds
