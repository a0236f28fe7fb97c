"""Engines that are slow, found by the pace of streams."""

import random

import pytest

from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway import loads
from briarfall.gateway import paces
from briarfall.gateway import paths
from briarfall.gateway import sources
from tests import test_gateway_decisions

ENGINES = [f"e{number}" for number in range(12)]


@pytest.fixture
def clock(monkeypatch):
    class _Clock:
        now_s = 1000.0

    monkeypatch.setattr(clocks, "boot_s", lambda: _Clock.now_s)
    return _Clock


def chain(*names):
    """Returns a chain over some engines that are alike."""
    parts = []
    for number, name in enumerate(names):
        layers = sources.LayerRange(number * 8, number * 8 + 8)
        parts.append(paths.Part(ids.TargetId(name), name, "z", layers, 1.0))
    return paths.Chain(tuple(parts), 0.0)


class TestPaceTable:
    def play(self, clock, table, slow, seconds=3.0, tell=None):
        """Plays streams over chains of three engines."""
        rng = random.Random(7)
        end_s = clock.now_s + seconds
        while clock.now_s < end_s:
            clock.now_s += 0.02
            names = rng.sample(ENGINES, 3)
            pause_s = 0.24 if slow & set(names) else 0.04
            table.note(chain(*names), pause_s)

    def test_only_the_engine_that_all_slow_streams_share_is_slow(self, clock):
        table = paces.PaceTable()
        self.play(clock, table, set())
        assert table.factors() == {}
        self.play(clock, table, {"e3", "e7"})
        assert set(table.factors()) == {"e3", "e7"}

    def test_engine_that_recovers_is_cleared_by_one_fast_stream(self, clock):
        table = paces.PaceTable()
        self.play(clock, table, {"e3"})
        table.note(chain("e3", "e4", "e5"), 0.04)
        clock.now_s += 0.2
        assert table.factors() == {}

    def test_overload_makes_no_engine_slow(self, clock):
        table = paces.PaceTable()
        self.play(clock, table, set())
        self.play(clock, table, set(ENGINES))
        assert table.factors() == {}

    def test_others_tell_and_own_fast_streams_count_more(self, clock):
        table = paces.PaceTable()
        self.play(clock, table, set())
        clock.now_s += 5.0
        table.note(chain("e0", "e1", "e2", "e4"), 0.04)
        table.take([paces.SlowTarget("e3", 600), paces.SlowTarget("e0", 600)])
        assert table.factors() == {"e3": 6.0}
        assert table.told() == []
        clock.now_s += 2.0
        assert table.factors() == {}


class TestPathsAvoidSlowEngines:
    def test_slow_engine_is_passed_only_if_no_other_holds_its_layers(self):
        engines = []
        for copy in ("a", "b"):
            for block in range(10):
                name = f"{copy}{block}"
                layers = (block * 8, block * 8 + 8)
                engines.append(
                    test_gateway_decisions.target(name, layers=layers)
                )
        model = test_gateway_decisions.MODEL
        demand = paths.Demand(700, 200)
        for seed in range(30):
            finder = paths.PathFinder(
                loads.LoadTable(), ids.ZoneId("z1"), random.Random(seed)
            )
            found = finder.find(
                model, engines, demand, noise=paths.NOISE, slow={"a4": 6.0}
            )
            assert "a4" not in found.target_ids()
            rest = [row for row in engines if row.id != "b4"]
            found = finder.find(
                model, rest, demand, noise=paths.NOISE, slow={"a4": 6.0}
            )
            assert "a4" in found.target_ids()
