"""Which crashes each suspect was involved in, and which it is blamed for."""

import typing

import msgspec

from briarfall import ids
from briarfall.gateway.calls import promptparts
from briarfall.gateway.targets import incarnations

# Key of a request, or of a part of prompts, that may crash targets.
SuspectKey = typing.NewType("SuspectKey", str)

_PART_PREFIX = "part:"


class Crash(msgspec.Struct, array_like=True, frozen=True):
    """A target that crashed while it ran a request.

    Attributes:
        suspect: Fingerprint of the request, or key of a part of its prompt.
        target: The target.
        started_ms: Start of the target's incarnation in Unix milliseconds.
    """

    suspect: SuspectKey
    target: ids.TargetId
    started_ms: int

    @property
    def incarnation(self) -> incarnations.Incarnation:
        """The incarnation that ended."""
        return incarnations.Incarnation(self.target, self.started_ms)


def part_key(part: promptparts.PartId) -> SuspectKey:
    """Returns the key of a part of prompts."""
    return SuspectKey(_PART_PREFIX + part)


def is_part(suspect: SuspectKey) -> bool:
    """Whether a suspect is a part of prompts, not a whole request."""
    return suspect.startswith(_PART_PREFIX)


class CrashEvidence:
    """Crashes by suspect and by the incarnation that ended.

    The crash of a target involves all requests that it ran, but one suspect
    caused it. A crash is blamed on the parts that are involved in most
    crashes; other suspects are blamed only for crashes without such a part.
    """

    def __init__(self):
        # Time on the boot clock of each crash.
        self._by_suspect: dict[SuspectKey, dict[Crash, float]] = {}
        self._suspects: dict[incarnations.Incarnation, set[SuspectKey]] = {}

    def __contains__(self, suspect: SuspectKey) -> bool:
        return suspect in self._by_suspect

    @property
    def is_empty(self) -> bool:
        """Whether no crash is retained."""
        return not self._by_suspect

    def has(self, crash: Crash) -> bool:
        """Whether a crash is retained."""
        return crash in self._by_suspect.get(crash.suspect, ())

    def count(self, suspect: SuspectKey) -> int:
        """Returns the number of crashes that a suspect is involved in."""
        return len(self._by_suspect.get(suspect, ()))

    def blamed_count(self, suspect: SuspectKey) -> int:
        """Returns the number of crashes that a suspect is blamed for."""
        own_count = self.count(suspect)
        blamed = 0
        for crash in self._by_suspect.get(suspect, ()):
            if not self._is_explained(crash, own_count):
                blamed += 1
        return blamed

    def twins(self, part: SuspectKey) -> set[SuspectKey]:
        """Returns the other parts that were involved in just the same crashes.

        Any of them may have caused the crashes.
        """
        found = None
        for crash in self._by_suspect.get(part, ()):
            involved = self._suspects[crash.incarnation]
            found = set(involved) if found is None else found & involved
        twins = set()
        for other in found or ():
            is_other = other != part and is_part(other)
            if is_other and self.count(other) == self.count(part):
                twins.add(other)
        return twins

    def add(self, crash: Crash, now_s: float) -> bool:
        """Adds a crash; returns whether it is new."""
        known = self._by_suspect.setdefault(crash.suspect, {})
        if crash in known:
            return False
        known[crash] = now_s
        self._suspects.setdefault(crash.incarnation, set()).add(crash.suspect)
        return True

    def remove(self, crash: Crash, seen_s: float) -> None:
        """Removes a crash unless it was removed and seen again since."""
        known = self._by_suspect.get(crash.suspect, {})
        if known.get(crash) != seen_s:
            return
        del known[crash]
        if not known:
            del self._by_suspect[crash.suspect]
        self._discard_suspect(crash)

    def crashed_s(self) -> dict[incarnations.Incarnation, float]:
        """Returns when the latest crash of each incarnation became known."""
        found: dict[incarnations.Incarnation, float] = {}
        for crashes in self._by_suspect.values():
            for crash, seen_s in crashes.items():
                known_s = found.get(crash.incarnation, seen_s)
                found[crash.incarnation] = max(known_s, seen_s)
        return found

    def withdraw(
        self, incarnation: incarnations.Incarnation
    ) -> set[SuspectKey]:
        """Removes the crash of an incarnation; returns who was involved."""
        involved = self._suspects.pop(incarnation, set())
        for suspect in involved:
            known = self._by_suspect[suspect]
            del known[
                Crash(suspect, incarnation.target, incarnation.started_ms)
            ]
            if not known:
                del self._by_suspect[suspect]
        return involved

    def clear(self, suspect: SuspectKey) -> None:
        """Removes all crashes of a suspect."""
        for crash in self._by_suspect.pop(suspect, ()):
            self._discard_suspect(crash)

    def _is_explained(self, crash: Crash, own_count: int) -> bool:
        """Whether a part with more crashes was involved in a crash too."""
        # Thousands may be involved in one crash, few of them in more crashes;
        # the suspect itself is not.
        for other in self._suspects.get(crash.incarnation, ()):
            if self.count(other) > own_count and is_part(other):
                return True
        return False

    def _discard_suspect(self, crash: Crash) -> None:
        incarnation = crash.incarnation
        suspects = self._suspects.get(incarnation, set())
        suspects.discard(crash.suspect)
        if not suspects:
            self._suspects.pop(incarnation, None)
