"""The platform that measurements share: 30 engines, 5 kinds, 2 models."""

import msgspec

from briarfall.catalogue import entries
from briarfall.pipelines import graph
from briarfall.pipelines import maxflow
from briarfall.standins import engine
from briarfall.standins import platform

ZONES = ("suva", "nausori", "lautoka")
MODELS = {"alpha": 36, "beta": 24}
_LAG_S = 1.0


class Kind(msgspec.Struct, frozen=True):
    """Speed of one kind of accelerator at its own layer range."""

    base_s: float
    item_s: float
    prefill_s: float


KINDS = {
    "a": Kind(0.004, 0.0005, 0.00002),
    "b": Kind(0.005, 0.0007, 0.00003),
    "c": Kind(0.006, 0.0010, 0.00004),
    "d": Kind(0.008, 0.0012, 0.00006),
    "e": Kind(0.012, 0.0020, 0.00010),
}
# Model, first layer, end, kinds of its engines; zones are used in turn.
_STAGES = (
    ("alpha", 0, 12, "aabce"),
    ("alpha", 12, 24, "abbde"),
    ("alpha", 24, 36, "aacdd"),
    ("alpha", 0, 18, "bc"),
    ("alpha", 18, 36, "bc"),
    ("beta", 0, 12, "abcde"),
    ("beta", 12, 24, "aabcde"),
)
MAX_BATCH = 8


def specs() -> list[engine.EngineSpec]:
    """Returns 30 engines of 5 kinds in 3 zones for 2 models."""
    result = []
    for model, start, end, kinds in _STAGES:
        for letter in kinds:
            kind = KINDS[letter]
            number = len(result)
            result.append(
                engine.EngineSpec(
                    f"{model}-{number}{letter}",
                    ZONES[number % len(ZONES)],
                    start,
                    end,
                    letter,
                    base_s=kind.base_s,
                    item_s=kind.item_s,
                    prefill_s=kind.prefill_s,
                    max_batch=MAX_BATCH,
                    load_lag_s=_LAG_S,
                )
            )
    return result


def build(
    routers: int, scale: float, policy: str = "flow", **model_changes
) -> platform.Platform:
    """Returns a started platform with both models and instances."""
    part = platform.Platform(specs(), zones=ZONES, scale=scale)
    part.start()
    part.put_accounts()
    for name, layers in MODELS.items():
        model = part.model(name, layers, policy=policy, **model_changes)
        part.put(name, model)
    for _ in range(routers):
        part.add_instance(membership=_MEMBERSHIP)
    if not part.wait_ready(30.0):
        raise RuntimeError("the instances did not become ready")
    return part


def bound(part: platform.Platform, name: str) -> float:
    """Returns the tokens a second that the engines of a model can carry."""
    model: entries.Model = part.model(name, MODELS[name])
    made = graph.LayerGraph(MODELS[name], model.targets)
    return maxflow.FlowResult(made).total


def _membership():
    from briarfall import settings

    return settings.Membership(heartbeat_s=1.0, suspect_s=4.0, poll_s=2.0)


_MEMBERSHIP = _membership()
