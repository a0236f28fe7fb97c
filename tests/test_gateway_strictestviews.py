"""Requests that may run once by a version that is learned amid them."""

import logging
import threading

import pytest

from briarfall.gateway.callers import peerconnections
from briarfall.gateway.peers import relaypeers
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import testbed
from tests import test_gateway_secondruns as secondruns


def _reset_on_release(rows, release):
    """Makes targets run an order, and reset its connection when told."""

    def handle(row, conn, req):
        row.record_arrival(req)
        row.record_run(req)
        release.wait(5)
        conn.reset()
        return False

    for row in rows:
        row.handle = lambda conn, req, row=row: handle(row, conn, req)


def _send_while_version_changes(scene, rows):
    """Sends an order that breaks once a new version is in force."""
    release = threading.Event()
    _reset_on_release(scene.desks, release)
    caller = threading.Thread(
        target=secondruns.send_order,
        args=(scene.peer,),
        kwargs={"deadline_ms": 8000},
    )
    caller.start()
    testbed.until(lambda: secondruns.runs(scene.desks), "the order runs")
    scene.world.publish(testbed.manifest(3, routes=rows))
    secondruns.wait_for_version(3, scene.peer)
    release.set()
    caller.join()


class TestVersionThatIsLearnedAmidARequest:
    # Guards against a repeat that the version in force by then forbids.
    def test_order_that_may_run_once_by_now_is_not_repeated(self, world):
        scene = secondruns.Scene(world, orders="idempotent")
        _send_while_version_changes(scene, secondruns.routes())
        assert secondruns.runs(scene.desks) == 1

    # Guards against a repeat by a wider route that an added one has narrowed.
    def test_order_of_a_route_that_was_added_is_not_repeated(self, world):
        scene = secondruns.Scene(world, orders="idempotent")
        added = testbed.route("added", "/orders/x/", "mutating", "desk")
        rows = [*secondruns.routes(orders="idempotent"), added]
        release = threading.Event()
        _reset_on_release(scene.desks, release)
        caller = threading.Thread(
            target=secondruns.send_order,
            args=(scene.peer, "/orders/x/y"),
            kwargs={"deadline_ms": 8000},
        )
        caller.start()
        testbed.until(lambda: secondruns.runs(scene.desks), "the order runs")
        world.publish(testbed.manifest(3, routes=rows))
        secondruns.wait_for_version(3, scene.peer)
        release.set()
        caller.join()
        assert secondruns.runs(scene.desks) == 1

    def test_look_up_is_repeated_beside_another_change(self, world):
        scene = secondruns.Scene(world, orders="idempotent")
        _send_while_version_changes(
            scene, secondruns.routes(orders="idempotent", resumable=True)
        )
        assert secondruns.runs(scene.desks) > 1

    # Guards against a log that names a version which did not judge the order.
    def test_log_names_the_version_at_the_arrival(self, world, caplog):
        caplog.set_level(logging.INFO)
        scene = secondruns.Scene(world)
        _send_while_version_changes(scene, secondruns.routes())

        def lines():
            return [
                row.getMessage()
                for row in caplog.records
                if "request done request=r1 " in row.getMessage()
            ]

        testbed.until(lines, "the line of the order")
        assert " version=2 " in lines()[0]


class TestSend:
    # Guards against an instance that is killed and leaves no trace of a run.
    def test_of_an_order_is_logged_before_its_end(self, world, caplog):
        caplog.set_level(logging.INFO)
        scene = secondruns.Scene(world)
        secondruns.send_order(scene.peer)
        lines = [
            row.getMessage()
            for row in caplog.records
            if "request that may run once sent request=r1 " in row.getMessage()
        ]
        assert len(lines) == 1
        assert "target=d" in lines[0]


class TestPeerThatEndsWithoutAnAnswer:
    # Guards against a peer that runs what the ended one knew to run only once.
    @pytest.mark.known_red
    def test_order_is_not_run_by_another_peer(self, world, monkeypatch):
        scene = secondruns.Scene(world, orders="idempotent")
        third = world.instance("i2")
        world.wait_for_targets(*scene.desks)
        world.wait_for_layers()
        testbed.until(
            lambda: len(scene.cut.peers.uncut("desk")) == 2, "both peers"
        )
        older = [scene.cut, third]
        views = [inst.follower.view for inst in older]
        world.publish(testbed.manifest(3, routes=secondruns.routes()))
        secondruns.wait_for_version(3, *world.instances)
        for inst, view in zip(older, views, strict=True):
            monkeypatch.setattr(inst.follower, "apply", lambda *_: None)
            inst.follower.view = view
        choose = relaypeers.RelayPeers.choose

        def choose_strict(choice, service, excluded, *args):
            if "i1" not in excluded:
                excluded = {*excluded, "i2"}
            return choose(choice, service, excluded, *args)

        monkeypatch.setattr(relaypeers.RelayPeers, "choose", choose_strict)
        answer = peerconnections.PeerConnection.answer

        def end_if_strict(conn, *args):
            if not conn._call.route.is_retryable:
                raise OSError("ended")
            answer(conn, *args)

        monkeypatch.setattr(
            peerconnections.PeerConnection, "answer", end_if_strict
        )
        for row in scene.desks:
            row.fault = registeredtarget.Fault.RESET_AFTER_RUN
        secondruns.send_order(scene.cut)
        secondruns.wait_until_idle(scene.cut)
        assert secondruns.runs(scene.desks) == 1
