"""Tells the epochs of the store apart.

The store may come back from an older copy. It then gives out offsets again and
numbers its epoch, which all its responses bear, one higher.
"""

import collections.abc
import threading

from absl import logging

from briarfall.gateway.catalogue import sources

EPOCH_HEADER = b"store-era"
# Epoch until a response bears one.
_UNKNOWN = sources.StoreEpoch(0)
_MAX_DIGITS = 18
_LOG_INTERVAL_S = 10

ChangeListener = collections.abc.Callable[[], None]


class EpochTracker:
    """The newest epoch in any response of the store; thread-safe.

    Attributes:
        changes: Number of changes of the epoch that were seen.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._current: sources.StoreEpoch | None = None
        self._listeners: list[ChangeListener] = []
        self.changes = 0

    @property
    def current(self) -> sources.StoreEpoch:
        """The newest epoch, or 0 if no response has borne one."""
        current = self._current
        return _UNKNOWN if current is None else current

    def add_listener(self, listener: ChangeListener) -> None:
        """Calls `listener` after each change of the epoch; it must not wait."""
        self._listeners.append(listener)

    def observe(self, value: bytes | None) -> sources.StoreEpoch:
        """Records the epoch of a response and returns it.

        Args:
            value: Value of the response's header. A response without a usable
                one counts as one of the current epoch.
        """
        epoch = _parse(value)
        if epoch is None:
            return self.current
        with self._lock:
            old = self._current
            if old is not None and epoch <= old:
                return epoch
            self._current = epoch
            if old is None:
                return epoch
            self.changes += 1
        logging.warning(
            "store restored from an older copy epoch=%d before=%d; positions "
            "of the earlier epoch are dropped, topics are read again and this "
            "instance's records are written again",
            epoch,
            old,
        )
        for listener in self._listeners:
            listener()
        return epoch


def _parse(value: bytes | None) -> sources.StoreEpoch | None:
    if value is None:
        return None
    if value.isdigit() and len(value) <= _MAX_DIGITS:
        return sources.StoreEpoch(int(value))
    logging.log_every_n_seconds(
        logging.WARNING,
        "epoch of a store response ignored, the current one stays: got %r, "
        "expected a number of at most %d digits",
        _LOG_INTERVAL_S,
        value[:40],
        _MAX_DIGITS,
    )
    return None
