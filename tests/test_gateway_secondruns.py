"""Requests that may run once: no second run, and no promise after a run."""

import enum
import functools
import itertools
import time

import pytest

from briarfall import exceptions
from briarfall.gateway.crashes import crashdetection
from briarfall.gateway.exchanges import connections
from briarfall.gateway.exchanges import dialing
from briarfall.gateway.exchanges import proofs
from briarfall.gateway.exchanges import targetconnection
from briarfall.gateway.forwarding import closedanswers
from briarfall.gateway.forwarding import dispatchgate
from briarfall.gateway.forwarding import plainexchanges
from briarfall.gateway.forwarding import streamstate
from briarfall.gateway.targets import linkmonitor
from briarfall.gateway.targets import liveness
from briarfall.gateway.targets import loads
from briarfall.gateway.targets import targets
from briarfall.gateway.targets import targetsignals
from briarfall.standins.prepared import exchangefaults
from briarfall.standins.prepared import network
from briarfall.standins.prepared import rawhttp
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import testbed

PROMISES = (408, 421, 429, 503)
_DEADLINE_MS = 1500
_ATTEMPTS = 4


def routes(*, orders="mutating", resumable=False, service="desk"):
    """Returns routes whose orders and streams may run once, if not changed."""
    return [
        testbed.route(
            "orders", "/orders/", orders, service, attempts=_ATTEMPTS
        ),
        testbed.route("views", "/views/", "idempotent", "desk"),
        testbed.route(
            "drafts",
            "/drafts/",
            "streaming",
            "pool",
            resumable=resumable,
            gap_aim_ms=200,
            attempts=_ATTEMPTS,
        ),
    ]


def send_order(inst, path="/orders/x", *, request_id="r1", **extra):
    """Sends a request that may run once; returns its response."""
    return testbed.call(
        inst,
        path,
        method="POST",
        body=b"a",
        request_id=request_id,
        **{"deadline_ms": _DEADLINE_MS, **extra},
    )


def runs(rows, request_id="r1"):
    """Returns how often targets have run a request."""
    return sum(row.ran_ids().count(request_id) for row in rows)


def assert_ran_once(rows, status, request_id="r1"):
    """Checks that a request ran once at most, and not after a promise."""
    count = runs(rows, request_id)
    assert count <= 1
    if status in PROMISES:
        assert not count


def wait_until_idle(*instances):
    """Waits until the instances serve no caller any more."""
    for inst in instances:
        testbed.until(
            lambda inst=inst: not inst._caller_listener.open_connections,
            "callers are gone",
        )


def wait_for_version(version, *instances):
    """Waits until a version of the catalogue is in force."""
    for inst in instances:
        testbed.until(
            lambda inst=inst: inst.follower.view.version == version,
            f"version {version}",
        )


class Scene:
    """Two instances, of which the first reaches targets through the other.

    Attributes:
        desks: Plain services.
        engines: Engines that hold the whole model.
        cut: The instance that reaches no target.
        peer: The other one.
    """

    def __init__(self, world, peer_dialer=dialing.SYSTEM_DIALER, **extra):
        world.publish(testbed.manifest(2, routes=routes(**extra)))
        self.world = world
        self.desks = [world.service(f"d{number}") for number in range(3)]
        self.engines = [
            world.engine(f"e{number}", kind="large") for number in range(3)
        ]
        self.net = network.Network()
        world.on_close(self.net.close)
        self.cut = world.instance(
            "i0", dialer=self.net, peer_dialer=peer_dialer
        )
        self.peer = world.instance("i1")
        world.wait_for_targets(*self.desks)
        world.wait_for_layers()
        wait_for_version(2, self.cut, self.peer)
        for service in ("desk", "pool"):
            testbed.until(
                lambda service=service: self.cut.peers.uncut(service),
                "the peer is known",
            )
        self.net.cut(network.Cut.REFUSE_NEW, self.rows)
        for row in self.rows:
            self.cut.target_follower._pool.drop(row.address)

    @property
    def rows(self):
        """All targets."""
        return [*self.desks, *self.engines]

    def change_all_but(self, inst, monkeypatch, rows):
        """Publishes other routes, which one instance does not learn."""
        view = inst.follower.view
        self.world.publish(testbed.manifest(3, routes=rows))
        wait_for_version(3, *self.world.instances)
        monkeypatch.setattr(inst.follower, "apply", lambda *_: None)
        inst.follower.view = view

    def change(self, inst, monkeypatch, rows):
        """Publishes other routes, which only one of two instances learns."""
        (other,) = [row for row in self.world.instances if row is not inst]
        self.change_all_but(other, monkeypatch, rows)


PATHS = pytest.mark.parametrize("path", ["/orders/x", "/drafts/x"])
_FAULTS = [
    registeredtarget.Fault.FAIL,
    registeredtarget.Fault.RESET_AFTER_RUN,
    registeredtarget.Fault.CUT_BODY,
    registeredtarget.Fault.GARBAGE,
    registeredtarget.Fault.HANG,
]


def _break_streams(rows):
    for row in rows:
        row.reset_after_event = 3


def _forget_links(inst):
    for target in inst.targets.of_service("desk"):
        inst.links.record_reached(target)


class TestViewsThatDiffer:
    """A configuration change is in force at one of two instances only."""

    @pytest.fixture
    def scene(self, world):
        return Scene(world)

    # Guards against a peer that repeats an order since its older view says so.
    @pytest.mark.parametrize("fault", _FAULTS, ids=lambda row: row.value)
    @pytest.mark.parametrize("is_peer_newer", [False, True])
    def test_order_runs_once_though_the_peer_may_repeat_it(
        self, world, monkeypatch, fault, is_peer_newer
    ):
        if is_peer_newer:
            scene = Scene(world)
            scene.change(scene.peer, monkeypatch, routes(orders="idempotent"))
        else:
            scene = Scene(world, orders="idempotent")
            scene.change(scene.cut, monkeypatch, routes())
        for desk in scene.desks:
            desk.fault = fault
        answer = send_order(scene.cut)
        wait_until_idle(scene.cut)
        assert runs(scene.desks) == 1
        assert answer.status not in PROMISES

    # Guards against a peer that resumes a stream which may run once.
    @pytest.mark.parametrize("is_peer_newer", [False, True])
    def test_stream_runs_once_though_the_peer_may_resume_it(
        self, world, monkeypatch, is_peer_newer
    ):
        if is_peer_newer:
            scene = Scene(world)
            scene.change(scene.peer, monkeypatch, routes(resumable=True))
        else:
            scene = Scene(world, resumable=True)
            scene.change(scene.cut, monkeypatch, routes())
        _break_streams(scene.engines)
        send_order(scene.cut, "/drafts/x")
        wait_until_idle(scene.cut)
        assert runs(scene.engines) == 1

    # Guards against an instance that asks another peer for what its older view
    # may repeat, though the peer that ran it may not.
    @PATHS
    def test_request_runs_once_though_only_the_peer_may_not_repeat_it(
        self, world, monkeypatch, path
    ):
        scene = Scene(world, orders="idempotent", resumable=True)
        world.instance("i2")
        world.wait_for_targets(*scene.desks)
        world.wait_for_layers()
        for service in ("desk", "pool"):
            testbed.until(
                lambda service=service: (
                    len(scene.cut.peers.uncut(service)) == 2
                ),
                "both peers are known",
            )
        scene.change_all_but(scene.cut, monkeypatch, routes())
        for desk in scene.desks:
            desk.fault = registeredtarget.Fault.RESET_AFTER_RUN
        _break_streams(scene.engines)
        send_order(scene.cut, path)
        wait_until_idle(scene.cut)
        assert runs(scene.rows) == 1

    # Guards against a first run here, by an older view, and a second one at a
    # peer whose view forbids it.
    def test_order_that_may_have_run_is_not_run_by_a_peer(
        self, world, monkeypatch
    ):
        scene = Scene(world, orders="idempotent")
        scene.change(scene.peer, monkeypatch, routes())
        first = scene.desks[0]
        scene.net.heal()
        _forget_links(scene.cut)
        scene.net.cut(network.Cut.REFUSE_NEW, scene.desks[1:])
        for desk in scene.desks[1:]:
            scene.cut.target_follower._pool.drop(desk.address)
        first.fault = registeredtarget.Fault.RESET_AFTER_RUN
        answer = send_order(scene.cut)
        wait_until_idle(scene.cut)
        assert first.ran_ids() == ["r1"]
        assert runs(scene.desks) == 1
        assert answer.status == 502

    # Guards against a target's promise that the peer may pass on, but not the
    # instance that was asked.
    @pytest.mark.parametrize("status", [408, 429, 503])
    @PATHS
    def test_order_that_ran_is_not_answered_with_a_promise(
        self, world, monkeypatch, status, path
    ):
        scene = Scene(world, orders="idempotent", resumable=True)
        scene.change(scene.cut, monkeypatch, routes())

        def fail(row, conn, req, *_):
            row.record_run(req)
            request_id = req.headers["x-request-id"]
            conn.respond(
                status,
                b"odd",
                {"X-Request-Id": request_id, "X-Response-Signature": row.id},
            )
            return True

        for row in scene.rows:
            row.handle = lambda conn, req, row=row: fail(row, conn, req)
        answer = send_order(scene.cut, path)
        wait_until_idle(scene.cut)
        assert runs(scene.rows) == 1
        assert answer.status not in PROMISES

    # Guards against a route that the peer's view lacks or serves otherwise.
    @pytest.mark.parametrize("change", ["removed", "service"])
    def test_order_of_a_changed_route_runs_once(
        self, scene, monkeypatch, change
    ):
        other = scene.world.service("o0", service="other")
        scene.world.wait_for_targets(other)
        rows = routes(service="other")
        if change == "removed":
            rows = rows[1:]
        scene.change(scene.peer, monkeypatch, rows)
        targets_of_all = [*scene.desks, other]
        for row in targets_of_all:
            row.fault = registeredtarget.Fault.RESET_AFTER_RUN
        answer = send_order(scene.cut)
        wait_until_idle(scene.cut)
        assert_ran_once(targets_of_all, answer.status)

    # Guards against a bound on runs that is another one at each instance.
    @pytest.mark.parametrize("attempts", [1, 2, 9])
    def test_order_runs_once_with_other_attempts_at_the_peer(
        self, scene, monkeypatch, attempts
    ):
        rows = routes()
        for row in rows:
            row["attempts"] = attempts
        scene.change(scene.peer, monkeypatch, rows)
        for desk in scene.desks:
            desk.fault = registeredtarget.Fault.RESET_AFTER_RUN
        answer = send_order(scene.cut)
        wait_until_idle(scene.cut)
        assert answer.status == 502
        assert runs(scene.desks) == 1


# Steps between the send of a request and the record of what became of it.
_STEPS = {
    "watch": (targetconnection.TargetConnection, "watch"),
    "wait": (targetconnection.TargetConnection, "wait"),
    "receive": (targetconnection.TargetConnection, "receive"),
    "next event": (targetconnection.TargetConnection, "next_event"),
    "read head": (targetconnection.TargetConnection, "read_head"),
    "drain": (targetconnection.TargetConnection, "drain"),
    "return": (connections.ConnectionPool, "return_to_pool"),
    "attribute": (proofs, "check_attributable"),
    "signature": (proofs, "check_signed"),
    "completion": (closedanswers, "check_of"),
    "signals": (targetsignals.TargetSignals, "handle"),
    "answer seen": (linkmonitor.LinkMonitor, "record_answer"),
    "doubt": (linkmonitor.LinkMonitor, "record_doubt"),
    "reset seen": (linkmonitor.LinkMonitor, "record_reset"),
    "unreachable": (linkmonitor.LinkMonitor, "record_unreachable"),
    "response": (targets.TargetTable, "record_response"),
    "success": (targets.TargetTable, "record_success"),
    "failure": (targets.TargetTable, "record_failure"),
    "invalid": (targets.TargetTable, "record_invalid_response"),
    "block": (targets.TargetTable, "block"),
    "survived": (dispatchgate.DispatchGate, "record_survived"),
    "proven": (dispatchgate.DispatchGate, "record_proven"),
    "probe": (liveness, "probe_target"),
    "interruption": (crashdetection.CrashDetector, "record_interruption"),
    "count": (plainexchanges.CallSends, "count"),
    "progress": (streamstate.Stream, "record_event"),
    "release": (loads.LoadTable, "release"),
}
_ERRORS = {
    "unexpected": lambda: RuntimeError("unexpected"),
    "memory": MemoryError,
    "descriptors": lambda: OSError(24, "too many open files"),
    "no outcome": lambda: exceptions.OverloadError("full"),
    "not sent": lambda: targetconnection.NotSentError("no connection"),
    "stopping": lambda: exceptions.DrainingError("the instance stops"),
    "held": lambda: exceptions.HeldRequestError("held"),
}


def _fail_step(patch, step, error, rows, request_id):
    """Fails a step once after a target has run a request."""
    owner, name = _STEPS[step]
    original = getattr(owner, name)
    failed = []

    def wrapped(*args, **kwargs):
        if not failed and runs(rows, request_id):
            failed.append(step)
            raise _ERRORS[error]()
        return original(*args, **kwargs)

    patch.setattr(owner, name, wrapped)
    return failed


def _silence(conn):
    time.sleep(0.7)


def _say_503(row, conn, req):
    row.record_run(req)
    echo = {
        "X-Request-Id": req.headers["x-request-id"],
        "X-Response-Signature": row.id,
    }
    conn.respond(503, b"odd", echo)
    return True


class _Trigger(enum.Enum):
    """What targets do so that a step is taken."""

    NONE = "none"
    RESET = "reset"
    CRASH = "crash"
    GARBAGE = "garbage"
    HANG = "hang"
    SLOW = "slow"
    ODD_STATUS = "odd status"


# Steps that are not taken after each answer, with what they follow.
_TRIGGERS = {
    "reset seen": _Trigger.RESET,
    "probe": _Trigger.RESET,
    "interruption": _Trigger.RESET,
    "count": _Trigger.RESET,
    "unreachable": _Trigger.CRASH,
    "failure": _Trigger.CRASH,
    "invalid": _Trigger.GARBAGE,
    "block": _Trigger.HANG,
    "doubt": _Trigger.SLOW,
    "drain": _Trigger.ODD_STATUS,
}
_PLAIN_ONLY = ("watch", "doubt", "invalid", "block", "count")
_STREAMS_ONLY = ("progress",)


def _cases():
    """Returns all steps, each with the paths whose requests take it."""
    rows = []
    for step in _STEPS:
        if step not in _STREAMS_ONLY:
            rows.append((step, "/orders/x"))
        if step not in _PLAIN_ONLY:
            rows.append((step, "/drafts/x"))
    return rows


def _apply(patch, scene, trigger):
    fault = registeredtarget.Fault.NONE
    closing = exchangefaults.Closing.NONE
    if trigger in (_Trigger.RESET, _Trigger.CRASH):
        closing = exchangefaults.Closing.AFTER_RUN
    if trigger is _Trigger.GARBAGE:
        fault = registeredtarget.Fault.GARBAGE
    if trigger is _Trigger.HANG:
        fault = registeredtarget.Fault.HANG
    if trigger is _Trigger.CRASH:
        patch.setattr(
            liveness,
            "probe_target",
            lambda *_, **__: liveness.Reachability.REFUSED,
        )
    for row in scene.rows:
        row.fault = fault
        row.exchange.closing = closing
        if trigger is _Trigger.SLOW:
            patch.setattr(row.exchange, "before_answer", _silence)
        if trigger is _Trigger.ODD_STATUS:
            patch.setattr(row, "handle", functools.partial(_say_503, row))


def _forget_failures(scene):
    """Makes all targets and peers usable again after an earlier test."""
    for inst in scene.world.instances:
        inst.relay._choice._declined_until_s.clear()
        if inst is scene.cut:
            continue
        for service in ("desk", "pool"):
            for target in inst.targets.of_service(service):
                inst.targets.record_success(target)
                inst.links.record_reached(target)


@pytest.mark.parametrize("is_relayed", [False, True])
@pytest.mark.parametrize("error", _ERRORS)
class TestErrorAfterTheSend:
    """An error of this instance, with or without an outcome of its own."""

    # Guards against "not run" as the default outcome of an error after a send,
    # also one of a peer, so that another target or peer is asked.
    @pytest.mark.parametrize(("step", "path"), _cases())
    def test_is_no_promise_and_causes_no_second_run(
        self, scene_of_many, monkeypatch, step, error, path, is_relayed
    ):
        scene = scene_of_many
        _forget_failures(scene)
        request_id = f"r{next(scene.numbers)}"
        inst = scene.cut if is_relayed else scene.peer
        with monkeypatch.context() as patch:
            _apply(patch, scene, _TRIGGERS.get(step, _Trigger.NONE))
            failed = _fail_step(patch, step, error, scene.rows, request_id)
            status = _status_of(inst, path + request_id, request_id)
            wait_until_idle(inst)
        assert_ran_once(scene.rows, status, request_id)
        assert failed


@pytest.fixture(scope="module")
def scene_of_many():
    """A scene for many requests, with a third instance."""
    with testbed.world() as world:
        scene = Scene(world)
        world.instance("i2")
        world.wait_for_targets(*scene.desks)
        world.wait_for_layers()
        scene.numbers = itertools.count()
        yield scene


def _status_of(inst, path, request_id):
    """Returns the status of the response, or 0 if there is none."""
    try:
        return send_order(inst, path, request_id=request_id).status
    except OSError:
        return 0


# What a target does with a request: whether it runs it, and what it sends.
def _head(status, *fields):
    lines = [f"HTTP/1.1 {status} X", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


_NOT_RUN = "X-Not-Executed: 1"
_ID = "X-Request-Id: {id}"
_SIGNED = "X-Response-Signature: s"
_EMPTY = "Content-Length: 0"
_INTERIM = _head(102) + _head(103, _NOT_RUN, _ID)
_OTHER = _head(503, _NOT_RUN, "X-Request-Id: other", _SIGNED, _EMPTY)
DENIALS = {
    "header": _head(503, _NOT_RUN, _ID, _SIGNED, _EMPTY),
    "header, 429": _head(429, _NOT_RUN, _ID, _EMPTY),
    "header, 400": _head(400, _NOT_RUN, _ID, _EMPTY),
    "another target": _head(421, _ID, _EMPTY),
    "after interim responses": _INTERIM
    + _head(503, _NOT_RUN, _ID, _SIGNED, _EMPTY),
    "after that of another request": _OTHER
    + _head(503, _NOT_RUN, _ID, _SIGNED, _EMPTY),
    "twice": _head(503, _NOT_RUN, _ID, _SIGNED, _EMPTY) * 2,
    "cut in its body": _head(503, _NOT_RUN, _ID, _SIGNED, "Content-Length: 9"),
}
RUNS = {
    "503 without the header": _head(503, _ID, _SIGNED, _EMPTY),
    "429 without the header": _head(429, _ID, _SIGNED, _EMPTY),
    "408 without the header": _head(408, _ID, _SIGNED, _EMPTY),
    "unsigned 503": _head(503, _ID, _EMPTY),
    "refusal without an id or a signature": _head(503, _NOT_RUN, _EMPTY),
    "421 without an id or a signature": _head(421, _EMPTY),
    "refusal of another request": _OTHER,
    "interim refusal only": _INTERIM,
    "interim refusal, then a failure": _INTERIM
    + _head(500, _ID, _SIGNED, _EMPTY),
    "refusal in a trailer": _head(
        503, _ID, _SIGNED, "Transfer-Encoding: chunked"
    )
    + b"0\r\nX-Not-Executed: 1\r\n\r\n",
    "half a refusal": _head(503, _NOT_RUN, _ID)[:-4],
    "nothing": b"",
    "switched protocol": _head(101, _NOT_RUN, _ID),
    "success, then a refusal": _head(200, _ID, _SIGNED, _EMPTY)
    + _head(503, _NOT_RUN, _ID, _SIGNED, _EMPTY),
}


class _Scripted(registeredtarget.RegisteredTarget):
    """Sends bytes for its requests, and runs them or not.

    Attributes:
        script: The bytes.
        does_run: Whether it runs its requests.
        resets: Whether a reset follows the bytes.
        delay_s: Seconds before the bytes.
        runs_late: Whether it runs a request only after the delay.
    """

    def __init__(self, platform, target_id):
        super().__init__(platform, target_id, "desk", "z1")
        self.script = b""
        self.does_run = True
        self.resets = False
        self.delay_s = 0.0
        self.runs_late = False
        self.register()

    def handle(self, conn, req) -> bool:
        """Handles a request; returns whether the connection stays open."""
        self.record_arrival(req)
        if self.does_run and not self.runs_late:
            self.record_run(req)
        self.closing.wait(self.delay_s)
        if self.does_run and self.runs_late:
            self.record_run(req)
        request_id = req.headers["x-request-id"]
        try:
            conn.send(self.script.replace(b"{id}", request_id.encode()))
            if self.resets:
                conn.reset()
            else:
                conn.end()
        except OSError:
            return False
        return False


class TestTargetThatSays:
    """One target says something odd; another one would run the order."""

    @pytest.fixture
    def rows(self, world):
        row = _Scripted(world.store, "d0")
        world.on_close(row.close)
        return [row]

    def _send(self, world, rows, **extra):
        """Returns the status of an order that reached the odd target."""
        spare = world.service("d1")
        inst = world.instance()
        world.wait_for_targets(*rows, spare)
        rows.append(spare)
        for number in range(60):
            request_id = f"r{number}"
            answer = send_order(inst, request_id=request_id, **extra)
            reached = [row.request_id for row in rows[0].arrivals]
            if request_id in reached:
                wait_until_idle(inst)
                return answer.status, request_id
            time.sleep(0.01)
        raise AssertionError("no order reached the target")

    # Guards against a response that looks like a refusal after a run.
    @pytest.mark.parametrize("resets", [False, True])
    @pytest.mark.parametrize("name", RUNS)
    def test_something_after_a_run_gets_no_second_one(
        self, world, rows, name, resets
    ):
        rows[0].script = RUNS[name]
        rows[0].resets = resets
        status, request_id = self._send(world, rows)
        assert runs(rows, request_id) == 1
        assert status not in PROMISES

    # Guards against an order that is refused and then runs at two others.
    @pytest.mark.parametrize("resets", [False, True])
    @pytest.mark.parametrize("name", DENIALS)
    def test_not_run_is_asked_no_more(self, world, rows, name, resets):
        rows[0].script = DENIALS[name]
        rows[0].does_run = False
        rows[0].resets = resets
        status, request_id = self._send(world, rows)
        assert_ran_once(rows, status, request_id)

    # Guards against a promise for an order that a silent target runs later.
    @pytest.mark.parametrize("name", ["nothing", "503 without the header"])
    def test_something_after_the_deadline_has_an_unknown_outcome(
        self, world, rows, name
    ):
        rows[0].script = RUNS[name]
        rows[0].delay_s = 0.6
        rows[0].runs_late = True
        status, request_id = self._send(world, rows, deadline_ms=300)
        assert status not in PROMISES
        testbed.until(lambda: runs(rows, request_id), "it runs late")
        assert runs(rows, request_id) == 1

    # Guards against a late refusal that is taken for one in time.
    @pytest.mark.parametrize("name", ["header", "another target"])
    def test_not_run_after_the_deadline_sends_nothing_any_more(
        self, world, rows, name
    ):
        rows[0].script = DENIALS[name]
        rows[0].does_run = False
        rows[0].delay_s = 0.4
        status, request_id = self._send(world, rows, deadline_ms=300)
        assert status not in PROMISES
        assert not runs(rows, request_id)


class TestRefusalBeforeTheBody:
    # Guards against a refusal of an unread body that leaves bytes for a later
    # request, or a run beside it.
    def test_moves_the_order_to_another_target_whole(self, world):
        doc = testbed.manifest(2, routes=routes())
        doc["limits"]["max_body_bytes"] = 2**22
        world.publish(doc)
        spare = world.service("d1")
        refusing = world.service("d0")
        reached = []

        def refuse(sock):
            conn = rawhttp.RawConnection(sock)
            data = b""
            while b"\r\n\r\n" not in data:
                data += sock.recv(1000)
            reached.append(data)
            request_id = _id_in(data)
            script = DENIALS["header"].replace(b"{id}", request_id)
            conn.send(script)
            refusing.closing.wait(0.3)
            sock.close()

        refusing.server._serve = refuse
        inst = world.instance()
        world.wait_for_targets(refusing, spare)
        wait_for_version(2, inst)
        body = b"a" * 2**21
        for number in range(60):
            request_id = f"r{number}"
            answer = testbed.call(
                inst,
                "/orders/x",
                method="POST",
                body=body,
                request_id=request_id,
            )
            assert_ran_once([spare, refusing], answer.status, request_id)
            if reached:
                break
            time.sleep(0.01)
        assert reached
        assert answer.body == b"ran:" + body


def _id_in(data):
    for line in data.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"x-request-id":
            return value.strip()
    return b""


class TestAddressOfAnotherService:
    # Guards against an order that a target of another service runs.
    def test_runs_no_order_of_the_target_before(self, world):
        world.publish(testbed.manifest(2, routes=routes()))
        desk = world.service("d0")
        inst = world.instance()
        world.wait_for_targets(desk)
        wait_for_version(2, inst)
        assert send_order(inst, request_id="r0").status == 200
        other = world.service("o0", service="other")
        port = desk.server.port
        desk.close()
        other.server.close()
        other.server.port = port
        other.server.reopen()
        answer = send_order(inst)
        wait_until_idle(inst)
        assert_ran_once([desk, other], answer.status)
        assert not runs([other])
