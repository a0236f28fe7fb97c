"""Tests that all decoders raise only typed errors, whatever others wrote."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from briarfall import decoding
from briarfall import exceptions
from briarfall import httpclient
from briarfall import settings as daemon_settings
from briarfall.adapters import engine
from briarfall.adapters import instancelist
from briarfall.adapters import log
from briarfall.adapters import weightstore
from briarfall.catalogue import entries
from briarfall.catalogue import records
from briarfall.gateway.exchanges import connections
from briarfall.gateway.exchanges import events
from briarfall.gateway.exchanges import messages
from briarfall.gateway.gossip import peermessages
from briarfall.gateway.instance import summary
from briarfall.orders import claims
from briarfall.pipelines import models
from briarfall.platform import earlylisteners
from briarfall.platform import engines
from briarfall.platform import leasetopic
from briarfall.platform import manifest
from briarfall.platform import settings
from briarfall.platform import store
from briarfall.platform import storemessages
from briarfall.platform import topics
from briarfall.standins.prepared import testbed
from tests import test_odd_datagrams
from tests import test_odd_entries
from tests import test_odd_manifests
from tests import test_odd_records
from tests import test_platform

_ADDRESS = "127.0.0.1:1"
_STORE = store.StoreClient(_ADDRESS, summary.CallCounts(), "test")


class _Http:
    """HTTP client whose responses a test sets."""

    base_url = "http://127.0.0.1:1"

    def __init__(self, body: bytes, status: int, headers: dict):
        self._reply = httpclient.Reply(status, body, headers)

    def send(self, *args, **kwargs) -> httpclient.Reply:
        return self._reply


def _adapter(kind, body, status=200, headers=()):
    found = kind("http://127.0.0.1:1")
    found._http = _Http(body, status, dict(headers))
    return found


def _report(body: bytes, status: int = 200):
    def send_request(*args, **kwargs):
        return messages.ResponseHead(status, b"OK", []), body

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(connections, "send_request", send_request)
        calls = engines.EngineCalls(connections.ConnectionPool())
        if status == 409:
            return calls.repath(_ADDRESS, "r1", b"", 1.0)
        return calls.report(_ADDRESS, 1.0)


def _feed_events(data: bytes):
    return events.EventSplitter().feed(data)


_REPORT = {
    "busy": False,
    "seq": 2,
    "kv_used": 1,
    "kv_total": 9,
    "models": [{"layers": {"from": 0, "target": 8}}],
    "stalled": [{"id": "r1", "address": "10.0.0.1:1"}],
}
_STATUS = test_odd_datagrams.status()
_CHANGES = peermessages.TargetChanges(5, [test_odd_datagrams.entry()], ["t9"])
# Each decoder with a valid input.
DECODERS = {
    "entry": (
        lambda data: topics.parse_entry("i-1", data),
        test_odd_entries.raw(),
    ),
    "instance": (
        lambda data: topics.parse_instance("i2", data),
        test_odd_records.instance_record(),
    ),
    "poison": (
        lambda data: topics.parse_poison("f1", data),
        test_odd_records.poison_record(),
    ),
    "grant": (
        lambda data: leasetopic._parse_grant("placement", data),
        test_odd_records.grant(),
    ),
    "manifest": (manifest.parse, json.dumps(testbed.manifest(2)).encode()),
    "settings": (settings.parse, test_platform.settings_file()),
    "listeners": (earlylisteners.open_listeners, b"{}"),
    "keyed": (store.split_keyed, store.keyed_record("key", b"value")),
    "page": (_STORE._decode_page, b'{"items": [], "end": 3}'),
    "records": (
        lambda data: storemessages.split_records(memoryview(data)),
        b"\0\0\0\1a\0\0\0\0",
    ),
    "report": (_report, json.dumps(_REPORT).encode()),
    "refusal": (
        lambda data: _report(data, 409),
        b'{"address": "10.0.0.1:1"}',
    ),
    "datagram": (peermessages.decode, peermessages.encode(_STATUS)),
    "changes": (
        peermessages.unpack_changes,
        peermessages.pack_changes(_CHANGES),
    ),
    "events": (_feed_events, b"id: 1\ndata: x\n\n"),
    "catalogue_record": (
        records.decode,
        records.encode(records.Snapshot(0, [], [], "d")),
    ),
    "catalogue_value": (entries.parse, b'{"kind": "x"}'),
    "claims": (claims.decode, b"[]"),
    "completion": (models.parse_body, b'{"model": "m", "prompt": "p"}'),
    "daemon_settings": (daemon_settings.parse, b"{}"),
    "load": (
        lambda data: _adapter(engine.HttpEngineAdapter, data).load(1.0),
        b'{"running": 1, "waiting": 0}',
    ),
    "state": (
        lambda data: _adapter(engine.HttpEngineAdapter, data).state(),
        b'{"model": "m", "version": "1"}',
    ),
    "instance_list": (
        lambda data: _adapter(
            instancelist.HttpInstanceListAdapter, data
        ).fetch(),
        b"[]",
    ),
    "rate": (
        lambda data: _adapter(weightstore.HttpWeightStoreAdapter, data).rate(),
        b'{"bytes_per_s": 1.0}',
    ),
    "log_read": (
        lambda data: _adapter(log.HttpLogAdapter, data).read(
            "s", 0, limit=1, wait_s=0.0
        ),
        b'{"records": []}',
    ),
    "log_append": (
        lambda data: _adapter(log.HttpLogAdapter, data).append("s", b"x"),
        b'{"offset": 1}',
    ),
    "log_gap": (
        lambda data: _adapter(
            log.HttpLogAdapter,
            b"",
            410,
            {"Log-First": data.decode("latin-1")},
        ).read("s", 0, limit=1, wait_s=0.0),
        b"7",
    ),
}
_NUMBERS = strategies.one_of(
    strategies.integers(),
    strategies.sampled_from([10**400, -(10**400), 2**63, 2**64, 10**4299]),
    strategies.floats(allow_nan=False, allow_infinity=False),
)
_JSON = strategies.recursive(
    strategies.one_of(
        strategies.none(), strategies.booleans(), _NUMBERS, strategies.text()
    ),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=4),
        strategies.dictionaries(strategies.text(), inner, max_size=4),
    ),
    max_leaves=8,
)


def check(name: str, data: bytes) -> None:
    """Decodes; an error that is not typed fails the test."""
    decode, _ = DECODERS[name]
    try:
        decode(data)
    except exceptions.BriarfallError as exc:
        assert len(str(exc)) < 1000
        assert exc.remedy


def _few(count: int):
    return hypothesis.settings(
        derandomize=True,
        deadline=None,
        max_examples=count,
        database=None,
        suppress_health_check=[hypothesis.HealthCheck.too_slow],
    )


@pytest.mark.parametrize("name", DECODERS)
class TestFuzz:
    @_few(40)
    @hypothesis.given(data=strategies.binary(max_size=200))
    def test_arbitrary_bytes(self, name, data):
        check(name, data)
        check(name, DECODERS[name][1][:1] + data)

    @_few(40)
    @hypothesis.given(value=_JSON)
    def test_arbitrary_json(self, name, value):
        check(name, json.dumps(value).encode())

    @_few(60)
    @hypothesis.given(
        start=strategies.integers(0, 400),
        length=strategies.integers(0, 12),
        data=strategies.one_of(
            strategies.binary(max_size=12),
            _JSON.map(lambda value: json.dumps(value).encode()),
        ),
    )
    def test_mutated_record(self, name, start, length, data):
        valid = DECODERS[name][1]
        start %= len(valid) + 1
        check(name, valid[:start] + data + valid[start + length :])

    @_few(60)
    @hypothesis.given(pick=strategies.integers(0, 400), value=_JSON)
    def test_replaced_field(self, name, pick, value):
        valid = DECODERS[name][1]
        try:
            found = json.loads(valid)
        except ValueError:
            return
        if not isinstance(found, dict) or not found:
            return
        key = sorted(found)[pick % len(found)]
        check(name, json.dumps({**found, key: value}).encode())


@pytest.mark.parametrize("name", DECODERS)
class TestKnownOddInputs:
    def test_raise_only_typed_errors(self, name):
        for rows in (
            test_odd_records.NO_JSON,
            test_odd_manifests.ODD_MANIFESTS,
            test_odd_entries.ODD_VALUES,
            test_odd_records.ODD_INSTANCES,
            test_odd_datagrams.ODD_DATAGRAMS,
        ):
            for data in rows.values():
                check(name, data)

    def test_deep_nesting_in_a_further_field(self, name):
        deep = b"[" * 100_000 + b"]" * 100_000
        valid = DECODERS[name][1].rstrip()
        if valid.endswith(b"}") and len(valid) > 2:
            check(name, valid[:-1] + b', "more": ' + deep + b"}")
        check(name, b'{"more": ' + deep + b"}")
        check(name, b"[" + deep + b"]")


class TestInstanceList:
    def test_odd_row_costs_only_that_row(self):
        sound = {"id": "i2", "address": "", "zone": "z1"}
        odd = [None, 3, {}, {**sound, "state": "?"}, {**sound, "id": None}]
        body = json.dumps([*odd, sound]).encode()
        adapter = _adapter(instancelist.HttpInstanceListAdapter, body)
        assert [row.id for row in adapter.fetch()] == ["i2"]


class TestHelpers:
    @_few(100)
    @hypothesis.given(text=strategies.text())
    def test_counts_are_ascii_and_bounded(self, text):
        found = decoding.parse_count(text, 999)
        assert found is None or 0 <= found <= 999
        assert decoding.excerpt(text).isprintable()

    @pytest.mark.parametrize("text", ["", "\u00b2", "-1", "1000", "9" * 5000])
    def test_texts_that_are_no_count(self, text):
        assert decoding.parse_count(text, 999) is None

    @pytest.mark.parametrize("text", ["nan", "inf", "1e400", "", "x", "\u00b2"])
    def test_texts_that_are_no_number(self, text):
        assert decoding.parse_number(text) is None

    def test_inflated_size_is_bounded(self):
        data = decoding.zlib.compress(b"\0" * 1000)
        error = exceptions.PeerError
        assert len(decoding.inflate(data, 1000, "x", error)) == 1000
        with pytest.raises(error):
            decoding.inflate(data, 999, "x", error)
