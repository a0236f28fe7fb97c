"""Threads that repeat one step until they are stopped."""

import abc
import threading

from absl import logging

# Pause after an unexpected error, so that repeated errors do not flood the log.
_ERROR_PAUSE_S = 0.25
# Backoff after failed reads of a source. Between them, the instances of a zone
# detect within a fraction of a second that a source answers again, and report
# it to each other. The cap grows with the number of instances.
_FIRST_BACKOFF_S = 0.15
_MAX_BACKOFF_S = 1.0
_BACKOFF_S_PER_INSTANCE = 0.1


def backoff_s(failures: int, instances: int = 1) -> float:
    """Returns the pause after consecutive failures.

    Args:
        failures: Number of consecutive failures.
        instances: Number of instances that retry the same source.
    """
    longest_s = max(_MAX_BACKOFF_S, instances * _BACKOFF_S_PER_INSTANCE)
    return min(longest_s, _FIRST_BACKOFF_S * 2 ** min(failures - 1, 10))


class Worker(threading.Thread, abc.ABC):
    """Thread that repeats `step`; unexpected errors are logged, not fatal."""

    def __init__(self, name: str):
        super().__init__(name=name, daemon=True)
        self.stopped = threading.Event()

    @abc.abstractmethod
    def step(self) -> None:
        """Does one round of work, including the pause between rounds."""

    def run(self) -> None:
        """Repeats `step` until stopped."""
        while not self.stopped.is_set():
            try:
                self.step()
            except Exception:
                logging.exception(
                    "unexpected error in %s, repeating its step", self.name
                )
                self.stopped.wait(_ERROR_PAUSE_S)

    def stop(self) -> None:
        """Makes the thread end after its current step."""
        self.stopped.set()
