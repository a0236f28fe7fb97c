"""Requests that may run once by a version that is learned amid them."""

import functools
import logging
import threading
import types

import pytest

from briarfall.gateway.callers import peerconnections
from briarfall.gateway.forwarding import relaying
from briarfall.gateway.forwarding import relayresponses
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
        caplog.set_level(logging.INFO, logger="absl")
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
        caplog.set_level(logging.INFO, logger="absl")
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
    """It ends after its run; other peers hold the older version."""

    @pytest.fixture
    def start(self, world, monkeypatch):
        """Returns a function that prepares the scene and its peers."""
        return functools.partial(self._start, world, monkeypatch)

    def _start(self, world, monkeypatch, newer=None):
        scene = secondruns.Scene(world, orders="idempotent", resumable=True)
        third = world.instance("i2")
        world.wait_for_targets(*scene.desks)
        world.wait_for_layers()
        testbed.until(
            lambda: len(scene.cut.peers.uncut("desk")) == 2, "both peers"
        )
        older = [scene.cut, third]
        views = [inst.follower.view for inst in older]
        world.publish(testbed.manifest(3, routes=newer or secondruns.routes()))
        secondruns.wait_for_version(3, *world.instances)
        for inst, view in zip(older, views, strict=True):
            monkeypatch.setattr(inst.follower, "apply", lambda *_: None)
            inst.follower.view = view
        _ask_first(monkeypatch)
        _end_answers(monkeypatch)
        for row in scene.desks:
            row.fault = registeredtarget.Fault.RESET_AFTER_RUN
        for row in scene.engines:
            row.crashes_as_head = True
        return scene

    def _runs(self, scene, path):
        secondruns.send_order(scene.cut, path, deadline_ms=4000)
        secondruns.wait_until_idle(scene.cut)
        return secondruns.runs(scene.rows)

    # Guards against a peer that runs what the ended one knew to run only once.
    @secondruns.PATHS
    def test_order_is_not_run_by_another_peer(self, start, path):
        assert self._runs(start(), path) == 1

    # Guards against the same while the last status holds the older version.
    @secondruns.PATHS
    def test_order_is_not_run_by_another_peer_before_its_status(
        self, start, monkeypatch, path
    ):
        scene = start()
        monkeypatch.setattr(relaying.Relay, "_is_newer", lambda *_: False)
        assert self._runs(scene, path) == 1

    # Guards against the same beside an earlier release, which tells nothing
    # ahead of its response.
    @secondruns.PATHS
    def test_order_is_not_run_after_an_earlier_release(
        self, start, monkeypatch, path
    ):
        scene = start()
        monkeypatch.setattr(
            peerconnections.PeerConnection,
            "announce_single_run",
            lambda conn: None,
        )
        testbed.until(
            lambda: any(row.version == 3 for row in scene.cut.peers.all()),
            "the newer version is told",
        )
        assert self._runs(scene, path) == 1

    # Guards against look-ups that are lost with a peer.
    def test_look_up_is_run_by_another_peer(self, start, monkeypatch):
        rows = secondruns.routes(orders="idempotent", resumable=True)
        scene = start(rows)
        scene.cut.follower.view = scene.peer.follower.view
        assert self._runs(scene, "/orders/x") > 1


class TestWordAheadOfTheResponse:
    @pytest.fixture
    def words(self, monkeypatch):
        """Headers of the interim responses that peers have got."""
        rows = []
        heed = relayresponses.heed_interim

        def record(call, send, headers):
            rows.append(headers)
            heed(call, send, headers)

        monkeypatch.setattr(relayresponses, "heed_interim", record)
        return rows

    # Guards against messages that nobody needs.
    @pytest.mark.parametrize("orders", ["mutating", "idempotent"])
    def test_is_not_sent_to_a_peer_with_the_same_version(
        self, world, words, orders
    ):
        scene = secondruns.Scene(world, orders=orders)
        for number in range(3):
            answer = secondruns.send_order(scene.cut, request_id=f"r{number}")
            assert answer.status == 200
        assert not words

    # Guards against a word that takes the place of the response, or of later
    # ones on the connection.
    def test_is_followed_by_the_response(self, world, words, monkeypatch):
        scene = secondruns.Scene(world, orders="idempotent")
        scene.change_all_but(scene.cut, monkeypatch, secondruns.routes())
        for number in range(3):
            answer = secondruns.send_order(scene.cut, request_id=f"r{number}")
            assert (answer.status, answer.body) == (200, b"ran:a")
        assert len(words) == 3

    @pytest.mark.parametrize(
        "headers",
        [
            [],
            [(b"briarfall-relay", b"\xff{")],
            [
                (
                    b"briarfall-relay",
                    b'{"exchange":"other","outcome":"unknown","sends":0,'
                    b'"runs":0,"is_single_run":true}',
                )
            ],
            [
                (
                    b"briarfall-relay",
                    b'{"exchange":"own","outcome":"unknown","sends":0,'
                    b'"runs":0,"is_single_run":false}',
                )
            ],
        ],
    )
    def test_of_another_exchange_or_kind_is_ignored(self, headers):
        call = types.SimpleNamespace(is_single_run=False)
        send = types.SimpleNamespace(
            state=types.SimpleNamespace(exchange="own")
        )
        relayresponses.heed_interim(call, send, headers)
        assert not call.is_single_run


def _ask_first(monkeypatch):
    """Makes the instance with the newer version the first one asked."""
    choose = relaypeers.RelayPeers.choose

    def choose_strict(choice, service, excluded, *args):
        if "i1" not in excluded:
            excluded = {*excluded, "i2"}
        return choose(choice, service, excluded, *args)

    monkeypatch.setattr(relaypeers.RelayPeers, "choose", choose_strict)


def _end_answers(monkeypatch):
    """Lets the instance with the newer version end without an answer."""
    answer = peerconnections.PeerConnection.answer

    def end_if_newer(conn, *args):
        if conn._call.version == 3:
            raise OSError("ended")
        answer(conn, *args)

    monkeypatch.setattr(peerconnections.PeerConnection, "answer", end_if_newer)
