"""Keeps poison requests where a restart of all instances does not lose them."""

import queue
import threading
import time

from absl import logging

from briarfall import exceptions
from briarfall.gateway import crashes
from briarfall.gateway import sources
from briarfall.gateway import workers

_TIMEOUT_S = 1.0
_WAIT_S = 0.5
_MAX_WAITING = 200


class PoisonKeeper(workers.Worker):
    """Reads kept poison requests at the start and keeps new ones.

    Args:
        source: Where they are kept.
        table: Requests that crashed their targets.

    Attributes:
        has_read: Set when the kept requests are known.
    """

    def __init__(self, source: sources.PoisonSource, table: crashes.CrashTable):
        super().__init__("poison")
        self._source = source
        self._table = table
        self.has_read = threading.Event()
        self._failures = 0
        self._waiting: queue.Queue[sources.PoisonRecord] = queue.Queue(
            _MAX_WAITING
        )
        table.add_listener(self._note)

    def step(self) -> None:
        """Reads, or keeps the next record; tries again after a pause."""
        try:
            if not self.has_read.is_set():
                self._read()
                self.has_read.set()
            self._keep_next()
            self._failures = 0
        except exceptions.BriarfallError as exc:
            self._failures += 1
            logging.warning("poison requests not kept or read: %s", exc)
            self.stopped.wait(workers.backoff_s(self._failures))

    def _note(self, row: crashes.PoisonRow) -> None:
        record = sources.PoisonRecord(
            row.fingerprint, time.time() + row.left_ms / 1000
        )
        try:
            self._waiting.put_nowait(record)
        except queue.Full:
            logging.warning("poison not kept fingerprint=%s", row.fingerprint)

    def _read(self) -> None:
        rows = []
        now_s = time.time()
        for record in self._source.list_records(_TIMEOUT_S):
            left_s = record.until_s - now_s
            if left_s <= 0:
                self._source.retract(record.fingerprint, _TIMEOUT_S)
                continue
            rows.append(
                crashes.PoisonRow(record.fingerprint, int(left_s * 1000))
            )
        self._table.take_poison(rows)

    def _keep_next(self) -> None:
        try:
            record = self._waiting.get(timeout=_WAIT_S)
        except queue.Empty:
            return
        try:
            self._source.publish(record, _TIMEOUT_S)
        except exceptions.BriarfallError:
            self._waiting.put(record)
            raise
        logging.info("poison request kept fingerprint=%s", record.fingerprint)
