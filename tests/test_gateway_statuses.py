"""Responses whose status HTTP doesn't have, or whose status line is odd."""

import contextlib
import itertools
import socket

import pytest

from briarfall import exceptions
from briarfall.gateway import clocks
from briarfall.gateway.calls import relaymessages
from briarfall.gateway.exchanges import connections
from briarfall.gateway.exchanges import targetconnection
from briarfall.gateway.instance import summary
from briarfall.platform import store
from briarfall.standins.prepared import engines
from briarfall.standins.prepared import rawhttp
from briarfall.standins.prepared import testbed
from tests import headforms
from tests import statusforms
from tests import test_gateway_peeranswers as peeranswers
from tests import test_gateway_secondruns as secondruns

PATHS = pytest.mark.parametrize("path", ["/orders/x", "/drafts/x"])
_INTERIM = b"HTTP/1.1 102 X\r\n\r\n"
_SIGNED = b"X-Response-Signature: s\r\n"
_NOT_RUN = b"X-Not-Executed: 1\r\n"
# Targets are drawn at random; so many calls never miss one of two.
_MAX_CALLS = 60
# More than all tests of a class need.
_RETRIES = 10_000.0
_numbers = itertools.count()


def _headers(request_id, extra=b""):
    return b"X-Request-Id: %s\r\n" % request_id.encode() + _SIGNED + extra


class _Odd:
    """What targets send in place of their responses.

    Args:
        forms: Returns the response of a form.

    Attributes:
        forms: Returns the response of a form.
        name: Form of the response, or None for a sound one.
        closes: Whether the connection ends after it.
        extra: Further headers.
    """

    def __init__(self, forms=statusforms):
        self.forms = forms
        self.name = None
        self.closes = True
        self.extra = b""

    def give(self, rows):
        """Lets targets give it."""
        for row in rows:
            row.handle = self._wrap(row, row.handle)

    def _wrap(self, row, handle):
        def respond(conn, req):
            if self.name is None or req.path.startswith("/v1/"):
                return handle(conn, req)
            row.record_arrival(req)
            row.record_run(req)
            headers = _headers(req.headers["x-request-id"], self.extra)
            conn.send(self.forms.response(self.name, headers))
            if self.closes:
                conn.end()
            return not self.closes

        return respond


def _check_unknown(answer, rows, request_id):
    """Checks an answer to a request that may run once."""
    assert statusforms.BODY not in answer.body
    assert answer.status == 502
    assert secondruns.runs(rows, request_id) == 1


@contextlib.contextmanager
def _direct(odd):
    """Yields a service, an engine and an instance that reaches them."""
    with testbed.world() as world:
        world.publish(testbed.manifest(2, routes=secondruns.routes()))
        world.rows = [world.service("d0"), world.engine("e0", kind="large")]
        world.odd = odd
        world.odd.give(world.rows)
        inst = world.instance()
        world.wait_for_targets(*world.rows)
        world.wait_for_layers()
        secondruns.wait_for_version(2, inst)
        yield world


@contextlib.contextmanager
def _relayed(odd):
    """Yields targets and an instance that reaches them through a peer."""
    with testbed.world() as world:
        found = secondruns.Scene(world)
        found.odd = odd
        found.odd.give(found.rows)
        yield found


@pytest.fixture(scope="module")
def direct_scene():
    with _direct(_Odd()) as scene:
        yield scene


@pytest.fixture(scope="module")
def relayed_scene():
    with _relayed(_Odd()) as scene:
        yield scene


@pytest.fixture
def odd(scene):
    scene.odd.extra = b""
    yield scene.odd
    scene.odd.name = None


def _send(inst, path):
    # The bodies differ, so that no request counts as one that crashed a target.
    request_id = f"q{next(_numbers)}"
    answer = testbed.call(
        inst,
        path,
        method="POST",
        body=request_id.encode(),
        request_id=request_id,
    )
    return answer, request_id


class TestRequestThatMayRunOnce:
    @pytest.fixture
    def scene(self, direct_scene):
        return direct_scene

    # Guards against bytes that are no answer, and against a second run.
    @PATHS
    @pytest.mark.parametrize("closes", [True, False], ids=["ends", "stays"])
    @statusforms.EACH_INVALID
    def test_ends_with_an_unknown_outcome(self, scene, odd, name, path, closes):
        # A connection that stays open may still bring the final response.
        odd.closes = closes or name in statusforms.INTERIM
        odd.name = name
        answer, request_id = _send(scene.instances[0], path)
        _check_unknown(answer, scene.rows, request_id)

    # Guards against a word that is taken from no answer.
    @PATHS
    @pytest.mark.parametrize("name", ["600", "999", "HTTP/9.9", "000"])
    def test_is_not_refused_by_such_an_answer(self, scene, odd, name, path):
        odd.name, odd.closes, odd.extra = name, False, _NOT_RUN
        answer, request_id = _send(scene.instances[0], path)
        _check_unknown(answer, scene.rows, request_id)


class TestRelayedRequestThatMayRunOnce:
    @pytest.fixture
    def scene(self, relayed_scene):
        return relayed_scene

    # Guards against the same behind a peer.
    @PATHS
    @statusforms.EACH_INVALID
    def test_ends_with_an_unknown_outcome(self, scene, odd, name, path):
        odd.name = name
        answer, request_id = _send(scene.cut, path)
        _check_unknown(answer, scene.rows, request_id)


@pytest.fixture(scope="module")
def peer_scene():
    with testbed.world() as world:
        yield peeranswers._Scene(world)


class TestAnswerOfAPeer:
    # Guards against a peer of an earlier release, which passes such answers
    # on, and against a further peer that is asked.
    @PATHS
    @statusforms.EACH_INVALID
    def test_is_none_and_no_other_peer_is_asked(self, peer_scene, name, path):
        def script(exchange):
            state = peeranswers._state(
                exchange, relaymessages.RelayOutcome.TARGET, runs=1, sends=1
            )
            return statusforms.response(name, _headers("r1", state))

        status, asked = peer_scene.send(path, [script])
        assert (status, asked) == (502, 1)

    # Guards against a promise that is taken from no answer.
    @PATHS
    @pytest.mark.parametrize("name", ["600", "999", "HTTP/9.9", "000"])
    def test_says_nothing_of_the_run(self, peer_scene, name, path):
        def script(exchange):
            state = peeranswers._state(
                exchange, relaymessages.RelayOutcome.NOT_RUN
            )
            return statusforms.response(name, _headers("r1", state))

        status, asked = peer_scene.send(path, [script])
        assert (status, asked) == (502, 1)

    @PATHS
    @pytest.mark.parametrize("name", ["600", "999", "HTTP/9.9", "000"])
    def test_does_not_say_that_it_was_left_unread(self, peer_scene, name, path):
        def script(exchange):
            return statusforms.response(name, peeranswers._UNREAD)

        status, asked = peer_scene.send(path, [script])
        assert (status, asked) == (502, 1)


@pytest.fixture(scope="module")
def look_ups():
    with testbed.world() as world:
        faulty = world.scripted("d0")
        sound = world.service("d1")
        inst = world.instance(retry_slack=_RETRIES)
        world.wait_for_targets(faulty, sound)
        yield faulty, inst


@pytest.fixture(scope="module")
def pool():
    with testbed.world() as world:
        rows = [world.engine(f"e{number}") for number in range(4)]
        inst = world.instance(retry_slack=_RETRIES)
        world.wait_for_targets(*rows)
        world.wait_for_layers()
        yield inst


class TestRequestThatMayRunAgain:
    # Guards against bytes of a faulty target in place of the answer that
    # another one gives.
    @statusforms.EACH_INVALID
    def test_is_answered_by_another_target(self, look_ups, name):
        faulty, inst = look_ups
        seen = len(faulty.ran)
        # It is not ejected, so that it is chosen again soon.
        inst.targets.get(faulty.id).invalid_responses = 0
        inst.targets.get(faulty.id).blocked_until_s = 0.0
        for number in range(_MAX_CALLS):
            request_id = f"q{next(_numbers)}"
            faulty.script = statusforms.response(name, _headers(request_id))
            answer = testbed.call(inst, "/views/x", request_id=request_id)
            assert (answer.status, answer.body) == (200, b"ran:")
            if number >= 5 and len(faulty.ran) > seen:
                break
        assert len(faulty.ran) > seen

    # Guards against such bytes in place of a stream, or of its rest.
    @pytest.mark.parametrize("is_begun", [False, True], ids=["new", "begun"])
    @statusforms.EACH_INVALID
    def test_stream_is_completed(self, pool, monkeypatch, name, is_begun):
        handle = engines.EngineStandin._handle_stream
        given = []

        def respond(engine, conn, req):
            if is_begun and "last-event-id" not in req.headers:
                engine.reset_after_event = 4
                return handle(engine, conn, req)
            engine.reset_after_event = 0
            if given:
                return handle(engine, conn, req)
            given.append(engine.id)
            engine.record_arrival(req)
            headers = _headers(req.headers["x-request-id"])
            conn.send(statusforms.response(name, headers))
            conn.end()
            return False

        monkeypatch.setattr(engines.EngineStandin, "_handle_stream", respond)
        request_id = f"q{next(_numbers)}"
        answer = testbed.call(
            pool,
            "/drafts/x",
            method="POST",
            body=request_id.encode(),
            request_id=request_id,
            deadline_ms=15_000,
        )
        assert given
        assert (answer.status, answer.error) == (200, None)
        assert testbed.event_ids(answer.body) == list(range(1, 13))
        assert statusforms.BODY not in answer.body


class TestTarget:
    # Guards against a target that is quickest to answer and never avoided.
    @pytest.mark.parametrize(
        "name", ["600", "HTTP/9.9", "150 as the final one"]
    )
    def test_of_such_answers_counts_as_one_that_gives_none(self, world, name):
        desk = world.service("d0")
        head = world.engine("e0", kind="large")
        odd = _Odd()
        odd.give([desk, head])
        odd.name = name
        inst = world.instance()
        world.wait_for_targets(desk, head)
        world.wait_for_layers()
        for row, path in ((desk, "/orders/x"), (head, "/drafts/x")):
            _send(inst, path)
            assert inst.targets.get(row.id).invalid_responses


@contextlib.contextmanager
def _servers():
    """Yields a function that serves bytes; it returns the address."""
    with contextlib.ExitStack() as stack:

        def run(data, piece_bytes=headforms.LONGEST_PIECE):
            def handle(conn, _):
                for start in range(0, len(data), piece_bytes):
                    conn.send(data[start : start + piece_bytes])
                conn.end()
                return False

            server = rawhttp.RawServer(handle)
            stack.callback(server.close)
            return server.address

        yield run


@pytest.fixture
def serve():
    """Returns a function that serves bytes; it returns the address."""
    with _servers() as run:
        yield run


def _ask(address):
    """Sends a request of the gateway itself; returns head and body."""
    pool = connections.ConnectionPool()
    try:
        return connections.send_request(
            pool, address, "GET", "/v1/report", b"", 5.0
        )
    finally:
        pool.close()


def _cause_of_failed_append(address):
    """Returns why the store's client can't append to a store."""
    client = store.StoreClient(address, summary.CallCounts(), "test")
    try:
        with pytest.raises(exceptions.LogUnavailableError) as caught:
            client.append("keyed.op", b"x", 5.0)
    finally:
        client.close()
    return caught.value.__cause__


class TestOwnRequest:
    """Requests of the gateway itself: store, reports, commands."""

    @statusforms.EACH_INVALID
    def test_gets_no_answer(self, serve, name):
        with pytest.raises(targetconnection.InvalidResponseError):
            _ask(serve(statusforms.response(name)))

    # Guards against rules that sound targets don't meet.
    @statusforms.EACH_VALID
    def test_gets_an_answer_of_a_valid_form(self, serve, name):
        head, body = _ask(serve(statusforms.valid_response(name)))
        assert head.status == statusforms.VALID[name][1]
        assert body == statusforms.BODY

    @statusforms.EACH_INVALID
    def test_to_the_store_fails(self, serve, name):
        cause = _cause_of_failed_append(serve(statusforms.response(name)))
        assert isinstance(cause, targetconnection.InvalidResponseError)


class TestInterimResponses:
    # Guards against a bound that begins anew with each wait.
    def test_without_end_are_invalid_over_several_waits(self, serve):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            host, port = listener.getsockname()
            conn = targetconnection.TargetConnection(f"{host}:{port}", 1.0)
            far, _ = listener.accept()
        with far:
            conn.watch(None)
            conn.send(b"GET", b"/", [(b"Host", b"x")], b"")
            for _ in range(20):
                far.sendall(_INTERIM)
                with pytest.raises(targetconnection.ResponseTimeoutError):
                    conn.read_head(clocks.boot_s() + 0.01)
            far.sendall(_INTERIM)
            with pytest.raises(targetconnection.InvalidResponseError):
                conn.read_head(clocks.boot_s() + 5.0)
            conn.close()
