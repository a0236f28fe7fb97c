"""Stand-in for the platform's append-only log service."""

import threading
import time

import msgspec

from briarfall import exceptions
from briarfall import httpserver
from briarfall.adapters import log
from briarfall.adapters import logepochs
from briarfall.standins import base


class LogCopy(msgspec.Struct, frozen=True):
    """Contents of the log at an earlier time.

    Attributes:
        records: Records by stream.
        first: Offset of the first one, by stream.
    """

    records: dict[str, list[log.LogRecord]]
    first: dict[str, int]


class _Stream:
    """Records of one log stream; `first` is the offset of `records[0]`."""

    def __init__(self, lock: threading.RLock):
        self.changed = threading.Condition(lock)
        self.first = 0
        self.records: list[log.LogRecord] = []

    @property
    def end(self) -> int:
        return self.first + len(self.records)


class LogStandin(base.HttpStandin):
    """Serves log streams from memory over HTTP.

    Args:
        retention_s: Age at which records are dropped, in seconds.
        port: TCP port, or 0 for any free port.

    Attributes:
        on_append: Called with stream and data after an append has taken
            effect and before its response.
        epoch: Epoch in all responses, which rises with each restore.
    """

    def __init__(self, *, retention_s: float = 3600.0, port: int = 0):
        super().__init__("log", port)
        self.retention_s = retention_s
        self.appends = 0
        self.on_append = None
        self.epoch = logepochs.FIRST_EPOCH
        self._streams: dict[str, _Stream] = {}
        self._lock = threading.RLock()
        path = "/streams/{stream}/records"
        self.routes.add("POST", path, self._handle_append)
        self.routes.add("GET", path, self._handle_read)

    def stop(self) -> None:
        """Stops listening and wakes waiting reads."""
        self.fault_injector.set(down=True)
        with self._lock:
            for log_stream in self._streams.values():
                log_stream.changed.notify_all()
        super().stop()

    def put(self, stream: str, data: bytes, time_s: float = 0.0) -> int:
        """Appends a record without going through HTTP."""
        with self._lock:
            log_stream = self._stream(stream)
            offset = log_stream.end
            accepted_s = time_s or time.time()
            log_stream.records.append(log.LogRecord(offset, accepted_s, data))
            self.appends += 1
            log_stream.changed.notify_all()
        return offset

    def records(self, stream: str) -> list[log.LogRecord]:
        """Returns the retained records of a stream."""
        with self._lock:
            log_stream = self._streams.get(stream)
            return list(log_stream.records) if log_stream else []

    def streams(self) -> list[str]:
        """Returns the names of all streams."""
        with self._lock:
            return sorted(self._streams)

    def forget(self, stream: str, before: int) -> None:
        """Drops records below an offset, as retention does."""
        with self._lock:
            log_stream = self._stream(stream)
            drop_count = max(0, min(before, log_stream.end) - log_stream.first)
            del log_stream.records[:drop_count]
            log_stream.first += drop_count

    def snapshot(self) -> LogCopy:
        """Returns a copy of the contents, for a later restore."""
        with self._lock:
            return LogCopy(
                {
                    name: list(row.records)
                    for name, row in self._streams.items()
                },
                {name: row.first for name, row in self._streams.items()},
            )

    def restore(self, copy: LogCopy) -> None:
        """Replaces the contents by an earlier copy, in a new epoch."""
        with self._lock:
            self.epoch += 1
            for name, log_stream in self._streams.items():
                log_stream.records = list(copy.records.get(name, ()))
                log_stream.first = copy.first.get(name, 0)
                log_stream.changed.notify_all()

    def _stream(self, name: str) -> _Stream:
        log_stream = self._streams.get(name)
        if log_stream is None:
            log_stream = _Stream(self._lock)
            self._streams[name] = log_stream
        return log_stream

    def _expire(self, stream: str) -> None:
        oldest_s = time.time() - self.retention_s
        log_stream = self._stream(stream)
        drop_count = 0
        for record in log_stream.records:
            if record.time_s >= oldest_s:
                break
            drop_count += 1
        del log_stream.records[:drop_count]
        log_stream.first += drop_count

    def _handle_append(self, req: httpserver.Request):
        self.fault_injector.before_call()
        with self._lock:
            offset = self.put(req.params["stream"], req.body)
            epoch = self.epoch
        if self.on_append:
            self.on_append(req.params["stream"], req.body)
        self.fault_injector.after_call()
        return _with_epoch(
            httpserver.json_response(log.AppendResult(offset)), epoch
        )

    def _handle_read(self, req: httpserver.Request):
        self.fault_injector.before_call()
        stream = req.params["stream"]
        start = int(req.query.get("from", "0"))
        limit = int(req.query.get("limit", "1000"))
        wait_s = int(req.query.get("wait_ms", "0")) / 1000
        with self._lock:
            self._expire(stream)
            log_stream = self._streams[stream]
            before = self.epoch
            if log_stream.first <= start <= log_stream.end:
                log_stream.changed.wait_for(
                    lambda: (
                        log_stream.end > start
                        or self.fault_injector.faults.down
                        or self.epoch != before
                    ),
                    wait_s,
                )
            epoch = self.epoch
            if not log_stream.first <= start <= log_stream.end:
                return _with_epoch(_gone(log_stream.first), epoch)
            start_index = max(0, start - log_stream.first)
            records = log_stream.records[start_index : start_index + limit]
            batch = log.LogBatch(records, log_stream.first, log_stream.end)
        self.fault_injector.before_call()
        return _with_epoch(httpserver.json_response(batch), epoch)


def _with_epoch(resp: httpserver.Response, epoch: int) -> httpserver.Response:
    resp.headers.append((logepochs.HEADER, str(epoch)))
    return resp


def _gone(first: int) -> httpserver.Response:
    exc = exceptions.LogGapError(f"stream starts at {first}", first)
    resp = httpserver.error_response(exc)
    resp.headers.append(("Log-First", str(first)))
    return resp
