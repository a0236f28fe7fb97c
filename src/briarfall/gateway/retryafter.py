"""Computes when refused callers should retry (Retry-After)."""

import random

import msgspec

_MIN_SPREAD_S = 0.3
_MAX_SPREAD_S = 5.0


class UnavailablePeriod(msgspec.Struct, frozen=True):
    """A period in which requests can't be served.

    Attributes:
        remaining_s: Seconds until its end.
        duration_s: Seconds from its start to its end.
    """

    remaining_s: float
    duration_s: float


def retry_after_s(period: UnavailablePeriod, rng: random.Random) -> float:
    """Returns after how many seconds a refused caller should retry.

    The retries of all callers that are refused in the period are spread over
    an equally long time after it, within bounds.

    Args:
        period: The period.
        rng: Spreads the retries of callers.
    """
    return period.remaining_s + spread_s(period) * rng.random()


def spread_s(period: UnavailablePeriod) -> float:
    """Returns the seconds after a period over which retries are spread."""
    return max(_MIN_SPREAD_S, min(_MAX_SPREAD_S, period.duration_s))
