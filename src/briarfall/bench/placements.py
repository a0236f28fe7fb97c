"""Compares placements of layers by what a maximum flow can carry.

The fleet is drawn from a seed: three kinds of accelerators over some zones. A
chain stays in its zone, as chains mostly do.
"""

import collections.abc
import random

import msgspec

from briarfall import ids
from briarfall.gateway import loads
from briarfall.gateway import paths
from briarfall.gateway import placement
from briarfall.gateway import sources
from briarfall.gateway import views
from briarfall.pipelines import maxflow

# Name, memory in MB, step and reading factors, share of the engines.
_KINDS = (
    ("large", 72_000.0, 2.4, 3.2, 0.1),
    ("medium", 43_000.0, 5.6, 2.7, 0.35),
    ("small", 22_000.0, 16.0, 8.2, 0.55),
)
_TOKENS_PER_STREAM = 1_000
_UNLIMITED = float(1 << 40)

Placer = collections.abc.Callable[
    [views.ModelLayout, list[placement.EngineInfo], random.Random],
    list[placement.EngineInfo],
]


class PlacementRow(msgspec.Struct):
    """How well a placement uses the engines.

    Attributes:
        placement: Its name.
        tokens_per_s: What a maximum flow carries, summed over the zones.
        of_bound: The same as a part of the bound.
        scarcest_layer_tokens: KV cache of the layer that has least, in its
            zone.
        zones_served: Zones that hold all layers.
    """

    placement: str
    tokens_per_s: int
    of_bound: float
    scarcest_layer_tokens: int
    zones_served: int


def layout() -> views.ModelLayout:
    """Returns the model of the comparison."""
    kinds = {}
    for name, memory_mb, step_factor, read_factor, _ in _KINDS:
        kinds[name] = views.HardwareKind(
            memory_mb=memory_mb,
            step_factor=step_factor,
            prefill_factor=read_factor,
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
    """Returns empty engines of mixed kinds, spread over the zones."""
    names = [row[0] for row in _KINDS]
    weights = [row[4] for row in _KINDS]
    rows = []
    for number in range(engines):
        kind = rng.choices(names, weights)[0]
        rows.append(
            placement.EngineInfo(
                ids.TargetId(f"e{number}"),
                ids.ZoneId(f"z{rng.randrange(zones)}"),
                kind,
            )
        )
    return rows


def by_scarcity(
    model: views.ModelLayout,
    engines: list[placement.EngineInfo],
    rng: random.Random,
) -> list[placement.EngineInfo]:
    """Places as the gateway does: blocks where its zone has least room."""
    ranges = placement.Plan(model, engines).assign_all(engines)
    placed = []
    for row in engines:
        placed.append(msgspec.structs.replace(row, layers=ranges[row.id]))
    return placed


def at_random(
    model: views.ModelLayout,
    engines: list[placement.EngineInfo],
    rng: random.Random,
) -> list[placement.EngineInfo]:
    """Places as many layers as fit, from any first layer on."""
    placed = []
    for row in engines:
        size = _fitting(model, row.kind)
        first = rng.randrange(model.layers - size + 1)
        layers = sources.LayerRange(first, first + size)
        placed.append(msgspec.structs.replace(row, layers=layers))
    return placed


def in_turn(
    model: views.ModelLayout,
    engines: list[placement.EngineInfo],
    rng: random.Random,
) -> list[placement.EngineInfo]:
    """Fills one chain after the other in each zone, as engines come."""
    edges: dict[ids.ZoneId, int] = {}
    placed = []
    for row in engines:
        first = edges.get(row.zone, 0) % model.layers
        end = min(model.layers, first + _fitting(model, row.kind))
        edges[row.zone] = end
        layers = sources.LayerRange(first, end)
        placed.append(msgspec.structs.replace(row, layers=layers))
    return placed


PLACERS: dict[str, Placer] = {
    "by scarcity, in blocks": by_scarcity,
    "in turn, as they come": in_turn,
    "at random": at_random,
}


def _fitting(model: views.ModelLayout, kind: str) -> int:
    """Returns the layers of an engine with the gateway's share for weights."""
    blocks = placement.usual_block_count(model, kind)
    borders = placement.block_borders(model)
    return borders[min(blocks, len(borders) - 1)]


def rate(model: views.ModelLayout, slot: placement.EngineInfo) -> float:
    """Returns the tokens a second of an engine whose KV cache is full."""
    room = paths.kv_capacity(model, slot.kind, slot.layers)
    streams = max(1, int(room // _TOKENS_PER_STREAM))
    load = loads.Load(streams, streams * _TOKENS_PER_STREAM)
    step_ms = paths.step_time_ms(model, slot.kind, slot.layers.size, load)
    return streams / step_ms * 1000


def carried(
    model: views.ModelLayout, placed: list[placement.EngineInfo]
) -> float:
    """Returns the tokens a second that chains over some engines carry."""
    network = maxflow.FlowNetwork()
    cuts = {0, model.layers}
    for slot in placed:
        cuts.update((slot.layers.first, slot.layers.end))
    for slot in placed:
        network.add(("in", slot.id), ("out", slot.id), rate(model, slot))
        for cut in cuts:
            if slot.layers.first <= cut < slot.layers.end:
                network.add(cut, ("in", slot.id), _UNLIMITED)
        network.add(("out", slot.id), slot.layers.end, _UNLIMITED)
    return network.maximise(0, model.layers)


def bound(
    model: views.ModelLayout, placed: list[placement.EngineInfo]
) -> float:
    """Returns the tokens a second if all engines could always be used."""
    total = 0.0
    for slot in placed:
        total += rate(model, slot) * slot.layers.size / model.layers
    return total


def _scarcest(
    model: views.ModelLayout, placed: list[placement.EngineInfo]
) -> float:
    rooms = [0.0] * model.layers
    for slot in placed:
        room = paths.kv_capacity(model, slot.kind, slot.layers)
        for layer in range(slot.layers.first, slot.layers.end):
            rooms[layer] += room
    return min(rooms)


def run(engines: int, zones: int, seed: int) -> list[PlacementRow]:
    """Returns a row for each way to place layers on the same fleet."""
    model = layout()
    empty = fleet(engines, zones, random.Random(seed))
    best = 0.0
    found = []
    for name, place in PLACERS.items():
        placed = place(model, empty, random.Random(seed))
        by_zone: dict[ids.ZoneId, list[placement.EngineInfo]] = {}
        for slot in placed:
            by_zone.setdefault(slot.zone, []).append(slot)
        tokens_per_s = sum(carried(model, row) for row in by_zone.values())
        scarcest = [_scarcest(model, row) for row in by_zone.values()]
        best = max(best, bound(model, placed))
        found.append(
            PlacementRow(
                name,
                int(tokens_per_s),
                tokens_per_s,
                int(min(scarcest)),
                sum(1 for room in scarcest if room),
            )
        )
    for row in found:
        row.of_bound = round(row.of_bound / best, 3)
    return found
