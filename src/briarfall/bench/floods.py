"""Floods one of two targets' answers and measures what other callers get.

One gateway process, its store, targets and callers on loopback. A plain service
and a pool of engines have two targets each, of which one floods; another
service has one sound target. All callers send at the pace of the calm run.
"""

import contextlib
import http.client
import pathlib
import tempfile
import threading
import time

import msgspec

from briarfall import exceptions
from briarfall import strictheads
from briarfall.bench import measure
from briarfall.gateway import clocks
from briarfall.gateway.exchanges import targetconnection
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import testbed
from briarfall.standins.prepared.faultsoak import processes

# Places in which an answer can go on without end.
PLACES = [
    row for row in registeredtarget.Fault if row in registeredtarget.ENDLESS
]
_TIMEOUT_MS = 4500
# Time after which a caller gives a request up.
_PATIENCE_S = 5.0
_STREAM_DEADLINE_MS = 20_000
_EVENTS = 20
_LOOK_UP_CALLERS = 24
_STREAM_CALLERS = 24
_SOUND_CALLERS = 8
_PAUSE_S = 0.25
_WARM_UP_S = 1.0
# Longest time for which the cost of reading is measured.
_READ_S = 1.0
_MB = 1e6


class Sent(msgspec.Struct):
    """One request, as its caller saw it."""

    kind: str
    id: str
    sent_s: float
    took_s: float = 0.0
    is_served: bool = False


class FloodRow(msgspec.Struct):
    """What callers got while one place was flooded.

    Attributes:
        place: Place of the answer, or `calm`.
        look_ups: Served share of the look-ups of the flooded service.
        aside: The same of those that did not reach the flooding target.
        sound: Served share of look-ups of another service.
        p99_ms: 99th percentile of the served look-ups of the flooded service.
        sound_p99_ms: The same of the other service.
        streams: Share of streams that arrived whole.
        flood_mb: Megabytes that the targets sent, of which the kernel kept a
            part.
        cpu_s: Processor seconds of the gateway.
        read_ms_per_mb: Processor milliseconds for reading a megabyte of it,
            unpaced, up to the bound of the place.
        peak_mb: Most resident memory of the gateway.
    """

    place: str
    look_ups: float
    aside: float
    sound: float
    p99_ms: float
    sound_p99_ms: float
    streams: float
    flood_mb: float
    cpu_s: float
    read_ms_per_mb: float
    peak_mb: float


class _Callers:
    """Callers of one gateway, until they are stopped."""

    def __init__(self, address: tuple[str, int]):
        self._address = address
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []
        self.rows: list[Sent] = []

    def start(self) -> None:
        """Starts the callers of all kinds."""
        for kind, count in (
            ("views", _LOOK_UP_CALLERS),
            ("others", _SOUND_CALLERS),
            ("drafts", _STREAM_CALLERS),
        ):
            for number in range(count):
                thread = threading.Thread(
                    target=self._run, args=(kind, number), daemon=True
                )
                self._threads.append(thread)
                thread.start()

    def stop(self) -> None:
        """Ends the callers after their last request."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(_STREAM_DEADLINE_MS / 1000)

    def _run(self, kind: str, number: int) -> None:
        conn = None
        count = 0
        self._stopping.wait(_PAUSE_S * number / _LOOK_UP_CALLERS)
        while not self._stopping.wait(_PAUSE_S):
            count += 1
            row = Sent(kind, f"{kind}-{number}-{count}", time.monotonic())
            conn = self.send(row, conn)
            with self._lock:
                self.rows.append(row)
        if conn is not None:
            conn.close()

    def send(self, row: Sent, conn=None):
        """Sends a request; returns the connection if it can be used again."""
        is_stream = row.kind == "drafts"
        if conn is None:
            conn = strictheads.StrictConnection(
                *self._address, timeout=_PATIENCE_S
            )
        fields = {
            "Host": testbed.HOST,
            "X-Request-Id": row.id,
            "X-Api-Key": testbed.KEY,
            "X-Deadline-Ms": str(
                _STREAM_DEADLINE_MS if is_stream else _TIMEOUT_MS
            ),
        }
        try:
            conn.request(
                "POST" if is_stream else "GET",
                f"/{row.kind}/{row.id}",
                headers=fields,
            )
            answer = conn.getresponse()
            body = _read(answer, row.sent_s + _PATIENCE_S, is_stream)
        except (OSError, http.client.HTTPException):
            conn.close()
            conn = None
        else:
            row.is_served = answer.status == 200
            if is_stream:
                expected = list(range(1, _EVENTS + 1))
                row.is_served = testbed.event_ids(body) == expected
        row.took_s = time.monotonic() - row.sent_s
        return conn


def _read(answer, until_s: float, is_stream: bool) -> bytes:
    """Returns a body; a look-up that has no end in time is given up."""
    body = bytearray()
    while True:
        data = answer.read1(65_536)
        if not data:
            if answer.length:
                raise http.client.IncompleteRead(bytes(body))
            answer.close()
            return bytes(body)
        body += data
        if not is_stream and time.monotonic() > until_s:
            raise TimeoutError("the body has no end")


class _Scene:
    """A gateway process with its store and targets."""

    def __init__(self, world: testbed.World, folder: pathlib.Path):
        self._world = world
        routes = testbed.manifest(1)["routes"]
        others = {**routes[1], "name": "others", "path_prefix": "/others/"}
        others["service"] = "other"
        for route in (*routes[:2], others):
            route["timeout_ms"] = _TIMEOUT_MS
        world.publish(testbed.manifest(2, routes=[*routes, others]))
        self.desks = [world.service(f"d{number}") for number in range(2)]
        world.service("o0", "other")
        self.engines = [
            world.engine(f"e{number}", kind="large") for number in range(2)
        ]
        for engine in self.engines:
            engine.events = _EVENTS
        self.gateway = processes.GatewayProcess(
            "i0", "z1", world.store.address, folder
        )
        world.on_close(self.gateway.close)
        self.gateway.start()

    @property
    def flooding(self):
        """The targets that flood."""
        return self.desks[0], self.engines[0]

    def wait(self) -> None:
        """Waits until requests of all kinds are served by all targets."""
        callers = _Callers(self.gateway.front)

        def is_served():
            for kind in ("views", "others", "drafts"):
                row = Sent(kind, f"w-{time.monotonic_ns()}", time.monotonic())
                conn = callers.send(row)
                if conn is not None:
                    conn.close()
                if not row.is_served:
                    return False
            return all(row.arrivals for row in (*self.desks, *self.engines))

        testbed.until(is_served, "all kinds are served")


class _Load(msgspec.Struct):
    rows: list[Sent]
    flooded_ids: set[str]
    flood_mb: float
    cpu_s: float
    peak_mb: float


def _play(place: registeredtarget.Fault, seconds: float) -> _Load:
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        world = stack.enter_context(testbed.world())
        scene = _Scene(world, pathlib.Path(folder))
        scene.wait()
        pid = scene.gateway.pid
        callers = _Callers(scene.gateway.front)
        callers.start()
        time.sleep(_WARM_UP_S)
        start_s = time.monotonic()
        start_cpu_s = measure.process_cpu_s(pid)
        for target in scene.flooding:
            target.fault = place
        peak = 0
        while time.monotonic() < start_s + seconds:
            peak = max(peak, measure.process_resident_bytes(pid))
            time.sleep(0.1)
        cpu_s = measure.process_cpu_s(pid) - start_cpu_s
        flood_bytes = sum(row.sent_bytes for row in scene.flooding)
        end_s = time.monotonic()
        callers.stop()
        rows = [row for row in callers.rows if start_s <= row.sent_s < end_s]
        ids = set()
        if place is not registeredtarget.Fault.NONE:
            ids = {row.request_id for row in scene.desks[0].arrivals}
        return _Load(rows, ids, flood_bytes / _MB, cpu_s, peak / _MB)


def _share(rows: list[Sent]) -> float:
    served = sum(row.is_served for row in rows)
    return round(served / max(1, len(rows)), 4)


def _p99_ms(rows: list[Sent]) -> float:
    took = [row.took_s for row in rows if row.is_served]
    return round(measure.quantiles(took).p99 * 1000, 1)


class _CountingSocket:
    """A socket that counts the bytes that were received."""

    def __init__(self, sock):
        self._sock = sock
        self.received = 0

    def recv(self, *args):
        """Receives as the socket does."""
        data = self._sock.recv(*args)
        self.received += len(data)
        return data

    def __getattr__(self, name):
        return getattr(self._sock, name)


def _read_ms_per_mb(place: registeredtarget.Fault) -> float:
    """Returns the processor time for reading a megabyte of a flood."""
    with testbed.world() as world:
        desk = world.service("d0")
        desk.fault = place
        conn = targetconnection.TargetConnection(desk.address, 1.0)
        conn.sock = counted = _CountingSocket(conn.sock)
        conn.watch(None)
        until_s = clocks.boot_s() + _READ_S
        fields = [(b"Host", b"x"), (b"X-Request-Id", b"r1")]
        conn.send(b"GET", b"/views/x", fields, b"", until_s)
        start_s = time.thread_time()
        with contextlib.suppress(exceptions.BriarfallError):
            conn.read_head(until_s)
            while clocks.boot_s() < until_s:
                conn.read_event(until_s)
        used_s = time.thread_time() - start_s
        conn.close()
        return used_s * 1000 / (counted.received / _MB)


def _row_of(name: str, load: _Load, read_ms_per_mb: float) -> FloodRow:
    by_kind: dict[str, list[Sent]] = {}
    for row in load.rows:
        by_kind.setdefault(row.kind, []).append(row)
    views = by_kind.get("views", [])
    sound = by_kind.get("others", [])
    return FloodRow(
        place=name,
        look_ups=_share(views),
        aside=_share([row for row in views if row.id not in load.flooded_ids]),
        sound=_share(sound),
        p99_ms=_p99_ms(views),
        sound_p99_ms=_p99_ms(sound),
        streams=_share(by_kind.get("drafts", [])),
        flood_mb=round(load.flood_mb, 2),
        cpu_s=round(load.cpu_s, 2),
        read_ms_per_mb=round(read_ms_per_mb, 1),
        peak_mb=round(load.peak_mb, 1),
    )


def run(seconds: float, places: list[str]) -> dict:
    """Floods in each place; returns a row for each, after that of a calm run.

    Args:
        seconds: Duration of each flood.
        places: Places to flood; all of them if empty.
    """
    calm = _play(registeredtarget.Fault.NONE, seconds)
    rows = [_row_of("calm", calm, 0.0)]
    for place in PLACES:
        if places and place.value not in places:
            continue
        load = _play(place, seconds)
        rows.append(_row_of(place.value, load, _read_ms_per_mb(place)))
    return {
        "machine": measure.machine(),
        "seconds": seconds,
        "rows": [msgspec.to_builtins(row) for row in rows],
    }
