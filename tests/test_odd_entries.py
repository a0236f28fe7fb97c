"""Tests that an odd entry of a target costs that entry and nothing else."""

import json
import threading

from absl import logging
import pytest

from briarfall import exceptions
from briarfall.gateway.catalogue import sources
from briarfall.platform import topics
from briarfall.standins.prepared import testbed
from tests import test_addresses

_TOPIC = "keyed.servers"
_DEEP = b"[" * 100_000 + b"]" * 100_000


def fields(**changes) -> dict:
    """Returns the fields of a valid entry, changed as given."""
    return {
        "service": "desk",
        "address": "127.0.0.1:8080",
        "zone": "z1",
        "state": "ready",
        "slots": 8,
        "seq": 4,
        "born": 17,
        "kind": "small",
        "layers": {"from": 0, "target": 8, "version": 1},
        **changes,
    }


def raw(**changes) -> bytes:
    """Returns a valid entry, changed as given."""
    return json.dumps(fields(**changes)).encode()


def with_field(name: str, value: bytes) -> bytes:
    """Returns a valid entry that ends with one more field."""
    return raw()[:-1] + b', "' + name.encode() + b'": ' + value + b"}"


_SLOTS = {
    "slots_negative": -5,
    "slots_0": 0,
    "slots_31_digits": 10**30,
    "slots_400_digits": 10**400,
    "slots_float": 1.5,
    "slots_bool": True,
    "slots_null": None,
    "slots_text": "8",
}
_LAYERS = {
    "layers_huge": {"from": 0, "target": 10**15},
    "layers_negative": {"from": -5, "target": 3},
    "layers_reversed": {"from": 5, "target": 3},
    "layers_400_digits": {"from": 0, "target": 10**400},
    "layers_text": {"from": "0", "target": "3"},
    "layers_list": [0, 3],
}
_OTHERS = {
    "seq_negative": {"seq": -1},
    "seq_400_digits": {"seq": 10**400},
    "born_negative": {"born": -1},
    "born_31_digits": {"born": 10**30},
    "zone_null": {"zone": None},
    "zone_number": {"zone": 3},
    "zone_huge": {"zone": "z" * 100_000},
    "zone_cr_lf": {"zone": "z1\r\nforged log line"},
    "service_missing": {"service": None},
    "service_huge": {"service": "s" * 100_000},
    "state_unknown": {"state": "gone"},
    "state_huge": {"state": "r" * 100_000},
    "kind_huge": {"kind": "k" * 100_000},
}
_RAW = {
    "nested_unknown_field": with_field("more", _DEEP),
    "nested_layers": with_field("layers", b'{"more":' + _DEEP + b"}"),
    "nested_objects": b'{"a":' * 100_000,
    "nested_only": _DEEP,
    "nan": with_field("slots", b"NaN"),
    "infinity": with_field("slots", b"Infinity"),
    "exponent": with_field("slots", b"1e400"),
    "slots_5000_digits": with_field("slots", b"1" + b"0" * 5000),
    "bad_utf_8": raw().replace(b"z1", b"\xff\xfe"),
    "lone_surrogate": raw().replace(b"z1", b"\\ud800"),
    "utf_16": raw().decode().encode("utf-16"),
    "byte_order_mark": b"\xef\xbb\xbf" + raw(),
    "truncated": raw()[:-1],
    "two_values": raw() + raw(),
    "binary": bytes(range(256)),
    "null": b"null",
    "list": b"[]",
    "number": b"3",
    "text": b'"ready"',
    "empty_object": b"{}",
    "spaces": b"  ",
}


def _odd_values() -> dict[str, bytes]:
    found = dict(_RAW)
    for name, address in test_addresses.ODD_ADDRESSES.items():
        found[name] = raw(address=address)
    for name, slots in _SLOTS.items():
        found[name] = raw(slots=slots)
    for name, layers in _LAYERS.items():
        found[name] = raw(layers=layers)
    for name, changes in _OTHERS.items():
        found[name] = raw(**changes)
    return found


ODD_VALUES = _odd_values()
_ODD_KEYS = {
    "empty": "",
    "long": "k" * 256,
    "cr_lf": "i-1\r\nX-Tenant: other",
    "nul": "i-1\0",
    "space": "i 1",
    "not_ascii": "i-\u00b2",
    "replaced_bytes": "\ufffd\ufffd",
}


class _Store:
    """Store that lists given records."""

    def __init__(self, records):
        self.records = records

    def newest(self, topic, timeout_s):
        rows = []
        for key, value in self.records.items():
            rows.append(topics.store.KeyedRecord(key, value))
        epoch = sources.StoreEpoch(0)
        return rows, sources.LogPosition(epoch, len(rows))


class TestParseEntry:
    @pytest.mark.parametrize("name", ODD_VALUES)
    def test_odd_value_raises_catalogue_error(self, name):
        with pytest.raises(exceptions.CatalogueError) as info:
            topics.parse_entry("i-1", ODD_VALUES[name])
        assert "i-1" in info.value.message
        assert len(str(info.value)) < 600

    @pytest.mark.parametrize("name", _ODD_KEYS)
    def test_odd_key_raises_catalogue_error(self, name):
        with pytest.raises(exceptions.CatalogueError) as info:
            topics.parse_entry(_ODD_KEYS[name], raw())
        assert info.value.message.isprintable()
        assert len(str(info.value)) < 600

    def test_unknown_fields_are_ignored(self):
        value = with_field("more", b"[" * 50 + b"]" * 50)
        assert topics.parse_entry("i-1", value).slots == 8

    def test_last_of_duplicate_fields_counts(self):
        assert topics.parse_entry("i-1", with_field("slots", b"9")).slots == 9
        with pytest.raises(exceptions.CatalogueError):
            topics.parse_entry("i-1", with_field("slots", b"-9"))

    @pytest.mark.parametrize("port", [1, 65_535])
    def test_all_valid_ports_are_accepted(self, port):
        address = f"127.0.0.1:{port}"
        row = topics.parse_entry("i-1", raw(address=address))
        assert row.address == address


class TestTargetTopic:
    def test_odd_entries_are_left_out_of_the_list(self):
        records = {f"odd-{name}": row for name, row in ODD_VALUES.items()}
        for key in _ODD_KEYS.values():
            records[key] = raw()
        records["sound"] = raw()
        topic = topics.TargetTopic(_Store(records))
        assert [row.id for row in topic.list_targets(1.0)] == ["sound"]

    def test_odd_entry_is_logged_once_and_cut_short(self, monkeypatch):
        lines = []
        monkeypatch.setattr(
            logging, "warning", lambda text, *args: lines.append(text % args)
        )
        listed = _Store({"odd": raw(zone="z" * 100_000)})
        topic = topics.TargetTopic(listed)
        for _ in range(3):
            topic.list_targets(1.0)
        assert len(lines) == 1
        assert "odd" in lines[0]
        assert "ignored" in lines[0]
        assert len(lines[0]) < 1000
        listed.records = {"odd": raw(slots=0)}
        topic.list_targets(1.0)
        assert len(lines) == 2

    def test_records_that_are_gone_are_not_remembered(self):
        listed = _Store({})
        topic = topics.TargetTopic(listed)
        for number in range(1000):
            listed.records = {f"odd-{number}": b"?"}
            topic.list_targets(1.0)
        listed.records = {}
        topic.list_targets(1.0)
        remembered = []
        for held in vars(topic).values():
            remembered.append(repr(getattr(held, "__dict__", held)))
        assert "odd-" not in "".join(remembered)


class TestGateway:
    @pytest.mark.parametrize(
        "name",
        [
            "nested_unknown_field",
            "nested_layers",
            "port_99999",
            "port_thirty_digits",
            "port_superscript",
            "host_cr_lf",
            "slots_negative",
            "slots_400_digits",
            "layers_huge",
        ],
    )
    def test_others_stay_followed_and_changes_are_seen(self, world, name):
        world.store.put(_TOPIC, "odd", ODD_VALUES[name])
        first = world.service("d1")
        inst = world.instance()
        world.wait_for_targets(first)
        second = world.service("d2")
        world.wait_for_targets(second)
        assert inst.targets.get("odd") is None
        for number in range(8):
            found = testbed.call(inst, "/views/1", request_id=f"r{number}")
            assert found.status == 200
        world.store.drop(_TOPIC, "odd")
        world.wait_for_targets(world.service("d3"))

    def test_plain_call_is_answered_beside_all_odd_entries(self, world):
        for name, value in ODD_VALUES.items():
            world.store.put(_TOPIC, f"odd-{name}", value)
        world.wait_for_targets(world.service("d1"))
        inst = world.instance()
        for number in range(8):
            found = testbed.call(inst, "/views/1", request_id=f"r{number}")
            assert found.status == 200

    def test_stream_is_answered_beside_all_odd_entries(self, world):
        inst = world.instance()
        for name, value in ODD_VALUES.items():
            value = value.replace(b'"desk"', b'"pool"')
            world.store.put(_TOPIC, f"odd-{name}", value)
        engine = world.engine("e1", kind="large")
        world.wait_for_layers()
        found = testbed.call(
            inst,
            "/drafts/1",
            method="POST",
            body=b"{}",
            deadline_ms=10_000,
            X_Token_Usage="20,20",
        )
        assert found.status == 200
        assert len(testbed.event_ids(found.body)) == engine.events

    def test_entry_that_turns_odd_no_longer_names_a_target(self, world):
        first = world.service("d1")
        second = world.service("d2")
        inst = world.instance()
        world.wait_for_targets(first, second)
        second.close()
        gone = threading.Event()

        def is_gone():
            world.store.put(_TOPIC, "d2", ODD_VALUES["port_99999"])
            gone.wait(0.05)
            return inst.targets.get("d2") is None

        testbed.until(is_gone, "d2 is no target")
        assert inst.targets.get("d1") is not None
        assert testbed.call(inst, "/views/1").status == 200


class TestEntryFields:
    def test_states_have_project_names(self):
        row = topics.parse_entry("i-1", raw(state="draining"))
        assert row.state is sources.TargetState.DRAINING
