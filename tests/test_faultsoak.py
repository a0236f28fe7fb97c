"""A short seeded soak of real processes, and the seeds that once failed."""

import pathlib

import pytest

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
        req = soak.services.rawhttp.RawRequest(
            "POST", "/", {"x-request-id": request_id}, b""
        )
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
