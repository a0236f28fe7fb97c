"""Tests that an address that names no endpoint ends no thread."""

import socket
import threading

import pytest

from briarfall import addresses
from briarfall import exceptions
from briarfall.gateway.exchanges import dialing
from briarfall.gateway.exchanges import targetconnection
from briarfall.gateway.targets import liveness
from briarfall.standins.prepared import testbed

ODD_ADDRESSES = {
    "port_99999": "127.0.0.1:99999",
    "port_65536": "127.0.0.1:65536",
    "port_0": "127.0.0.1:0",
    "port_thirty_digits": "127.0.0.1:" + "9" * 30,
    "port_5000_digits": "127.0.0.1:" + "9" * 5000,
    "port_superscript": "127.0.0.1:\u00b2",
    "port_arabic": "127.0.0.1:\u0668\u0660",
    "port_signed": "127.0.0.1:+80",
    "port_padded": "127.0.0.1:0080",
    "port_missing": "127.0.0.1",
    "port_empty": "127.0.0.1:",
    "host_cr_lf": "127.0.0.1\r\nX: y:80",
    "host_space": " 127.0.0.1:80",
    "host_empty": ":80",
    "host_name": "engine:80",
    "host_nul": "127.0.0.1\0:80",
    "host_short": "127.1:80",
    "host_large_part": "127.0.0.256:80",
    "host_ipv6": "[::1]:80",
    "host_huge": "1" * 100_000 + ":80",
    "empty": "",
}


class TestParse:
    @pytest.mark.parametrize("address", ODD_ADDRESSES.values())
    def test_odd_address_raises_typed_error(self, address):
        with pytest.raises(exceptions.PeerError) as info:
            addresses.parse(address, "peer p1", exceptions.PeerError)
        assert "peer p1" in info.value.message
        assert len(info.value.message) < 300

    def test_number_and_port_are_returned(self):
        assert addresses.parse("10.0.0.9:65535", "x") == ("10.0.0.9", 65_535)


_UNUSABLE = [
    *ODD_ADDRESSES.values(),
    "\ud800:80",
    "a" * 70 + ".example:80",
]


class TestUnusableAddresses:
    @pytest.mark.parametrize("address", _UNUSABLE)
    def test_connection_raises_not_sent(self, address):
        with pytest.raises(targetconnection.NotSentError):
            targetconnection.TargetConnection(address, 0.1)

    @pytest.mark.parametrize("address", _UNUSABLE)
    def test_probe_has_no_result(self, address):
        found = liveness.probe_target(address)
        assert found is liveness.Reachability.UNKNOWN

    def test_probe_of_other_addresses_goes_on(self, world):
        service = world.service("d1")
        found = liveness.probe_target(service.address, _UNUSABLE)
        assert found is liveness.Reachability.OPEN


class _ThirdSocketFails:
    """The module `socket`, whose third socket of one thread can't be opened.

    Other threads, as those of stand-ins, open theirs as before.
    """

    def __init__(self):
        self.opened = []
        self._thread = threading.get_ident()

    def __getattr__(self, name):
        return getattr(socket, name)

    def socket(self, *args, **kwargs):
        sock = socket.socket(*args, **kwargs)
        if threading.get_ident() == self._thread:
            self.opened.append(sock)
            if len(self.opened) == 3:
                raise OSError(24, "too many open files")
        return sock


class TestProbeWithoutDescriptors:
    @pytest.fixture
    def sockets(self, monkeypatch):
        found = _ThirdSocketFails()
        for module in (dialing, liveness):
            monkeypatch.setattr(module, "socket", found)
        return found

    def test_failed_probe_leaves_no_socket_open(self, sockets):
        addresses = {f"127.0.0.1:{port}" for port in (1, 2, 3, 4)}
        found = liveness._connect_all(addresses)
        assert found.keys() == addresses
        sockets.opened.pop(2).close()
        assert len(sockets.opened) == 3
        assert all(sock.fileno() == -1 for sock in sockets.opened)

    def test_stand_ins_accept_connections_meanwhile(self, world, sockets):
        service = world.service("d1")
        endpoint = addresses.parse(service.address, "stand-in")
        with socket.create_connection(endpoint, testbed.WAIT_S):
            testbed.until(lambda: service.server.opened, "it is accepted")
        assert not sockets.opened
