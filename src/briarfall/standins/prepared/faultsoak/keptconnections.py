"""Faults of the exchanges on kept connections of targets."""

import random
import time

from briarfall.standins.prepared import exchangefaults
from briarfall.standins.prepared.faultsoak import faults
from briarfall.standins.prepared.faultsoak import scenes


class RepeatedRefusal(faults.FaultKind):
    """Makes targets write their refusals once more on the connection."""

    name = "refusal_copy"

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Applies the fault to one or to all targets."""
        targets = scene.targets
        if rng.random() < 0.5:
            targets = [rng.choice(targets)]
        copies = list(exchangefaults.RefusalCopy)
        copy = rng.choice(copies[1:])
        has_id = rng.random() < 0.5
        for target in targets:
            target.exchange.copy_has_id = has_id
            target.exchange.refusal_copy = copy
        time.sleep(fault_s)
        for target in targets:
            target.exchange.refusal_copy = exchangefaults.RefusalCopy.NONE
        names = ",".join(target.id for target in targets)
        return f"{names} {copy.value} id={has_id}"


class EarlyClose(faults.FaultKind):
    """Makes a target close kept connections as requests arrive."""

    name = "early_close"

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Applies the fault to one target."""
        target = rng.choice(scene.targets)
        closings = list(exchangefaults.Closing)
        closing = rng.choice(closings[1:])
        with scene.records.impairing(target.id):
            target.exchange.closing = closing
            time.sleep(fault_s)
            target.exchange.closing = exchangefaults.Closing.NONE
        return f"{target.id} {closing.value}"
