"""Keeping poison requests over restarts, without a store."""

import time

import pytest

from briarfall import exceptions
from briarfall.gateway import crashes
from briarfall.gateway import poisonkeeping
from briarfall.gateway import sources
from briarfall.gateway import workers


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
    monkeypatch.setattr(poisonkeeping, "_WAIT_S", 0.0)
    monkeypatch.setattr(workers, "backoff_s", lambda *args: 0.0)


def record(fingerprint, left_s):
    return sources.PoisonRecord(fingerprint, time.time() + left_s)


class TestPoisonKeeper:
    def test_start_refuses_what_is_kept_and_drops_what_is_over(self):
        source = _Records(record("f", 300), record("old", -1))
        table = crashes.CrashTable()
        poisonkeeping.PoisonKeeper(source, table).step()
        assert table.is_poison("f")
        assert not table.is_poison("old")
        assert list(source.rows) == ["f"]

    def test_time_of_a_record_is_bounded_though_a_clock_is_wrong(self):
        table = crashes.CrashTable()
        keeper = poisonkeeping.PoisonKeeper(_Records(record("f", 1e9)), table)
        keeper.step()
        assert table.told_poison()[0].left_ms <= crashes.POISON_S * 1000

    def test_source_that_is_down_is_asked_and_told_again(self):
        source = _Records(record("f", 300))
        table = crashes.CrashTable()
        keeper = poisonkeeping.PoisonKeeper(source, table)
        source.is_down = True
        for name in "abc":
            table.note(crashes.Crash("g", name, 1))
        keeper.step()
        assert not table.is_poison("f")
        source.is_down = False
        keeper.step()
        assert table.is_poison("f")
        assert set(source.rows) == {"f", "g"}

    def test_what_others_tell_is_not_kept_once_more(self):
        source = _Records()
        table = crashes.CrashTable()
        keeper = poisonkeeping.PoisonKeeper(source, table)
        table.take_poison([crashes.PoisonRow("f", 60_000)])
        for name in "abc":
            table.take([crashes.Crash("g", name, 1)])
        keeper.step()
        assert table.is_poison("g")
        assert source.rows == {}
