"""Messages of the store and their decoding."""

import struct
import typing

import msgspec

from briarfall import exceptions

_RECORD_LENGTH = struct.Struct(">I")
_Offset = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class KeyedItem(msgspec.Struct):
    """A key of a keyed topic and its newest value."""

    key: str
    # The value in Base64.
    value: str = ""


# The fields that a kind of answer always has are required, so that no other
# kind passes as it.
class NewestPage(msgspec.Struct):
    """A page of the newest values of a keyed topic."""

    # Each item is decoded on its own, so that an odd one costs only itself.
    items: list[msgspec.Raw]
    # Offset that the next appended record will get.
    end: _Offset
    # Whether keys follow after the last one of `items`.
    has_more: bool = False


class AppendReply(msgspec.Struct):
    """Acknowledgement of an append."""

    offset: _Offset
    end: _Offset


class WrongEndReply(msgspec.Struct):
    """Refusal of a conditional append."""

    # Offset that the next appended record will get.
    end: _Offset


class GapReply(msgspec.Struct):
    """Refusal of a read from an offset that the store doesn't have."""

    # Oldest offset that is still kept.
    first: _Offset = 0


def pack_record(record: bytes) -> bytes:
    """Encodes a record for an append."""
    return _RECORD_LENGTH.pack(len(record)) + record


def split_records(data: memoryview) -> list[bytes]:
    """Returns the records of a read.

    Raises:
        LogUnavailableError: A record is truncated.
    """
    records = []
    start = 0
    while len(data) - start >= _RECORD_LENGTH.size:
        (size,) = _RECORD_LENGTH.unpack_from(data, start)
        start += _RECORD_LENGTH.size
        if len(data) - start < size:
            raise exceptions.LogUnavailableError(
                f"record truncated: got {len(data) - start} of {size} bytes"
            )
        records.append(bytes(data[start : start + size]))
        start += size
    return records
