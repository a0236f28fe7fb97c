"""Implements the gateway's sources on topics of the store."""

import collections.abc
import typing

from absl import logging
import msgspec

from briarfall import decoding
from briarfall import exceptions
from briarfall import ids
from briarfall.gateway.catalogue import recordchecks
from briarfall.gateway.catalogue import sources
from briarfall.gateway.catalogue import views
from briarfall.gateway.instance import summary
from briarfall.platform import ignoredrecords
from briarfall.platform import manifest
from briarfall.platform import store

_OPERATOR_TOPIC = "keyed.op"
_MANIFEST_KEY = "config"
_TARGETS_TOPIC = "keyed.servers"
_INSTANCES_TOPIC = "keyed.briarfall-instances"
_POISON_TOPIC = "keyed.briarfall-poison"
_REWRITE_TIMEOUT_S = 1.0
_Value = typing.TypeVar("_Value")
_TARGET_STATES = {
    "ready": sources.TargetState.READY,
    "draining": sources.TargetState.DRAINING,
}


class CatalogueTopic(sources.CatalogueSource):
    """The operator's manifest, which holds the catalogue."""

    def __init__(self, client: store.StoreClient):
        self._store = client

    @property
    def epoch(self) -> sources.StoreEpoch:
        """Newest epoch of the store in any answer."""
        return self._store.tracker.current

    def read_newest(self, timeout_s: float) -> sources.CatalogueRead:
        """Returns the newest manifest."""
        records, end = self._store.newest(_OPERATOR_TOPIC, timeout_s)
        for record in records:
            if record.key == _MANIFEST_KEY:
                return sources.CatalogueRead(end, record.value)
        return sources.CatalogueRead(end, None)

    def wait_newer(
        self,
        position: sources.LogPosition,
        wait_s: float,
        timeout_s: float,
    ) -> sources.CatalogueRead:
        """Waits up to `wait_s` for a manifest at or after `position`."""
        records, end = self._store.read(
            _OPERATOR_TOPIC, position, timeout_s, wait_s=wait_s
        )
        raw = None
        for record in records:
            try:
                keyed = store.split_keyed(record)
            except exceptions.CatalogueError as exc:
                logging.warning("record of the operator ignored: %s", exc)
                continue
            if keyed.key == _MANIFEST_KEY and keyed.value:
                raw = keyed.value
        return sources.CatalogueRead(end, raw)

    def parse(self, raw: bytes) -> views.CatalogueView:
        """Returns the catalogue view of a manifest."""
        return manifest.parse(raw)


class LayersField(msgspec.Struct):
    """A range of layers in target entries and engine reports."""

    first: int | None = msgspec.field(name="from", default=None)
    # Layer after the last one of the range; the wire calls it "target".
    end: int | None = msgspec.field(name="target", default=None)


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    # Requests that the target runs at once.
    slots: int = 1
    # Kind of accelerator, or empty.
    kind: str = ""
    layers: LayersField | None = None
    # Heartbeat counter that a running target increments.
    seq: int = 0
    # Start of the target in Unix milliseconds, or 0.
    born: int = 0


_ENTRY_DECODER = msgspec.json.Decoder(_Entry)


def parse_entry(key: str, value: bytes) -> sources.TargetEntry:
    """Returns the target that an entry describes.

    Raises:
        CatalogueError: The entry can't be decoded, its state is unknown or
            a value is out of its range.
    """
    subject = f"target {decoding.excerpt(key)}"
    raw = decoding.decode(_ENTRY_DECODER, value, subject)
    state = _TARGET_STATES.get(raw.state)
    if state is None:
        raise exceptions.CatalogueError(
            f"{subject}: state {decoding.excerpt(raw.state)!r} is unknown; "
            "expected ready or draining"
        )
    entry = sources.TargetEntry(
        id=ids.TargetId(key),
        service=views.ServiceName(raw.service),
        address=raw.address,
        zone=ids.ZoneId(raw.zone),
        state=state,
        slots=raw.slots,
        kind=raw.kind,
        layers=parse_layers(raw.layers, subject),
        beat=raw.seq,
        started_ms=raw.born,
    )
    recordchecks.check_entry(entry)
    return entry


def parse_layers(
    layers: LayersField | None, subject: str
) -> sources.LayerRange | None:
    """Returns a range of layers, or None if it is missing or empty.

    Raises:
        CatalogueError: The range is out of bounds.
    """
    if layers is None or layers.first is None or layers.end is None:
        return None
    if layers.end == layers.first:
        return None
    found = sources.LayerRange(layers.first, layers.end)
    recordchecks.check_layers(found, subject)
    return found


class TargetTopic(sources.TargetSource):
    """The entries under which targets register themselves.

    Args:
        client: Client of the store.
        counts: Counts the entries that are ignored.
    """

    def __init__(
        self,
        client: store.StoreClient,
        counts: summary.CallCounts | None = None,
    ):
        self._store = client
        self._ignored = _ignored("target entry", counts)
        self._epoch = sources.FIRST_EPOCH

    @property
    def epoch(self) -> sources.StoreEpoch:
        """Epoch of the store that the latest list is of."""
        return self._epoch

    def list_targets(self, timeout_s: float) -> list[sources.TargetEntry]:
        """Returns all valid entries.

        A target whose entry is no longer valid is not listed.
        """
        records, end = self._store.newest(_TARGETS_TOPIC, timeout_s)
        self._epoch = end.epoch
        return _parse_all(records, parse_entry, self._ignored)


_INSTANCE_DECODER = msgspec.json.Decoder(sources.InstanceRecord)


def parse_instance(key: str, value: bytes) -> sources.InstanceRecord:
    """Returns the record of an instance.

    Raises:
        CatalogueError: It can't be decoded or a value is out of its range.
    """
    subject = f"instance {decoding.excerpt(key)}"
    record = decoding.decode(_INSTANCE_DECODER, value, subject)
    recordchecks.check_instance(record)
    return record


RecordListener = collections.abc.Callable[[list[sources.InstanceRecord]], None]


def _ignore_records(records: list[sources.InstanceRecord]) -> None:
    """Stands for a missing listener."""


class InstanceTopic(sources.InstanceSource):
    """The records in which instances announce their addresses.

    Args:
        client: Client of the store.
        counts: Counts the records that are ignored.
    """

    def __init__(
        self,
        client: store.StoreClient,
        counts: summary.CallCounts | None = None,
    ):
        self._store = client
        self._ignored = _ignored("instance record", counts)
        # Record of this instance and its latest position in the store.
        self._announced: sources.InstanceRecord | None = None
        self._position: sources.LogPosition | None = None
        self._listener: RecordListener = _ignore_records
        # Epoch of the list that the listener has got.
        self._listed_epoch = client.tracker.current

    def set_listener(self, listener: RecordListener) -> None:
        """Calls `listener` with all records after a restore of the store."""
        self._listener = listener

    def announce(
        self, record: sources.InstanceRecord, timeout_s: float
    ) -> None:
        """Publishes the record of an instance."""
        value = msgspec.json.encode(record)
        position = self._store.append(
            _INSTANCES_TOPIC,
            store.keyed_record(record.id, value),
            timeout_s,
        )
        self._announced = record
        self._position = position

    def announce_again(self) -> None:
        """Publishes the record again if the store was restored since.

        It then lists the records: an instance that started since the restore
        has not found this one, or is in the list by now.

        Raises:
            LogUnavailableError: The store did not answer.
        """
        record = self._announced
        if record is None:
            return
        epoch = self._store.tracker.current
        if self._position.epoch != epoch:
            self.announce(record, _REWRITE_TIMEOUT_S)
            logging.info("announced again after the store's restore")
        if self._listed_epoch != epoch:
            self._listener(self.list_instances(_REWRITE_TIMEOUT_S))
            self._listed_epoch = epoch

    def list_instances(self, timeout_s: float) -> list[sources.InstanceRecord]:
        """Returns all valid records."""
        records, _ = self._store.newest(_INSTANCES_TOPIC, timeout_s)
        return _parse_all(records, parse_instance, self._ignored)

    def retract(self, instance: ids.InstanceId, timeout_s: float) -> None:
        """Removes the record of an instance."""
        if self._announced is not None and self._announced.id == instance:
            self._announced = None
        self._store.append(
            _INSTANCES_TOPIC, store.keyed_record(instance, b""), timeout_s
        )


_POISON_DECODER = msgspec.json.Decoder(sources.PoisonRecord)


def parse_poison(key: str, value: bytes) -> sources.PoisonRecord:
    """Returns the record of a poison request.

    Raises:
        CatalogueError: It can't be decoded, a value is out of its range, or
            it belongs to another key.
    """
    subject = f"poison request {decoding.excerpt(key)}"
    record = decoding.decode(_POISON_DECODER, value, subject)
    recordchecks.check_poison(record, subject)
    if record.fingerprint != key:
        raise exceptions.CatalogueError(
            f"{subject}: fingerprint {record.fingerprint!r} is not the key"
        )
    return record


class PoisonTopic(sources.PoisonSource):
    """Poison requests, keyed by the fingerprint of the request.

    Args:
        client: Client of the store.
        counts: Counts the records that are ignored.
    """

    def __init__(
        self,
        client: store.StoreClient,
        counts: summary.CallCounts | None = None,
    ):
        self._store = client
        self._ignored = _ignored("poison record", counts)

    @property
    def epoch(self) -> sources.StoreEpoch:
        """Newest epoch of the store in any answer."""
        return self._store.tracker.current

    def publish(self, record: sources.PoisonRecord, timeout_s: float) -> None:
        """Stores the record of a poison request."""
        value = msgspec.json.encode(record)
        self._store.append(
            _POISON_TOPIC,
            store.keyed_record(record.fingerprint, value),
            timeout_s,
        )

    def list_records(self, timeout_s: float) -> list[sources.PoisonRecord]:
        """Returns all valid records."""
        records, _ = self._store.newest(_POISON_TOPIC, timeout_s)
        return _parse_all(records, parse_poison, self._ignored)

    def retract(self, fingerprint: str, timeout_s: float) -> None:
        """Removes the record of a poison request."""
        self._store.append(
            _POISON_TOPIC, store.keyed_record(fingerprint, b""), timeout_s
        )


def _ignored(
    label: str, counts: summary.CallCounts | None
) -> ignoredrecords.IgnoredRecords:
    return ignoredrecords.IgnoredRecords(label, counts or summary.CallCounts())


def _parse_all(
    records: list[store.KeyedRecord],
    parse: collections.abc.Callable[[str, bytes], _Value],
    ignored: ignoredrecords.IgnoredRecords,
) -> list[_Value]:
    """Parses the values of records; reports and skips invalid ones."""
    ignored.retain(records)
    found = []
    for record in records:
        if not record.value:
            continue
        try:
            found.append(parse(record.key, record.value))
        except exceptions.CatalogueError as exc:
            ignored.report(record, exc)
    return found
