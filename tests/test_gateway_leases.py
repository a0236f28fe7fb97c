"""The placement lease when the store is restored from an older copy."""

import hypothesis
from hypothesis import strategies
import pytest

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway.catalogue import catalogue
from briarfall.gateway.instance import summary
from briarfall.gateway.placement import leasing
from briarfall.platform import leasetopic
from briarfall.platform import store
from briarfall.platform import topics
from briarfall.standins.prepared import store as storestandin
from briarfall.standins.prepared import testbed

_PAST_TTL_S = leasing.LEASE_TTL_S + 0.1


@pytest.fixture
def platform():
    """The store."""
    found = storestandin.StoreStandin()
    yield found
    found.close()


def new_lease(platform, name) -> leasing.Lease:
    client = store.StoreClient(platform.address, summary.CallCounts(), "test")
    return leasing.Lease(leasetopic.LeaseTopic(client), ids.InstanceId(name))


class TestFencingNumbers:
    def test_grant_after_a_restore_gets_no_fence_used_before(
        self, platform, clock
    ):
        copy = platform.snapshot()
        first = new_lease(platform, "i1")
        for _ in range(3):
            first.refresh()
        platform.restore(copy)
        second = new_lease(platform, "i2")
        second.refresh()
        assert second.fence > first.fence > 0

    def test_start_after_two_restores_gets_a_higher_fence(
        self, platform, clock
    ):
        copy = platform.snapshot()
        fences = []
        for name in ("i1", "i2", "i3"):
            lease = new_lease(platform, name)
            for _ in range(3):
                lease.refresh()
            fences.append(lease.fence)
            platform.restore(copy)
        assert fences == sorted(set(fences))

    def test_fence_is_higher_although_other_topics_lost_nothing(
        self, platform, clock
    ):
        copy = platform.snapshot()
        first = new_lease(platform, "i1")
        first.refresh()
        first.refresh()
        platform.restore(copy, {"keyed.briarfall-lease"})
        second = new_lease(platform, "i2")
        second.refresh()
        assert second.fence > first.fence > 0


class TestLostGrant:
    def test_holder_keeps_the_lease_without_waiting_for_its_end(
        self, platform, clock
    ):
        copy = platform.snapshot()
        lease = new_lease(platform, "i1")
        lease.refresh()
        old = lease.fence
        platform.restore(copy)
        lease.refresh()
        assert lease.is_held
        assert lease.fence > old

    def test_holder_whose_older_grant_is_in_the_copy_keeps_the_lease(
        self, platform, clock
    ):
        lease = new_lease(platform, "i1")
        lease.refresh()
        copy = platform.snapshot()
        lease.refresh()
        old = lease.fence
        platform.restore(copy)
        lease.refresh()
        assert lease.is_held
        assert lease.fence > old

    def test_holder_gives_way_to_a_grant_of_the_new_epoch(
        self, platform, clock
    ):
        copy = platform.snapshot()
        first = new_lease(platform, "i1")
        first.refresh()
        platform.restore(copy)
        second = new_lease(platform, "i2")
        second.refresh()
        first.refresh()
        assert second.is_held
        assert not first.is_held
        assert first.fence == 0

    def test_holder_does_not_renew_at_an_offset_that_another_was_given(
        self, platform, clock
    ):
        copy = platform.snapshot()
        first = new_lease(platform, "i1")
        first.refresh()
        platform.restore(copy)
        second = new_lease(platform, "i2")
        second.refresh()
        # The offsets of both grants are the same.
        first.refresh()
        second.refresh()
        assert not first.is_held
        old = max(first.fence, second.fence)
        clock.now_s += _PAST_TTL_S
        second.refresh()
        first.refresh()
        assert second.is_held
        assert not first.is_held
        assert second.fence > old

    def test_instance_that_was_told_of_the_lost_grant_takes_over_later(
        self, platform, clock
    ):
        copy = platform.snapshot()
        first = new_lease(platform, "i1")
        first.refresh()
        second = new_lease(platform, "i2")
        second.record_other_holder(first.fence, clock.now_s + first.left_s)
        platform.restore(copy)
        second.refresh()
        assert not second.is_held
        clock.now_s += _PAST_TTL_S
        second.refresh()
        assert second.is_held
        assert second.fence > first.fence

    def test_late_grant_of_the_earlier_epoch_is_no_lease(self, platform, clock):
        first = new_lease(platform, "i1")
        first.refresh()
        copy = platform.snapshot()
        clock.now_s += _PAST_TTL_S
        seen = leasetopic.LeaseTopic(
            store.StoreClient(platform.address, summary.CallCounts(), "test")
        )
        grant = seen.read_grant(5.0)
        platform.restore(copy)
        # The topic ends at the same offset as before, in another epoch.
        with pytest.raises(exceptions.LogGapError):
            seen.try_acquire(ids.InstanceId("i2"), 3.0, grant.end, 5.0)


class _RandomDay:
    """Instances, one engine and a store that is restored at random.

    Attributes:
        now_s: Time on the boot clock.
    """

    def __init__(self):
        self.now_s = 1000.0
        self.platform = storestandin.StoreStandin()
        self._version = 1
        self.publish(0)
        self._copies = [self.platform.snapshot()]
        self._leases = [new_lease(self.platform, f"i{n}") for n in range(3)]
        self._accepted = 0
        self._holders = {}
        client = store.StoreClient(
            self.platform.address, summary.CallCounts(), "test"
        )
        self._follower = catalogue.CatalogueFollower(
            topics.CatalogueTopic(client), 0.0, lambda: True
        )
        self._follower.wait_s = 0.0

    def refresh(self, number) -> None:
        """An instance refreshes its lease; a new grant is checked."""
        lease = self._leases[number]
        before = lease.fence
        try:
            lease.refresh()
        except exceptions.LogUnavailableError:
            return
        if lease.fence in (0, before):
            return
        assert self._holders.setdefault(lease.fence, lease) is lease
        assert lease.fence > self._accepted

    def lose_answer(self, number) -> None:
        """A grant is appended, but its acknowledgement is lost."""
        self.platform.loses_appends = True
        self.refresh(number)
        self.platform.loses_appends = False

    def restart(self, number) -> None:
        """An instance ends and a new one knows nothing."""
        self._leases[number] = new_lease(self.platform, f"i{number}")

    def command(self, number) -> None:
        """An instance commands the engine with its fencing number."""
        lease = self._leases[number]
        if not lease.has_newest_grant:
            return
        if lease.fence < self._accepted:
            lease.lose()
            return
        self._accepted = lease.fence

    def wait(self, number) -> None:
        """Time passes."""
        self.now_s += (0.5, 2.0, _PAST_TTL_S)[number]

    def copy(self, number) -> None:
        """A copy of the store is made."""
        del number
        self._copies.append(self.platform.snapshot())

    def restore(self, number) -> None:
        """The store comes back from one of the newest copies."""
        del self._copies[max(1, len(self._copies) - number) :]
        self.platform.restore(self._copies[-1])

    def publish(self, number) -> None:
        """The operator writes a version and other records."""
        self._version += 1
        self.platform.put("keyed.op", "config", testbed.manifest(self._version))
        for _ in range(number):
            self.platform.put("keyed.op", "other", b"x")

    def follow(self, number) -> None:
        """The follower reads; it holds the newest version that is stored."""
        del number
        newest = self.platform.value("keyed.op", "config")
        self._follower.step()
        if newest is None:
            return
        version = topics.CatalogueTopic(None).parse(newest).version
        assert self._follower.view.version >= version


_STEPS = (
    "refresh lose_answer restart command wait copy restore publish follow"
).split()


class TestRandomRestores:
    @hypothesis.settings(max_examples=150)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(_STEPS), strategies.integers(0, 2)
            ),
            min_size=10,
            max_size=60,
        )
    )
    def test_fences_rise_and_no_follower_stays_behind(self, steps):
        day = _RandomDay()
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(clocks, "boot_s", lambda: day.now_s)
            try:
                for name, number in steps:
                    getattr(day, name)(number)
            finally:
                day.platform.close()
