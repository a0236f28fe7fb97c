"""Poison requests, which crash their targets, through the whole gateway."""

import pytest

from briarfall.gateway.crashes import crashes
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import testbed

# Crashes after which a request is refused.
_CRASHES = 3
_ATTEMPTS = 6


def _desks(world, count=3):
    """Returns services that crash when they run a request."""
    rows = []
    for number in range(count):
        desk = world.service(f"d{number}")
        desk.fault = registeredtarget.Fault.CRASH
        rows.append(desk)
    return rows


def _wait_until_known(inst, row):
    testbed.until(
        lambda: inst.targets.get(row.id).entry.started_ms == row.incarnation,
        f"{row.id} is listed in its newest incarnation",
    )


def _restart_crashed(inst, rows):
    """Restarts crashed services and waits until the instance lists them."""
    for row in rows:
        if row.closing.is_set():
            row.restart()
            _wait_until_known(inst, row)


def _runs(rows):
    return sum(len(row.ran) for row in rows)


class TestPlainCall:
    @pytest.mark.parametrize(
        ("path", "method"), [("/views/x", "GET"), ("/orders/x", "POST")]
    )
    def test_request_crashes_at_most_three_services(self, world, path, method):
        desks = _desks(world)
        inst = world.instance()
        world.wait_for_targets(*desks)
        for number in range(_ATTEMPTS):
            testbed.call(inst, path, method=method, request_id=f"r{number}")
            _restart_crashed(inst, desks)
        assert _runs(desks) <= _CRASHES
        answer = testbed.call(inst, path, method=method, request_id="late")
        assert answer.status == 502
        assert answer.body.startswith(b"[poison_request]")


class TestQuickRestart:
    def test_service_that_restarts_at_once_still_counts_as_crashed(self, world):
        desk = world.service("d0")
        desk.fault = registeredtarget.Fault.CRASH_AND_RESTART
        inst = world.instance()
        world.wait_for_targets(desk)
        for number in range(_ATTEMPTS):
            testbed.call(inst, "/views/x", request_id=f"r{number}")
            _wait_until_known(inst, desk)
        assert len(desk.ran) <= _CRASHES


class TestStream:
    def _start(self, world):
        engines = [
            world.engine(f"e{number}", kind="small") for number in range(10)
        ]
        inst = world.instance()
        world.wait_for_layers()
        return engines, inst

    def test_request_crashes_at_most_three_later_stages(self, world):
        engines, inst = self._start(world)
        for engine in engines:
            engine.crashes_as_stage = True
        for number in range(2):
            testbed.call(
                inst,
                "/drafts/x",
                method="POST",
                body=b"a draft",
                request_id=f"r{number}",
                deadline_ms=8000,
            )
        crashed = [engine for engine in engines if engine.is_unresponsive]
        assert len(crashed) <= _CRASHES


class TestReportedPoison:
    """Instances that did not see the crashes refuse the request too."""

    def _crash_three(self, world, inst, desks):
        for number in range(_CRASHES):
            testbed.call(
                inst, "/orders/x", method="POST", request_id=f"r{number}"
            )
            _restart_crashed(inst, desks)
        assert _runs(desks) == _CRASHES

    def _assert_refused(self, inst, desks):
        testbed.until(
            lambda: inst.crashes.has_poison, "the poison request is reported"
        )
        answer = testbed.call(
            inst, "/orders/x", method="POST", request_id="late"
        )
        assert _runs(desks) == _CRASHES
        assert answer.status == 502

    def test_instance_that_starts_later_learns_of_poison_from_others(
        self, world, monkeypatch
    ):
        # The late instance misses the reports of the crashes themselves.
        monkeypatch.setattr(crashes, "_REPORT_S", 0.0)
        desks = _desks(world)
        first = world.instance("i1")
        world.wait_for_targets(*desks)
        self._crash_three(world, first, desks)
        late = world.instance("i2")
        testbed.until(
            lambda: late.peers.instance_count == 2,
            "the instances know each other",
        )
        self._assert_refused(late, desks)

    def test_instances_that_were_all_killed_load_poison_from_the_store(
        self, world
    ):
        desks = _desks(world)
        first = world.instance("i1")
        world.wait_for_targets(*desks)
        self._crash_three(world, first, desks)
        testbed.until(
            lambda: world.store.keys("keyed.briarfall-poison"),
            "the request is stored as poison",
        )
        first.close()
        self._assert_refused(world.instance("i2"), desks)
