"""Poison records that a restored store has lost."""

import random
import time

import pytest

from briarfall.gateway.catalogue import sources
from briarfall.gateway.crashes import crashes
from briarfall.gateway.crashes import crashevidence
from briarfall.gateway.crashes import poisonlist
from briarfall.gateway.crashes import poisonpersistence
from briarfall.gateway.instance import summary
from briarfall.platform import store
from briarfall.platform import topics
from briarfall.standins.prepared import store as storestandin

_POISON = "keyed.briarfall-poison"
_TIMEOUT_S = 5.0
_PAST_SPREAD_S = 6.0


@pytest.fixture
def platform():
    """The store."""
    found = storestandin.StoreStandin()
    yield found
    found.close()


def new_client(platform, tracker=None) -> store.StoreClient:
    counts = summary.CallCounts()
    return store.StoreClient(platform.address, counts, "test", tracker)


class TestPoisonRecords:
    @pytest.fixture
    def persister(self, platform, clock, monkeypatch):
        """A persister that has stored the poison request f."""
        monkeypatch.setattr(poisonpersistence, "_QUEUE_TIMEOUT_S", 0.0)
        self.table = crashes.CrashTable()
        client = new_client(platform)
        self.look = lambda: client.newest("t", _TIMEOUT_S)
        self.look()
        found = poisonpersistence.PoisonPersister(
            topics.PoisonTopic(client), self.table, random.Random(1)
        )
        found.step()
        self.copy = platform.snapshot()
        for name in "abc":
            self.table.record(crashevidence.Crash("f", name, 1))
        found.step()
        assert platform.keys(_POISON) == ["f"]
        return found

    def restore(self, platform, clock, persister, copy=None) -> None:
        platform.restore(copy or self.copy)
        self.look()
        persister.step()
        clock.now_s += _PAST_SPREAD_S
        for _ in range(3):
            persister.step()

    def test_lost_record_is_written_again_once(
        self, platform, clock, persister
    ):
        appends = platform.calls["log-append"]
        self.restore(platform, clock, persister)
        assert platform.keys(_POISON) == ["f"]
        assert platform.calls["log-append"] == appends + 1

    def test_record_is_not_written_before_its_turn(self, platform, persister):
        platform.restore(self.copy)
        self.look()
        persister.step()
        assert platform.keys(_POISON) == []

    def test_lost_record_is_written_again_after_each_restore(
        self, platform, clock, persister
    ):
        for _ in range(2):
            self.restore(platform, clock, persister)
            assert platform.keys(_POISON) == ["f"]

    def test_record_that_a_peer_lifted_does_not_come_back(
        self, platform, clock, persister
    ):
        copy = platform.snapshot()
        self.table._poison.lift("f")
        self.restore(platform, clock, persister, copy)
        assert platform.keys(_POISON) == []

    def test_removal_that_was_lost_is_done_again(
        self, platform, clock, persister
    ):
        copy = platform.snapshot()
        self.table._poison.lift("f")
        persister._enqueue(poisonlist.PoisonRow("f", 0))
        persister.step()
        assert platform.keys(_POISON) == []
        self.restore(platform, clock, persister, copy)
        assert platform.keys(_POISON) == []


class TestRecordsToRewrite:
    def decide(self, row, poison=()):
        now_s = time.time()
        return poisonpersistence.records_to_rewrite(
            [row], sources.StoreEpoch(2), set(poison).__contains__, now_s
        )

    def row(self, left_s, epoch):
        return poisonpersistence.WrittenRecord(
            "f", time.time() + left_s, sources.StoreEpoch(epoch)
        )

    def test_record_of_the_present_epoch_is_not_written_again(self):
        assert self.decide(self.row(60, 2), "f") == []

    def test_record_that_has_expired_is_not_written_again(self):
        assert self.decide(self.row(-1, 1), "f") == []

    def test_record_keeps_its_time(self):
        row = self.row(60, 1)
        assert self.decide(row, "f") == [sources.PoisonRecord("f", row.until_s)]

    def test_suspect_that_is_no_longer_refused_is_removed(self):
        assert self.decide(self.row(60, 1)) == [sources.PoisonRecord("f", 0.0)]
