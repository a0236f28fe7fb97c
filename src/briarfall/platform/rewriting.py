"""Repeats writes that a restored store has lost."""

import collections.abc
import random
import threading

from absl import logging

from briarfall import exceptions
from briarfall.gateway import workers

# Time over which the instances spread their writes. With 330 instances it
# makes 66 writes a second.
_SPREAD_S = 5.0
# Instances that may retry at once; it bounds the backoff.
_RETRYING_INSTANCES = 100


class Rewriter:
    """Repeats a write after each restore of the store.

    It has a thread only while a write is due.

    Args:
        write: Writes again what the store lacks; called after each restore.
        rng: Source of the pause before a write.
    """

    def __init__(
        self,
        write: collections.abc.Callable[[], None],
        rng: random.Random | None = None,
    ):
        self._write = write
        self._rng = rng or random.Random()
        self._lock = threading.Lock()
        self._is_wanted = False
        self._is_running = False
        self._pause = threading.Event()

    def request(self) -> None:
        """Requests the write; returns at once."""
        with self._lock:
            self._is_wanted = True
            if self._is_running:
                return
            self._is_running = True
        threading.Thread(target=self._run, name="rewriter", daemon=True).start()

    def _run(self) -> None:
        while self._take_request():
            self._pause.wait(self._rng.uniform(0.0, _SPREAD_S))
            self._write_until_done()

    def _take_request(self) -> bool:
        with self._lock:
            self._is_running = self._is_wanted
            self._is_wanted = False
            return self._is_running

    def _write_until_done(self) -> None:
        failures = 0
        while True:
            try:
                self._write()
                return
            except exceptions.BriarfallError as exc:
                failures += 1
                logging.warning(
                    "record not written again after the store's restore, "
                    "retrying: %s",
                    exc,
                )
            except Exception:
                logging.exception("record not written again, given up")
                return
            self._pause.wait(workers.backoff_s(failures, _RETRYING_INSTANCES))
