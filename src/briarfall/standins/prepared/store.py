"""Stand-in for the store of the prepared platform."""

import base64
import collections.abc
import json
import struct
import threading
import time
import urllib.parse

import msgspec

from briarfall.standins.prepared import gates
from briarfall.standins.prepared import rawhttp

# Names of calls, as in the counts of a store.
WRITE_CALLS = ("log-append",)
READ_CALLS = ("log-read", "log-newest")
_MAX_WAIT_S = 30.0
# Bounds of one answer: records of a read, in KB, and items of a page.
_READ_KB = 1024
PAGE_ITEMS = 500
_PAGE_BYTES = 1_000_000


class StoreCopy(msgspec.Struct, frozen=True):
    """Contents of the store at an earlier time.

    Attributes:
        topics: Records by topic.
        first: Oldest offset that is still kept, by topic.
        keyed: Newest value of each key with its offset, by topic.
    """

    topics: dict[str, list[bytes]]
    first: dict[str, int]
    keyed: dict[str, dict[str, tuple[bytes, int]]]


class _OutsideWrite(msgspec.Struct, frozen=True):
    """A write of the operator or of a target.

    Attributes:
        topic: The topic.
        key: The key.
        value: Its value, or empty if the key was removed.
    """

    topic: str
    key: str
    value: bytes


class StoreStandin:
    """Topics with one partition each, in memory, with faults.

    Attributes:
        status: Status of every response; 0 serves calls, -1 resets connections.
        loses_appends: Whether appends take effect without a response.
        calls: Number of calls by name.
        body_bytes: Bytes in the bodies of all calls and responses.
        waiting: Number of reads that wait for a record.
        epoch: Epoch in all responses, which rises with each restore.
        answers: Holds back responses that are already decided.
        held_answers: Number of responses that are held back.
    """

    def __init__(self):
        self._changed = threading.Condition()
        self._topics: dict[str, list[bytes]] = {}
        self._first: dict[str, int] = {}
        self._keyed: dict[str, dict[str, tuple[bytes, int]]] = {}
        self.status = 0
        self.loses_appends = False
        self.calls: dict[str, int] = {}
        self.body_bytes = 0
        self.waiting = 0
        self.epoch = 1
        self.answers = gates.Gate()
        self.held_answers = 0
        # The latest write of the operator or of a target, by topic and key.
        self._outside: dict[tuple[str, str], _OutsideWrite] = {}
        self._lost: list[_OutsideWrite] = []
        self._server = rawhttp.RawServer(self._handle)
        self.address = self._server.address

    def close(self) -> None:
        """Resets all connections and stops listening."""
        self._server.close()

    def put(self, topic: str, key: str, value: dict | bytes) -> int:
        """Writes a keyed record, as the operator or a target does."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        name = key.encode()
        with self._changed:
            self._outside[topic, key] = _OutsideWrite(topic, key, raw)
            return self.append(topic, bytes([len(name)]) + name + raw)

    def drop(self, topic: str, key: str) -> int:
        """Removes a key."""
        return self.put(topic, key, b"")

    def append(self, topic: str, record: bytes) -> int:
        """Appends a record and returns its offset."""
        with self._changed:
            rows = self._topics.setdefault(topic, [])
            offset = self._first.get(topic, 0) + len(rows)
            rows.append(record)
            if topic.startswith("keyed."):
                end = 1 + record[0]
                key = record[1:end].decode()
                keys = self._keyed.setdefault(topic, {})
                if len(record) > end:
                    keys[key] = (record[end:], offset)
                else:
                    keys.pop(key, None)
            self._changed.notify_all()
            return offset

    def forget(self, topic: str) -> None:
        """Drops all records of a topic; the newest value of each key stays."""
        with self._changed:
            rows = self._topics.get(topic, [])
            self._first[topic] = self._first.get(topic, 0) + len(rows)
            self._topics[topic] = []
            self._changed.notify_all()

    def snapshot(self) -> StoreCopy:
        """Returns a copy of the contents, for a later restore."""
        with self._changed:
            return StoreCopy(
                {topic: list(rows) for topic, rows in self._topics.items()},
                dict(self._first),
                {topic: dict(rows) for topic, rows in self._keyed.items()},
            )

    def restore(
        self,
        copy: StoreCopy,
        topics: collections.abc.Container[str] | None = None,
    ) -> None:
        """Replaces the contents by an earlier copy, in a new epoch.

        Offsets after the copy are given out again. What the operator and the
        targets wrote since is lost until `rewrite_lost`.

        Args:
            copy: The copy.
            topics: Topics to restore, or None for all; the others lose
                nothing.
        """
        with self._changed:
            for topic in list(self._topics):
                if topics is None or topic in topics:
                    self._restore_topic(topic, copy)
            self.epoch += 1
            self._changed.notify_all()

    def _restore_topic(self, topic: str, copy: StoreCopy) -> None:
        self._topics[topic] = list(copy.topics.get(topic, ()))
        self._first[topic] = copy.first.get(topic, 0)
        self._keyed[topic] = dict(copy.keyed.get(topic, {}))
        kept = self._keyed[topic]
        for write in self._outside.values():
            if write.topic != topic:
                continue
            if kept.get(write.key, (b"", 0))[0] != write.value:
                self._lost.append(write)

    def rewrite_lost(self) -> None:
        """Writes again what the operator and the targets have lost.

        A key that was written since the restore is left as it is.
        """
        with self._changed:
            lost = self._lost
            self._lost = []
            for write in lost:
                if self._outside[write.topic, write.key] is write:
                    self.put(write.topic, write.key, write.value)

    def value(self, topic: str, key: str) -> bytes | None:
        """Returns the newest value of a key."""
        with self._changed:
            row = self._keyed.get(topic, {}).get(key)
            return row[0] if row else None

    def keys(self, topic: str) -> list[str]:
        """Returns the keys that have a value."""
        with self._changed:
            return list(self._keyed.get(topic, {}))

    def _handle(
        self, conn: rawhttp.RawConnection, req: rawhttp.RawRequest
    ) -> bool:
        name = req.path.rpartition("/")[2]
        with self._changed:
            self.calls[name] = self.calls.get(name, 0) + 1
            self.body_bytes += len(req.body)
        if self.status == -1:
            conn.reset()
            return False
        if self.status:
            self._respond(conn, self.status)
            return True
        query = dict(
            urllib.parse.parse_qsl(urllib.parse.urlsplit(req.target).query)
        )
        if name == "log-append":
            return self._append(conn, query, req.body)
        if name == "log-read":
            return self._read(conn, query)
        if name == "log-newest":
            return self._newest(conn, query)
        self._respond(conn, 404)
        return True

    def _respond(
        self, conn, status: int, body: bytes = b"", epoch: int | None = None
    ) -> None:
        """Responds with the epoch in which the call was decided."""
        if epoch is None:
            epoch = self.epoch
        with self._changed:
            self.held_answers += 1
            self.body_bytes += len(body)
        self.answers.wait()
        with self._changed:
            self.held_answers -= 1
        conn.respond(status, body, {"Store-Era": str(epoch)})

    def _append(self, conn, query, body: bytes) -> bool:
        topic = query["topic"]
        (size,) = struct.unpack_from(">I", body)
        with self._changed:
            epoch = self.epoch
            end = self._end(topic)
            is_refused = "at" in query and int(query["at"]) != end
            if not is_refused:
                offset = self.append(topic, body[4 : 4 + size])
        if is_refused:
            self._respond(conn, 412, json.dumps({"end": end}).encode(), epoch)
            return True
        if self.loses_appends:
            conn.reset()
            return False
        reply = json.dumps({"offset": offset, "end": offset + 1}).encode()
        self._respond(conn, 200, reply, epoch)
        return True

    def _end(self, topic: str) -> int:
        return self._first.get(topic, 0) + len(self._topics.get(topic, ()))

    def _read(self, conn, query) -> bool:
        topic = query["topic"]
        start = int(query["from"])
        wait_s = min(_MAX_WAIT_S, int(query.get("wait_ms", "0")) / 1000)
        until_s = time.monotonic() + wait_s
        with self._changed:
            while True:
                first = self._first.get(topic, 0)
                rows = self._topics.get(topic, [])
                end = first + len(rows)
                remaining_s = until_s - time.monotonic()
                if not first <= start <= end or start < end or remaining_s <= 0:
                    break
                self.waiting += 1
                self._changed.wait(remaining_s)
                self.waiting -= 1
            epoch = self.epoch
            found = rows[start - first :] if first <= start <= end else None
        if found is None:
            reply = json.dumps({"first": first}).encode()
            self._respond(conn, 410, reply, epoch)
            return True
        max_bytes = int(query.get("max_kb", _READ_KB)) * 1024
        body = struct.pack(">QQ", end, first) + _pack_whole(found, max_bytes)
        self._respond(conn, 200, body, epoch)
        return True

    def _newest(self, conn, query) -> bool:
        topic = query["topic"]
        after = query.get("after")
        with self._changed:
            items = []
            for key, (value, offset) in self._keyed.get(topic, {}).items():
                if after is not None and key <= after:
                    continue
                text = base64.b64encode(value).decode()
                items.append({"key": key, "value": text, "offset": offset})
            end = self._end(topic)
            epoch = self.epoch
        items.sort(key=lambda item: item["key"])
        count = _page_size(items)
        page = {
            "items": items[:count],
            "has_more": count < len(items),
            "end": end,
        }
        self._respond(conn, 200, json.dumps(page).encode(), epoch)
        return True


def _pack_whole(records: list[bytes], max_bytes: int) -> bytes:
    """Returns the first records that fit an answer, and at least one."""
    body = bytearray()
    for record in records:
        size = 4 + len(record)
        if body and len(body) + size > max_bytes:
            break
        body += struct.pack(">I", len(record)) + record
    return bytes(body)


def _page_size(items: list[dict]) -> int:
    """Returns the number of items that fit a page, and at least one."""
    size = 0
    for number, item in enumerate(items[:PAGE_ITEMS]):
        size += len(item["key"]) + len(item["value"])
        if number and size > _PAGE_BYTES:
            return number
    return min(len(items), PAGE_ITEMS)
