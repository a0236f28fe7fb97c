"""Sheds less urgent classes when the more urgent ones fill the hardware.

Engines run urgent requests first. A less urgent one that is admitted while
urgent demand exceeds the capacity would be starved, miss its deadline, and
have cost work that no caller gets; so its class is held to what is left.
"""

import threading

from briarfall.catalogue import entries
from briarfall.limits import buckets

_TIME_CONSTANT_S = 2.0
_BURST_S = 2.0
# Below this share of the capacity urgent demand starves nobody.
_NEGLIGIBLE = 0.05
_ORDER = list(entries.Priority)


class ClassDemand:
    """Demand for one model on one instance, by class.

    Args:
        now: Monotonic time in seconds.
    """

    def __init__(self, now: float):
        self._lock = threading.Lock()
        self._rates = dict.fromkeys(_ORDER, 0.0)
        self._buckets: dict[entries.Priority, buckets.TokenBucket] = {}
        self._updated_s = now

    def note(self, priority: entries.Priority, tokens: float, now: float):
        """Notes a request for `tokens`, whether admitted or not."""
        with self._lock:
            self._decay(now)
            self._rates[priority] += tokens / _TIME_CONSTANT_S

    def take(
        self,
        priority: entries.Priority,
        tokens: float,
        capacity: float,
        now: float,
    ) -> bool:
        """Returns whether the class may use `tokens` now.

        Args:
            priority: The request's class.
            tokens: Length of the answer.
            capacity: Tokens a second that this instance may count on.
            now: Monotonic time in seconds.
        """
        with self._lock:
            self._decay(now)
            urgent = self._more_urgent(priority)
            if urgent < capacity * _NEGLIGIBLE:
                return True
            left = capacity - urgent
            if left <= 0:
                return False
            bucket = self._buckets.get(priority)
            if bucket is None:
                bucket = buckets.TokenBucket(left, now, _BURST_S)
                self._buckets[priority] = bucket
            bucket.set_rate(left, now)
            # A request longer than a second's share must still pass once.
            if not bucket.is_positive(now):
                return False
            bucket.charge(tokens, now)
            return True

    def _more_urgent(self, priority: entries.Priority) -> float:
        ahead = _ORDER[: priority.rank]
        return sum(self._rates[other] for other in ahead)

    def _decay(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_s)
        factor = max(0.0, 1 - elapsed_s / _TIME_CONSTANT_S)
        for priority in _ORDER:
            self._rates[priority] *= factor
        self._updated_s = now
