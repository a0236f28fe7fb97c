"""Stand-ins leave no thread and no descriptor behind when they are closed."""

import socket
import threading

import pytest

from briarfall.standins.prepared import network
from briarfall.standins.prepared import rawhttp
from briarfall.standins.prepared import testbed


def _accept_threads():
    return {
        thread
        for thread in threading.enumerate()
        if thread.name.endswith(("(_accept)", "(_reset_all)"))
    }


@pytest.fixture
def earlier():
    """Threads of stand-ins that run before the test."""
    return _accept_threads()


class _SlowServer(rawhttp.RawServer):
    """Lacks the processor between two accepts, as beside busy processes."""

    accepting = None

    def _start_serving(self, sock):
        if threading.current_thread() is not threading.main_thread():
            self.accepting.set()
            threading.Event().wait(0.5)
        super()._start_serving(sock)


def _answer(conn, req):
    conn.respond(200)
    return True


class TestRawServer:
    def test_accepts_nothing_after_its_close(self, earlier):
        server = _SlowServer(_answer)
        server.accepting = threading.Event()
        with socket.create_connection((server.host, server.port)):
            assert server.accepting.wait(testbed.WAIT_S)
            server.close()
            assert _accept_threads() <= earlier

    def test_listens_again_after_its_close(self, earlier):
        server = rawhttp.RawServer(_answer)
        for _ in range(3):
            server.close()
            server.reopen()
            address = (server.host, server.port)
            with socket.create_connection(address, testbed.WAIT_S) as sock:
                sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
                assert sock.recv(100).startswith(b"HTTP/1.1 200")
        server.close()
        assert _accept_threads() <= earlier


class TestNetwork:
    def test_accepts_nothing_after_its_close(self, earlier):
        network.Network().close()
        assert _accept_threads() <= earlier
