"""The catalogue when the log comes back from an older copy."""

import json
import threading
import time

import pytest

from briarfall import exceptions
from briarfall.adapters import log
from briarfall.catalogue import commands
from briarfall.catalogue import follower as followers
from briarfall.catalogue import records
from briarfall.standins import log as log_standins

_WAIT_S = 10.0


def _until(condition):
    deadline_s = time.monotonic() + _WAIT_S
    while not condition():
        assert time.monotonic() < deadline_s
        threading.Event().wait(0.01)


def _edit(timeout_s, if_version=0, name="desk"):
    value = {
        "kind": "service",
        "owner": "crew",
        "targets": [],
        "timeout_s": timeout_s,
    }
    return commands.make_edit(
        name,
        json.dumps(value).encode(),
        author="bootstrap",
        if_version=if_version,
    )


class _Instance:
    """A follower of the catalogue, and the values that it had in force."""

    def __init__(self, url):
        self.in_force = []
        self.log = log.HttpLogAdapter(url)
        self.follower = followers.Follower(self.log, on_change=self._note)
        self.editor = commands.Editor(self.log, self.follower)
        self.follower.start()

    def _note(self, view):
        self.in_force.append(self.timeouts(view))

    def timeouts(self, view=None):
        view = view or self.follower.view
        return {name: row.timeout_s for name, row in view.values.items()}

    def submit(self, edit):
        return self.editor.submit(edit).version


@pytest.fixture
def standin():
    part = log_standins.LogStandin()
    part.start()
    yield part
    part.stop()


@pytest.fixture
def instance(standin):
    opened = []

    def start():
        opened.append(_Instance(standin.url))
        return opened[-1]

    yield start
    for row in opened:
        row.follower.stop()


def _ids(standin):
    return [
        records.decode(row.data).id
        for row in standin.records(records.CONFIG_STREAM)
    ]


class TestLostEdit:
    def test_edit_stays_in_force_and_is_written_again(self, standin, instance):
        first = instance()
        version = first.submit(_edit(1.0))
        copy = standin.snapshot()
        lost = _edit(2.0, version)
        first.submit(lost)
        first.submit(_edit(3.0, name="other"))
        standin.restore(copy)
        _until(lambda: len(set(_ids(standin))) == 3)
        second = instance()
        _until(lambda: second.timeouts() == {"desk": 2.0, "other": 3.0})
        _until(lambda: first.follower.view.offset == 3)
        assert first.in_force[3:] == [{"desk": 2.0, "other": 3.0}]

    def test_several_edits_of_an_entry_keep_their_order(
        self, standin, instance
    ):
        first = instance()
        version = first.submit(_edit(1.0))
        copy = standin.snapshot()
        version = first.submit(_edit(2.0, version))
        first.submit(_edit(3.0, version))
        standin.restore(copy)
        _until(lambda: len(set(_ids(standin))) == 3)
        second = instance()
        _until(lambda: second.timeouts() == {"desk": 3.0})
        assert [row.verdict for row in second.follower.audit()] == (
            [records.Verdict.APPLIED] * 3
        )

    def test_lost_edit_does_not_replace_one_made_since(self, standin, instance):
        first = instance()
        version = first.submit(_edit(1.0))
        copy = standin.snapshot()
        first.submit(_edit(2.0, version))
        other = _edit(3.0, name="other")
        first.submit(other)
        standin.restore(copy)
        since = _edit(9.0, version)
        standin.put(records.CONFIG_STREAM, records.encode(since))
        _until(lambda: other.id in _ids(standin))
        _until(lambda: first.timeouts() == {"desk": 9.0, "other": 3.0})


class TestOffsetsGivenOutAgain:
    def test_follower_reads_the_records_at_them(self, standin, instance):
        first = instance()
        first.submit(_edit(1.0))
        copy = standin.snapshot()
        first.submit(_edit(2.0, name="a"))
        first.submit(_edit(2.0, name="b"))
        standin.restore(copy)
        standin.put(
            records.CONFIG_STREAM, records.encode(_edit(5.0, name="new"))
        )
        _until(lambda: first.timeouts().get("new") == 5.0)
        expected = {"desk": 1.0, "a": 2.0, "b": 2.0, "new": 5.0}
        assert first.timeouts() == expected

    def test_peer_of_another_epoch_is_told_nothing(self, standin, instance):
        first = instance()
        first.submit(_edit(1.0))
        standin.restore(standin.snapshot())
        first.submit(_edit(2.0, name="a"))
        _until(lambda: first.timeouts() == {"desk": 1.0, "a": 2.0})
        old = followers.PullCall(0, 10, epoch=0)
        assert first.follower.handle_pull(old).records == []
        new = followers.PullCall(0, 10, epoch=1)
        assert len(first.follower.handle_pull(new).records) == 2

    def test_records_of_a_peer_s_earlier_epoch_are_not_applied(
        self, standin, instance
    ):
        first = instance()
        first.submit(_edit(1.0))
        standin.restore(standin.snapshot())
        first.submit(_edit(2.0, name="a"))
        _until(lambda: first.timeouts() == {"desk": 1.0, "a": 2.0})
        record = log.LogRecord(2, 1.0, records.encode(_edit(7.0, name="old")))

        def call(method, request, kind):
            return followers.PullResult([record])

        first.follower.pull(call, 10)
        assert "old" not in first.timeouts()


class TestStartWithoutTheLog:
    def test_peer_s_catalogue_is_replaced_only_by_the_log(
        self, standin, instance
    ):
        first = instance()
        first.submit(_edit(1.0))
        copy = standin.snapshot()
        first.submit(_edit(2.0, name="a"))
        standin.fault_injector.set(down=True)
        second = instance()

        def call(method, request, kind):
            return first.follower.handle_pull(request)

        second.follower.pull(call, 10)
        assert second.timeouts() == {"desk": 1.0, "a": 2.0}
        standin.restore(copy)
        standin.fault_injector.set(down=False)
        _until(lambda: len(set(_ids(standin))) == 2)
        third = instance()
        _until(lambda: third.timeouts() == {"desk": 1.0, "a": 2.0})
        assert {"desk": 1.0} not in second.in_force


class TestEditThatTheLogLosesUnread:
    def test_edit_is_reported_as_unknown(self, standin, instance):
        first = instance()
        first.submit(_edit(1.0))
        copy = standin.snapshot()
        standin.on_append = lambda stream, data: standin.restore(copy)
        with pytest.raises(exceptions.LogUnavailableError) as caught:
            first.editor.submit(_edit(2.0, name="a"), 0.5)
        assert caught.value.outcome is exceptions.Outcome.UNKNOWN
