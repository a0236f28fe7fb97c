"""The stand-in of the store: restore from an older copy."""

import json
import struct
import urllib.error
import urllib.request

import pytest

from briarfall.standins.prepared import store as storestandin

_OPERATOR = "keyed.op"


@pytest.fixture
def platform():
    """The store."""
    found = storestandin.StoreStandin()
    yield found
    found.close()


def send(platform, path, body=None) -> tuple[int, bytes, int]:
    """Returns status, body and epoch of the response to a call."""
    req = urllib.request.Request(f"http://{platform.address}{path}", body)
    try:
        with urllib.request.urlopen(req, timeout=20) as resp:
            status, data, headers = resp.status, resp.read(), resp.headers
    except urllib.error.HTTPError as exc:
        with exc:
            status, data, headers = exc.code, exc.read(), exc.headers
    return status, data, int(headers["Store-Era"])


def append(platform, topic, record, query=""):
    body = struct.pack(">I", len(record)) + record
    path = f"/v1/log-append?topic={topic}&part=0{query}"
    return send(platform, path, body)


class TestRestore:
    def test_lost_offsets_are_given_out_again_in_a_new_epoch(self, platform):
        append(platform, "t", b"a")
        copy = platform.snapshot()
        _, first, old = append(platform, "t", b"b")
        platform.restore(copy)
        _, second, new = append(platform, "t", b"c")
        assert json.loads(first) == json.loads(second)
        assert new == old + 1

    @pytest.mark.parametrize("offset, status", [(0, 200), (1, 200), (2, 410)])
    def test_read_from_an_offset_that_is_missing_gets_410(
        self, platform, offset, status
    ):
        append(platform, "t", b"a")
        copy = platform.snapshot()
        append(platform, "t", b"b")
        platform.restore(copy)
        path = f"/v1/log-read?topic=t&part=0&from={offset}"
        assert send(platform, path)[0] == status

    @pytest.mark.parametrize(
        "path", ["/v1/log-read?topic=t&part=0&from=9", "/v1/nothing"]
    )
    def test_refusals_bear_the_epoch_too(self, platform, path):
        platform.restore(platform.snapshot())
        status, _, epoch = send(platform, path)
        assert status >= 400
        assert epoch == 2

    def test_topics_may_come_from_copies_of_different_age(self, platform):
        copy = platform.snapshot()
        append(platform, "t", b"a")
        append(platform, "u", b"a")
        platform.restore(copy, {"t"})
        read = "/v1/log-read?topic={}&part=0&from=0"
        assert b"a" not in send(platform, read.format("t"))[1]
        assert b"a" in send(platform, read.format("u"))[1]


class TestRewrite:
    def test_operator_writes_again_what_was_lost(self, platform):
        copy = platform.snapshot()
        platform.put(_OPERATOR, "config", b"1")
        platform.restore(copy)
        assert platform.value(_OPERATOR, "config") is None
        platform.rewrite_lost()
        assert platform.value(_OPERATOR, "config") == b"1"

    def test_removal_that_was_lost_is_done_again(self, platform):
        platform.put(_OPERATOR, "config", b"1")
        copy = platform.snapshot()
        platform.drop(_OPERATOR, "config")
        platform.restore(copy)
        assert platform.value(_OPERATOR, "config") == b"1"
        platform.rewrite_lost()
        assert platform.value(_OPERATOR, "config") is None

    def test_value_written_since_the_restore_stays(self, platform):
        copy = platform.snapshot()
        platform.put(_OPERATOR, "config", b"1")
        platform.restore(copy)
        platform.put(_OPERATOR, "config", b"2")
        platform.rewrite_lost()
        assert platform.value(_OPERATOR, "config") == b"2"

    def test_record_of_an_instance_is_not_written_again(self, platform):
        copy = platform.snapshot()
        append(platform, "keyed.t", b"\x01kv")
        platform.restore(copy)
        platform.rewrite_lost()
        assert platform.keys("keyed.t") == []


class TestBoundsOfAnswers:
    def test_read_holds_whole_records_up_to_the_longest_answer(self, platform):
        for _ in range(12):
            platform.append("t", bytes(100_000))
        path = "/v1/log-read?topic=t&part=0&from=0"
        _, body, _ = send(platform, path)
        assert len(body) == 16 + 10 * 100_004
        end, first = struct.unpack_from(">QQ", body)
        assert (end, first) == (12, 0)
        _, body, _ = send(platform, path + "&max_kb=1")
        assert len(body) == 16 + 100_004

    @pytest.mark.parametrize(
        "count, size, pages", [(500, 1, 1), (501, 1, 2), (12, 100_000, 2)]
    )
    def test_list_comes_in_pages(self, platform, count, size, pages):
        for number in range(count):
            platform.put("keyed.t", f"k{number:04}", bytes(size))
        keys = []
        query = "/v1/log-newest?topic=keyed.t&part=0"
        for number in range(pages):
            after = f"&after={keys[-1]}" if keys else ""
            page = json.loads(send(platform, query + after)[1])
            assert page["end"] == count
            assert page["has_more"] == (number < pages - 1)
            keys += [item["key"] for item in page["items"]]
        assert keys == [f"k{number:04}" for number in range(count)]
