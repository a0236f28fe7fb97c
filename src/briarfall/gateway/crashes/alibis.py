"""Finds targets that live on after a crash that was attributed to them.

A fault of the path between an instance and a target looks like a crash of the
target: its connections are reset and new ones refused. Two things tell them
apart. Only a living target writes a further heartbeat for the same incarnation.
And a target that answers has not crashed, unless it has started again; then its
entry shows a new incarnation some heartbeats later.
"""

import collections.abc

import msgspec

from briarfall import ids
from briarfall.gateway.catalogue import sources
from briarfall.gateway.targets import incarnations

# Time after a crash in which the store may still get what the target wrote
# before it, and in which an instance may still read what it had answered.
_SETTLE_S = 0.5
# Time after an answer in which a target that has started again writes its
# entry: more than three heartbeats.
_ENTRY_S = 4.0


class _Signs(msgspec.Struct):
    """What was seen of an incarnation since its latest crash.

    Attributes:
        crash_s: Time on the boot clock at which that crash became known.
        first_beat: First heartbeat that was read later, or None.
        first_answer_s: Time on the boot clock of its first later answer that
            was noticed, or None.
    """

    crash_s: float
    first_beat: int | None = None
    first_answer_s: float | None = None

    def has_written(self, beat: int, read_s: float) -> bool:
        """Whether a heartbeat was written after the crash."""
        if read_s < self.crash_s + _SETTLE_S:
            return False
        # The store may have come back from an older copy.
        if self.first_beat is None or beat < self.first_beat:
            self.first_beat = beat
        return beat > self.first_beat

    def has_answered(self, answered_s: float, read_s: float) -> bool:
        """Whether a target that has answered has had time for a new entry."""
        if answered_s < self.crash_s + _SETTLE_S:
            return False
        if self.first_answer_s is None:
            self.first_answer_s = answered_s
        return read_s >= self.first_answer_s + _ENTRY_S


class Alibis:
    """Remembers signs of life of targets that are said to have crashed."""

    def __init__(self):
        self._signs: dict[incarnations.Incarnation, _Signs] = {}

    def find(
        self,
        crashed_s: collections.abc.Mapping[incarnations.Incarnation, float],
        entries: collections.abc.Mapping[ids.TargetId, sources.TargetEntry],
        read_s: float,
        answered_s: collections.abc.Callable[
            [incarnations.Incarnation], float | None
        ],
    ) -> list[incarnations.Incarnation]:
        """Returns the incarnations that have not crashed.

        Args:
            crashed_s: Time on the boot clock at which the latest crash of each
                incarnation became known.
            entries: All entries, if this instance has read them itself from
                the store. What a peer tells lacks heartbeats.
            read_s: Time on the boot clock at which the read was sent.
            answered_s: Returns when an incarnation that is listed last
                answered; None if it is not listed.
        """
        for known in list(self._signs):
            if known not in crashed_s:
                del self._signs[known]
        alive = []
        for incarnation, crash_s in crashed_s.items():
            signs = self._signs.get(incarnation)
            if signs is None or signs.crash_s != crash_s:
                signs = self._signs[incarnation] = _Signs(crash_s)
            last_s = answered_s(incarnation)
            if last_s is None:
                continue
            entry = entries.get(incarnation.target)
            has_written = entry is not None and signs.has_written(
                entry.beat, read_s
            )
            if has_written or signs.has_answered(last_s, read_s):
                alive.append(incarnation)
        return alive
