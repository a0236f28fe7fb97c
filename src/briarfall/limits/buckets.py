"""Token buckets with an adjustable rate."""

_MIN_BURST = 1.0


class TokenBucket:
    """Permits `rate` units per second on average. Not thread-safe.

    Args:
        rate: Units per second.
        now: Monotonic time in seconds.
        burst_s: Seconds for which unused units accumulate.
        extra: Units that accumulate beyond that, whatever the rate.
    """

    def __init__(
        self,
        rate: float,
        now: float,
        burst_s: float = 1.0,
        extra: float = 0.0,
    ):
        self._rate = rate
        self._burst_s = burst_s
        self._extra = extra
        self._level = self.capacity
        self._updated_s = now

    @property
    def rate(self) -> float:
        """Units per second."""
        return self._rate

    @property
    def capacity(self) -> float:
        """Most units that accumulate."""
        return max(_MIN_BURST, self._rate * self._burst_s + self._extra)

    def set_rate(self, rate: float, now: float) -> None:
        """Changes the rate as of `now`."""
        self._refill(now)
        self._rate = rate
        self._level = min(self._level, self.capacity)

    def take(self, units: float, now: float) -> bool:
        """Takes units if enough are available; returns whether it did."""
        self._refill(now)
        if self._level < units:
            return False
        self._level -= units
        return True

    def charge(self, units: float, now: float) -> None:
        """Deducts units that are already used; the level may fall below 0."""
        self._refill(now)
        self._level -= units

    def wait_s(self, units: float, now: float) -> float:
        """Returns the time in seconds until `units` are available."""
        self._refill(now)
        missing = units - self._level
        return max(0.0, missing / self._rate) if self._rate > 0 else 60.0

    def is_positive(self, now: float) -> bool:
        """Returns whether the level is above 0."""
        self._refill(now)
        return self._level > 0

    def _refill(self, now: float) -> None:
        earned = (now - self._updated_s) * self._rate
        self._level = min(self.capacity, self._level + earned)
        self._updated_s = now
