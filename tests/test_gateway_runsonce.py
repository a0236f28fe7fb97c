"""Requests that may run once, with the process stopped at each step."""

import socket
import struct
import threading

import pytest

from briarfall.gateway import clocks
from briarfall.gateway.calls import callers
from briarfall.gateway.exchanges import connections
from briarfall.gateway.exchanges import targetconnection
from briarfall.gateway.forwarding import dispatchgate
from briarfall.gateway.forwarding import plain
from briarfall.standins.prepared import rawhttp
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import testbed

_PROMISES = (408, 421, 429, 503)
# Longer than every deadline and idle time of the tests.
_PAUSE_S = 10.0
_STEPS = {
    "gate": (dispatchgate.DispatchGate, "start_attempt"),
    "acquire": (connections.ConnectionPool, "acquire"),
    "send": (targetconnection.TargetConnection, "send"),
    "read": (targetconnection.TargetConnection, "read_head"),
    "drain": (targetconnection.TargetConnection, "drain"),
    "return": (connections.ConnectionPool, "return_to_pool"),
    "answer": (callers.CallerConnection, "answer"),
}
_FAULTS = [
    registeredtarget.Fault.NONE,
    registeredtarget.Fault.REFUSE,
    registeredtarget.Fault.RESET_AFTER_RUN,
    registeredtarget.Fault.CUT_BODY,
    registeredtarget.Fault.GARBAGE,
    registeredtarget.Fault.MISDIRECTED,
]
_REQUEST = (
    "POST /orders/{0} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {0}\r\n"
    "X-Api-Key: key-1\r\nX-Deadline-Ms: 3000\r\nContent-Length: 2\r\n\r\n{0}"
)


class _PausedStep:
    """Runs a function before or after the first call of a step."""

    def __init__(self, monkeypatch, step: str, when: str, action):
        owner, name = _STEPS[step]
        original = getattr(owner, name)
        self.calls = 0

        def wrapped(*args, **kwargs):
            self.calls += 1
            is_first = self.calls == 1
            if is_first and when == "before":
                action()
            try:
                return original(*args, **kwargs)
            finally:
                if is_first and when == "after":
                    action()

        monkeypatch.setattr(owner, name, wrapped)


def _assert_ran_once(rows, request_id, status):
    runs = sum(row.ran_ids().count(request_id) for row in rows)
    assert runs <= 1
    if status in _PROMISES:
        assert not runs


def _wait_until_idle(inst):
    testbed.until(
        lambda: not inst._caller_listener.open_connections, "callers are gone"
    )


def _send(inst, *request_ids):
    sock = socket.create_connection(inst.caller_address, 20)
    data = "".join(_REQUEST.format(row) for row in request_ids)
    sock.sendall(data.encode())
    return sock


@pytest.mark.parametrize("when", ["before", "after"])
@pytest.mark.parametrize("step", _STEPS)
class TestStoppedProcess:
    """SIGSTOP and SIGCONT at a step: the clock has gone on meanwhile."""

    @pytest.mark.parametrize("fault", _FAULTS, ids=lambda row: row.value)
    def test_order_runs_at_most_once(
        self, world, monkeypatch, step, when, fault
    ):
        rows = [world.service(f"d{number}") for number in range(2)]
        inst = world.instance()
        world.wait_for_targets(*rows)
        for row in rows:
            row.fault = fault
        offset_s = 0.0
        boot_s = clocks.boot_s

        def pause():
            nonlocal offset_s
            offset_s = _PAUSE_S

        monkeypatch.setattr(clocks, "boot_s", lambda: boot_s() + offset_s)
        paused = _PausedStep(monkeypatch, step, when, pause)
        answer = testbed.call(inst, "/orders/x", method="POST")
        _wait_until_idle(inst)
        _assert_ran_once(rows, "r1", answer.status)
        # Only refusals are drained.
        assert paused.calls or step == "drain"

    def test_order_of_a_caller_that_has_left_runs_at_most_once(
        self, world, monkeypatch, step, when
    ):
        rows = [world.service(f"d{number}") for number in range(2)]
        inst = world.instance()
        world.wait_for_targets(*rows)
        reached = threading.Event()
        resumed = threading.Event()

        def pause():
            reached.set()
            resumed.wait(10)

        _PausedStep(monkeypatch, step, when, pause)
        sock = _send(inst, "r1")
        if step != "drain":
            assert reached.wait(10)
        sock.close()
        resumed.set()
        _wait_until_idle(inst)
        _assert_ran_once(rows, "r1", 0)


class _ClosingTarget(registeredtarget.RegisteredTarget):
    """Serves its first request, and ends the connection around the second.

    Args:
        end: Ends the connection; it is called with the connection.
        has_read: Whether the second request is read, and run, before that.
    """

    def __init__(self, platform, target_id, end, has_read):
        super().__init__(platform, target_id, "desk", "z1")
        self._end = end
        self._has_read = has_read
        self._served: set[rawhttp.RawConnection] = set()
        self.resume = threading.Event()
        self.ended = threading.Event()
        self.register()

    def handle(self, conn, req) -> bool:
        """Handles a request; returns whether the connection stays open."""
        self.record_run(req)
        if conn in self._served:
            self._end(conn)
            return False
        self._served.add(conn)
        request_id = req.headers["x-request-id"]
        echo = {"X-Request-Id": request_id, "X-Response-Signature": self.id}
        conn.respond(200, b"ran:" + req.body, echo)
        if self._has_read:
            return True
        self.resume.wait(10)
        self._end(conn)
        self.ended.set()
        return False


@pytest.fixture(autouse=True)
def _long_idle_time(monkeypatch):
    monkeypatch.setattr(plain, "_MAX_SINGLE_RUN_IDLE_S", 10.0)


@pytest.mark.parametrize(
    "end",
    [rawhttp.RawConnection.reset, rawhttp.RawConnection.end],
    ids=["reset", "close"],
)
class TestKeptConnectionThatEnds:
    def test_after_the_request_has_run(self, world, end):
        rows = []
        for number in range(2):
            rows.append(_ClosingTarget(world.store, f"d{number}", end, True))
            world.on_close(rows[-1].close)
        inst = world.instance()
        world.wait_for_targets(*rows)
        statuses = []
        for number in range(6):
            answer = testbed.call(
                inst, "/orders/x", method="POST", request_id=f"r{number}"
            )
            statuses.append(answer.status)
            _assert_ran_once(rows, f"r{number}", answer.status)
        assert set(statuses) == {200, 502}

    @pytest.mark.parametrize("when", ["before", "after"])
    def test_as_the_request_is_sent(self, world, monkeypatch, end, when):
        row = _ClosingTarget(world.store, "d0", end, False)
        world.on_close(row.close)
        inst = world.instance()
        world.wait_for_targets(row)
        testbed.call(inst, "/orders/x", method="POST", request_id="r0")

        def close_now():
            row.resume.set()
            assert row.ended.wait(10)

        _PausedStep(monkeypatch, "send", when, close_now)
        answer = testbed.call(inst, "/orders/x", method="POST", request_id="r1")
        assert answer.status == 502
        _assert_ran_once([row], "r1", answer.status)


class TestHalfSentRequest:
    def test_target_that_stops_reading_is_not_unsent(self, world):
        """The kernel takes a part of a long body, then the target resets."""

        def reset_after_head(conn, req):
            conn.reset()
            return False

        server = rawhttp.RawServer(reset_after_head)
        conn = targetconnection.TargetConnection(server.address, 1.0)
        conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        deadline_s = clocks.boot_s() + 5.0
        body = b"x" * 2**24
        fields = [(b"Host", b"x"), (b"Content-Length", b"%d" % len(body))]
        try:
            # A request without a body lets the server reset meanwhile.
            conn.sock.sendall(b"POST /x HTTP/1.1\r\n\r\n")
            conn.watch(None)
            with pytest.raises(targetconnection.BrokenExchangeError):
                conn.send(b"POST", b"/x", fields, body, deadline_s)
        finally:
            conn.close()
            server.close()


class TestCallersConnection:
    def test_pipelined_orders_run_once_each_and_in_order(self, world):
        rows = [world.service(f"d{number}") for number in range(2)]
        inst = world.instance()
        world.wait_for_targets(*rows)
        sock = _send(inst, "r1", "r2", "r3")
        data = b""
        while b"ran:r3" not in data:
            data += sock.recv(65_536)
        sock.close()
        _wait_until_idle(inst)
        order = [data.index(f"ran:r{n}".encode()) for n in (1, 2, 3)]
        assert order == sorted(order)
        for number in (1, 2, 3):
            _assert_ran_once(rows, f"r{number}", 0)

    def test_half_an_order_does_not_run(self, world):
        row = world.service("d0")
        inst = world.instance()
        world.wait_for_targets(row)
        sock = socket.create_connection(inst.caller_address, 20)
        sock.sendall(_REQUEST.format("r1").encode()[:-1])
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        sock.close()
        _wait_until_idle(inst)
        assert row.ran_ids() == []

    def test_order_read_during_a_planned_stop_is_answered(self, world):
        row = world.service("d0")
        inst = world.instance()
        world.wait_for_targets(row)
        sock = socket.create_connection(inst.caller_address, 20)
        inst.stop.request()
        sock.sendall(_REQUEST.format("r1").encode())
        assert sock.recv(65_536).startswith(b"HTTP/1.1 200")
        sock.close()
        _wait_until_idle(inst)
        assert row.ran_ids() == ["r1"]
