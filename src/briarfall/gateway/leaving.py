"""Lifetimes of targets that said that they take no new requests."""

import msgspec

from briarfall import ids
from briarfall.gateway import clocks

_MEMORY_S = 600.0
# Lifetimes told to others at a time.
_MAX_TOLD = 40


class Lifetime(msgspec.Struct, array_like=True, frozen=True):
    """A target from one start to its end.

    Attributes:
        target: The target.
        started_ms: Its start in Unix milliseconds.
    """

    target: ids.TargetId
    started_ms: int


class LeavingLifetimes:
    """Remembers them, since entries of targets may be late or stale."""

    def __init__(self):
        self._said_s: dict[Lifetime, float] = {}

    def has(self, lifetime: Lifetime) -> bool:
        """Whether a lifetime leaves."""
        return lifetime in self._said_s

    def add(self, lifetime: Lifetime) -> bool:
        """Adds a lifetime; returns whether it is new."""
        if lifetime in self._said_s:
            return False
        now_s = clocks.boot_s()
        for row, said_s in list(self._said_s.items()):
            if now_s - said_s > _MEMORY_S:
                del self._said_s[row]
        self._said_s[lifetime] = now_s
        return True

    def newest(self, for_s: float) -> list[Lifetime]:
        """Returns those that said so in the last `for_s` seconds."""
        oldest_s = clocks.boot_s() - for_s
        rows = []
        for row, said_s in self._said_s.items():
            if said_s > oldest_s:
                rows.append(row)
        return rows[-_MAX_TOLD:]
