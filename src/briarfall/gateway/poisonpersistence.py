"""Persists poison requests, so that they outlive a restart of all instances."""

import queue
import threading
import time

from absl import logging

from briarfall import exceptions
from briarfall.gateway import crashes
from briarfall.gateway import poisonlist
from briarfall.gateway import sources
from briarfall.gateway import workers

_TIMEOUT_S = 1.0
_QUEUE_TIMEOUT_S = 0.5
_MAX_PENDING = 200


class PoisonPersister(workers.Worker):
    """Loads stored poison requests at the start and stores new ones.

    Args:
        source: Store of the poison requests.
        table: Requests that crashed their targets.

    Attributes:
        loaded: Set once the stored requests are loaded.
    """

    def __init__(self, source: sources.PoisonSource, table: crashes.CrashTable):
        super().__init__("poison")
        self._source = source
        self._table = table
        self.loaded = threading.Event()
        self._failures = 0
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
            self._store_next()
            self._failures = 0
        except exceptions.BriarfallError as exc:
            self._failures += 1
            logging.warning(
                "poison requests not stored or loaded, will retry: %s", exc
            )
            self.stopped.wait(workers.backoff_s(self._failures))

    def _enqueue(self, row: poisonlist.PoisonRow) -> None:
        record = sources.PoisonRecord(
            row.suspect, time.time() + row.left_ms / 1000
        )
        try:
            self._pending.put_nowait(record)
        except queue.Full:
            logging.warning(
                "poison record dropped, queue is full fingerprint=%s",
                row.suspect,
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
        is_lifted = record.until_s <= time.time()
        try:
            if is_lifted:
                self._source.retract(record.fingerprint, _TIMEOUT_S)
            else:
                self._source.publish(record, _TIMEOUT_S)
        except exceptions.BriarfallError:
            self._pending.put(record)
            raise
        logging.info(
            "poison request %s fingerprint=%s",
            "removed from the store" if is_lifted else "stored",
            record.fingerprint,
        )
