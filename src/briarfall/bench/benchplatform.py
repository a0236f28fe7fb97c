"""Platform shared by measurements: 30 engines, 5 kinds, 2 models."""

import msgspec

from briarfall.catalogue import entries
from briarfall.pipelines import graph
from briarfall.pipelines import maxflow
from briarfall.standins import engine
from briarfall.standins import platform

ZONES = ("suva", "nausori", "lautoka")
MODELS = {"alpha": 36, "beta": 24}
_LOAD_LAG_S = 1.0


class Kind(msgspec.Struct, frozen=True):
    """Speed of one kind of accelerator, for its own layer range."""

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
# Model, first layer, end, kinds of the engines. Zones are assigned round-robin.
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
        for kind_name in kinds:
            kind = KINDS[kind_name]
            number = len(result)
            result.append(
                engine.EngineSpec(
                    f"{model}-{number}{kind_name}",
                    ZONES[number % len(ZONES)],
                    start,
                    end,
                    kind_name,
                    base_s=kind.base_s,
                    item_s=kind.item_s,
                    prefill_s=kind.prefill_s,
                    max_batch=MAX_BATCH,
                    load_lag_s=_LOAD_LAG_S,
                )
            )
    return result


def build(
    routers: int, scale: float, policy: str = "flow", **model_changes
) -> platform.Platform:
    """Returns a started platform with both models and instances."""
    plat = platform.Platform(specs(), zones=ZONES, scale=scale)
    plat.start()
    plat.put_accounts()
    for name, layers in MODELS.items():
        model = plat.model(name, layers, policy=policy, **model_changes)
        plat.put(name, model)
    for _ in range(routers):
        plat.add_instance(membership=_MEMBERSHIP)
    if not plat.wait_ready(30.0):
        raise RuntimeError("instances were not ready within 30 s")
    return plat


def bound(plat: platform.Platform, name: str) -> float:
    """Returns the tokens per second that a model's engines can generate."""
    model: entries.Model = plat.model(name, MODELS[name])
    layer_graph = graph.LayerGraph(MODELS[name], model.targets)
    return maxflow.FlowResult(layer_graph).total


def _make_membership():
    from briarfall import settings

    return settings.Membership(heartbeat_s=1.0, suspect_s=4.0, poll_s=2.0)


_MEMBERSHIP = _make_membership()
