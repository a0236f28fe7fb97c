"""Finds targets that live on after a crash that was attributed to them.

A fault of the path between an instance and a target looks like a crash of the
target: its connections are reset and new ones refused. The target's entry tells
them apart, since only a living target writes a further heartbeat for the same
incarnation.
"""

import collections.abc

from briarfall import ids
from briarfall.gateway.catalogue import sources
from briarfall.gateway.targets import incarnations

# Time after a crash in which the store may still get what the target wrote
# before it.
_SETTLE_S = 0.5


class Alibis:
    """Compares the heartbeats of targets that are said to have crashed."""

    def __init__(self):
        # First heartbeat that was read after the crash.
        self._first_beats: dict[incarnations.Incarnation, int] = {}

    def find(
        self,
        crashed_s: collections.abc.Mapping[incarnations.Incarnation, float],
        entries: collections.abc.Mapping[ids.TargetId, sources.TargetEntry],
        read_s: float,
    ) -> list[incarnations.Incarnation]:
        """Returns the incarnations that have not crashed.

        Args:
            crashed_s: Time on the boot clock at which the latest crash of each
                incarnation became known.
            entries: All entries, as read from the store.
            read_s: Time on the boot clock at which the read was sent.
        """
        for known in list(self._first_beats):
            if known not in crashed_s:
                del self._first_beats[known]
        alive = []
        for incarnation, seen_s in crashed_s.items():
            entry = entries.get(incarnation.target)
            if entry is None or entry.started_ms != incarnation.started_ms:
                continue
            if read_s < seen_s + _SETTLE_S:
                # Heartbeats that were read before a further crash say nothing.
                self._first_beats.pop(incarnation, None)
                continue
            first = self._first_beats.setdefault(incarnation, entry.beat)
            if entry.beat > first:
                alive.append(incarnation)
            elif entry.beat < first:
                # The store has come back from an older copy.
                self._first_beats[incarnation] = entry.beat
        return alive
