"""Exchanges of one request side by side: none is lost to another's failure."""

import contextlib
import threading

import pytest

from briarfall.gateway.callers import peerconnections
from briarfall.gateway.forwarding import dispatchgate
from briarfall.gateway.forwarding import plainresponses
from briarfall.gateway.forwarding import relayexchanges
from briarfall.standins.prepared import network
from briarfall.standins.prepared import rawcaller
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import testbed
from tests import test_gateway_answerends as answerends
from tests import test_gateway_relaysends as relayscenes
from tests import test_gateway_silence as silence
from tests import test_gateway_silentcalls as silentcalls

Fault = registeredtarget.Fault


@pytest.fixture
def net():
    with contextlib.closing(network.Network()) as links:
        yield links


def _note_bodies(monkeypatch, target_id):
    """Returns an event: the body of a target is awaited from a peer."""
    begun = threading.Event()
    receive = relayexchanges.PlainExchange.receive

    def record(exchange, conn, head, *args):
        if head.header(b"x-response-signature") == target_id.encode():
            begun.set()
        return receive(exchange, conn, head, *args)

    monkeypatch.setattr(relayexchanges.PlainExchange, "receive", record)
    return begun


class TestRelayBesideAnOwnTarget:
    """An own target is suspended while a peer runs the request."""

    @pytest.mark.known_red
    @pytest.mark.parametrize(
        "fault",
        [Fault.FAIL, Fault.CUT_BODY, Fault.GARBAGE],
        ids=lambda fault: fault.value,
    )
    def test_peer_answers_though_the_own_target_fails(self, world, net, fault):
        scene = silentcalls._Scene(world, attempts=2, dialer=net)
        answerends.TestRelayedSiblings()._cut_second(world, scene, net)
        own, other = scene.desks
        assert scene.start() is own
        scene.next_asked()
        own.target.fault = fault
        own.speak()
        testbed.until(
            lambda: own.id not in scene.inst.loads.own(), "it has failed"
        )
        other.speak()
        scene.check_answered_by(other)

    @pytest.mark.known_red
    def test_own_target_answers_though_the_peer_stops_after_its_head(
        self, world, net, monkeypatch
    ):
        scene = silentcalls._Scene(world, attempts=2, dialer=net)
        answerends.TestRelayedSiblings()._cut_second(world, scene, net)
        own, other = scene.desks
        begun = _note_bodies(monkeypatch, other.id)
        _HeldAnswers(world, monkeypatch, other.id, b"r")
        left_s = []
        pass_on = plainresponses.Body.pass_on

        def record(body, call, head):
            left_s.append(call.left_s)
            pass_on(body, call, head)

        monkeypatch.setattr(plainresponses.Body, "pass_on", record)
        other.speak()
        assert scene.start() is own
        assert begun.wait(testbed.WAIT_S)
        left_s.clear()
        own.speak()
        scene.check_answered_by(own)
        assert left_s[-1] > 0

    @pytest.mark.known_red
    def test_peer_streams_though_the_own_engine_fails(self, world, net):
        pool = silence.Pool(world, 2, dialer=net)
        world.instance("i2")
        world.wait_for_layers()
        testbed.until(
            lambda: pool.inst.peers.uncut("pool"), "the peer is known"
        )
        first, second = pool.engines
        spoke = threading.Event()
        world.on_close(spoke.set)
        second.exchange.before_answer = lambda conn: spoke.wait(testbed.WAIT_S)
        net.cut(network.Cut.REFUSE_NEW, [second])
        pool.inst.target_follower._pool.drop(second.address)
        answerends._fail_runs(first)
        pool.inst.loads.reserve([second.id], 0)
        first.fall_silent(refuses_connections=True)
        pool.inst.target_follower._pool.drop(first.address)
        first.accept_connections()
        pool.release()
        caller = silence.draft(pool.inst)
        testbed.until(lambda: second.ran, "the peer runs it")
        first.speak()
        testbed.until(
            lambda: first.id not in pool.inst.loads.own(), "it has failed"
        )
        spoke.set()
        answer = caller.finish()
        assert answer.status == 200
        assert testbed.event_ids(answer.body) == silence.EVENTS


class TestTargetThatAnswersBesideOneThatFails:
    def test_no_third_target_is_asked_while_the_second_answers(
        self, world, monkeypatch
    ):
        sent = []
        start = dispatchgate.DispatchGate.start_attempt

        def record(gate, call, target, *args):
            start(gate, call, target, *args)
            sent.append(target.id)

        scene = silentcalls._Scene(world, 3, attempts=3)
        begun = threading.Event()
        read = plainresponses.BodyReader.read

        def record_read(reader, *args):
            begun.set()
            return read(reader, *args)

        monkeypatch.setattr(dispatchgate.DispatchGate, "start_attempt", record)
        monkeypatch.setattr(plainresponses.BodyReader, "read", record_read)
        first = scene.start()
        for desk in scene.idle():
            desk.parts = answerends._AnswerInParts(world, desk)
            desk.parts.set(b"Content-Length: 9\r\n", b"ran", b":first")
            desk.speak()
        second = scene.next_asked()
        assert begun.wait(testbed.WAIT_S)
        first.target.fault = Fault.FAIL
        first.speak()
        testbed.until(
            lambda: first.id not in scene.inst.loads.own(), "it has failed"
        )
        second.parts.go_on()
        scene.check_answered_by(second)
        assert sent == [first.id, second.id]


class _HeldAnswers:
    """Holds what a peer sends after the begin of a target's response."""

    def __init__(self, world, monkeypatch, target_id, begin):
        self._id = target_id.encode()
        self._begin = begin
        self._goes_on = threading.Event()
        world.on_close(self._goes_on.set)
        self._answer = peerconnections.PeerConnection.answer
        held = self

        def answer(conn, status, headers, body):
            held._send(conn, status, headers, body)

        monkeypatch.setattr(peerconnections.PeerConnection, "answer", answer)

    def _send(self, conn, status, headers, body):
        if (b"X-Response-Signature", self._id) not in headers:
            self._answer(conn, status, headers, body)
            return
        kept = [row for row in headers if row[0].lower() != b"content-length"]
        conn.send_head(status, kept)
        conn.send_data(self._begin)
        self._goes_on.wait(testbed.WAIT_S)
        conn.end()


@pytest.fixture
def scene(world):
    with contextlib.ExitStack() as stack:
        yield relayscenes._Scene(world, stack, "/views/x")


class TestPeerBesideAPeerWithoutStatus:
    def _ask_spare(self, scene):
        scene.lose_status()
        testbed.until(lambda: scene.second.ran, "the other peer runs it")

    def test_both_runs_end_if_the_caller_leaves(self, world, monkeypatch):
        # Longer than the test waits, so that no run ends for want of time.
        timeout_ms = 60_000
        row = testbed.route(
            "views",
            "/views/",
            "idempotent",
            "desk",
            timeout_ms=timeout_ms,
            attempts=2,
        )

        def start(inst, path, **extra):
            caller = rawcaller.RawCaller(inst.caller_address)
            fields = {"X-Deadline-Ms": str(timeout_ms)}
            caller.send(rawcaller.request(path, method="POST", headers=fields))
            return caller

        monkeypatch.setattr(relayscenes, "_ROUTES", [row])
        monkeypatch.setattr(silence, "Caller", start)
        with contextlib.ExitStack() as stack:
            scene = relayscenes._Scene(world, stack, "/views/x")
            self._ask_spare(scene)
            assert scene.peer.loads.own() and scene.spare.loads.own()
            scene.caller.sock.close()
            testbed.until(
                lambda: (
                    not scene.peer.loads.own() and not scene.spare.loads.own()
                ),
                "no peer has a run",
            )

    def test_first_peer_answers_though_the_other_stops_after_its_head(
        self, world, scene, monkeypatch
    ):
        begun = _note_bodies(monkeypatch, scene.second.id)
        _HeldAnswers(world, monkeypatch, scene.second.id, b"r")
        self._ask_spare(scene)
        scene.second.speak()
        assert begun.wait(testbed.WAIT_S)
        scene.first.speak()
        scene.check_answered_by(scene.first)

    def test_run_ends_once_the_caller_gets_a_part_of_a_long_answer(
        self, world, scene, monkeypatch
    ):
        _HeldAnswers(world, monkeypatch, scene.second.id, b"r" * 400_000)
        asked = scene.cut.relay._choice._in_flight
        open_peers = []
        passed_on = threading.Event()
        start = plainresponses.BodyReader._start_response

        def record(reader, call):
            start(reader, call)
            open_peers.extend(asked)
            passed_on.set()

        monkeypatch.setattr(
            plainresponses.BodyReader, "_start_response", record
        )
        self._ask_spare(scene)
        scene.second.speak()
        assert passed_on.wait(testbed.WAIT_S)
        assert open_peers == [scene.spare_id]
