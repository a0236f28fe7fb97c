"""Client of the platform's store.

The store keeps append-only logs, called topics. A keyed topic also keeps the
newest value of each key.

The store's answers bear no id. An answer whose content can't belong to the call
is an error and ends its connection, since it may be a copy of an earlier one.
"""

import collections
import re
import struct
import typing
import urllib.parse

from absl import logging
import msgspec

from briarfall import decoding
from briarfall import exceptions
from briarfall.gateway import connections
from briarfall.gateway import messages
from briarfall.gateway import summary

_RECORD_LENGTH = struct.Struct(">I")
_MAX_KEY_BYTES = 255
# Pages of one read; the topics in use fill a few.
_MAX_PAGES = 100
_LOG_INTERVAL_S = 10
_READ_HEADER = struct.Struct(">QQ")
# The store answers within milliseconds and closes idle connections late. An
# idle connection that is dead is detected by the time-out of the next call.
_MAX_IDLE_S = 3.0
_REMEMBERED_APPENDS = 64
# Rises when the store comes back from an older copy, which gives out offsets
# once more.
_EPOCH_HEADER = b"store-era"


_Offset = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class _KeyedItem(msgspec.Struct):
    key: str
    # The value in Base64.
    value: str = ""


# The fields that a kind of answer always has are required, so that no other
# kind passes as it.
class _NewestPage(msgspec.Struct):
    # Each item is decoded on its own, so that an odd one costs only itself.
    items: list[msgspec.Raw]
    # Offset that the next appended record will get.
    end: _Offset
    # Whether keys follow after the last one of `items`.
    has_more: bool = False


class _AppendReply(msgspec.Struct):
    offset: _Offset
    end: _Offset


class _WrongEndReply(msgspec.Struct):
    # Offset that the next appended record will get.
    end: _Offset


class _GapReply(msgspec.Struct):
    # Oldest offset that is still kept.
    first: _Offset = 0


_SURROGATE = re.compile(rb"\\u[dD][89a-fA-F][0-9a-fA-F]{2}")
_ITEM_DECODER = msgspec.json.Decoder(_KeyedItem)


class KeyedRecord(msgspec.Struct, frozen=True):
    """A key of a keyed topic and its value; the value is empty if deleted."""

    key: str
    value: bytes


class StoreClient:
    """A client of the store.

    Args:
        address: IP number and port.
        counts: Counts the calls.
        purpose: Prefix of the names under which the calls are counted.
    """

    def __init__(self, address: str, counts: summary.CallCounts, purpose: str):
        self._address = address
        self._call_counts = counts
        self._purpose = purpose
        self._pool = connections.ConnectionPool()
        # Epoch of the store in its last answer.
        self._epoch: bytes | None = None
        # Topic and offset of the latest acknowledged appends of this epoch.
        self._appended: collections.deque[tuple[str, int]] = collections.deque(
            maxlen=_REMEMBERED_APPENDS
        )

    def newest(self, topic: str, timeout_s: float):
        """Returns the newest record of each key, and the topic's end offset.

        Raises:
            LogUnavailableError: The store did not answer, or its pages have
                no end.
        """
        records = []
        args = {"topic": topic, "part": 0}
        seen = set()
        while len(seen) < _MAX_PAGES:
            _, body = self._call("GET", "log-newest", args, b"", timeout_s)
            page = self._decode_page(body)
            found = _decode_items(page.items)
            records.extend(found)
            if not page.has_more or not page.items:
                return records, page.end
            if not found or found[-1].key in seen:
                break
            args["after"] = found[-1].key
            seen.add(found[-1].key)
        raise exceptions.LogUnavailableError(
            f"store log-newest: pages of {topic} have no end, expected new "
            f"keys on each of at most {_MAX_PAGES} pages"
        )

    def read(
        self,
        topic: str,
        start: int,
        timeout_s: float,
        *,
        wait_s: float = 0.0,
    ) -> tuple[list[bytes], int]:
        """Returns records from an offset on, and the offset after them.

        Args:
            topic: Name of the topic.
            start: Offset of the first record to return.
            timeout_s: Longest wait for the response itself.
            wait_s: Additional time that the store may wait for a record.

        Raises:
            LogGapError: Records from `start` on are no longer kept.
        """
        args = {"topic": topic, "part": 0, "from": start}
        if wait_s > 0:
            args["wait_ms"] = int(wait_s * 1000)
        _, body = self._call("GET", "log-read", args, b"", timeout_s + wait_s)
        if len(body) < _READ_HEADER.size:
            raise exceptions.LogUnavailableError(
                f"store response truncated: got {len(body)} of at least "
                f"{_READ_HEADER.size} bytes"
            )
        end, _ = _READ_HEADER.unpack_from(body)
        records = _split_records(memoryview(body)[_READ_HEADER.size :])
        if records and start + len(records) > end:
            raise self._mismatch_error(
                f"{len(records)} records from {start} on, but the topic ends "
                f"at {end}"
            )
        return records, start + len(records)

    def append(
        self,
        topic: str,
        record: bytes,
        timeout_s: float,
        *,
        at: int | None = None,
    ) -> int | None:
        """Appends a record.

        Args:
            topic: Name of the topic.
            record: The record.
            timeout_s: Longest wait for the response.
            at: Offset at which the topic must end for the append to succeed;
                None appends at any end.

        Returns:
            The offset of the record, or None if the topic doesn't end at
            `at`.
        """
        args = {"topic": topic, "part": 0}
        if at is not None:
            args["at"] = at
        status, body = self._call(
            "POST",
            "log-append",
            args,
            _RECORD_LENGTH.pack(len(record)) + record,
            timeout_s,
        )
        if status == 412:
            if self._decode(body, _WrongEndReply).end == at:
                raise self._mismatch_error(
                    f"append at {at} refused although the topic ends there"
                )
            return None
        offset = self._decode(body, _AppendReply).offset
        if at is not None and offset != at:
            raise self._mismatch_error(
                f"append at {at} acknowledged with offset {offset}"
            )
        if (topic, offset) in self._appended:
            raise self._mismatch_error(f"offset {offset} acknowledged twice")
        self._appended.append((topic, offset))
        return offset

    def _mismatch_error(self, text: str) -> exceptions.LogUnavailableError:
        """Ends the connections and returns the error for another's answer."""
        self._pool.drop(self._address)
        return exceptions.LogUnavailableError(
            f"store answer of another call, connection closed: {text}"
        )

    def _decode_page(self, body: bytes) -> _NewestPage:
        try:
            return self._decode(body, _NewestPage)
        except exceptions.LogUnavailableError:
            # A key of another writer need not be text; JSON may then hold half
            # of a surrogate pair, which fails the whole page.
            replaced, count = _SURROGATE.subn(rb"\\ufffd", body)
            if not count:
                raise
        return self._decode(replaced, _NewestPage)

    def _decode(self, data: bytes, kind: type):
        try:
            return decoding.decode_json(
                data, kind, "store response", exceptions.LogUnavailableError
            )
        except exceptions.LogUnavailableError as exc:
            raise self._mismatch_error(exc.message) from exc

    def _record_epoch(self, head: messages.ResponseHead) -> None:
        """Forgets the acknowledged offsets if a restored store reuses them."""
        epoch = head.header(_EPOCH_HEADER)
        if epoch == self._epoch:
            return
        self._epoch = epoch
        self._appended.clear()

    def _call(
        self,
        method: str,
        name: str,
        args: dict[str, str | int],
        body: bytes,
        timeout_s: float,
    ) -> tuple[int, bytes]:
        path = f"/v1/{name}?{urllib.parse.urlencode(args)}"
        kind = "write" if method == "POST" else "read"
        self._call_counts.record(f"{self._purpose}_{kind}s")
        try:
            head, data = connections.send_request(
                self._pool,
                self._address,
                method,
                path,
                body,
                timeout_s,
                max_idle_s=_MAX_IDLE_S,
            )
        except exceptions.BriarfallError as exc:
            self._pool.drop(self._address)
            raise exceptions.LogUnavailableError(
                f"store {name}: {exc.message}"
            ) from exc
        self._record_epoch(head)
        if head.status == 410:
            first = self._decode(data, _GapReply).first
            raise exceptions.LogGapError(
                f"store {name}: records before {first} are no longer kept",
                first,
            )
        if head.status not in (200, 412):
            raise exceptions.LogUnavailableError(
                f"store {name}: answered with status {head.status}"
            )
        return head.status, data


def keyed_record(key: str, value: bytes) -> bytes:
    """Encodes a record of a keyed topic; an empty value deletes the key.

    Raises:
        CatalogueError: The key is no text of at most 255 bytes.
    """
    try:
        name = key.encode()
    except UnicodeEncodeError as exc:
        raise decoding.failure("key", exc, exceptions.CatalogueError) from exc
    if len(name) > _MAX_KEY_BYTES:
        raise exceptions.CatalogueError(
            f"key {decoding.excerpt(key)!r} is longer than {_MAX_KEY_BYTES} "
            "bytes"
        )
    return bytes([len(name)]) + name + value


def split_keyed(record: bytes) -> KeyedRecord:
    """Decodes a record of a keyed topic.

    Raises:
        CatalogueError: The record is shorter than its key.
    """
    if not record or len(record) < 1 + record[0]:
        raise exceptions.CatalogueError(
            f"keyed record truncated: {len(record)} bytes don't hold its key"
        )
    end = 1 + record[0]
    return KeyedRecord(record[1:end].decode("utf-8", "replace"), record[end:])


def _split_records(data: memoryview) -> list[bytes]:
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


def _decode_items(items: list[msgspec.Raw]) -> list[KeyedRecord]:
    """Decodes the items of a page; logs and skips malformed ones."""
    records = []
    for raw in items:
        try:
            item = decoding.decode(_ITEM_DECODER, raw, "keyed record")
            value = decoding.decode_base64(
                item.value,
                f"value of {decoding.excerpt(item.key)}",
                exceptions.CatalogueError,
            )
        except exceptions.CatalogueError as exc:
            logging.log_every_n_seconds(
                logging.WARNING,
                "record ignored, the others of its page stay in use: %s",
                _LOG_INTERVAL_S,
                exc,
            )
            continue
        records.append(KeyedRecord(item.key, value))
    return records
