"""Tells the epochs of the platform's log apart.

The log may come back from an older copy. It then gives out offsets again and
numbers its epoch, which all its responses bear, one higher.
"""

import threading
import time

from absl import logging
import msgspec

from briarfall import decoding
from briarfall import ids

HEADER = "Log-Epoch"
# A log that never came back from a copy, or that does not tell.
FIRST_EPOCH = ids.LogEpoch(0)
_MAX_EPOCH = 2**31 - 1
_LOG_INTERVAL_S = 10


class SeenEpoch(msgspec.Struct, frozen=True):
    """An epoch and the time by which it had begun.

    Attributes:
        epoch: The epoch.
        seen_s: When this instance first saw it, in epoch seconds; 0 for the
            first epoch.
    """

    epoch: ids.LogEpoch = FIRST_EPOCH
    seen_s: float = 0.0


class EpochTracker:
    """The newest epoch in any response of the log; thread-safe."""

    def __init__(self):
        self._lock = threading.Lock()
        self._newest = SeenEpoch()

    @property
    def newest(self) -> SeenEpoch:
        """The newest epoch that was seen."""
        return self._newest

    def observe(self, text: str | None) -> ids.LogEpoch:
        """Records the epoch of a response and returns it.

        Args:
            text: Value of the response's header. A response without a usable
                one counts as one of the newest epoch.
        """
        if text is None:
            return self._newest.epoch
        number = decoding.parse_count(text, _MAX_EPOCH)
        if number is None:
            logging.log_every_n_seconds(
                logging.WARNING,
                "%s %r of the log is ignored: expected a number up to %d",
                _LOG_INTERVAL_S,
                HEADER,
                decoding.excerpt(text),
                _MAX_EPOCH,
            )
            return self._newest.epoch
        epoch = ids.LogEpoch(number)
        with self._lock:
            if epoch > self._newest.epoch:
                self._newest = SeenEpoch(epoch, time.time())
        return epoch
