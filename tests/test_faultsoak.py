"""A short seeded soak of gateway processes, and tests of its checks."""

import pathlib
import signal

import pytest

from briarfall.standins.prepared import rawhttp
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import testbed
from briarfall.standins.prepared.faultsoak import callers
from briarfall.standins.prepared.faultsoak import faultsets
from briarfall.standins.prepared.faultsoak import limitchecks
from briarfall.standins.prepared.faultsoak import pairs
from briarfall.standins.prepared.faultsoak import processes
from briarfall.standins.prepared.faultsoak import records
from briarfall.standins.prepared.faultsoak import soak
from briarfall.standins.prepared.faultsoak import targetchecks

# Seeds that failed before, with the cause of each failure.
REGRESSIONS: dict[int, str] = {}


class TestFaultSoak:
    @pytest.mark.parametrize("seed", [1, *REGRESSIONS])
    def test_guarantees_hold(self, seed, tmp_path):
        assert soak.run(seed, 6.0, str(tmp_path)) == []


class TestDisruptions:
    """Seeded runs of the disruptions of issue 32, each kind by itself."""

    @pytest.mark.parametrize(
        ("name", "seed", "seconds"),
        [
            ("silence", 1, 4.0),
            ("cuts", 1, 6.0),
            ("exchanges", 1, 3.0),
            ("entries", 1, 4.0),
            ("catalogue", 1, 4.0),
            ("limits", 1, 2.0),
            ("restores", 1502, 4.0),
        ],
    )
    def test_guarantees_hold(self, name, seed, seconds, tmp_path):
        sets = (faultsets.FaultSet(name),)
        assert soak.run(seed, seconds, str(tmp_path), 4, sets) == []


class TestPairs:
    """Disruptions beside changes, each pair in some seed."""

    @pytest.mark.parametrize("block", [0, 1, 125])
    def test_seeds_of_a_block_play_all_pairs(self, block):
        first = block * pairs.SEEDS_FOR_ALL
        names = []
        for seed in range(first, first + pairs.SEEDS_FOR_ALL):
            rows = pairs.order(seed)[: pairs.PAIRS_PER_SEED]
            names += [row.name for row in rows]
        count = len(pairs.DISRUPTIONS) * len(pairs.CHANGES)
        assert len(set(names)) == count

    def test_each_block_has_another_order(self):
        first = pairs.order(0)
        second = pairs.order(pairs.SEEDS_FOR_ALL)
        assert first == pairs.order(0)
        assert first != second

    def test_guarantees_hold(self, tmp_path, capsys):
        sets = (faultsets.FaultSet.PAIRS,)
        assert soak.run(19, 2.0, str(tmp_path), 4, sets) == []
        names = [row.name for row in pairs.order(19)]
        assert f"pairs: {names[0]}, {names[1]}" in capsys.readouterr().out


class TestGatewayProcess:
    """Guards against processes that outlive the soak that started them."""

    @pytest.fixture
    def row(self, tmp_path):
        row = processes.GatewayProcess("i0", "z0", "127.0.0.1:1", tmp_path)
        yield row
        row.close()

    def test_second_start_leaves_the_first_process(self, row):
        row.start()
        first = row._process
        row.start()
        assert row._process is first

    def test_closed_process_is_not_started_again(self, row):
        row.start()
        row.close()
        row.start()
        assert not row.is_running

    def test_reload_signal_right_after_the_start_does_not_end_the_process(
        self, row
    ):
        row.start()
        row.signal(signal.SIGHUP)
        testbed.until(lambda: processes.accepts_connections(row.front), "start")
        row.record_own_end()
        assert row.own_ends == []

    def test_reload_signal_ends_a_script_that_does_not_handle_it(
        self, row, tmp_path
    ):
        begun = tmp_path / "script_begun"
        script = tmp_path / "deploy" / "gateway.py"
        script.parent.mkdir()
        script.write_text(
            "import pathlib, signal\n"
            f"pathlib.Path({str(begun)!r}).touch()\n"
            "signal.pause()\n"
        )
        row.run_release(tmp_path)
        row.start()
        testbed.until(begun.exists, "script")
        row.signal(signal.SIGHUP)
        testbed.until(lambda: not row.is_running, "end")
        row.record_own_end()
        assert row.own_ends == [-signal.SIGHUP]


class TestSoakChecks:
    """Each check reports the violation that it is made for."""

    @pytest.fixture
    def scene(self, tmp_path: pathlib.Path):
        scene = soak.Soak(3, 1.0, tmp_path)
        yield scene
        scene.scene.close()

    def make_outcomes(self, kind, **extra):
        row = callers.RequestOutcome("r1", kind, "stable", 0.0)
        for name, value in extra.items():
            setattr(row, name, value)
        return [row] + [
            callers.RequestOutcome(
                f"x{n}", "views", "stable", 0.0, 200, b"ran:", True
            )
            for n in range(9)
        ]

    def run_on(self, service, request_id):
        req = rawhttp.RawRequest("POST", "/", {"x-request-id": request_id}, b"")
        service.record_run(req)

    def test_second_run_of_an_order(self, scene):
        self.run_on(scene.plain_services[0], "r1")
        self.run_on(scene.plain_services[1], "r1")
        assert scene.check(self.make_outcomes("orders"))

    def test_false_report_of_not_run(self, scene):
        self.run_on(scene.plain_services[0], "r1")
        assert scene.check(self.make_outcomes("orders", status=503))

    def test_body_of_another_request(self, scene):
        rows = self.make_outcomes(
            "orders", status=200, body=b"ran:x", is_complete=True
        )
        assert scene.check(rows)

    def test_missing_event(self, scene):
        body = b"id: 1\ndata: x\n\nid: 3\ndata: x\n\n"
        rows = self.make_outcomes(
            "drafts", status=200, body=body, is_complete=True
        )
        assert scene.check(rows)

    def test_skipped_layers(self, scene):
        scene.engines[0].generated_events.append(("r1", 1, "a=0-4,b=5-8"))
        assert scene.check(self.make_outcomes("drafts"))

    def test_no_violation(self, scene):
        assert (
            scene.check(
                self.make_outcomes(
                    "views", status=200, body=b"ran:", is_complete=True
                )
            )
            == []
        )


class TestSignalChecks:
    """Requests to draining, backing-off and crashed targets are reported."""

    @pytest.fixture
    def service(self, tmp_path: pathlib.Path):
        scene = soak.Soak(3, 1.0, tmp_path)
        yield scene.plain_services[0]
        scene.scene.close()

    def sent(self, service, request_id, time_s, sent_s=None):
        service.arrivals.append(registeredtarget.Arrival(time_s, request_id))
        sent_s = time_s if sent_s is None else sent_s
        return callers.RequestOutcome(
            request_id, "views", "stable", sent_s, instance="i0"
        )

    def checker(self, outcomes, *disturbed):
        rows = [records.Disturbance("i0", *row) for row in disturbed]
        return targetchecks.TargetChecker(outcomes, rows)

    def test_request_to_a_draining_target(self, service):
        outcomes = [
            self.sent(service, "a", 10.0),
            self.sent(service, "b", 13.0),
        ]
        service.signals.append(
            registeredtarget.TargetSignal(10.0, "a", True, 0.0)
        )
        assert self.checker(outcomes).check(service)
        assert self.checker(outcomes, (11.0, 12.0)).check(service) == []

    def test_request_to_the_next_incarnation_is_allowed(self, service):
        outcomes = [
            self.sent(service, "a", 10.0),
            self.sent(service, "b", 13.0),
        ]
        service.arrivals[1] = registeredtarget.Arrival(13.0, "b", incarnation=2)
        service.signals.append(
            registeredtarget.TargetSignal(10.0, "a", True, 0.0)
        )
        assert self.checker(outcomes).check(service) == []

    @pytest.mark.parametrize(("count", "is_broken"), [(2, False), (3, True)])
    def test_requests_to_a_target_in_backoff(self, service, count, is_broken):
        outcomes = [self.sent(service, "a", 10.0)]
        for number in range(count):
            outcomes.append(self.sent(service, f"b{number}", 11.0))
        service.signals.append(
            registeredtarget.TargetSignal(10.0, "a", False, 1.5)
        )
        assert bool(self.checker(outcomes).check(service)) == is_broken

    @pytest.mark.parametrize(("count", "is_broken"), [(17, False), (18, True)])
    def test_requests_beyond_a_rate_limit(self, service, count, is_broken):
        service.limit_periods.append(
            registeredtarget.LimitPeriod(2.0, first_told_s=10.0)
        )
        for number in range(count):
            self.sent(service, f"early{number}", 12.0)
            self.sent(service, f"late{number}", 13.5 + 0.1 * number)
        assert bool(limitchecks.check(service)) == is_broken

    @pytest.mark.parametrize(("count", "is_broken"), [(3, False), (4, True)])
    def test_request_that_crashed_three_targets(
        self, service, count, is_broken
    ):
        service.crashed_s.extend([1.0, 2.0, 3.0])
        outcomes = []
        for number in range(count):
            outcomes.append(self.sent(service, f"poison-{number}", 6.5))
        checker = self.checker(outcomes)
        assert bool(checker.check_poison("poison", [service])) == is_broken
        checker = self.checker(outcomes, (4.0, 5.0))
        assert checker.check_poison("poison", [service]) == []
