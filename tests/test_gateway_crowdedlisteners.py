"""Listeners with nearly as many connections as the process allows."""

import socket
import threading

import pytest

from briarfall.standins.prepared import rawcaller
from briarfall.standins.prepared import testbed

# Lets callers open 10 connections.
_MAX_DESCRIPTORS = 220
_CALLERS = 10
_PEERS = 3
# A pause after which a request may be refused to make room.
_PAUSE_S = 0.8
_BODY = b"a" * 1000


@pytest.fixture
def inst():
    """A small instance with one target."""
    with testbed.world() as scene:
        target = scene.service("t1")
        scene.publish(testbed.manifest(1))
        found = scene.instance(max_descriptors=_MAX_DESCRIPTORS)
        scene.wait_for_targets(target)
        yield found


class TestIdleConnections:
    def test_callers_that_keep_them_open_leave_room_for_others(self, inst):
        kept = []
        closed = []
        for _ in range(_CALLERS + 5):
            caller = rawcaller.RawCaller(inst.caller_address)
            kept.append(caller)
            caller.send(rawcaller.request("/views/x"))
            answer = caller.read()
            assert answer.status == 200
            closed.append(answer.headers.get("connection") == "close")
            if closed[-1]:
                assert caller.is_closed
                testbed.until(
                    lambda: inst.open_connections < _CALLERS - 1,
                    "the connection is not counted",
                )
        assert not any(closed[: _CALLERS // 2])
        for caller in kept:
            caller.close()


class TestConnectionsOfPeers:
    def test_they_cost_no_request_of_a_caller(self, inst):
        caller = rawcaller.RawCaller(inst.caller_address)
        data = rawcaller.request("/orders/x", method="POST", body=_BODY)
        caller.send(data[:-1])
        threading.Event().wait(_PAUSE_S)
        peers = []
        for _ in range(_PEERS):
            peers.append(socket.create_connection(inst._relay_listener.address))
        testbed.until(
            lambda: inst.open_relay_connections == _PEERS, "peers are served"
        )
        caller.send(data[-1:])
        assert caller.read(b"POST").status == 200
        caller.close()
        for peer in peers:
            peer.close()
