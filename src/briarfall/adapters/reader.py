"""Reads one stream of the log on a thread, from an offset on."""

import abc
import threading

from absl import logging

from briarfall import exceptions
from briarfall.adapters import log

_LIMIT = 500
_WAIT_S = 5.0
_RETRY_S = 0.1


class StreamReader(abc.ABC):
    """Base of whatever folds a stream of the log.

    Args:
        log_adapter: The platform's log.
        stream: Name of the stream.

    Attributes:
        log_up: Whether the log answered the last read.
    """

    def __init__(self, log_adapter: log.LogAdapter, stream: str):
        self.stream = stream
        self._log = log_adapter
        self.log_up = True
        self._stopping = threading.Event()

    def start(self) -> None:
        """Starts reading on a thread of its own."""
        threading.Thread(
            target=self._read_loop, name=self.stream, daemon=True
        ).start()

    def stop(self) -> None:
        """Stops reading."""
        self._stopping.set()

    @abc.abstractmethod
    def _next_offset(self) -> int:
        """Returns the offset to read next."""

    @abc.abstractmethod
    def _take(self, batch: log.LogBatch) -> None:
        """Folds what was read."""

    @abc.abstractmethod
    def _take_gap(self, first: int) -> None:
        """Handles that records before `first` are gone."""

    def _wait_s(self) -> float:
        """Returns how long a read may wait for new records."""
        return _WAIT_S

    def read_once(self, wait_s: float) -> None:
        """Reads and folds one batch.

        Raises:
            LogUnavailableError: The log did not answer.
        """
        try:
            batch = self._log.read(
                self.stream,
                self._next_offset(),
                limit=_LIMIT,
                wait_s=wait_s,
            )
        except exceptions.LogGapError as exc:
            self.log_up = True
            self._take_gap(exc.first)
            return
        self.log_up = True
        self._take(batch)

    def _read_loop(self) -> None:
        while not self._stopping.is_set():
            try:
                self.read_once(self._wait_s())
            except exceptions.LogUnavailableError as exc:
                self.log_up = False
                if self._stopping.wait(_RETRY_S):
                    return
                logging.log_every_n_seconds(
                    logging.WARNING, "log stream %s: %s", 10, self.stream, exc
                )
            except Exception:
                logging.exception("log stream %s", self.stream)
                self._stopping.wait(_RETRY_S)
