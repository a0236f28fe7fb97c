"""Stand-ins leave no thread and no descriptor behind when they are closed."""

import socket
import threading

import pytest

from briarfall import addresses
from briarfall.standins.prepared import network
from briarfall.standins.prepared import rawhttp
from briarfall.standins.prepared import testbed
from briarfall.standins.prepared.faultsoak import faultsets
from briarfall.standins.prepared.faultsoak import proxy
from briarfall.standins.prepared.faultsoak import soak
from tests import descriptors


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


def _await_end(sock):
    """Waits until the other side has closed or reset a connection."""
    try:
        assert not sock.recv(1)
    except ConnectionResetError:
        pass


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


class TestProxy:
    @pytest.mark.parametrize("fault", list(proxy.LinkFault))
    def test_resets_its_connections_at_its_close(self, earlier, fault):
        server = rawhttp.RawServer(_answer)
        link = proxy.Proxy(server.address)
        endpoint = addresses.parse(link.address, "proxy")
        with socket.create_connection(endpoint, testbed.WAIT_S) as sock:
            testbed.until(lambda: server.opened, "it is passed on")
            link.set_fault(fault)
            link.close()
            _await_end(sock)
        testbed.until(lambda: not server._open, "no connection is open")
        server.close()
        assert _accept_threads() <= earlier


class TestScene:
    @pytest.mark.parametrize(
        "sets", [(), (faultsets.FaultSet.CUTS,)], ids=["usual", "cuts"]
    )
    def test_closes_all_stand_ins(self, earlier, tmp_path, sets):
        before = descriptors.count_open()
        run = soak.Soak(3, 1.0, tmp_path, 2, sets or soak._USUAL)
        assert descriptors.count_open() > before + 10
        run.scene.close()
        assert descriptors.count_open() <= before
        assert _accept_threads() <= earlier
