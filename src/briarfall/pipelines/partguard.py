"""Detects parts of prompts that crash the targets that begin to answer them.

Requests that share such a part may differ in everything else, so that each of
them would be new to a guard that knows whole requests only.
"""

import collections
import collections.abc
import threading

from absl import logging
import msgspec

from briarfall import clock as clocks
from briarfall import ids
from briarfall.gateway.crashes import crashevidence
from briarfall.gateway.crashes import provenparts

# Number of crashes from which a part is poison. One of them must have happened
# in a trial: a zone that fails ends several targets at a time.
MAX_CRASHES = 3
_TTL_S = 600.0
_MAX_CRASH_ROWS = 5000
# Unproven parts of one prompt beyond this number are not suspected.
_MAX_SUSPECTS = 64
_MAX_LOGGED = 8
# Time after which a trial no longer holds back other requests.
_TRIAL_TTL_S = 5.0
# Deaths of a target that two instances report within this time are one death.
_SAME_DEATH_MS = 2000


class Death(msgspec.Struct, array_like=True, frozen=True):
    """The death of a target that had not begun to answer a request.

    Attributes:
        target: The target.
        died_ms: Unix time in milliseconds at which it was noticed.
        is_trial: Whether the target ran the request as a trial.
    """

    target: str
    died_ms: int
    is_trial: bool = False


class PartGuard:
    """Counts deaths of targets for each part of prompts.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: clocks.Clock | None = None):
        self._clock = clock or clocks.Clock()
        self._changed = threading.Condition()
        self._evidence = crashevidence.CrashEvidence()
        self._proven = provenparts.ProvenParts()
        self._by_time: collections.deque[tuple[float, crashevidence.Crash]] = (
            collections.deque()
        )
        self._last_death_ms: dict[str, int] = {}
        self._tried: set[crashevidence.SuspectKey] = set()
        # Holder and end of the trial of each part.
        self._trials: dict[crashevidence.SuspectKey, tuple[str, float]] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no part is suspected."""
        return self._evidence.is_empty

    def death_of(
        self, target: str, attempt_started_ms: int, *, is_trial: bool
    ) -> Death:
        """Returns the death that an attempt met.

        All attempts that were under way when a target died met the same death.

        Args:
            target: The target.
            attempt_started_ms: Unix time in milliseconds.
            is_trial: Whether the attempt was a trial on this target.
        """
        with self._changed:
            known_ms = self._last_death_ms.get(target)
            if known_ms is None or attempt_started_ms > known_ms:
                known_ms = int(self._clock.wall() * 1000)
                self._last_death_ms[target] = known_ms
            return Death(target, known_ms, is_trial)

    def unproven(
        self, parts: collections.abc.Iterable[crashevidence.SuspectKey]
    ) -> list[crashevidence.SuspectKey]:
        """Returns the parts that may have caused a death."""
        now_s = self._clock.now()
        found = []
        with self._changed:
            for part in parts:
                if not self._proven.has(part, now_s):
                    found.append(part)
        return found[:_MAX_SUSPECTS]

    def record_death(
        self,
        death: Death,
        parts: collections.abc.Collection[crashevidence.SuspectKey],
    ) -> None:
        """Counts a death, seen here or at a peer, against parts of a prompt."""
        now_s = self._clock.now()
        with self._changed:
            self._forget_expired(now_s)
            died_ms = self._merge_death(death)
            target = ids.TargetId(death.target)
            for part in parts:
                if self._proven.has(part, now_s):
                    continue
                crash = crashevidence.Crash(part, target, died_ms)
                if self._evidence.add(crash, now_s):
                    self._by_time.append((now_s, crash))
                if death.is_trial:
                    self._tried.add(part)
            convicted = [part for part in parts if self._is_convicted(part)]
            self._changed.notify_all()
        if convicted:
            logging.warning(
                "poison part of prompts, requests with all suspects are "
                "refused target=%s suspects=%d fingerprint=%s",
                death.target,
                len(convicted),
                ",".join(convicted[:_MAX_LOGGED]),
            )

    def record_proven(
        self, parts: collections.abc.Iterable[crashevidence.SuspectKey]
    ) -> None:
        """Records that targets answered on parts, which clears them."""
        now_s = self._clock.now()
        with self._changed:
            for part in parts:
                self._proven.record(part, now_s)
                if part not in self._evidence:
                    continue
                self._evidence.clear(part)
                self._tried.discard(part)
                logging.info("part of prompts ran fingerprint=%s", part)
            self._changed.notify_all()

    def suspected(
        self, parts: collections.abc.Collection[crashevidence.SuspectKey]
    ) -> list[crashevidence.SuspectKey]:
        """Returns the parts that deaths are blamed on."""
        if self.is_empty:
            return []
        with self._changed:
            self._forget_expired(self._clock.now())
            return [
                part
                for part in parts
                if part in self._evidence and self._evidence.blamed_count(part)
            ]

    def is_poison(
        self, parts: collections.abc.Collection[crashevidence.SuspectKey]
    ) -> bool:
        """Whether a prompt has a part that crashes targets.

        A prompt that lacks one of several parts that always came together
        tells them apart, so it is not poison yet.
        """
        if self.is_empty:
            return False
        with self._changed:
            self._forget_expired(self._clock.now())
            return self._has_convicted(parts)

    def _has_convicted(
        self, parts: collections.abc.Collection[crashevidence.SuspectKey]
    ) -> bool:
        for part in parts:
            if not self._is_convicted(part):
                continue
            if self._evidence.twins(part).issubset(parts):
                return True
        return False

    def start_trial(
        self,
        parts: collections.abc.Collection[crashevidence.SuspectKey],
        holder: str,
    ) -> bool:
        """Starts a trial unless a part is on trial elsewhere, or is poison.

        Args:
            parts: Suspected parts of the request.
            holder: Fingerprint of the request, which may run on trial at
                several instances after one another.
        """
        now_s = self._clock.now()
        with self._changed:
            if self._has_convicted(parts):
                return False
            for part in parts:
                other, until_s = self._trials.get(part, (holder, 0.0))
                if other != holder and until_s > now_s:
                    return False
            for part, (_, until_s) in list(self._trials.items()):
                if until_s <= now_s:
                    del self._trials[part]
            for part in parts:
                self._trials[part] = (holder, now_s + _TRIAL_TTL_S)
            return True

    def end_trial(self, holder: str) -> None:
        """Ends the trial of a request."""
        if not self._trials:
            return
        with self._changed:
            for part, (other, _) in list(self._trials.items()):
                if other == holder:
                    del self._trials[part]
            self._changed.notify_all()

    def wait(self, timeout_s: float) -> None:
        """Waits until a trial may have ended."""
        with self._changed:
            self._changed.wait(timeout_s)

    def _is_convicted(self, part: crashevidence.SuspectKey) -> bool:
        if part not in self._tried or part not in self._evidence:
            return False
        return self._evidence.blamed_count(part) >= MAX_CRASHES

    def _merge_death(self, death: Death) -> int:
        """Returns the time by which this instance knows a death."""
        known_ms = self._last_death_ms.get(death.target)
        if known_ms is None or death.died_ms > known_ms + _SAME_DEATH_MS:
            self._last_death_ms[death.target] = death.died_ms
            return death.died_ms
        if death.died_ms < known_ms - _SAME_DEATH_MS:
            return death.died_ms
        return known_ms

    def _forget_expired(self, now_s: float) -> None:
        while self._by_time:
            seen_s, crash = self._by_time[0]
            is_fresh = seen_s >= now_s - _TTL_S
            if is_fresh and len(self._by_time) <= _MAX_CRASH_ROWS:
                return
            self._by_time.popleft()
            self._evidence.remove(crash, seen_s)
            if crash.suspect not in self._evidence:
                self._tried.discard(crash.suspect)
