"""Target incarnations that signalled that they are draining."""

import msgspec

from briarfall import ids
from briarfall.gateway import clocks

# Incarnations that were added longer ago than this are removed when another
# one is added.
_RETENTION_S = 600.0
# Incarnations that one status reports to other instances.
_MAX_REPORTED = 40


class Incarnation(msgspec.Struct, array_like=True, frozen=True):
    """One run of a target, from its start to its end.

    Attributes:
        target: Id of the target.
        started_ms: Start of the run in Unix milliseconds.
    """

    target: ids.TargetId
    started_ms: int


class DrainingIncarnations:
    """Set of draining incarnations.

    The set is kept because a target's entry in the instance list may be late or
    stale, and still show the target as ready.
    """

    def __init__(self):
        self._signalled_s: dict[Incarnation, float] = {}

    def has(self, incarnation: Incarnation) -> bool:
        """Returns whether an incarnation is draining."""
        return incarnation in self._signalled_s

    def add(self, incarnation: Incarnation) -> bool:
        """Adds an incarnation; returns whether it is new."""
        if incarnation in self._signalled_s:
            return False
        now_s = clocks.boot_s()
        for row, signalled_s in list(self._signalled_s.items()):
            if now_s - signalled_s > _RETENTION_S:
                del self._signalled_s[row]
        self._signalled_s[incarnation] = now_s
        return True

    def recent(self, for_s: float) -> list[Incarnation]:
        """Returns the newest incarnations added in the last `for_s` seconds."""
        oldest_s = clocks.boot_s() - for_s
        rows = []
        for row, signalled_s in self._signalled_s.items():
            if signalled_s > oldest_s:
                rows.append(row)
        return rows[-_MAX_REPORTED:]
