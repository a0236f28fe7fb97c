"""Faults of sound targets that fall silent for a while and go on."""

import random
import time

from briarfall.standins.prepared.faultsoak import faults
from briarfall.standins.prepared.faultsoak import scenes

_MIN_SILENCE_S = 0.5
_MAX_SILENCE_S = 1.5
# Longest time between the start of a silence and the end of an entry.
_MAX_LEAD_S = 0.8
# Time for which the entry of a target is gone.
_MIN_GONE_S = 2.0
# Time for which targets refuse connections after their silence.
_MAX_REFUSAL_S = 1.0


class _TargetFault(faults.FaultKind):
    """Base of the faults of one, some or all targets."""

    def pick(self, scene: scenes.Scene, rng: random.Random) -> list:
        """Returns the targets that the fault is applied to."""
        count = rng.choice([1, 1, 3, len(scene.targets)])
        return rng.sample(scene.targets, count)


class Silence(_TargetFault):
    """Holds back all that targets send; their kernels accept connections."""

    name = "silence"

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Makes targets silent; half of the time in the middle of a send."""
        targets = self.pick(scene, rng)
        splits = rng.random() < 0.5
        silence_s = rng.uniform(_MIN_SILENCE_S, _MAX_SILENCE_S)
        for target in targets:
            target.silence.shut(splits_sends=splits)
        time.sleep(silence_s)
        for target in targets:
            target.silence.open()
        names = ",".join(target.id for target in targets)
        return f"{names} splits={splits} for {silence_s:.1f} s"


class SilenceWithoutConnections(_TargetFault):
    """Makes targets refuse connections; the open ones go on, or fall silent."""

    name = "silence_refusing"

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Makes targets refuse connections, and silent at first if drawn."""
        targets = self.pick(scene, rng)
        silence_s = rng.choice([0.0, rng.uniform(0.2, _MAX_SILENCE_S)])
        refusal_s = rng.uniform(0.2, _MAX_REFUSAL_S)
        for target in targets:
            target.refuse_connections()
            if silence_s:
                target.silence.shut()
        time.sleep(silence_s)
        for target in targets:
            target.silence.open()
        time.sleep(refusal_s)
        for target in targets:
            target.accept_connections()
        names = ",".join(target.id for target in targets)
        return f"{names} silent {silence_s:.1f} s, refuse {refusal_s:.1f} s"


class SilenceWithoutEntry(faults.FaultKind):
    """Makes engines silent whose entries are removed; their streams go on."""

    name = "silence_gone"

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Silences engines shortly before or after the end of their entries."""
        targets = rng.sample(scene.engines, rng.choice([1, 3]))
        silence_s = rng.uniform(_MIN_SILENCE_S, _MAX_SILENCE_S)
        lead_s = rng.uniform(0.0, _MAX_LEAD_S)
        is_silent_first = rng.random() < 0.5
        if is_silent_first:
            _shut(targets)
            time.sleep(lead_s)
        for target in targets:
            target.is_withdrawn = True
            target.remove()
        if not is_silent_first:
            time.sleep(lead_s)
            _shut(targets)
        time.sleep(silence_s)
        for target in targets:
            target.silence.open()
        time.sleep(_MIN_GONE_S + fault_s)
        for target in targets:
            target.is_withdrawn = False
            target.register()
        names = ",".join(target.id for target in targets)
        return f"{names} {silence_s:.1f} s, silent first {is_silent_first}"


def _shut(targets: list) -> None:
    for target in targets:
        target.silence.shut()
