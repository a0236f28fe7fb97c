"""Restores of the store from an older copy of its contents."""

import enum
import random
import threading
import time

import msgspec

from briarfall.standins.prepared import store
from briarfall.standins.prepared.faultsoak import faults
from briarfall.standins.prepared.faultsoak import scenes

_MIN_AGE_S = 0.3
_MAX_AGE_S = 4.0
_MAX_AWAY_S = 1.5
_MAX_REWRITE_S = 2.0
# Longest time between two restores in a row.
_MAX_GAP_S = 0.8
# Topics that may each come from a copy of another age.
_TOPICS = (
    "keyed.op",
    "keyed.servers",
    "keyed.briarfall-instances",
    "keyed.briarfall-lease",
    "keyed.briarfall-poison",
)


class _Outage(enum.Enum):
    """How the store behaves until it is restored."""

    BUSY = 503
    RESET = -1
    # Answers that are already decided arrive after the restore.
    LATE_ANSWERS = 0


class _Copies(enum.Enum):
    """Ages of the copies that the topics come from."""

    ALL = "all"
    SOME_TOPICS = "some"
    MIXED_AGES = "mixed"


class _Draw(msgspec.Struct, frozen=True):
    """What is drawn for one restore; all times in seconds."""

    outage: _Outage
    copies: _Copies
    topics: frozenset[str]
    is_repeated: bool
    age_s: float
    away_s: float
    gap_s: float
    rewrite_s: float

    @property
    def text(self) -> str:
        """One line on it."""
        names = ",".join(sorted(self.topics))
        return (
            f"{self.outage.name} {self.copies.value} {names} "
            f"repeated={self.is_repeated} age={self.age_s:.1f} s "
            f"away={self.away_s:.1f} s rewritten after {self.rewrite_s:.1f} s"
        )


class StoreRestore(faults.FaultKind):
    """Takes the store away and brings it back from an older copy.

    Only one restore is played at a time; a further one is left out.
    """

    name = "restore"

    def __init__(self):
        self._lock = threading.Lock()

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Restores the store once, or twice in a row."""
        drawn = _draw(rng)
        if not self._lock.acquire(blocking=False):
            return "none"
        try:
            older = scene.store.snapshot()
            time.sleep(drawn.age_s / 2)
            newer = scene.store.snapshot()
            time.sleep(drawn.age_s / 2)
            with scene.records.store_fault():
                _play(scene.store, drawn, older, newer)
        finally:
            self._lock.release()
        return drawn.text


def _draw(rng: random.Random) -> _Draw:
    return _Draw(
        rng.choice(list(_Outage)),
        rng.choice(list(_Copies)),
        frozenset(rng.sample(_TOPICS, rng.randint(1, len(_TOPICS) - 1))),
        rng.random() < 0.3,
        rng.uniform(_MIN_AGE_S, _MAX_AGE_S),
        rng.uniform(0.0, _MAX_AWAY_S),
        rng.uniform(0.0, _MAX_GAP_S),
        rng.uniform(0.0, _MAX_REWRITE_S),
    )


def _play(
    platform: store.StoreStandin,
    drawn: _Draw,
    older: store.StoreCopy,
    newer: store.StoreCopy,
) -> None:
    if drawn.outage is _Outage.LATE_ANSWERS:
        platform.answers.shut()
    platform.status = drawn.outage.value
    time.sleep(drawn.away_s)
    _restore(platform, drawn, older, newer)
    platform.status = 0
    platform.answers.open()
    if drawn.is_repeated:
        time.sleep(drawn.gap_s)
        platform.restore(older)
    time.sleep(drawn.rewrite_s)
    platform.rewrite_lost()


def _restore(
    platform: store.StoreStandin,
    drawn: _Draw,
    older: store.StoreCopy,
    newer: store.StoreCopy,
) -> None:
    if drawn.copies is _Copies.ALL:
        platform.restore(older)
        return
    if drawn.copies is _Copies.SOME_TOPICS:
        platform.restore(older, drawn.topics)
        return
    mixed = store.StoreCopy(
        {**newer.topics, **_only(older.topics, drawn.topics)},
        {**newer.first, **_only(older.first, drawn.topics)},
        {**newer.keyed, **_only(older.keyed, drawn.topics)},
    )
    platform.restore(mixed)


def _only(rows: dict, topics: frozenset[str]) -> dict:
    return {topic: rows[topic] for topic in topics if topic in rows}
