"""Lists of targets over random sequences of changes, losses and restores."""

import hypothesis
from hypothesis import strategies
import pytest

from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway.catalogue import sources
from briarfall.gateway.catalogue import views
from briarfall.gateway.targets import targets

_KEPT_S = 2.2
_WAITS_S = (0.3, 1.0, 2.5)
_NAMES = tuple(ids.TargetId(name) for name in ("a", "b"))


def _entry(name, beat) -> sources.TargetEntry:
    return sources.TargetEntry(
        id=name,
        service=views.ServiceName("desk"),
        address=f"10.0.0.1:{8000 + ord(name)}",
        zone=ids.ZoneId("z"),
        state=sources.TargetState.READY,
        beat=beat,
        started_ms=1,
    )


class _Reader:
    """An instance and what it has learned.

    Attributes:
        table: Its table of targets.
        epoch: Newest epoch of which it has a list.
        since_s: When it got the first list of that epoch.
        listed: Heartbeats in its own last read.
        removed: Heartbeats of targets whose removal it has read: a list of the
            same epoch had held them before.
        newest: Highest heartbeat of each target that it has known.
    """

    def __init__(self):
        self.table = targets.TargetTable()
        self.epoch = 0
        self.since_s = 0.0
        self.listed = {}
        self.removed = {}
        self.newest = dict.fromkeys(_NAMES, 0)

    def begin(self, epoch, now_s) -> None:
        """Notes the first list of an epoch."""
        if epoch > self.epoch:
            self.epoch = epoch
            self.since_s = now_s
            self.listed = {}

    def beat(self, name) -> int:
        """Returns the heartbeat that the table holds, 0 without the target."""
        target = self.table.get(name)
        return target.entry.beat if target else 0


class _RandomDay:
    """A store with entries of targets, and two instances.

    Attributes:
        now_s: Time on the boot clock.
    """

    def __init__(self):
        self.now_s = 1000.0
        self._epoch = sources.FIRST_EPOCH
        # Entries in the store, and as the targets have written them last.
        self._store = {}
        self._written = {}
        self._beats = dict.fromkeys(_NAMES, 0)
        self._copies = [{}]
        self._readers = [_Reader(), _Reader()]
        for number in range(2):
            self.read(number)

    def write(self, number) -> None:
        """A target writes its entry."""
        name = _NAMES[number % 2]
        self._beats[name] += 1
        self._store[name] = self._written[name] = self._beats[name]

    def leave(self, number) -> None:
        """A target's entry is removed."""
        self._store.pop(_NAMES[number % 2], None)
        self._written.pop(_NAMES[number % 2], None)

    def copy(self, number) -> None:
        """A copy of the store is made."""
        del number
        self._copies.append(dict(self._store))

    def restore(self, number) -> None:
        """The store comes back from one of the newest copies."""
        del self._copies[max(1, len(self._copies) - number) :]
        self._store = dict(self._copies[-1])
        self._epoch += 1

    def rewrite(self, number) -> None:
        """What the targets wrote and the store lost is written again."""
        del number
        self._store = dict(self._written)

    def wait(self, number) -> None:
        """Time passes."""
        self.now_s += _WAITS_S[number]

    def read(self, number) -> None:
        """An instance reads the list from the store."""
        self.now_s += 0.01
        reader = self._readers[number % 2]
        reader.begin(self._epoch, self.now_s)
        for name in reader.listed:
            if name not in self._store:
                reader.removed[name] = reader.newest[name]
        reader.listed = dict(self._store)
        rows = [_entry(name, beat) for name, beat in self._store.items()]
        reader.table.update(rows, self.now_s, self._epoch)
        for name, beat in self._store.items():
            if beat > reader.newest[name]:
                assert reader.beat(name) == beat
        for name in _NAMES:
            if name not in self._store and reader.table.get(name):
                assert self.now_s < reader.since_s + _KEPT_S
        self._check(reader)

    def tell(self, number) -> None:
        """An instance that reads the store tells the other its full list."""
        self.read(number)
        teller = self._readers[number % 2]
        reader = self._readers[(number + 1) % 2]
        reader.begin(teller.epoch, self.now_s)
        told = teller.table.changes_since(-1)
        reader.table.apply_changes(
            told.changed,
            told.gone,
            self.now_s,
            is_full=True,
            epoch=teller.table.epoch,
        )
        self._check(reader)

    def _check(self, reader) -> None:
        """A removal that was read is undone by newer entries only."""
        for name in _NAMES:
            reader.newest[name] = max(reader.newest[name], reader.beat(name))
        for name, removed in reader.removed.items():
            if reader.table.get(name) is not None:
                assert reader.beat(name) > removed


_STEPS = "write leave copy restore rewrite wait read tell".split()


class TestRandomRestores:
    @hypothesis.settings(max_examples=1500)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(_STEPS), strategies.integers(0, 2)
            ),
            min_size=20,
            max_size=60,
        )
    )
    def test_removals_hold_and_nothing_is_kept_too_long(self, steps):
        day = _RandomDay()
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(clocks, "boot_s", lambda: day.now_s)
            for name, number in steps:
                getattr(day, name)(number)
