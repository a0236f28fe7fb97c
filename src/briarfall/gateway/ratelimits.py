"""Rate limits that targets name in their responses.

A target in need names the requests per second that it takes from all instances
together. The limit of its memory, which bounds the layers that it holds, is
another one and is kept by the placement.
"""

import threading

from absl import logging
import msgspec

from briarfall import decoding
from briarfall.gateway import clocks
from briarfall.gateway import incarnations
from briarfall.gateway import sources

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


def parse_rate(value: bytes) -> float | None:
    """Returns a rate in requests per second; None if the value is none.

    A rate is a finite number of at least 0.
    """
    rate = decoding.parse_number(value)
    if rate is None or rate < 0:
        return None
    return rate


class RateLimitTable:
    """Rate limits of targets, by incarnation."""

    def __init__(self):
        self._lock = threading.Lock()
        self._limits: dict[incarnations.Incarnation, RateLimit] = {}

    def get(self, incarnation: incarnations.Incarnation) -> RateLimit | None:
        """Returns the limit of a target, or None if it names none."""
        limit = self._limits.get(incarnation)
        if limit is None or limit.per_s is None:
            return None
        return limit

    def count(self) -> int:
        """Returns the number of targets that name a limit."""
        with self._lock:
            rows = list(self._limits.values())
        return sum(1 for row in rows if row.per_s is not None)

    def record(
        self,
        incarnation: incarnations.Incarnation,
        value: bytes | None,
        sent_s: float,
    ) -> bool:
        """Applies the limit that a response names, or that it names none.

        Responses may overtake each other: one whose request was sent before
        the last response arrived may be older than that one. It neither ends
        nor raises a limit.

        Args:
            incarnation: The target that responded.
            value: Value of the header, or None if the response has none. A
                value that is no rate changes nothing.
            sent_s: Time on the boot clock at which the request was sent.

        Returns:
            Whether the limit has changed.
        """
        known = self._limits.get(incarnation)
        if value is None and known is None:
            return False
        rate = None
        if value is not None:
            rate = parse_rate(value)
            if rate is None:
                logging.warning(
                    "rate limit ignored, it is no rate target=%s value=%s",
                    incarnation.target,
                    decoding.excerpt(value.decode("latin-1")),
                )
                return False
            if rate >= MAX_RATE_PER_S:
                rate = None
        with self._lock:
            known = self._limits.get(incarnation)
            if known is not None and sent_s <= known.heard_s:
                rate = _stricter(known.per_s, rate)
            if known is None and rate is None:
                return False
            new = RateLimit(rate, clocks.boot_s())
            self._limits[incarnation] = new
        return _log_change(incarnation, known, new)

    def remove_ended(self, entry: sources.TargetEntry) -> None:
        """Forgets the limit of an incarnation that has ended."""
        ended = incarnations.Incarnation(entry.id, entry.started_ms)
        with self._lock:
            self._limits.pop(ended, None)


def _stricter(first: float | None, second: float | None) -> float | None:
    if first is None:
        return second
    if second is None:
        return first
    return min(first, second)


def _log_change(
    incarnation: incarnations.Incarnation,
    old: RateLimit | None,
    new: RateLimit,
) -> bool:
    """Logs a changed limit; returns whether it is one."""
    old_rate = old.per_s if old is not None else None
    if old_rate == new.per_s:
        return False
    logging.info(
        "target limit changed target=%s lifetime=%d per_s=%s was=%s from=%s",
        incarnation.target,
        incarnation.started_ms,
        new.per_s,
        old_rate,
        new.origin or "response",
    )
    return True
