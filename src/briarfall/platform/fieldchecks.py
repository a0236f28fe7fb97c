"""Finds misspelt fields of a manifest, which instances ignore."""

import collections.abc
import difflib
import typing

import msgspec

from briarfall import decoding
from briarfall.gateway.catalogue import configfindings
from briarfall.platform import manifest

# Share of characters in order that a misspelt name has in common with the
# field that it means. Fields of the platform's pages that the decoder leaves
# out have less in common with those that it reads.
_MIN_LIKENESS = 0.8
_Findings = collections.abc.Iterator[configfindings.Finding]


def check_fields(raw: bytes) -> _Findings:
    """Yields a finding for each ignored field that resembles an unset one.

    Other fields that instances don't read are none of the check's concern.

    Raises:
        CatalogueError: The bytes are no JSON.
    """
    value = decoding.decode_json(raw, object, "manifest")
    kind = msgspec.inspect.type_info(manifest.Manifest)
    yield from _check_value(value, kind, "")


def _check_value(
    value: typing.Any, kind: msgspec.inspect.Type, place: str
) -> _Findings:
    if isinstance(kind, msgspec.inspect.UnionType):
        for part in kind.types:
            yield from _check_value(value, part, place)
    elif isinstance(kind, msgspec.inspect.ListType):
        if not isinstance(value, list):
            return
        for index, item in enumerate(value):
            yield from _check_value(item, kind.item_type, f"{place}[{index}]")
    elif isinstance(kind, msgspec.inspect.StructType):
        if isinstance(value, dict):
            yield from _check_struct(value, kind, place)


def _check_struct(
    value: dict[str, typing.Any],
    kind: msgspec.inspect.StructType,
    place: str,
) -> _Findings:
    fields = {field.encode_name: field for field in kind.fields}
    unset = sorted(set(fields) - set(value))
    for name, part in value.items():
        inner = f"{place}.{name}" if place else name
        if name in fields:
            yield from _check_value(part, fields[name].type, inner)
            continue
        meant = difflib.get_close_matches(name, unset, 1, _MIN_LIKENESS)
        if not meant:
            continue
        yield configfindings.Finding(
            configfindings.Code.MISSPELT_FIELD,
            decoding.excerpt(place) or "configuration",
            decoding.excerpt(name),
            "a field that is not read",
            f"perhaps {meant[0]}, which is not set",
            f"instances ignore the field and use the default of {meant[0]}",
            "correct the name, or set both fields",
        )
