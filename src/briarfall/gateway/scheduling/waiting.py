"""The order in which requests of one instance get room that becomes free.

Each waiting request has a thread of its own, which looks for room once in each
round, after those that go before it. What became free since the last round
thus goes to the first one that it fits. A request that needs no less than one
that has just looked in vain does not look.
"""

import bisect
import collections
import collections.abc
import math
import threading

import msgspec

from briarfall.gateway import clocks
from briarfall.gateway.scheduling import classes

# Interval of rounds. A search takes some milliseconds of a processor.
_ROUND_S = 0.08
# Time from the first look in vain to the first round.
_FIRST_PAUSE_S = 0.03
# A pause ends this long after the start of a round.
_MARGIN_S = 0.0005
# A request waits for the looks of no more than this many before it.
_MAX_BEFORE = 64
# A request that has not looked this long after the start of a round holds up
# nobody.
_OVERDUE_S = 0.05
# Pause of a request until those before it have looked.
_ORDER_PAUSE_S = 0.004
# Looks in vain that are kept for a round.
_MAX_FAILED = 16
# A request that may fill caches by this much more may find room where another
# found none. Smaller differences come from the time of the estimate.
_FILL_STEP = 0.02
# Admissions are counted over this window.
_WINDOW_S = 1.0
# Admissions that came in a burst count as spread over this time.
_MIN_WINDOW_S = 0.2
# The time until a request gets room is estimated only with so many before it,
# and from so many admissions. At a start, or while engines load layers, nothing
# is known, and requests wait.
_MIN_BEFORE = 4
_MIN_ADMISSIONS = 4

_Rank = tuple[bool, int, bool, int, float, int]


class Waiter(msgspec.Struct, eq=False):
    """A request that needs room.

    Attributes:
        demand_class: Its class.
        work: Work that it needs.
        aim_s: Time on the boot clock by which its first event is on time.
        until_s: Time on the boot clock until which it may wait.
        has_started: Whether its caller already reads the answer.
        is_restricted: Whether it may use only some of the engines. Others then
            don't wait for it, since what it lacks may not be room.
        max_fill: Fill of a KV cache up to which it may reserve room now.
        round: Number of the last round in which it has looked, or did not need
            to.
        looks: How often it has looked in vain.
        had_turn: Whether it has looked in its turn, or did not need to.
    """

    demand_class: classes.DemandClass
    work: float
    aim_s: float
    until_s: float
    has_started: bool = False
    is_restricted: bool = False
    max_fill: float = 0.0
    round: int = -1
    looks: int = 0
    had_turn: bool = False


class WaitingRoom:
    """Requests that wait for the same engines, in the order in which they go.

    Streams that have started go first, then by urgency, then those that can
    still be on time, then the smaller size band, then the earliest aim.

    Args:
        clock: Returns the time in seconds; the boot clock by default.
    """

    def __init__(
        self, clock: collections.abc.Callable[[], float] | None = None
    ):
        self._clock = clock or (lambda: clocks.boot_s())
        self._lock = threading.Lock()
        self._ranks: list[_Rank] = []
        self._waiters: dict[_Rank, Waiter] = {}
        self._rank_of: dict[Waiter, _Rank] = {}
        self._sequence = 0
        self._rounds_from_s = 0.0
        # Whether it had started, urgency, work and largest fill of those that
        # looked in vain in a round.
        self._failed_round = -1
        self._failed: list[tuple[bool, int, float, float]] = []
        self._admissions: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def __len__(self) -> int:
        return len(self._ranks)

    def pause_before_look(self, waiter: Waiter) -> float:
        """Returns 0 if a request may look for room, else a pause in seconds.

        A request that has to pause waits from now on.
        """
        now_s = self._clock()
        with self._lock:
            if not self._ranks:
                return 0.0
            round_number = self._round_at(now_s)
            is_waiting = waiter in self._rank_of
            self._place(waiter, now_s, join=False)
            rank = self._rank_of.get(waiter) or self._new_rank(waiter, now_s)
            behind = self._is_behind(rank, round_number, now_s, is_waiting)
            if not is_waiting:
                if not behind:
                    return 0.0
                # What is free now was left for those before it.
                waiter.round = round_number
                self._place(waiter, now_s, join=True)
            if waiter.round >= round_number:
                return self._until_round(round_number + 1, now_s)
            if behind:
                return _ORDER_PAUSE_S
            if self._is_in_vain(waiter, round_number):
                waiter.round = round_number
                waiter.had_turn = True
                return self._until_round(round_number + 1, now_s)
            return 0.0

    def may_look_last(self, waiter: Waiter) -> bool:
        """Whether a request that may wait no longer may look once more.

        If others go before it, what became free since its last turn is left
        for them. A stream that has started may always look, since to cut it
        costs most.
        """
        if waiter.has_started or not waiter.had_turn:
            return True
        now_s = self._clock()
        with self._lock:
            rank = self._rank_of.get(waiter) or self._new_rank(waiter, now_s)
            round_number = self._round_at(now_s)
            return not self._is_behind(
                rank, round_number, now_s, is_waiting=False
            )

    def record_look(self, waiter: Waiter) -> float:
        """Records a look in vain; returns the pause until the next one.

        The request waits from now on.
        """
        now_s = self._clock()
        with self._lock:
            if not self._ranks:
                self._rounds_from_s = now_s + _FIRST_PAUSE_S - _ROUND_S
                self._failed_round = -1
            self._place(waiter, now_s, join=True)
            waiter.round = self._round_at(now_s)
            waiter.looks += 1
            waiter.had_turn = True
            if not waiter.is_restricted:
                self._record_failed(waiter)
            return self._until_round(waiter.round + 1, now_s)

    def leave(self, waiter: Waiter, *, is_admitted: bool) -> None:
        """Removes a request that has got room or that waits no longer."""
        now_s = self._clock()
        with self._lock:
            if is_admitted:
                self._admissions.append((now_s, waiter.demand_class.urgency))
                self._expire(now_s)
            self._remove(waiter)

    def count_before(self, waiter: Waiter) -> int:
        """Returns how many waiting requests go before one."""
        with self._lock:
            rank = self._rank_of.get(waiter)
            if rank is None:
                rank = self._new_rank(waiter, self._clock())
            return bisect.bisect_left(self._ranks, rank)

    def expected_wait_s(self, waiter: Waiter) -> float:
        """Returns the expected seconds until a request gets room.

        That is the time in which as many requests as go before it got room
        lately. More urgent ones, whether they wait or are still to come, are
        left out on both sides. 0 if few go before it or too few got room to
        tell; infinity if only more urgent ones did.
        """
        urgency = waiter.demand_class.urgency
        with self._lock:
            now_s = self._clock()
            rank = self._rank_of.get(waiter) or self._new_rank(waiter, now_s)
            before = bisect.bisect_left(self._ranks, rank)
            self._expire(now_s)
            if before < _MIN_BEFORE or len(self._admissions) < _MIN_ADMISSIONS:
                return 0.0
            first = bisect.bisect_left(self._ranks, rank[:2])
            passed_s = max(_MIN_WINDOW_S, now_s - self._admissions[0][0])
            count = 0
            for _, other in self._admissions:
                count += other >= urgency
        if not count:
            return math.inf
        return (before - first + 1) * passed_s / count

    def _round_at(self, now_s: float) -> int:
        return math.floor((now_s - self._rounds_from_s) / _ROUND_S)

    def _until_round(self, number: int, now_s: float) -> float:
        start_s = self._rounds_from_s + number * _ROUND_S
        return max(0.0, start_s - now_s) + _MARGIN_S

    def _is_behind(
        self, rank: _Rank, round_number: int, now_s: float, is_waiting: bool
    ) -> bool:
        """Whether a request that goes before a rank is still to look.

        A request that arrives goes behind all that wait before it; one that
        waits, behind those that have not looked in this round.
        """
        begun_s = now_s - self._rounds_from_s - round_number * _ROUND_S
        for other in self._ranks[:_MAX_BEFORE]:
            if other >= rank:
                return False
            before = self._waiters[other]
            if before.is_restricted:
                continue
            # A request whose thread does not run holds up nobody.
            missed = round_number - before.round
            if missed > 1 or (missed == 1 and begun_s > _OVERDUE_S):
                continue
            if missed == 1 or not is_waiting:
                return True
        return False

    def _is_in_vain(self, waiter: Waiter, round_number: int) -> bool:
        """Whether one that may use as much found too little room just now."""
        if self._failed_round != round_number:
            return False
        for has_started, urgency, work, max_fill in self._failed:
            if has_started != waiter.has_started:
                continue
            if max_fill < waiter.max_fill - _FILL_STEP:
                continue
            if urgency <= waiter.demand_class.urgency and work <= waiter.work:
                return True
        return False

    def _record_failed(self, waiter: Waiter) -> None:
        if self._failed_round != waiter.round:
            self._failed_round = waiter.round
            self._failed.clear()
        row = (
            waiter.has_started,
            waiter.demand_class.urgency,
            waiter.work,
            waiter.max_fill,
        )
        if len(self._failed) < _MAX_FAILED:
            self._failed.append(row)

    def _place(self, waiter: Waiter, now_s: float, *, join: bool) -> None:
        """Puts a request at its present place if it waits or is to wait."""
        known = self._rank_of.get(waiter)
        if known is None and not join:
            return
        is_late = waiter.aim_s < now_s
        if known is not None:
            if known[2] == is_late:
                return
            self._remove(waiter)
        rank = self._new_rank(waiter, now_s)
        bisect.insort(self._ranks, rank)
        self._waiters[rank] = waiter
        self._rank_of[waiter] = rank

    def _new_rank(self, waiter: Waiter, now_s: float) -> _Rank:
        self._sequence += 1
        return (
            not waiter.has_started,
            waiter.demand_class.urgency,
            waiter.aim_s < now_s,
            waiter.demand_class.band,
            waiter.aim_s,
            self._sequence,
        )

    def _remove(self, waiter: Waiter) -> None:
        rank = self._rank_of.pop(waiter, None)
        if rank is None:
            return
        del self._waiters[rank]
        del self._ranks[bisect.bisect_left(self._ranks, rank)]

    def _expire(self, now_s: float) -> None:
        while self._admissions and self._admissions[0][0] < now_s - _WINDOW_S:
            self._admissions.popleft()
