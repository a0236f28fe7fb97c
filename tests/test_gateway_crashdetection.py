"""Crashes of targets and lost responses, told apart without a network."""

import pytest

from briarfall.gateway import clocks
from briarfall.gateway import crashdetection
from briarfall.gateway import crashes
from briarfall.gateway import evidence
from briarfall.gateway import sources
from briarfall.gateway import targets
from tests import test_gateway_streams
from tests.test_gateway_decisions import entry


class TestCrashDetector:
    """A target that ended after it broke a request off has crashed."""

    def detector(self, *entries):
        table = targets.TargetTable()
        table.update(list(entries), clocks.boot_s())
        known = crashes.CrashTable()
        return crashdetection.CrashDetector(known, table), known, table

    def call(self):
        return test_gateway_streams.a_call(clocks.boot_s())

    def count(self, known):
        return known.count(crashes.fingerprint(self.call()))

    def test_target_that_refuses_connections_has_crashed(self, clock):
        detector, known, _ = self.detector(entry("a", started_ms=3))
        detector.note_cut(self.call(), "a", 3, evidence.Reach.REFUSED)
        assert self.count(known) == 1

    def test_lost_response_of_a_living_target_is_no_crash(self, clock):
        detector, known, table = self.detector(entry("a", started_ms=3))
        detector.note_cut(self.call(), "a", 3, evidence.Reach.OPEN)
        table.update([entry("a", started_ms=3)], clock.now_s + 1)
        assert self.count(known) == 0

    @pytest.mark.parametrize("reborn", [True, False])
    def test_lifetime_that_ends_soon_afterwards_has_crashed(
        self, clock, reborn
    ):
        detector, known, table = self.detector(entry("a", started_ms=3))
        detector.note_cut(self.call(), "a", 3, evidence.Reach.SILENT)
        rows = [entry("a", started_ms=4)] if reborn else []
        clock.now_s += 4
        table.update(rows, clock.now_s)
        assert self.count(known) == 1

    def test_lifetime_that_had_ended_before_has_crashed(self, clock):
        detector, known, _ = self.detector(entry("a", started_ms=4))
        detector.note_cut(self.call(), "a", 3, evidence.Reach.OPEN)
        assert self.count(known) == 1

    def test_lifetime_that_ends_much_later_has_not(self, clock):
        detector, known, table = self.detector(entry("a", started_ms=3))
        detector.note_cut(self.call(), "a", 3, evidence.Reach.OPEN)
        clock.now_s += 11
        table.update([], clock.now_s)
        assert self.count(known) == 0

    def test_target_that_leaves_has_not(self, clock):
        leaving = entry("a", started_ms=3, state=sources.TargetState.LEAVING)
        detector, known, table = self.detector(leaving)
        detector.note_cut(self.call(), "a", 3, evidence.Reach.OPEN)
        table.update([], clock.now_s + 1)
        assert self.count(known) == 0
