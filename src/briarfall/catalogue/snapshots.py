"""Appends snapshots to the log before old records pass its retention."""

import threading

from absl import logging

from briarfall import exceptions
from briarfall.adapters import log
from briarfall.catalogue import follower as followers
from briarfall.catalogue import records


class SnapshotWriter:
    """Appends a snapshot of the catalogue at a fixed interval.

    Args:
        interval_s: Seconds between snapshots; well under the log's retention.
        is_writer: Returns whether this instance writes the snapshots. Two
            writers at a time do no harm, they only append more records.
    """

    def __init__(
        self,
        log_adapter: log.LogAdapter,
        follower: followers.Follower,
        *,
        interval_s: float,
        is_writer,
    ):
        self._log = log_adapter
        self._follower = follower
        self._interval_s = interval_s
        self._is_writer = is_writer
        self._stopping = threading.Event()

    def start(self) -> None:
        """Starts writing snapshots on a thread of its own."""
        threading.Thread(
            target=self._run, name="snapshots", daemon=True
        ).start()

    def stop(self) -> None:
        """Stops writing snapshots."""
        self._stopping.set()

    def write(self) -> records.Snapshot:
        """Appends the current state and returns the snapshot.

        Raises:
            LogUnavailableError: The append may not have taken effect.
        """
        snapshot = self._follower.snapshot()
        self._log.append(records.CONFIG_STREAM, records.encode(snapshot))
        return snapshot

    def _run(self) -> None:
        while not self._stopping.wait(self._interval_s):
            if not self._follower.caught_up.is_set() or not self._is_writer():
                continue
            try:
                snapshot = self.write()
            except exceptions.LogUnavailableError as exc:
                logging.warning(
                    "snapshot not written, retried at the next interval: %s",
                    exc,
                )
                continue
            logging.info("snapshot written, covered=%d", snapshot.covered)
