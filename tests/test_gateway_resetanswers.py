"""Answers whose connection is reset, as the gateway reads them."""

import itertools
import socket
import threading

import pytest

from briarfall import exceptions
from briarfall.gateway import clocks
from briarfall.gateway.exchanges import connections
from briarfall.gateway.exchanges import targetconnection
from briarfall.gateway.instance import summary
from briarfall.platform import store
from briarfall.standins.prepared import engines
from briarfall.standins.prepared import network
from briarfall.standins.prepared import rawhttp
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import testbed
from tests import earlyanswers
from tests import test_gateway_secondruns as secondruns
from tests import test_gateway_silence as silence

Ending = earlyanswers.Ending
Framing = earlyanswers.Framing
Reading = earlyanswers.Reading
_DEADLINE_MS = 15_000
_LOOK_S = 0.05
_numbers = itertools.count()
# Longer than what is read before the caller gets a first part.
_LONG = b"a" * 400_000


class _Desk(registeredtarget.RegisteredTarget):
    """A plain service that answers before it has read a request.

    Attributes:
        early: What it answers; None for an orderly answer to the whole body.
    """

    def __init__(self, platform, target_id):
        super().__init__(platform, target_id, "desk", "z1")
        self.early = None
        self.register()

    def handle(self, conn, req):
        """Answers as told."""
        self.record_arrival(req)
        self.record_run(req)
        early = self.early
        if early is None:
            early = earlyanswers.EarlyAnswer(Ending.CLOSE, Reading.ALL)
            early.framing = Framing.LENGTH
        early.headers = {"X-Response-Signature": self.id}
        return early.give(conn, req)


class _Scene:
    """Services with a small window, and instances that call them.

    Attributes:
        desks: The services.
        direct: An instance that reaches them.
        cut: An instance that reaches them through the other one only.
        request_id: Id of the last request.
    """

    request_id = ""

    def __init__(self, world, count=1):
        rows = [
            testbed.route(name, f"/{name}/", kind, "desk", timeout_ms=20000)
            for name, kind in (("orders", "mutating"), ("views", "idempotent"))
        ]
        found = testbed.manifest(2, routes=rows)
        found["limits"]["max_body_bytes"] = 4_194_304
        world.publish(found)
        self.desks = []
        for number in range(count):
            desk = _Desk(world.store, f"d{number}")
            earlyanswers.EarlyAnswer().serve(desk.server)
            world.on_close(desk.close)
            self.desks.append(desk)
        links = network.Network()
        world.on_close(links.close)
        self.cut = world.instance("i0", dialer=links)
        self.direct = world.instance("i1")
        world.wait_for_targets(*self.desks)
        secondruns.wait_for_version(2, self.cut, self.direct)
        testbed.until(lambda: self.cut.peers.uncut("desk"), "the peer is known")
        links.cut(network.Cut.REFUSE_NEW, self.desks)

    def call(self, inst, size=earlyanswers.LONG_BYTES, path="/orders/x"):
        """Sends a request with a body of so many bytes."""
        self.request_id = f"r{next(_numbers)}"
        return testbed.call(
            inst,
            path,
            method="POST",
            # The bodies differ, so that no request counts as poison.
            body=self.request_id.encode().ljust(size, b"x"),
            request_id=self.request_id,
            deadline_ms=_DEADLINE_MS,
        )

    def check_cut(self, answer):
        """Checks that the caller was told that it has no whole answer."""
        assert answer.error is not None or answer.status == 502
        assert secondruns.runs(self.desks, self.request_id) == 1

    def check_whole(self, answer, early):
        """Checks that the caller has the answer of the one run."""
        assert answer.error is None
        assert (answer.status, answer.body) == (early.status, early.body)
        assert secondruns.runs(self.desks, self.request_id) == 1


@pytest.fixture(scope="module")
def scene():
    with testbed.world() as world:
        yield _Scene(world)


@pytest.fixture
def early(scene):
    desk = scene.desks[0]
    for inst in (scene.cut, scene.direct):
        target = inst.targets.get(desk.id)
        target.invalid_responses = 0
        target.blocked_until_s = 0.0
    desk.early = earlyanswers.EarlyAnswer()
    return desk.early


class TestOrderWhoseAnswerIsReset:
    # Guards against a part of an answer that passes as the whole one, since
    # the send of the request has received the error.
    @earlyanswers.EACH_STATUS
    @earlyanswers.EACH_READING
    def test_has_no_answer(self, scene, early, reading, status):
        early.reading, early.status = reading, status
        answer = scene.call(scene.direct)
        scene.check_cut(answer)

    @earlyanswers.EACH_READING
    def test_has_none_of_which_no_byte_came(self, scene, early, reading):
        early.reading, early.sent = reading, 0
        answer = scene.call(scene.direct)
        scene.check_cut(answer)

    @earlyanswers.EACH_READING
    def test_ends_as_cut_once_a_part_was_passed_on(self, scene, early, reading):
        early.reading = reading
        early.body, early.sent = _LONG * 2, len(_LONG)
        answer = scene.call(scene.direct)
        assert answer.status == 200
        scene.check_cut(answer)

    @earlyanswers.EACH_STATUS
    def test_has_no_answer_to_a_short_body(self, scene, early, status):
        early.status = status
        answer = scene.call(scene.direct, 600)
        scene.check_cut(answer)

    @earlyanswers.EACH_STATUS
    @earlyanswers.EACH_READING
    def test_has_no_answer_through_a_peer(self, scene, early, reading, status):
        early.reading, early.status = reading, status
        answer = scene.call(scene.cut)
        scene.check_cut(answer)

    @earlyanswers.EACH_READING
    def test_ends_as_cut_through_a_peer(self, scene, early, reading):
        early.reading = reading
        early.body, early.sent = _LONG * 2, len(_LONG)
        answer = scene.call(scene.cut)
        scene.check_cut(answer)


class TestOrderWhoseAnswerEndsInOrder:
    # Guards against whole answers that count as cut.
    @earlyanswers.EACH_STATUS
    @earlyanswers.EACH_READING
    @earlyanswers.EACH_ORDERLY_ENDING
    @pytest.mark.parametrize(
        "is_relayed", [False, True], ids=["direct", "relayed"]
    )
    def test_has_the_whole_answer(
        self, scene, early, is_relayed, ending, reading, status
    ):
        early.reading, early.status = reading, status
        early.ending = ending
        inst = scene.cut if is_relayed else scene.direct
        answer = scene.call(inst)
        scene.check_whole(answer, early)

    @earlyanswers.EACH_STATUS
    @earlyanswers.EACH_READING
    @earlyanswers.EACH_TOLD_FRAMING
    @pytest.mark.parametrize("body", [earlyanswers.WHOLE, _LONG], ids=len)
    def test_has_an_answer_that_is_as_long_as_it_says(
        self, scene, early, body, framing, reading, status
    ):
        early.reading, early.status = reading, status
        early.ending = Ending.RESET_WHOLE
        early.framing, early.body = framing, body
        answer = scene.call(scene.direct)
        scene.check_whole(answer, early)

    @earlyanswers.EACH_ORDERLY_ENDING
    @earlyanswers.EACH_READING
    def test_has_a_long_answer(self, scene, early, ending, reading):
        early.reading, early.ending, early.body = reading, ending, _LONG
        answer = scene.call(scene.direct)
        scene.check_whole(answer, early)


class TestLookUpWhoseAnswerIsReset:
    # Guards against a part that passes in place of the answer that another
    # target gives.
    @earlyanswers.EACH_READING
    def test_is_answered_by_another_target(self, world, reading):
        scene = _Scene(world, 2)
        scene.desks[0].early = earlyanswers.EarlyAnswer(reading=reading)
        scene.direct.loads.reserve([scene.desks[1].id], 0)
        answer = scene.call(scene.direct, path="/views/x")
        assert answer.error is None
        assert (answer.status, answer.body) == (200, earlyanswers.WHOLE)
        assert answer.headers["X-Response-Signature"] == "d1"
        assert [len(desk.ran) for desk in scene.desks] == [1, 1]


class _Conns:
    """Two connections of one request, and the targets' ends of them."""

    def __init__(self):
        self.deadline_s = clocks.boot_s() + testbed.WAIT_S
        self.near = []
        self.far = []
        for _ in range(2):
            with socket.create_server(("127.0.0.1", 0)) as listener:
                host, port = listener.getsockname()
                conn = targetconnection.TargetConnection(f"{host}:{port}", 5.0)
                far, _ = listener.accept()
            self.near.append(conn)
            self.far.append(rawhttp.RawConnection(far))
            conn.watch(None)
            conn.send(b"GET", b"/x", [(b"Host", b"x")], b"")
            self.far[-1].read()

    def close(self):
        for conn in self.near:
            conn.close()
        for conn in self.far:
            conn.sock.close()

    def begin_other(self):
        """Reads the head and a part of an answer on the second one."""
        self.far[1].send_open_head({})
        self.far[1].send(earlyanswers.HALF)
        other = self.near[1]
        assert other.read_head(self.deadline_s).status == 200
        assert other.read_event(self.deadline_s).data == earlyanswers.HALF

    def await_close(self):
        """Waits until the end of the second one has arrived."""
        testbed.until(lambda: not self.near[1].is_open, "it has ended")


@pytest.fixture
def conns():
    found = _Conns()
    yield found
    found.close()


class TestSuspendedAnswer:
    """An answer that was begun while another connection is read."""

    def _look(self, conns, *, heeds_ends):
        """Waits on the first connection beside the second one."""
        conn = conns.near[0]
        conn.watch(None, conns.near[1:], heeds_ends=heeds_ends)
        if not heeds_ends:
            assert not conn.wait(clocks.boot_s() + _LOOK_S)
            return
        with pytest.raises(targetconnection.OtherConnectionReadyError):
            conn.wait(conns.deadline_s)

    # Guards against a look for data that receives the error in place of the
    # read.
    @pytest.mark.parametrize("heeds_ends", [True, False])
    def test_that_is_reset_is_cut(self, conns, heeds_ends):
        conns.begin_other()
        conns.far[1].reset()
        conns.await_close()
        self._look(conns, heeds_ends=heeds_ends)
        other = conns.near[1]
        assert not other.has_data
        other.watch(None)
        with pytest.raises(targetconnection.BrokenExchangeError):
            other.read_event(conns.deadline_s)

    @pytest.mark.parametrize("heeds_ends", [True, False])
    def test_that_ends_in_order_is_whole(self, conns, heeds_ends):
        conns.begin_other()
        conns.far[1].end()
        conns.await_close()
        self._look(conns, heeds_ends=heeds_ends)
        other = conns.near[1]
        assert not other.has_data
        other.watch(None)
        assert other.read_body(conns.deadline_s) == b""
        assert other.has_whole_response

    def test_is_read_up_to_its_reset(self, conns):
        conns.begin_other()
        conns.far[1].send(earlyanswers.HALF)
        conns.far[1].reset()
        conns.await_close()
        other = conns.near[1]
        assert other.has_data
        other.watch(None)
        with pytest.raises(targetconnection.BrokenExchangeError):
            other.read_body(conns.deadline_s)


class _Draft:
    """A stream whose first engine is silent while the others are asked.

    The others refuse it so many times, once its first run was reset.
    """

    def __init__(self, world, monkeypatch, refusals):
        self.pool = silence.Pool(world, 3)
        for engine in self.pool.engines:
            engine.answers_without_length = True
        self._refusals = refusals
        self._first = None
        self._asked = threading.Event()
        self._has_ended = threading.Event()
        self._handle = engines.EngineStandin._handle_stream

        def handle(engine, conn, req):
            return self._respond(engine, conn, req)

        monkeypatch.setattr(engines.EngineStandin, "_handle_stream", handle)
        self.caller = self.pool.draft_in_progress()

    def _respond(self, engine, conn, req):
        if self._first is None:
            self._first = engine, conn
        elif engine is not self._first[0]:
            self._asked.set()
            self._has_ended.wait(testbed.WAIT_S)
            if self._refusals:
                self._refusals -= 1
                return self._refuse(engine, conn, req)
        return self._handle(engine, conn, req)

    def _refuse(self, engine, conn, req):
        headers = {
            "X-Request-Id": req.headers["x-request-id"],
            "X-Response-Signature": engine.id,
            "X-Not-Executed": "1",
            "At-Server": engine.address,
        }
        conn.respond(503, b"full", headers)
        return True

    def finish(self, end):
        """Ends the first run while another engine is asked."""
        engine, conn = self._first
        engine.fall_silent()
        assert self._asked.wait(testbed.WAIT_S)
        end(conn)
        self._has_ended.set()
        self.pool.release()
        answer = self.caller.finish()
        engine.speak()
        return answer


class TestStreamWhoseSuspendedRunIsReset:
    # Guards against a stream that ends as complete amid its events.
    @pytest.mark.parametrize("refusals", [0, 1, 2, 100])
    def test_does_not_end_as_complete(self, world, monkeypatch, refusals):
        draft = _Draft(world, monkeypatch, refusals)
        answer = draft.finish(rawhttp.RawConnection.reset)
        if answer.error is None:
            assert testbed.event_ids(answer.body) == silence.EVENTS


@pytest.fixture
def serve():
    """Returns a function that serves early answers; it returns the address."""
    with earlyanswers.servers() as start:
        yield start


class TestOwnRequestWhoseAnswerIsReset:
    """Requests of the gateway itself: store, reports, commands."""

    @earlyanswers.EACH_READING
    @pytest.mark.parametrize("size", [0, earlyanswers.LONG_BYTES])
    def test_has_no_answer(self, serve, reading, size):
        early = earlyanswers.EarlyAnswer(reading=reading)
        pool = connections.ConnectionPool()
        try:
            with pytest.raises(targetconnection.BrokenExchangeError):
                connections.send_request(
                    pool, serve(early), "POST", "/v1/x", b"x" * size, 10.0
                )
        finally:
            pool.close()

    @earlyanswers.EACH_READING
    def test_to_the_store_fails(self, serve, reading):
        early = earlyanswers.EarlyAnswer(reading=reading)
        client = store.StoreClient(serve(early), summary.CallCounts(), "test")
        data = b"x" * earlyanswers.LONG_BYTES
        try:
            with pytest.raises(exceptions.LogUnavailableError):
                client.append("keyed.op", data, 10.0)
        finally:
            client.close()
