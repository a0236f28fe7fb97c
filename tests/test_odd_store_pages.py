"""Tests that odd responses of the store raise typed errors and end."""

import base64
import collections.abc
import json
import struct

import pytest

from briarfall import exceptions
from briarfall.gateway.catalogue import catalogue
from briarfall.gateway.catalogue import sources
from briarfall.gateway.exchanges import connections
from briarfall.gateway.exchanges import messages
from briarfall.gateway.instance import summary
from briarfall.platform import store
from briarfall.platform import topics
from briarfall.standins.prepared import testbed

_DEEP = b"[" * 100_000 + b"]" * 100_000
_HEADER = struct.pack(">QQ", 1, 0)


@pytest.fixture
def client(monkeypatch):
    """A client whose next response bodies a test sets."""
    found = store.StoreClient("127.0.0.1:1", summary.CallCounts(), "test")
    found.bodies = iter(())

    def send_request(*args, **kwargs):
        return messages.ResponseHead(200, b"OK", []), next(found.bodies)

    monkeypatch.setattr(connections, "send_request", send_request)
    return found


def position(offset) -> sources.LogPosition:
    return sources.LogPosition(sources.StoreEpoch(0), offset)


def page(items, **changes) -> bytes:
    return json.dumps(
        {"items": items, "has_more": False, "end": 7, **changes}
    ).encode()


def item(key, value=b"x", **changes) -> dict:
    text = base64.b64encode(value).decode()
    return {"key": key, "value": text, "offset": 0, **changes}


def endless_pages(keys) -> collections.abc.Iterator[bytes]:
    for key in keys:
        yield page([item(key)], has_more=True)


def count_up() -> collections.abc.Iterator[str]:
    number = 0
    while True:
        number += 1
        yield f"k{number:09}"


class TestNewest:
    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"null",
            b"[]",
            b"{",
            b"\xff",
            _DEEP,
            b'{"more": ' + _DEEP + b"}",
            page([item("k")]).replace(b'"eA=="', _DEEP),
            page([], end="x"),
            page([], end=None),
            page([], end=10**400),
            page([], end=-1),
            page({}),
            page([], has_more=3),
        ],
    )
    def test_odd_page_raises_log_unavailable(self, client, body):
        client.bodies = iter([body])
        with pytest.raises(exceptions.LogUnavailableError):
            client.newest("t", 1.0)

    @pytest.mark.parametrize(
        "odd",
        [
            item("odd", value=b"") | {"value": "A"},
            item("odd") | {"value": "\u00b2"},
            item("odd") | {"value": 3},
            item("odd") | {"value": None},
            item(None),
            item(3),
            [],
            "odd",
            None,
        ],
    )
    def test_odd_item_costs_only_that_item(self, client, odd):
        client.bodies = iter([page([item("a"), odd, item("b")])])
        records, end = client.newest("t", 1.0)
        assert [record.key for record in records] == ["a", "b"]
        assert end == position(7)

    @pytest.mark.parametrize("half", [b"\\ud800", b"\\uDCFF", b"\xff\xfe"])
    def test_key_that_is_no_text_leaves_the_others(self, client, half):
        body = page([item("a"), item("odd"), item("b")])
        client.bodies = iter([body.replace(b"odd", half)])
        records, _ = client.newest("t", 1.0)
        keys = [record.key for record in records]
        assert (keys[0], keys[-1]) == ("a", "b")

    def test_pages_are_joined(self, client):
        client.bodies = iter(
            [page([item("a")], has_more=True), page([item("b")], end=9)]
        )
        records, start = client.newest("t", 1.0)
        assert [record.key for record in records] == ["a", "b"]
        # What was written to "a" since the first page lies from 7 on.
        assert start == position(7)

    @pytest.mark.parametrize(
        "keys", [["a"] * 100_000, ["a", "b"] * 100_000, count_up()]
    )
    def test_pages_without_end_raise_log_unavailable(self, client, keys):
        client.bodies = endless_pages(keys)
        with pytest.raises(exceptions.LogUnavailableError):
            client.newest("t", 1.0)

    def test_page_of_odd_items_that_announces_more_raises(self, client):
        client.bodies = endless_pages([None] * 100_000)
        with pytest.raises(exceptions.LogUnavailableError):
            client.newest("t", 1.0)


class TestRead:
    @pytest.mark.parametrize(
        "body",
        [
            b"",
            _HEADER[:-1],
            _HEADER + struct.pack(">I", 5) + b"four",
            _HEADER + b"\xff\xff\xff\xff",
            _HEADER + struct.pack(">I", 1) + b"a" + struct.pack(">I", 2**31),
        ],
    )
    def test_truncated_response_raises_log_unavailable(self, client, body):
        client.bodies = iter([body])
        with pytest.raises(exceptions.LogUnavailableError):
            client.read("t", position(0), 1.0)

    def test_many_empty_records_are_split_in_linear_time(self, client):
        # A split that copies the rest for each record takes minutes here.
        count = 500_000
        header = struct.pack(">QQ", count + 3, 0)
        client.bodies = iter([header + bytes(4 * count)])
        records, end = client.read("t", position(3), 1.0)
        assert records == [b""] * count
        assert end == position(count + 3)

    @pytest.mark.parametrize(
        "body", [b"", b"null", b'{"offset": "x"}', b'{"offset": -1}', _DEEP]
    )
    def test_odd_response_to_append_raises_log_unavailable(self, client, body):
        client.bodies = iter([body])
        with pytest.raises(exceptions.LogUnavailableError):
            client.append("t", b"x", 1.0)


class TestManifestRecords:
    @pytest.mark.parametrize("odd", [b"", b"\xff", b"\x06con", b"\x02\xff\xfe"])
    def test_odd_record_does_not_stop_the_catalogue(self, client, odd):
        sound = store.keyed_record(
            "config", json.dumps(testbed.manifest(2)).encode()
        )
        body = struct.pack(">QQ", 7, 0)
        for record in (odd, sound, odd):
            body += struct.pack(">I", len(record)) + record
        client.bodies = iter([body])
        read = topics.CatalogueTopic(client).wait_newer(position(4), 0.0, 1.0)
        assert read.position == position(7)
        assert topics.CatalogueTopic(client).parse(read.raw).version == 2

    def test_follower_goes_on_after_an_odd_record(self, world):
        follower = catalogue.CatalogueFollower(
            topics.CatalogueTopic(
                store.StoreClient(
                    world.store.address, summary.CallCounts(), "test"
                )
            ),
            5.0,
            lambda: True,
        )
        follower.step()
        assert follower.view.version == 1
        world.store.append("keyed.op", b"\x03odd?")
        world.publish(testbed.manifest(2))
        follower.step()
        assert follower.view.version == 2
