"""Permits that the home instance of limited targets gives out.

The load that this answers: many instances together want to send more requests
to a target than it takes. Permits are paced, so that no burst follows a quiet
time, and instances that are refused may ask again one after the other.
"""

import threading

import msgspec

from briarfall.gateway import clocks
from briarfall.gateway.targets import incarnations
from briarfall.limits import buckets

# Time in seconds for which unused permits accumulate. Two homes may give out
# permits for a while, so a burst that grows with the limit is short.
_BURST_S = 0.1
# Permits that accumulate beyond that. At a low limit seconds may pass until an
# instance that may ask again has a request.
_EXTRA_BURST = 1.6
# A target whose limit is lower, or 0, still gets this many requests per second
# from all instances together. Without them no response could tell that the
# limit has ended.
TRIAL_RATE_PER_S = 0.25
# Longest time in seconds until an instance may ask again.
_MAX_WAIT_S = 4.0
# A target for which no permit was requested for this time is forgotten.
_RETENTION_S = 60.0


class Grant(msgspec.Struct, frozen=True):
    """The answer to a request for a permit.

    Attributes:
        is_granted: Whether one request may be sent now.
        wait_s: Seconds after which the instance may ask again if not.
    """

    is_granted: bool
    wait_s: float = 0.0


class _Account(msgspec.Struct):
    """Permits of one target.

    Attributes:
        bucket: Permits that may be given out.
        waiting: Requests that were refused and may ask again later.
        used_s: Time on the boot clock of the last request.
    """

    bucket: buckets.TokenBucket
    waiting: float = 0.0
    used_s: float = 0.0


class PermitBook:
    """Gives out permits for the targets whose home is this instance."""

    def __init__(self):
        self._lock = threading.Lock()
        self._accounts: dict[incarnations.Incarnation, _Account] = {}

    def request(
        self, incarnation: incarnations.Incarnation, per_s: float
    ) -> Grant:
        """Gives out a permit if one is free.

        A target starts without permits, whatever was given out before.

        Args:
            incarnation: The target.
            per_s: Permits per second that may be given out.
        """
        rate = max(TRIAL_RATE_PER_S, per_s)
        now_s = clocks.boot_s()
        with self._lock:
            account = self._accounts.get(incarnation)
            if account is None:
                self._forget_unused(now_s)
                account = _Account(_empty_bucket(rate, now_s))
                self._accounts[incarnation] = account
            self._expire_waiting(account, now_s, rate)
            account.used_s = now_s
            if account.bucket.rate != rate:
                account.bucket.set_rate(rate, now_s)
            if account.bucket.take(1.0, now_s):
                account.waiting = max(0.0, account.waiting - 1.0)
                return Grant(True)
            wait_s = account.bucket.wait_s(1.0, now_s)
            wait_s = min(_MAX_WAIT_S, wait_s + account.waiting / rate)
            account.waiting = min(account.waiting + 1.0, _MAX_WAIT_S * rate)
            return Grant(False, wait_s)

    def record_use(
        self, incarnation: incarnations.Incarnation, count: int
    ) -> None:
        """Deducts requests that were sent to a target without a permit."""
        now_s = clocks.boot_s()
        with self._lock:
            account = self._accounts.get(incarnation)
            if account is None:
                return
            if account.bucket.wait_s(1.0, now_s) < _MAX_WAIT_S:
                account.bucket.charge(count, now_s)

    def forget(self, incarnation: incarnations.Incarnation) -> None:
        """Forgets a target whose home is another instance now."""
        with self._lock:
            self._accounts.pop(incarnation, None)

    def _expire_waiting(
        self, account: _Account, now_s: float, rate: float
    ) -> None:
        """Drops waiting requests whose time to ask again has passed."""
        passed_s = now_s - account.used_s
        account.waiting = max(0.0, account.waiting - passed_s * rate)

    def _forget_unused(self, now_s: float) -> None:
        for incarnation, account in list(self._accounts.items()):
            if now_s - account.used_s > _RETENTION_S:
                del self._accounts[incarnation]


def _empty_bucket(rate: float, now_s: float) -> buckets.TokenBucket:
    bucket = buckets.TokenBucket(rate, now_s, _BURST_S, _EXTRA_BURST)
    bucket.charge(bucket.capacity, now_s)
    return bucket
