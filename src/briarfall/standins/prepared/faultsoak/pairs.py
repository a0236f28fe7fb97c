"""Pairs of a disruption and a change beside it, in a seeded order."""

import random
import threading
import time

import msgspec

from briarfall.standins.prepared.faultsoak import cataloguefaults
from briarfall.standins.prepared.faultsoak import faults
from briarfall.standins.prepared.faultsoak import instancefaults
from briarfall.standins.prepared.faultsoak import keptconnections
from briarfall.standins.prepared.faultsoak import linkcuts
from briarfall.standins.prepared.faultsoak import oddentries
from briarfall.standins.prepared.faultsoak import openanswers
from briarfall.standins.prepared.faultsoak import scenes
from briarfall.standins.prepared.faultsoak import storefaults
from briarfall.standins.prepared.faultsoak import targetfaults
from briarfall.standins.prepared.faultsoak import targetsilence

DISRUPTIONS: tuple[faults.FaultKind, ...] = (
    instancefaults.Kill(),
    instancefaults.Pause(),
    instancefaults.Slow(),
    instancefaults.Restart(),
    targetsilence.Silence(),
    targetsilence.SilenceWithoutConnections(),
    linkcuts.LinkCut(),
    keptconnections.RepeatedRefusal(),
    oddentries.OddEntries(),
    targetfaults.Crash(),
    openanswers.OpenAnswers(),
    openanswers.OpenAnswersRefusing(),
)
CHANGES: tuple[faults.FaultKind, ...] = (
    storefaults.KeyChange(),
    cataloguefaults.RouteMove(),
    cataloguefaults.TimeoutChange(),
    instancefaults.Reload(),
    instancefaults.Roll(),
)
# Seeds in a row, from a multiple of this number on, that play all pairs.
SEEDS_FOR_ALL = 8
# Pairs that each of them begins before the next one's first.
PAIRS_PER_SEED = -(-len(DISRUPTIONS) * len(CHANGES) // SEEDS_FOR_ALL)
_MIN_FAULT_S = 0.5
_MAX_FAULT_S = 2.0
# Longest time between the begins of both parts of a pair.
_MAX_LEAD_S = 0.8
# Time between two pairs; a run of eight seconds plays the pairs of its seed.
_MIN_PAUSE_S = 0.7
_MAX_PAUSE_S = 0.95
# Longest time that a pair is waited for; rolls are played one by one.
_JOIN_S = 90.0


class Pair(msgspec.Struct, frozen=True):
    """A disruption and a change that are played at the same time.

    Attributes:
        disruption: The disruption.
        change: The change of the configuration, the reload or the roll.
    """

    disruption: faults.FaultKind
    change: faults.FaultKind

    @property
    def name(self) -> str:
        """The names of both."""
        return f"{self.disruption.name}+{self.change.name}"


def order(seed: int) -> list[Pair]:
    """Returns all pairs in the order of a seed.

    Seeds of a block share an order, in which each begins at another pair; the
    kinds of changes take turns, so that the slow rolls are spread.
    """
    block, number = divmod(seed, SEEDS_FOR_ALL)
    rng = random.Random(f"pairs-{block}")
    columns = []
    for change in rng.sample(CHANGES, len(CHANGES)):
        column = []
        for disruption in rng.sample(DISRUPTIONS, len(DISRUPTIONS)):
            column.append(Pair(disruption, change))
        columns.append(column)
    found = []
    for row in zip(*columns, strict=True):
        found += row
    first = number * PAIRS_PER_SEED % len(found)
    return found[first:] + found[:first]


class PairPlayer:
    """Plays pairs, one after the other; longer ones overlap.

    Args:
        scene: What they are played on.
        seed: Determines the order and what varies.
    """

    def __init__(self, scene: scenes.Scene, seed: int):
        self._scene = scene
        self._seed = seed
        self._threads: list[threading.Thread] = []

    def run(self, seconds: float) -> None:
        """Begins pairs for some seconds and waits for their ends."""
        rng = random.Random(f"pairs-{self._seed}")
        pairs = order(self._seed)
        deadline_s = time.monotonic() + seconds
        number = 0
        while time.monotonic() < deadline_s:
            self._start(pairs[number % len(pairs)], number)
            number += 1
            time.sleep(rng.uniform(_MIN_PAUSE_S, _MAX_PAUSE_S))
        for thread in self._threads:
            thread.join(_JOIN_S)

    def _start(self, pair: Pair, number: int) -> None:
        """Begins both parts of a pair, one a little later than the other."""
        self._scene.records.begin_pair(pair.name)
        rng = random.Random(f"{self._seed}-{pair.name}-{number}")
        parts = [pair.disruption, pair.change]
        rng.shuffle(parts)
        lead_s = rng.uniform(0.0, _MAX_LEAD_S)
        for kind, delay_s in zip(parts, (0.0, lead_s), strict=True):
            own_rng = random.Random(rng.random())
            fault_s = own_rng.uniform(_MIN_FAULT_S, _MAX_FAULT_S)
            thread = threading.Thread(
                target=self._play,
                args=(kind, own_rng, fault_s, delay_s),
                daemon=True,
            )
            thread.start()
            self._threads.append(thread)

    def _play(
        self,
        kind: faults.FaultKind,
        rng: random.Random,
        fault_s: float,
        delay_s: float,
    ) -> None:
        time.sleep(delay_s)
        kind.play(self._scene, rng, fault_s)
