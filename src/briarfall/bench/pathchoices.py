"""Compares strategies for choosing chains, on a simulated fleet under load.

Each instance counts its own streams immediately and receives the counts of the
others at intervals, as over datagrams. Time is simulated; the duration of a
stream follows from the actual load of its engines when it starts.
"""

import abc
import heapq
import itertools
import random

import msgspec

from briarfall import ids
from briarfall.bench import placements
from briarfall.gateway.catalogue import sources
from briarfall.gateway.catalogue import views
from briarfall.gateway.placement import chains
from briarfall.gateway.placement import enginecosts
from briarfall.gateway.placement import paths
from briarfall.gateway.placement import placement
from briarfall.gateway.targets import loads
from briarfall.gateway.targets import targetstate

_SERVICE = views.ServiceName("pool")
_GOSSIP_INTERVAL_S = 0.25
_DEMAND = chains.Demand(750, 200)
_HOP_MS = 0.3
_CROSS_ZONE_HOP_MS = 0.75
_TOKENS_PER_EVENT = 5
_MAX_EVENT_GAP_MS = 200.0


class ChoiceRow(msgspec.Struct):
    """Results of one strategy for choosing chains.

    Attributes:
        choice: Name of the strategy.
        streams: Number of requested streams.
        refused: Share of streams that were not started, because the instance
            knew no chain with free capacity or an engine had too little.
        late: Share of streams whose events are further apart than allowed.
        token_ms_p50: Median time per token.
        token_ms_p95: 95th percentile of the time per token.
        crossings: Mean number of cross-zone hops per stream.
    """

    choice: str
    streams: int
    refused: float
    late: float
    token_ms_p50: float
    token_ms_p95: float
    crossings: float


class Chooser(abc.ABC):
    """Chooses chains for one instance."""

    def __init__(self, table: loads.LoadTable, zone: ids.ZoneId, rng):
        self._table = table
        self._zone = zone
        self._rng = rng

    @abc.abstractmethod
    def choose(
        self, model: views.ModelLayout, targets: list[targetstate.Target]
    ) -> chains.Chain | None:
        """Returns a chain, or None if it knows none with free capacity."""


class GatewayChooser(Chooser):
    """The gateway's strategy: expected time from all loads, with noise."""

    noise = paths.NOISE

    def __init__(self, table, zone, rng):
        super().__init__(table, zone, rng)
        self._finder = paths.ChainFinder(table, zone, rng)

    def choose(self, model, targets):
        """Returns the chain of least cost, or None."""
        return self._finder.find(model, targets, _DEMAND, noise=self.noise)


class LeastCostChooser(GatewayChooser):
    """The gateway's strategy without noise: equal views, equal choices."""

    noise = 0.0


class RandomChooser(Chooser):
    """A random engine with the next layer, from its own zone if possible."""

    def choose(self, model, targets):
        """Returns a chain that may have no free capacity."""
        stages = []
        next_layer = 0
        while next_layer < model.layers:
            holders = [
                target
                for target in targets
                if target.entry.layers.first
                <= next_layer
                < target.entry.layers.end
            ]
            same_zone = [
                target for target in holders if target.entry.zone == self._zone
            ]
            if not holders:
                return None
            entry = self._rng.choice(same_zone or holders).entry
            layers = sources.LayerRange(next_layer, entry.layers.end)
            stages.append(
                chains.Stage(entry.id, entry.address, entry.zone, layers)
            )
            next_layer = entry.layers.end
        return chains.Chain(tuple(stages), 0.0)


CHOOSERS: dict[str, type[Chooser]] = {
    "gateway": GatewayChooser,
    "cheapest, without noise": LeastCostChooser,
    "random in the zone": RandomChooser,
}


class _Fleet:
    """The engines with their actual load."""

    def __init__(
        self, model: views.ModelLayout, engines: int, zones: int, seed
    ):
        rng = random.Random(seed)
        self.model = model
        empty = placements.fleet(engines, zones, rng)
        placed = placements.by_scarcity(model, empty, rng)
        self.targets = [_make_target(engine) for engine in placed]
        self._kinds = {target.id: target.entry.kind for target in self.targets}
        self._kv_capacities = {}
        for target in self.targets:
            self._kv_capacities[target.id] = enginecosts.kv_capacity(
                model, target.entry.kind, target.entry.layers
            )
        self._loads = {target.id: loads.Load() for target in self.targets}

    def start_stream(self, chain: chains.Chain) -> bool:
        """Starts a stream, unless an engine has too little KV capacity."""
        for stage in chain.stages:
            used = self._loads[stage.target].tokens + _DEMAND.tokens
            if used > self._kv_capacities[stage.target]:
                return False
        self._add_load(chain, 1)
        return True

    def end_stream(self, chain: chains.Chain) -> None:
        """Ends a stream and releases its load."""
        self._add_load(chain, -1)

    def _add_load(self, chain: chains.Chain, sign: int) -> None:
        for stage in chain.stages:
            load = self._loads[stage.target]
            load.streams += sign
            load.tokens += sign * _DEMAND.tokens

    def token_ms(self, chain: chains.Chain, zone: ids.ZoneId) -> float:
        """Returns the time of a token under the actual load."""
        total = 0.0
        for stage in chain.stages:
            total += _HOP_MS
            total += enginecosts.step_time_ms(
                self.model,
                self._kinds[stage.target],
                stage.layers.size,
                self._loads[stage.target],
            )
        return total + _CROSS_ZONE_HOP_MS * count_cross_zone_hops(chain, zone)


def count_cross_zone_hops(chain: chains.Chain, zone: ids.ZoneId) -> int:
    """Returns the cross-zone hops of a chain, from an instance's zone on."""
    count = 0
    for stage in chain.stages:
        count += stage.zone != zone
        zone = stage.zone
    return count


def _make_target(engine: placement.EngineInfo) -> targetstate.Target:
    entry = sources.TargetEntry(
        id=engine.id,
        service=_SERVICE,
        address=f"{engine.id}:1",
        zone=engine.zone,
        state=sources.TargetState.READY,
        kind=engine.kind,
        layers=engine.layers,
    )
    return targetstate.Target(entry, 0.0)


class _Simulation:
    """Simulation of one strategy under a load."""

    def __init__(self, name: str, fleet: _Fleet, instances: int, zones: int):
        self._name = name
        self._fleet = fleet
        self._tables = [loads.LoadTable() for _ in range(instances)]
        self._zones = [
            ids.ZoneId(f"z{number % zones}") for number in range(instances)
        ]
        self._sequence = itertools.count()
        # Time of the end, a number that breaks ties, instance and chain.
        self._ends: list[tuple[float, int, int, chains.Chain]] = []
        self._streams = 0
        self._refused = 0
        self._cross_zone_hops = 0
        self._tokens_ms: list[float] = []

    def run(self, per_s: float, seconds: float, seed: int) -> ChoiceRow:
        """Simulates the load and returns the results."""
        rng = random.Random(seed)
        choosers = []
        for number, table in enumerate(self._tables):
            instance_rng = random.Random(f"{seed} {number}")
            chooser = CHOOSERS[self._name](
                table, self._zones[number], instance_rng
            )
            choosers.append(chooser)
        now_s = last_gossip_s = 0.0
        while now_s < seconds:
            now_s += rng.expovariate(per_s)
            self._end_streams(now_s)
            if now_s - last_gossip_s >= _GOSSIP_INTERVAL_S:
                last_gossip_s = now_s
                _exchange_loads(self._tables)
            number = rng.randrange(len(choosers))
            chain = choosers[number].choose(
                self._fleet.model, self._fleet.targets
            )
            self._start_stream(number, chain, now_s)
        return self._make_row()

    def _end_streams(self, now_s: float) -> None:
        while self._ends and self._ends[0][0] <= now_s:
            _, _, number, chain = heapq.heappop(self._ends)
            self._tables[number].release(chain.target_ids(), _DEMAND.tokens)
            self._fleet.end_stream(chain)

    def _start_stream(
        self, number: int, chain: chains.Chain | None, now_s: float
    ) -> None:
        self._streams += 1
        if chain is None or not self._fleet.start_stream(chain):
            self._refused += 1
            return
        zone = self._zones[number]
        self._tables[number].reserve(chain.target_ids(), _DEMAND.tokens)
        token_ms = self._fleet.token_ms(chain, zone)
        self._tokens_ms.append(token_ms)
        self._cross_zone_hops += count_cross_zone_hops(chain, zone)
        end_s = now_s + token_ms * _DEMAND.answer / 1000
        heapq.heappush(self._ends, (end_s, next(self._sequence), number, chain))

    def _make_row(self) -> ChoiceRow:
        tokens_ms = sorted(self._tokens_ms)
        served = max(1, len(tokens_ms))
        late = 0
        for token_ms in tokens_ms:
            late += token_ms * _TOKENS_PER_EVENT > _MAX_EVENT_GAP_MS
        return ChoiceRow(
            self._name,
            self._streams,
            round(self._refused / self._streams, 3),
            round(late / served, 3),
            round(tokens_ms[int(served * 0.5)], 1) if tokens_ms else 0.0,
            round(tokens_ms[int(served * 0.95)], 1) if tokens_ms else 0.0,
            round(self._cross_zone_hops / served, 2),
        )


def _exchange_loads(tables: list[loads.LoadTable]) -> None:
    reports = [table.own() for table in tables]
    for number, table in enumerate(tables):
        for other, report in enumerate(reports):
            if other != number:
                table.merge(ids.InstanceId(f"i{other}"), report)


def run(
    engines: int,
    instances: int,
    zones: int,
    per_s: float,
    seconds: float,
    seed: int,
) -> list[ChoiceRow]:
    """Returns a row for each strategy, under the same load."""
    model = placements.layout()
    results = []
    for name in CHOOSERS:
        fleet = _Fleet(model, engines, zones, seed)
        simulation = _Simulation(name, fleet, instances, zones)
        results.append(simulation.run(per_s, seconds, seed))
    return results
