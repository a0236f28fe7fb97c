"""Short hunts for second runs on real processes, and tests of their checks."""

import pathlib
import random
import time

import msgspec
import pytest

from briarfall.standins.prepared import rawhttp
from briarfall.standins.prepared.faultsoak import hostileservice
from briarfall.standins.prepared.faultsoak import oncecallers
from briarfall.standins.prepared.faultsoak import oncefaults
from briarfall.standins.prepared.faultsoak import oncesoak
from briarfall.standins.prepared.faultsoak import oncewide
from briarfall.standins.prepared.faultsoak import processes


class TestOnceSoak:
    def test_orders_run_once_and_no_promise_is_broken(self, tmp_path):
        assert oncesoak.run(1, 5.0, str(tmp_path)) == []

    def test_relayed_orders_run_once_beside_silence_and_changes(self, tmp_path):
        options = oncewide.WideOptions(is_sound=True)
        assert oncewide.run(1, 3.0, str(tmp_path), options) == []


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

    def test_run_of_two_attempts_of_an_order(self, scene):
        self.run_on(scene.services[0])
        req = rawhttp.RawRequest("POST", "/", {"x-request-id": "r1.2"}, b"")
        scene.services[1].record_run(req)
        for request_id in ("r1", "r1.2"):
            scene.outcomes.append(oncecallers.OnceOutcome(request_id, 502))
        assert scene.check() == ["order : ran as r1, r1.2"]

    def test_run_that_no_caller_sent(self, scene):
        self.run_on(scene.services[0])
        assert scene.check() == ["r1: ran, but was never sent"]

    def test_run_with_the_body_of_another_order(self, scene):
        self.run_on(scene.services[0])
        scene.outcomes.append(oncecallers.OnceOutcome("r1", order="r1"))
        assert scene.check() == ["r1: ran with b''"]

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


class TestWideChecks:
    """The checks of the soak with relays and changes of the configuration."""

    @pytest.fixture
    def soak(self, tmp_path):
        soak = oncewide.WideOnceSoak(1, 1.0, tmp_path)
        yield soak
        soak.close()

    def run_twice(self, soak, path, sent_s):
        for service in soak.services[:2]:
            service.record_run(
                rawhttp.RawRequest("POST", "/", {"x-request-id": "r1"}, b"")
            )
        soak.outcomes.append(
            oncecallers.OnceOutcome(
                "r1", 502, path=path, sent_s=sent_s, ended_s=sent_s + 0.1
            )
        )

    def flip(self, soak):
        name = oncefaults.FLIPPED_ROUTE
        soak.scene.catalogue.set_kind(name, "idempotent")
        soak.scene.catalogue.set_kind(name, "mutating")

    @pytest.mark.parametrize("path", ["orders", oncefaults.FLIPPED_ROUTE])
    def test_second_run(self, soak, path):
        self.run_twice(soak, path, time.monotonic())
        assert soak.check() == ["r1: ran 2 times"]

    def test_second_run_beside_a_flip_of_the_other_route(self, soak):
        self.flip(soak)
        self.run_twice(soak, "orders", time.monotonic())
        assert soak.check() == ["r1: ran 2 times"]

    def test_second_run_well_after_a_flip(self, soak):
        self.flip(soak)
        self.run_twice(soak, oncefaults.FLIPPED_ROUTE, time.monotonic() + 7.0)
        assert soak.check() == ["r1: ran 2 times"]

    def test_second_run_beside_a_flip_is_allowed(self, soak):
        self.flip(soak)
        self.run_twice(soak, oncefaults.FLIPPED_ROUTE, time.monotonic())
        assert soak.check() == []

    def test_run_through_a_peer_is_counted_as_relayed(self, soak):
        for instance in ("i0", "i1"):
            soak.outcomes.append(
                oncecallers.OnceOutcome(instance, instance=instance)
            )
            soak.services[0].hosts.append((instance, soak.scene.host_of("i1")))
        assert soak.relayed_runs() == ["i0"]

    def test_end_after_a_run_is_unexplained_without_a_kill(self, soak):
        now_s = time.monotonic()
        for request_id, instance in (("r1", "i0"), ("r2", "i1")):
            soak.services[0].record_run(
                rawhttp.RawRequest(
                    "POST", "/", {"x-request-id": request_id}, b""
                )
            )
            soak.outcomes.append(
                oncecallers.OnceOutcome(
                    request_id,
                    has_ended=True,
                    instance=instance,
                    sent_s=now_s - 1,
                    ended_s=now_s + 1,
                )
            )
        soak.scene.records.disturb("i1", now_s - 0.1)
        assert soak.unexplained_ends() == ["r1"]

    @pytest.mark.parametrize(
        ("use", "old_count"),
        [
            (oncewide.OldUse.FIRST, 4),
            (oncewide.OldUse.HALF, 2),
            (oncewide.OldUse.ALL, 4),
        ],
    )
    def test_instances_run_the_earlier_release(self, tmp_path, use, old_count):
        options = oncewide.WideOptions(old="elsewhere", old_use=use)
        scene = oncewide.OnceScene(1, tmp_path, options)
        old = [
            row
            for row in scene.instances
            if row._checkout == pathlib.Path("elsewhere")
        ]
        assert len(old) == old_count
        assert processes.CHECKOUT != pathlib.Path("elsewhere")

    def test_sound_services_draw_only_what_the_protocol_allows(self, tmp_path):
        options = oncewide.WideOptions(is_sound=True)
        scene = oncewide.OnceScene(1, tmp_path, options)
        service = scene.plain_services[0]
        for _ in range(200):
            service._draw()
        drawn = {row for row, count in service.drawn.items() if count}
        assert drawn == {
            hostileservice.Behaviour.SERVE,
            hostileservice.Behaviour.SERVE_LATE,
            hostileservice.Behaviour.SERVE_AND_CLOSE,
            hostileservice.Behaviour.REFUSE,
        }

    def test_every_change_keeps_the_orders_route_mutating(self, soak):
        rng = random.Random(1)
        for _ in range(30):
            oncefaults.Change().apply(soak.scene, rng, 0.0)
        rows = soak.scene.catalogue.published
        assert {row.kinds["orders"] for row in rows} == {"mutating"}
        assert {row.kinds["views"] for row in rows} == {
            "idempotent",
            "mutating",
        }


class _Front(msgspec.Struct):
    """Stands for an instance at which a test server listens."""

    front: tuple[str, int]
    name: str = "i0"


class TestOnceCaller:
    """A caller sends an order again as the pages allow, and not else."""

    def attempts(self, respond):
        """Returns the requests of an order and its outcomes."""
        received = []

        def handle(conn, req):
            received.append((conn, req))
            return respond(conn)

        server = rawhttp.RawServer(handle)
        front = _Front((server.host, server.port))
        caller = oncecallers.OnceCaller("c", [front], ("orders",), 1)
        row = oncecallers.OnceOutcome(
            "c-1", order="c-1", deadline_s=time.monotonic() + 2
        )
        caller._send_batch([row])
        caller._send_again(row)
        server.close()
        return received, caller.outcomes

    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    def test_a_promise_is_followed_by_new_attempts(self, status):
        def respond(conn):
            conn.respond(status, headers={"Retry-After": "0.01"})
            return True

        received, outcomes = self.attempts(respond)
        ids = [req.headers["x-request-id"] for _, req in received]
        assert ids == ["c-1", "c-1.2", "c-1.3", "c-1.4"]
        assert len({conn for conn, _ in received}) == 4
        assert {req.body for _, req in received} == {b"c-1"}
        assert {row.order for row in outcomes} == {"c-1"}

    def test_a_reset_before_a_byte_is_followed_by_new_attempts(self):
        def respond(conn):
            conn.reset()
            return False

        received, _ = self.attempts(respond)
        assert len(received) == 4

    @pytest.mark.parametrize("status", [200, 400, 500, 502, 504])
    def test_another_status_ends_the_order(self, status):
        def respond(conn):
            conn.respond(status)
            return True

        received, _ = self.attempts(respond)
        assert len(received) == 1

    def test_a_closed_connection_ends_the_order(self):
        received, outcomes = self.attempts(lambda conn: False)
        assert len(received) == 1
        assert outcomes[0].has_ended
