"""Tests that an odd number in a head or an event ends no thread."""

import contextlib
import socket

import pytest

from briarfall import exceptions
from briarfall import sockets
from briarfall.gateway.exchanges import events
from briarfall.gateway.exchanges import targetconnection
from briarfall.standins.prepared import testbed

_DIGITS_5000 = "9" * 5000
_DIGITS_4000 = "9" * 4000
_ODD_NUMBERS = {
    "nan": "nan",
    "inf": "inf",
    "minus_inf": "-inf",
    "exponent": "1e400",
    "negative": "-5",
    "zero": "0",
    "text": "soon",
    "digits_4000": _DIGITS_4000,
    "digits_5000": _DIGITS_5000,
    "superscript": "\u00b2",
}


class TestCallersHeaders:
    @pytest.mark.parametrize("name", _ODD_NUMBERS)
    def test_odd_deadline_is_answered(self, world, name):
        world.wait_for_targets(world.service("d1"))
        inst = world.instance()
        found = testbed.call(inst, "/views/1", deadline_ms=_ODD_NUMBERS[name])
        assert found.status in (200, 400, 502, 503, 504)

    @pytest.mark.parametrize("name", _ODD_NUMBERS)
    @pytest.mark.parametrize(
        "header", ["X_Token_Usage", "X_Length_Hint", "Last_Event_Id"]
    )
    def test_odd_number_of_a_stream_is_answered(self, world, name, header):
        world.engine("e1", kind="large")
        inst = world.instance()
        world.wait_for_layers()
        value = _ODD_NUMBERS[name]
        if header == "X_Token_Usage":
            value = f"{value[:2900]},{value[:2900]}"
        found = testbed.call(
            inst, "/drafts/1", method="POST", **{header: value}
        )
        assert found.status in (200, 400, 502, 503, 504)

    @pytest.mark.parametrize("number", ["9" * 5000, "-1", "1_0", "nan"])
    def test_odd_content_length_is_answered(self, world, number):
        inst = world.instance()
        with socket.create_connection(inst.caller_address, 10) as sock:
            sock.sendall(
                b"POST /views/1 HTTP/1.1\r\nHost: shop.example\r\n"
                b"Content-Length: " + number.encode() + b"\r\n\r\n"
            )
            assert sock.recv(100).startswith(b"HTTP/1.1 4")


class TestTargetsHeads:
    @pytest.mark.parametrize("name", _ODD_NUMBERS)
    def test_odd_idle_timeout_is_a_finite_number(self, name):
        value = b"timeout=" + _ODD_NUMBERS[name].encode()
        limit_s = targetconnection.keep_alive_s([(b"Keep-Alive", value)])
        assert 0.0 <= limit_s < 1e9

    @pytest.mark.parametrize(
        "field",
        [
            b"Content-Length: " + b"9" * 5000,
            b"Content-Length: -1",
            b"Content-Length: nan",
            b"Transfer-Encoding: chunked\r\n\r\n" + b"f" * 5000,
            b"Transfer-Encoding: chunked\r\n\r\n-5",
        ],
        ids=["digits_5000", "negative", "nan", "chunk_digits", "chunk_minus"],
    )
    def test_odd_length_raises_typed_error(self, field):
        with socket.create_server(("127.0.0.1", 0)) as server:
            host, port = server.getsockname()
            conn = targetconnection.TargetConnection(f"{host}:{port}", 1.0)
            peer, _ = server.accept()
            with peer:
                peer.sendall(b"HTTP/1.1 200 OK\r\n" + field + b"\r\n\r\n")
                peer.shutdown(socket.SHUT_WR)
                conn.send(b"GET", b"/", [(b"Host", b"x")], b"", _deadline_s())
                conn.watch(None)
                with pytest.raises(exceptions.BriarfallError):
                    conn.read_head(_deadline_s())
                    conn.read_body(_deadline_s())
            conn.close()


def _deadline_s() -> float:
    return targetconnection.clocks.boot_s() + 5.0


class TestEvents:
    @pytest.mark.parametrize("number", ["9" * 5000, "9" * 400])
    def test_event_with_huge_number_raises_typed_error(self, number):
        data = f"id: {number}\ndata: x\n\n".encode()
        with pytest.raises(events.EventTooLongError):
            events.EventSplitter().feed(data)


class TestChunkedBody:
    @pytest.mark.parametrize("size", [b"-5", b"-2", b"1_0", b"+1", b"0x1", b""])
    def test_odd_chunk_size_raises_value_error(self, size):
        ours, theirs = socket.socketpair()
        with ours, theirs:
            theirs.sendall(size + b"\r\nabcdefgh\r\n0\r\n\r\n")
            body = sockets.ChunkedBody(ours, b"")
            with pytest.raises(ValueError):
                body.receive_some()

    # Guards against a bound that holds only if a head comes in pieces.
    @pytest.mark.parametrize("piece_bytes", [1, 100, 10_000])
    @pytest.mark.parametrize(
        "size, is_too_long", [(1023, False), (1024, False), (1025, True)]
    )
    def test_bound_on_a_chunk_head_holds_in_any_pieces(
        self, piece_bytes, size, is_too_long
    ):
        data = b"2;" + b"a" * (size - 2) + b"\r\nok\r\n0\r\n\r\n"
        ours, theirs = socket.socketpair()
        received = b""
        with ours, theirs:
            body = sockets.ChunkedBody(ours, b"")
            with contextlib.ExitStack() as stack:
                if is_too_long:
                    stack.enter_context(pytest.raises(ValueError))
                for start in range(0, len(data), piece_bytes):
                    theirs.sendall(data[start : start + piece_bytes])
                    received += body.receive(socket.MSG_DONTWAIT) or b""
        assert received == (b"" if is_too_long else b"ok")
