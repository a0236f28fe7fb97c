"""Distinguishing crashes of targets from lost responses, without a network."""

import pytest

from briarfall.gateway import clocks
from briarfall.gateway.catalogue import sources
from briarfall.gateway.crashes import crashdetection
from briarfall.gateway.crashes import crashes
from briarfall.gateway.targets import liveness
from briarfall.gateway.targets import targets
from tests import test_gateway_streams
from tests.test_gateway_decisions import entry


class TestCrashDetector:
    """A target that ends soon after it interrupted a request has crashed."""

    def detector(self, *entries):
        table = targets.TargetTable()
        table.update(list(entries), clocks.boot_s())
        crash_table = crashes.CrashTable()
        return (
            crashdetection.CrashDetector(crash_table, table),
            crash_table,
            table,
        )

    def call(self):
        return test_gateway_streams.a_call(clocks.boot_s())

    def count(self, crash_table):
        return crash_table.count(crashes.fingerprint(self.call()))

    def test_target_that_refuses_connections_has_crashed(self, clock):
        detector, crash_table, _ = self.detector(entry("a", started_ms=3))
        detector.record_interruption(
            self.call(), "a", 3, liveness.Reachability.REFUSED
        )
        assert self.count(crash_table) == 1

    def test_lost_response_of_a_living_target_is_no_crash(self, clock):
        detector, crash_table, table = self.detector(entry("a", started_ms=3))
        detector.record_interruption(
            self.call(), "a", 3, liveness.Reachability.OPEN
        )
        table.update([entry("a", started_ms=3)], clock.now_s + 1)
        assert self.count(crash_table) == 0

    @pytest.mark.parametrize("reborn", [True, False])
    def test_incarnation_that_ends_soon_afterwards_has_crashed(
        self, clock, reborn
    ):
        detector, crash_table, table = self.detector(entry("a", started_ms=3))
        detector.record_interruption(
            self.call(), "a", 3, liveness.Reachability.UNRESPONSIVE
        )
        rows = [entry("a", started_ms=4)] if reborn else []
        clock.now_s += 4
        table.update(rows, clock.now_s)
        assert self.count(crash_table) == 1

    def test_incarnation_that_had_ended_before_has_crashed(self, clock):
        detector, crash_table, _ = self.detector(entry("a", started_ms=4))
        detector.record_interruption(
            self.call(), "a", 3, liveness.Reachability.OPEN
        )
        assert self.count(crash_table) == 1

    def test_incarnation_that_ends_much_later_has_not_crashed(self, clock):
        detector, crash_table, table = self.detector(entry("a", started_ms=3))
        detector.record_interruption(
            self.call(), "a", 3, liveness.Reachability.OPEN
        )
        clock.now_s += 11
        table.update([], clock.now_s)
        assert self.count(crash_table) == 0

    def test_draining_target_has_not_crashed(self, clock):
        draining = entry("a", started_ms=3, state=sources.TargetState.DRAINING)
        detector, crash_table, table = self.detector(draining)
        detector.record_interruption(
            self.call(), "a", 3, liveness.Reachability.OPEN
        )
        table.update([], clock.now_s + 1)
        assert self.count(crash_table) == 0
