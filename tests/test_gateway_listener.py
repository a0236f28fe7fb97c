"""The listener that accepts callers, at the limits of its process."""

import socket
import threading

import pytest

from briarfall import strictheads
from briarfall.gateway.callers import listener
from briarfall.standins.prepared import testbed


class _ThreadLimit(threading.Thread):
    """A thread that can't be started, as at the limit of the process."""

    def start(self):
        raise RuntimeError("can't start new thread")


@pytest.fixture
def full_listener(monkeypatch):
    """A listener whose connections get no thread."""
    row = listener.Listener("127.0.0.1", 0, socket.socket.close, name="callers")
    row.start()
    monkeypatch.setattr(listener.threading, "Thread", _ThreadLimit)
    yield row
    row.stop()


class TestConnectionWithoutAThread:
    @pytest.mark.parametrize("size", [0, 30_000])
    def test_gets_a_refusal(self, full_listener, size):
        conn = strictheads.StrictConnection(
            *full_listener.address, timeout=testbed.WAIT_S
        )
        conn.request("POST", "/orders/x", body=b"a" * size)
        answer = conn.getresponse()
        assert answer.status == 503
        assert float(answer.headers["Retry-After"]) > 0
        answer.read()
        conn.close()
        testbed.until(
            lambda: not full_listener.open_connections, "it is not counted"
        )
