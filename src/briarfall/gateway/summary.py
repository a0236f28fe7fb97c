"""A line now and then that says how an instance stands."""

import collections
import collections.abc
import threading

from absl import logging

from briarfall.gateway import workers

_INTERVAL_S = 10.0


class CallCounts:
    """Counts the calls of a process by name."""

    def __init__(self):
        self._lock = threading.Lock()
        self._counts: collections.Counter[str] = collections.Counter()

    def note(self, name: str) -> None:
        """Counts a call."""
        with self._lock:
            self._counts[name] += 1

    def all(self) -> dict[str, int]:
        """Returns the calls so far by name."""
        with self._lock:
            return dict(self._counts)


class SummaryLogger(workers.Worker):
    """Logs what an instance believes and what it has asked of the store.

    Args:
        gauges: Values by name, each read when a line is written.
        store_calls: Calls to the platform's store.
    """

    def __init__(
        self,
        gauges: dict[str, collections.abc.Callable[[], float]],
        store_calls: CallCounts,
    ):
        super().__init__("summary")
        self._gauges = gauges
        self._store_calls = store_calls

    def step(self) -> None:
        """Waits and logs one line."""
        if self.stopped.wait(_INTERVAL_S):
            return
        logging.info("%s", self.describe())

    def describe(self) -> str:
        """Returns the line."""
        words = ["summary"]
        for name, read in self._gauges.items():
            words.append(f"{name}={read():g}")
        calls = self._store_calls.all()
        words.append(f"store_calls={sum(calls.values())}")
        for name, count in sorted(calls.items()):
            words.append(f"{name}={count}")
        return " ".join(words)
