"""Targets that want no requests from this instance for a while."""

import collections.abc

from absl import logging

from briarfall.gateway import clocks
from briarfall.gateway import pauses
from briarfall.gateway import targetstate


def note(target: targetstate.Target, seconds: float) -> None:
    """Sends nothing to a target for a time that it asked for."""
    now_s = clocks.boot_s()
    if not target.is_quiet:
        target.quiet_since_s = now_s
        logging.info(
            "target wants no requests target=%s for_s=%.2f", target.id, seconds
        )
    target.quiet_until_s = max(target.quiet_until_s, now_s + seconds)


def note_send(target: targetstate.Target) -> None:
    """Notes that a request goes to a target, which may have been quiet."""
    if not target.quiet_until_s:
        return
    logging.info(
        "target takes requests again target=%s after_s=%.2f",
        target.id,
        clocks.boot_s() - target.quiet_until_s,
    )
    target.quiet_until_s = 0.0


def first_pause(
    rows: collections.abc.Iterable[targetstate.Target],
) -> pauses.Pause | None:
    """Returns the pause of some targets that ends first, if there is any."""
    first = None
    for target in rows:
        if not target.takes_work or not target.is_quiet:
            continue
        if first is None or target.quiet_until_s < first.quiet_until_s:
            first = target
    if first is None:
        return None
    return pauses.Pause(
        first.quiet_until_s - clocks.boot_s(),
        first.quiet_until_s - first.quiet_since_s,
    )
