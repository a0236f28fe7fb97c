"""Tests that an odd datagram costs that datagram and nothing else."""

import socket
import threading
import zlib

import msgspec
import pytest

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway.catalogue import sources
from briarfall.gateway.catalogue import views
from briarfall.gateway.gossip import peermessages
from briarfall.gateway.peers import peers
from briarfall.gateway.placement import leasing
from briarfall.standins.prepared import testbed
from tests import test_addresses

_FORMAT = b"\x02"
_COMPRESSED = b"\x03"
_ZONE = ids.ZoneId("z1")


def entry(target_id="t1", **changes) -> sources.TargetEntry:
    found = sources.TargetEntry(
        id=ids.TargetId(target_id),
        service=views.ServiceName("desk"),
        address="127.0.0.1:8080",
        zone=_ZONE,
        state=sources.TargetState.READY,
    )
    return msgspec.structs.replace(found, **changes)


def status(**changes) -> peermessages.Status:
    found = peermessages.Status(
        "i2", "127.0.0.1:7000", _ZONE, 1, False, True, [], [], []
    )
    return msgspec.structs.replace(found, **changes)


ODD_DATAGRAMS = {
    "empty": b"",
    "format_only": _FORMAT,
    "array_nested": _FORMAT + b"\x91" * 60_000,
    "map_nested": _FORMAT + b"\x81\xa1a" * 20_000,
    "status_nested": _FORMAT + b"\x92\xa1s" + b"\x91" * 60_000,
    "request_nested": _FORMAT + b"\x95\xa1q\x01\x02\x03" + b"\x91" * 60_000,
    "array_too_long": _FORMAT + b"\xdd\xff\xff\xff\xff",
    "map_too_long": _FORMAT + b"\xdf\xff\xff\xff\xff",
    "bytes_too_long": _FORMAT + b"\xc6\xff\xff\xff\xff",
    "text_not_utf_8": _FORMAT + b"\x93\xa1s\xa2\xff\xfe\xa1a",
    "tag_unknown": _FORMAT + b"\x92\xa1z\x01",
    "tag_number": _FORMAT + b"\x92\x01\x01",
    "nil": _FORMAT + b"\xc0",
    "extension": _FORMAT + b"\xc7\xff\x01",
    "reserved": _FORMAT + b"\xc1",
    "json": b'{"id": 1}',
}


class TestDecode:
    @pytest.mark.parametrize("name", ODD_DATAGRAMS)
    def test_odd_datagram_raises_peer_error(self, name):
        with pytest.raises(exceptions.PeerError) as info:
            peermessages.decode(ODD_DATAGRAMS[name])
        assert len(str(info.value)) < 600


class TestChanges:
    @pytest.mark.parametrize("name", ODD_DATAGRAMS)
    def test_odd_changes_raise_peer_error(self, name):
        with pytest.raises(exceptions.PeerError):
            peermessages.unpack_changes(ODD_DATAGRAMS[name])

    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"?",
            zlib.compress(b"\x93\x01\x90\x90")[:-1],
            zlib.compress(b"\x94\x01\x90\x90" + b"\x91" * 100_000),
            zlib.compress(b"\0" * 2**26, 9),
        ],
        ids=["empty", "garbage", "truncated", "nested", "bomb"],
    )
    def test_odd_compressed_changes_raise_peer_error(self, data):
        with pytest.raises(exceptions.PeerError):
            peermessages.unpack_changes(_COMPRESSED + data)

    @pytest.mark.parametrize(
        "changes",
        [
            {"address": "127.0.0.1:99999"},
            {"address": test_addresses.ODD_ADDRESSES["host_cr_lf"]},
            {"slots": -5},
            {"slots": 2**63 - 1},
            {"layers": sources.LayerRange(0, 10**15)},
            {"layers": sources.LayerRange(-5, 3)},
            {"id": ids.TargetId("")},
            {"id": ids.TargetId("a\r\nb")},
            {"zone": 3},
            {"state": "gone"},
            {"beat": -1},
        ],
        ids=str,
    )
    def test_odd_entry_costs_only_that_entry(self, changes):
        sound = [entry("a"), entry("b")]
        rows = [sound[0], entry("odd", **changes), sound[1]]
        data = peermessages.pack_changes(
            peermessages.TargetChanges(5, rows, [ids.TargetId("c")])
        )
        found = peermessages.unpack_changes(data)
        assert found == peermessages.TargetChanges(5, sound, ["c"])


class FakePeer:
    """Answers each request to a UDP socket with what a function returns."""

    def __init__(self, respond):
        self._respond = respond
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(("127.0.0.1", 0))
        self.peer = peers.Peer(
            ids.InstanceId("fake"),
            self._sock.getsockname(),
            _ZONE,
            1.0,
            clocks.boot_s(),
        )
        self.answered = 0
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self):
        while True:
            data, address = self._sock.recvfrom(65_000)
            if not data:
                return
            request = peermessages.decode(data)
            if isinstance(request, peermessages.Status):
                continue
            self.answered += 1
            response = self._respond(request)
            if isinstance(response, bytes):
                self._sock.sendto(response, address)
                continue
            self._sock.sendto(peermessages.encode(response), address)

    def close(self):
        self._sock.sendto(b"", self._sock.getsockname())
        self._thread.join()
        self._sock.close()


@pytest.fixture
def fake_peer():
    started = []

    def start(respond):
        started.append(FakePeer(respond))
        return started[-1]

    yield start
    for row in started:
        row.close()


def _part(request, count, data):
    return peermessages.PartResponse(request.number, 1, count, data)


class TestExchange:
    def test_answer_of_another_type_raises_peer_error(self, world, fake_peer):
        inst = world.instance()
        fake = fake_peer(lambda request: _part(request, 1, b""))
        with pytest.raises(exceptions.PeerError):
            inst.gossip.ask(fake.peer, 0, -1, 0.5)
        fake = fake_peer(
            lambda request: peermessages.FreshnessResponse(
                request.number, 1, 1, 0, 0, b""
            )
        )
        with pytest.raises(exceptions.PeerError):
            inst.gossip.fetch_catalogue(fake.peer, 0.5)

    @pytest.mark.parametrize(
        "data", [b"", b"x", b"x" * 1000], ids=["empty", "short", "long"]
    )
    def test_parts_without_end_raise_peer_error(self, world, fake_peer, data):
        inst = world.instance()
        fake = fake_peer(lambda request: _part(request, 2**40, data))
        with pytest.raises(exceptions.PeerError):
            inst.gossip.fetch_catalogue(fake.peer, 2.0)
        assert fake.answered < 1000

    def test_catalogue_bomb_raises_peer_error(self, world, fake_peer):
        inst = world.instance()
        bomb = zlib.compress(b"\0" * 2**25, 9)
        fake = fake_peer(lambda request: _part(request, 1, bomb))
        with pytest.raises(exceptions.PeerError):
            inst.gossip.fetch_catalogue(fake.peer, 2.0)

    def test_truncated_catalogue_raises_peer_error(self, world, fake_peer):
        inst = world.instance()
        data = zlib.compress(b"{}")[:-1]
        fake = fake_peer(lambda request: _part(request, 1, data))
        with pytest.raises(exceptions.PeerError):
            inst.gossip.fetch_catalogue(fake.peer, 2.0)


class TestReceiveLoop:
    def test_peers_are_heard_after_odd_datagrams(self, world):
        inst = world.instance("i1")
        address = inst.gossip._sock.getsockname()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for data in ODD_DATAGRAMS.values():
                sock.sendto(data, address)
            for odd in test_addresses.ODD_ADDRESSES.values():
                if len(odd) < 1000 and odd.isascii():
                    row = status(address=odd)
                    sock.sendto(peermessages.encode(row), address)
        world.instance("i2")
        testbed.until(
            lambda: inst.peers.instance_count == 2, "the other is known"
        )
        assert [row.id for row in inst.peers.alive()] == ["i2"]

    @pytest.mark.parametrize("mbps", [float("nan"), float("inf"), -1.0, 1e300])
    def test_odd_link_demand_counts_as_none(self, world, mbps):
        inst = world.instance("i1")
        inst.peer_status.apply(status(link_mbps=mbps))
        assert inst.peers.link_demand_mbps() == 0.0

    def test_negative_load_counts_as_none(self, world):
        inst = world.instance("i1")
        row = peermessages.LoadRow(ids.TargetId("t1"), -5, -1000)
        inst.peer_status.apply(status(loads=[row]))
        load = inst.loads.of(ids.TargetId("t1"))
        assert (load.streams, load.tokens) == (0, 0)

    @pytest.mark.parametrize("heads", [-1, -7, 6, 10**9])
    def test_odd_count_of_heads_counts_as_all_streams(self, world, heads):
        inst = world.instance("i1")
        row = peermessages.LoadRow(ids.TargetId("t1"), 5, 1000, heads)
        inst.peer_status.apply(status(loads=[row]))
        assert inst.loads.of(ids.TargetId("t1")).heads == 5


class _SilentSource(sources.LeaseSource):
    """Store of a lease that must not be asked."""

    read_grant = None
    try_acquire = None


class TestLease:
    @pytest.mark.parametrize("left_s", [2**63 / 1000, 1e9, float("inf")])
    def test_lease_that_a_peer_reports_lapses(self, clock, left_s):
        lease = leasing.Lease(_SilentSource(), ids.InstanceId("i1"))
        lease.record_other_holder(3, clock.now_s + left_s)
        assert lease.is_held_elsewhere
        clock.now_s += 61.0
        assert not lease.is_held_elsewhere
