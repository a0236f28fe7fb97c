"""Checks of the records in which targets and instances register."""

from briarfall import addresses
from briarfall import decoding
from briarfall import exceptions
from briarfall.gateway.catalogue import sources

# The bounds are far above real values. They keep sums, loops over layers and
# encoded messages within their limits.
MAX_SLOTS = 100_000
MAX_LAYERS = 10_000
_MAX_NAME_CHARS = 255
_MAX_COUNT = 2**63 - 1
_MAX_CORES = 10_000.0
# Unix time in seconds, in the year 36812.
_MAX_UNIX_S = 2.0**40


def check_entry(entry: sources.TargetEntry) -> None:
    """Checks the values of an entry.

    Raises:
        CatalogueError: A value is out of its range.
    """
    subject = f"target {decoding.excerpt(entry.id)}"
    _check_target_id(entry.id, subject)
    for field, name in (
        ("service", entry.service),
        ("zone", entry.zone),
        ("kind", entry.kind),
    ):
        _check_name(subject, field, name)
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


def check_instance(record: sources.InstanceRecord) -> addresses.Address:
    """Checks the record of an instance; returns its address.

    Raises:
        CatalogueError: A value is out of its range.
    """
    subject = f"instance {decoding.excerpt(record.id)}"
    check_instance_id(record.id, subject)
    _check_name(subject, "zone", record.zone)
    if not 0 < record.cores <= _MAX_CORES:
        raise exceptions.CatalogueError(
            f"{subject}: cores {record.cores} is not above 0 and up to "
            f"{_MAX_CORES:g}"
        )
    return addresses.parse(record.address, subject)


def check_poison(record: sources.PoisonRecord, subject: str) -> None:
    """Checks the record of a poison request.

    Raises:
        CatalogueError: A value is out of its range.
    """
    if not 0 < len(record.fingerprint) <= _MAX_NAME_CHARS:
        raise exceptions.CatalogueError(
            f"{subject}: fingerprint {decoding.excerpt(record.fingerprint)!r} "
            f"is empty or longer than {_MAX_NAME_CHARS} characters"
        )
    if not 0 <= record.until_s <= _MAX_UNIX_S:
        raise exceptions.CatalogueError(
            f"{subject}: until_s {record.until_s} is no Unix time"
        )


def check_instance_id(name: str, subject: str) -> None:
    """Checks the id of an instance.

    Raises:
        CatalogueError: The id is empty, too long or not printable.
    """
    _check_name(subject, "id", name)
    if not name:
        raise exceptions.CatalogueError(f"{subject}: id is empty")


def _check_target_id(name: str, subject: str) -> None:
    """Checks the id of a target, which becomes the value of a header.

    Raises:
        CatalogueError: The id is empty, too long or not visible ASCII.
    """
    _check_name(subject, "id", name)
    if not name or not name.isascii() or " " in name:
        raise exceptions.CatalogueError(
            f"{subject}: id {decoding.excerpt(name)!r} is not made of visible "
            "ASCII characters"
        )


def _check_name(subject: str, field: str, name: str) -> None:
    if len(name) > _MAX_NAME_CHARS or not name.isprintable():
        raise exceptions.CatalogueError(
            f"{subject}: {field} {decoding.excerpt(name)!r} is longer than "
            f"{_MAX_NAME_CHARS} characters or not printable"
        )


def _check_range(
    subject: str, field: str, value: int, least: int, most: int
) -> None:
    if not least <= value <= most:
        raise exceptions.CatalogueError(
            f"{subject}: {field} {decoding.excerpt(str(value))} is not from "
            f"{least} to {most}"
        )
