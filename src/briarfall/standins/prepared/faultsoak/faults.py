"""Base class of the faults of a soak test."""

import abc
import random
import time

from briarfall.standins.prepared.faultsoak import scenes


class FaultKind(abc.ABC):
    """A kind of fault; what varies is drawn each time it is played."""

    name = ""

    def play(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> None:
        """Plays the fault once and records it.

        Args:
            scene: What it is played on.
            rng: Draws what varies.
            fault_s: Usual duration of a fault, in seconds.
        """
        start_s = time.monotonic()
        detail = self.apply(scene, rng, fault_s)
        scene.records.play(self.name, detail, start_s)

    @abc.abstractmethod
    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Applies the fault and ends it; returns what was drawn for it."""
