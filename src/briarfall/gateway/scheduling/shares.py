"""Divides a capacity over classes of requests by their demand.

All amounts are work per second in one unit: megabits over a link, tokens in a
KV cache. A part of the capacity, the floor, goes to all classes in proportion
to their demand, so that none starves. The rest goes to the most urgent class
first, and within one urgency to smaller requests first, whose callers gain
most from the same work.
"""

import collections.abc

from briarfall.gateway.scheduling import classes

# Share of the capacity that goes to all classes in proportion to their demand.
# Any class is thus served, by work, at least this many times as often as all
# together. Callers of a class that is served less than a third as often count
# as starved; the rest is for shares that are decided by old statuses.
FLOOR = 0.4
# Within one urgency, no class is served less than this many times as often as
# the one that is served most often.
SIZE_FLOOR = 0.6

Demands = collections.abc.Mapping[classes.DemandClass, float]


def divide(
    capacity: float, demands: Demands
) -> dict[classes.DemandClass, float]:
    """Returns the work of each class that is let in.

    Nothing is withheld while there is room, and the sum is never above the
    capacity.

    Args:
        capacity: Work that there is room for.
        demands: Work that each class asks for.
    """
    found = {}
    for cls, ratio in ratios(capacity, demands).items():
        found[cls] = demands[cls] * ratio
    return found


def ratios(
    capacity: float, demands: Demands
) -> dict[classes.DemandClass, float]:
    """Returns the share of each class's demand that is let in, from 0 to 1."""
    total = sum(demands.values())
    if total <= capacity:
        return dict.fromkeys(demands, 1.0)
    if capacity <= 0:
        return dict.fromkeys(demands, 0.0)
    if classes.UNNAMED in demands:
        return _ratios_beside(capacity, demands, total)
    floor = FLOOR * capacity / total
    found = dict.fromkeys(demands, floor)
    left = capacity * (1.0 - FLOOR)
    by_urgency: dict[int, list[classes.DemandClass]] = {}
    for cls in sorted(demands):
        if demands[cls] > 0:
            by_urgency.setdefault(cls.urgency, []).append(cls)
    for rows in by_urgency.values():
        lacking = sum(demands[cls] for cls in rows) * (1.0 - floor)
        if lacking <= left:
            left -= lacking
            found.update(dict.fromkeys(rows, 1.0))
            continue
        _divide_urgency(rows, demands, floor, left, found)
        break
    return found


def _ratios_beside(
    capacity: float, demands: Demands, total: float
) -> dict[classes.DemandClass, float]:
    """Returns ratios beside instances that admit an equal share of all."""
    unnamed = demands[classes.UNNAMED]
    named = dict(demands)
    del named[classes.UNNAMED]
    found = ratios(capacity * (1.0 - unnamed / total), named)
    found[classes.UNNAMED] = capacity / total
    return found


def _divide_urgency(
    rows: list[classes.DemandClass],
    demands: Demands,
    floor: float,
    left: float,
    found: dict[classes.DemandClass, float],
) -> None:
    """Sets the ratios of one urgency, of which not all can be let in.

    Args:
        rows: Its classes, the smallest requests first.
        demands: Work that each class asks for.
        floor: Ratio of each class so far.
        left: Work that may be let in beyond it; less than they ask for.
        found: Ratios, which are set here.
    """
    first, others = rows[0], rows[1:]
    others_demand = sum(demands[cls] for cls in others)
    # Up to this ratio of the smallest ones, the others keep the floor.
    kept_until = min(1.0, floor / SIZE_FLOOR)
    alone = demands[first] * (kept_until - floor)
    if left <= alone:
        found[first] = floor + left / demands[first]
        return
    whole = left + floor * (demands[first] + others_demand)
    ratio = whole / (demands[first] + SIZE_FLOOR * others_demand)
    if ratio <= 1.0:
        found[first] = ratio
        for cls in others:
            found[cls] = max(floor, ratio * SIZE_FLOOR)
        return
    found[first] = 1.0
    base = max(floor, SIZE_FLOOR)
    left = whole - demands[first] - base * others_demand
    for cls in others:
        more = max(0.0, min(left, demands[cls] * (1.0 - base)))
        found[cls] = base + more / demands[cls]
        left -= more
