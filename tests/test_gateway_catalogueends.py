"""Reads of the catalogue's log and list that are cut before their end."""

import json
import threading

import pytest

from briarfall import exceptions
from briarfall.gateway.catalogue import sources
from briarfall.standins.prepared import store as storestandin
from briarfall.standins.prepared import testbed
from tests import cataloguescenes

_TIMEOUT_S = 5.0
_CUT_S = cataloguescenes.CUT_S
_TOPIC = cataloguescenes.TOPIC
_REVOKED_KEY = cataloguescenes.REVOKED_KEY
_KEPT_KEYS = (testbed.KEY,)
# Numbers of versions that an instance has missed, and their size in bytes. A
# read returns 1,024 KB at most.
_MISSED = [(1, 0), (4, 200_000), (6, 200_000), (13, 90_000), (60, 90_000)]


@pytest.fixture
def scene(clock):
    with cataloguescenes.opened(clock) as found:
        yield found


class TestReadThatStopsBeforeTheEnd:
    # Guards against CONFIG (review/13): a read that stops at the longest answer
    # confirmed an old version, by which a revoked key was accepted.
    @pytest.mark.parametrize("count, size_bytes", _MISSED)
    def test_revoked_key_is_refused_while_an_instance_catches_up(
        self, scene, count, size_bytes
    ):
        scene.clock.now_s += _CUT_S
        for version in range(2, count + 1):
            scene.publish(version, size_bytes=size_bytes)
        scene.publish(count + 1, _KEPT_KEYS, size_bytes)
        scene.step_until_fresh()
        assert scene.accepts(testbed.KEY)
        assert scene.follower.view.version == count + 1

    # Guards against CONFIG: the same, where records are gone besides.
    def test_revoked_key_is_refused_after_records_were_trimmed(self, scene):
        scene.clock.now_s += _CUT_S
        for version in range(2, 15):
            scene.publish(version, size_bytes=90_000)
        scene.platform.forget(_TOPIC)
        for version in range(15, 28):
            scene.publish(version, size_bytes=90_000)
        scene.publish(28, _KEPT_KEYS)
        scene.step_until_fresh()
        assert scene.accepts(testbed.KEY)

    # Guards against CONFIG: a confirmation younger or older than the read that
    # has shown the end.
    def test_confirmation_is_as_old_as_the_read_that_shows_the_end(self, scene):
        scene.clock.now_s += _CUT_S
        for version in range(2, 15):
            scene.publish(version, size_bytes=90_000)
        sent_s = []
        call = scene.client._call

        def answer_late(*args):
            sent_s.append(scene.clock.now_s)
            resp = call(*args)
            scene.clock.now_s += 1.0
            return resp

        scene.client._call = answer_late
        scene.follower.step()
        assert scene.follower.view.version == 14
        assert len(sent_s) == 2
        assert scene.follower.confirmed_s == sent_s[-1]

    # Guards against CONFIG: a process that stood still while its read waited
    # took the answer for one of now.
    def test_read_from_before_a_pause_confirms_nothing_after_it(self, scene):
        sent_s = scene.clock.now_s
        scene.follower.wait_s = 30.0
        reader = threading.Thread(target=scene.follower.step)
        reader.start()
        testbed.until(lambda: scene.platform.waiting, "the read waits")
        scene.clock.now_s += _CUT_S
        scene.publish(2)
        reader.join()
        assert scene.follower.confirmed_s == sent_s
        assert not scene.follower.is_fresh

    # Guards against a copy of an earlier answer that confirms the view.
    def test_answer_that_ends_before_the_position_is_an_error(
        self, scene, monkeypatch
    ):
        def answer_earlier(conn, query):
            scene.platform._respond(conn, 200, bytes(16))
            return True

        monkeypatch.setattr(scene.platform, "_read", answer_earlier)
        position = sources.LogPosition(sources.StoreEpoch(1), 1)
        with pytest.raises(exceptions.LogUnavailableError):
            scene.client.read(_TOPIC, position, _TIMEOUT_S)


class TestPagesOfTheNewestRecords:
    @pytest.fixture
    def between_pages(self, scene, monkeypatch):
        """Changes that are made between the two pages of the list."""
        for number in range(storestandin.PAGE_ITEMS):
            scene.platform.put(_TOPIC, f"other-{number:04}", b"x")
        changes = []
        respond = scene.platform._respond

        def change_and_respond(conn, status, body=b"", epoch=None):
            if b'"has_more": true' in body:
                for change in changes:
                    change()
            respond(conn, status, body, epoch)

        monkeypatch.setattr(scene.platform, "_respond", change_and_respond)
        return changes

    # Guards against CONFIG: a version that was written while the second page
    # was read was skipped, and its revoked key accepted from then on.
    @pytest.mark.parametrize("way", ["start", "gap", "restore"])
    def test_version_written_between_two_pages_is_read(
        self, scene, between_pages, way
    ):
        if way == "start":
            scene.follower = scene.new_follower()
        if way == "gap":
            scene.platform.forget(_TOPIC)
        if way == "restore":
            scene.platform.restore(scene.platform.snapshot())
        between_pages.append(lambda: scene.publish(2, _KEPT_KEYS))
        scene.clock.now_s += _CUT_S
        scene.follower.step()
        between_pages.clear()
        scene.clock.now_s += _CUT_S
        scene.follower.step()
        assert scene.follower.view.version == 2
        assert scene.accepts(testbed.KEY)
        assert not scene.accepts(_REVOKED_KEY)

    # Guards against targets taken for gone since a list ended too early.
    def test_page_that_announces_more_without_items_is_an_error(
        self, scene, monkeypatch
    ):
        def answer_nothing(conn, query):
            page = {"items": [], "has_more": True, "end": 1}
            scene.platform._respond(conn, 200, json.dumps(page).encode())
            return True

        monkeypatch.setattr(scene.platform, "_newest", answer_nothing)
        with pytest.raises(exceptions.LogUnavailableError):
            scene.client.newest(_TOPIC, _TIMEOUT_S)
