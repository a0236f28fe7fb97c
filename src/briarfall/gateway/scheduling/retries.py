"""Whose retries get the last part of the retry budget."""

import threading

import msgspec

from briarfall.gateway.scheduling import urgencies

# Part of the retries of a window that is kept for the requests whose loss costs
# callers most.
_KEPT_SHARE = 0.25
# Of so many retries in a row that were refused for the kept part, the last one
# may use it, so that no kind of request is left without retries for long.
_REFUSED_IN_A_ROW = 8


class RetryNeed(msgspec.Struct, frozen=True):
    """What the loss of a request would cost its caller.

    Attributes:
        urgency: Rank of the request; 0 is served first.
        is_started: Whether its caller reads a part of the answer already.
        is_in_time: Whether its answer can still begin within its aim.
    """

    urgency: int
    is_started: bool = False
    is_in_time: bool = True


class RetryReserve:
    """Keeps the last retries of a window for the requests that need them most.

    It only ever refuses more than the budget does. While all requests are of
    one urgency, it keeps nothing.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._urgencies = urgencies.RecentUrgencies()
        self._refused = 0

    def record(self, urgency: int, now_s: float) -> None:
        """Records the first attempt of a request."""
        with self._lock:
            self._urgencies.record(urgency, now_s)

    def kept(self, need: RetryNeed, most: float, now_s: float) -> int:
        """Returns how many retries are kept for others than a request.

        Args:
            need: The request's need.
            most: Retries that a whole window allows, without those that the
                requests in it earn.
            now_s: Time on the boot clock.
        """
        with self._lock:
            if self._urgencies.count(now_s) <= 1 or need.is_started:
                return 0
            share = self._urgencies.share(need.urgency, now_s)
        if not need.is_in_time:
            share = 1.0
        return int(most * _KEPT_SHARE * share)

    @property
    def is_due(self) -> bool:
        """Whether the next retry that is refused for the kept part may run."""
        return self._refused >= _REFUSED_IN_A_ROW - 1

    def passes(self) -> bool:
        """Counts a retry refused for the kept part; whether it may run."""
        with self._lock:
            if self.is_due:
                self._refused = 0
                return True
            self._refused += 1
            return False
