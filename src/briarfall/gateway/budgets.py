"""Retry budget: bounds retries to a share of requests, over all instances."""

import collections
import collections.abc
import threading

from briarfall.gateway import clocks

# Share of the slack that instances divide among themselves. The rest covers
# instances that don't know of each other yet.
_SLACK_SHARE = 0.85


class RetryBudget:
    """Counts requests and retries in a sliding window.

    Args:
        ratio: Retries allowed for each request.
        window_s: Length of the window.
        slack: Retries allowed beyond that in the window, by all instances
            together.
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
        self._retries: collections.deque[float] = collections.deque()

    def set_bounds(self, ratio: float, window_s: float, slack: float) -> None:
        """Changes the bounds; requests and retries already counted stay."""
        with self._lock:
            self._ratio = ratio
            self._window_s = window_s
            self._slack = slack

    def record_request(self) -> None:
        """Counts the first attempt of a request."""
        now_s = clocks.boot_s()
        with self._lock:
            self._requests.append(now_s)
            self._expire(now_s)

    def take_retry(self) -> bool:
        """Counts a retry and returns True; returns False if none is left."""
        now_s = clocks.boot_s()
        with self._lock:
            if not self._is_retry_left(now_s):
                return False
            self._retries.append(now_s)
            return True

    def has_retry(self) -> bool:
        """Whether a retry is left; counts none."""
        with self._lock:
            return self._is_retry_left(clocks.boot_s())

    def _is_retry_left(self, now_s: float) -> bool:
        self._expire(now_s)
        allowed = self._ratio * len(self._requests)
        instances = max(1, self._instances())
        allowed += self._slack * _SLACK_SHARE / instances
        return len(self._retries) < allowed

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        for times in (self._requests, self._retries):
            while times and times[0] < oldest_s:
                times.popleft()
