"""Logs and counts the records of a topic that can't be used."""

from absl import logging

from briarfall import decoding
from briarfall import exceptions
from briarfall.gateway.instance import summary
from briarfall.platform import store

_MAX_VALUE_BYTES = 80


class IgnoredRecords:
    """Logs each invalid record once, and again only when it has changed.

    Args:
        label: What the records of the topic are.
        counts: Counts the logged records, by label.
    """

    def __init__(self, label: str, counts: summary.CallCounts):
        self._label = label
        self._counts = counts
        # Hash of the value last logged, by key.
        self._logged: dict[str, int] = {}

    def report(
        self, record: store.KeyedRecord, exc: exceptions.BriarfallError
    ) -> None:
        """Reports that a record is not used."""
        value_hash = hash(record.value)
        if self._logged.get(record.key) == value_hash:
            return
        self._logged[record.key] = value_hash
        self._counts.record(self._label)
        value = record.value[:_MAX_VALUE_BYTES].decode("utf-8", "replace")
        logging.warning(
            "%s ignored, the others stay in use key=%s bytes=%d value=%s: %s",
            self._label,
            decoding.excerpt(record.key),
            len(record.value),
            decoding.excerpt(value),
            exc,
        )

    def retain(self, records: list[store.KeyedRecord]) -> None:
        """Forgets the records that are no longer listed."""
        keys = {record.key for record in records}
        for key in list(self._logged):
            if key not in keys:
                del self._logged[key]
