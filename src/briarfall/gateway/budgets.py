"""Bound on sending requests more than once, over all instances."""

import collections
import collections.abc
import threading

from briarfall.gateway import clocks

# Part of the shared slack that instances use together; the rest covers
# instances that do not know of each other yet.
_SLACK_SHARE = 0.85


class RetryBudget:
    """Counts requests and repeats in a sliding window.

    Args:
        ratio: Repeats allowed for each request.
        window_s: Length of the window.
        slack: Repeats allowed beyond that, over all instances.
        instances: Returns the number of instances.
    """

    def __init__(
        self,
        ratio: float,
        window_s: float,
        slack: float,
        instances: collections.abc.Callable[[], int],
    ):
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._instances = instances
        self._lock = threading.Lock()
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def set_bounds(self, ratio: float, window_s: float, slack: float) -> None:
        """Changes the bounds; what was counted stays."""
        with self._lock:
            self._ratio = ratio
            self._window_s = window_s
            self._slack = slack

    def note_request(self) -> None:
        """Counts a first send."""
        now_s = clocks.boot_s()
        with self._lock:
            self._requests.append(now_s)
            self._forget(now_s)

    def take_repeat(self) -> bool:
        """Counts a repeat and returns True, if one is left."""
        now_s = clocks.boot_s()
        with self._lock:
            self._forget(now_s)
            allowed = self._ratio * len(self._requests)
            instances = max(1, self._instances())
            allowed += self._slack * _SLACK_SHARE / instances
            if len(self._repeats) >= allowed:
                return False
            self._repeats.append(now_s)
            return True

    def _forget(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest_s:
                times.popleft()
