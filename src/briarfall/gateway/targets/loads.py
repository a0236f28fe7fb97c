"""Requests in flight on targets, from this and all other instances."""

import collections.abc
import threading

import msgspec

from briarfall import ids
from briarfall.gateway import clocks

# The last report of an unresponsive instance is dropped after this time, or
# after this many of its report intervals, whichever is longer. By then its load
# has changed too much for the report to be of use.
_REPORT_TTL_S = 2.0
_REPORT_INTERVALS = 2.0


class Load(msgspec.Struct):
    """Load of one target.

    Attributes:
        streams: Requests in flight.
        tokens: Tokens reserved in its KV cache.
        heads: Requests in flight that it received as the head of their chain.
    """

    streams: int = 0
    tokens: int = 0
    heads: int = 0

    def add(self, part: "Load") -> None:
        """Adds another load of the same target."""
        self.streams += part.streams
        self.tokens += part.tokens
        self.heads += part.heads

    def subtract(self, part: "Load") -> None:
        """Subtracts a load that was added before."""
        self.streams -= part.streams
        self.tokens -= part.tokens
        self.heads -= part.heads


class _Report(msgspec.Struct):
    heard_s: float
    until_s: float
    loads: dict[ids.TargetId, Load]


class LoadTable:
    """This instance's reservations and the last report of each peer."""

    def __init__(self):
        self._lock = threading.Lock()
        self._own: dict[ids.TargetId, Load] = {}
        self._reports: dict[ids.InstanceId, _Report] = {}
        # Sum of all reports, updated with each report instead of summed up
        # for each look-up.
        self._others: dict[ids.TargetId, Load] = {}

    def reserve(
        self, targets: collections.abc.Iterable[ids.TargetId], tokens: int
    ) -> None:
        """Adds a request to the targets of its chain, the head first."""
        with self._lock:
            for index, target in enumerate(targets):
                load = self._own.setdefault(target, Load())
                load.add(Load(1, tokens, heads=int(index == 0)))

    def release(
        self, targets: collections.abc.Iterable[ids.TargetId], tokens: int
    ) -> None:
        """Subtracts a request from the load of each target of its chain.

        The targets are those that it was added to, the head first.
        """
        with self._lock:
            for index, target in enumerate(targets):
                load = self._own.get(target)
                if load is None:
                    continue
                load.subtract(Load(1, tokens, heads=int(index == 0)))
                if load.streams <= 0:
                    del self._own[target]

    def own(self) -> dict[ids.TargetId, Load]:
        """Returns a copy of this instance's reservations."""
        with self._lock:
            return {
                target: Load(load.streams, load.tokens, load.heads)
                for target, load in self._own.items()
            }

    def merge(
        self,
        instance: ids.InstanceId,
        loads: dict[ids.TargetId, Load],
        interval_s: float = 0.0,
    ) -> dict[ids.TargetId, int]:
        """Replaces the report of another instance.

        Args:
            instance: The instance.
            loads: Load of its requests, by target.
            interval_s: Time until its next report is due.

        Returns:
            Requests that are in flight since the report before, by target, at
            least.
        """
        ttl_s = max(_REPORT_TTL_S, interval_s * _REPORT_INTERVALS)
        with self._lock:
            known = self._reports.get(instance)
            before = known.loads if known is not None else {}
            self._subtract(before)
            now_s = clocks.boot_s()
            self._reports[instance] = _Report(now_s, now_s + ttl_s, loads)
            self._add(loads)
        started = {}
        for target, load in loads.items():
            known_streams = before[target].streams if target in before else 0
            started[target] = load.streams - known_streams
        return started

    def expire(self) -> None:
        """Drops reports of instances that have become unresponsive."""
        now_s = clocks.boot_s()
        with self._lock:
            for instance, report in list(self._reports.items()):
                if report.until_s < now_s:
                    del self._reports[instance]
                    self._subtract(report.loads)

    def oldest_report_age_s(self) -> float:
        """Returns the age of the oldest report that counts; 0 without one."""
        with self._lock:
            if not self._reports:
                return 0.0
            oldest_s = min(row.heard_s for row in self._reports.values())
        return clocks.boot_s() - oldest_s

    def _add(self, loads: dict[ids.TargetId, Load]) -> None:
        for target, load in loads.items():
            total = self._others.get(target)
            if total is None:
                total = self._others[target] = Load()
            total.add(load)

    def _subtract(self, loads: dict[ids.TargetId, Load]) -> None:
        for target, load in loads.items():
            total = self._others.get(target)
            if total is None:
                # The report's row was zero, and zero totals are not kept.
                continue
            total.subtract(load)
            if not total.streams and not total.tokens:
                del self._others[target]

    def of(self, target: ids.TargetId) -> Load:
        """Returns the load on a target summed over all known instances."""
        with self._lock:
            own = self._own.get(target)
            others = self._others.get(target)
        load = Load()
        for part in (own, others):
            if part is None:
                continue
            load.add(part)
        return load
