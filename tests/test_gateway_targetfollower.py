"""Targets that leave while an instance can't read the store."""

import pytest

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway.catalogue import catalogue
from briarfall.gateway.catalogue import sources
from briarfall.gateway.catalogue import views
from briarfall.gateway.exchanges import connections
from briarfall.gateway.gossip import peermessages
from briarfall.gateway.gossip import peerresponder
from briarfall.gateway.gossip import targetfollower
from briarfall.gateway.peers import peers
from briarfall.gateway.targets import targets

_BOUND_S = 2.0
# A ready target may be missing for 2.2 s after the store came back.
_BEFORE_S = 1.5
_AFTER_S = 1.4


def _entry(name: str, beat: int = 0) -> sources.TargetEntry:
    return sources.TargetEntry(
        id=ids.TargetId(name),
        service=views.ServiceName("desk"),
        address=f"10.0.0.1:{8000 + ord(name)}",
        zone=ids.ZoneId("z"),
        state=sources.TargetState.READY,
        beat=beat,
        started_ms=1,
    )


class _Catalogue(sources.CatalogueSource):
    """A catalogue that never changes."""

    def read_newest(self, timeout_s):
        return sources.CatalogueRead(0, b"1")

    def wait_newer(self, position, wait_s, timeout_s):
        return sources.CatalogueRead(0, b"1")

    def parse(self, raw):
        return views.build_view(
            1, [], [], {}, has_accounts=True, limits=views.CallerLimits()
        )


class _Store(sources.TargetSource):
    """The entries of targets, and whether the store answers."""

    def __init__(self, *names):
        self.names = list(names)
        self.beat = 0
        self.is_down = False
        self.reads = 0
        self.tries = 0

    def list_targets(self, timeout_s):
        self.tries += 1
        if self.is_down:
            raise exceptions.LogUnavailableError("down")
        self.reads += 1
        return [_entry(name, self.beat) for name in self.names]


class _Poller:
    """A store poller of the zone; its table is read anew for each question."""

    def __init__(self, clock, follower, store):
        self._clock = clock
        self.store = store
        self.table = targets.TargetTable()
        self._responder = peerresponder.PeerResponder(self.table, follower)
        self.is_silent = False

    def ask(self, peer, incarnation, revision, timeout_s):
        if self.is_silent:
            raise exceptions.PeerError("silent")
        self.table.update(self.store.list_targets(1.0), self._clock.now_s)
        request = peermessages.FreshnessRequest(1, incarnation, revision)
        return self._responder.answer(request)

    def fetch_changes(self, peer, answer, timeout_s):
        return answer.changes


@pytest.fixture
def store():
    """The store as this instance reaches it."""
    return _Store("a", "b")


@pytest.fixture
def table():
    return targets.TargetTable()


@pytest.fixture
def poller(clock):
    """A poller that has started after target b left."""
    follower = catalogue.CatalogueFollower(_Catalogue(), 5.0, lambda: True)
    follower.step()
    return _Poller(clock, follower, _Store("a"))


@pytest.fixture
def worker(clock, monkeypatch, store, table, poller):
    members = peers.PeerTable("i1", "z")
    peer = members.add(
        sources.InstanceRecord(
            ids.InstanceId("i2"), "10.0.0.1:7000", ids.ZoneId("z"), 1.0
        )
    )
    peer.heard_s = float("inf")
    peer.reaches_store = True
    follower = catalogue.CatalogueFollower(_Catalogue(), 5.0, lambda: True)
    follower.step()
    row = targetfollower.TargetFollower(
        store,
        table,
        follower,
        connections.ConnectionPool(),
        members,
        poller,
        _BOUND_S,
    )
    monkeypatch.setattr(members, "store_pollers", lambda count: [peer])

    def wait(seconds):
        clock.now_s += seconds

    monkeypatch.setattr(row.stopped, "wait", wait)
    return row


def _follow(clock, worker, seconds) -> None:
    end_s = clock.now_s + seconds
    while clock.now_s < end_s:
        worker.step()


class TestTargetThatLeavesWhileTheStoreIsLost:
    def lose_and_regain(self, clock, worker, store, poller):
        """Reads the store, loses it with the peers, and reads it again."""
        worker.read()
        store.is_down = True
        poller.is_silent = True
        worker.read()
        clock.now_s += 2.0
        store.is_down = False
        poller.is_silent = False
        store.names = ["a"]
        assert worker.read()

    def test_it_is_removed_once_it_had_time_to_register(
        self, clock, worker, store, table, poller
    ):
        self.lose_and_regain(clock, worker, store, poller)
        _follow(clock, worker, _BEFORE_S)
        assert table.get("b") is not None
        _follow(clock, worker, _AFTER_S)
        assert table.get("b") is None
        assert table.get("a") is not None

    def test_a_peer_tells_if_the_store_is_lost_again(
        self, clock, worker, store, table, poller
    ):
        self.lose_and_regain(clock, worker, store, poller)
        _follow(clock, worker, _BEFORE_S)
        store.is_down = True
        _follow(clock, worker, _AFTER_S)
        assert table.get("b") is None

    def test_target_that_registers_again_costs_no_read(
        self, clock, worker, store, table, poller
    ):
        self.lose_and_regain(clock, worker, store, poller)
        poller.store.names = ["a", "b"]
        reads = store.reads
        _follow(clock, worker, _BEFORE_S + _AFTER_S)
        assert table.get("b") is not None
        assert store.reads == reads

    def lose(self, worker, store, poller):
        """Reads the store, then loses it and the peers."""
        worker.read()
        store.is_down = True
        poller.is_silent = True
        worker.read()

    def test_list_of_a_peer_leaves_it_time_to_register(
        self, clock, worker, store, table, poller
    ):
        self.lose(worker, store, poller)
        poller.is_silent = False
        _follow(clock, worker, _BEFORE_S)
        assert table.get("b") is not None
        _follow(clock, worker, _AFTER_S)
        assert table.get("b") is None

    def test_own_read_gives_no_more_time_than_the_list_of_a_peer(
        self, clock, worker, store, table, poller
    ):
        self.lose(worker, store, poller)
        poller.is_silent = False
        poller.store.names = ["a", "b"]
        _follow(clock, worker, _BEFORE_S)
        poller.is_silent = True
        store.is_down = False
        store.names = ["a"]
        assert worker.read()
        _follow(clock, worker, _AFTER_S)
        assert table.get("b") is None

    def test_list_read_before_the_loss_ends_no_loss(
        self, clock, worker, store, table, poller
    ):
        self.lose(worker, store, poller)
        lost_s = clock.now_s
        clock.now_s += 0.5
        table.apply_changes([_entry("a")], [], lost_s - 0.1, is_full=True)
        clock.now_s += _BEFORE_S
        table.update([_entry("a")], clock.now_s)
        assert table.full_list_due_s > clock.now_s + _BEFORE_S

    def test_store_is_read_as_soon_as_the_backoff_is_over(
        self, clock, worker, store, poller
    ):
        self.lose(worker, store, poller)
        late_s = []
        for _ in range(20):
            tries = store.tries
            due_s = worker._next_read_s
            while store.tries == tries:
                now_s = clock.now_s
                worker.step()
            late_s.append(now_s - due_s)
        assert max(late_s) <= 0.05


class TestPeerThatListsATargetThatLeft:
    """Soak seed 1734: the peer keeps it, or has read an older copy."""

    @pytest.fixture
    def removed(self, worker, store, poller):
        """The worker has read that b left; its store poller still has b."""
        worker.read()
        store.names = ["a"]
        worker.read()
        poller.store.names = ["a", "b"]
        return worker

    def test_it_is_not_added_again(self, clock, removed, table):
        for _ in range(40):
            removed.step()
            assert table.get("b") is None
        assert table.get("a") is not None

    def test_it_is_added_with_a_newer_entry(
        self, clock, removed, table, poller
    ):
        poller.store.beat = 1
        _follow(clock, removed, _BEFORE_S)
        assert table.get("b") is not None

    def test_store_decides_once_the_target_had_time_to_register(
        self, clock, removed, table, store
    ):
        store.names = ["a", "b"]
        _follow(clock, removed, _BEFORE_S)
        assert table.get("b") is None
        _follow(clock, removed, _AFTER_S)
        assert table.get("b") is not None

    def test_store_is_read_once_for_it(self, clock, removed, store):
        reads = store.reads
        _follow(clock, removed, 5 * (_BEFORE_S + _AFTER_S))
        assert store.reads == reads + 1
