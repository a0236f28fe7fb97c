"""Keeps an instance's catalogue up to date from the log and from peers."""

import collections
import random
import threading
import time

from absl import logging
import msgspec

from briarfall import clock as clocks
from briarfall import exceptions
from briarfall import ids
from briarfall.adapters import log
from briarfall.adapters import logepochs
from briarfall.adapters import reader
from briarfall.catalogue import entries
from briarfall.catalogue import fold
from briarfall.catalogue import lostedits
from briarfall.catalogue import records

_READ_LIMIT = 500
_READ_WAIT_S = 5.0
_RETRY_S = 0.2
_RECENT_RECORDS = 2048
# Longest time until lost edits are written again; each instance draws its own,
# so that most find what the first one wrote.
_MAX_REWRITE_DELAY_S = 2.0


class View(msgspec.Struct, frozen=True):
    """The catalogue at one offset; immutable, replaced by a new view."""

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
        """Returns all entries of a kind, by name."""
        return {
            name: value
            for name, value in self.values.items()
            if isinstance(value, kind)
        }


class PullCall(msgspec.Struct):
    """Requests records from a peer, starting at an offset.

    Attributes:
        start: Offset of the first record.
        limit: Most records in the result.
        epoch: Epoch of the log that gave out the offset, None if the log was
            not read yet.
    """

    start: int
    limit: int
    epoch: ids.LogEpoch | None = None


class PullResult(msgspec.Struct):
    """Records in offset order, or a snapshot if they are not held.

    Attributes:
        records: The records.
        snapshot: The snapshot, or empty.
        epoch: Epoch of the log that gave out the offsets.
    """

    records: list[log.LogRecord]
    snapshot: bytes = b""
    epoch: ids.LogEpoch = logepochs.FIRST_EPOCH


class PendingVerdict(msgspec.Struct):
    """The verdict on one edit, None until it is known."""

    verdict: records.Verdict | None = None
    detail: str = ""
    offset: int = -1


class Follower(reader.StreamReader):
    """Reads the configuration stream on a thread and applies its records.

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
        self._state = fold.CatalogueState()
        self._changed = threading.Condition()
        self._pending_verdicts: dict[str, PendingVerdict] = {}
        self._recent: collections.deque[log.LogRecord] = collections.deque(
            maxlen=_RECENT_RECORDS
        )
        self._has_gap = False
        self._rng = random.Random()
        # Set from a restore of the log until it has all accepted edits again;
        # meanwhile the catalogue of the earlier epoch stays in force.
        self._lost: lostedits.LostEdits | None = None
        self._rewrite_s = 0.0
        self.view = View(0, {}, {})
        self.caught_up = threading.Event()

    @property
    def next_offset(self) -> int:
        """Offset of the record that will be applied next."""
        return self._state.next_offset

    def register_edit(self, edit_id: str) -> PendingVerdict:
        """Registers an edit to wait for, before it is appended."""
        pending = PendingVerdict()
        with self._changed:
            self._pending_verdicts[edit_id] = pending
        return pending

    def wait_for_verdict(
        self, edit_id: str, timeout_s: float
    ) -> PendingVerdict:
        """Waits for the verdict on a registered edit, which may stay None."""
        with self._changed:
            pending = self._pending_verdicts[edit_id]
            self._changed.wait_for(
                lambda: pending.verdict is not None, timeout_s
            )
        return pending

    def unregister_edit(self, edit_id: str) -> None:
        """Removes an edit that was registered."""
        with self._changed:
            self._pending_verdicts.pop(edit_id, None)

    def wait_offset(self, offset: int, timeout_s: float) -> bool:
        """Waits until all records before `offset` are applied."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._state.next_offset >= offset, timeout_s
            )

    def audit(self) -> list[fold.AuditRecord]:
        """Returns the retained audit trail, oldest record first."""
        with self._changed:
            return list(self._state_in_force().audit)

    def states(self) -> list[records.EntryState]:
        """Returns all entries with their versions."""
        with self._changed:
            states = self._state_in_force().states
            return [states[name] for name in sorted(states)]

    def snapshot(self) -> records.Snapshot:
        """Returns the current state as a snapshot record."""
        with self._changed:
            return self._state.snapshot()

    def records_from(self, offset: int, limit: int) -> list[log.LogRecord]:
        """Returns records from `offset` on, none if the first is not held."""
        with self._changed:
            if not self._recent or self._recent[0].offset > offset:
                return []
            begin = offset - self._recent[0].offset
            end = min(begin + limit, len(self._recent))
            return [self._recent[i] for i in range(begin, end)]

    def merge_records(self, batch: list[log.LogRecord]) -> None:
        """Applies records received from a peer."""
        self._apply(batch)

    def merge_snapshot(self, snapshot: records.Snapshot) -> None:
        """Loads a peer's snapshot if it is ahead of this instance."""
        self._load_snapshot(snapshot)

    def should_pull_from_peers(self) -> bool:
        """Returns whether records may have to be fetched from peers.

        While the first read of the log is under way, peers are needed only if
        the log has a gap or does not answer.
        """
        if self._lost is not None:
            return False
        if self.caught_up.is_set():
            return True
        return self._has_gap or not self.log_up

    def pull(self, call, limit: int) -> None:
        """Fetches and applies records that a peer has ahead of this instance.

        Args:
            call: Calls the peer with a method, a message and a result type.
            limit: Most records in one result.
        """
        request = PullCall(self.next_offset, limit, self._epoch)
        result = call("catalogue.pull", request, PullResult)
        if self._epoch not in (None, result.epoch) or self._lost is not None:
            return
        if self._epoch is None and (result.snapshot or result.records):
            self._epoch = result.epoch
        if result.snapshot:
            found = records.decode(result.snapshot)
            if isinstance(found, records.Snapshot):
                self.merge_snapshot(found)
        self.merge_records(result.records)

    def handle_pull(self, request: "PullCall") -> "PullResult":
        """Handles the request of a peer that is behind.

        Offsets of another epoch of the log say nothing about its records.
        """
        epoch = self._epoch or logepochs.FIRST_EPOCH
        if self._lost is not None or request.epoch not in (None, epoch):
            return PullResult([], epoch=epoch)
        found = self.records_from(request.start, request.limit)
        if found:
            return PullResult(found, epoch=epoch)
        if self.next_offset > request.start:
            return PullResult([], records.encode(self.snapshot()), epoch)
        return PullResult([], epoch=epoch)

    def _state_in_force(self) -> fold.CatalogueState:
        return self._state if self._lost is None else self._lost.earlier

    def _next_offset(self) -> int:
        return self._state.next_offset

    def _wait_s(self) -> float:
        if self._lost is not None:
            return max(0.0, self._rewrite_s - time.monotonic())
        return _READ_WAIT_S if self.caught_up.is_set() else 0.0

    def _apply_batch(self, batch: log.LogBatch) -> None:
        self._apply(batch.records)
        if self._state.next_offset < batch.end:
            return
        self.caught_up.set()
        if self._lost is not None and time.monotonic() >= self._rewrite_s:
            self._rewrite_lost(self._lost)

    def _handle_restore(self) -> None:
        """Reads all again; the catalogue in force stays meanwhile."""
        delay_s = self._rng.uniform(0.0, _MAX_REWRITE_DELAY_S)
        with self._changed:
            self._lost = lostedits.LostEdits(self._state_in_force())
            self._state = fold.CatalogueState()
            self._recent.clear()
            self._rewrite_s = time.monotonic() + delay_s

    def _rewrite_lost(self, lost: lostedits.LostEdits) -> None:
        """Appends lost edits; if none are left, what was read is in force."""
        edits = lost.next_edits(self._state)
        for edit in edits:
            logging.warning(
                "catalogue edit %s of %s was lost by the log and is written "
                "again",
                edit.id,
                edit.entry,
            )
            self._log.append(self.stream, records.encode(edit))
        if edits:
            return
        with self._changed:
            self._lost = None
            self._publish()

    def _handle_gap(self, first: int) -> None:
        """Loads the newest snapshot that joins the retained records."""
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
        if best is not None and best.covered > self._state.next_offset:
            self._load_snapshot(best)
            return
        self._has_gap = True
        logging.log_every_n_seconds(
            logging.ERROR,
            "configuration records before offset %d are gone and no snapshot "
            "covers them; waiting for a peer",
            10,
            first,
        )
        self._stopping.wait(_RETRY_S)

    def _load_snapshot(self, snapshot: records.Snapshot) -> None:
        with self._changed:
            if snapshot.covered <= self._state.next_offset:
                return
            self._state.load(snapshot)
            self._recent.clear()
            self._publish_unless_restoring()

    def _apply(self, batch: list[log.LogRecord]) -> None:
        now_s = self._clock.wall()
        with self._changed:
            before = self._state.next_offset
            for record in batch:
                if record.offset < self._state.next_offset:
                    continue
                if record.offset > self._state.next_offset:
                    break
                self._apply_one(record, now_s)
            if self._state.next_offset != before:
                self._publish_unless_restoring()

    def _apply_one(self, record: log.LogRecord, now_s: float) -> None:
        verdict = self._state.apply(
            record.offset, record.data, record.time_s, now_s
        )
        self._recent.append(record)
        if verdict is records.Verdict.IGNORED:
            return
        line = self._state.audit[-1]
        logging.info(
            "catalogue offset=%d entry=%s author=%s verdict=%s %s",
            record.offset,
            line.entry,
            line.author,
            verdict.value,
            line.detail,
        )
        pending = self._pending_verdicts.get(line.edit_id)
        if pending and pending.verdict is None:
            pending.verdict = verdict
            pending.detail = line.detail
            pending.offset = record.offset

    def _publish_unless_restoring(self) -> None:
        """Puts the state in force, unless accepted edits may lack in it."""
        if self._lost is None:
            self._publish()

    def _publish(self) -> None:
        values = dict(self._state.values)
        self.view = View(self._state.next_offset, values, _index_keys(values))
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
