"""A short seeded soak of real processes, and the seeds that once failed."""

import pathlib

import pytest

from briarfall.standins.prepared import rawhttp
from briarfall.standins.prepared import registered
from briarfall.standins.prepared.faultsoak import bounds
from briarfall.standins.prepared.faultsoak import callers
from briarfall.standins.prepared.faultsoak import processes
from briarfall.standins.prepared.faultsoak import soak

# Seeds that failed once, with the cause of each.
REGRESSIONS: dict[int, str] = {}


class TestFaultSoak:
    @pytest.mark.parametrize("seed", [1, *REGRESSIONS])
    def test_promises_hold(self, seed, tmp_path):
        assert soak.run(seed, 6.0, str(tmp_path)) == []


class TestGatewayProcess:
    """No process outlives the soak that started it."""

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


class TestSoakChecks:
    """The checks find what they are meant to find."""

    @pytest.fixture
    def scene(self, tmp_path: pathlib.Path):
        scene = soak.Soak(3, 1.0, tmp_path)
        yield scene
        scene.store.close()

    def told(self, kind, **extra):
        row = callers.Told("r1", kind, "stable", 0.0)
        for name, value in extra.items():
            setattr(row, name, value)
        return [row] + [
            callers.Told(f"x{n}", "views", "stable", 0.0, 200, b"ran:", True)
            for n in range(9)
        ]

    def run_on(self, desk, request_id):
        req = rawhttp.RawRequest("POST", "/", {"x-request-id": request_id}, b"")
        desk.note(req)

    def test_second_run_of_an_order(self, scene):
        self.run_on(scene.desks[0], "r1")
        self.run_on(scene.desks[1], "r1")
        assert scene.check(self.told("orders"))

    def test_false_not_run(self, scene):
        self.run_on(scene.desks[0], "r1")
        assert scene.check(self.told("orders", status=503))

    def test_foreign_body(self, scene):
        rows = self.told("orders", status=200, body=b"ran:x", is_whole=True)
        assert scene.check(rows)

    def test_missing_event(self, scene):
        body = b"id: 1\ndata: x\n\nid: 3\ndata: x\n\n"
        rows = self.told("drafts", status=200, body=body, is_whole=True)
        assert scene.check(rows)

    def test_skipped_layers(self, scene):
        scene.engines[0].made.append(("r1", 1, "a=0-4,b=5-8"))
        assert scene.check(self.told("drafts"))

    def test_all_well(self, scene):
        assert (
            scene.check(
                self.told("views", status=200, body=b"ran:", is_whole=True)
            )
            == []
        )


class TestNoticeChecks:
    """The checks of leaving, quiet and crashing targets find each breach."""

    @pytest.fixture
    def desk(self, tmp_path: pathlib.Path):
        scene = soak.Soak(3, 1.0, tmp_path)
        yield scene.desks[0]
        scene.store.close()

    def sent(self, desk, request_id, time_s, sent_s=None):
        desk.arrivals.append(registered.Arrival(time_s, request_id))
        sent_s = time_s if sent_s is None else sent_s
        return callers.Told(
            request_id, "views", "stable", sent_s, instance="i0"
        )

    def witness(self, told, *disturbed):
        rows = [bounds.Disturbance("i0", *row) for row in disturbed]
        return bounds.Witness(told, rows)

    def test_request_to_a_leaving_target(self, desk):
        told = [self.sent(desk, "a", 10.0), self.sent(desk, "b", 13.0)]
        desk.notices.append(registered.Notice(10.0, "a", True, 0.0))
        assert self.witness(told).check(desk)
        assert self.witness(told, (11.0, 12.0)).check(desk) == []

    def test_request_to_the_next_lifetime_is_allowed(self, desk):
        told = [self.sent(desk, "a", 10.0), self.sent(desk, "b", 13.0)]
        desk.arrivals[1] = registered.Arrival(13.0, "b", born=2)
        desk.notices.append(registered.Notice(10.0, "a", True, 0.0))
        assert self.witness(told).check(desk) == []

    @pytest.mark.parametrize(("count", "is_broken"), [(2, False), (3, True)])
    def test_requests_to_a_quiet_target(self, desk, count, is_broken):
        told = [self.sent(desk, "a", 10.0)]
        for number in range(count):
            told.append(self.sent(desk, f"b{number}", 11.0))
        desk.notices.append(registered.Notice(10.0, "a", False, 1.5))
        assert bool(self.witness(told).check(desk)) == is_broken

    @pytest.mark.parametrize(("count", "is_broken"), [(3, False), (4, True)])
    def test_request_that_crashed_three(self, desk, count, is_broken):
        desk.crashed_s.extend([1.0, 2.0, 3.0])
        told = []
        for number in range(count):
            told.append(self.sent(desk, f"poison-{number}", 6.5))
        witness = self.witness(told)
        assert bool(witness.check_poison("poison", [desk])) == is_broken
        witness = self.witness(told, (4.0, 5.0))
        assert witness.check_poison("poison", [desk]) == []
