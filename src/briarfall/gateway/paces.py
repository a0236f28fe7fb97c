"""Finds engines that are slow, by the pace of the streams that cross them.

A stream only tells how fast its whole chain is. An engine is slow if all
chains over it are: one fast stream clears every engine of its chain. This
answers days on which some engines turn slow while their status is good.
"""

import collections.abc
import threading

import msgspec

from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway import paths

# Paces this many times the usual one are slow.
_SLOW = 2.5
_MAX_FACTOR = 8.0
# Engines are judged by the fastest stream of this time and of the one before.
_WINDOW_S = 1.0
# What was seen longer ago says nothing; the engine is tried again.
_MEMORY_S = 4.0
# What another instance says of an engine holds so long.
_TOLD_S = 1.5
# If a larger part of the engines seems slow, all are busy and none is ill.
_MOST_SLOW = 0.34
# The usual pace follows faster streams at once and slower ones hesitantly.
_FASTER_WEIGHT = 0.2
_SLOWER_WEIGHT = 0.004


class SlowTarget(msgspec.Struct, array_like=True, frozen=True):
    """An engine that is slow for an instance.

    Attributes:
        target: The engine.
        percent: Its pace as a percentage of the usual one.
    """

    target: ids.TargetId
    percent: int


class _Seen(msgspec.Struct):
    """The fastest paces seen through an engine, in two windows."""

    window: int
    best: float
    best_before: float
    seen_s: float


class PaceTable:
    """Paces of engines as this instance and others see them."""

    def __init__(self):
        self._lock = threading.Lock()
        self._usual = 0.0
        self._seen: dict[ids.TargetId, _Seen] = {}
        self._told: dict[ids.TargetId, tuple[float, float]] = {}
        self._slow: dict[ids.TargetId, float] = {}
        self._slow_until_s = 0.0

    def note(self, chain: paths.Chain, pause_s: float) -> None:
        """Takes in the usual pause of a stream.

        Args:
            chain: Its chain.
            pause_s: Usual pause between its events.
        """
        step_ms = sum(part.step_ms for part in chain.parts)
        if step_ms <= 0 or pause_s <= 0:
            return
        raw = pause_s / step_ms
        now_s = clocks.boot_s()
        with self._lock:
            if not self._usual:
                self._usual = raw
            weight = _FASTER_WEIGHT if raw < self._usual else _SLOWER_WEIGHT
            self._usual += weight * (raw - self._usual)
            for part in chain.parts:
                self._take(part.target, raw / self._usual, now_s)

    def _take(self, target: ids.TargetId, pace: float, now_s: float) -> None:
        window = int(now_s // _WINDOW_S)
        row = self._seen.get(target)
        if row is None or now_s - row.seen_s > _MEMORY_S:
            self._seen[target] = _Seen(window, pace, pace, now_s)
            return
        if window != row.window:
            row.window = window
            row.best_before = row.best
            row.best = pace
        row.best = min(row.best, pace)
        row.seen_s = now_s

    def factors(self) -> dict[ids.TargetId, float]:
        """Returns how many times slower than usual the slow engines are."""
        now_s = clocks.boot_s()
        with self._lock:
            if now_s >= self._slow_until_s:
                self._slow = self._judge(now_s)
                self._slow_until_s = now_s + _WINDOW_S / 10
            return self._slow

    def _judge(self, now_s: float) -> dict[ids.TargetId, float]:
        slow = {}
        known = 0
        for target, row in list(self._seen.items()):
            if now_s - row.seen_s > _MEMORY_S:
                del self._seen[target]
                continue
            known += 1
            pace = min(row.best, row.best_before)
            if pace >= _SLOW:
                slow[target] = min(pace, _MAX_FACTOR)
        for target, (pace, until_s) in list(self._told.items()):
            if now_s > until_s:
                del self._told[target]
                continue
            if target not in self._seen:
                known += 1
                slow[target] = min(pace, _MAX_FACTOR)
        if len(slow) > known * _MOST_SLOW:
            return {}
        return slow

    def told(self) -> list[SlowTarget]:
        """Returns the engines that this instance itself finds slow."""
        factors = self.factors()
        rows = []
        with self._lock:
            for target, factor in factors.items():
                if target in self._seen:
                    rows.append(SlowTarget(target, int(factor * 100)))
        return rows

    def take(self, rows: collections.abc.Iterable[SlowTarget]) -> None:
        """Takes in what another instance tells."""
        until_s = clocks.boot_s() + _TOLD_S
        with self._lock:
            for row in rows:
                self._told[row.target] = (row.percent / 100, until_s)
