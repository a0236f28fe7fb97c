"""Backoff that targets ask for (Retry-After), per target and instance."""

import collections.abc

from absl import logging

from briarfall.gateway import clocks
from briarfall.gateway import retryafter
from briarfall.gateway.targets import incarnations
from briarfall.gateway.targets import relaybackoffs
from briarfall.gateway.targets import targets
from briarfall.gateway.targets import targetstate


def start_backoff(target: targetstate.Target, seconds: float) -> None:
    """Starts or extends a target's backoff.

    Args:
        target: The target. This instance sends it no requests until the end
            of the backoff.
        seconds: Length of the backoff that the target asked for.
    """
    now_s = clocks.boot_s()
    if target.backoff_until_s <= now_s:
        target.backoff_since_s = now_s
        logging.info(
            "target wants no requests target=%s for_s=%.2f", target.id, seconds
        )
    until_s = now_s + seconds
    target.backoff_until_s = max(target.backoff_until_s, until_s)
    current = relaybackoffs.current()
    if current is not None:
        current.asked_until_s[target.incarnation] = until_s


def ends_of(
    rows: collections.abc.Iterable[targetstate.Target],
) -> dict[incarnations.Incarnation, float]:
    """Returns the ends of the targets' backoffs that have not yet ended."""
    until_s = {}
    for target in rows:
        if target.is_in_backoff:
            until_s[target.incarnation] = target.backoff_until_s
    return until_s


def adopt(table: targets.TargetTable, until_s: relaybackoffs.EndTimes) -> None:
    """Starts backoffs that targets asked for in response to a relayed request.

    The request is one of this instance's, so that they hold for it as well.
    Those of incarnations that have ended are ignored.
    """
    now_s = clocks.boot_s()
    for key, end_s in until_s.items():
        target = table.in_incarnation(key.target, key.started_ms)
        if target is not None:
            start_backoff(target, end_s - now_s)


def clear_backoff(target: targetstate.Target) -> None:
    """Clears a target's ended backoff when the next request is sent to it."""
    if not target.backoff_until_s:
        return
    logging.info(
        "target takes requests again target=%s after_s=%.2f",
        target.id,
        clocks.boot_s() - target.backoff_until_s,
    )
    target.backoff_until_s = 0.0


def first_held(
    rows: collections.abc.Iterable[targetstate.Target],
) -> retryafter.UnavailablePeriod | None:
    """Returns the period without requests that ends first, or None.

    A target gets no requests during its backoff and while no permit is free.
    Targets that drain are ignored.
    """
    first = None
    for target in rows:
        if not target.accepts_requests or not target.is_held:
            continue
        if first is None or target.held_until_s < first.held_until_s:
            first = target
    if first is None:
        return None
    return retryafter.UnavailablePeriod(
        first.held_until_s - clocks.boot_s(),
        first.held_until_s - first.held_since_s,
    )
