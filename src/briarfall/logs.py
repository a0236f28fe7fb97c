"""Structured logging on top of absl.logging."""

import json
import logging as std_logging
import os
import queue
import re
import threading

from absl import logging

_FIELD = re.compile(r"\b([a-z_]+)=(\S+?)(?=[:,;]?(?:\s|$))")
# Lines that may wait to be written; further lines are dropped and counted.
_MAX_QUEUED_LINES = 2000
# Lines per second after which lines below the level WARNING are dropped and
# counted.
_MAX_LINES_PER_S = 200


class JsonFormatter(std_logging.Formatter):
    """Formats a record as one line of JSON.

    Each `key=value` pair in the message becomes a field of its own.
    """

    def __init__(self, instance: str):
        super().__init__()
        self._instance = instance

    def format(self, record: std_logging.LogRecord) -> str:
        """Returns the JSON line for a record."""
        message = record.getMessage()
        line = {
            "time": self.formatTime(record),
            "level": record.levelname.lower(),
            "instance": self._instance,
            "message": message,
            **dict(_FIELD.findall(message)),
        }
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return json.dumps(line)


def configure(instance: str, *, as_json: bool, verbose: bool) -> None:
    """Writes logs to standard error.

    Args:
        instance: Name of the instance, added to JSON lines.
        as_json: Whether lines are JSON.
        verbose: Whether lines below the level WARNING are written.
    """
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.use_absl_log_file = lambda *args, **kwargs: None
    logging.set_verbosity(logging.INFO if verbose else logging.WARNING)
    logging.set_stderrthreshold("debug")
    std_logging.getLogger("websockets").setLevel(std_logging.WARNING)
    std_logging.getLogger("urllib3").setLevel(std_logging.ERROR)
    if as_json:
        handler.setFormatter(JsonFormatter(instance))


class BoundedHandler(std_logging.Handler):
    """Writes lines on a thread of its own and drops lines beyond its limits.

    If the reader of the descriptor stops reading, only that thread blocks,
    never a thread that logs.

    Args:
        descriptor: File descriptor to write to.
        formatter: Formats records as lines.

    Attributes:
        dropped: Number of lines dropped so far.
    """

    def __init__(self, descriptor: int, formatter: std_logging.Formatter):
        super().__init__()
        self.setFormatter(formatter)
        self._descriptor = descriptor
        self._queue: queue.Queue = queue.Queue(_MAX_QUEUED_LINES)
        self._second = 0
        self._lines_in_second = 0
        self.dropped = 0
        threading.Thread(
            target=self._write_loop, name="log", daemon=True
        ).start()

    def emit(self, record: std_logging.LogRecord) -> None:
        """Queues a record, or drops it if a limit is exceeded."""
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._lines_in_second = 0
        self._lines_in_second += 1
        is_urgent = record.levelno >= std_logging.WARNING
        if self._lines_in_second > _MAX_LINES_PER_S and not is_urgent:
            self.dropped += 1
            return
        try:
            self._queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1

    def _write_loop(self) -> None:
        reported = 0
        while True:
            record = self._queue.get()
            line = self.format(record)
            if self.dropped > reported:
                reported = self.dropped
                line = f'{{"message": "log lines dropped={reported}"}}\n{line}'
            try:
                _write_all(self._descriptor, f"{line}\n".encode())
            except OSError:
                # The reader has closed the descriptor; the line counts as
                # dropped.
                self.dropped += 1
            self._queue.task_done()

    def flush(self) -> None:
        """Does nothing, because a flush must not wait for the reader."""


def _write_all(descriptor: int, data: bytes) -> None:
    while data:
        data = data[os.write(descriptor, data) :]


def configure_bounded(instance: str) -> BoundedHandler:
    """Writes all logs as JSON lines to standard output, with limits."""
    handler = BoundedHandler(1, JsonFormatter(instance))
    root = std_logging.getLogger()
    for old in list(root.handlers):
        root.removeHandler(old)
    root.addHandler(handler)
    logger = logging.get_absl_logger()
    logger.handlers.clear()
    logger.propagate = True
    logging.set_verbosity(logging.INFO)
    return handler
