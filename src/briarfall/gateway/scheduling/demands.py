"""What each class of requests asks for, at this instance and at all."""

import collections
import collections.abc
import threading

import msgspec

from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway.scheduling import classes

# Rows of a status at most: 7 of at most 8 bytes, which with the length of the
# list are at most 64 bytes.
MAX_ROWS = 7
# Larger amounts need more bytes; an instance asks for less.
_MAX_AMOUNT = 65_535
# The last report of an instance counts for this time, or for this many of its
# report intervals, whichever is longer.
_REPORT_TTL_S = 2.5
_REPORT_INTERVALS = 2.5
# If fewer than this share of the instances still report, this one may be cut
# off. It then keeps to their last reports, for this long, so that it lets in
# no more than its share.
_REACHED_SHARE = 0.5
_CUT_OFF_TTL_S = 30.0
# While some instances have not reported yet, they count as the mean of those
# that have, up to this multiple of what was reported.
_MAX_UNHEARD_FACTOR = 2.0
_UNHEARD_INTERVAL_S = 0.25

Amounts = dict[classes.DemandClass, float]


class DemandRow(msgspec.Struct, array_like=True, frozen=True):
    """What one class asks for at one instance.

    Attributes:
        key: The class as a number.
        link_mbps: Demand for the inter-zone link, in Mbit/s.
        kv_tokens: Demand for KV caches, in tokens per second.
    """

    key: int
    link_mbps: int = 0
    kv_tokens: int = 0


class DemandWindow:
    """Demand of this instance's requests over a sliding window, by class.

    Args:
        window_s: Length of the window in seconds.
        clock: Returns the time in seconds; the boot clock by default.
    """

    def __init__(
        self,
        window_s: float,
        clock: collections.abc.Callable[[], float] | None = None,
    ):
        self._window_s = window_s
        self._clock = clock or (lambda: clocks.boot_s())
        self._lock = threading.Lock()
        # Time, class and amount per second of each request in the window.
        self._rows: collections.deque[
            tuple[float, classes.DemandClass, float]
        ] = collections.deque()
        self._sums: Amounts = {}
        self._counts: collections.Counter[classes.DemandClass] = (
            collections.Counter()
        )

    def add(self, cls: classes.DemandClass, amount: float) -> None:
        """Adds what a request asks for."""
        amount /= self._window_s
        if amount <= 0:
            return
        with self._lock:
            self._rows.append((self._clock(), cls, amount))
            self._sums[cls] = self._sums.get(cls, 0.0) + amount
            self._counts[cls] += 1

    def rates(self) -> Amounts:
        """Returns the demand per second of each class that has one."""
        with self._lock:
            self._expire()
            return dict(self._sums)

    def total(self) -> float:
        """Returns the demand per second of all classes."""
        return sum(self.rates().values())

    def _expire(self) -> None:
        oldest_s = self._clock() - self._window_s
        while self._rows and self._rows[0][0] < oldest_s:
            _, cls, amount = self._rows.popleft()
            self._counts[cls] -= 1
            if not self._counts[cls]:
                del self._counts[cls]
                del self._sums[cls]
                continue
            # Differences of rounded sums may end below zero.
            self._sums[cls] = max(0.0, self._sums[cls] - amount)


class _Report(msgspec.Struct):
    until_s: float
    link_mbps: Amounts
    kv_tokens: Amounts


class DemandTable:
    """Demand at all other instances, by the last report of each.

    Sums are updated with each report, so that a decision costs the same at any
    number of instances.

    Args:
        clock: Returns the time in seconds; the boot clock by default.
        count_unheard: Returns how many instances were found lately and have
            not reported yet.
    """

    def __init__(
        self,
        clock: collections.abc.Callable[[], float] | None = None,
        count_unheard: collections.abc.Callable[[], int] = int,
    ):
        self._clock = clock or (lambda: clocks.boot_s())
        self._count_unheard = count_unheard
        self._unheard_count = 0
        self._unheard_until_s = 0.0
        self._lock = threading.Lock()
        self._reports: dict[ids.InstanceId, _Report] = {}
        self._link_mbps: Amounts = {}
        self._kv_tokens: Amounts = {}
        self._next_expiry_s = 0.0

    def merge(
        self,
        instance: ids.InstanceId,
        rows: collections.abc.Iterable[DemandRow],
        link_mbps: float,
        interval_s: float = 0.0,
    ) -> None:
        """Replaces the report of an instance.

        Args:
            instance: The instance.
            rows: Its demand by class; none from an earlier release.
            link_mbps: Its whole demand for the inter-zone link. What the rows
                don't name is let in without regard to classes.
            interval_s: Time until its next report is due.
        """
        report = _Report(
            self._clock() + max(_REPORT_TTL_S, interval_s * _REPORT_INTERVALS),
            {},
            {},
        )
        for row in rows:
            cls = classes.from_key(row.key)
            if cls is None:
                continue
            _add(report.link_mbps, cls, _bounded(row.link_mbps))
            _add(report.kv_tokens, cls, _bounded(row.kv_tokens))
        unnamed = link_mbps - sum(report.link_mbps.values())
        # Each row is rounded by at most half a unit.
        if unnamed > len(report.link_mbps) / 2:
            _add(report.link_mbps, classes.UNNAMED, unnamed)
        with self._lock:
            self._drop(instance)
            self._reports[instance] = report
            for cls, amount in report.link_mbps.items():
                _add(self._link_mbps, cls, amount)
            for cls, amount in report.kv_tokens.items():
                _add(self._kv_tokens, cls, amount)
            self._next_expiry_s = min(self._next_expiry_s, report.until_s)

    def remove(self, instance: ids.InstanceId) -> None:
        """Drops the report of an instance that stops."""
        with self._lock:
            self._drop(instance)

    def link_mbps(self) -> Amounts:
        """Returns the demand for the inter-zone link by class, in Mbit/s."""
        with self._lock:
            self._expire()
            return self._scaled(self._link_mbps)

    def kv_tokens(self) -> Amounts:
        """Returns the demand for KV caches by class, in tokens per second."""
        with self._lock:
            self._expire()
            return self._scaled(self._kv_tokens)

    def _expire(self) -> None:
        now_s = self._clock()
        if now_s < self._next_expiry_s:
            return
        self._next_expiry_s = now_s + _REPORT_TTL_S
        old = []
        for instance, report in self._reports.items():
            if report.until_s <= now_s:
                old.append((instance, report))
            else:
                self._next_expiry_s = min(self._next_expiry_s, report.until_s)
        fresh_count = len(self._reports) - len(old)
        is_cut_off = fresh_count < len(self._reports) * _REACHED_SHARE
        for instance, report in old:
            if not is_cut_off or report.until_s + _CUT_OFF_TTL_S <= now_s:
                self._drop(instance)

    def _scaled(self, amounts: Amounts) -> Amounts:
        """Returns amounts with the part of those that have not reported."""
        now_s = self._clock()
        if now_s >= self._unheard_until_s:
            self._unheard_until_s = now_s + _UNHEARD_INTERVAL_S
            self._unheard_count = self._count_unheard()
        if not self._unheard_count or not self._reports:
            return dict(amounts)
        factor = 1 + self._unheard_count / len(self._reports)
        factor = min(_MAX_UNHEARD_FACTOR, factor)
        return {cls: amount * factor for cls, amount in amounts.items()}

    def _drop(self, instance: ids.InstanceId) -> None:
        report = self._reports.pop(instance, None)
        if report is None:
            return
        if not self._reports:
            # Sums of rounded amounts start anew at zero.
            self._link_mbps.clear()
            self._kv_tokens.clear()
            return
        for cls, amount in report.link_mbps.items():
            _subtract(self._link_mbps, cls, amount)
        for cls, amount in report.kv_tokens.items():
            _subtract(self._kv_tokens, cls, amount)


def sum_of(first: Amounts, second: Amounts) -> Amounts:
    """Returns the amounts of two parties together."""
    found = dict(first)
    for cls, amount in second.items():
        _add(found, cls, amount)
    return found


def to_rows(link_mbps: Amounts, kv_tokens: Amounts) -> list[DemandRow]:
    """Returns the demand of this instance for its status, most first.

    Classes beyond `MAX_ROWS` are added to the largest one of the nearest
    urgency, so that the whole demand stays the same.
    """
    link_total = sum(link_mbps.values()) or 1.0
    kv_total = sum(kv_tokens.values()) or 1.0
    weights = {}
    for cls in {**link_mbps, **kv_tokens}:
        weights[cls] = (
            link_mbps.get(cls, 0.0) / link_total
            + kv_tokens.get(cls, 0.0) / kv_total
        )
    ranked = sorted(weights, key=lambda cls: (-weights[cls], cls))
    kept = ranked[:MAX_ROWS]
    link = {cls: link_mbps.get(cls, 0.0) for cls in kept}
    kv = {cls: kv_tokens.get(cls, 0.0) for cls in kept}
    for cls in ranked[MAX_ROWS:]:
        near = min(kept, key=lambda row: abs(row.urgency - cls.urgency))
        link[near] += link_mbps.get(cls, 0.0)
        kv[near] += kv_tokens.get(cls, 0.0)
    rows = []
    for cls in kept:
        row = DemandRow(
            classes.key_of(cls),
            min(_MAX_AMOUNT, round(link[cls])),
            min(_MAX_AMOUNT, round(kv[cls])),
        )
        if row.link_mbps or row.kv_tokens:
            rows.append(row)
    return rows


def _bounded(amount: int) -> float:
    return float(max(0, min(_MAX_AMOUNT, amount)))


def _add(amounts: Amounts, cls: classes.DemandClass, amount: float) -> None:
    if amount:
        amounts[cls] = amounts.get(cls, 0.0) + amount


def _subtract(
    amounts: Amounts, cls: classes.DemandClass, amount: float
) -> None:
    left = amounts.get(cls, 0.0) - amount
    if left > amount * 1e-9:
        amounts[cls] = left
    else:
        amounts.pop(cls, None)
