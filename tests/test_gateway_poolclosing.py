"""An instance that ends leaves no connection of its pools open."""

import pytest

from briarfall.gateway.exchanges import connections
from briarfall.gateway.exchanges import matching
from briarfall.standins.prepared import rawhttp
from briarfall.standins.prepared import testbed


@pytest.fixture
def server():
    def answer(conn, req):
        conn.respond(200)
        return True

    found = rawhttp.RawServer(answer)
    yield found
    found.close()


@pytest.fixture
def pool():
    return connections.ConnectionPool()


def _acquire(pool, address):
    return pool.acquire(
        address, 2.0, testbed.WAIT_S, matching.RequestIdentity()
    )


def _fetch(pool, server):
    connections.send_request(
        pool, server.address, "GET", "/", b"", testbed.WAIT_S
    )


class TestClosedPool:
    def test_closes_idle_connections(self, pool, server):
        _fetch(pool, server)
        assert server._open
        pool.close()
        testbed.until(lambda: not server._open, "no connection is open")

    def test_closes_those_that_come_back_later(self, pool, server):
        conn = _acquire(pool, server.address)
        pool.close()
        pool.put(conn)
        testbed.until(lambda: not server._open, "no connection is open")


class TestClosedInstance:
    def test_leaves_no_connection_to_a_target(self, world):
        desk = world.service("d1")
        inst = world.instance()
        world.wait_for_targets(desk)
        assert testbed.call(inst, "/views/x").status == 200
        assert desk.server._open
        inst.close()
        testbed.until(lambda: not desk.server._open, "no connection is open")

    def test_leaves_no_connection_to_a_peer(self, world):
        first = world.instance("i1")
        second = world.instance("i2")
        testbed.until(lambda: first.peers.uncut("desk"), "the peer is known")
        peer_pool = first.links._peer_pool
        conn = _acquire(peer_pool, "{}:{}".format(*second.peer_address))
        peer_pool.put(conn)
        first.close()
        assert conn.sock.fileno() == -1

    def test_leaves_no_connection_to_the_store(self, world):
        world.instance()
        server = world.store._server
        assert server._open
        world.instances[0].close()
        world.platforms[0].close()
        testbed.until(lambda: not server._open, "no connection is open")
