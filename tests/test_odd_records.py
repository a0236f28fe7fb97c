"""Tests that odd records of instances, poison and leases cost only these."""

import json

import pytest

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway.catalogue import sources
from briarfall.gateway.crashes import crashes
from briarfall.gateway.crashes import poisonpersistence
from briarfall.gateway.peers import peers
from briarfall.gateway.placement import leasing
from briarfall.platform import epochs
from briarfall.platform import leasetopic
from briarfall.platform import store
from briarfall.platform import topics
from briarfall.standins.prepared import testbed
from tests import test_addresses

_DEEP = b"[" * 100_000 + b"]" * 100_000
NO_JSON = {
    "nested": b'{"more": ' + _DEEP + b"}",
    "nested_only": _DEEP,
    "empty_object": b"{}",
    "null": b"null",
    "text": b'"x"',
    "number": b"1",
    "bad_utf_8": b'{"id": "\xff"}',
    "empty_file": b" ",
    "truncated": b'{"id": "i2"',
    "binary": bytes(range(256)),
}


class ListedStore:
    """Store that lists given records and keeps what is appended."""

    def __init__(self, records):
        self.records = records
        self.appended = []
        self.tracker = epochs.EpochTracker()

    def newest(self, topic, timeout_s):
        rows = []
        for key, value in self.records.items():
            rows.append(store.KeyedRecord(key, value))
        return rows, sources.LogPosition(sources.StoreEpoch(0), 7)

    def append(self, topic, record, timeout_s, *, at=None):
        self.appended.append(record)
        return sources.LogPosition(sources.StoreEpoch(0), 7)


def instance_record(**changes) -> bytes:
    fields = {
        "id": "i2",
        "address": "127.0.0.1:7000",
        "zone": "z1",
        "cores": 1.0,
        **changes,
    }
    return json.dumps(fields).encode()


def _odd_instances() -> dict[str, bytes]:
    found = dict(NO_JSON)
    for name, address in test_addresses.ODD_ADDRESSES.items():
        found[name] = instance_record(address=address)
    for name, changes in {
        "id_null": {"id": None},
        "id_empty": {"id": ""},
        "id_long": {"id": "i" * 256},
        "id_cr_lf": {"id": "i2\r\nforged"},
        "zone_huge": {"zone": "z" * 100_000},
        "cores_0": {"cores": 0},
        "cores_negative": {"cores": -1},
        "cores_huge": {"cores": 1e300},
        "cores_text": {"cores": "1"},
    }.items():
        found[name] = instance_record(**changes)
    found["cores_400_digits"] = instance_record(cores=10**400)
    found["cores_nan"] = instance_record().replace(b"1.0", b"NaN")
    return found


ODD_INSTANCES = _odd_instances()


class TestInstanceRecords:
    def test_odd_records_are_left_out_of_the_list(self):
        records = {f"odd-{name}": row for name, row in ODD_INSTANCES.items()}
        records["i2"] = instance_record()
        topic = topics.InstanceTopic(ListedStore(records))
        found = topic.list_instances(1.0)
        assert [row.id for row in found] == ["i2"]

    @pytest.mark.parametrize("address", test_addresses.ODD_ADDRESSES.values())
    def test_peer_without_usable_address_is_not_added(self, address):
        table = peers.PeerTable(ids.InstanceId("i1"), ids.ZoneId("z1"))
        odd = sources.InstanceRecord(
            ids.InstanceId("i2"), address, ids.ZoneId("z1")
        )
        assert table.add(odd) is None
        assert not table.all()

    @pytest.mark.parametrize(
        "cores", [0.0, -1.0, float("nan"), float("inf"), 1e300]
    )
    def test_peer_without_usable_cores_is_not_added(self, cores):
        table = peers.PeerTable(ids.InstanceId("i1"), ids.ZoneId("z1"))
        odd = sources.InstanceRecord(
            ids.InstanceId("i2"), "127.0.0.1:7000", ids.ZoneId("z1"), cores
        )
        assert table.add(odd) is None

    def test_instances_find_each_other_beside_odd_records(self, world):
        topic = "keyed.briarfall-instances"
        for name, value in ODD_INSTANCES.items():
            world.store.put(topic, f"odd-{name}", value)
        first = world.instance("i1")
        second = world.instance("i2")
        for inst in (first, second):
            testbed.until(
                lambda inst=inst: inst.peers.instance_count == 2,
                "the other instance is known",
            )

    def test_unexpected_error_does_not_end_the_announcement(
        self, world, monkeypatch
    ):
        list_instances = topics.InstanceTopic.list_instances
        failures = [ValueError("odd"), RecursionError("odd")]

        def fail_twice(topic, timeout_s):
            if failures:
                raise failures.pop()
            return list_instances(topic, timeout_s)

        first = world.instance("i1")
        monkeypatch.setattr(topics.InstanceTopic, "list_instances", fail_twice)
        world.instance("i2")
        testbed.until(
            lambda: first.peers.instance_count == 2, "the other is known"
        )
        assert not failures


def poison_record(**changes) -> bytes:
    fields = {"fingerprint": "f1", "until_s": 4e9, **changes}
    return json.dumps(fields).encode()


ODD_POISON = {
    **NO_JSON,
    "empty": b" ",
    "until_huge": poison_record(until_s=1.7e308),
    "until_400_digits": poison_record(until_s=10**400),
    "until_text": poison_record(until_s="x"),
    "until_negative": poison_record(until_s=-1.7e308),
    "fingerprint_empty": poison_record(fingerprint=""),
    "fingerprint_long": poison_record(fingerprint="f" * 256, until_s=1.0),
    "fingerprint_cr_lf": poison_record(fingerprint="f\r\n"),
    "fingerprint_null": poison_record(fingerprint=None),
    "fingerprint_of_another": poison_record(fingerprint="f2", until_s=1.0),
}


class TestPoisonRecords:
    @pytest.mark.parametrize("name", ODD_POISON)
    def test_sound_records_are_loaded_beside_an_odd_one(self, name):
        listed = ListedStore({"odd": ODD_POISON[name], "f1": poison_record()})
        table = crashes.CrashTable()
        persister = poisonpersistence.PoisonPersister(
            topics.PoisonTopic(listed), table
        )
        persister.step()
        assert persister.loaded.is_set()
        assert table.is_poison("f1")
        assert not listed.appended

    def test_lapsed_record_is_removed(self):
        listed = ListedStore({"f1": poison_record(until_s=1.0)})
        persister = poisonpersistence.PoisonPersister(
            topics.PoisonTopic(listed), crashes.CrashTable()
        )
        persister.step()
        assert listed.appended == [b"\x02f1"]


def grant(**changes) -> bytes:
    return json.dumps({"holder": "i2", "ttl_s": 3.0, **changes}).encode()


ODD_GRANTS = {
    **NO_JSON,
    "holder_null": grant(holder=None),
    "holder_cr_lf": grant(holder="i2\r\n"),
    "ttl_huge": grant(ttl_s=1e300),
    "ttl_negative": grant(ttl_s=-3.0),
    "ttl_400_digits": grant(ttl_s=10**400),
    "ttl_text": grant(ttl_s="3"),
}


class TestLeaseGrants:
    @pytest.mark.parametrize("name", ODD_GRANTS)
    def test_odd_grant_does_not_keep_the_lease_from_others(self, name, clock):
        listed = ListedStore({"placement": ODD_GRANTS[name]})
        lease = leasing.Lease(
            leasetopic.LeaseTopic(listed), ids.InstanceId("i1")
        )
        lease.refresh()
        assert not lease.is_held
        clock.now_s += leasing.LEASE_TTL_S + 0.1
        lease.refresh()
        assert lease.is_held

    def test_odd_grant_may_still_be_in_force(self, clock):
        listed = ListedStore({"placement": b"?"})
        topic = leasetopic.LeaseTopic(listed)
        found = topic.read_grant(1.0)
        assert found.holder
        assert found.ttl_s == leasing.LEASE_TTL_S
        lease = leasing.Lease(topic, ids.InstanceId("i1"))
        lease.refresh()
        assert not listed.appended


class TestKeys:
    def test_key_that_is_too_long_raises_typed_error(self):
        with pytest.raises(exceptions.BriarfallError):
            store.keyed_record("k" * 256, b"")

    def test_key_with_lone_surrogate_raises_typed_error(self):
        with pytest.raises(exceptions.BriarfallError):
            store.keyed_record("\ud800", b"")
