"""What confirms that the version of the catalogue in force is the newest."""

import json
import threading

import pytest

from briarfall.gateway.catalogue import catalogue
from briarfall.gateway.gossip import peermessages
from briarfall.gateway.gossip import peerresponder
from briarfall.gateway.targets import targets
from briarfall.standins.prepared import store as storestandin
from briarfall.standins.prepared import testbed
from tests import cataloguescenes

_CUT_S = cataloguescenes.CUT_S
_TOPIC = cataloguescenes.TOPIC
_REVOKED_KEY = cataloguescenes.REVOKED_KEY
_KEPT_KEYS = (testbed.KEY,)
_UNREADABLE = b"{}"


@pytest.fixture
def scene(clock):
    with cataloguescenes.opened(clock) as found:
        yield found


class TestVersionThatCannotBeRead:
    # Guards against CONFIG: the version in force was confirmed though a newer
    # one, which can't be read, may have taken the key away.
    def test_version_before_it_is_not_confirmed(self, scene):
        scene.platform.put(_TOPIC, "config", _UNREADABLE)
        for _ in range(12):
            scene.clock.now_s += 0.5
            scene.follower.step()
        assert scene.follower.view.version == 1
        assert not scene.follower.is_fresh
        scene.publish(3, _KEPT_KEYS)
        scene.follower.step()
        assert scene.accepts(testbed.KEY)

    # Guards against CONFIG: a peer that has not read it confirmed the one
    # before.
    def test_peer_does_not_confirm_the_version_before_it(self, scene):
        scene.platform.put(_TOPIC, "config", _UNREADABLE)
        scene.follower.step()
        scene.clock.now_s += _CUT_S
        scene.follower.confirm_from_peer(1, scene.clock.now_s, is_proven=True)
        assert not scene.follower.is_fresh

    # Guards against reads of the store in a loop, and keys served late.
    def test_reads_wait_for_the_next_version(self, clock):
        with cataloguescenes.opened(clock, is_store_poller=False) as scene:
            scene.platform.put(_TOPIC, "config", _UNREADABLE)
            scene.clock.now_s += _CUT_S
            scene.follower.step()
            scene.follower.wait_s = 30.0
            reader = threading.Thread(target=scene.follower.step)
            reader.start()
            testbed.until(lambda: scene.platform.waiting, "the read waits")
            scene.publish(3, _KEPT_KEYS)
            reader.join()
            assert scene.accepts(testbed.KEY)


class TestRestoredStore:
    @pytest.fixture(params=["an older version", "no version"])
    def restored(self, scene, request):
        """A scene whose store has lost versions 2 and 3; 2 is in force."""
        copy = scene.platform.snapshot()
        if request.param == "no version":
            copy = storestandin.StoreCopy({}, {}, {})
        scene.publish(2)
        scene.follower.step()
        scene.publish(3, _KEPT_KEYS)
        scene.platform.restore(copy)
        scene.clock.now_s += _CUT_S
        scene.follower.step()
        return scene

    # Guards against CONFIG: a copy that lacks the version in force, and maybe
    # a later one that took a key away, confirmed the one in force.
    def test_copy_without_the_version_in_force_confirms_nothing(self, restored):
        assert restored.follower.view.version == 2
        assert not restored.follower.is_fresh
        restored.clock.now_s += 1.0
        restored.follower.step()
        assert not restored.follower.is_fresh
        restored.platform.rewrite_lost()
        restored.step_until_fresh()
        assert restored.accepts(testbed.KEY)

    # Guards against keys refused for good if nothing is written again.
    def test_copy_counts_once_the_operator_had_time_to_write(self, restored):
        restored.clock.now_s += 3.0
        restored.follower.step()
        assert restored.follower.view.version == 2
        assert restored.accepts(testbed.KEY)


class TestVersionsOfTwoThreads:
    # Guards against CONFIG: of two versions that came at the same time, from
    # the store and from a peer, the older one stayed in force as confirmed.
    def test_newer_one_stays_in_force(self, scene, monkeypatch):
        newer = json.dumps(testbed.manifest(3, keys=_KEPT_KEYS)).encode()
        older = json.dumps(testbed.manifest(2)).encode()
        follower = scene.follower
        peer = threading.Thread(target=follower.apply_from_peer, args=[newer])
        parse = follower._source.parse

        class _Slow:
            """A view whose version is compared for a while."""

            def __init__(self, view):
                self._view = view

            def __getattr__(self, name):
                if name == "version" and not peer.ident:
                    peer.start()
                    peer.join(0.3)
                return getattr(self._view, name)

        def parse_slowly(raw):
            view = parse(raw)
            return _Slow(view) if raw == older else view

        monkeypatch.setattr(follower._source, "parse", parse_slowly)
        follower.apply(older)
        peer.join()
        assert follower.view.version == 3


class TestConfirmationsOfPeers:
    # Guards against CONFIG: the age of a version that came into force while
    # the answer was made was told as the age of the version before.
    def test_age_belongs_to_the_version_that_is_told(self, scene, monkeypatch):
        scene.clock.now_s += _CUT_S
        scene.publish(2, _KEPT_KEYS)
        table = targets.TargetTable()
        responder = peerresponder.PeerResponder(table, scene.follower)
        changes_since = table.changes_since

        def catch_up(revision):
            scene.follower.step()
            return changes_since(revision)

        monkeypatch.setattr(table, "changes_since", catch_up)
        answer = responder.answer(peermessages.FreshnessRequest(1, 0, -1))
        assert scene.follower.view.version == 2
        is_old = answer.catalogue_age_ms >= _CUT_S * 1000
        assert answer.version == 2 or is_old

    # Guards against CONFIG: a peer of an earlier release that is catching up
    # confirmed an old version to an instance that shared its cut.
    def test_earlier_release_does_not_confirm_after_a_common_cut(self, scene):
        scene.clock.now_s += _CUT_S
        scene.follower.confirm_from_peer(1, scene.clock.now_s)
        assert not scene.follower.is_fresh
        scene.follower.confirm_from_peer(1, scene.clock.now_s, is_proven=True)
        assert scene.follower.is_fresh

    # Guards against keys refused beside peers of an earlier release only.
    def test_earlier_release_confirms_without_a_cut(self, scene):
        for _ in range(5):
            scene.clock.now_s += 3.0
            scene.follower.confirm_from_peer(1, scene.clock.now_s)
        assert scene.follower.is_fresh

    # Guards against answers that no longer say so of this release.
    def test_answer_says_that_it_is_proven(self, scene):
        responder = peerresponder.PeerResponder(
            targets.TargetTable(), scene.follower
        )
        answer = responder.answer(peermessages.FreshnessRequest(1, 0, -1))
        assert answer.reads_to_end


class TestRequestsWhileAVersionComesIntoForce:
    # Guards against CONFIG: a request was checked by the version from before
    # a cut, and by the freshness of the one after it.
    def test_freshness_belongs_to_the_version_that_is_checked(
        self, world, monkeypatch
    ):
        world.publish(testbed.manifest(2, keys=cataloguescenes.BOTH_KEYS))
        target = world.service("d1")
        inst = world.instance()

        def call():
            return testbed.call(inst, "/views/x", key=_REVOKED_KEY).status

        testbed.until(lambda: call() == 200, "version 2 is in force")
        runs = len(target.ran_ids())
        newer = json.dumps(testbed.manifest(3)).encode()

        def catch_up(follower):
            follower.apply(newer)
            return True

        monkeypatch.setattr(
            catalogue.CatalogueFollower, "is_fresh", property(catch_up)
        )
        assert call() == 401
        assert len(target.ran_ids()) == runs
