"""Finds client accounts that ask for more than their fair share."""

import collections
import collections.abc
import threading

from briarfall import ids
from briarfall.gateway import clocks

_WINDOW_S = 5.0
# An account is above its fair share if it asks for this many times what the
# others ask for on average, in no fewer than this many requests.
_FAIR_FACTOR = 2.0
_MIN_REQUESTS = 4


class AccountShares:
    """Work that each client account asks for over a sliding window.

    Args:
        clock: Returns the time in seconds; the boot clock by default.
    """

    def __init__(
        self, clock: collections.abc.Callable[[], float] | None = None
    ):
        self._clock = clock or (lambda: clocks.boot_s())
        self._lock = threading.Lock()
        self._rows: collections.deque[tuple[float, ids.ClientId, float]] = (
            collections.deque()
        )
        self._work: dict[ids.ClientId, float] = {}
        self._total = 0.0
        self._counts: collections.Counter[ids.ClientId] = collections.Counter()

    def record(self, account: ids.ClientId, work: float) -> bool:
        """Adds a request; returns whether its account is above its share."""
        now_s = self._clock()
        with self._lock:
            self._expire(now_s)
            self._rows.append((now_s, account, work))
            self._work[account] = self._work.get(account, 0.0) + work
            self._total += work
            self._counts[account] += 1
            if self._counts[account] < _MIN_REQUESTS or len(self._work) < 2:
                return False
            own = self._work[account]
            others = self._total - own
            fair = others / (len(self._work) - 1)
            return own > fair * _FAIR_FACTOR

    def _expire(self, now_s: float) -> None:
        while self._rows and self._rows[0][0] < now_s - _WINDOW_S:
            _, account, work = self._rows.popleft()
            self._work[account] -= work
            self._total -= work
            self._counts[account] -= 1
            if not self._counts[account]:
                del self._counts[account]
                del self._work[account]
        if not self._rows:
            self._total = 0.0
