"""Checks of the records in which targets and instances register."""

from briarfall import addresses
from briarfall import decoding
from briarfall import exceptions
from briarfall.gateway import sources

# The bounds are far above real values. They keep sums, loops over layers and
# encoded messages within their limits.
MAX_SLOTS = 100_000
MAX_LAYERS = 10_000
_MAX_NAME_CHARS = 255
_MAX_COUNT = 2**63 - 1


def check_entry(entry: sources.TargetEntry) -> None:
    """Checks the values of an entry.

    Raises:
        CatalogueError: A value is out of its range.
    """
    subject = f"target {decoding.excerpt(entry.id)}"
    if not entry.id or not entry.id.isascii() or " " in entry.id:
        raise exceptions.CatalogueError(
            f"{subject}: id is not made of visible ASCII characters"
        )
    for field, name in (
        ("id", entry.id),
        ("service", entry.service),
        ("zone", entry.zone),
        ("kind", entry.kind),
    ):
        if len(name) > _MAX_NAME_CHARS or not name.isprintable():
            raise exceptions.CatalogueError(
                f"{subject}: {field} {decoding.excerpt(name)!r} is longer than "
                f"{_MAX_NAME_CHARS} characters or not printable"
            )
    addresses.parse(entry.address, subject)
    _check_range(subject, "slots", entry.slots, 1, MAX_SLOTS)
    _check_range(subject, "beat", entry.beat, 0, _MAX_COUNT)
    _check_range(subject, "start", entry.started_ms, 0, _MAX_COUNT)
    if entry.layers is not None:
        check_layers(entry.layers, subject)


def check_layers(layers: sources.LayerRange, subject: str) -> None:
    """Checks a range of layers that a target reports.

    Raises:
        CatalogueError: The range is empty or out of bounds.
    """
    if not 0 <= layers.first < layers.end <= MAX_LAYERS:
        raise exceptions.CatalogueError(
            f"{subject}: layers {decoding.excerpt(str(layers.first))} to "
            f"{decoding.excerpt(str(layers.end))} are no range within 0 to "
            f"{MAX_LAYERS}"
        )


def _check_range(
    subject: str, field: str, value: int, least: int, most: int
) -> None:
    if not least <= value <= most:
        raise exceptions.CatalogueError(
            f"{subject}: {field} {decoding.excerpt(str(value))} is not from "
            f"{least} to {most}"
        )
