"""Ejects targets whose responses are no responses (outlier ejection).

Such a target is free soonest, so that it would be chosen first. It gets single
requests now and then, until one is answered.
"""

import collections.abc

from briarfall.gateway import clocks
from briarfall.gateway.targets import targetstate

# Invalid responses in a row from which a target is ejected.
_EJECT_AFTER = 3
_FIRST_EJECTION_S = 0.5
# A target that has recovered is tried within this time.
_MAX_EJECTION_S = 2.0
# Share of the targets of a service that may be ejected.
_MAX_SHARE = 0.5


def record_invalid(
    target: targetstate.Target,
    rows: collections.abc.Sequence[targetstate.Target],
) -> float:
    """Counts an invalid response of a target.

    Args:
        target: The target.
        rows: All targets of its service.

    Returns:
        The seconds for which it is to be ejected, or 0.
    """
    target.invalid_responses += 1
    surplus = target.invalid_responses - _EJECT_AFTER
    if surplus < 0:
        return 0.0
    ejected = [row for row in rows if row is not target and _is_ejected(row)]
    if len(ejected) + 1 > len(rows) * _MAX_SHARE:
        return 0.0
    return min(_MAX_EJECTION_S, _FIRST_EJECTION_S * 2 ** min(surplus, 8))


def trial_block_s(target: targetstate.Target) -> float:
    """Returns the time for which a request is to be a target's only one.

    0 unless the target was ejected and has not answered since.
    """
    if target.invalid_responses < _EJECT_AFTER:
        return 0.0
    return _FIRST_EJECTION_S


def _is_ejected(target: targetstate.Target) -> bool:
    return (
        target.invalid_responses >= _EJECT_AFTER
        and target.blocked_until_s > clocks.boot_s()
    )
