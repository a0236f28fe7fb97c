"""What a peer may say of a request that may run once, and what follows."""

import itertools
import socket
import threading

import pytest

from briarfall.gateway.calls import relaymessages
from briarfall.gateway.exchanges import dialing
from briarfall.standins.prepared import network
from briarfall.standins.prepared import rawhttp
from briarfall.standins.prepared import testbed
from tests import test_gateway_secondruns as secondruns

_STATE = "briarfall-relay"
_ID = b"X-Request-Id: r1\r\n"
_SIGNED = b"X-Response-Signature: s\r\n"
_EMPTY = b"Content-Length: 0\r\n"
_UNREAD = b"Briarfall-Relay-Unread: 1\r\n"
_MISSING = b""
TARGET = relaymessages.RelayOutcome.TARGET
NOT_RUN = relaymessages.RelayOutcome.NOT_RUN
UNKNOWN = relaymessages.RelayOutcome.UNKNOWN


class _ToOneServer(dialing.SystemDialer):
    """Connects to one server in place of any peer, once it is set.

    Attributes:
        endpoint: Address of the server, or None.
    """

    def __init__(self):
        self.endpoint = None

    def connect(self, endpoint, timeout_s) -> socket.socket:
        """Returns a connection to the server."""
        return super().connect(self.endpoint or endpoint, timeout_s)


class _Peers:
    """Answers in place of all peers of an instance, one script a request.

    Attributes:
        scripts: What is sent for each relayed request, in order; the last one
            for all that follow.
        asked: Exchanges of the relayed requests.
        delay_s: Seconds before each answer.
        resets: Whether a reset follows an answer.
        keeps: Whether the connection stays open after an answer.
    """

    def __init__(self):
        self.scripts = []
        self.asked = []
        self.delay_s = 0.0
        self.resets = False
        self.keeps = False
        self._closing = threading.Event()
        self._server = rawhttp.RawServer(self._handle)

    def replace(self, dialer):
        """Answers all connections of a dialer from now on."""
        dialer.endpoint = (self._server.host, self._server.port)

    def _handle(self, conn, req) -> bool:
        state = req.headers.get(_STATE)
        if state is None:
            return False
        exchange = relaymessages.decode_request(
            [(_STATE.encode(), state.encode())]
        )
        script = self.scripts[min(len(self.asked), len(self.scripts) - 1)]
        self.asked.append(exchange)
        self._closing.wait(self.delay_s)
        conn.send(script(exchange))
        if self.resets:
            conn.reset()
        return self.keeps and not self.resets

    def close(self):
        """Ends the server."""
        self._closing.set()
        self._server.close()


def _state(exchange, outcome, *, runs=0, sends=0, of=None):
    """Returns the private header of an answer, as bytes."""
    name, value = relaymessages.header_of(
        relaymessages.RelayedResponse(
            exchange.exchange if of is None else of,
            outcome,
            exchange.sends + sends,
            exchange.runs + runs,
        )
    )
    return name + b": " + value + b"\r\n"


def _answer(status, *parts):
    """Returns a script: a complete answer without a body."""

    def script(exchange):
        fields = b""
        for part in parts:
            fields += part(exchange) if callable(part) else part
        return b"HTTP/1.1 %d X\r\n" % status + fields + _EMPTY + b"\r\n"

    return script


def _told(outcome, **changes):
    return lambda exchange: _state(exchange, outcome, **changes)


def _raw(value):
    """Returns the private header with a value of an odd peer."""
    return lambda exchange: (
        _STATE.encode()
        + b": "
        + value.replace(b"{x}", exchange.exchange.encode())
        + b"\r\n"
    )


def _bytes(data):
    return lambda exchange: data


_INTERIM = b"HTTP/1.1 102 X\r\n" + _UNREAD + b"\r\n"


def _after_interim(script):
    return lambda exchange: _INTERIM * 3 + script(exchange)


_REFUSED = _answer(503, _told(NOT_RUN))
_REFUSALS = {
    "not run": _REFUSED,
    "not run, sends": _answer(503, _told(NOT_RUN, sends=2)),
    "not run, 404": _answer(404, _told(NOT_RUN)),
    "not run after interim responses": _after_interim(_REFUSED),
    "unread": _answer(503, _UNREAD),
    "not run with further fields": _answer(
        503,
        _raw(
            b'{"exchange":"{x}","outcome":"not_run","sends":0,"runs":0,'
            b'"later":1}'
        ),
    ),
    "not run of a release without backoffs": _answer(
        503,
        _raw(b'{"exchange":"{x}","outcome":"not_run","sends":0,"runs":0}'),
    ),
}
_OTHERS = {
    "unknown, no run": _answer(503, _told(UNKNOWN)),
    "unknown, one run": _answer(503, _told(UNKNOWN, runs=1, sends=1)),
    "unknown, fewer runs": _answer(503, _told(UNKNOWN, runs=-1)),
    "unknown, 421": _answer(421, _told(UNKNOWN)),
    "not run, one run": _answer(503, _told(NOT_RUN, runs=1, sends=1)),
    "not run of another exchange": _answer(503, _told(NOT_RUN, of="other")),
    "not run of no exchange": _answer(503, _told(NOT_RUN, of="")),
    "unread, with a state": _answer(503, _UNREAD, _told(UNKNOWN)),
    "500 without a state": _answer(500),
    "503 without a state": _answer(503),
    "421 without a state": _answer(421, _ID),
    "not-run header without a state": _answer(
        503, _ID, _SIGNED, b"X-Not-Executed: 1\r\n"
    ),
    "state without an outcome": _answer(
        503, _raw(b'{"exchange":"{x}","sends":0,"runs":0}')
    ),
    "outcome of a later release": _answer(
        503,
        _raw(b'{"exchange":"{x}","outcome":"later","sends":0,"runs":0}'),
    ),
    "state without runs": _answer(
        503, _raw(b'{"exchange":"{x}","outcome":"not_run","sends":0}')
    ),
    "state that is no JSON": _answer(503, _raw(b"\xff{")),
    "state that is cut": _answer(503, _raw(b'{"exchange":"{x}","outcome"')),
    "nothing": _bytes(b""),
    "interim responses only": _bytes(_INTERIM),
    "half a head": _bytes(b"HTTP/1.1 503 X\r\n" + _UNREAD),
    "garbage": _bytes(b"\x00\x01 none\r\n\r\n"),
    "target, unsigned": _answer(200, _told(TARGET), _ID),
    "target, half a body": lambda exchange: (
        b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n"
        + _ID
        + _SIGNED
        + _state(exchange, TARGET, sends=1)
        + b"\r\nran"
    ),
    "target, 503": _answer(503, _told(TARGET, sends=1), _ID, _SIGNED),
    "target, 429": _answer(429, _told(TARGET, sends=1), _ID, _SIGNED),
    "target, 408": _answer(408, _told(TARGET, sends=1), _ID, _SIGNED),
    "target, 421": _answer(421, _told(TARGET, sends=1), _ID, _SIGNED),
}


class _Scene:
    """An instance that reaches no target, and two peers that are replaced."""

    def __init__(self, world):
        world.publish(testbed.manifest(2, routes=secondruns.routes()))
        self.world = world
        self.rows = [
            world.service("d0"),
            world.engine("e0", kind="large"),
        ]
        self.net = network.Network()
        world.on_close(self.net.close)
        self._dialer = _ToOneServer()
        self.cut = world.instance(
            "i0", dialer=self.net, peer_dialer=self._dialer
        )
        world.instance("i1")
        world.instance("i2")
        world.wait_for_targets(*self.rows)
        world.wait_for_layers()
        secondruns.wait_for_version(2, self.cut)
        self._numbers = itertools.count()
        self.net.cut(network.Cut.REFUSE_NEW, self.rows)
        for row in self.rows:
            self.cut.target_follower._pool.drop(row.address)

    def wait_for_peers(self):
        """Waits until both peers may be asked."""
        for service in ("desk", "pool"):
            self.cut.relay._choice._declined_until_s.clear()
            testbed.until(
                lambda service=service: len(self.cut.peers.uncut(service)) == 2,
                "the peers are known",
            )

    def send(self, path, scripts, **options):
        """Returns the status of a request, and how many peers were asked."""
        self.wait_for_peers()
        answers = _Peers()
        answers.scripts = scripts
        for name, value in options.items():
            setattr(answers, name, value)
        self.cut.relay._pool.drop("{}:{}".format(*_first_peer(self.cut)))
        answers.replace(self._dialer)
        try:
            status = _status(self.cut, path)
        finally:
            secondruns.wait_until_idle(self.cut)
            self._dialer.endpoint = None
            answers.close()
        return status, len(answers.asked)


def _first_peer(inst):
    for peer in inst.peers.all():
        inst.relay._pool.drop("{}:{}".format(*peer.address))
    return peer.address


def _status(inst, path="/orders/x", deadline_ms=1000):
    try:
        return secondruns.send_order(inst, path, deadline_ms=deadline_ms).status
    except OSError:
        return 0


@pytest.fixture(scope="module")
def scene():
    with testbed.world() as world:
        yield _Scene(world)


PATHS = secondruns.PATHS


class TestPeerThatDoesNotSayNotRun:
    # Guards against a second peer, or a promise, after an answer that does not
    # rule out a run.
    @PATHS
    @pytest.mark.parametrize("resets", [False, True])
    @pytest.mark.parametrize("name", _OTHERS)
    def test_is_the_only_one_asked(self, scene, path, resets, name):
        status, asked = scene.send(path, [_OTHERS[name]], resets=resets)
        assert asked == 1
        assert status not in secondruns.PROMISES

    # Guards against the same after a first peer that has refused the request.
    @PATHS
    @pytest.mark.parametrize("name", _OTHERS)
    def test_is_the_last_one_asked(self, scene, path, name):
        status, asked = scene.send(path, [_REFUSED, _OTHERS[name]])
        assert asked == 2
        assert status not in secondruns.PROMISES

    # Guards against a late answer of a paused peer that is taken for one in
    # time.
    @PATHS
    @pytest.mark.parametrize("name", ["not run", "unread"])
    def test_in_time_but_only_later_is_the_only_one_asked(
        self, scene, path, name
    ):
        status, asked = scene.send(path, [_REFUSALS[name]], delay_s=1.2)
        assert asked == 1
        assert status not in secondruns.PROMISES


class TestPeerThatSaysNotRun:
    # Guards against refusals that are not believed, so that nothing is served.
    @PATHS
    @pytest.mark.parametrize("name", _REFUSALS)
    def test_leaves_the_request_to_another_peer(self, scene, path, name):
        status, asked = scene.send(path, [_REFUSALS[name]])
        assert asked == 2
        assert status in (429, 503)


class TestAnswerOnAKeptConnection:
    # Guards against a copy of a refusal that answers the next request.
    @PATHS
    def test_copy_of_a_refusal_is_not_that_of_the_next_request(
        self, scene, path
    ):
        def twice(exchange):
            return _REFUSED(exchange) * 2

        status, asked = scene.send(path, [twice], keeps=True)
        assert asked == 2
        assert status in (429, 503)

    # Guards against an "unread" of an earlier request.
    def test_unread_on_a_kept_connection_is_no_refusal(self, scene):
        scripts = [
            _answer(200, _told(TARGET), _ID, _SIGNED),
            _answer(503, _UNREAD),
        ]
        scene.wait_for_peers()
        answers = _Peers()
        answers.scripts = scripts
        answers.keeps = True
        _first_peer(scene.cut)
        answers.replace(scene._dialer)
        try:
            assert _status(scene.cut, "/orders/x") == 200
            # The same peer is asked again, on the connection it has kept.
            for peer in scene.cut.peers.all():
                address = "{}:{}".format(*peer.address)
                if address not in scene.cut.relay._pool._idle:
                    scene.cut.relay._choice.record_declined(peer, "desk")
            status = _status(scene.cut, "/orders/x")
        finally:
            scene._dialer.endpoint = None
            answers.close()
        assert len(answers.asked) == 2
        assert status not in secondruns.PROMISES


class TestEndOfAPeer:
    """A real peer ends, stops or is silent after it has sent an order."""

    @pytest.fixture
    def pair(self, world):
        links = network.Network()
        world.on_close(links.close)
        found = secondruns.Scene(world, peer_dialer=links)
        found.peer_links = links
        world.instance("i2")
        world.wait_for_targets(*found.desks)
        testbed.until(
            lambda: len(found.cut.peers.uncut("desk")) == 2, "both peers"
        )
        return found

    def _start(self, pair):
        held = threading.Event()
        pair.world.on_close(held.set)
        for row in pair.desks:
            row.exchange.before_answer = lambda conn: held.wait(5.0)
        statuses = []
        thread = threading.Thread(
            target=lambda: statuses.append(_status(pair.cut, deadline_ms=2500)),
            daemon=True,
        )
        thread.start()
        testbed.until(
            lambda: secondruns.runs(pair.desks), "a peer has sent it on"
        )
        (busy,) = [inst for inst in pair.world.instances if inst.loads.own()]
        return thread, statuses, held, busy

    # Guards against an order that another peer gets after its first one ended.
    @pytest.mark.parametrize("how", ["reset", "hang", "stopping", "silent"])
    def test_after_its_send_causes_no_second_run(self, pair, how):
        thread, statuses, held, busy = self._start(pair)
        if how == "stopping":
            busy.stop.request()
            held.set()
        elif how == "silent":
            busy.gossip.close()
        else:
            pair.peer_links.cut_addresses(
                network.Cut(how), ["{}:{}".format(*busy.peer_address)]
            )
        thread.join(testbed.WAIT_S)
        held.set()
        secondruns.wait_until_idle(pair.cut)
        assert secondruns.runs(pair.desks) == 1
        assert statuses[0] not in secondruns.PROMISES
