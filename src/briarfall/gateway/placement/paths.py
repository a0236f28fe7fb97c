"""Search for the cheapest chain of engines that runs every layer once."""

import math
import random

import msgspec

from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway.catalogue import sources
from briarfall.gateway.catalogue import views
from briarfall.gateway.placement import enginecosts
from briarfall.gateway.placement import headslots
from briarfall.gateway.scheduling import kvreserve
from briarfall.gateway.targets import loads
from briarfall.gateway.targets import targetstate

# For each token, a hop costs a hand-over of `_HOP_MS` and a wait for the
# engine's next pass, which is charged as a factor on its step time.
_STEP_WAIT_FACTOR = 1.5
_HOP_MS = 0.3
# The activations of every token pass over the inter-zone link, which all
# chains share. A cross-zone hop is therefore charged more than its own delay.
_CROSS_ZONE_HOP_MS = 2000.0
# A chain whose head is in another zone sends no activations to reach it. The
# charge keeps requests in their own zone while that costs about as much.
_REMOTE_HEAD_MS = 1000.0
# Spread of the random factor on costs, without which all instances would
# choose the same engines at the same time.
NOISE = 0.15
# Time after a start in which the loads of other instances are still unknown.
_LOADS_UNKNOWN_S = 1.5
# After a failure many streams choose another engine within milliseconds,
# before instances have reported their choices to each other. The larger spread
# keeps them from all choosing the same engine.
FAILOVER_NOISE = 1.5
# Factor on the cost of an engine whose load keeps a request from its pace. It
# is above the spread of costs between engines of one zone, so that any other
# engine there goes first.
_SLOW_FACTOR = 8.0
_MAX_STAGES = 32


class Stage(msgspec.Struct, frozen=True):
    """One engine of a chain and the layers that it runs.

    Attributes:
        target: The engine's id.
        address: Its IP number and port.
        zone: Its availability zone.
        layers: The layers that it runs.
        started_ms: Start of its incarnation in Unix milliseconds.
    """

    target: ids.TargetId
    address: str
    zone: ids.ZoneId
    layers: sources.LayerRange
    started_ms: int = 0


class Chain(msgspec.Struct, frozen=True):
    """Engines that run all layers in order.

    Attributes:
        stages: The engines with their layers, the head first.
        cost_ms: Expected time of the complete answer.
    """

    stages: tuple[Stage, ...]
    cost_ms: float

    @property
    def head(self) -> Stage:
        """The first engine, which receives the request and answers it."""
        return self.stages[0]

    @property
    def crosses(self) -> bool:
        """Whether it has hops to another zone."""
        return any(row.zone != self.head.zone for row in self.stages)

    def describe(self) -> str:
        """Returns the engines and their layers as text for logs."""
        rows = []
        for stage in self.stages:
            rows.append(
                f"{stage.target}={stage.layers.first}-{stage.layers.end}"
            )
        return ",".join(rows)

    def stage_at(self, address: str) -> Stage | None:
        """Returns the stage whose engine has an address, or None."""
        for stage in self.stages:
            if stage.address == address:
                return stage
        return None

    def target_ids(self) -> list[ids.TargetId]:
        """Returns the ids of the chain's engines, the head first."""
        return [stage.target for stage in self.stages]


class Demand(msgspec.Struct, frozen=True):
    """The tokens of a request, which its KV cache and its run time depend on.

    Attributes:
        prompt: Number of prompt tokens.
        answer: Expected number of output tokens.
        is_prompt_stated: Whether the caller has told the number of prompt
            tokens; otherwise it is that of the mean request.
    """

    prompt: int
    answer: int
    is_prompt_stated: bool = True

    @property
    def tokens(self) -> int:
        """Tokens in the KV cache at the end of the answer."""
        return self.prompt + self.answer


def uncovered_layers(
    model: views.ModelLayout, rows: list[targetstate.Target]
) -> list[sources.LayerRange]:
    """Returns the layers that no engine holds, as ranges in ascending order.

    Args:
        model: The model's layout.
        rows: Engines that may get new requests.
    """
    held = sorted(row.entry.layers for row in rows if row.entry.layers)
    found = []
    end = 0
    for layers in [*held, sources.LayerRange(model.layers, model.layers)]:
        if layers.first > end:
            found.append(sources.LayerRange(end, layers.first))
        end = max(end, layers.end)
    return found


class _Candidate(msgspec.Struct):
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
_CostedStage = tuple[float, _Candidate]
# By zone of the last engine: cost of the cheapest partial chain up to a layer,
# and its stages as a linked list from the last to the first.
_ChainsByZone = dict[ids.ZoneId, tuple[float, tuple]]


class ChainFinder:
    """Finds the chain with the shortest expected time of the complete answer.

    Args:
        table: Loads of targets over all instances.
        zone: Availability zone of this instance.
        rng: Random number generator for the noise on costs.
    """

    def __init__(
        self, table: loads.LoadTable, zone: ids.ZoneId, rng: random.Random
    ):
        self._loads = table
        self._zone = zone
        self._rng = rng
        self._started_s = clocks.boot_s()

    def usual_noise(self) -> float:
        """Returns the spread of the random cost factor for new requests."""
        if clocks.boot_s() - self._started_s < _LOADS_UNKNOWN_S:
            return FAILOVER_NOISE
        return NOISE

    def find(
        self,
        model: views.ModelLayout,
        rows: list[targetstate.Target],
        demand: Demand,
        excluded: frozenset[ids.TargetId] = frozenset(),
        *,
        layers: sources.LayerRange | None = None,
        zone: ids.ZoneId | None = None,
        next_zone: ids.ZoneId | None = None,
        heads: frozenset[ids.TargetId] | None = None,
        noise: float | None = None,
        may_cross: bool = True,
        max_fill: float = kvreserve.MAX_FILL,
        gap_s: float = 0.0,
    ) -> Chain | None:
        """Returns the cheapest chain with free KV capacity, or None.

        Args:
            model: The model's layout.
            rows: Engines that may get new requests.
            demand: Tokens of the request.
            excluded: Engines to leave out.
            layers: Layers to cover; all layers of the model by default.
            zone: Zone of the engine that runs the layers before these; None
                for a complete chain, whose head may be in any zone.
            next_zone: Zone of the engine that runs the layers after these, if
                there is one.
            heads: Engines that may be the head; any engine by default.
            noise: Spread of the random factor on costs; None for that of new
                requests.
            may_cross: Whether the chain may have cross-zone hops.
            max_fill: Fill of a KV cache up to which the request may reserve
                room.
            gap_s: Longest time between two events; engines whose load keeps
                the request from it are used if no others have room. 0 if none
                is set.
        """
        span = layers or sources.LayerRange(0, model.layers)
        if noise is None:
            noise = self.usual_noise()
        usable = [row for row in rows if row.id not in excluded]

        def search(gap_s: float, *, may_cross: bool) -> Chain | None:
            candidates = self._candidates(
                model, usable, demand, noise, max_fill, gap_s
            )
            chains = self._cheapest_chains(
                candidates, demand, span, zone, heads, may_cross=may_cross
            )
            return _best_chain(chains, next_zone)

        chain = search(gap_s, may_cross=may_cross)
        if not gap_s or not may_cross or chain is None or not chain.crosses:
            return chain
        # Slow engines are no reason to use the link, which others need.
        usual = search(0.0, may_cross=True)
        if usual is None or usual.crosses:
            return chain
        return search(gap_s, may_cross=False) or chain

    def _candidates(
        self,
        model: views.ModelLayout,
        rows: list[targetstate.Target],
        demand: Demand,
        noise: float,
        max_fill: float,
        gap_s: float,
    ) -> list[_Candidate]:
        """Returns the engines that can be used, with their costs."""
        candidates = []
        capacities: dict[tuple[str, int], float] = {}
        for row in rows:
            candidate = self._candidate(
                model, row, demand, noise, capacities, max_fill, gap_s
            )
            if candidate is not None:
                candidates.append(candidate)
        return candidates

    def _candidate(
        self,
        model: views.ModelLayout,
        row: targetstate.Target,
        demand: Demand,
        noise: float,
        capacities: dict[tuple[str, int], float],
        max_fill: float,
        gap_s: float,
    ) -> _Candidate | None:
        """Returns an engine with its cost, or None if it can't be used.

        An engine without layers, of an unknown kind or without free KV
        capacity can't be used.

        Args:
            model: The model's layout.
            row: The engine.
            demand: Tokens of the request.
            noise: Spread of the random factor on costs.
            capacities: Cache of KV capacities in tokens, by kind and number
                of layers; filled here.
            max_fill: Fill of its KV cache up to which it can be used.
            gap_s: Longest time between two events, or 0.
        """
        entry = row.entry
        if entry.layers is None or entry.kind not in model.kinds:
            return None
        load = self._loads.of(row.id)
        kind = (entry.kind, entry.layers.size)
        capacity = capacities.get(kind)
        if capacity is None:
            capacity = capacities[kind] = enginecosts.kv_capacity(
                model, entry.kind, entry.layers
            )
        fill = (load.tokens + demand.tokens) / max(1.0, capacity)
        if fill > max_fill:
            return None
        step_ms = enginecosts.step_time_ms(model, entry.kind, 1, load)
        layer_ms = demand.answer * _STEP_WAIT_FACTOR * step_ms
        layer_ms += enginecosts.prefill_time_ms(
            model, entry.kind, 1, demand.prompt
        )
        # A nearly full KV cache makes later requests wait or be refused, so
        # the cost rises steeply towards it.
        layer_ms *= 1 + fill**4
        if gap_s and enginecosts.is_overloaded(
            model, entry.kind, load, demand.tokens, gap_s
        ):
            layer_ms *= _SLOW_FACTOR
        layer_ms *= 1 + noise * self._rng.random()
        head_ms = 0.0
        if entry.layers.first == 0:
            head_ms = headslots.charge_ms(
                load.heads, model.slots, self._rng if noise else None
            )
        return _Candidate(row, entry.layers, layer_ms, head_ms)

    def _cheapest_chains(
        self,
        candidates: list[_Candidate],
        demand: Demand,
        span: sources.LayerRange,
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
        stages_from = _cheapest_stages(
            candidates, cuts, span, heads, begins=begins
        )
        hop_ms = demand.answer * _HOP_MS
        # Cheapest known partial chain to each (layer, zone): cost and stages.
        best: dict[int, _ChainsByZone] = {cut: {} for cut in cuts}
        best[span.first] = {zone_before or self._zone: (0.0, ())}
        for cut in cuts:
            for zone, (cost, linked_stages) in best[cut].items():
                for (end, to_zone), (stage_ms, row) in stages_from[cut].items():
                    crosses = to_zone != zone
                    is_head = cut == span.first and begins
                    if crosses and not is_head and not may_cross:
                        continue
                    total = cost + hop_ms + stage_ms
                    if crosses:
                        total += (
                            _REMOTE_HEAD_MS if is_head else _CROSS_ZONE_HOP_MS
                        )
                    known = best[end].get(to_zone)
                    if known is None or total < known[0]:
                        best[end][to_zone] = (
                            total,
                            (linked_stages, row, cut, end),
                        )
        return best[span.end]


def _cheapest_stages(
    candidates: list[_Candidate],
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
    candidates: list[_Candidate], span: sources.LayerRange
) -> list[int]:
    cuts = {span.first, span.end}
    for row in candidates:
        cuts.add(row.layers.first)
        cuts.add(row.layers.end)
    return sorted(cut for cut in cuts if span.first <= cut <= span.end)


def _best_chain(
    chains: _ChainsByZone, next_zone: ids.ZoneId | None
) -> Chain | None:
    cost, linked_stages = math.inf, ()
    for zone, (total_ms, zone_stages) in chains.items():
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
            Stage(entry.id, entry.address, entry.zone, layers, entry.started_ms)
        )
    stages.reverse()
    stages = _merge_repeated_engines(stages)
    if not stages or len(stages) > _MAX_STAGES:
        return None
    return Chain(tuple(stages), cost)


def _merge_repeated_engines(stages: list[Stage]) -> list[Stage]:
    """Returns a chain in which each engine occurs once.

    An engine that occurs twice holds all layers between its two stages as
    well; the stages are merged into one that runs them all.
    """
    kept: list[Stage] = []
    for stage in stages:
        names = [row.target for row in kept]
        if stage.target not in names:
            kept.append(stage)
            continue
        index = names.index(stage.target)
        layers = sources.LayerRange(kept[index].layers.first, stage.layers.end)
        kept[index:] = [msgspec.structs.replace(stage, layers=layers)]
    return kept
