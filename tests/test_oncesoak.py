"""A short hunt for second runs on real processes, and tests of its checks."""

import pytest

from briarfall.standins.prepared import rawhttp
from briarfall.standins.prepared.faultsoak import hostileservice
from briarfall.standins.prepared.faultsoak import oncecallers
from briarfall.standins.prepared.faultsoak import oncesoak


class TestOnceSoak:
    def test_orders_run_once_and_no_promise_is_broken(self, tmp_path):
        assert oncesoak.run(1, 5.0, str(tmp_path)) == []


class TestOnceChecks:
    """Each check reports the violation that it is made for."""

    @pytest.fixture
    def scene(self, tmp_path):
        scene = oncesoak.OnceSoak(1, 1.0, tmp_path)
        yield scene
        scene.close()

    def run_on(self, service):
        req = rawhttp.RawRequest("POST", "/", {"x-request-id": "r1"}, b"")
        service.record_run(req)

    def test_second_run(self, scene):
        self.run_on(scene.services[0])
        self.run_on(scene.services[1])
        scene.outcomes.append(oncecallers.OnceOutcome("r1"))
        assert scene.check() == ["r1: ran 2 times"]

    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    def test_broken_promise(self, scene, status):
        self.run_on(scene.services[0])
        scene.outcomes.append(oncecallers.OnceOutcome("r1", status))
        assert scene.check() == [f"r1: status {status} although it ran"]

    def test_run_of_a_request_that_seemed_unread(self, scene):
        self.run_on(scene.services[0])
        scene.outcomes.append(oncecallers.OnceOutcome("r1", was_reset=True))
        assert scene.check() == ["r1: reset unread although it ran"]

    def test_body_of_another_request(self, scene):
        scene.outcomes.append(oncecallers.OnceOutcome("r1", 200, b"ran:r2"))
        assert scene.check() == ["r1: body b'ran:r2'"]

    def test_no_violation(self, scene):
        self.run_on(scene.services[0])
        scene.outcomes.append(oncecallers.OnceOutcome("r1", 200, b"ran:r1"))
        scene.outcomes.append(oncecallers.OnceOutcome("r2", 503))
        assert scene.check() == []

    def test_every_behaviour_is_drawn(self, scene):
        service = scene.services[0]
        for _ in range(2000):
            service._draw()
        assert all(service.drawn[row] for row in hostileservice.Behaviour)
