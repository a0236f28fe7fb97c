"""Records of this instance that a restored store has lost."""

import threading

import pytest

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway import workers
from briarfall.gateway.catalogue import sources
from briarfall.gateway.instance import summary
from briarfall.platform import deferredcalls
from briarfall.platform import epochs
from briarfall.platform import leasetopic
from briarfall.platform import store
from briarfall.platform import topics
from briarfall.standins.prepared import store as storestandin
from briarfall.standins.prepared import testbed

_INSTANCES = "keyed.briarfall-instances"
_TIMEOUT_S = 5.0


@pytest.fixture
def platform():
    """The store."""
    found = storestandin.StoreStandin()
    yield found
    found.close()


def new_client(platform, tracker=None) -> store.StoreClient:
    counts = summary.CallCounts()
    return store.StoreClient(platform.address, counts, "test", tracker)


class TestInstanceRecord:
    @pytest.fixture
    def topic(self, platform, monkeypatch):
        """The topic of an instance that notices restores by `look`."""
        monkeypatch.setattr(deferredcalls, "_SPREAD_S", 0.0)
        tracker = epochs.EpochTracker()
        client = new_client(platform, tracker)
        found = topics.InstanceTopic(client)
        tracker.add_listener(
            deferredcalls.DeferredCall(found.announce_again).request
        )
        found.look = lambda: client.newest("t", _TIMEOUT_S)
        return found

    def announce(self, topic, name="i1") -> None:
        topic.announce(
            sources.InstanceRecord(
                ids.InstanceId(name), "127.0.0.1:7000", ids.ZoneId("z1")
            ),
            _TIMEOUT_S,
        )

    def test_lost_record_is_written_again_once(self, platform, topic):
        copy = platform.snapshot()
        self.announce(topic)
        platform.restore(copy)
        topic.look()
        testbed.until(lambda: topic._position.epoch == 2, "i1 is back")
        assert platform.keys(_INSTANCES) == ["i1"]
        topic.announce_again()
        topic.look()
        assert platform.calls["log-append"] == 2

    def test_list_is_read_once_after_the_record_is_written_again(
        self, platform, topic
    ):
        lists = []
        topic.set_listener(lists.append)
        copy = platform.snapshot()
        self.announce(topic)
        platform.restore(copy)
        topic.look()
        testbed.until(lambda: lists, "the list is read")
        assert [row.id for row in lists[0]] == ["i1"]
        calls = dict(platform.calls)
        topic.announce_again()
        assert (platform.calls, len(lists)) == (calls, 1)

    def test_list_that_is_not_read_is_tried_again(
        self, platform, topic, monkeypatch
    ):
        monkeypatch.setattr(workers, "backoff_s", lambda *args: 0.01)
        lists = []
        topic.set_listener(lists.append)
        list_instances = topic.list_instances

        def fail_once(timeout_s):
            topic.list_instances = list_instances
            raise exceptions.LogUnavailableError("injected")

        topic.list_instances = fail_once
        copy = platform.snapshot()
        self.announce(topic)
        platform.restore(copy)
        topic.look()
        testbed.until(lambda: lists, "the list is read")
        assert platform.calls["log-append"] == 2

    def test_record_is_written_again_when_the_store_serves(
        self, platform, topic, monkeypatch
    ):
        monkeypatch.setattr(workers, "backoff_s", lambda *args: 0.01)
        copy = platform.snapshot()
        self.announce(topic)
        platform.restore(copy)
        platform.status = 503
        with pytest.raises(exceptions.LogUnavailableError):
            topic.look()
        testbed.until(
            lambda: platform.calls["log-append"] >= 3, "it is tried again"
        )
        platform.status = 0
        testbed.until(lambda: platform.keys(_INSTANCES) == ["i1"], "i1 is back")

    def test_record_is_written_in_the_latest_of_two_epochs(
        self, platform, topic
    ):
        copy = platform.snapshot()
        self.announce(topic)
        for _ in range(2):
            platform.restore(copy)
            topic.look()
            testbed.until(
                lambda: platform.keys(_INSTANCES) == ["i1"], "i1 is back"
            )

    def test_record_that_was_removed_does_not_come_back(self, platform, topic):
        copy = platform.snapshot()
        self.announce(topic)
        topic.retract(ids.InstanceId("i1"), _TIMEOUT_S)
        platform.restore(copy)
        topic.look()
        topic.announce_again()
        assert platform.keys(_INSTANCES) == []

    def test_announcement_acknowledged_late_is_an_error(self, platform, topic):
        platform.answers.shut()
        errors = []

        def announce():
            try:
                self.announce(topic)
            except exceptions.LogUnavailableError as exc:
                errors.append(exc)

        copy = platform.snapshot()
        caller = threading.Thread(target=announce)
        caller.start()
        testbed.until(lambda: platform.held_answers, "the answer is held")
        platform.restore(copy)
        topic._store.tracker.observe(b"2")
        platform.answers.open()
        caller.join()
        assert len(errors) == 1


class TestReportedFence:
    @pytest.fixture
    def client(self, platform, monkeypatch):
        """A client that has seen the first epoch."""
        monkeypatch.setattr(deferredcalls, "_SPREAD_S", 0.0)
        found = new_client(platform)
        found.newest("t", _TIMEOUT_S)
        return found

    def test_fence_of_a_later_epoch_is_looked_up(self, platform, client):
        topic = leasetopic.LeaseTopic(client)
        platform.restore(platform.snapshot())
        topic.record_reported_fence(2 * 2**28 + 5)
        testbed.until(lambda: client.tracker.current == 2, "it is noticed")

    def test_wrong_fence_costs_one_call_and_changes_no_epoch(
        self, platform, client
    ):
        topic = leasetopic.LeaseTopic(client)
        for _ in range(3):
            topic.record_reported_fence(2**60)
        testbed.until(
            lambda: platform.calls["log-newest"] == 2, "it is looked up"
        )
        assert client.newest("t", _TIMEOUT_S)[1].epoch == 1
        assert platform.calls["log-newest"] == 3

    @pytest.mark.parametrize("fence", [0, 7, 2**28 + 7, -1])
    def test_fence_of_this_epoch_costs_no_call(self, platform, client, fence):
        topic = leasetopic.LeaseTopic(client)
        topic.record_reported_fence(fence)
        assert topic._look._is_running is False


def makes_no_calls(follower, holder) -> bool:
    """Whether an instance leaves the store alone over three renewals."""
    before = follower._platform.store_calls.snapshot()
    fence = holder.lease.fence
    testbed.until(lambda: holder.lease.fence >= fence + 3, "it is renewed")
    return follower._platform.store_calls.snapshot() == before


class TestInstanceAfterARestore:
    def test_instance_notices_it_and_is_listed_again(self, monkeypatch):
        monkeypatch.setattr(deferredcalls, "_SPREAD_S", 0.0)
        with testbed.world() as scene:
            before = scene.store.snapshot()
            inst = scene.instance()
            testbed.until(lambda: scene.store.keys(_INSTANCES), "i1 is listed")
            scene.store.restore(before)
            testbed.until(
                lambda: scene.store.keys(_INSTANCES) == ["i1"], "i1 is back"
            )
            assert inst.is_ready

    def test_instance_that_relies_on_peers_notices_it(self, monkeypatch):
        monkeypatch.setattr(deferredcalls, "_SPREAD_S", 0.0)
        with testbed.world() as scene:
            before = scene.store.snapshot()
            holder = scene.instance("i1")
            testbed.until(lambda: holder.lease.is_held, "i1 has the lease")
            follower = scene.instance("i2")
            testbed.until(
                lambda: makes_no_calls(follower, holder), "i2 relies on i1"
            )
            scene.store.restore(before)
            testbed.until(
                lambda: set(scene.store.keys(_INSTANCES)) == {"i1", "i2"},
                "both are back",
            )

    def test_holder_of_the_lease_gets_it_again(self):
        with testbed.world() as scene:
            before = scene.store.snapshot()
            inst = scene.instance()
            testbed.until(lambda: inst.lease.is_held, "i1 has the lease")
            old = inst.lease.fence
            scene.store.restore(before)
            testbed.until(lambda: inst.lease.fence > old, "i1 has it again")
