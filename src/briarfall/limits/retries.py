"""A budget that keeps retries a small share of the load."""

import threading
import time

SHARE = 0.1
RESERVE = 256.0
_RESERVE_REFILL_PER_S = 4.0


class RetryBudget:
    """Permits retries as a share of first attempts.

    The reserve lets all streams of one dead target recover at once.

    Args:
        share: Retries earned by each first attempt.
        reserve: Retries that can be saved up.
    """

    def __init__(self, share: float = SHARE, reserve: float = RESERVE):
        self._share = share
        self._reserve = reserve
        self._level = reserve
        self._updated_s = time.monotonic()
        self._lock = threading.Lock()
        self.refused = 0

    def note_first(self) -> None:
        """Counts a first attempt."""
        with self._lock:
            self._refill()
            self._level = min(self._reserve, self._level + self._share)

    def take(self) -> bool:
        """Takes one retry if there is one, and returns whether it did."""
        with self._lock:
            self._refill()
            if self._level < 1.0:
                self.refused += 1
                return False
            self._level -= 1.0
            return True

    def _refill(self) -> None:
        now = time.monotonic()
        earned = (now - self._updated_s) * _RESERVE_REFILL_PER_S
        self._level = min(self._reserve, self._level + earned)
        self._updated_s = now
