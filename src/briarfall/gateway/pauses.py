"""When callers that were refused should come back."""

import random

import msgspec

_MIN_SPREAD_S = 0.3
_MAX_SPREAD_S = 5.0


class Pause(msgspec.Struct, frozen=True):
    """A time in which requests can't be served.

    Attributes:
        left_s: Seconds until its end.
        length_s: Seconds from its begin to its end.
    """

    left_s: float
    length_s: float


def retry_after_s(pause: Pause, rng: random.Random) -> float:
    """Returns when a caller that was refused in a pause should come back.

    All that come in the pause come back spread over as long a time after it.

    Args:
        pause: The pause.
        rng: Source of the differences between callers.
    """
    spread_s = max(_MIN_SPREAD_S, min(_MAX_SPREAD_S, pause.length_s))
    return pause.left_s + spread_s * rng.random()
