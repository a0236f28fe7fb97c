"""The store comes back from an older copy and gives out offsets again."""

import json
import threading

import pytest

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway import metrics
from briarfall.gateway.catalogue import catalogue
from briarfall.gateway.catalogue import sources
from briarfall.gateway.crashes import crashes
from briarfall.gateway.crashes import poisonpersistence
from briarfall.gateway.instance import summary
from briarfall.gateway.placement import leasing
from briarfall.platform import epochs
from briarfall.platform import leasetopic
from briarfall.platform import main
from briarfall.platform import store
from briarfall.platform import topics
from briarfall.standins.prepared import rawhttp
from briarfall.standins.prepared import store as storestandin
from briarfall.standins.prepared import testbed

_TIMEOUT_S = 5.0


def new_client(address, tracker=None) -> store.StoreClient:
    counts = summary.CallCounts()
    return store.StoreClient(address, counts, "test", tracker)


def new_follower(client) -> catalogue.CatalogueFollower:
    found = catalogue.CatalogueFollower(
        topics.CatalogueTopic(client), 0.0, lambda: True
    )
    found.wait_s = 0.0
    return found


@pytest.fixture
def platform():
    """The store with the first manifest."""
    found = storestandin.StoreStandin()
    publish(found, 1)
    yield found
    found.close()


@pytest.fixture
def serve():
    """Starts servers that give the next of the given answers to each call."""
    servers = []

    def start(*answers):
        rest = list(answers)

        def handle(conn, req):
            status, body, epoch = rest.pop(0)
            conn.respond(status, body, {"Store-Era": epoch})
            return True

        servers.append(rawhttp.RawServer(handle))
        return servers[-1].address

    yield start
    for server in servers:
        server.close()


def publish(platform, version) -> None:
    platform.put("keyed.op", "config", testbed.manifest(version))


def page(key, end, **changes) -> bytes:
    items = [{"key": key, "value": "eA==", "offset": 0}]
    fields = {"items": items, "has_more": False, "end": end, **changes}
    return json.dumps(fields).encode()


class TestEpochTracker:
    def test_epoch_of_a_late_answer_does_not_come_back(self):
        tracker = epochs.EpochTracker()
        for value in (b"3", b"4", b"3"):
            tracker.observe(value)
        assert tracker.current == 4
        assert tracker.changes == 1

    @pytest.mark.parametrize(
        "odd", [None, b"", b"-1", b"x", b"1.5", b"\xff", b"9" * 19, b" 7"]
    )
    def test_odd_epoch_changes_nothing(self, odd):
        tracker = epochs.EpochTracker()
        tracker.observe(b"2")
        assert tracker.observe(odd) == 2
        assert (tracker.current, tracker.changes) == (2, 0)

    def test_first_epoch_is_not_taken_for_a_restore(self):
        tracker = epochs.EpochTracker()
        tracker.observe(b"7")
        assert tracker.changes == 0

    def test_listener_is_called_once_for_each_change(self):
        tracker = epochs.EpochTracker()
        calls = []
        tracker.add_listener(lambda: calls.append(tracker.current))
        for value in (b"1", b"2", b"2", b"1", b"4"):
            tracker.observe(value)
        assert calls == [2, 4]

    def test_positions_of_two_epochs_can_not_be_compared(self):
        first = sources.LogPosition(sources.StoreEpoch(1), 5)
        second = sources.LogPosition(sources.StoreEpoch(2), 6)
        with pytest.raises(TypeError):
            assert first < second
        assert first != sources.LogPosition(sources.StoreEpoch(2), 5)


class TestMetrics:
    def test_restores_are_counted(self):
        tracker = epochs.EpochTracker()
        found = metrics.Metrics()
        main.add_store_gauges(found, tracker)
        tracker.observe(b"4")
        tracker.observe(b"5")
        lines = found.expose().decode().splitlines()
        assert "briarfall_store_restores 1.0" in lines
        assert "briarfall_store_epoch 5.0" in lines


class TestAnswersOfTwoEpochs:
    @pytest.mark.parametrize("status", [412, 410, 503, 429])
    def test_epoch_is_noticed_in_a_refusal(self, serve, status):
        body = b'{"end": 9, "first": 9}'
        client = new_client(
            serve((200, page("a", 1), "1"), (status, body, "2"))
        )
        _, end = client.newest("t", _TIMEOUT_S)
        try:
            client.append("t", b"x", _TIMEOUT_S)
        except exceptions.BriarfallError:
            pass
        with pytest.raises(exceptions.LogGapError):
            client.read("t", end, _TIMEOUT_S)

    def test_epoch_that_another_client_has_seen_is_noticed(self, platform):
        tracker = epochs.EpochTracker()
        reader = new_client(platform.address, tracker)
        other = new_client(platform.address, tracker)
        _, end = reader.newest("keyed.op", _TIMEOUT_S)
        platform.restore(platform.snapshot())
        other.newest("t", _TIMEOUT_S)
        with pytest.raises(exceptions.LogGapError):
            reader.read("keyed.op", end, _TIMEOUT_S)

    def test_late_list_of_the_earlier_epoch_is_not_returned(self, serve):
        tracker = epochs.EpochTracker()
        client = new_client(serve((200, page("a", 1), "1")), tracker)
        tracker.observe(b"2")
        with pytest.raises(exceptions.LogUnavailableError):
            client.newest("t", _TIMEOUT_S)

    def test_late_acknowledgement_of_a_lost_append_is_an_error(self, serve):
        tracker = epochs.EpochTracker()
        body = b'{"offset": 3, "end": 4}'
        client = new_client(serve((200, body, "1")), tracker)
        tracker.observe(b"2")
        with pytest.raises(exceptions.LogUnavailableError):
            client.append("t", b"x", _TIMEOUT_S)

    def test_pages_of_two_epochs_are_not_joined(self, serve):
        client = new_client(
            serve(
                (200, page("a", 1, has_more=True), "1"),
                (200, page("b", 2), "2"),
            )
        )
        with pytest.raises(exceptions.LogUnavailableError):
            client.newest("t", _TIMEOUT_S)

    def test_conditional_append_in_a_later_epoch_is_not_acknowledged(
        self, serve
    ):
        body = b'{"offset": 1, "end": 2}'
        client = new_client(serve((200, page("a", 1), "1"), (200, body, "2")))
        _, end = client.newest("t", _TIMEOUT_S)
        with pytest.raises(exceptions.LogGapError):
            client.append("t", b"x", _TIMEOUT_S, at=end)


class TestConditionalAppendOfAnEarlierEpoch:
    def test_it_is_not_sent(self, platform):
        client = new_client(platform.address)
        _, end = client.newest("t", _TIMEOUT_S)
        client.tracker.observe(b"2")
        assert client.append("t", b"x", _TIMEOUT_S, at=end) is None
        assert "log-append" not in platform.calls

    def test_refusal_that_only_says_that_offsets_went_back_is_no_error(
        self, platform
    ):
        client = new_client(platform.address)
        copy = platform.snapshot()
        client.append("t", b"x", _TIMEOUT_S)
        _, end = client.newest("t", _TIMEOUT_S)
        platform.restore(copy)
        assert client.append("t", b"y", _TIMEOUT_S, at=end) is None
        _, end = client.newest("t", _TIMEOUT_S)
        assert client.append("t", b"y", _TIMEOUT_S, at=end) == end


class TestCatalogueAfterARestore:
    def test_version_at_an_offset_given_out_again_is_not_skipped(
        self, platform
    ):
        copy = platform.snapshot()
        for _ in range(3):
            platform.put("keyed.op", "other", b"x")
        follower = new_follower(new_client(platform.address))
        follower.step()
        platform.restore(copy)
        publish(platform, 2)
        for _ in range(5):
            platform.put("keyed.op", "other", b"x")
        follower.step()
        assert follower.view.version == 2

    def test_offset_beyond_the_restored_end_is_read_again(self, platform):
        copy = platform.snapshot()
        for _ in range(3):
            platform.put("keyed.op", "other", b"x")
        follower = new_follower(new_client(platform.address))
        follower.step()
        platform.restore(copy)
        publish(platform, 2)
        follower.step()
        assert follower.view.version == 2

    def test_version_in_force_stays_when_the_copy_holds_an_older_one(
        self, platform
    ):
        copy = platform.snapshot()
        publish(platform, 2)
        follower = new_follower(new_client(platform.address))
        follower.step()
        platform.restore(copy)
        follower.step()
        assert follower.view.version == 2
        platform.rewrite_lost()
        publish(platform, 3)
        follower.step()
        assert follower.view.version == 3

    def test_store_poller_takes_a_lost_version_from_a_peer(self, platform):
        follower = new_follower(new_client(platform.address))
        follower.step()
        copy = platform.snapshot()
        publish(platform, 2)
        lost = platform.value("keyed.op", "config")
        platform.restore(copy)
        follower.set_fetcher(lambda version: lost)
        follower.record_newer(2)
        follower.step()
        assert follower.view.version == 2

    def test_read_that_waits_during_two_restores_is_done_again(self, platform):
        follower = new_follower(new_client(platform.address))
        follower.step()
        follower.wait_s = 30.0
        reader = threading.Thread(target=follower.step)
        reader.start()
        testbed.until(lambda: platform.waiting, "the read waits")
        copy = platform.snapshot()
        platform.restore(copy)
        platform.restore(copy)
        publish(platform, 2)
        reader.join()
        follower.wait_s = 0.0
        follower.step()
        assert follower.view.version == 2

    def test_late_answer_does_not_undo_what_was_read_since(self, platform):
        tracker = epochs.EpochTracker()
        slow = topics.CatalogueTopic(new_client(platform.address, tracker))
        quick = new_client(platform.address, tracker)
        platform.answers.shut()
        errors = []

        def read():
            try:
                slow.read_newest(_TIMEOUT_S)
            except exceptions.LogUnavailableError as exc:
                errors.append(exc)

        reader = threading.Thread(target=read)
        reader.start()
        testbed.until(lambda: platform.held_answers, "the answer is held")
        platform.restore(platform.snapshot())
        tracker.observe(b"1")
        tracker.observe(b"2")
        platform.answers.open()
        quick.newest("keyed.op", _TIMEOUT_S)
        reader.join()
        assert len(errors) == 1


class TestCalmDay:
    def test_epoch_costs_no_call(self, platform):
        follower = new_follower(new_client(platform.address))
        for version in range(2, 5):
            follower.step()
            publish(platform, version)
        assert platform.calls == {"log-newest": 1, "log-read": 2}

    def test_lease_is_renewed_with_one_call(self, platform, clock):
        lease = leasing.Lease(
            leasetopic.LeaseTopic(new_client(platform.address)),
            ids.InstanceId("i1"),
        )
        for _ in range(4):
            lease.refresh()
            clock.now_s += 1.0
        assert platform.calls == {"log-newest": 1, "log-append": 4}

    def test_list_of_targets_is_read_with_one_call(self, platform):
        topic = topics.TargetTopic(new_client(platform.address))
        for _ in range(4):
            topic.list_targets(_TIMEOUT_S)
        assert platform.calls == {"log-newest": 4}

    def test_poison_records_are_read_once(self, platform, clock, monkeypatch):
        monkeypatch.setattr(poisonpersistence, "_QUEUE_TIMEOUT_S", 0.0)
        persister = poisonpersistence.PoisonPersister(
            topics.PoisonTopic(new_client(platform.address)),
            crashes.CrashTable(),
        )
        for _ in range(4):
            persister.step()
            clock.now_s += 10.0
        assert platform.calls == {"log-newest": 1}
