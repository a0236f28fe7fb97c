"""Choice of the instance that gives out permits for a limited target.

Each limited target has a home instance, which rendezvous hashing chooses among
the live instances, so that all that know the same members choose the same one.
Views of the members differ for a while after each change, so an earlier home
may still give out permits in full. A new home gives out a part of them soon,
with which both stay below one and a half times the limit together, and all of
them once an earlier home has learned of the change or has ended. Members that
a home learns of count as late as that, too.
"""

import collections
import collections.abc
import threading

import msgspec

from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway.targets import incarnations
from briarfall.membership import rendezvous

# An instance that did not look at its members for this long was suspended, and
# regards them as new.
_MAX_PAUSE_S = 1.0
# Time for which an instance has to be the home before it gives out the first
# part of the permits.
_FIRST_SETTLING_S = 0.5
# The first part, and permits per second beyond it. An earlier home gives out
# all permits at the same time. Both stay below 6 times the limit and 5 requests
# in 4 s, with a burst of a tenth of a second and 1.6 permits each.
_FIRST_PART = 0.45
_FIRST_EXTRA_PER_S = 0.2
# Time for which an instance has to be the home before it gives out all permits:
# the status reaches an earlier home within an interval, the ticks that send and
# apply it included.
_MIN_SETTLING_S = 2.0
_SETTLING_INTERVALS = 1.0
_TICKS_S = 0.5
# An instance that sees only a part of the known instances gives out the same
# part of the permits, and this factor more. Two halves of a fleet that don't
# see each other stay within one and a half times the limit together.
_PART_FACTOR = 1.25


class Members(msgspec.Struct, frozen=True):
    """Instances as one instance sees them.

    Attributes:
        live: Live instances that give out permits, this one included unless
            it stops; in ascending order.
        known: Number of known instances, dead and older ones included.
        interval_s: Longest interval of the status between two instances.
    """

    live: tuple[ids.InstanceId, ...]
    known: int
    interval_s: float


class _Period(msgspec.Struct):
    """A time in which the members did not change."""

    since_s: float
    live: tuple[ids.InstanceId, ...]
    # Home by target.
    homes: dict[incarnations.Incarnation, ids.InstanceId] = {}


class PermitHomes:
    """Chooses the home instance of limited targets.

    Args:
        instance: Name of this instance.
        read: Returns the members as this instance sees them now.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        read: collections.abc.Callable[[], Members],
    ):
        self._instance = instance
        self._read = read
        self._lock = threading.Lock()
        self._members = Members((), 1, 0.0)
        self._periods: collections.deque[_Period] = collections.deque()
        self._looked_s = 0.0

    def refresh(self) -> None:
        """Looks at the members; called at short intervals."""
        members = self._read()
        now_s = clocks.boot_s()
        with self._lock:
            if now_s - self._looked_s > _MAX_PAUSE_S:
                self._periods.clear()
            self._looked_s = now_s
            self._members = members
            if self._periods and self._periods[-1].live == members.live:
                return
            self._periods.append(_Period(now_s, members.live, {}))
            self._drop_old(now_s)

    def home_of(
        self, incarnation: incarnations.Incarnation
    ) -> ids.InstanceId | None:
        """Returns the home of a target, or None if no instance can be it."""
        with self._lock:
            if not self._periods:
                return None
            return _home_in(self._periods[-1], incarnation)

    def is_settled(self, incarnation: incarnations.Incarnation) -> bool:
        """Whether this instance gives out permits for a target."""
        return self.rate(incarnation, 1.0) is not None

    def rate(
        self, incarnation: incarnations.Incarnation, per_s: float
    ) -> float | None:
        """Returns the permits per second that may be given out.

        It is None if this instance is not the home of the target, or not yet.

        Args:
            incarnation: The target.
            per_s: The limit of the target in requests per second.
        """
        now_s = clocks.boot_s()
        with self._lock:
            if now_s - self._looked_s > _MAX_PAUSE_S or not self._periods:
                return None
            self._drop_old(now_s)
            first_s = now_s - _FIRST_SETTLING_S
            first = 0.0
            # An instance that knows no other one may have just started.
            if self._fewest_live(first_s) > 1:
                first = self._part_since(first_s, incarnation)
            settled = self._part_since(now_s - self._settling_s, incarnation)
        if not first and not settled:
            return None
        first_per_s = per_s * _FIRST_PART + _FIRST_EXTRA_PER_S
        return max(first * min(per_s, first_per_s), settled * per_s)

    def _fewest_live(self, start_s: float) -> int:
        """Returns the fewest members that were live at once since a time."""
        counts = [len(period.live) for period in self._periods_since(start_s)]
        return min(counts, default=0)

    def _part_since(
        self, start_s: float, incarnation: incarnations.Incarnation
    ) -> float:
        """Returns the part that the members since a time allow.

        It is 0 unless this instance was the home all the time.
        """
        for period in self._periods_since(start_s):
            if _home_in(period, incarnation) != self._instance:
                return 0.0
        part = self._fewest_live(start_s) / max(1, self._members.known)
        return min(1.0, part * _PART_FACTOR)

    def _periods_since(self, start_s: float) -> list[_Period]:
        """Returns the periods since a time; none if it is before the first."""
        found = []
        for period in reversed(self._periods):
            found.append(period)
            if period.since_s <= start_s:
                return found
        return []

    @property
    def _settling_s(self) -> float:
        status_s = self._members.interval_s * _SETTLING_INTERVALS
        return max(_MIN_SETTLING_S, status_s + _TICKS_S)

    def _drop_old(self, now_s: float) -> None:
        """Drops periods that ended before the settling time began."""
        start_s = now_s - self._settling_s
        while len(self._periods) > 1 and self._periods[1].since_s <= start_s:
            self._periods.popleft()


def _home_in(
    period: _Period, incarnation: incarnations.Incarnation
) -> ids.InstanceId | None:
    if not period.live:
        return None
    home = period.homes.get(incarnation)
    if home is None:
        subject = f"{incarnation.target}|{incarnation.started_ms}"
        home = rendezvous.choose(subject, list(period.live))
        period.homes[incarnation] = home
    return home
