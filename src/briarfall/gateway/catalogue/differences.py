"""A difference between two configurations, and helpers to find them."""

import collections.abc
import enum
import typing

import msgspec

from briarfall import decoding

_Value = typing.TypeVar("_Value")


class Change(enum.Enum):
    """What happened to an entry."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class Difference(msgspec.Struct, frozen=True):
    """One difference of a configuration from the one in force.

    Attributes:
        change: What happened to the entry.
        subject: The entry, such as `route r-1`.
        field: Name of the field in the view's structures, or empty if the
            whole entry was added or removed.
        before: The value in force, without secrets; empty if there is none.
        after: The new value, without secrets; empty if there is none.
        effect: What callers notice.
    """

    change: Change
    subject: str
    field: str
    before: str
    after: str
    effect: str


class Paired(msgspec.Struct, typing.Generic[_Value], frozen=True):
    """Entries of two configurations by their names.

    Attributes:
        both: Pairs of the entry in force and the new entry.
        removed: Entries that are only in force.
        added: Entries that are only in the new configuration.
    """

    both: tuple[tuple[_Value, _Value], ...]
    removed: tuple[_Value, ...]
    added: tuple[_Value, ...]


def pair(
    before: collections.abc.Iterable[_Value],
    after: collections.abc.Iterable[_Value],
    key_of: collections.abc.Callable[[_Value], collections.abc.Hashable],
) -> Paired[_Value]:
    """Pairs entries with equal keys; several with one key pair in order."""
    old: dict[collections.abc.Hashable, list[_Value]] = {}
    for row in before:
        old.setdefault(key_of(row), []).append(row)
    both = []
    added = []
    for row in after:
        rows = old.get(key_of(row))
        if rows:
            both.append((rows.pop(0), row))
        else:
            added.append(row)
    removed = [row for rows in old.values() for row in rows]
    return Paired(tuple(both), tuple(removed), tuple(added))


def compare_fields(
    subject: str,
    before: typing.Any,
    after: typing.Any,
    effects: collections.abc.Mapping[str, str],
) -> collections.abc.Iterator[Difference]:
    """Yields a difference for each named field whose values differ.

    Args:
        subject: The entry.
        before: Structure in force.
        after: New structure.
        effects: What callers notice, by the name of the field.
    """
    for field, effect in effects.items():
        old = getattr(before, field)
        new = getattr(after, field)
        if old != new:
            unit = ""
            if field.endswith("_s") and not field.endswith("_per_s"):
                unit = " s"
            yield Difference(
                Change.CHANGED,
                subject,
                field,
                shown(old) + unit,
                shown(new) + unit,
                effect,
            )


def shown(value: typing.Any) -> str:
    """Returns a value for messages."""
    if value is None:
        return "none"
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, dict):
        return ", ".join(f"{key} {shown(row)}" for key, row in value.items())
    if isinstance(value, msgspec.Struct):
        parts = msgspec.structs.asdict(value)
        return "({})".format(
            ", ".join(f"{name} {shown(part)}" for name, part in parts.items())
        )
    return decoding.excerpt(str(value))
