"""Keeps one instance's catalogue current from the log and from peers."""

import collections
import threading

from absl import logging
import msgspec

from briarfall import clock as clocks
from briarfall import exceptions
from briarfall.adapters import log
from briarfall.adapters import reader
from briarfall.catalogue import entries
from briarfall.catalogue import fold
from briarfall.catalogue import records

_READ_LIMIT = 500
_READ_WAIT_S = 5.0
_RETRY_S = 0.2
_KEPT_RECORDS = 2048


class View(msgspec.Struct, frozen=True):
    """The catalogue at one offset; replaced whole, never changed."""

    offset: int
    values: dict[str, entries.AnyEntry]
    keys: dict[str, str]

    def get(self, name: str, kind: type):
        """Returns the entry `name` if it is of `kind`.

        Raises:
            NotFoundError: There is no such entry of that kind.
        """
        value = self.values.get(name)
        if not isinstance(value, kind):
            raise exceptions.NotFoundError(
                f"no {kind.__name__.lower()} entry {name!r}"
            )
        return value

    def of_kind(self, kind: type) -> dict:
        """Returns all entries of a kind by name."""
        return {
            name: value
            for name, value in self.values.items()
            if isinstance(value, kind)
        }


class PullCall(msgspec.Struct):
    """Asks a peer for records from an offset."""

    start: int
    limit: int


class PullResult(msgspec.Struct):
    """Records in offset order, or a snapshot where they are not kept."""

    records: list[log.LogRecord]
    snapshot: bytes = b""


class Waiter(msgspec.Struct):
    """The verdict of one edit, once it is known."""

    verdict: records.Verdict | None = None
    detail: str = ""
    offset: int = -1


class Follower(reader.StreamReader):
    """Folds the configuration stream on a thread of its own.

    Args:
        log_adapter: The platform's log.
        clock: Source of time.
        on_change: Called with each new view.
    """

    def __init__(
        self,
        log_adapter: log.LogAdapter,
        *,
        clock: clocks.Clock | None = None,
        on_change: collections.abc.Callable[[View], None] | None = None,
    ):
        super().__init__(log_adapter, records.CONFIG_STREAM)
        self._clock = clock or clocks.Clock()
        self._on_change = on_change
        self._fold = fold.Fold()
        self._changed = threading.Condition()
        self._waiters: dict[str, Waiter] = {}
        self._kept: collections.deque[log.LogRecord] = collections.deque(
            maxlen=_KEPT_RECORDS
        )
        self._has_gap = False
        self.view = View(0, {}, {})
        self.caught_up = threading.Event()

    @property
    def next_offset(self) -> int:
        """Offset of the record that will be folded next."""
        return self._fold.next_offset

    def expect(self, edit_id: str) -> Waiter:
        """Registers interest in an edit's verdict, before it is appended."""
        waiter = Waiter()
        with self._changed:
            self._waiters[edit_id] = waiter
        return waiter

    def wait(self, edit_id: str, timeout_s: float) -> Waiter:
        """Waits for a registered edit's verdict; it may stay None."""
        with self._changed:
            waiter = self._waiters[edit_id]
            self._changed.wait_for(
                lambda: waiter.verdict is not None, timeout_s
            )
        return waiter

    def forget(self, edit_id: str) -> None:
        """Ends the interest in an edit."""
        with self._changed:
            self._waiters.pop(edit_id, None)

    def wait_offset(self, offset: int, timeout_s: float) -> bool:
        """Waits until all records before `offset` are folded."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._fold.next_offset >= offset, timeout_s
            )

    def audit(self) -> list[fold.AuditRecord]:
        """Returns the kept audit trail, oldest first."""
        with self._changed:
            return list(self._fold.audit)

    def states(self) -> list[records.EntryState]:
        """Returns all entries with their versions."""
        with self._changed:
            return [self._fold.states[k] for k in sorted(self._fold.states)]

    def snapshot(self) -> records.Snapshot:
        """Returns the folded state as a snapshot record."""
        with self._changed:
            return self._fold.snapshot()

    def records_from(self, offset: int, limit: int) -> list[log.LogRecord]:
        """Returns kept records from `offset`, empty if they are not kept."""
        with self._changed:
            if not self._kept or self._kept[0].offset > offset:
                return []
            begin = offset - self._kept[0].offset
            end = min(begin + limit, len(self._kept))
            return [self._kept[i] for i in range(begin, end)]

    def offer(self, batch: list[log.LogRecord]) -> None:
        """Folds records that a peer handed on."""
        self._apply(batch)

    def offer_snapshot(self, snapshot: records.Snapshot) -> None:
        """Takes over a peer's state if it is further than this one's."""
        self._load(snapshot)

    def needs_peers(self) -> bool:
        """Returns whether peers may know what the log does not tell."""
        if self.caught_up.is_set():
            return True
        return self._has_gap or not self.log_up

    def pull(self, call, limit: int) -> None:
        """Fetches what a peer has folded beyond this instance.

        Args:
            call: Calls the peer with a method, a message and a result type.
            limit: Records in one answer.
        """
        request = PullCall(self.next_offset, limit)
        answer = call("catalogue.pull", request, PullResult)
        if answer.snapshot:
            found = records.decode(answer.snapshot)
            if isinstance(found, records.Snapshot):
                self.offer_snapshot(found)
        self.offer(answer.records)

    def handle_pull(self, request: "PullCall") -> "PullResult":
        """Serves a peer that is behind."""
        found = self.records_from(request.start, request.limit)
        if found:
            return PullResult(found)
        if self.next_offset > request.start:
            return PullResult([], records.encode(self.snapshot()))
        return PullResult([])

    def _next_offset(self) -> int:
        return self._fold.next_offset

    def _wait_s(self) -> float:
        return _READ_WAIT_S if self.caught_up.is_set() else 0.0

    def _take(self, batch: log.LogBatch) -> None:
        self._apply(batch.records)
        if self._fold.next_offset >= batch.end:
            self.caught_up.set()

    def _take_gap(self, first: int) -> None:
        """Starts from a snapshot that joins the kept records without gap."""
        offset = first
        best: records.Snapshot | None = None
        while not self._stopping.is_set():
            batch = self._log.read(
                records.CONFIG_STREAM, offset, limit=_READ_LIMIT, wait_s=0.0
            )
            for record in batch.records:
                offset = record.offset + 1
                best = _better_snapshot(best, record, first)
            if offset >= batch.end:
                break
        if best is not None and best.covered > self._fold.next_offset:
            self._load(best)
            return
        self._has_gap = True
        logging.log_every_n_seconds(
            logging.ERROR,
            "configuration records before %d are gone and no snapshot "
            "covers them; waiting for a peer",
            10,
            first,
        )
        self._stopping.wait(_RETRY_S)

    def _load(self, snapshot: records.Snapshot) -> None:
        with self._changed:
            if snapshot.covered <= self._fold.next_offset:
                return
            self._fold.load(snapshot)
            self._kept.clear()
            self._publish()

    def _apply(self, batch: list[log.LogRecord]) -> None:
        now_s = self._clock.wall()
        with self._changed:
            before = self._fold.next_offset
            for record in batch:
                if record.offset < self._fold.next_offset:
                    continue
                if record.offset > self._fold.next_offset:
                    break
                self._apply_one(record, now_s)
            if self._fold.next_offset != before:
                self._publish()

    def _apply_one(self, record: log.LogRecord, now_s: float) -> None:
        verdict = self._fold.apply(
            record.offset, record.data, record.time_s, now_s
        )
        self._kept.append(record)
        if verdict is records.Verdict.IGNORED:
            return
        line = self._fold.audit[-1]
        logging.info(
            "catalogue offset=%d entry=%s author=%s verdict=%s %s",
            record.offset,
            line.entry,
            line.author,
            verdict.value,
            line.detail,
        )
        waiter = self._waiters.get(line.edit_id)
        if waiter and waiter.verdict is None:
            waiter.verdict = verdict
            waiter.detail = line.detail
            waiter.offset = record.offset

    def _publish(self) -> None:
        values = dict(self._fold.values)
        self.view = View(self._fold.next_offset, values, _index_keys(values))
        self._changed.notify_all()
        if self._on_change:
            self._on_change(self.view)


def _index_keys(values: dict[str, entries.AnyEntry]) -> dict[str, str]:
    keys = {}
    for name, value in values.items():
        if not isinstance(value, entries.Client | entries.Operator):
            continue
        for digest in value.key_sha256:
            keys[digest] = name
    return keys


def _better_snapshot(
    best: records.Snapshot | None, record: log.LogRecord, first: int
) -> records.Snapshot | None:
    try:
        found = records.decode(record.data)
    except exceptions.CatalogueError:
        return best
    if not isinstance(found, records.Snapshot):
        return best
    if not first <= found.covered <= record.offset:
        return best
    if best is not None and best.covered >= found.covered:
        return best
    return found
