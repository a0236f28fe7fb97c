"""Slots of heads in the choice of chains and of layers, without a network."""

import collections
import heapq
import itertools
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest

from briarfall import ids
from briarfall.gateway.catalogue import sources
from briarfall.gateway.catalogue import views
from briarfall.gateway.forwarding import plainexchanges
from briarfall.gateway.gossip import peermessages
from briarfall.gateway.placement import chains
from briarfall.gateway.placement import headslots
from briarfall.gateway.placement import paths
from briarfall.gateway.placement import placement
from briarfall.gateway.targets import loads
from briarfall.gateway.targets import targetstate
from briarfall.platform import manifest

SLOTS = 32
MODEL = views.ModelLayout(
    layers=40,
    layer_mb=1000.0,
    kv_bytes=100_000,
    step_ms=1.0,
    sequence_ms=0.001,
    context_ms=0.001,
    prefill_tokens_per_s=100_000,
    slots=SLOTS,
    mean_prompt_tokens=800,
    mean_answer_tokens=200,
    activation_bytes=40_000,
    inter_zone_mbps=10_000,
    load_s=14.0,
    max_parallel_loads=5,
    kinds={
        "quick": views.HardwareKind(40_000, 2.0, 2.0),
        "usual": views.HardwareKind(40_000, 6.0, 3.0),
        "slow": views.HardwareKind(40_000, 12.0, 6.0),
    },
)
UNTOLD = msgspec.structs.replace(MODEL, slots=None)
DEMAND = chains.Demand(800, 200)
_FIRST = (0, 10)
_LATER = (10, 40)
# Time of a request of mean size, and spread of the times about it.
_HOLD_S = 4.0
_HOLD_SPREAD = 0.5


def engine(name, zone="z1", kind="usual", layers=_FIRST):
    entry = sources.TargetEntry(
        id=ids.TargetId(name),
        service=views.ServiceName("pool"),
        address=f"{name}:1",
        zone=ids.ZoneId(zone),
        state=sources.TargetState.READY,
        kind=kind,
        layers=sources.LayerRange(*layers),
    )
    return targetstate.Target(entry, 0.0)


def zone_engines(zone, kinds, later=8):
    """Returns a zone with a head of each kind, and engines of later layers."""
    found = []
    for number, kind in enumerate(kinds):
        found.append(engine(f"{zone}-head{number}", zone, kind))
    for number in range(later):
        found.append(engine(f"{zone}-later{number}", zone, "usual", _LATER))
    return found


def finder(table, zone="z1", seed=5):
    return paths.ChainFinder(table, ids.ZoneId(zone), random.Random(seed))


def find(table, engines, seed=5, model=MODEL, noise=paths.NOISE, **extra):
    chosen = finder(table, seed=seed).find(
        model, engines, DEMAND, noise=noise, **extra
    )
    assert chosen is not None
    return chosen


def filled(heads):
    """Returns loads with requests of chains that begin at each head."""
    table = loads.LoadTable()
    for name, count in heads.items():
        for _ in range(count):
            table.reserve([ids.TargetId(name)], 1000)
    return table


class TestWait:
    @given(st.integers(0, 500), st.integers(0, 200))
    @settings(derandomize=True)
    def test_grows_with_the_requests(self, heads, slots):
        wait_ms = headslots.wait_ms(heads, slots)
        assert 0 <= wait_ms <= headslots.wait_ms(heads + 1, slots)

    @given(st.integers(1, 500))
    @settings(derandomize=True)
    def test_is_none_below_the_free_share(self, slots):
        assert headslots.wait_ms(0, slots) == 0
        assert headslots.wait_ms(max(0, int(slots * 0.8) - 1), slots) == 0
        assert headslots.wait_ms(slots, slots) > 0

    @given(st.integers(0, 10**6), st.integers(-5, 0))
    @settings(derandomize=True)
    def test_is_none_if_no_slots_are_known(self, heads, slots):
        assert headslots.wait_ms(heads, slots) == 0
        assert headslots.charge_ms(heads, slots, random.Random(1)) == 0
        assert headslots.wait_ms(heads, None) == 0
        assert headslots.charge_ms(heads, None, random.Random(1)) == 0

    @given(st.integers(0, 300), st.integers(1, 200), st.integers(0, 9))
    @settings(derandomize=True)
    def test_estimates_are_never_below_it(self, heads, slots, seed):
        wait_ms = headslots.wait_ms(heads, slots)
        estimate_ms = headslots.charge_ms(heads, slots, random.Random(seed))
        assert estimate_ms >= wait_ms
        assert headslots.charge_ms(heads, slots, None) == wait_ms
        if heads < slots / 2:
            assert estimate_ms == 0


class TestLoads:
    def test_only_the_first_engine_takes_a_slot(self):
        table = loads.LoadTable()
        chain = [ids.TargetId("a"), ids.TargetId("b")]
        table.reserve(chain, 1000)
        table.reserve(chain[1:], 1000)
        assert table.of(chain[0]) == loads.Load(1, 1000, heads=1)
        assert table.of(chain[1]) == loads.Load(2, 2000, heads=1)
        assert table.own()[chain[1]] == loads.Load(2, 2000, heads=1)
        table.release(chain, 1000)
        assert table.of(chain[0]) == loads.Load()
        assert table.of(chain[1]) == loads.Load(1, 1000, heads=1)

    def test_heads_of_others_are_added(self):
        table = loads.LoadTable()
        target = ids.TargetId("a")
        table.reserve([target], 10)
        table.merge(ids.InstanceId("i2"), {target: loads.Load(5, 50, 3)})
        assert table.of(target) == loads.Load(6, 60, heads=4)
        table.merge(ids.InstanceId("i2"), {})
        assert table.of(target) == loads.Load(1, 10, heads=1)

    def test_plain_calls_take_back_all_that_they_add(self):
        table = filled({"a": 1})
        row = engine("a")
        exchange = plainexchanges.TargetExchange(
            row, _Connection(), table, None
        )
        exchange.record_passing()
        exchange.abandon()
        assert table.of(row.id) == loads.Load(1, 1000, heads=1)

    def test_rows_of_earlier_and_later_builds_are_readable(self):
        row = peermessages.LoadRow(ids.TargetId("a"), 5, 50, 3)
        encoded = msgspec.msgpack.encode(row)
        assert msgspec.msgpack.decode(encoded, type=_EarlierRow) == (
            _EarlierRow("a", 5, 50)
        )
        earlier = msgspec.msgpack.encode(_EarlierRow("a", 5, 50))
        found = msgspec.msgpack.decode(earlier, type=peermessages.LoadRow)
        assert found.heads == -1


class _Connection:
    """A connection that can only be closed."""

    def close(self):
        pass


class _EarlierRow(msgspec.Struct, array_like=True, frozen=True):
    """The row of a load in builds that don't count heads."""

    target: str
    streams: int
    tokens: int


class TestChoice:
    def zones(self):
        return [
            *zone_engines("z1", ["quick", "quick"]),
            *zone_engines("z2", ["usual", "usual"]),
        ]

    @pytest.mark.parametrize("seed", range(20))
    def test_begins_in_another_zone_before_a_queue_grows(self, seed):
        """Two heads and demand for three, with loads that are known."""
        table = loads.LoadTable()
        engines = self.zones()
        chooser = finder(table, seed=seed)
        counts = collections.Counter()
        for _ in range(3 * SLOTS):
            chain = chooser.find(MODEL, engines, DEMAND, noise=paths.NOISE)
            assert len({stage.zone for stage in chain.stages}) == 1
            table.reserve(chain.target_ids(), 1000)
            counts[chain.head.target] += 1
        assert max(counts.values()) <= SLOTS
        own = counts["z1-head0"] + counts["z1-head1"]
        # The zone's own slots are used first.
        assert own > SLOTS

    @pytest.mark.parametrize("seed", range(20))
    def test_chooses_as_before_if_slots_are_free(self, seed):
        engines = self.zones()
        table = filled({"z1-head0": SLOTS // 2 - 1, "z1-head1": 3})
        chain = find(table, engines, seed)
        assert chain == find(table, engines, seed, UNTOLD)
        assert chain.head.zone == "z1"

    def test_uses_a_full_head_if_there_is_no_other(self):
        engines = zone_engines("z1", ["quick"])
        table = filled({"z1-head0": 5 * SLOTS})
        assert find(table, engines).head.target == "z1-head0"

    def test_uses_the_least_full_of_full_heads(self):
        engines = zone_engines("z1", ["usual", "usual"])
        table = filled({"z1-head0": 5 * SLOTS, "z1-head1": 2 * SLOTS})
        for seed in range(20):
            assert find(table, engines, seed).head.target == "z1-head1"

    def test_requests_of_later_layers_take_no_slot(self):
        """An engine with most layers runs later ones of many chains."""
        wide = engine("wide", kind="quick", layers=(0, 30))
        table = loads.LoadTable()
        for _ in range(2 * SLOTS):
            table.reserve([ids.TargetId("other"), wide.id], 1000)
        engines = [wide, *zone_engines("z1", ["slow"])]
        assert find(table, engines).head.target == "wide"

    def test_parts_of_a_running_chain_are_chosen_as_before(self):
        engines = [
            engine("full", kind="quick"),
            engine("free", kind="usual"),
        ]
        table = filled({"full": 5 * SLOTS})
        extra = {
            "layers": sources.LayerRange(*_FIRST),
            "zone": ids.ZoneId("z1"),
        }
        for seed in range(20):
            chain = find(table, engines, seed, **extra)
            assert chain == find(table, engines, seed, UNTOLD, **extra)
            assert chain.head.target == "full"

    def test_a_head_with_one_slot_is_free_while_it_runs_nothing(self):
        model = msgspec.structs.replace(MODEL, slots=1)
        engines = zone_engines("z1", ["usual", "usual"])
        free = find(loads.LoadTable(), engines, model=model, noise=0.0)
        before = find(loads.LoadTable(), engines, model=UNTOLD, noise=0.0)
        assert free.cost_ms == before.cost_ms
        table = filled({"z1-head0": 1})
        for seed in range(20):
            chain = find(table, engines, seed, model)
            assert chain.head.target == "z1-head1"


class _Play:
    """Requests that many instances begin, by loads that are some time old.

    Each instance reports its own requests at intervals, at its own times. A
    request that finds the slots of its head taken waits there.

    Args:
        instances: Number of instances, spread evenly over the zones.
        zones: Engines by zone.
        lag_s: Time between two reports of an instance.
        seed: Seed of the arrivals and choices.
        model: Layout of the model.
    """

    def __init__(self, instances, zones, lag_s, seed, model=MODEL):
        self._rng = random.Random(seed)
        self._model = model
        self._lag_s = lag_s
        self._engines = list(itertools.chain(*zones.values()))
        self._tables = [loads.LoadTable() for _ in range(instances)]
        self._finders = []
        names = list(zones)
        for number, table in enumerate(self._tables):
            zone = names[number % len(names)]
            self._finders.append(finder(table, zone, f"{seed} {number}"))
        self._reports_s = [self._rng.random() * lag_s for _ in self._tables]
        self._ends = []
        self.running = collections.Counter()
        self.begun = collections.Counter()
        self.waiting = 0
        self.heads = []
        for row in self._engines:
            if row.entry.layers.first == 0:
                self.heads.append(row.id)

    def run(self, per_s, seconds):
        now_s = 0.0
        number = itertools.count()
        while now_s < seconds:
            now_s += self._rng.expovariate(per_s)
            self._end_requests(now_s)
            self._report_loads(now_s)
            index = self._rng.randrange(len(self._tables))
            chain = self._finders[index].find(
                self._model, self._engines, DEMAND, noise=paths.NOISE
            )
            assert chain is not None
            self._tables[index].reserve(chain.target_ids(), DEMAND.tokens)
            head = chain.head.target
            self.running[head] += 1
            self.begun[head] += 1
            self.waiting += self.running[head] > SLOTS
            hold_s = _HOLD_S * self._rng.uniform(
                1 - _HOLD_SPREAD, 1 + _HOLD_SPREAD
            )
            end = (now_s + hold_s, next(number), index, chain)
            heapq.heappush(self._ends, end)

    @property
    def busiest(self):
        """Requests of the busiest head as a multiple of the mean."""
        mean = sum(self.begun.values()) / len(self.heads)
        return max(self.begun.values()) / mean

    @property
    def late(self):
        """Share of the requests that found no free slot."""
        return self.waiting / sum(self.begun.values())

    def _end_requests(self, now_s):
        while self._ends and self._ends[0][0] <= now_s:
            _, _, index, chain = heapq.heappop(self._ends)
            self._tables[index].release(chain.target_ids(), DEMAND.tokens)
            self.running[chain.head.target] -= 1

    def _report_loads(self, now_s):
        for index, due_s in enumerate(self._reports_s):
            if due_s > now_s:
                continue
            self._reports_s[index] += self._lag_s
            own = self._tables[index].own()
            for other, table in enumerate(self._tables):
                if other != index:
                    table.merge(ids.InstanceId(f"i{index}"), own)


class TestManyInstances:
    """60 instances, three zones with a quick head and five usual ones each."""

    def play(self, lag_s, seed, model=MODEL):
        zones = {}
        for zone in ("z1", "z2", "z3"):
            zones[zone] = zone_engines(zone, ["quick"] + ["usual"] * 5)
        row = _Play(60, zones, lag_s, seed, model)
        # Half of all slots are taken on average.
        row.run(per_s=18 * SLOTS / 2 / _HOLD_S, seconds=10.0)
        return row

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_nobody_herds_on_the_quickest_by_loads_that_are_1_s_old(self, seed):
        row = self.play(1.0, seed)
        # A head with all slots taken has twice the mean.
        assert row.busiest <= 2.0
        assert row.late <= 0.05

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_almost_nobody_waits_by_loads_that_are_250_ms_old(self, seed):
        row = self.play(0.25, seed)
        assert row.busiest <= 2.0
        assert row.late <= 0.01

    def test_all_wait_at_the_quickest_if_no_slots_are_known(self):
        """The play has the fault that the charge answers."""
        row = self.play(0.25, 1, UNTOLD)
        assert row.busiest > 3.0
        assert row.late > 0.5


class TestPlacement:
    def test_capacity_beyond_the_slots_counts_in_part(self):
        model = msgspec.structs.replace(MODEL, slots=4)
        assert headslots.usable_capacity(model, 3000.0) == 3000.0
        assert headslots.usable_capacity(model, 5000.0) == 4000.0
        assert headslots.usable_capacity(model, 10_000.0) == 6000.0
        assert headslots.usable_capacity(UNTOLD, 10_000.0) == 10_000.0
        none = msgspec.structs.replace(MODEL, slots=0)
        assert headslots.usable_capacity(none, 10_000.0) == 10_000.0

    def engines(self, count=40):
        return [
            placement.EngineInfo(
                ids.TargetId(f"e{number}"), ids.ZoneId("z1"), "usual"
            )
            for number in range(count)
        ]

    def heads(self, model):
        rows = placement.Plan(model, self.engines()).assign_all(self.engines())
        return sum(layers.first == 0 for layers in rows.values())

    def test_more_engines_get_the_first_layers_if_slots_are_few(self):
        few = msgspec.structs.replace(MODEL, slots=4)
        assert self.heads(few) > self.heads(UNTOLD)

    def test_placed_as_before_if_slots_are_many(self):
        many = msgspec.structs.replace(MODEL, slots=10**6)
        engines = self.engines()
        assert placement.Plan(many, engines).assign_all(engines) == (
            placement.Plan(UNTOLD, engines).assign_all(engines)
        )

    def test_a_configuration_without_slots_limits_nothing(self):
        raw = b'{"version": 1, "routes": [], "services": [{"name": "pool", '
        raw += b'"engine": {"layers": 8, "layer_mb": 1}}]}'
        model = manifest.parse(raw).services[views.ServiceName("pool")].model
        assert model.slots is None
