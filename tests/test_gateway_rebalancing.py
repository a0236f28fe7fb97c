"""Reassignment of engines to layers that their zone has lost."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec

from briarfall import ids
from briarfall.bench import placements
from briarfall.gateway.catalogue import sources
from briarfall.gateway.catalogue import views
from briarfall.gateway.placement import enginecosts
from briarfall.gateway.placement import placement
from briarfall.gateway.placement import rebalancing
from briarfall.gateway.targets import loads
from briarfall.standins.prepared import testbed

MODEL = placements.layout()
BLOCKS = placement.choose_blocks(MODEL, []).count
# More reassignments per engine would mean that engines alternate between layer
# ranges.
MAX_MOVES_PER_ENGINE = 3


def placed_fleet(engines, zones, seed):
    rows = placements.fleet(engines, zones, random.Random(seed))
    return placements.by_scarcity(MODEL, rows, random.Random(seed))


def gaps(rows, zone):
    """Returns the blocks that no engine of a zone holds."""
    borders = placement.choose_blocks(MODEL, []).borders
    missing = []
    for block in range(BLOCKS):
        span = sources.LayerRange(borders[block], borders[block + 1])
        held = [
            row
            for row in rows
            if row.zone == zone and row.layers.contains(span)
        ]
        if not held:
            missing.append(block)
    return missing


def idle(_):
    return loads.Load()


def after_moves(rows):
    """Returns the engines after all reassignments, and their number."""
    rows = list(rows)
    count = 0
    while True:
        move = rebalancing.next_reassignment(MODEL, rows, frozenset(), idle)
        if move is None or count > MAX_MOVES_PER_ENGINE * len(rows):
            return rows, count
        count += 1
        index = rows.index(move.engine)
        rows[index] = msgspec.structs.replace(move.engine, layers=move.layers)


class TestReassignments:
    def test_layers_of_lost_engines_are_covered_again(self):
        rows = placed_fleet(33, 3, 1)
        zone = ids.ZoneId("z0")
        lost = sources.LayerRange(32, 40)
        left = [
            row
            for row in rows
            if row.zone != zone or not row.layers.contains(lost)
        ]
        assert gaps(left, zone)
        moved, count = after_moves(left)
        assert gaps(moved, zone) == []
        assert count <= 4

    @given(
        seed=st.integers(0, 1000),
        engines=st.integers(3, 90),
        lost=st.floats(0.0, 0.8),
    )
    @settings(max_examples=60, deadline=None, derandomize=True)
    def test_moves_end_and_never_open_a_gap(self, seed, engines, lost):
        rng = random.Random(seed)
        rows = [
            row
            for row in placed_fleet(engines, 3, seed)
            if rng.random() >= lost
        ]
        zones = {row.zone for row in rows}
        before = {zone: len(gaps(rows, zone)) for zone in zones}
        moved, count = after_moves(rows)
        assert count <= MAX_MOVES_PER_ENGINE * len(rows)
        for zone in zones:
            assert len(gaps(moved, zone)) <= before[zone]
        for row in moved:
            assert enginecosts.kv_capacity(MODEL, row.kind, row.layers) > 0

    def test_zone_with_enough_engines_has_no_uncovered_layers(self):
        for seed in range(30):
            rng = random.Random(seed)
            rows = [
                row for row in placed_fleet(90, 3, seed) if rng.random() < 0.6
            ]
            moved, _ = after_moves(rows)
            for zone in {row.zone for row in rows}:
                assert gaps(moved, zone) == [], seed

    def test_planned_fleet_needs_almost_no_reassignment(self):
        for seed in range(20):
            rows = placed_fleet(86, 3, seed)
            assert after_moves(rows)[1] <= 2, seed

    def test_least_loaded_of_equal_engines_is_reassigned(self):
        borders = placement.choose_blocks(MODEL, []).borders
        rows = []
        for block in range(BLOCKS):
            span = sources.LayerRange(borders[block], borders[block + 1])
            copies = 3 if block == 0 else int(block != 5)
            for copy in range(copies):
                rows.append(
                    placement.EngineInfo(
                        ids.TargetId(f"e{block}-{copy}"),
                        ids.ZoneId("z"),
                        "small",
                        span,
                    )
                )
        streams = {"e0-0": 7, "e0-1": 1, "e0-2": 4}
        move = rebalancing.next_reassignment(
            MODEL,
            rows,
            frozenset(),
            lambda target: loads.Load(streams.get(target, 9)),
        )
        assert move.engine.id == "e0-1"
        assert move.layers == sources.LayerRange(borders[5], borders[6])
        move = rebalancing.next_reassignment(
            MODEL,
            rows,
            frozenset([ids.TargetId("e0-1")]),
            lambda target: loads.Load(streams.get(target, 9)),
        )
        assert move.engine.id == "e0-2"


class TestSmallZones:
    def test_small_zone_covers_all_layers_with_more_on_each_engine(self):
        rows = []
        for number in range(8):
            rows.append(
                placement.EngineInfo(
                    ids.TargetId(f"m{number}"), ids.ZoneId("z"), "medium"
                )
            )
        usual = placement.choose_blocks(MODEL, []).usual_count("medium")
        few = rows[: BLOCKS // usual]
        for count in range(len(few), len(rows)):
            engines = rows[:count]
            plan = placement.Plan(MODEL, engines)
            ranges = plan.assign_all(engines)
            assert min(plan.cover(ids.ZoneId("z"))) > 0
            for layers in ranges.values():
                capacity = enginecosts.kv_capacity(MODEL, "medium", layers)
                assert capacity > 0

    def test_zone_holds_enough_layers_to_lose_one_engine(self):
        kinds = {
            "a": MODEL.kinds["large"],
            "b": MODEL.kinds["medium"],
        }
        model = msgspec.structs.replace(MODEL, kv_bytes=426_000.0, kinds=kinds)
        rows = []
        for number in range(6):
            rows.append(
                placement.EngineInfo(
                    ids.TargetId(f"b{number}"), ids.ZoneId("z"), "b"
                )
            )
        ranges = placement.Plan(model, rows).assign_all(rows)
        held = sum(layers.size for layers in ranges.values())
        assert held >= model.layers + max(
            placement.choose_blocks(model, []).borders[1], 1
        )


class TestPlacementController:
    def test_lost_layers_are_loaded_by_an_engine_of_the_zone(self, world):
        for number in range(4):
            world.engine(f"e{number}")
        world.instance()
        world.wait_for_layers()
        by_layers = {}
        for engine in list(world.fleet.values()):
            by_layers.setdefault(engine.layers, []).append(engine)
        assert sorted(by_layers) == [(0, 4), (4, 8)]
        for engine in by_layers[4, 8]:
            engine.close()
            engine.remove()
        table = world.instances[0].targets

        def held():
            rows = table.of_service(views.ServiceName("pool"))
            return sorted(row.entry.layers for row in rows)

        wanted = [sources.LayerRange(0, 4), sources.LayerRange(4, 8)]
        testbed.until(lambda: held() == wanted, "the lost layers are loaded")
        answer = testbed.call(
            world.instances[0], "/drafts/x", method="POST", request_id="s1"
        )
        assert answer.status == 200
