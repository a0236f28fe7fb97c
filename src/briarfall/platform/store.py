"""Calls to the platform's store: an append-only log with keyed topics."""

import base64
import struct
import urllib.parse

import msgspec

from briarfall import exceptions
from briarfall.gateway import connections
from briarfall.gateway import summary

_LENGTH = struct.Struct(">I")
_POSITIONS = struct.Struct(">QQ")
# The store answers within milliseconds and closes idle connections late; an
# idle one that went silent is found by the timeout of the call.
_MAX_IDLE_S = 3.0


class _KeyedItem(msgspec.Struct):
    key: str
    value: str = ""
    offset: int = 0


class _Newest(msgspec.Struct):
    items: list[_KeyedItem] = []
    has_more: bool = False
    end: int = 0


class _Appended(msgspec.Struct):
    offset: int = 0
    end: int = 0


class _First(msgspec.Struct):
    first: int = 0


class KeyedRecord(msgspec.Struct, frozen=True):
    """The newest value of a key."""

    key: str
    value: bytes


class Store:
    """A client of the store.

    Args:
        address: IP number and port.
        counts: Counts the calls.
        purpose: What the calls are for, as their name in the counts.
    """

    def __init__(self, address: str, counts: summary.CallCounts, purpose: str):
        self._address = address
        self._counts = counts
        self._purpose = purpose
        self._pool = connections.ConnectionPool()

    def newest(self, topic: str, timeout_s: float):
        """Returns the newest record of each key and the topic's end."""
        records = []
        after = None
        while True:
            args = {"topic": topic, "part": 0}
            if after is not None:
                args["after"] = after
            _, body = self._call("GET", "log-newest", args, b"", timeout_s)
            page = _decode(body, _Newest)
            for item in page.items:
                records.append(
                    KeyedRecord(item.key, base64.b64decode(item.value))
                )
            if not page.has_more or not page.items:
                return records, page.end
            after = page.items[-1].key

    def read(
        self,
        topic: str,
        start: int,
        timeout_s: float,
        *,
        wait_s: float = 0.0,
    ) -> tuple[list[bytes], int]:
        """Returns records from an offset on, and the offset after them.

        Raises:
            LogGapError: Records from `start` on are no longer kept.
        """
        args = {"topic": topic, "part": 0, "from": start}
        if wait_s > 0:
            args["wait_ms"] = int(wait_s * 1000)
        _, body = self._call("GET", "log-read", args, b"", timeout_s + wait_s)
        if len(body) < _POSITIONS.size:
            raise exceptions.LogUnavailableError("the store sent half a read")
        records = _split(body[_POSITIONS.size :])
        return records, start + len(records)

    def append(
        self,
        topic: str,
        record: bytes,
        timeout_s: float,
        *,
        at: int | None = None,
    ) -> int | None:
        """Appends a record and returns its offset.

        Returns:
            The offset, or None if the topic does not end at `at`.
        """
        args = {"topic": topic, "part": 0}
        if at is not None:
            args["at"] = at
        status, body = self._call(
            "POST",
            "log-append",
            args,
            _LENGTH.pack(len(record)) + record,
            timeout_s,
        )
        if status == 412:
            return None
        return _decode(body, _Appended).offset

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
        self._counts.record(f"{self._purpose}_{kind}s")
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
        if head.status == 410:
            first = _decode(data, _First).first
            raise exceptions.LogGapError(f"store {name}: records gone", first)
        if head.status not in (200, 412):
            raise exceptions.LogUnavailableError(
                f"store {name}: status {head.status}"
            )
        return head.status, data


def keyed_record(key: str, value: bytes) -> bytes:
    """Returns a record of a keyed topic; an empty value drops the key."""
    name = key.encode()
    return bytes([len(name)]) + name + value


def split_keyed(record: bytes) -> KeyedRecord:
    """Returns key and value of a record of a keyed topic."""
    if not record or len(record) < 1 + record[0]:
        raise exceptions.LogUnavailableError("a keyed record is cut off")
    end = 1 + record[0]
    return KeyedRecord(record[1:end].decode("utf-8", "replace"), record[end:])


def _split(data: bytes) -> list[bytes]:
    records = []
    while len(data) >= _LENGTH.size:
        (size,) = _LENGTH.unpack_from(data)
        end = _LENGTH.size + size
        if len(data) < end:
            raise exceptions.LogUnavailableError("a record is cut off")
        records.append(data[_LENGTH.size : end])
        data = data[end:]
    return records


def _decode(data: bytes, kind):
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise exceptions.LogUnavailableError(
            f"the store's answer can't be read: {exc}"
        ) from exc
