"""Faults of sound engines whose answers end with their connections."""

import random
import time

from briarfall.standins.prepared.faultsoak import faults
from briarfall.standins.prepared.faultsoak import scenes

# Time in which streams without a length begin before connections are refused.
_BEGIN_S = 0.15
_REFUSAL_S = 1.2


def _pick(scene: scenes.Scene, rng: random.Random) -> list:
    """Returns one, some or all engines."""
    count = rng.choice([1, 3, len(scene.engines)])
    return rng.sample(scene.engines, count)


def _set_open(engines: list, *, is_open: bool) -> None:
    for engine in engines:
        engine.answers_without_length = is_open


class OpenAnswers(faults.FaultKind):
    """Makes engines answer without a length."""

    name = "open_answers"

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Makes the new answers of engines end with their connections."""
        engines = _pick(scene, rng)
        _set_open(engines, is_open=True)
        time.sleep(fault_s)
        _set_open(engines, is_open=False)
        return ",".join(engine.id for engine in engines)


class OpenAnswersRefusing(faults.FaultKind):
    """Makes engines end such answers while they refuse new connections.

    The engines are sound: answers that end meanwhile are complete.
    """

    name = "open_answers_refusing"

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Makes engines refuse connections while streams are under way."""
        engines = _pick(scene, rng)
        _set_open(engines, is_open=True)
        time.sleep(_BEGIN_S)
        for engine in engines:
            engine.refuse_connections()
        time.sleep(_REFUSAL_S)
        for engine in engines:
            engine.accept_connections()
        _set_open(engines, is_open=False)
        names = ",".join(engine.id for engine in engines)
        return f"{names} refuse {_REFUSAL_S} s"
