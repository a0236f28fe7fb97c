"""Sockets whose connection is lost before its bytes are read."""

import contextlib
import errno
import select
import socket
import struct

import pytest

from briarfall import responsesockets

_RESET = struct.pack("ii", 1, 0)
_BODY = b"a" * 8_000_000
_PART = b"first part"


@pytest.fixture
def pair():
    """A client's socket and its server's."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        near = socket.create_connection(listener.getsockname(), 5.0)
        far, _ = listener.accept()
    with responsesockets.adopt(near) as sock, far:
        yield sock, far


def _reset(sock, far):
    far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    far.close()
    _await(sock, select.POLLHUP)


def _await(sock, events):
    poller = select.poll()
    poller.register(sock, events)
    while not dict(poller.poll(5000))[sock.fileno()] & events:
        continue


def _send(sock):
    sock.send(b"x")


def _send_all(sock):
    sock.sendall(b"x")


def _look(sock):
    sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)


def _ask_for_error(sock):
    code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    raise OSError(code, "told")


def _receive(sock):
    sock.recv(1)


def _receive_into(sock):
    sock.recv_into(bytearray(1))


FIRST_CALLS = pytest.mark.parametrize(
    "call",
    [_send, _send_all, _look, _ask_for_error, _receive, _receive_into],
    ids=lambda call: call.__name__,
)


class TestLostConnection:
    # Guards against an error that only the first call receives.
    @FIRST_CALLS
    def test_is_no_orderly_end_for_later_reads(self, pair, call):
        sock, far = pair
        _reset(sock, far)
        with pytest.raises(ConnectionResetError):
            call(sock)
        for read in (_receive, _receive_into, _look, _receive):
            with pytest.raises(ConnectionResetError):
                read(sock)

    @FIRST_CALLS
    def test_is_no_orderly_end_for_a_file(self, pair, call):
        sock, far = pair
        _reset(sock, far)
        with pytest.raises(ConnectionResetError):
            call(sock)
        with sock.makefile("rb") as reader:
            for _ in range(2):
                with pytest.raises(ConnectionResetError):
                    reader.read()

    def test_is_told_after_the_bytes_that_came_before_it(self, pair):
        sock, far = pair
        far.sendall(_PART)
        _await(sock, select.POLLIN)
        _reset(sock, far)
        with pytest.raises(ConnectionResetError):
            sock.send(b"x")
        found = b""
        for _ in _PART:
            found += sock.recv(1)
        assert found == _PART
        with pytest.raises(ConnectionResetError):
            sock.recv(1)

    def test_is_told_though_several_sends_failed(self, pair):
        sock, far = pair
        _reset(sock, far)
        for _ in range(3):
            with pytest.raises(OSError):
                sock.send(b"x")
        with pytest.raises(ConnectionResetError):
            sock.recv(1)


class TestOrderlyEnd:
    # Guards against a whole answer that counts as cut.
    @pytest.mark.parametrize("part", [b"", _PART])
    def test_stays_one_though_a_reset_follows(self, pair, part):
        sock, far = pair
        far.sendall(part)
        far.shutdown(socket.SHUT_WR)
        sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            sock.send(_BODY)
        # It closes with bytes unread, and so resets.
        far.close()
        _await(sock, select.POLLHUP)
        with pytest.raises(OSError) as caught:
            sock.send(b"x")
        assert caught.value.errno == errno.EPIPE
        assert sock.recv(100) == part
        assert sock.recv(100) == b""

    def test_is_one_after_a_wait_in_vain(self, pair):
        sock, far = pair
        sock.settimeout(0.01)
        with pytest.raises(TimeoutError):
            sock.recv(1)
        sock.settimeout(None)
        with pytest.raises(BlockingIOError):
            sock.recv(1, socket.MSG_DONTWAIT)
        far.close()
        assert sock.recv(1) == b""


class TestAdoption:
    def test_keeps_the_connection_and_its_time_out(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            near = socket.create_connection(listener.getsockname(), 3.0)
            number = near.fileno()
            with responsesockets.adopt(near) as sock:
                assert near.fileno() == -1
                assert sock.fileno() == number
                assert sock.gettimeout() == 3.0
                assert sock.getpeername() == listener.getsockname()
                listener.accept()[0].close()
                assert sock.recv(1) == b""
