"""Engines that may be the head of a stream's next chain."""

from briarfall import ids
from briarfall.gateway.forwarding import streamstate
from briarfall.gateway.targets import targetstate


def heads_of(
    stream: streamstate.Stream,
    rows: list[targetstate.Target],
    head: ids.TargetId | None = None,
) -> frozenset[ids.TargetId] | None:
    """Returns the engines that may be the head, or None for any.

    Engines that get no requests now and those that this instance can't reach
    may not.

    Args:
        stream: The stream.
        rows: Engines that take requests.
        head: Head of its current chain if that is to be counted as a run.
    """
    unreached = set()
    for row in rows:
        if row.link_fault is None:
            continue
        is_refused = row.link_fault is targetstate.LinkFault.REFUSED
        if not (is_refused and stream.call.has_no_peer):
            unreached.add(row.id)
    allowed = stream.heads_after(head)
    if not unreached and not _held_ids(rows):
        return allowed
    return without_held(allowed, rows) - unreached


def without_held(
    allowed: frozenset[ids.TargetId] | None, rows: list[targetstate.Target]
) -> frozenset[ids.TargetId]:
    """Returns the allowed engines, or all, that may get requests now."""
    if allowed is None:
        allowed = frozenset(row.id for row in rows)
    return allowed - _held_ids(rows)


def _held_ids(rows: list[targetstate.Target]) -> frozenset[ids.TargetId]:
    return frozenset(row.id for row in rows if row.is_held)


def has_permit_by(row: targetstate.Target, until_s: float) -> bool:
    """Whether a limited target may have a permit free before a time."""
    if not row.is_held or row.is_in_backoff:
        return False
    return row.limited_until_s < until_s
