"""Callers that read a response slowly."""

import socket
import threading

import pytest

from briarfall.gateway.calls import callers
from briarfall.gateway.catalogue import views
from briarfall.gateway.exchanges import targetconnection
from briarfall.standins.prepared import rawcaller
from briarfall.standins.prepared import testbed

_TIMEOUT_S = 0.6
_PAUSE_S = 0.05
_BODY = b"a" * 400_000


@pytest.fixture
def pair(monkeypatch):
    """A caller's socket and the gateway's connection, with small buffers."""
    monkeypatch.setattr(callers, "_SEND_TIMEOUT_S", _TIMEOUT_S)
    door = socket.create_server(("127.0.0.1", 0))
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    caller.settimeout(testbed.WAIT_S)
    caller.connect(door.getsockname())
    sock, _ = door.accept()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
    conn = callers.CallerConnection(sock, views.CallerLimits())
    caller.sendall(rawcaller.request("/views/x"))
    assert conn.read_request() is not None
    yield caller, conn
    caller.close()
    conn.close()
    door.close()


class TestSlowCaller:
    """A caller is given up only while it reads nothing."""

    def test_caller_that_goes_on_reading_gets_the_whole_answer(self, pair):
        caller, conn = pair
        received = []

        def read() -> None:
            pause = threading.Event()
            while sum(map(len, received)) < len(_BODY):
                pause.wait(_PAUSE_S)
                received.append(caller.recv(16_384))
                if not received[-1]:
                    return

        reader = threading.Thread(target=read)
        reader.start()
        conn.answer(200, [], _BODY)
        conn.close()
        reader.join()
        assert b"".join(received).count(b"a") >= len(_BODY) - 16_384

    def test_caller_that_reads_nothing_is_given_up(self, pair):
        _, conn = pair
        with pytest.raises(targetconnection.CallerGoneError):
            conn.answer(200, [], _BODY)
