"""A budget that limits retries to a small share of the load."""

import threading
import time

SHARE = 0.1
RESERVE = 256.0
_RESERVE_REFILL_PER_S = 4.0


class RetryBudget:
    """Limits retries to a share of the first attempts.

    The reserve allows all streams of one dead target to recover at once.

    Args:
        share: Retries that each first attempt adds to the budget.
        reserve: Maximum number of retries that the budget holds.
    """

    def __init__(self, share: float = SHARE, reserve: float = RESERVE):
        self._share = share
        self._reserve = reserve
        self._level = reserve
        self._updated_s = time.monotonic()
        self._lock = threading.Lock()
        self.refused = 0

    def record_first_attempt(self) -> None:
        """Records a first attempt, which adds to the budget."""
        with self._lock:
            self._refill()
            self._level = min(self._reserve, self._level + self._share)

    def take(self) -> bool:
        """Takes one retry from the budget; returns False if none is left."""
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
