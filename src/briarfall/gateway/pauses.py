"""When callers that were refused should come back."""

import random

# Callers that wait for the same moment come back within this part of the
# wait after it, and at least within this time.
_SPREAD_SHARE = 0.5
_MIN_SPREAD_S = 0.3


def spread_s(wait_s: float, rng: random.Random) -> float:
    """Returns a time to wait that is at least `wait_s` and differs by caller.

    Args:
        wait_s: Seconds until requests can be served again.
        rng: Source of the differences.
    """
    longest_s = max(_MIN_SPREAD_S, wait_s * _SPREAD_SHARE)
    return wait_s + longest_s * rng.random()
