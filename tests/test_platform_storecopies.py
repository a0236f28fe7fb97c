"""Answers that the store writes once more on a kept connection."""

import json
import struct

import pytest

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway.catalogue import sources
from briarfall.gateway.instance import summary
from briarfall.gateway.placement import leasing
from briarfall.platform import leasetopic
from briarfall.platform import store
from briarfall.standins.prepared import rawhttp

_TIMEOUT_S = 5.0


def _store(server):
    return store.StoreClient(server.address, summary.CallCounts(), "test")


def _position(offset, epoch=0):
    return sources.LogPosition(sources.StoreEpoch(epoch), offset)


def _append_reply(offset):
    return 200, json.dumps({"offset": offset, "end": offset + 1}).encode()


def _page(end, *records):
    body = struct.pack(">QQ", end, 0)
    for record in records:
        body += struct.pack(">I", len(record)) + record
    return 200, body


class TestCopyBeforeACallToTheStore:
    def test_conditional_append_is_not_acknowledged_by_a_copy(
        self, copy_server
    ):
        server = copy_server(_append_reply(0), (412, b'{"end": 7}'))
        client = _store(server)
        assert client.append(
            "t", b"a", _TIMEOUT_S, at=_position(0)
        ) == _position(0)
        with pytest.raises(exceptions.LogUnavailableError):
            client.append("t", b"b", _TIMEOUT_S, at=_position(1))
        assert server.copies_sent == 1

    def test_lease_is_not_granted_by_a_copy(self, copy_server):
        newest = (200, b'{"items": [], "has_more": false, "end": 0}')
        server = copy_server(newest, (412, b'{"end": 7}'))
        lease = leasing.Lease(
            leasetopic.LeaseTopic(_store(server)), ids.InstanceId("i1")
        )
        with pytest.raises(exceptions.LogUnavailableError):
            lease.refresh()
        assert not lease.is_held

    def test_records_of_an_earlier_read_are_not_read_again(self, copy_server):
        server = copy_server(_page(1, b"a"), _page(2, b"b"))
        client = _store(server)
        assert client.read("t", _position(0), _TIMEOUT_S) == (
            [b"a"],
            _position(1),
        )
        with pytest.raises(exceptions.LogUnavailableError):
            client.read("t", _position(1), _TIMEOUT_S)

    def test_page_does_not_pass_as_an_acknowledgement(self, copy_server):
        page = (200, b'{"items": [], "has_more": false, "end": 4}')
        server = copy_server(page, (412, b'{"end": 7}'))
        client = _store(server)
        assert client.newest("t", _TIMEOUT_S) == ([], _position(4))
        with pytest.raises(exceptions.LogUnavailableError):
            client.append("t", b"b", _TIMEOUT_S)

    def test_append_is_not_acknowledged_by_the_copy_of_an_append(
        self, copy_server
    ):
        server = copy_server(_append_reply(4), (503,))
        client = _store(server)
        assert client.append("t", b"a", _TIMEOUT_S) == _position(4)
        with pytest.raises(exceptions.LogUnavailableError):
            client.append("t", b"b", _TIMEOUT_S)

    def test_refusal_that_contradicts_itself_decides_nothing(self, copy_server):
        client = _store(copy_server((412, b'{"end": 4}')))
        with pytest.raises(exceptions.LogUnavailableError):
            client.append("t", b"b", _TIMEOUT_S, at=_position(4))

    def test_connection_with_another_call_s_answer_is_closed(self, copy_server):
        server = copy_server(
            _append_reply(0), _append_reply(1), _append_reply(1)
        )
        client = _store(server)
        client.append("t", b"a", _TIMEOUT_S, at=_position(0))
        with pytest.raises(exceptions.LogUnavailableError):
            client.append("t", b"b", _TIMEOUT_S, at=_position(1))
        assert client.append(
            "t", b"b", _TIMEOUT_S, at=_position(1)
        ) == _position(1)
        assert server.copies_sent == 1

    def test_connection_is_not_reused_after_a_refusal(self, copy_server):
        server = copy_server((503,), _append_reply(3))
        client = _store(server)
        with pytest.raises(exceptions.LogUnavailableError):
            client.append("t", b"a", _TIMEOUT_S)
        assert client.append("t", b"a", _TIMEOUT_S) == _position(3)
        assert server.copies_sent == 0


class TestRestoredStore:
    def test_offset_that_a_restored_store_gives_out_again_is_accepted(self):
        replies = [("1", 5), ("1", 6), ("2", 5), ("2", 6)]
        rest = list(replies)

        def handle(conn, req):
            epoch, offset = rest.pop(0)
            _, body = _append_reply(offset)
            conn.respond(200, body, {"Store-Era": epoch})
            return True

        server = rawhttp.RawServer(handle)
        try:
            client = _store(server)
            offsets = [client.append("t", b"a", _TIMEOUT_S) for _ in replies]
            assert offsets == [
                _position(offset, int(epoch)) for epoch, offset in replies
            ]
        finally:
            server.close()
