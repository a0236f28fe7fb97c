"""Stand-ins that are down for the time of a fault keep their ports."""

import socket

import pytest

from briarfall.standins import engine
from briarfall.standins import fleet
from briarfall.standins import weightstore


def assert_is_down_and_held(address):
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address)
    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind(address)


class TestAbortedStandin:
    # Guards against "Address already in use" when it starts again.
    def test_port_goes_to_no_other_socket_until_the_stop(self):
        standin = weightstore.WeightStoreStandin()
        standin.start()
        address = standin.server.address
        standin.abort()
        assert_is_down_and_held(address)
        standin.stop()
        with socket.create_server(address):
            pass


class TestEngineThatIsCut:
    # Guards against "Address already in use" when it listens again.
    def test_port_goes_to_no_other_socket_until_it_reopens(self):
        created = fleet.Fleet([engine.EngineSpec("a", "suva", 0, 4)])
        created.start()
        try:
            listener = created.listeners["a"]
            address = listener.server.address
            listener.cut()
            assert_is_down_and_held(address)
            listener.reopen()
            socket.create_connection(address).close()
        finally:
            created.stop()
