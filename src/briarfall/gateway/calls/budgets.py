"""Retry budget: bounds retries to a share of requests, over all instances.

The bound holds for any window also while instances restart, although a new
process doesn't know what the one before it has spent:

- Requests earn credit, which a process starts without. Only the credit that it
  holds at the start of a window adds to what requests earn in the window; that
  credit is bounded, and counted as a part of the slack.
- The rest of the slack can be used only by a process that peers have known
  for a whole window, or that starts with the whole system.
"""

import collections
import collections.abc
import math
import threading

from briarfall.gateway import clocks

# Shares of the slack that instances divide among themselves: for the credit
# that they may hold, and for retries beyond it. The rest covers instances that
# don't know of each other yet, and shares that are rounded up.
_CREDIT_SHARE = 0.25
_SLACK_SHARE = 0.6
# Smallest bound of the credit, in retries.
_MIN_CREDIT = 1.0
# Time after which peers know of a new process and leave it its part.
_DISCOVERY_S = 2.0
# Interval at which requests look up the number of instances.
_COUNT_INTERVAL_S = 1.0


class RetryBudget:
    """Bounds the retries of an instance in any sliding window.

    Args:
        ratio: Retries allowed for each request.
        window_s: Length of the window.
        slack: Retries allowed beyond that in the window, by all instances
            together.
        instances: Returns the number of instances.
        is_first_start: Whether the whole system starts for the first time, so
            that no earlier process has used the slack.
    """

    def __init__(
        self,
        ratio: float,
        window_s: float,
        slack: float,
        instances: collections.abc.Callable[[], int],
        *,
        is_first_start: bool = True,
    ):
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._lock = threading.Lock()
        # Number of requests counted so far.
        self.requests = 0
        # Retries beyond the credit.
        self._retries: collections.deque[float] = collections.deque()
        self._credit = 0.0
        self._counts = _InstanceCounts(instances)
        self._is_first_start = is_first_start
        self._started_s = clocks.boot_s()

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
            self.requests += 1
            self._counts.observe(now_s)
            self._credit += self._ratio
            self._expire(now_s)

    def take_retry(self) -> bool:
        """Counts a retry and returns True; returns False if none is left."""
        return self.take_unkept(0)

    def take_unkept(self, kept: int) -> bool:
        """Counts a retry like `take_retry` if more are left than are kept.

        Args:
            kept: Retries that must be left afterwards, for others.
        """
        now_s = clocks.boot_s()
        with self._lock:
            self._expire(now_s)
            if kept and self._left(now_s) <= kept:
                return False
            if self._credit > 0:
                self._credit -= 1.0
                return True
            if not self._is_slack_left(now_s):
                return False
            self._retries.append(now_s)
            return True

    def has_retry(self) -> bool:
        """Whether a retry is left; counts none."""
        return self.left() > 0

    def most(self) -> float:
        """Returns the retries of a window beyond what requests in it earn."""
        now_s = clocks.boot_s()
        with self._lock:
            slack = self._own_slack(now_s)
            credit = max(_MIN_CREDIT, slack * _CREDIT_SHARE)
            if self._has_no_slack(now_s):
                return credit
            return credit + slack * _SLACK_SHARE

    def left(self) -> int:
        """Returns the retries that may start now."""
        now_s = clocks.boot_s()
        with self._lock:
            self._expire(now_s)
            return self._left(now_s)

    def _left(self, now_s: float) -> int:
        left = math.ceil(max(0.0, self._credit))
        if self._is_slack_left(now_s):
            slack = self._own_slack(now_s) * _SLACK_SHARE
            left += math.ceil(slack - len(self._retries))
        return left

    def _has_no_slack(self, now_s: float) -> bool:
        """Whether an earlier process may have used this one's slack."""
        owed_s = self._window_s + _DISCOVERY_S
        is_new = now_s - self._started_s <= owed_s
        return is_new and not self._is_first_start

    def _is_slack_left(self, now_s: float) -> bool:
        """Whether a retry beyond the credit is left."""
        if self._has_no_slack(now_s):
            return False
        self._counts.look_up(now_s)
        return len(self._retries) < self._own_slack(now_s) * _SLACK_SHARE

    def _own_slack(self, now_s: float) -> float:
        """Returns the part of the slack that falls to this instance."""
        return self._slack / self._counts.most(now_s, self._window_s)

    def _expire(self, now_s: float) -> None:
        """Removes what has left the window, and credit above its bound."""
        oldest_s = now_s - self._window_s
        while self._retries and self._retries[0] < oldest_s:
            self._retries.popleft()
        if self._credit > _MIN_CREDIT:
            most = max(_MIN_CREDIT, self._own_slack(now_s) * _CREDIT_SHARE)
            self._credit = min(self._credit, most)


class _InstanceCounts:
    """The largest number of instances in a window.

    An instance that is gone may have used its part of the slack in the window;
    the others get larger parts only when it is over.

    Args:
        instances: Returns the number of instances.
    """

    def __init__(self, instances: collections.abc.Callable[[], int]):
        self._instances = instances
        # Times at which a number was first seen, and the numbers, which fall.
        # A number counts until the time of the next one.
        self._rows: collections.deque[tuple[float, int]] = collections.deque()
        self._observed_s = float("-inf")

    def observe(self, now_s: float) -> None:
        """Looks up the number if it was not in the last interval."""
        if now_s - self._observed_s >= _COUNT_INTERVAL_S:
            self.look_up(now_s)

    def look_up(self, now_s: float) -> None:
        """Looks up the number."""
        self._observed_s = now_s
        count = max(1, self._instances())
        while self._rows and self._rows[-1][1] < count:
            self._rows.pop()
        if not self._rows or self._rows[-1][1] > count:
            self._rows.append((now_s, count))

    def most(self, now_s: float, window_s: float) -> int:
        """Returns the largest number seen in the window that ends now."""
        self.observe(now_s)
        while len(self._rows) > 1 and self._rows[1][0] < now_s - window_s:
            self._rows.popleft()
        return self._rows[0][1]
