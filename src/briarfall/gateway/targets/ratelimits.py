"""Rate limits that targets name in their responses.

A target in need names the requests per second that it takes from all instances
together. The limit of its memory, which bounds the layers that it holds, is
another one and is kept by the placement.
"""

import collections.abc
import threading

from absl import logging
import msgspec

from briarfall import decoding
from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway.catalogue import sources
from briarfall.gateway.targets import incarnations
from briarfall.gateway.targets import targets

_LOG_INTERVAL_S = 10
# Oldest report that is applied, in milliseconds.
_MAX_AGE_MS = 86_400_000
# Limits that one status reports to other instances.
_MAX_REPORTED = 100
# Time for which the end of a limit is reported to other instances.
_END_REPORT_S = 30.0
# A report that is newer by less than this may be older than what is known: its
# age does not include the time on the way.
_REPORT_TOLERANCE_S = 0.25
# A report of the known limit has to be newer by this. Otherwise instances would
# renew a limit by reporting it to each other.
_RENEWAL_S = 5.0
# A limit of at least the rate that all instances together are built for limits
# nothing.
MAX_RATE_PER_S = 10_000.0


class RateLimit(msgspec.Struct, frozen=True):
    """What is known about the rate limit of a target.

    Attributes:
        per_s: Requests per second that the target takes from all instances
            together; None once it no longer names a limit.
        heard_s: Time on the boot clock of the response that says so.
        origin: Name of the peer that reported it; empty if the response came
            to this instance.
    """

    per_s: float | None
    heard_s: float
    origin: str = ""


class LimitRow(msgspec.Struct, array_like=True, frozen=True):
    """Rate limit of a target as an instance reports it to another one.

    Attributes:
        target: Id of the target.
        started_ms: Start of its incarnation in Unix milliseconds.
        per_s: Requests per second; None once the target names no limit.
        age_ms: Milliseconds since the response that says so.
    """

    target: ids.TargetId
    started_ms: int
    per_s: float | None
    age_ms: int


def parse_rate(value: bytes) -> float | None:
    """Returns a rate in requests per second; None if the value is none.

    A rate is a finite number of at least 0.
    """
    rate = decoding.parse_number(value)
    if rate is None or rate < 0:
        return None
    return rate


class RateLimitTable:
    """Rate limits of targets, by incarnation.

    Args:
        table: Targets. A report about another one is ignored.
    """

    def __init__(self, table: targets.TargetTable):
        self._targets = table
        self._lock = threading.Lock()
        self._listeners: list[collections.abc.Callable[[], None]] = []
        self._limits: dict[incarnations.Incarnation, RateLimit] = {}

    def get(self, incarnation: incarnations.Incarnation) -> RateLimit | None:
        """Returns the limit of a target, or None if it names none."""
        limit = self._limits.get(incarnation)
        if limit is None or limit.per_s is None:
            return None
        return limit

    def has_ended(self, incarnation: incarnations.Incarnation) -> bool:
        """Whether a target named a limit and names none any more."""
        limit = self._limits.get(incarnation)
        return limit is not None and limit.per_s is None

    def add_listener(self, listener: collections.abc.Callable[[], None]):
        """Calls `listener` when a response starts or ends a limit."""
        self._listeners.append(listener)

    def limited(self) -> list[incarnations.Incarnation]:
        """Returns the targets that name a limit."""
        with self._lock:
            rows = list(self._limits.items())
        return [key for key, limit in rows if limit.per_s is not None]

    def record(
        self,
        incarnation: incarnations.Incarnation,
        value: bytes | None,
        sent_s: float,
    ) -> None:
        """Applies the limit that a response names, or that it names none.

        Responses may overtake each other: one whose request was sent before
        the known limit was last named may be older than that. It neither ends
        nor raises the limit.

        Args:
            incarnation: The target that responded.
            value: Value of the header, or None if the response has none. A
                value that is no rate changes nothing.
            sent_s: Time on the boot clock at which the request was sent.
        """
        if value is None and incarnation not in self._limits:
            return
        rate = None
        if value is not None:
            rate = parse_rate(value)
            if rate is None:
                logging.warning(
                    "rate limit ignored, it is no rate target=%s value=%s",
                    incarnation.target,
                    decoding.excerpt(value.decode("latin-1")),
                )
                return
            if rate >= MAX_RATE_PER_S:
                rate = None
        with self._lock:
            known = self._limits.get(incarnation)
            if known is None and rate is None:
                return
            if known is not None and sent_s <= known.heard_s:
                if not _is_as_strict(rate, known.per_s):
                    return
            new = RateLimit(rate, clocks.boot_s())
            self._limits[incarnation] = new
        _log_change(incarnation, known, new)
        # Other changes go with the next regular status: a target may name
        # another limit in each response.
        was_limited = known is not None and known.per_s is not None
        if was_limited == (rate is not None):
            return
        for listener in self._listeners:
            listener()

    def merge(self, rows: list[LimitRow], origin: ids.InstanceId) -> None:
        """Applies limits that another instance reports, if they are newer.

        Args:
            rows: The limits; a row that is out of range is ignored.
            origin: Name of the other instance.
        """
        now_s = clocks.boot_s()
        for row in rows:
            if not is_valid(row):
                logging.log_every_n_seconds(
                    logging.WARNING,
                    "limit of a peer ignored, it is out of range peer=%s "
                    "target=%s per_s=%s age_ms=%d",
                    _LOG_INTERVAL_S,
                    origin,
                    row.target,
                    row.per_s,
                    row.age_ms,
                )
                continue
            new = RateLimit(row.per_s, now_s - row.age_ms / 1000, origin)
            self._merge_one(
                incarnations.Incarnation(row.target, row.started_ms), new
            )

    def _merge_one(
        self, incarnation: incarnations.Incarnation, new: RateLimit
    ) -> None:
        row = self._targets.in_incarnation(
            incarnation.target, incarnation.started_ms
        )
        if row is None:
            return
        with self._lock:
            known = self._limits.get(incarnation)
            if known is None:
                if new.per_s is None:
                    return
            elif not _is_newer(new, known):
                return
            self._limits[incarnation] = new
        _log_change(incarnation, known, new)

    def row_of(
        self, incarnation: incarnations.Incarnation, limit: RateLimit
    ) -> LimitRow:
        """Returns a limit as it is reported to another instance."""
        age_s = max(0.0, clocks.boot_s() - limit.heard_s)
        return LimitRow(
            incarnation.target,
            incarnation.started_ms,
            limit.per_s,
            int(age_s * 1000),
        )

    def to_report(self) -> list[LimitRow]:
        """Returns limits and ended ones for other instances, newest first."""
        if not self._limits:
            return []
        oldest_s = clocks.boot_s() - _END_REPORT_S
        with self._lock:
            known = list(self._limits.items())
        kept = []
        for incarnation, limit in known:
            if limit.per_s is not None or limit.heard_s > oldest_s:
                kept.append((incarnation, limit))
        kept.sort(key=lambda row: row[1].heard_s, reverse=True)
        return [self.row_of(*row) for row in kept[:_MAX_REPORTED]]

    def remove_ended(self, entry: sources.TargetEntry) -> None:
        """Forgets the limit of an incarnation that has ended."""
        ended = incarnations.Incarnation(entry.id, entry.started_ms)
        with self._lock:
            self._limits.pop(ended, None)


def is_valid(row: LimitRow) -> bool:
    """Whether the values of a reported limit are in range."""
    if not 0 <= row.age_ms <= _MAX_AGE_MS:
        return False
    return row.per_s is None or 0 <= row.per_s < MAX_RATE_PER_S


def _is_newer(new: RateLimit, known: RateLimit) -> bool:
    """Whether a reported limit replaces the known one."""
    least_s = _REPORT_TOLERANCE_S
    if new.per_s == known.per_s:
        least_s = _RENEWAL_S
    return new.heard_s > known.heard_s + least_s


def _is_as_strict(rate: float | None, known: float | None) -> bool:
    """Whether a limit is at least as strict as the known one."""
    if rate is None:
        return known is None
    return known is None or rate <= known


def _log_change(
    incarnation: incarnations.Incarnation,
    old: RateLimit | None,
    new: RateLimit,
) -> None:
    """Logs a limit if it differs from the one before."""
    old_rate = old.per_s if old is not None else None
    if old_rate == new.per_s:
        return
    logging.info(
        "target limit changed target=%s lifetime=%d per_s=%s was=%s from=%s",
        incarnation.target,
        incarnation.started_ms,
        new.per_s,
        old_rate,
        new.origin or "response",
    )
