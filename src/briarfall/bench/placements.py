"""Compares layer placement strategies by the maximum flow that they carry.

The fleet is generated from a seed, with three kinds of accelerators spread over
the zones. Each chain is assumed to stay in one zone, as most chains do.
"""

import collections.abc
import random

import msgspec

from briarfall import ids
from briarfall.gateway.catalogue import sources
from briarfall.gateway.catalogue import views
from briarfall.gateway.placement import enginecosts
from briarfall.gateway.placement import placement
from briarfall.gateway.targets import loads
from briarfall.pipelines import maxflow

# Name, memory in MB, step factor, prefill factor, share of the engines.
_KINDS = (
    ("large", 72_000.0, 2.4, 3.2, 0.1),
    ("medium", 43_000.0, 5.6, 2.7, 0.35),
    ("small", 22_000.0, 16.0, 8.2, 0.55),
)
_TOKENS_PER_STREAM = 1_000
_UNLIMITED_RATE = float(1 << 40)

PlacementStrategy = collections.abc.Callable[
    [views.ModelLayout, list[placement.EngineInfo], random.Random],
    list[placement.EngineInfo],
]


class PlacementRow(msgspec.Struct):
    """Results of one placement strategy.

    Attributes:
        placement: Name of the strategy.
        tokens_per_s: Maximum flow, summed over the zones.
        of_bound: The maximum flow as a share of the theoretical bound.
        scarcest_layer_tokens: KV capacity of the layer with the least capacity
            in its zone, over all zones.
        zones_served: Number of zones that hold all layers.
    """

    placement: str
    tokens_per_s: int
    of_bound: float
    scarcest_layer_tokens: int
    zones_served: int


def layout() -> views.ModelLayout:
    """Returns the layout of the model used in the comparison."""
    kinds = {}
    for name, memory_mb, step_factor, prefill_factor, _ in _KINDS:
        kinds[name] = views.HardwareKind(
            memory_mb=memory_mb,
            step_factor=step_factor,
            prefill_factor=prefill_factor,
        )
    return views.ModelLayout(
        layers=80,
        layer_mb=1_750.0,
        kv_bytes=1_836_000.0,
        step_ms=1.02,
        sequence_ms=0.01,
        context_ms=0.01,
        prefill_tokens_per_s=160_000.0,
        slots=96,
        mean_prompt_tokens=750.0,
        mean_answer_tokens=200.0,
        activation_bytes=92_000.0,
        inter_zone_mbps=13_000.0,
        load_s=14.0,
        max_parallel_loads=5,
        kinds=kinds,
    )


def fleet(
    engines: int, zones: int, rng: random.Random
) -> list[placement.EngineInfo]:
    """Returns engines of mixed kinds without layers, spread over zones."""
    names = [row[0] for row in _KINDS]
    weights = [row[4] for row in _KINDS]
    result = []
    for number in range(engines):
        kind = rng.choices(names, weights)[0]
        result.append(
            placement.EngineInfo(
                ids.TargetId(f"e{number}"),
                ids.ZoneId(f"z{rng.randrange(zones)}"),
                kind,
            )
        )
    return result


def by_scarcity(
    model: views.ModelLayout,
    engines: list[placement.EngineInfo],
    rng: random.Random,
) -> list[placement.EngineInfo]:
    """Places blocks where the zone has the least KV capacity.

    The gateway uses the same strategy.
    """
    ranges = placement.Plan(model, engines).assign_all(engines)
    placed = []
    for engine in engines:
        placed.append(msgspec.structs.replace(engine, layers=ranges[engine.id]))
    return placed


def at_random(
    model: views.ModelLayout,
    engines: list[placement.EngineInfo],
    rng: random.Random,
) -> list[placement.EngineInfo]:
    """Places as many layers as fit, from a random first layer."""
    placed = []
    for engine in engines:
        size = _max_layers(model, engine.kind)
        first = rng.randrange(model.layers - size + 1)
        layers = sources.LayerRange(first, first + size)
        placed.append(msgspec.structs.replace(engine, layers=layers))
    return placed


def in_turn(
    model: views.ModelLayout,
    engines: list[placement.EngineInfo],
    rng: random.Random,
) -> list[placement.EngineInfo]:
    """Completes one chain after another per zone, in order of engines."""
    next_layers: dict[ids.ZoneId, int] = {}
    placed = []
    for engine in engines:
        first = next_layers.get(engine.zone, 0) % model.layers
        end = min(model.layers, first + _max_layers(model, engine.kind))
        next_layers[engine.zone] = end
        layers = sources.LayerRange(first, end)
        placed.append(msgspec.structs.replace(engine, layers=layers))
    return placed


STRATEGIES: dict[str, PlacementStrategy] = {
    "by scarcity, in blocks": by_scarcity,
    "in turn, as they come": in_turn,
    "at random": at_random,
}


def _max_layers(model: views.ModelLayout, kind: str) -> int:
    """Returns how many layers fit in the gateway's share for weights."""
    blocks = placement.choose_blocks(model, [])
    return blocks.borders[min(blocks.usual_count(kind), blocks.count)]


def engine_rate(
    model: views.ModelLayout, engine: placement.EngineInfo
) -> float:
    """Returns the tokens per second of an engine whose KV cache is full."""
    capacity = enginecosts.kv_capacity(model, engine.kind, engine.layers)
    streams = max(1, int(capacity // _TOKENS_PER_STREAM))
    load = loads.Load(streams, streams * _TOKENS_PER_STREAM)
    step_ms = enginecosts.step_time_ms(
        model, engine.kind, engine.layers.size, load
    )
    return streams / step_ms * 1000


def max_flow_rate(
    model: views.ModelLayout, placed: list[placement.EngineInfo]
) -> float:
    """Returns the tokens per second that chains over the engines carry."""
    network = maxflow.FlowNetwork()
    boundaries = {0, model.layers}
    for engine in placed:
        boundaries.update((engine.layers.first, engine.layers.end))
    for engine in placed:
        network.add(
            ("in", engine.id), ("out", engine.id), engine_rate(model, engine)
        )
        for boundary in boundaries:
            if engine.layers.first <= boundary < engine.layers.end:
                network.add(boundary, ("in", engine.id), _UNLIMITED_RATE)
        network.add(("out", engine.id), engine.layers.end, _UNLIMITED_RATE)
    return network.maximise(0, model.layers)


def bound(
    model: views.ModelLayout, placed: list[placement.EngineInfo]
) -> float:
    """Returns the tokens per second if all engines were fully used."""
    total = 0.0
    for engine in placed:
        total += engine_rate(model, engine) * engine.layers.size / model.layers
    return total


def _scarcest(
    model: views.ModelLayout, placed: list[placement.EngineInfo]
) -> float:
    capacities = [0.0] * model.layers
    for engine in placed:
        capacity = enginecosts.kv_capacity(model, engine.kind, engine.layers)
        for layer in range(engine.layers.first, engine.layers.end):
            capacities[layer] += capacity
    return min(capacities)


def run(engines: int, zones: int, seed: int) -> list[PlacementRow]:
    """Returns a row for each placement strategy, on the same fleet."""
    model = layout()
    unplaced = fleet(engines, zones, random.Random(seed))
    best = 0.0
    results = []
    for name, strategy in STRATEGIES.items():
        placed = strategy(model, unplaced, random.Random(seed))
        by_zone: dict[ids.ZoneId, list[placement.EngineInfo]] = {}
        for engine in placed:
            by_zone.setdefault(engine.zone, []).append(engine)
        tokens_per_s = sum(
            max_flow_rate(model, row) for row in by_zone.values()
        )
        scarcest = [_scarcest(model, row) for row in by_zone.values()]
        best = max(best, bound(model, placed))
        results.append(
            PlacementRow(
                name,
                int(tokens_per_s),
                tokens_per_s,
                int(min(scarcest)),
                sum(1 for tokens in scarcest if tokens),
            )
        )
    for row in results:
        row.of_bound = round(row.of_bound / best, 3)
    return results
