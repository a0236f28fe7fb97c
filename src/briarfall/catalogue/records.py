"""Records of the configuration stream.

The fields around the value of an entry, such as the author and `if_version`,
decide whether a record is accepted. They must never change, because all
versions of the program read them. The value itself is checked by the rules of
the record's `schema` number.
"""

import enum
import hashlib

import msgspec

from briarfall import decoding
from briarfall import ids

CONFIG_STREAM = "config"
SCHEMA = 1
NO_VALUE = msgspec.Raw(b"null")


class Edit(msgspec.Struct, frozen=True, tag="edit", tag_field="record"):
    """A change of one entry.

    Attributes:
        id: UUID of the edit; a second record with the same id has no effect.
        author: Name of the operator entry, or `bootstrap`.
        reason: Why the edit is made, in the operator's words.
        entry: Name of the changed entry.
        if_version: Version that the edit is based on, 0 for a new entry.
        value: The new value as JSON, or `null` to delete the entry.
        schema: Number of the rules that the value is checked by.
        time_s: Epoch seconds at which the edit was made.
    """

    id: ids.EditId
    author: str
    reason: str
    entry: ids.EntryName
    if_version: int
    value: msgspec.Raw
    schema: int = SCHEMA
    time_s: float = 0.0

    @property
    def is_delete(self) -> bool:
        """Whether the edit deletes its entry."""
        return bytes(self.value) == bytes(NO_VALUE)


class EntryState(msgspec.Struct, frozen=True):
    """The state of an entry; its version is the offset of its edit plus 1."""

    name: ids.EntryName
    version: int
    value: msgspec.Raw
    author: str
    frozen: bool = False


class Snapshot(msgspec.Struct, frozen=True, tag="snapshot", tag_field="record"):
    """The state that results from all records before offset `covered`."""

    covered: int
    entries: list[EntryState]
    edit_ids: list[ids.EditId]
    digest: str


Record = Edit | Snapshot


class Verdict(enum.Enum):
    """The decision on a record."""

    APPLIED = "applied"
    DUPLICATE = "duplicate"
    CONFLICT = "conflict"
    FORBIDDEN = "forbidden"
    MALFORMED = "malformed"
    FROZEN = "frozen"
    IGNORED = "ignored"


def encode(record: Record) -> bytes:
    """Returns a record as the bytes that are appended to the log."""
    return msgspec.json.encode(record)


def decode(data: bytes) -> Record:
    """Returns the record that `data` encodes.

    Raises:
        CatalogueError: The data does not encode a record.
    """
    return decoding.decode_json(data, Record, "record of the catalogue")


def digest_state(
    covered: int, entries: list[EntryState], edit_ids: list[ids.EditId]
) -> str:
    """Returns the digest that protects a snapshot."""
    payload = msgspec.json.encode([covered, entries, edit_ids])
    return hashlib.sha256(payload).hexdigest()
