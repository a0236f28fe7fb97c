"""Which calls of a plain service its targets' slots and queues have room for.

Calls are let in while a slot is free. When all are taken, a call is refused if
its slot would be free too late; the last part of the longest wait that it has
time for is left to the calls that go first: the more urgent, then those of
accounts with few calls, then those that may run only once.
"""

import collections
import enum

import msgspec

from briarfall import ids
from briarfall.gateway.scheduling import answertimes
from briarfall.gateway.scheduling import urgencies

# Part of the longest wait that a call has time for, which is left to those that
# go first: the least urgent of the account with most calls waits no longer than
# the rest.
_KEPT_SHARE = 0.6
# Part of the order within one urgency by which calls that may be repeated stand
# behind those that may not; accounts' numbers of calls decide the rest.
_ORDERS_PART = 0.25
# Wait of calls with more time, as a share of the time that calls with less,
# and as urgent, have been short of.
_PATIENT_SHARE = 0.75
# That wait is at least so many times the time of an answer, so that the slots
# are never idle for it.
_PATIENT_ROUNDS = 2.0
# Calls that were too late, within `_RECENT_S`, from which on that holds. Fewer
# may be those of a single caller with little patience.
_MIN_TIGHT_CALLS = 4
# Rounds of admissions, one for each account and urgency of late, after which
# one that was refused since its last admission is let in.
_ROUNDS = 8
_RECENT_ADMISSIONS = 256
_MAX_WAITING = 1024
# Admissions older than this say nothing about the accounts that press now.
_RECENT_S = 2.0
# Time after which a refused account that has not come back presses no more.
_WAITING_S = 10.0


class Verdict(enum.Enum):
    """What a decision says, and why.

    Attributes:
        ROOM: A slot is free.
        QUEUED: The call waits for a slot at its target, in time.
        SHARE: It waits there since its account and urgency have waited long.
        TOO_LATE: No slot is free before its deadline.
        KEPT: The places that are left are kept for calls that go first.
    """

    ROOM = "room"
    QUEUED = "queued"
    SHARE = "share"
    TOO_LATE = "too_late"
    KEPT = "kept"


class TargetSlots(msgspec.Struct, frozen=True):
    """The slots of a target.

    Attributes:
        target: The target.
        slots: Requests that it runs at once.
        in_flight: Requests of all instances at it.
        estimate: Time that a request takes at it.
    """

    target: ids.TargetId
    slots: int
    in_flight: int
    estimate: answertimes.Estimate = answertimes.UNKNOWN

    @property
    def wait_s(self) -> float:
        """Seconds until a slot is free for one more request.

        0 if one is free, or if the time of its answers is unknown.
        """
        before = self.in_flight - self.slots + 1
        if before <= 0:
            return 0.0
        return before * self.estimate.work_s / max(1, self.slots)


class SlotNeed(msgspec.Struct, frozen=True):
    """What a call needs of its service.

    Attributes:
        account: Name of its client account, or empty.
        urgency: Its rank; 0 is served first.
        left_s: Seconds until its deadline.
        runs_once: Whether it may run only once.
    """

    account: str
    urgency: int
    left_s: float
    runs_once: bool = False


class Decision(msgspec.Struct, frozen=True):
    """A decision on one call.

    Attributes:
        verdict: What it is.
        wait_s: Seconds until a slot would be free for it.
        limit_s: Longest wait with which it would be let in.
        level: Its place in the order, from 0 (first) to 1.
        slots: Slots of all targets.
        in_flight: Requests at all targets.
        age_s: Age of the estimate of the target with the shortest wait.
    """

    verdict: Verdict
    wait_s: float = 0.0
    limit_s: float = 0.0
    level: float = 0.0
    slots: int = 0
    in_flight: int = 0
    age_s: float = 0.0

    @property
    def is_admitted(self) -> bool:
        """Whether the call is let in."""
        return self.verdict not in (Verdict.TOO_LATE, Verdict.KEPT)

    @property
    def has_free_slot(self) -> bool:
        """Whether a slot is free, as far as is known."""
        return self.verdict is Verdict.ROOM


class _TightCalls(msgspec.Struct):
    """Calls of one urgency that were too late.

    Attributes:
        count: Their number.
        longest_s: The shortest wait for which one of them had time.
        seen_s: When the last of them came.
    """

    count: int = 0
    longest_s: float = float("inf")
    seen_s: float = float("-inf")


_Group = tuple[int, str]


def are_full(rows: list[TargetSlots]) -> bool:
    """Whether all slots are taken, whatever time a slot works."""
    return all(row.in_flight >= row.slots for row in rows)


class _Groups:
    """Accounts by urgency that were let in or refused of late, counted."""

    def __init__(self):
        self._recent: collections.deque[tuple[float, _Group]] = (
            collections.deque()
        )
        self._held: set[_Group] = set()
        self._admitted: collections.Counter[_Group] = collections.Counter()
        self._accounts: collections.Counter[int] = collections.Counter()
        self._admissions: collections.Counter[int] = collections.Counter()
        # Number of groups.
        self.count = 0

    def __len__(self) -> int:
        return len(self._recent)

    def has(self, group: _Group) -> bool:
        """Whether a group was let in or refused of late."""
        return group in self._held or group in self._admitted

    def accounts(self, urgency: int) -> int:
        """Returns the number of accounts with calls of an urgency."""
        return self._accounts[urgency]

    def admissions(self, urgency: int, account: str | None = None) -> int:
        """Returns the number of admissions of an urgency, or an account's."""
        if account is None:
            return self._admissions[urgency]
        return self._admitted[urgency, account]

    def admit(self, group: _Group, now_s: float) -> None:
        """Records an admission."""
        self._enter(group)
        self._recent.append((now_s, group))
        self._admitted[group] += 1
        self._admissions[group[0]] += 1
        if len(self._recent) > _RECENT_ADMISSIONS:
            self._drop_oldest()

    def hold(self, group: _Group) -> None:
        """Records that a group was refused and waits."""
        self._enter(group)
        self._held.add(group)

    def release(self, group: _Group) -> None:
        """Records that a group waits no more."""
        self._held.discard(group)
        self._leave(group)

    def expire(self, oldest_s: float) -> None:
        """Drops the admissions before a time."""
        while self._recent and self._recent[0][0] < oldest_s:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        _, group = self._recent.popleft()
        self._admissions[group[0]] -= 1
        if not self._admissions[group[0]]:
            del self._admissions[group[0]]
        self._admitted[group] -= 1
        if not self._admitted[group]:
            del self._admitted[group]
            self._leave(group)

    def _enter(self, group: _Group) -> None:
        if not self.has(group):
            self.count += 1
            self._accounts[group[0]] += 1

    def _leave(self, group: _Group) -> None:
        if self.has(group):
            return
        self.count -= 1
        self._accounts[group[0]] -= 1
        if not self._accounts[group[0]]:
            del self._accounts[group[0]]


class ServiceSlots:
    """Decides which calls of one service are let in; not thread-safe."""

    def __init__(self):
        self._urgencies = urgencies.RecentUrgencies()
        self._orders_s = float("-inf")
        self._groups = _Groups()
        # Refused groups: the number of admissions at the first refusal, and
        # the time of the last one.
        self._waiting: collections.OrderedDict[_Group, tuple[int, float]] = (
            collections.OrderedDict()
        )
        self._admissions = 0
        # Calls of late that had time for a wait and were too late, by urgency.
        self._tight: dict[int, _TightCalls] = {}

    def decide(
        self, need: SlotNeed, rows: list[TargetSlots], now_s: float
    ) -> Decision:
        """Decides on a call that arrives now, and counts it.

        Args:
            need: What it needs.
            rows: Targets that may take it.
            now_s: Time on the boot clock.
        """
        group = (need.urgency, need.account)
        self._urgencies.record(need.urgency, now_s)
        if need.runs_once:
            self._orders_s = now_s
        self._groups.expire(now_s - _RECENT_S)
        decision = self._decide(need, group, rows, now_s)
        if decision.is_admitted:
            self._record_admission(group, now_s)
        elif decision.verdict is Verdict.KEPT:
            self._record_refusal(group, now_s)
        return decision

    def _decide(
        self,
        need: SlotNeed,
        group: _Group,
        rows: list[TargetSlots],
        now_s: float,
    ) -> Decision:
        best = min(rows, key=lambda row: row.wait_s, default=None)
        if best is None or best.wait_s <= 0:
            return Decision(Verdict.ROOM)
        longest_s = need.left_s - best.estimate.work_s
        level = self._level(need, best.wait_s, longest_s, now_s)
        limit_s = longest_s * (1 - _KEPT_SHARE * level)
        tightest_s = self._tightest_s(need.urgency, now_s)
        if longest_s > tightest_s:
            patient_s = max(
                tightest_s * _PATIENT_SHARE,
                best.estimate.work_s * _PATIENT_ROUNDS,
            )
            limit_s = min(limit_s, patient_s)
        verdict = Verdict.QUEUED
        if best.wait_s > longest_s:
            verdict = Verdict.TOO_LATE
            if longest_s > best.estimate.work_s:
                self._record_tight(need.urgency, longest_s, now_s)
        elif best.wait_s > limit_s:
            verdict = Verdict.KEPT
            if self._is_due(group):
                verdict = Verdict.SHARE
        return Decision(
            verdict,
            best.wait_s,
            limit_s,
            level,
            sum(row.slots for row in rows),
            sum(row.in_flight for row in rows),
            best.estimate.age_s,
        )

    def _level(
        self, need: SlotNeed, wait_s: float, longest_s: float, now_s: float
    ) -> float:
        """Returns the place in the order of all calls of late, from 0 to 1."""
        rank = self._urgencies.rank(need.urgency, now_s)
        has_orders = now_s - self._orders_s < _RECENT_S
        needs_it = need.runs_once and wait_s > longest_s / 2
        behind_orders = 0.0
        if has_orders and not needs_it:
            behind_orders = _ORDERS_PART
        # Each urgency has half of what those before it leave, so that the
        # order holds whatever urgencies are seen between two decisions.
        within = self._heaviness(need) + behind_orders
        return 1 - (1 - within / 2) * 0.5**rank

    def _record_tight(
        self, urgency: int, longest_s: float, now_s: float
    ) -> None:
        """Records a call whose time was too short for the wait.

        The wait of the others is then bounded by it: those with more time can
        come back, and the queues serve as many with a shorter wait.
        """
        known = self._tight.get(urgency)
        if known is None or known.seen_s < now_s - _RECENT_S:
            known = self._tight[urgency] = _TightCalls()
        known.count += 1
        known.longest_s = min(known.longest_s, longest_s)
        known.seen_s = now_s

    def _tightest_s(self, urgency: int, now_s: float) -> float:
        """Returns the shortest such time of calls that are as urgent."""
        tightest_s = float("inf")
        for other, known in list(self._tight.items()):
            if known.seen_s < now_s - _RECENT_S:
                del self._tight[other]
            elif other <= urgency and known.count >= _MIN_TIGHT_CALLS:
                tightest_s = min(tightest_s, known.longest_s)
        return tightest_s

    def _heaviness(self, need: SlotNeed) -> float:
        """Returns how far an account is above an equal share.

        It is 0 up to that share, and at most what `_ORDERS_PART` leaves.
        """
        count = self._groups.accounts(need.urgency)
        if not self._groups.has((need.urgency, need.account)):
            count += 1
        if count <= 1:
            return 0.0
        equal = self._groups.admissions(need.urgency) / count
        own = self._groups.admissions(need.urgency, need.account)
        if own <= max(1.0, equal):
            return 0.0
        return min(1.0, own / equal - 1) * (1 - _ORDERS_PART)

    def _is_due(self, group: _Group) -> bool:
        """Whether a refused group has seen its bound of others' admissions."""
        row = self._waiting.get(group)
        if row is None:
            return False
        return self._admissions - row[0] >= self.bound

    @property
    def bound(self) -> int:
        """Admissions after which a refused account gets one of its calls in."""
        return _ROUNDS * max(1, self._groups.count)

    def _record_admission(self, group: _Group, now_s: float) -> None:
        self._admissions += 1
        if self._waiting.pop(group, None) is not None:
            self._groups.release(group)
        self._groups.admit(group, now_s)

    def _record_refusal(self, group: _Group, now_s: float) -> None:
        known = self._waiting.pop(group, None)
        if known is None:
            self._groups.hold(group)
        since = self._admissions if known is None else known[0]
        self._waiting[group] = (since, now_s)
        while self._waiting:
            oldest = next(iter(self._waiting))
            is_recent = self._waiting[oldest][1] >= now_s - _WAITING_S
            if is_recent and len(self._waiting) <= _MAX_WAITING:
                break
            del self._waiting[oldest]
            self._groups.release(oldest)
