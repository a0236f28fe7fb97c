"""Logs the state of an instance at regular intervals."""

import collections
import collections.abc
import threading

from absl import logging

from briarfall.gateway import workers

_INTERVAL_S = 10.0


class CallCounts:
    """Thread-safe counters of calls, by name."""

    def __init__(self):
        self._lock = threading.Lock()
        self._counts: collections.Counter[str] = collections.Counter()

    def record(self, name: str) -> None:
        """Counts a call."""
        with self._lock:
            self._counts[name] += 1

    def snapshot(self) -> dict[str, int]:
        """Returns a copy of the counts, by name."""
        with self._lock:
            return dict(self._counts)


class SummaryLogger(workers.Worker):
    """Logs the local state of an instance and its calls to the store.

    Args:
        gauges: Functions by name; each returns a value of the logged line.
        store_calls: Counts of the calls to the platform's store.
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
        """Waits for the interval and logs one line."""
        if self.stopped.wait(_INTERVAL_S):
            return
        logging.info("%s", self.describe())

    def describe(self) -> str:
        """Returns the line that is logged."""
        fields = ["summary"]
        for name, read in self._gauges.items():
            fields.append(f"{name}={read():g}")
        calls = self._store_calls.snapshot()
        fields.append(f"store_calls={sum(calls.values())}")
        for name, count in sorted(calls.items()):
            fields.append(f"{name}={count}")
        return " ".join(fields)
