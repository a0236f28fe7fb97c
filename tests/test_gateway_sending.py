"""Requests that their targets do not read at once."""

import socket
import threading
import types

import pytest

from briarfall.gateway import clocks
from briarfall.gateway.exchanges import outgoing
from briarfall.gateway.exchanges import targetconnection
from briarfall.gateway.forwarding import plainfollowing
from briarfall.standins.prepared import testbed
from tests import test_gateway_silence as silence
from tests import test_gateway_silentcalls as silentcalls

_BODY = b"a" * 4_000_000


@pytest.fixture
def pair():
    near, far = socket.socketpair()
    with near, far:
        yield near, far


class TestOutgoingBytes:
    def test_rest_is_sent_while_the_far_end_reads(self, pair):
        near, far = pair
        sending = outgoing.OutgoingBytes(near)
        sending.put(_BODY)
        assert sending.is_pending
        received = 0
        while received < len(_BODY):
            received += len(far.recv(65_536))
            sending.push()
        assert sending.is_complete

    def test_short_request_is_sent_at_once(self, pair):
        near, far = pair
        sending = outgoing.OutgoingBytes(near)
        sending.put(b"short")
        assert sending.is_complete
        assert far.recv(10) == b"short"

    def test_failure_leaves_an_incomplete_request(self, pair):
        near, far = pair
        sending = outgoing.OutgoingBytes(near)
        sending.put(_BODY)
        far.close()
        sending.push()
        assert not sending.is_pending
        assert not sending.is_complete

    def test_time_of_progress_stays_while_the_far_end_does_not_read(self, pair):
        near, _ = pair
        sending = outgoing.OutgoingBytes(near)
        sending.put(_BODY)
        last_sent_s = sending.last_sent_s
        sending.push()
        assert sending.last_sent_s == last_sent_s


class TestSilence:
    """Decisions without a network: a call of 8 s, which may run twice."""

    @pytest.mark.parametrize(
        "progress_s, deadlines_s",
        [
            ([], [4.0]),
            ([0.0], [4.0]),
            ([3.0], [4.0, 5.5]),
            ([4.0, 6.0], [4.0, 6.0, 7.0]),
        ],
    )
    def test_begins_with_the_last_progress(
        self, monkeypatch, progress_s, deadlines_s
    ):
        found = []
        progress = list(progress_s)
        call = types.SimpleNamespace(attempt_count=1, deadline_s=8.0)
        sends = types.SimpleNamespace(call=call, may_run_again=lambda _: True)
        conn = types.SimpleNamespace(last_sent_s=0.0)
        exchange = types.SimpleNamespace(conn=conn)

        def read_head(deadline_s):
            found.append(deadline_s)
            monkeypatch.setattr(clocks, "boot_s", lambda: deadline_s)
            if progress:
                conn.last_sent_s = progress.pop(0)
            raise targetconnection.ResponseTimeoutError("no response in time")

        conn.read_head = read_head
        follower = plainfollowing.PlainFollower(*[None] * 7)
        with pytest.raises(targetconnection.ResponseTimeoutError):
            follower._read_until_silent(
                sends,
                exchange,
                follower._response_deadline_s(sends, exchange, 0.0),
            )
        assert found == deadlines_s


class _LongCall:
    """A call of 4 MB at a target whose connections have small windows."""

    def __init__(self, world, kind="views"):
        self.scene = silentcalls._Scene(world, kind=kind)
        manifest = testbed.manifest(
            3,
            routes=[
                testbed.route(
                    kind,
                    f"/{kind}/",
                    "mutating" if kind == "orders" else "idempotent",
                    "desk",
                    timeout_ms=20000,
                )
            ],
        )
        manifest["limits"]["max_body_bytes"] = 4_194_304
        world.publish(manifest)
        inst = self.scene.inst
        testbed.until(lambda: inst.follower.view.version == 3, "it is in force")
        self.first, self.second = self.scene.desks
        # A new connection inherits the small window of its listener.
        self.first.target.server._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, 4096
        )
        inst.target_follower._pool.drop(self.first.target.address)
        inst.loads.reserve([self.second.id], 0)

    def start(self):
        self.scene.caller = silence.Caller(
            self.scene.inst,
            self.scene.path,
            method="POST",
            body=_BODY,
            request_id="r1",
            deadline_ms=silentcalls._DEADLINE_MS,
        )


class TestTargetThatReadsLate:
    def test_answers_though_another_one_was_tried(self, world):
        call = _LongCall(world)
        call.first.target.silence.shut()
        call.first.speak()
        call.start()
        testbed.until(lambda: call.second.is_asked, "another one is tried")
        call.first.target.silence.open()
        answer = call.scene.caller.finish()
        assert answer.status == 200
        assert answer.body == b"ran:" + _BODY
        assert answer.headers["X-Response-Signature"] == call.first.id

    def test_keeps_an_order(self, world):
        call = _LongCall(world, kind="orders")
        call.first.target.silence.shut()
        call.second.speak()
        call.start()
        answer = call.scene.caller.finish()
        call.first.target.silence.open()
        assert answer.status == 504
        assert not call.second.is_asked


class TestTargetThatRejectsWithoutReading:
    @pytest.mark.parametrize("kind", ["views", "orders"])
    def test_is_heard(self, world, kind):
        call = _LongCall(world, kind)
        ended = threading.Event()
        world.on_close(ended.set)

        def reject(sock):
            with sock:
                sock.recv(1024)
                sock.sendall(
                    b"HTTP/1.1 413 X\r\nX-Request-Id: r1\r\n"
                    b"X-Response-Signature: %s\r\nContent-Length: 8\r\n\r\n"
                    b"too long" % call.first.id.encode()
                )
                ended.wait(testbed.WAIT_S)

        def start_serving(sock):
            threading.Thread(target=reject, args=(sock,), daemon=True).start()

        call.first.target.server._start_serving = start_serving
        call.start()
        answer = call.scene.caller.finish()
        assert answer.status == 413
        assert answer.body == b"too long"
