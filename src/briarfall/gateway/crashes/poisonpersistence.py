"""Persists poison requests, so that they outlive a restart of all instances."""

import collections.abc
import queue
import random
import threading
import time

from absl import logging
import msgspec

from briarfall import exceptions
from briarfall.gateway import clocks
from briarfall.gateway import workers
from briarfall.gateway.catalogue import sources
from briarfall.gateway.crashes import crashes
from briarfall.gateway.crashes import poisonlist

_TIMEOUT_S = 1.0
_QUEUE_TIMEOUT_S = 0.5
_MAX_PENDING = 200
# Time over which the instances spread what they write again after a restore of
# the store.
_REWRITE_SPREAD_S = 5.0


class WrittenRecord(msgspec.Struct, frozen=True):
    """What this instance last wrote on a suspect.

    Attributes:
        fingerprint: The suspect.
        until_s: Unix time in seconds from which the stored record, or one that
            was removed, no longer matters.
        epoch: Epoch of the store before the write.
    """

    fingerprint: str
    until_s: float
    epoch: sources.StoreEpoch


def records_to_rewrite(
    written: collections.abc.Iterable[WrittenRecord],
    epoch: sources.StoreEpoch,
    is_poison: collections.abc.Callable[[str], bool],
    now_s: float,
) -> list[sources.PoisonRecord]:
    """Returns what is to be written again in an epoch of the store.

    A suspect that is no longer refused is removed, so that a copy from before
    its removal does not bring it back.

    Args:
        written: What this instance wrote.
        epoch: Epoch of the store.
        is_poison: Whether a suspect is refused.
        now_s: Unix time in seconds.
    """
    found = []
    for row in written:
        if row.epoch == epoch or row.until_s <= now_s:
            continue
        until_s = row.until_s if is_poison(row.fingerprint) else 0.0
        found.append(sources.PoisonRecord(row.fingerprint, until_s))
    return found


class PoisonPersister(workers.Worker):
    """Loads stored poison requests at the start and stores new ones.

    Args:
        source: Store of the poison requests.
        table: Requests that crashed their targets.
        rng: Source of the pause before records are written again.

    Attributes:
        loaded: Set once the stored requests are loaded.
    """

    def __init__(
        self,
        source: sources.PoisonSource,
        table: crashes.CrashTable,
        rng: random.Random | None = None,
    ):
        super().__init__("poison")
        self._source = source
        self._table = table
        self.loaded = threading.Event()
        self._rng = rng or random.Random()
        self._failures = 0
        self._written: dict[str, WrittenRecord] = {}
        # Epoch in which the written records are stored, or are due.
        self._epoch = source.epoch
        # Time on the boot clock at which they are written again, or None.
        self._rewrite_s: float | None = None
        self._pending: queue.Queue[sources.PoisonRecord] = queue.Queue(
            _MAX_PENDING
        )
        table.add_listener(self._enqueue)

    def step(self) -> None:
        """Loads the records, then stores the next one; backs off on errors."""
        try:
            if not self.loaded.is_set():
                self._load()
                self.loaded.set()
            self._rewrite_if_due()
            self._store_next()
            self._failures = 0
        except exceptions.BriarfallError as exc:
            self._failures += 1
            logging.warning(
                "poison requests not stored or loaded, will retry: %s", exc
            )
            self.stopped.wait(workers.backoff_s(self._failures))

    def _rewrite_if_due(self) -> None:
        """Writes records again, some time after a restore of the store."""
        now_s = clocks.boot_s()
        epoch = self._source.epoch
        if epoch != self._epoch:
            self._epoch = epoch
            self._rewrite_s = now_s + self._rng.uniform(0, _REWRITE_SPREAD_S)
        if self._rewrite_s is None or now_s < self._rewrite_s:
            return
        self._rewrite_s = None
        records = records_to_rewrite(
            self._written.values(), epoch, self._table.is_poison, time.time()
        )
        for record in records:
            logging.info(
                "poison request written again after the store's restore "
                "epoch=%d fingerprint=%s",
                epoch,
                record.fingerprint,
            )
            self._put(record)

    def _enqueue(self, row: poisonlist.PoisonRow) -> None:
        self._put(
            sources.PoisonRecord(row.suspect, time.time() + row.left_ms / 1000)
        )

    def _put(self, record: sources.PoisonRecord) -> None:
        try:
            self._pending.put_nowait(record)
        except queue.Full:
            logging.warning(
                "poison record dropped, queue is full fingerprint=%s",
                record.fingerprint,
            )

    def _load(self) -> None:
        rows = []
        now_s = time.time()
        for record in self._source.list_records(_TIMEOUT_S):
            left_s = record.until_s - now_s
            if left_s <= 0:
                self._source.retract(record.fingerprint, _TIMEOUT_S)
                continue
            rows.append(
                poisonlist.PoisonRow(record.fingerprint, int(left_s * 1000))
            )
        self._table.merge_poison(rows)

    def _store_next(self) -> None:
        try:
            record = self._pending.get(timeout=_QUEUE_TIMEOUT_S)
        except queue.Empty:
            return
        now_s = time.time()
        is_lifted = record.until_s <= now_s
        epoch = self._source.epoch
        try:
            if is_lifted:
                self._source.retract(record.fingerprint, _TIMEOUT_S)
            else:
                self._source.publish(record, _TIMEOUT_S)
        except exceptions.BriarfallError:
            self._pending.put(record)
            raise
        self._remember(
            WrittenRecord(
                record.fingerprint,
                now_s + poisonlist.POISON_S if is_lifted else record.until_s,
                epoch,
            )
        )
        logging.info(
            "poison request %s fingerprint=%s",
            "removed from the store" if is_lifted else "stored",
            record.fingerprint,
        )

    def _remember(self, row: WrittenRecord) -> None:
        now_s = time.time()
        for known in list(self._written.values()):
            if known.until_s <= now_s:
                del self._written[known.fingerprint]
        self._written[row.fingerprint] = row
