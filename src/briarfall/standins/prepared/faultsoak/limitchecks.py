"""Checks of the requests that targets with a rate limit get."""

from briarfall.standins.prepared import registeredtarget

WINDOW_S = 4.0
# In a window a target may get this many times what its limit allows, and more.
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
# Time after a target first named a limit from which the limit is kept.
STABLE_S = 3.0


def check(target: registeredtarget.RegisteredTarget) -> list[str]:
    """Returns a line for the fullest window beyond a limit of a target."""
    broken = []
    times_s = sorted(row.time_s for row in target.arrivals)
    for period in target.limit_periods:
        if period.first_told_s is None:
            continue
        start_s = period.first_told_s + STABLE_S
        end_s = period.end_s or float("inf")
        inside = [row for row in times_s if start_s <= row <= end_s]
        allowed = ALLOWED_FACTOR * period.per_s * WINDOW_S + ALLOWED_EXTRA
        fullest = registeredtarget.most_within(inside, WINDOW_S)
        if fullest > allowed:
            broken.append(
                f"{target.id}: {fullest} requests in {WINDOW_S:g} s, its limit "
                f"of {period.per_s:g} a second allows {allowed:g}"
            )
    return broken
