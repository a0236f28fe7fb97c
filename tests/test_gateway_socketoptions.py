"""Options of the sockets that the gateway and its libraries open.

A `TCP_USER_TIMEOUT` would also decide when keep-alive probes give up, and so
could end a connection whose other side is silent for a second.
"""

import http.client
import socket
import threading

from cheroot import wsgi
import pytest
import urllib3
from websockets.sync import client
from websockets.sync import server

from briarfall import httpclient
from briarfall.gateway.callers import listener
from briarfall.gateway.callers import listensocket
from briarfall.gateway.exchanges import connections
from briarfall.gateway.exchanges import matching
from briarfall.standins.prepared import rawcaller
from briarfall.standins.prepared import testbed


def _options(sock: socket.socket) -> tuple[int, int]:
    """Returns the user timeout in ms and whether keep-alive probes are sent."""
    return (
        sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
        sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE),
    )


@pytest.fixture
def opened(monkeypatch):
    """Returns the options of all TCP sockets, as of their close."""
    found = []
    real_close = socket.socket.close

    def close(sock):
        if sock.fileno() >= 0 and sock.type == socket.SOCK_STREAM:
            if sock.family == socket.AF_INET:
                found.append(_options(sock))
        real_close(sock)

    monkeypatch.setattr(socket.socket, "close", close)
    return found


class TestOwnSockets:
    def test_connection_to_a_target_has_no_user_timeout(self, world):
        desk = world.service("d1")
        pool = connections.ConnectionPool()
        conn = pool.acquire(
            desk.address, 0.0, testbed.WAIT_S, matching.RequestIdentity()
        )
        assert _options(conn.sock) == (0, 0)
        conn.close()

    def test_accepted_connection_has_no_user_timeout(self):
        found = []
        served = threading.Event()

        def handle(sock):
            found.append(_options(sock))
            served.set()

        door = listener.Listener("127.0.0.1", 0, handle, name="test")
        door.start()
        caller = rawcaller.RawCaller(door.address)
        assert served.wait(testbed.WAIT_S)
        door.stop()
        caller.close()
        assert found == [(0, 0)]

    def test_listening_socket_has_no_user_timeout(self):
        sock = listensocket.open_listener("127.0.0.1", 0)
        assert _options(sock) == (0, 0)
        sock.close()

    def test_no_socket_of_an_instance_has_a_user_timeout(self, world, opened):
        desk = world.service("d1")
        inst = world.instance()
        world.wait_for_targets(desk)
        assert testbed.call(inst, "/views/x").status == 200
        world.close()
        assert {timeout_ms for timeout_ms, _ in opened} == {0}


class TestSocketsOfLibraries:
    def test_urllib3(self, world):
        desk = world.service("d1")
        pool = urllib3.HTTPConnectionPool(desk.address)
        conn = pool._get_conn()
        conn.connect()
        assert _options(conn.sock) == (0, 0)
        conn.close()

    def test_http_client(self, world):
        desk = world.service("d1")
        conn = http.client.HTTPConnection(desk.address)
        conn.connect()
        assert _options(conn.sock) == (0, 0)
        conn.close()

    def test_own_http_client(self, world, opened):
        desk = world.service("d1")
        own = httpclient.HttpClient(f"http://{desk.address}")
        own.send("GET", "/x", timeout_s=testbed.WAIT_S)
        own.close()
        world.close()
        assert {timeout_ms for timeout_ms, _ in opened} == {0}

    def test_websockets(self):
        found = []

        def handle(conn):
            found.append(_options(conn.socket))
            conn.send("done")
            # The end of this function closes the connection at both ends.
            assert conn.recv() == "read"

        with server.serve(handle, "127.0.0.1", 0) as door:
            thread = threading.Thread(target=door.serve_forever)
            thread.start()
            host, port = door.socket.getsockname()
            with client.connect(f"ws://{host}:{port}") as conn:
                found.append(_options(conn.socket))
                assert conn.recv() == "done"
                conn.send("read")
            door.shutdown()
            thread.join()
        assert found == [(0, 0)] * 2

    def test_cheroot(self, opened):
        def app(_, start_response):
            start_response("200 OK", [("Content-Length", "0")])
            return [b""]

        door = wsgi.Server(("127.0.0.1", 0), app)
        door.prepare()
        thread = threading.Thread(target=door.serve)
        thread.start()
        conn = http.client.HTTPConnection(*door.bind_addr)
        conn.request("GET", "/")
        assert conn.getresponse().status == 200
        conn.close()
        door.stop()
        thread.join()
        assert {timeout_ms for timeout_ms, _ in opened} == {0}
