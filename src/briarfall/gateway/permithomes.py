"""Choice of the instance that gives out permits for a limited target.

Each limited target has a home instance, which rendezvous hashing chooses among
the live instances, so that all that know the same members choose the same one.
Views of the members differ for a while after each change. A home therefore
gives out permits only once it has been the home for some time in its own view,
by when an earlier home has learned of the change or has ended.
"""

import collections
import collections.abc
import threading

import msgspec

from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway import incarnations
from briarfall.membership import rendezvous

# An instance that did not look at its members for this long was suspended, and
# regards them as new.
_MAX_PAUSE_S = 1.0
# Time for which an instance has to be the home before it gives out permits, at
# least, and in status intervals.
_MIN_SETTLING_S = 2.0
_SETTLING_INTERVALS = 1.5
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
        """Whether this instance has been the home of a target long enough."""
        now_s = clocks.boot_s()
        with self._lock:
            if now_s - self._looked_s > _MAX_PAUSE_S or not self._periods:
                return False
            self._drop_old(now_s)
            if self._periods[0].since_s > now_s - self._settling_s:
                return False
            return all(
                _home_in(period, incarnation) == self._instance
                for period in self._periods
            )

    @property
    def share(self) -> float:
        """Part of a limit that the live instances may use, from 0 to 1."""
        with self._lock:
            members = self._members
        part = len(members.live) / max(1, members.known)
        return min(1.0, part * _PART_FACTOR)

    @property
    def _settling_s(self) -> float:
        interval_s = self._members.interval_s
        return max(_MIN_SETTLING_S, interval_s * _SETTLING_INTERVALS)

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
