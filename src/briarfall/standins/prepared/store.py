"""Stand-in for the store of the prepared platform."""

import base64
import json
import struct
import threading
import time
import urllib.parse

from briarfall.standins.prepared import rawhttp

_MAX_WAIT_S = 30.0


class StoreStandin:
    """Topics with one partition each, in memory, with faults.

    Attributes:
        status: Status of every response; 0 serves calls, -1 resets connections.
        loses_appends: Whether appends take effect without a response.
        calls: Number of calls by name.
        waiting: Number of reads that wait for a record.
    """

    def __init__(self):
        self._changed = threading.Condition()
        self._topics: dict[str, list[bytes]] = {}
        self._first: dict[str, int] = {}
        self._keyed: dict[str, dict[str, tuple[bytes, int]]] = {}
        self.status = 0
        self.loses_appends = False
        self.calls: dict[str, int] = {}
        self.waiting = 0
        self._server = rawhttp.RawServer(self._handle)
        self.address = self._server.address

    def close(self) -> None:
        """Resets all connections and stops listening."""
        self._server.close()

    def put(self, topic: str, key: str, value: dict | bytes) -> int:
        """Writes a keyed record, as the operator or a target does."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        name = key.encode()
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
        if self.status == -1:
            conn.reset()
            return False
        if self.status:
            conn.respond(self.status)
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
        conn.respond(404)
        return True

    def _append(self, conn, query, body: bytes) -> bool:
        topic = query["topic"]
        (size,) = struct.unpack_from(">I", body)
        with self._changed:
            end = self._end(topic)
            if "at" in query and int(query["at"]) != end:
                conn.respond(412, json.dumps({"end": end}).encode())
                return True
            offset = self.append(topic, body[4 : 4 + size])
        if self.loses_appends:
            conn.reset()
            return False
        conn.respond(
            200, json.dumps({"offset": offset, "end": offset + 1}).encode()
        )
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
                remaining_s = until_s - time.monotonic()
                if (
                    start < first
                    or first + len(rows) > start
                    or remaining_s <= 0
                ):
                    break
                self.waiting += 1
                self._changed.wait(remaining_s)
                self.waiting -= 1
            found = rows[start - first :] if start >= first else None
            end = first + len(rows)
        if found is None:
            conn.respond(410, json.dumps({"first": first}).encode())
            return True
        body = struct.pack(">QQ", end, first)
        for record in found:
            body += struct.pack(">I", len(record)) + record
        conn.respond(200, body)
        return True

    def _newest(self, conn, query) -> bool:
        topic = query["topic"]
        with self._changed:
            items = []
            for key, (value, offset) in self._keyed.get(topic, {}).items():
                text = base64.b64encode(value).decode()
                items.append({"key": key, "value": text, "offset": offset})
            end = self._end(topic)
        page = {"items": items, "has_more": False, "end": end}
        conn.respond(200, json.dumps(page).encode())
        return True
