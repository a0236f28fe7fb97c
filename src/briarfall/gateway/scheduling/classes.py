"""Classes of requests: by urgency, then by the work that they need."""

import enum
import typing

# Urgency of a route that states none.
DEFAULT_URGENCY = 5
# Urgencies beyond these count as the nearest one, which bounds the classes.
_MAX_URGENCY = 31
# A request is small or large from these multiples of the model's mean request.
_SMALL_BELOW = 0.5
_LARGE_ABOVE = 2.0


class Band(enum.IntEnum):
    """Work of a request beside the model's mean request.

    `EXCESS` holds large requests of client accounts that ask for more than
    their fair share.
    """

    SMALL = 0
    USUAL = 1
    LARGE = 2
    EXCESS = 3


class DemandClass(typing.NamedTuple):
    """Requests that are treated alike; lower ones go first.

    Attributes:
        urgency: Priority; 0 is served first.
        band: Work that a request needs.
    """

    urgency: int
    band: Band


DEFAULT_CLASS = DemandClass(DEFAULT_URGENCY, Band.USUAL)
# Demand of instances of earlier releases, which tell no classes.
UNNAMED = DemandClass(-1, Band.USUAL)


def band_of(work: float, mean_work: float) -> Band:
    """Returns the size band of a request.

    Args:
        work: Work that it needs, in any unit.
        mean_work: Work of the model's mean request, in the same unit.
    """
    if work < mean_work * _SMALL_BELOW:
        return Band.SMALL
    if work > mean_work * _LARGE_ABOVE:
        return Band.LARGE
    return Band.USUAL


def class_of(
    urgency: int, work: float, mean_work: float, *, is_excess: bool = False
) -> DemandClass:
    """Returns the class of a request.

    Args:
        urgency: Its urgency.
        work: Work that it needs, in any unit.
        mean_work: Work of the model's mean request, in the same unit.
        is_excess: Whether its account asks for more than its fair share; it
            then counts as one band larger.
    """
    band = band_of(work, mean_work)
    if is_excess:
        band = Band(band + 1)
    return DemandClass(max(0, min(_MAX_URGENCY, urgency)), band)


def key_of(cls: DemandClass) -> int:
    """Returns a class as a number below 128, as statuses hold it."""
    return cls.urgency * len(Band) + cls.band


def from_key(key: int) -> DemandClass | None:
    """Returns the class of a number, or None if it stands for none."""
    urgency, band = divmod(key, len(Band))
    if not 0 <= urgency <= _MAX_URGENCY:
        return None
    return DemandClass(urgency, Band(band))
