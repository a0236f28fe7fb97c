"""Token buckets whose rate may change while they are used."""

_MIN_BURST = 1.0


class TokenBucket:
    """Permits `rate` units a second on average. Not safe for threads.

    Args:
        rate: Units a second.
        now: Monotonic time in seconds.
        burst_s: Seconds' worth of units that may be saved up.
    """

    def __init__(self, rate: float, now: float, burst_s: float = 1.0):
        self._rate = rate
        self._burst_s = burst_s
        self._level = self._capacity()
        self._updated_s = now

    @property
    def rate(self) -> float:
        """Units a second."""
        return self._rate

    def set_rate(self, rate: float, now: float) -> None:
        """Changes the rate from now on."""
        self._refill(now)
        self._rate = rate
        self._level = min(self._level, self._capacity())

    def take(self, units: float, now: float) -> bool:
        """Takes units if there are as many, and returns whether it did."""
        self._refill(now)
        if self._level < units:
            return False
        self._level -= units
        return True

    def charge(self, units: float, now: float) -> None:
        """Takes units that were already used, even into debt."""
        self._refill(now)
        self._level -= units

    def wait_s(self, units: float, now: float) -> float:
        """Returns the seconds until `units` can be taken."""
        self._refill(now)
        missing = units - self._level
        return max(0.0, missing / self._rate) if self._rate > 0 else 60.0

    def is_positive(self, now: float) -> bool:
        """Returns whether the bucket is out of debt."""
        self._refill(now)
        return self._level > 0

    def _capacity(self) -> float:
        return max(_MIN_BURST, self._rate * self._burst_s)

    def _refill(self, now: float) -> None:
        earned = (now - self._updated_s) * self._rate
        self._level = min(self._capacity(), self._level + earned)
        self._updated_s = now
