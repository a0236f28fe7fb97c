"""Compares ways to choose chains, on a simulated fleet under one load.

Each instance counts its own streams at once and hears of the others' at
intervals, as over datagrams. Time is simulated; a stream lasts as long as the
true load of its engines at its start makes it last.
"""

import abc
import heapq
import itertools
import random

import msgspec

from briarfall import ids
from briarfall.bench import placements
from briarfall.gateway import loads
from briarfall.gateway import paths
from briarfall.gateway import placement
from briarfall.gateway import sources
from briarfall.gateway import targetstate
from briarfall.gateway import views

_SERVICE = views.ServiceName("pool")
_TELL_S = 0.25
_DEMAND = paths.Demand(750, 200)
_HOP_MS = 0.3
_CROSSING_MS = 0.75
_TOKENS_PER_EVENT = 5
_LONGEST_PAUSE_MS = 200.0


class ChoiceRow(msgspec.Struct):
    """What a way to choose chains brings.

    Attributes:
        choice: Its name.
        streams: Streams that were asked for.
        refused: Share that found no room, at the instance or at an engine.
        late: Share whose events come further apart than the longest pause.
        token_ms_p50: Time of a token.
        token_ms_p95: The same for the slowest twentieth.
        crossings: Steps to another zone for each stream.
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
        self, model: views.ModelLayout, rows: list[targetstate.Target]
    ) -> paths.Chain | None:
        """Returns a chain, or None if it knows of none with room."""


class GatewayChooser(Chooser):
    """The gateway's choice: expected time, loads of all, some noise."""

    noise = paths.NOISE

    def __init__(self, table, zone, rng):
        super().__init__(table, zone, rng)
        self._finder = paths.ChainFinder(table, zone, rng)

    def choose(self, model, rows):
        """Returns the cheapest chain."""
        return self._finder.find(model, rows, _DEMAND, noise=self.noise)


class CheapestChooser(GatewayChooser):
    """The same without noise: instances that know the same choose alike."""

    noise = 0.0


class RandomChooser(Chooser):
    """Any engine that holds the next layer, its own zone first."""

    def choose(self, model, rows):
        """Returns a chain that may have no room."""
        parts = []
        edge = 0
        while edge < model.layers:
            holders = [
                row
                for row in rows
                if row.entry.layers.first <= edge < row.entry.layers.end
            ]
            near = [row for row in holders if row.entry.zone == self._zone]
            if not holders:
                return None
            entry = self._rng.choice(near or holders).entry
            layers = sources.LayerRange(edge, entry.layers.end)
            parts.append(
                paths.Stage(entry.id, entry.address, entry.zone, layers)
            )
            edge = entry.layers.end
        return paths.Chain(tuple(parts), 0.0)


CHOOSERS: dict[str, type[Chooser]] = {
    "gateway": GatewayChooser,
    "cheapest, without noise": CheapestChooser,
    "random in the zone": RandomChooser,
}


class _Fleet:
    """The engines with their true load."""

    def __init__(
        self, model: views.ModelLayout, engines: int, zones: int, seed
    ):
        rng = random.Random(seed)
        self.model = model
        slots = placements.fleet(engines, zones, rng)
        placed = placements.by_scarcity(model, slots, rng)
        self.rows = [_target(slot) for slot in placed]
        self._kinds = {row.id: row.entry.kind for row in self.rows}
        self._rooms = {}
        for row in self.rows:
            self._rooms[row.id] = paths.kv_capacity(
                model, row.entry.kind, row.entry.layers
            )
        self._loads = {row.id: loads.Load() for row in self.rows}

    def begin(self, chain: paths.Chain) -> bool:
        """Takes a stream in, unless an engine has no room."""
        for part in chain.stages:
            used = self._loads[part.target].tokens + _DEMAND.tokens
            if used > self._rooms[part.target]:
                return False
        self._change(chain, 1)
        return True

    def end(self, chain: paths.Chain) -> None:
        """Takes a stream out."""
        self._change(chain, -1)

    def _change(self, chain: paths.Chain, sign: int) -> None:
        for part in chain.stages:
            load = self._loads[part.target]
            load.streams += sign
            load.tokens += sign * _DEMAND.tokens

    def token_ms(self, chain: paths.Chain, zone: ids.ZoneId) -> float:
        """Returns the time of a token under the true load."""
        total = 0.0
        for part in chain.stages:
            total += _HOP_MS
            total += paths.step_time_ms(
                self.model,
                self._kinds[part.target],
                part.layers.size,
                self._loads[part.target],
            )
        return total + _CROSSING_MS * crossings(chain, zone)


def crossings(chain: paths.Chain, zone: ids.ZoneId) -> int:
    """Returns how often a chain changes its zone."""
    count = 0
    for part in chain.stages:
        count += part.zone != zone
        zone = part.zone
    return count


def _target(slot: placement.EngineInfo) -> targetstate.Target:
    entry = sources.TargetEntry(
        id=slot.id,
        service=_SERVICE,
        address=f"{slot.id}:1",
        zone=slot.zone,
        state=sources.TargetState.READY,
        kind=slot.kind,
        layers=slot.layers,
    )
    return targetstate.Target(entry, 0.0)


class _Play:
    """One way to choose chains, under a load."""

    def __init__(self, name: str, fleet: _Fleet, instances: int, zones: int):
        self._name = name
        self._fleet = fleet
        self._tables = [loads.LoadTable() for _ in range(instances)]
        self._homes = [
            ids.ZoneId(f"z{number % zones}") for number in range(instances)
        ]
        self._order = itertools.count()
        # Time of the end, a number to order equals, instance and chain.
        self._ends: list[tuple[float, int, int, paths.Chain]] = []
        self._streams = 0
        self._refused = 0
        self._crossings = 0
        self._tokens_ms: list[float] = []

    def run(self, per_s: float, seconds: float, seed: int) -> ChoiceRow:
        """Plays the load and returns what it brought."""
        rng = random.Random(seed)
        choosers = []
        for number, table in enumerate(self._tables):
            own = random.Random(f"{seed} {number}")
            chooser = CHOOSERS[self._name](table, self._homes[number], own)
            choosers.append(chooser)
        now_s = told_s = 0.0
        while now_s < seconds:
            now_s += rng.expovariate(per_s)
            self._end_until(now_s)
            if now_s - told_s >= _TELL_S:
                told_s = now_s
                _tell(self._tables)
            number = rng.randrange(len(choosers))
            chain = choosers[number].choose(self._fleet.model, self._fleet.rows)
            self._begin(number, chain, now_s)
        return self._row()

    def _end_until(self, now_s: float) -> None:
        while self._ends and self._ends[0][0] <= now_s:
            _, _, number, chain = heapq.heappop(self._ends)
            self._tables[number].release(chain.target_ids(), _DEMAND.tokens)
            self._fleet.end(chain)

    def _begin(
        self, number: int, chain: paths.Chain | None, now_s: float
    ) -> None:
        self._streams += 1
        if chain is None or not self._fleet.begin(chain):
            self._refused += 1
            return
        home = self._homes[number]
        self._tables[number].reserve(chain.target_ids(), _DEMAND.tokens)
        token_ms = self._fleet.token_ms(chain, home)
        self._tokens_ms.append(token_ms)
        self._crossings += crossings(chain, home)
        end_s = now_s + token_ms * _DEMAND.answer / 1000
        heapq.heappush(self._ends, (end_s, next(self._order), number, chain))

    def _row(self) -> ChoiceRow:
        tokens_ms = sorted(self._tokens_ms)
        served = max(1, len(tokens_ms))
        late = 0
        for token_ms in tokens_ms:
            late += token_ms * _TOKENS_PER_EVENT > _LONGEST_PAUSE_MS
        return ChoiceRow(
            self._name,
            self._streams,
            round(self._refused / self._streams, 3),
            round(late / served, 3),
            round(tokens_ms[int(served * 0.5)], 1) if tokens_ms else 0.0,
            round(tokens_ms[int(served * 0.95)], 1) if tokens_ms else 0.0,
            round(self._crossings / served, 2),
        )


def _tell(tables: list[loads.LoadTable]) -> None:
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
    """Returns a row for each way to choose chains under the same load."""
    model = placements.layout()
    rows = []
    for name in CHOOSERS:
        fleet = _Fleet(model, engines, zones, seed)
        play = _Play(name, fleet, instances, zones)
        rows.append(play.run(per_s, seconds, seed))
    return rows
