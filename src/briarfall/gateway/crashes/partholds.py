"""Times for which requests with a suspected part of prompts are held back."""

import random

import msgspec

from briarfall.gateway.crashes import crashevidence

# Time for which requests are held back, until one of them runs as a trial.
_HOLD_S = 5.0
# Instances end a hold at different times within this share of it, so that
# they do not all start a trial at once.
_SPREAD = 0.5
_MAX_REPORTED = 40


class HoldRow(msgspec.Struct, array_like=True, frozen=True):
    """A part on trial, of which other instances hold back further requests.

    Attributes:
        part: Key of the part.
        left_ms: Milliseconds for which requests with it are still held back.
    """

    part: crashevidence.SuspectKey
    left_ms: int


class PartHolds:
    """Parts of prompts whose requests are held back; used under a lock.

    Args:
        rng: Spreads the ends of holds over the instances.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        # Times on the boot clock.
        self._until_s: dict[crashevidence.SuspectKey, float] = {}
        self._trial_until_s: dict[crashevidence.SuspectKey, float] = {}
        self._own_trials_s: dict[crashevidence.SuspectKey, float] = {}

    def __len__(self) -> int:
        return len(self._until_s)

    def left_s(self, part: crashevidence.SuspectKey, now_s: float) -> float:
        """Returns the seconds for which a part is still held back, or 0."""
        hold_s = max(0.0, self._until_s.get(part, 0.0) - now_s)
        return max(hold_s, self.trial_left_s(part, now_s))

    def trial_left_s(
        self, part: crashevidence.SuspectKey, now_s: float
    ) -> float:
        """Returns the seconds for which a part is still on trial, or 0."""
        return max(0.0, self._trial_until_s.get(part, 0.0) - now_s)

    def start(self, part: crashevidence.SuspectKey, now_s: float) -> None:
        """Holds back requests with a part that has crashed targets."""
        until_s = now_s + self._duration_s()
        self._until_s[part] = max(self._until_s.get(part, 0.0), until_s)

    def start_trial(self, part: crashevidence.SuspectKey, now_s: float) -> None:
        """Holds back all requests with a part but the one that tries it."""
        self._trial_until_s[part] = now_s + self._duration_s()
        self._own_trials_s[part] = now_s

    def end_trial(self, part: crashevidence.SuspectKey) -> None:
        """Records that the request that tried a part has crashed its target."""
        self._trial_until_s.pop(part, None)
        self._own_trials_s.pop(part, None)

    def _duration_s(self) -> float:
        return _HOLD_S * (1 + _SPREAD * self._rng.random())

    def merge(self, rows: list[HoldRow], now_s: float) -> None:
        """Merges parts that are on trial at another instance."""
        for row in rows:
            left_s = min(_HOLD_S * (1 + _SPREAD), row.left_ms / 1000)
            known_s = self._trial_until_s.get(row.part, 0.0)
            self._trial_until_s[row.part] = max(known_s, now_s + left_s)

    def to_report(self, now_s: float, for_s: float) -> list[HoldRow]:
        """Returns the trials that this instance started recently.

        Args:
            now_s: Time on the boot clock.
            for_s: Seconds since the start for which a trial is reported.
        """
        rows = []
        for part, started_s in self._own_trials_s.items():
            left_ms = int(self.trial_left_s(part, now_s) * 1000)
            if left_ms and now_s - started_s < for_s:
                rows.append(HoldRow(part, left_ms))
        return rows[:_MAX_REPORTED]

    def end(self, part: crashevidence.SuspectKey) -> None:
        """Forgets a part that is proven, poison, or no longer suspected."""
        self._until_s.pop(part, None)
        self.end_trial(part)
