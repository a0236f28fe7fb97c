"""Requests and parts of prompts that are refused because they crash targets."""

import msgspec

from briarfall.gateway.crashes import crashevidence

# Time for which a poison suspect is refused. An arrival in the second half of
# this time renews it.
POISON_S = 600.0
_MAX_REPORTED = 40


class PoisonRow(msgspec.Struct, array_like=True, frozen=True):
    """A suspect that must not be sent to targets.

    Attributes:
        suspect: Fingerprint of the request, or key of a part of prompts.
        left_ms: Milliseconds for which it is still refused.
    """

    suspect: crashevidence.SuspectKey
    left_ms: int


class PoisonList:
    """Poison suspects and how long each is refused; used under a lock."""

    def __init__(self):
        # Time on the boot clock until which each one is refused.
        self._until_s: dict[crashevidence.SuspectKey, float] = {}

    def __len__(self) -> int:
        return len(self._until_s)

    def __contains__(self, suspect: crashevidence.SuspectKey) -> bool:
        return suspect in self._until_s

    def left_s(self, suspect: crashevidence.SuspectKey, now_s: float) -> float:
        """Returns the seconds for which a suspect is still refused, or 0."""
        return max(0.0, self._until_s.get(suspect, 0.0) - now_s)

    def refuse(self, suspect: crashevidence.SuspectKey, now_s: float) -> bool:
        """Refuses a suspect for `POISON_S`; returns whether that is new."""
        is_new = suspect not in self._until_s
        self._until_s[suspect] = now_s + POISON_S
        return is_new

    def merge(self, row: PoisonRow, now_s: float) -> bool:
        """Merges a row of another instance or the store.

        Returns:
            Whether the suspect was not refused before.
        """
        left_s = min(POISON_S, row.left_ms / 1000)
        if left_s <= 0:
            return False
        known_s = self._until_s.get(row.suspect, 0.0)
        self._until_s[row.suspect] = max(known_s, now_s + left_s)
        return known_s <= now_s

    def renew(self, suspect: crashevidence.SuspectKey, now_s: float) -> bool:
        """Renews a suspect in the second half of its time.

        Returns:
            Whether it was renewed.
        """
        if not 0 < self.left_s(suspect, now_s) < POISON_S / 2:
            return False
        self._until_s[suspect] = now_s + POISON_S
        return True

    def lift(self, suspect: crashevidence.SuspectKey) -> bool:
        """Stops refusing a suspect; returns whether it was refused."""
        return self._until_s.pop(suspect, None) is not None

    def to_report(self, now_s: float) -> list[PoisonRow]:
        """Returns the suspects to report to others, longest refused first."""
        rows = []
        for suspect in self._until_s:
            left_s = self.left_s(suspect, now_s)
            if left_s:
                rows.append(PoisonRow(suspect, int(left_s * 1000)))
        rows.sort(key=lambda row: row.left_ms, reverse=True)
        return rows[:_MAX_REPORTED]

    def forget_expired(self, now_s: float) -> None:
        """Removes the suspects that are no longer refused."""
        for suspect in list(self._until_s):
            if not self.left_s(suspect, now_s):
                del self._until_s[suspect]
