"""Client of the platform's store.

The store keeps append-only logs, called topics. A keyed topic also keeps the
newest value of each key.

The store's answers bear no id. An answer whose content can't belong to the call
is an error and ends its connection, since it may be a copy of an earlier one.
"""

import collections
import re
import struct
import urllib.parse

from absl import logging
import msgspec

from briarfall import decoding
from briarfall import exceptions
from briarfall.gateway.catalogue import sources
from briarfall.gateway.exchanges import connections
from briarfall.gateway.exchanges import messages
from briarfall.gateway.instance import summary
from briarfall.platform import epochs
from briarfall.platform import storemessages

_MAX_KEY_BYTES = 255
# Pages of one read; the topics in use fill a few.
_MAX_PAGES = 100
_LOG_INTERVAL_S = 10
_READ_HEADER = struct.Struct(">QQ")
# The store answers within milliseconds and closes idle connections late. An
# idle connection that is dead is detected by the time-out of the next call.
_MAX_IDLE_S = 3.0
_REMEMBERED_APPENDS = 64
_SURROGATE = re.compile(rb"\\u[dD][89a-fA-F][0-9a-fA-F]{2}")
_ITEM_DECODER = msgspec.json.Decoder(storemessages.KeyedItem)


class _Response(msgspec.Struct, frozen=True):
    status: int
    body: bytes
    # Epoch of the store in which the call was carried out.
    epoch: sources.StoreEpoch


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
        tracker: Epoch of the store, which the clients of a process share.
    """

    def __init__(
        self,
        address: str,
        counts: summary.CallCounts,
        purpose: str,
        tracker: epochs.EpochTracker | None = None,
    ):
        self._address = address
        self._call_counts = counts
        self._purpose = purpose
        self._pool = connections.ConnectionPool()
        self.tracker = tracker or epochs.EpochTracker()
        # Topic and position of the latest acknowledged appends.
        self._appended: collections.deque[tuple[str, sources.LogPosition]] = (
            collections.deque(maxlen=_REMEMBERED_APPENDS)
        )

    def close(self) -> None:
        """Closes the connections to the store."""
        self._pool.close()

    def newest(
        self, topic: str, timeout_s: float
    ) -> tuple[list[KeyedRecord], sources.LogPosition]:
        """Returns the newest record of each key, and where to read on.

        The list is at least as new as the call. Its pages are no snapshot: a
        record that is written between them may be missing, and lies at or
        after the position.

        Raises:
            LogUnavailableError: The store did not answer, its pages have no
                end, or it was restored between two of them.
        """
        records = []
        args = {"topic": topic, "part": 0}
        seen = set()
        start = None
        while len(seen) < _MAX_PAGES:
            resp = self._call("GET", "log-newest", args, b"", timeout_s)
            if start is not None and start.epoch != resp.epoch:
                raise exceptions.LogUnavailableError(
                    f"store log-newest: pages of {topic} are of epochs "
                    f"{start.epoch} and {resp.epoch}, expected one epoch"
                )
            page = self._decode_page(resp.body)
            if start is None:
                start = sources.LogPosition(resp.epoch, page.end)
            found = _decode_items(page.items)
            records.extend(found)
            if not page.has_more:
                return records, start
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
        start: sources.LogPosition,
        timeout_s: float,
        *,
        wait_s: float = 0.0,
    ) -> tuple[list[bytes], sources.LogPosition]:
        """Returns all records from a position on, and the end of the topic.

        Args:
            topic: Name of the topic.
            start: Position of the first record to return.
            timeout_s: Longest wait for the response itself.
            wait_s: Additional time that the store may wait for a record.

        Raises:
            LogGapError: Records from `start` on are no longer kept, `start`
                belongs to an earlier epoch, or more records follow than one
                response holds.
            LogUnavailableError: The store did not answer.
        """
        if start.epoch < self.tracker.current:
            raise _epoch_error("read", topic, start, self.tracker.current)
        args = {"topic": topic, "part": 0, "from": start.offset}
        if wait_s > 0:
            args["wait_ms"] = int(wait_s * 1000)
        resp = self._call("GET", "log-read", args, b"", timeout_s + wait_s)
        if start.epoch != resp.epoch:
            raise _epoch_error("read", topic, start, resp.epoch)
        size = len(resp.body)
        if size < _READ_HEADER.size:
            raise exceptions.LogUnavailableError(
                f"store response truncated: got {size} of at least "
                f"{_READ_HEADER.size} bytes"
            )
        end, _ = _READ_HEADER.unpack_from(resp.body)
        records = storemessages.split_records(
            memoryview(resp.body)[_READ_HEADER.size :]
        )
        next_offset = start.offset + len(records)
        if next_offset > end:
            raise self._mismatch_error(
                f"{len(records)} records from {start.offset} on, but the "
                f"topic ends at {end}"
            )
        if next_offset < end:
            raise exceptions.LogGapError(
                f"store log-read: got the records of {topic} from "
                f"{start.offset} to {next_offset}, expected all up to {end}; "
                "read the topic again",
                next_offset,
            )
        return records, sources.LogPosition(start.epoch, end)

    def append(
        self,
        topic: str,
        record: bytes,
        timeout_s: float,
        *,
        at: sources.LogPosition | None = None,
    ) -> sources.LogPosition | None:
        """Appends a record.

        Args:
            topic: Name of the topic.
            record: The record.
            timeout_s: Longest wait for the response.
            at: Position at which the topic must end for the append to
                succeed; None appends at any end.

        Returns:
            The position of the record, or None if the topic doesn't end at
            `at`, which also holds for each position of an earlier epoch.

        Raises:
            LogUnavailableError: The store did not answer.
            LogGapError: The record was appended in a later epoch, after
                records that the caller of this method doesn't know.
        """
        args = {"topic": topic, "part": 0}
        if at is not None:
            if at.epoch < self.tracker.current:
                return None
            args["at"] = at.offset
        resp = self._call(
            "POST",
            "log-append",
            args,
            storemessages.pack_record(record),
            timeout_s,
        )
        if resp.status == 412:
            end = self._decode(resp.body, storemessages.WrongEndReply).end
            if sources.LogPosition(resp.epoch, end) == at:
                raise self._mismatch_error(
                    f"append at {end} refused although the topic ends there"
                )
            return None
        offset = self._decode(resp.body, storemessages.AppendReply).offset
        if at is not None and offset != at.offset:
            raise self._mismatch_error(
                f"append at {at.offset} acknowledged with offset {offset}"
            )
        position = sources.LogPosition(resp.epoch, offset)
        if (topic, position) in self._appended:
            raise self._mismatch_error(f"offset {offset} acknowledged twice")
        self._appended.append((topic, position))
        if at is not None and at.epoch != resp.epoch:
            raise _epoch_error("append", topic, at, resp.epoch)
        return position

    def _mismatch_error(self, text: str) -> exceptions.LogUnavailableError:
        """Ends the connections and returns the error for another's answer."""
        self._pool.drop(self._address)
        return exceptions.LogUnavailableError(
            f"store answer of another call, connection closed: {text}"
        )

    def _decode_page(self, body: bytes) -> storemessages.NewestPage:
        try:
            return self._decode(body, storemessages.NewestPage)
        except exceptions.LogUnavailableError:
            # A key of another writer need not be text; JSON may then hold half
            # of a surrogate pair, which fails the whole page.
            replaced, count = _SURROGATE.subn(rb"\\ufffd", body)
            if not count:
                raise
        return self._decode(replaced, storemessages.NewestPage)

    def _decode(self, data: bytes, kind: type):
        try:
            return decoding.decode_json(
                data, kind, "store response", exceptions.LogUnavailableError
            )
        except exceptions.LogUnavailableError as exc:
            raise self._mismatch_error(exc.message) from exc

    def _observe_epoch(
        self, name: str, head: messages.ResponseHead
    ) -> sources.StoreEpoch:
        """Returns the epoch of a response; refuses one of an earlier epoch."""
        epoch = self.tracker.observe(head.header(epochs.EPOCH_HEADER))
        current = self.tracker.current
        if epoch < current:
            raise self._mismatch_error(
                f"{name} answered from epoch {epoch}, but the store is in "
                f"epoch {current}"
            )
        return epoch

    def _call(
        self,
        method: str,
        name: str,
        args: dict[str, str | int],
        body: bytes,
        timeout_s: float,
    ) -> _Response:
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
        epoch = self._observe_epoch(name, head)
        if head.status == 410:
            first = self._decode(data, storemessages.GapReply).first
            raise exceptions.LogGapError(
                f"store {name}: records before {first} are no longer kept",
                first,
            )
        if head.status not in (200, 412):
            raise exceptions.LogUnavailableError(
                f"store {name}: answered with status {head.status}"
            )
        return _Response(head.status, data, epoch)


def _epoch_error(
    name: str,
    topic: str,
    position: sources.LogPosition,
    epoch: sources.StoreEpoch,
) -> exceptions.LogGapError:
    return exceptions.LogGapError(
        f"store log-{name}: offset {position.offset} of {topic} is of epoch "
        f"{position.epoch}, the store is in epoch {epoch}; read the topic "
        "again",
        0,
    )


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
