"""Threads that repeat one step until they are stopped."""

import abc
import threading

from absl import logging

# Pause after an unexpected error, so that it does not fill the logs.
_ERROR_PAUSE_S = 0.25
# Pauses after reads of a source that failed. Together the instances of a
# zone notice a source that comes back within a fraction of a second, and tell
# each other.
_FIRST_BACKOFF_S = 0.15
_MAX_BACKOFF_S = 1.0
_BACKOFF_S_PER_INSTANCE = 0.1


def backoff_s(failures: int, instances: int = 1) -> float:
    """Returns the pause after some failures in a row.

    Args:
        failures: Failures in a row.
        instances: Instances that try as well.
    """
    longest_s = max(_MAX_BACKOFF_S, instances * _BACKOFF_S_PER_INSTANCE)
    return min(longest_s, _FIRST_BACKOFF_S * 2 ** min(failures - 1, 10))


class Worker(threading.Thread, abc.ABC):
    """Repeats `step`; an unexpected error is logged and does not end it."""

    def __init__(self, name: str):
        super().__init__(name=name, daemon=True)
        self.stopped = threading.Event()

    @abc.abstractmethod
    def step(self) -> None:
        """Does one round of work, with its own pause."""

    def run(self) -> None:
        """Repeats the step until stopped."""
        while not self.stopped.is_set():
            try:
                self.step()
            except Exception:
                logging.exception("unexpected error in %s", self.name)
                self.stopped.wait(_ERROR_PAUSE_S)

    def stop(self) -> None:
        """Ends the thread after its current step."""
        self.stopped.set()
