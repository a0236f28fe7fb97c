"""Search for the cheapest chain over candidates whose costs are known."""

import math

import msgspec

from briarfall import ids
from briarfall.gateway.catalogue import sources
from briarfall.gateway.placement import chains
from briarfall.gateway.targets import targetstate

# Cost of the hand-over to an engine, for each token.
_HOP_MS = 0.3
# The activations of every token pass over the inter-zone link, which all
# chains share. A cross-zone hop is therefore charged more than its own delay.
_CROSS_ZONE_HOP_MS = 2000.0
# A chain whose head is in another zone sends no activations to reach it. The
# charge keeps requests in their own zone while that costs about as much.
_REMOTE_HEAD_MS = 1000.0
_MAX_STAGES = 32


class Candidate(msgspec.Struct):
    """An engine with its costs for one request.

    Attributes:
        target: The engine.
        layers: Its layers.
        layer_ms: Cost of each layer.
        head_ms: Further cost if the engine is the head of the chain.
    """

    target: targetstate.Target
    layers: sources.LayerRange
    layer_ms: float
    head_ms: float


# Cost of an engine for some of its layers, and the engine.
_CostedStage = tuple[float, Candidate]
# By zone of the last engine: cost of the cheapest partial chain up to a layer,
# and its stages as a linked list from the last to the first.
_ChainsByZone = dict[ids.ZoneId, tuple[float, tuple]]


def find(
    candidates: list[Candidate],
    demand: chains.Demand,
    span: sources.LayerRange,
    own_zone: ids.ZoneId,
    *,
    zone_before: ids.ZoneId | None,
    next_zone: ids.ZoneId | None,
    heads: frozenset[ids.TargetId] | None,
    may_cross: bool,
) -> chains.Chain | None:
    """Returns the cheapest chain over some layers, or None.

    Args:
        candidates: Engines with their costs.
        demand: Tokens of the request.
        span: Layers to cover.
        own_zone: Availability zone of this instance.
        zone_before: Zone of the engine that runs the layers before these; None
            for a complete chain, whose head may be in any zone.
        next_zone: Zone of the engine that runs the layers after these, if
            there is one.
        heads: Engines that may be the first one; None for any.
        may_cross: Whether the chain may have cross-zone hops.
    """
    found = _cheapest_chains(
        candidates,
        demand,
        span,
        own_zone,
        zone_before,
        heads,
        may_cross=may_cross,
    )
    return _best_chain(found, next_zone)


def _cheapest_chains(
    candidates: list[Candidate],
    demand: chains.Demand,
    span: sources.LayerRange,
    own_zone: ids.ZoneId,
    zone_before: ids.ZoneId | None,
    heads: frozenset[ids.TargetId] | None,
    *,
    may_cross: bool,
) -> _ChainsByZone:
    """Returns the cheapest chains over all layers, by zone of their end.

    Dynamic programming over the layers at which the chain may change
    engines, and the zones.
    """
    cuts = _cut_points(candidates, span)
    begins = zone_before is None
    stages_from = _cheapest_stages(candidates, cuts, span, heads, begins=begins)
    hop_ms = demand.answer * _HOP_MS
    # Cheapest known partial chain to each (layer, zone): cost and stages.
    best: dict[int, _ChainsByZone] = {cut: {} for cut in cuts}
    best[span.first] = {zone_before or own_zone: (0.0, ())}
    for cut in cuts:
        for zone, (cost, linked_stages) in best[cut].items():
            for (end, to_zone), (stage_ms, row) in stages_from[cut].items():
                crosses = to_zone != zone
                is_head = cut == span.first and begins
                if crosses and not is_head and not may_cross:
                    continue
                total = cost + hop_ms + stage_ms
                if crosses:
                    total += _REMOTE_HEAD_MS if is_head else _CROSS_ZONE_HOP_MS
                known = best[end].get(to_zone)
                if known is None or total < known[0]:
                    best[end][to_zone] = (
                        total,
                        (linked_stages, row, cut, end),
                    )
    return best[span.end]


def _cheapest_stages(
    candidates: list[Candidate],
    cuts: list[int],
    span: sources.LayerRange,
    heads: frozenset[ids.TargetId] | None,
    *,
    begins: bool,
) -> dict[int, dict[tuple[int, ids.ZoneId], _CostedStage]]:
    """Returns the cheapest engine between any two cut points, by zone.

    Only these engines can be part of the cheapest chain, so that the search
    need not try every engine for every zone before it.

    Args:
        candidates: Engines with their costs.
        cuts: Layers at which the chain may change engines.
        span: Layers to cover.
        heads: Engines that may be the first one; None for any.
        begins: Whether the first engine is the head of the complete chain.
    """
    stages: dict[int, dict[tuple[int, ids.ZoneId], _CostedStage]] = {
        cut: {} for cut in cuts
    }
    for row in candidates:
        zone = row.target.entry.zone
        may_be_head = heads is None or row.target.id in heads
        cuts_within = [
            cut for cut in cuts if row.layers.first <= cut <= row.layers.end
        ]
        for index, cut in enumerate(cuts_within):
            if cut == span.first and not may_be_head:
                continue
            is_head = begins and cut == span.first
            head_ms = row.head_ms if is_head else 0.0
            for end in cuts_within[index + 1 :]:
                known = stages[cut].get((end, zone))
                stage_ms = row.layer_ms * (end - cut) + head_ms
                if known is None or stage_ms < known[0]:
                    stages[cut][end, zone] = (stage_ms, row)
    return stages


def _cut_points(
    candidates: list[Candidate], span: sources.LayerRange
) -> list[int]:
    cuts = {span.first, span.end}
    for row in candidates:
        cuts.add(row.layers.first)
        cuts.add(row.layers.end)
    return sorted(cut for cut in cuts if span.first <= cut <= span.end)


def _best_chain(
    found: _ChainsByZone, next_zone: ids.ZoneId | None
) -> chains.Chain | None:
    cost, linked_stages = math.inf, ()
    for zone, (total_ms, zone_stages) in found.items():
        if next_zone is not None and zone != next_zone:
            total_ms += _CROSS_ZONE_HOP_MS
        if total_ms < cost:
            cost, linked_stages = total_ms, zone_stages
    stages = []
    while linked_stages:
        linked_stages, row, first, end = linked_stages
        entry = row.target.entry
        layers = sources.LayerRange(first, end)
        stages.append(
            chains.Stage(
                entry.id, entry.address, entry.zone, layers, entry.started_ms
            )
        )
    stages.reverse()
    stages = _merge_repeated_engines(stages)
    if not stages or len(stages) > _MAX_STAGES:
        return None
    return chains.Chain(tuple(stages), cost)


def _merge_repeated_engines(stages: list[chains.Stage]) -> list[chains.Stage]:
    """Returns a chain in which each engine occurs once.

    An engine that occurs twice holds all layers between its two stages as
    well; the stages are merged into one that runs them all.
    """
    kept: list[chains.Stage] = []
    for stage in stages:
        names = [row.target for row in kept]
        if stage.target not in names:
            kept.append(stage)
            continue
        index = names.index(stage.target)
        layers = sources.LayerRange(kept[index].layers.first, stage.layers.end)
        kept[index:] = [msgspec.structs.replace(stage, layers=layers)]
    return kept
