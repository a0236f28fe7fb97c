"""Follows a stream of the log on a thread of its own."""

import abc
import threading

from absl import logging

from briarfall import exceptions
from briarfall import ids
from briarfall.adapters import log

_MAX_RECORDS = 500
_READ_WAIT_S = 5.0
_RETRY_S = 0.1


class StreamReader(abc.ABC):
    """Base of classes that build their state from a stream of the log.

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
        # Epoch of the offsets that were read, None before the first read.
        self._epoch: ids.LogEpoch | None = None

    def start(self) -> None:
        """Starts the reading thread."""
        threading.Thread(
            target=self._read_loop, name=self.stream, daemon=True
        ).start()

    def stop(self) -> None:
        """Stops the reading thread after its current read."""
        self._stopping.set()

    @abc.abstractmethod
    def _next_offset(self) -> int:
        """Returns the offset to read next."""

    @abc.abstractmethod
    def _apply_batch(self, batch: log.LogBatch) -> None:
        """Applies a batch of records to the state."""

    @abc.abstractmethod
    def _handle_gap(self, first: int) -> None:
        """Continues although records before `first` are no longer kept."""

    @abc.abstractmethod
    def _handle_restore(self) -> None:
        """Prepares to read all again; nothing believed so far is given up.

        The log came back from an older copy: its offsets were given out again,
        and the newest records that were read may be gone.
        """

    def _wait_s(self) -> float:
        """Returns how long a read may wait for new records."""
        return _READ_WAIT_S

    def read_once(self, wait_s: float) -> None:
        """Reads one batch and applies it, or handles a gap.

        Raises:
            LogUnavailableError: The log did not answer.
        """
        try:
            batch = self._log.read(
                self.stream,
                self._next_offset(),
                limit=_MAX_RECORDS,
                wait_s=wait_s,
            )
        except exceptions.LogGapError as exc:
            self.log_up = True
            # An offset after the first one is not kept only if the log ends
            # before it.
            ends_before = 0 < self._next_offset() >= exc.first
            if not self._notice_restore(self._log.epoch.epoch, ends_before):
                self._handle_gap(exc.first)
            return
        self.log_up = True
        if self._epoch is not None and batch.epoch < self._epoch:
            return
        ends_before = batch.end < self._next_offset()
        if not self._notice_restore(batch.epoch, ends_before):
            self._apply_batch(batch)

    def _notice_restore(self, epoch: ids.LogEpoch, ends_before: bool) -> bool:
        """Begins to read all again if the log came back from an older copy.

        Args:
            epoch: Epoch of a response.
            ends_before: Whether the log ends before the next offset to read.

        Returns:
            Whether it did; the response has to be dropped then.
        """
        old = self._epoch
        self._epoch = epoch
        if not ends_before and old in (None, epoch):
            return False
        logging.warning(
            "log stream %s restored from an older copy epoch=%d before=%s; "
            "all records are read again from the oldest on",
            self.stream,
            epoch,
            old,
        )
        self._handle_restore()
        return True

    def _read_loop(self) -> None:
        while not self._stopping.is_set():
            try:
                self.read_once(self._wait_s())
            except exceptions.LogUnavailableError as exc:
                self.log_up = False
                if self._stopping.wait(_RETRY_S):
                    return
                logging.log_every_n_seconds(
                    logging.WARNING,
                    "log stream %s not read: %s",
                    10,
                    self.stream,
                    exc,
                )
            except Exception:
                logging.exception(
                    "log stream %s: unexpected error", self.stream
                )
                self._stopping.wait(_RETRY_S)
