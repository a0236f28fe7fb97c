"""When refused callers may return: in order, spread, and within their time."""

import bisect
import collections
import random
import threading

import msgspec

from briarfall import exceptions
from briarfall.gateway import retryafter

# A caller waits for at most this share of the time that it has left, whatever
# it is told.
HONOURED_SHARE = 1.0 / 3.0
# Part of the honoured time over which returns are spread that would otherwise
# all fall at its end.
_SPREAD_SHARE = 0.25
# Shortest pause told in place of a fixed one, as a share of it; the longest is
# 1 above that.
_FIXED_SHARE = 0.5
# Refused requests of late that an order compares with; older ones are back.
_RECENT = 64
_RECENT_S = 5.0
_MAX_GROUPS = 256
_MAX_ROWS = 4096
# Requests whose times left differ by less than this are of equal rank.
_RANK_STEP_S = 0.25


class ReturnNeed(msgspec.Struct, frozen=True):
    """What decides when a refused caller may return.

    Attributes:
        group: Requests that wait for the same room, such as a service's.
        urgency: Rank of the request; 0 is served first.
        left_s: Seconds until its deadline.
    """

    group: str
    urgency: int
    left_s: float

    @property
    def rank(self) -> tuple[int, int]:
        """Order in which callers may return."""
        return self.urgency, int(max(0.0, self.left_s) / _RANK_STEP_S)


class _Recent(msgspec.Struct):
    rows: collections.deque[tuple[float, tuple[int, int]]]


class ReturnTimes:
    """Tells refused callers when to return.

    Args:
        rng: Spreads the returns of callers of equal rank.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._lock = threading.Lock()
        self._groups: collections.OrderedDict[str, _Recent] = (
            collections.OrderedDict()
        )

    def told_s(
        self,
        period: retryafter.UnavailablePeriod,
        need: ReturnNeed,
        now_s: float,
    ) -> float:
        """Returns after how many seconds a refused caller should return.

        The time from the period's end on is divided in the order of the ranks
        of the callers that were refused of late; callers of one rank are
        spread at random.

        Args:
            period: Period in which there is no room.
            need: The caller's need.
            now_s: Time on the boot clock.
        """
        position = self._position(need, now_s)
        first_s = max(0.0, period.remaining_s)
        end_s = first_s + retryafter.spread_s(period)
        if need.left_s <= 0 or first_s >= need.left_s:
            return first_s + (end_s - first_s) * position
        most_s = need.left_s * HONOURED_SHARE
        first_s = min(first_s, most_s * (1 - _SPREAD_SHARE))
        return first_s + (min(end_s, most_s) - first_s) * position

    def _position(self, need: ReturnNeed, now_s: float) -> float:
        """Returns a caller's place among those of late, from 0 to 1."""
        with self._lock:
            recent = self._groups.pop(need.group, None)
            if recent is None:
                recent = _Recent(collections.deque(maxlen=_RECENT))
            self._groups[need.group] = recent
            if len(self._groups) > _MAX_GROUPS:
                self._groups.popitem(last=False)
            while recent.rows and recent.rows[0][0] < now_s - _RECENT_S:
                recent.rows.popleft()
            ranks = sorted(rank for _, rank in recent.rows)
            recent.rows.append((now_s, need.rank))
            drawn = self._rng.random()
        before = bisect.bisect_left(ranks, need.rank)
        equal = bisect.bisect_right(ranks, need.rank) - before
        return (before + drawn * (equal + 1)) / (len(ranks) + 1)


def told_s(
    exc: exceptions.BriarfallError, left_s: float, rng: random.Random
) -> float | None:
    """Returns what the caller of a failed request is told, or None.

    A pause that all errors of a kind have is spread around its length, so that
    callers refused together don't return together.

    Args:
        exc: The error.
        left_s: Seconds until the caller's deadline.
        rng: Spreads the returns.
    """
    if exc.retry_after_s is None:
        return None
    retry_s = exc.retry_after_s
    if "retry_after_s" not in vars(exc):
        retry_s *= _FIXED_SHARE + rng.random()
    return within_honoured_s(retry_s, left_s, rng)


def within_honoured_s(
    retry_s: float, left_s: float, rng: random.Random
) -> float:
    """Returns a time to return that the caller can honour.

    A time beyond the caller's deadline stays: the caller can't be served
    before it.

    Args:
        retry_s: Seconds after which there may be room.
        left_s: Seconds until the caller's deadline.
        rng: Spreads the returns that are told earlier.
    """
    most_s = left_s * HONOURED_SHARE
    if left_s <= 0 or retry_s <= most_s or retry_s >= left_s:
        return retry_s
    return most_s * (1 - _SPREAD_SHARE * rng.random())


class RefusedRequests:
    """Refused requests, and when their callers were told to return.

    A row ends at the time that was told: a caller that repeats in the meantime
    neither gains nor loses by it.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._until_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def record(self, key: str, told_s: float, now_s: float) -> None:
        """Records what a caller was told.

        Args:
            key: Identifies the request over its repeats.
            told_s: Seconds after which the caller should return.
            now_s: Time on the boot clock.
        """
        with self._lock:
            if self._until_s.get(key, 0.0) > now_s:
                return
            self._until_s.pop(key, None)
            self._until_s[key] = now_s + told_s
            if len(self._until_s) > _MAX_ROWS:
                self._until_s.popitem(last=False)

    def rest_s(self, key: str, now_s: float) -> float:
        """Returns the seconds for which a request is back too early, or 0."""
        with self._lock:
            until_s = self._until_s.get(key)
            if until_s is None:
                return 0.0
            if until_s <= now_s:
                del self._until_s[key]
                return 0.0
        return until_s - now_s
