"""Sheds requests of less urgent classes when more urgent ones use the capacity.

Engines run urgent requests first. A less urgent request that is admitted while
urgent demand exceeds the capacity starves and misses its deadline, and the work
done for it is lost. Therefore each class is limited to the capacity that more
urgent classes leave.
"""

import threading

from briarfall.catalogue import entries
from briarfall.limits import buckets

# Time constant with which the measured demand of a class decays.
_TIME_CONSTANT_S = 2.0
_BURST_S = 2.0
# Demand of more urgent classes below this share of the capacity starves no
# request.
_NEGLIGIBLE = 0.05
_CLASSES = list(entries.Priority)


class ClassDemand:
    """Demand for one model on one instance, by priority class.

    Args:
        now: Monotonic time in seconds.
    """

    def __init__(self, now: float):
        self._lock = threading.Lock()
        self._rates = dict.fromkeys(_CLASSES, 0.0)
        self._buckets: dict[entries.Priority, buckets.TokenBucket] = {}
        self._updated_s = now

    def record(self, priority: entries.Priority, tokens: float, now: float):
        """Records a request for `tokens`, whether it is admitted or not."""
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
        """Returns whether a class may use `tokens` now.

        Args:
            priority: Class of the request.
            tokens: Tokens that the request asks for.
            capacity: This instance's share of the capacity, in tokens per
                second.
            now: Monotonic time in seconds.
        """
        with self._lock:
            self._decay(now)
            urgent_rate = self._more_urgent_rate(priority)
            if urgent_rate < capacity * _NEGLIGIBLE:
                return True
            left = capacity - urgent_rate
            if left <= 0:
                return False
            bucket = self._buckets.get(priority)
            if bucket is None:
                bucket = buckets.TokenBucket(left, now, _BURST_S)
                self._buckets[priority] = bucket
            bucket.set_rate(left, now)
            # A request that needs more than the bucket can hold must still be
            # able to pass. A request therefore passes while the level is above
            # 0, and may leave the level below 0.
            if not bucket.is_positive(now):
                return False
            bucket.charge(tokens, now)
            return True

    def _more_urgent_rate(self, priority: entries.Priority) -> float:
        more_urgent = _CLASSES[: priority.rank]
        return sum(self._rates[other] for other in more_urgent)

    def _decay(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_s)
        factor = max(0.0, 1 - elapsed_s / _TIME_CONSTANT_S)
        for priority in _CLASSES:
            self._rates[priority] *= factor
        self._updated_s = now
