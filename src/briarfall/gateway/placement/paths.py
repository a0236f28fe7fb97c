"""Search for the cheapest chain of engines that runs every layer once."""

import random

from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway.catalogue import sources
from briarfall.gateway.catalogue import views
from briarfall.gateway.placement import chains
from briarfall.gateway.placement import cheapestchain
from briarfall.gateway.placement import enginecosts
from briarfall.gateway.placement import headslots
from briarfall.gateway.scheduling import kvreserve
from briarfall.gateway.targets import loads
from briarfall.gateway.targets import targetstate

# For each token, an engine's next pass is awaited, which is charged as a factor
# on its step time.
_STEP_WAIT_FACTOR = 1.5
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
        demand: chains.Demand,
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
    ) -> chains.Chain | None:
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

        def search(gap_s: float, *, may_cross: bool) -> chains.Chain | None:
            candidates = self._candidates(
                model, usable, demand, noise, max_fill, gap_s
            )
            return cheapestchain.find(
                candidates,
                demand,
                span,
                self._zone,
                zone_before=zone,
                next_zone=next_zone,
                heads=heads,
                may_cross=may_cross,
            )

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
        demand: chains.Demand,
        noise: float,
        max_fill: float,
        gap_s: float,
    ) -> list[cheapestchain.Candidate]:
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
        demand: chains.Demand,
        noise: float,
        capacities: dict[tuple[str, int], float],
        max_fill: float,
        gap_s: float,
    ) -> cheapestchain.Candidate | None:
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
        return cheapestchain.Candidate(row, entry.layers, layer_ms, head_ms)
