"""Decides which targets this instance itself can reach.

An instance can lose its own links to targets that other instances still reach.
Only its own attempts to connect count here, never what peers report.
"""

import collections.abc
import errno
import random

from briarfall.gateway.catalogue import views
from briarfall.gateway.targets import targetstate

# A target that has answered within this time is reached; if it resets new
# connections, it is at its connection limit.
_ANSWERED_WITHIN_S = 1.0
# Pauses between probes of a target that can't be reached.
_FIRST_PROBE_PAUSE_S = 0.25
_MAX_PROBE_PAUSE_S = 1.0
# Probes that are started together: of targets that can't be reached, and all.
_MAX_REPEATED = 4
_MAX_PROBES = 8
# Limits of this process or machine, which say nothing about a link.
_LOCAL_ERRORS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EADDRNOTAVAIL)
)

Rows = collections.abc.Sequence[targetstate.Target]


def fault_of(exc: BaseException | None) -> targetstate.LinkFault | None:
    """Returns what a failed attempt to connect says about the link.

    Args:
        exc: Error of the attempt.

    Returns:
        None if it says nothing, as for a malformed address.
    """
    if isinstance(exc, ConnectionRefusedError):
        return targetstate.LinkFault.REFUSED
    if isinstance(exc, ConnectionError):
        return targetstate.LinkFault.RESET
    if isinstance(exc, OSError) and exc.errno not in _LOCAL_ERRORS:
        return targetstate.LinkFault.TIMEOUT
    return None


def is_at_connection_limit(
    target: targetstate.Target,
    fault: targetstate.LinkFault,
    now_s: float,
) -> bool:
    """Whether a target resets new connections because it has too many."""
    if fault is not targetstate.LinkFault.RESET:
        return False
    return has_answered_lately(target, now_s)


def has_answered_lately(target: targetstate.Target, now_s: float) -> bool:
    """Whether a target has answered this instance within a second."""
    return now_s - target.answered_s < _ANSWERED_WITHIN_S


def is_cut_off(rows: Rows) -> bool:
    """Whether this instance reaches none of some targets."""
    if not rows:
        return False
    return all(row.link_fault is not None for row in rows)


def is_half_unreached(rows: Rows) -> bool:
    """Whether this instance does not reach half of some targets."""
    faulty = sum(row.link_fault is not None for row in rows)
    return bool(rows) and faulty * 2 >= len(rows)


def is_own_fault(target: targetstate.Target, rows: Rows) -> bool:
    """Whether a failure may be due to this instance's links.

    That holds if most targets of the service can't be reached from here, and
    also until another target has been reached after the failed attempt.

    Args:
        target: The target that failed.
        rows: All targets of its service.
    """
    faulty = sum(row.link_fault is not None for row in rows)
    if faulty * 2 > len(rows):
        return True
    if target.link_fault is None:
        return False
    for row in rows:
        if row is not target and row.reached_s >= target.link_fault_since_s:
            return False
    return True


def next_probe_s(target: targetstate.Target, now_s: float) -> float:
    """Returns when to probe a target again that was just probed in vain."""
    age_s = now_s - target.link_fault_since_s
    return now_s + min(_MAX_PROBE_PAUSE_S, max(_FIRST_PROBE_PAUSE_S, age_s))


def probes_due(
    by_service: dict[views.ServiceName, Rows],
    now_s: float,
    rng: random.Random,
) -> list[targetstate.Target]:
    """Returns the targets to probe now; none while all links are sound.

    Targets that can't be reached are probed to find the end of the fault. Other
    targets of their service are probed until as many of them have been reached,
    which tells a fault of this instance's links from failed targets.

    Args:
        by_service: Targets that take requests, by service.
        now_s: Time on the boot clock.
        rng: Chooses among the targets.
    """
    repeated = []
    searched = []
    cut_since_s = None
    for rows in by_service.values():
        faulty = [row for row in rows if row.link_fault is not None]
        if not faulty:
            continue
        if len(faulty) == len(rows):
            since_s = min(row.link_fault_since_s for row in faulty)
            cut_since_s = min(cut_since_s or since_s, since_s)
        searched += _search(rows, faulty)
        repeated += [row for row in faulty if row.next_probe_s <= now_s]
    if cut_since_s is not None:
        searched += _one_of_each(by_service, cut_since_s, rng)
    rng.shuffle(repeated)
    rng.shuffle(searched)
    return [*repeated[:_MAX_REPEATED], *searched][:_MAX_PROBES]


def _search(
    rows: Rows, faulty: list[targetstate.Target]
) -> list[targetstate.Target]:
    """Returns targets that may be unreachable too, unless enough are not."""
    newest_s = max(row.link_fault_since_s for row in faulty)
    reached = 0
    unknown = []
    for row in rows:
        if row.link_fault is not None:
            continue
        if row.reached_s >= newest_s:
            reached += 1
            continue
        unknown.append(row)
    return unknown if reached < len(faulty) else []


def _one_of_each(
    by_service: dict[views.ServiceName, Rows],
    since_s: float,
    rng: random.Random,
) -> list[targetstate.Target]:
    """Returns a target of each service of which nothing is known since then."""
    found = []
    for rows in by_service.values():
        if not rows or any(row.link_fault is not None for row in rows):
            continue
        if max(row.reached_s for row in rows) < since_s:
            found.append(rng.choice(rows))
    return found
