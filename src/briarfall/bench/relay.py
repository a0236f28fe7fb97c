"""Measures the CPU time and latency per token of an instance's relay."""

import random
import socket
import threading
import time
import urllib.parse

import msgspec

from briarfall import httpserver
from briarfall.adapters import engine as engines
from briarfall.bench import measure

_TOKEN_INTERVAL_S = 0.026
_TOKENS = 200
_STREAMS = (10, 40, 80, 160)
_RAMP_S = 1.5
_TARGET_TOKENS_PER_S = 6400.0
_TARGET_REQUESTS_PER_S = 31.0
_TARGET_CORE = 0.5


class Row(msgspec.Struct):
    """Result for one number of streams."""

    streams: int
    tokens_per_s: float
    requests_per_s: float
    core: float
    us_per_token: float
    resident_mb: float
    gap_p50: float
    gap_p95: float
    first_p50: float


class PacedEngine:
    """An engine that emits tokens at a fixed interval with little CPU time."""

    def __init__(self):
        routes = httpserver.Router()
        routes.add("POST", "/generate", self._handle_generate)
        routes.add("POST", "/cancel/{stream}", self._handle_cancel)
        routes.add("GET", "/load", self._handle_load)
        self.server = httpserver.HttpServer(
            "127.0.0.1", 0, routes.handle, name="paced"
        )

    def _handle_cancel(self, req):
        return httpserver.json_response({})

    def _handle_load(self, req):
        return httpserver.json_response(engines.LoadReport(0, 0))

    def _handle_generate(self, req):
        call = msgspec.json.decode(req.body, type=engines.GenerateCall)
        headers = [("Content-Type", "text/event-stream")]
        return httpserver.Response(200, self._stream(call), headers)

    def _stream(self, call):
        layers = [(hop.start, hop.end) for hop in call.route]
        timer = threading.Event()
        due = time.monotonic()
        for index in range(call.max_tokens):
            due += _TOKEN_INTERVAL_S
            timer.wait(max(0.0, due - time.monotonic()))
            finish = "length" if index + 1 == call.max_tokens else ""
            token = engines.Token(index, "word ", call.attempt, layers, finish)
            batch = engines.TokenBatch(tokens=[token])
            yield b"data: %b\n\n" % msgspec.json.encode(batch)


def run(seconds: float, url: str, pid: int) -> dict:
    """Returns the report, with the CPU time per token as a slope.

    Args:
        seconds: Duration of each measurement.
        url: Caller URL of an instance that runs in a process of its own.
        pid: Id of that process.
    """
    idle = _measure_idle(pid, seconds)
    rows = [_measure(streams, seconds, url, pid) for streams in _STREAMS]
    points = [(r.tokens_per_s, r.core) for r in rows]
    base, core_s_per_token = measure.slope(points)
    at_target = base + core_s_per_token * _TARGET_TOKENS_PER_S
    return {
        "command": "make bench-relay",
        "machine": measure.machine(),
        "rows": msgspec.to_builtins(rows),
        "core_idle": round(idle, 4),
        "us_per_token": round(core_s_per_token * 1e6, 1),
        "core_at_6400_tokens_per_s": round(at_target, 3),
        "target_core": _TARGET_CORE,
        "target_requests_per_s": _TARGET_REQUESTS_PER_S,
        "within_target": at_target < _TARGET_CORE,
    }


def _measure_idle(pid: int, seconds: float) -> float:
    before = measure.process_cpu_s(pid)
    time.sleep(seconds)
    return (measure.process_cpu_s(pid) - before) / seconds


def _measure(streams: int, seconds: float, url: str, pid: int) -> Row:
    split_url = urllib.parse.urlsplit(url)
    address = (split_url.hostname, split_url.port)
    stats = _ReaderStats()
    readers = [
        threading.Thread(
            target=_read_streams, args=(address, stats, number), daemon=True
        )
        for number in range(streams)
    ]
    for reader in readers:
        reader.start()
    time.sleep(_RAMP_S)
    stats.start()
    before = measure.process_cpu_s(pid)
    started = time.monotonic()
    time.sleep(seconds)
    wall = time.monotonic() - started
    core = (measure.process_cpu_s(pid) - before) / wall
    stats.stopping.set()
    events, requests = stats.events, stats.requests
    memory = measure.process_resident_bytes(pid)
    for reader in readers:
        reader.join(10)
    gaps = measure.quantiles(stats.gaps_s)
    rate = events / wall
    return Row(
        streams,
        round(rate, 1),
        round(requests / wall, 2),
        round(core, 4),
        round(core / rate * 1e6, 1) if rate else 0.0,
        round(memory / 1e6, 1),
        gaps.p50,
        gaps.p95,
        measure.quantiles(stats.first_events_s).p50,
    )


class _ReaderStats:
    """Statistics of all readers of one measurement."""

    def __init__(self):
        self.stopping = threading.Event()
        self.start()

    def start(self) -> None:
        """Resets the statistics."""
        self.gaps_s: list[float] = []
        self.first_events_s: list[float] = []
        self.events = 0
        self.requests = 0


def _read_streams(address, stats: _ReaderStats, number: int) -> None:
    """Reads streams from a plain socket, which takes little CPU time."""
    rng = random.Random(number)
    while not stats.stopping.is_set():
        body = msgspec.json.encode(
            {
                "model": "draft",
                "prompt": f"note {rng.randrange(1 << 30)}",
                "max_tokens": _TOKENS,
                "stream": True,
            }
        )
        head = (
            f"POST /v1/completions HTTP/1.1\r\nHost: {address[0]}\r\n"
            "Authorization: Bearer tuvatu-key\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        with socket.create_connection(address, timeout=30) as sock:
            sock.sendall(head.encode() + body)
            _read_stream(sock, stats)
        stats.requests += 1


def _read_stream(sock: socket.socket, stats: _ReaderStats) -> None:
    started = last = time.monotonic()
    is_first = True
    while True:
        data = sock.recv(65_536)
        now = time.monotonic()
        if not data or stats.stopping.is_set():
            return
        count = data.count(b"\nid: ") + data.startswith(b"id: ")
        stats.events += count
        if is_first and count:
            stats.first_events_s.append(now - started)
            is_first = False
        elif not is_first:
            stats.gaps_s.append(now - last)
        last = now
