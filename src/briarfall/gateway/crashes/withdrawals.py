"""Crashes that were withdrawn, since their targets live on."""

import msgspec

from briarfall import decoding
from briarfall import ids
from briarfall.gateway.crashes import crashevidence
from briarfall.gateway.targets import incarnations

# Time in which other instances may still report a crash that was withdrawn. A
# later crash of the same incarnation is told for about as long.
_IGNORE_CRASH_S = 5.0
# Time in which others may still report that a suspect is refused: far instances
# of a large fleet tell and hear of it some ten seconds later. Crashes count
# meanwhile.
_IGNORE_VERDICT_S = 60.0
_MAX_ROWS = 1000
_ALIVE_PREFIX = "alive:"
_INNOCENT_PREFIX = "innocent:"
_MAX_STARTED_MS = 2**63 - 1


class Withdrawal(msgspec.Struct, frozen=True):
    """What an instance has withdrawn; one of both is set.

    Attributes:
        incarnation: An incarnation that has not crashed.
        suspect: A suspect that is no longer refused.
    """

    incarnation: incarnations.Incarnation | None = None
    suspect: crashevidence.SuspectKey | None = None


def alive_key(
    incarnation: incarnations.Incarnation,
) -> crashevidence.SuspectKey:
    """Returns how an incarnation that has not crashed is told to others.

    It stands among the suspects that survived, where instances of an earlier
    release look up no such key.
    """
    return crashevidence.SuspectKey(
        f"{_ALIVE_PREFIX}{incarnation.started_ms}:{incarnation.target}"
    )


def innocent_key(
    suspect: crashevidence.SuspectKey,
) -> crashevidence.SuspectKey:
    """Returns how a suspect that is no longer refused is told to others."""
    return crashevidence.SuspectKey(_INNOCENT_PREFIX + suspect)


def parse(key: crashevidence.SuspectKey) -> Withdrawal | None:
    """Returns what a key says; None if it is that of a suspect or damaged."""
    if key.startswith(_INNOCENT_PREFIX):
        suspect = key.removeprefix(_INNOCENT_PREFIX)
        return Withdrawal(suspect=crashevidence.SuspectKey(suspect))
    if not key.startswith(_ALIVE_PREFIX):
        return None
    started, _, target = key.removeprefix(_ALIVE_PREFIX).partition(":")
    started_ms = decoding.parse_count(started.encode(), _MAX_STARTED_MS)
    if started_ms is None or not target:
        return None
    return Withdrawal(
        incarnations.Incarnation(ids.TargetId(target), started_ms)
    )


class Withdrawals:
    """Remembers what was withdrawn lately; used under a lock.

    Other instances go on reporting it until they have withdrawn it too.
    """

    def __init__(self):
        # Time on the boot clock of each withdrawal.
        self._withdrawn_s: dict[object, float] = {}

    def add(self, row: object, now_s: float) -> None:
        """Remembers an incarnation or a suspect."""
        self._withdrawn_s.pop(row, None)
        self._withdrawn_s[row] = now_s
        while len(self._withdrawn_s) > _MAX_ROWS:
            del self._withdrawn_s[next(iter(self._withdrawn_s))]

    def has_crash(
        self,
        row: incarnations.Incarnation | crashevidence.SuspectKey,
        now_s: float,
    ) -> bool:
        """Whether crashes of an incarnation or suspect are still ignored."""
        return self._has(row, now_s, _IGNORE_CRASH_S)

    def has_verdict(
        self, suspect: crashevidence.SuspectKey, now_s: float
    ) -> bool:
        """Whether reports that a suspect is refused are still ignored."""
        return self._has(suspect, now_s, _IGNORE_VERDICT_S)

    def _has(self, row: object, now_s: float, for_s: float) -> bool:
        withdrawn_s = self._withdrawn_s.get(row)
        return withdrawn_s is not None and now_s - withdrawn_s < for_s
