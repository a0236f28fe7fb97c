"""Persistence of poison requests over restarts, with records in memory."""

import time

import pytest

from briarfall import exceptions
from briarfall.gateway import workers
from briarfall.gateway.catalogue import sources
from briarfall.gateway.crashes import crashes
from briarfall.gateway.crashes import crashevidence
from briarfall.gateway.crashes import poisonlist
from briarfall.gateway.crashes import poisonpersistence


class _Records(sources.PoisonSource):
    """Records in memory; calls fail while it is down."""

    def __init__(self, *rows):
        self.rows = {row.fingerprint: row for row in rows}
        self.is_down = False

    def _fail(self):
        if self.is_down:
            raise exceptions.LogUnavailableError("down")

    def publish(self, record, timeout_s):
        self._fail()
        self.rows[record.fingerprint] = record

    def list_records(self, timeout_s):
        self._fail()
        return list(self.rows.values())

    def retract(self, fingerprint, timeout_s):
        self._fail()
        self.rows.pop(fingerprint, None)


@pytest.fixture(autouse=True)
def _no_pauses(monkeypatch):
    monkeypatch.setattr(poisonpersistence, "_QUEUE_TIMEOUT_S", 0.0)
    monkeypatch.setattr(workers, "backoff_s", lambda *args: 0.0)


def poison_record(fingerprint, left_s):
    return sources.PoisonRecord(fingerprint, time.time() + left_s)


class TestPoisonPersister:
    def test_start_loads_stored_records_and_drops_expired_ones(self):
        source = _Records(poison_record("f", 300), poison_record("old", -1))
        table = crashes.CrashTable()
        poisonpersistence.PoisonPersister(source, table).step()
        assert table.is_poison("f")
        assert not table.is_poison("old")
        assert list(source.rows) == ["f"]

    def test_time_left_of_a_record_is_bounded_if_a_clock_is_wrong(self):
        table = crashes.CrashTable()
        persister = poisonpersistence.PoisonPersister(
            _Records(poison_record("f", 1e9)), table
        )
        persister.step()
        assert table.poison_to_report()[0].left_ms <= poisonlist.POISON_S * 1000

    def test_unavailable_source_is_read_and_written_again(self):
        source = _Records(poison_record("f", 300))
        table = crashes.CrashTable()
        persister = poisonpersistence.PoisonPersister(source, table)
        source.is_down = True
        for name in "abc":
            table.record(crashevidence.Crash("g", name, 1))
        persister.step()
        assert not table.is_poison("f")
        source.is_down = False
        persister.step()
        assert table.is_poison("f")
        assert set(source.rows) == {"f", "g"}

    def test_poison_reported_by_others_is_not_stored_again(self):
        source = _Records()
        table = crashes.CrashTable()
        persister = poisonpersistence.PoisonPersister(source, table)
        table.merge_poison([poisonlist.PoisonRow("f", 60_000)])
        for name in "abc":
            table.merge_crashes([crashevidence.Crash("g", name, 1)])
        persister.step()
        assert table.is_poison("g")
        assert source.rows == {}
