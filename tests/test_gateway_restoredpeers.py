"""Instances that start just after the store came back from an older copy."""

import threading
import time

import pytest

from briarfall.gateway.catalogue import catalogue
from briarfall.platform import deferredcalls
from briarfall.platform import topics
from briarfall.standins.prepared import testbed


@pytest.fixture
def noticed(monkeypatch):
    """Set once running instances may act on a restore."""
    found = threading.Event()
    announce_again = topics.InstanceTopic.announce_again

    def wait_and_announce(topic):
        found.wait()
        announce_again(topic)

    monkeypatch.setattr(
        topics.InstanceTopic, "announce_again", wait_and_announce
    )
    yield found
    found.set()


@pytest.fixture
def scene(monkeypatch):
    monkeypatch.setattr(deferredcalls, "_SPREAD_S", 0.0)
    with testbed.world() as world:
        world.service("d1")
        world.service("d2", zone="z2")
        yield world


@pytest.mark.parametrize("zone", ["z1", "z2"])
class TestStartAfterARestore:
    def wait_announced(self, scene, name):
        testbed.until(
            lambda: scene.store.keys("keyed.briarfall-instances") == [name],
            f"only {name} is announced",
        )

    def test_instances_whose_records_were_lost_find_each_other(
        self, noticed, scene, zone
    ):
        """The records of all others may be missing from the copy."""
        copy = scene.store.snapshot()
        first = scene.instance("i1")
        self.wait_announced(scene, "i1")
        scene.store.restore(copy)
        second = scene.instance("i2", zone)
        self.wait_announced(scene, "i2")
        noticed.set()
        testbed.until(lambda: first.peers.alive(), "i1 hears i2")
        testbed.until(lambda: second.peers.alive(), "i2 hears i1")

    def test_peers_tell_it_the_version_that_the_copy_lacks(
        self, scene, zone, monkeypatch
    ):
        """A key that was taken away since the copy is not served at first."""
        monkeypatch.setattr(catalogue, "_FIRST_LOOK_S", testbed.WAIT_S)
        first = scene.instance("i1")
        self.wait_announced(scene, "i1")
        copy = scene.store.snapshot()
        scene.publish(testbed.manifest(2, keys=("other",)))
        testbed.until(lambda: first.follower.view.version == 2, "2 in force")
        scene.store.restore(copy)
        second = scene.instance("i2", zone)
        assert second.follower.view.version == 2
        assert testbed.call(second, "/views/1").status == 401

    def test_it_serves_by_the_copy_if_no_peer_is_announced(self, scene, zone):
        scene.store.restore(scene.store.snapshot())
        second = scene.instance("i2", zone)
        assert testbed.call(second, "/views/1").status == 200


# Time in which instances treat an entry that is still missing as gone, with
# some for the load of the machine.
_GONE_S = 5.0
# Several reads of the list of targets.
_WATCH_S = 2.0


@pytest.mark.parametrize("zone", ["z1", "z2"])
class TestTargetThatLeftBeforeTheLoss:
    """A target that left; the copy holds or lacks its entry."""

    @pytest.fixture
    def rows(self, scene, zone):
        """Two instances that know each other."""
        rows = [scene.instance("i1"), scene.instance("i2", zone)]
        for inst in rows:
            testbed.until(lambda inst=inst: inst.peers.alive(), "a peer")
        return rows

    def wait_gone(self, rows, target):
        for inst in rows:
            testbed.until(
                lambda inst=inst: inst.targets.get(target.id) is None,
                f"{target.id} is gone",
            )

    def test_removal_that_no_instance_has_read(self, scene, rows, zone):
        """The review's sequence, and soak seed 1737."""
        copy = scene.store.snapshot()
        target = scene.service("n1")
        scene.wait_for_targets(target)
        scene.store.status = -1
        target.remove()
        time.sleep(0.6)
        scene.store.restore(copy)
        scene.store.status = 0
        back_s = time.monotonic()
        self.wait_gone(rows, target)
        assert time.monotonic() - back_s < _GONE_S

    def test_removal_that_all_instances_have_read(self, scene, rows, zone):
        target = scene.service("n1")
        scene.wait_for_targets(target)
        copy = scene.store.snapshot()
        target.remove()
        self.wait_gone(rows, target)
        scene.store.restore(copy)
        until_s = time.monotonic() + _WATCH_S
        while time.monotonic() < until_s:
            for inst in rows:
                assert inst.targets.get(target.id) is None
            time.sleep(0.01)
        for inst in rows:
            testbed.until(
                lambda inst=inst: inst.targets.epoch == scene.store.epoch,
                "a list of the new epoch",
            )
            assert inst.targets.get(target.id) is None
