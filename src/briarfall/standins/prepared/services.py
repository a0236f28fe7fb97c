"""Stand-ins of plain services and of engines that hold layers."""

import enum
import json
import threading
import time

import msgspec

from briarfall.standins.prepared import manifests
from briarfall.standins.prepared import rawhttp
from briarfall.standins.prepared import store

_TARGETS = "keyed.servers"
_STEP_S = 0.004
_HOLD_S = 10.0


class Fault(enum.Enum):
    """What a service does with requests."""

    NONE = "none"
    REFUSE = "refuse"
    FAIL = "fail"
    RESET_AFTER_RUN = "reset_after_run"
    CUT_BODY = "cut_body"
    HANG = "hang"
    GARBAGE = "garbage"
    EXTRA_ANSWER = "extra_answer"
    MISDIRECTED = "misdirected"
    ENDLESS_GARBAGE = "endless_garbage"
    ENDLESS_HEAD = "endless_head"
    ENDLESS_INTERIM = "endless_interim"
    ENDLESS_FAILURE = "endless_failure"
    CRASH = "crash"
    CRASH_AND_RESTART = "crash_and_restart"


# What comes first, and then again and again until the connection is closed.
_ENDLESS = {
    Fault.ENDLESS_GARBAGE: (b"", b"\x00\x01\xff" * 5000),
    Fault.ENDLESS_HEAD: (
        b"HTTP/1.1 200 OK\r\n",
        b"X-Part: %s\r\n" % (b"a" * 900),
    ),
    Fault.ENDLESS_INTERIM: (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 100),
    Fault.ENDLESS_FAILURE: (
        b"HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"1000\r\n" + b"a" * 4096 + b"\r\n",
    ),
}


class RanRequest(msgspec.Struct, frozen=True):
    """A line of a service's ledger."""

    request_id: str
    method: str
    target: str
    body: bytes
    headers: dict[str, str]


class Arrival(msgspec.Struct, frozen=True):
    """A request that reached a target."""

    time_s: float
    request_id: str
    born: int = 1


class Notice(msgspec.Struct, frozen=True):
    """What an answer said of its target.

    Attributes:
        time_s: When it was sent.
        request_id: The request that was answered.
        is_leaving: Whether the target takes no new requests.
        quiet_s: How long it wants no requests.
        born: Lifetime of the target.
    """

    time_s: float
    request_id: str
    is_leaving: bool
    quiet_s: float
    born: int = 1


def _seconds(value: str) -> float:
    try:
        return float(value)
    except ValueError:
        return 0.0


class _Registered:
    """A target with an entry on the store."""

    def __init__(
        self,
        platform: store.StoreStandin,
        target_id: str,
        service: str,
        zone: str,
    ):
        self._platform = platform
        self.id = target_id
        self.service = service
        self.zone = zone
        self.beat = 0
        self.born = 1
        self.state = "ready"
        self.fault = Fault.NONE
        self.says_leaving = False
        # Value of Retry-After in refusals, or empty.
        self.retry_after = ""
        # Requests whose path ends so crash it.
        self.crash_marker = ""
        self.crashed_s: list[float] = []
        self.arrivals: list[Arrival] = []
        self.notices: list[Notice] = []
        self.sent_bytes = 0
        self.lock = threading.Lock()
        self.ran: list[RanRequest] = []
        self.released = threading.Event()
        self.server = rawhttp.RawServer(self.handle)
        self.address = self.server.address

    def handle(self, conn, req) -> bool:
        """Serves one request."""
        raise NotImplementedError

    def register(self, **extra) -> None:
        """Writes the entry."""
        self.beat += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self.beat,
            "born": self.born,
            **extra,
        }
        self._platform.put(_TARGETS, self.id, entry)

    def leave(self) -> None:
        """Reports that it leaves."""
        self.state = "draining"
        self.register()

    def remove(self) -> None:
        """Removes the entry."""
        self._platform.drop(_TARGETS, self.id)

    def close(self) -> None:
        """Ends it like a crash."""
        self.released.set()
        self.server.close()

    def send_endless(self, conn: rawhttp.RawConnection) -> None:
        """Sends what its fault says until the connection is closed."""
        first, again = _ENDLESS[self.fault]
        try:
            conn.send(first)
            while not self.released.is_set():
                conn.send(again)
                self.sent_bytes += len(again)
        except OSError:
            return

    def restart(self) -> None:
        """Starts it again after a crash, as a new lifetime of the same id."""
        self.released.clear()
        self.born += 1
        self.server.reopen()
        self.register()

    def note(self, req: rawhttp.RawRequest) -> None:
        """Writes the ledger."""
        row = RanRequest(
            req.headers.get("x-request-id", ""),
            req.method,
            req.target,
            req.body,
            req.headers,
        )
        with self.lock:
            self.ran.append(row)

    def note_arrival(self, req: rawhttp.RawRequest) -> None:
        """Writes down a request, whatever becomes of it."""
        request_id = req.headers.get("x-request-id", "")
        with self.lock:
            self.arrivals.append(
                Arrival(time.monotonic(), request_id, self.born)
            )

    def notice_headers(self, status: int, request_id: str) -> dict[str, str]:
        """Returns what an answer says of the target, and writes it down."""
        headers = {}
        quiet_s = 0.0
        if self.says_leaving:
            headers["Server-Leaving"] = "1"
        if self.retry_after and status == 503:
            headers["Retry-After"] = self.retry_after
            quiet_s = _seconds(self.retry_after)
        if headers:
            with self.lock:
                self.notices.append(
                    Notice(
                        time.monotonic(),
                        request_id,
                        self.says_leaving,
                        quiet_s,
                        self.born,
                    )
                )
        return headers

    def arrivals_in_quiet(self, grace_s: float) -> list[str]:
        """Returns the requests that came while it wanted none.

        Args:
            grace_s: Time after the answer in which more may come.
        """
        found = []
        for row in self.arrivals:
            for notice in self.notices:
                after_s = row.time_s - notice.time_s
                if grace_s < after_s < notice.quiet_s:
                    found.append(row.request_id)
                    break
        return found

    def ran_ids(self) -> list[str]:
        """Returns the ids of requests that ran."""
        with self.lock:
            return [row.request_id for row in self.ran]


class ServiceStandin(_Registered):
    """A plain service that echoes the body.

    Attributes:
        work_s: Time that a request takes.
        places: Requests that run at once; more are refused. None bounds
            nothing.
    """

    def __init__(self, platform, target_id, service="desk", zone="z1"):
        super().__init__(platform, target_id, service, zone)
        self.work_s = 0.0
        self.places: threading.Semaphore | None = None
        self.register()

    def handle(self, conn, req) -> bool:
        """Runs a request and answers as the fault says."""
        request_id = req.headers.get("x-request-id", "")
        self.note_arrival(req)
        echo = {"X-Request-Id": request_id, "X-Response-Signature": self.id}
        expected = req.headers.get("x-expect-instance", self.id)
        if expected != self.id or self.fault is Fault.MISDIRECTED:
            conn.answer(421, headers={"X-Instance-Id": self.id})
            return True
        if self.fault is Fault.REFUSE or not self._take_place():
            notice = self.notice_headers(503, request_id)
            conn.answer(503, b"full", {**echo, **notice, "X-Not-Executed": "1"})
            return True
        echo.update(self.notice_headers(200, request_id))
        try:
            return self._serve(conn, req, echo)
        finally:
            if self.places is not None:
                self.places.release()

    def _take_place(self) -> bool:
        return self.places is None or self.places.acquire(blocking=False)

    def _serve(self, conn, req, echo: dict[str, str]) -> bool:
        self.note(req)
        if self.work_s:
            self.released.wait(self.work_s)
        is_marked = self.crash_marker and req.path.endswith(self.crash_marker)
        if is_marked or self.fault in (Fault.CRASH, Fault.CRASH_AND_RESTART):
            self.crashed_s.append(time.monotonic())
            self.close()
            if self.fault is Fault.CRASH_AND_RESTART:
                self.restart()
            conn.reset()
            return False
        body = b"ran:" + req.body
        if self.fault is Fault.FAIL:
            conn.answer(500, b"failed", echo)
            return True
        if self.fault is Fault.RESET_AFTER_RUN:
            conn.reset()
            return False
        if self.fault is Fault.HANG:
            self.released.wait(_HOLD_S)
            return False
        if self.fault in _ENDLESS:
            self.send_endless(conn)
            return False
        if self.fault is Fault.GARBAGE:
            conn.send(b"\x00\x01 no response\r\n\r\n")
            return False
        whole = rawhttp.response(200, body, echo)
        if self.fault is Fault.CUT_BODY:
            conn.send(whole[:-2])
            return False
        if req.method == "HEAD":
            whole = whole[: -len(body)]
        conn.send(whole)
        if self.fault is Fault.EXTRA_ANSWER:
            conn.send(whole)
        return True


class EngineStandin(_Registered):
    """An engine with layers; the first of a chain makes the events.

    Attributes:
        fleet: All engines by address, to walk a chain.
        kind: Kind of accelerator.
        layers: First layer and the end, or None.
        is_dark: Whether chains over it stand still.
        breaks_after: Event after which the head resets its stream, or 0.
        first_event: Number of the first event.
        is_torn: Whether such a reset comes in the middle of an event.
        crashes: Whether it dies as soon as it runs a request as the first.
        crashes_as_part: Whether it dies as soon as it runs a request as
            another part of a chain.
        ran_as_part: Ids of requests that ran it as such a part.
        on_event: Set when the event of a number has been sent.
        holds: Waited for after the event of a number.
    """

    def __init__(self, platform, target_id, fleet, *, zone="z1", kind="small"):
        self.fleet = fleet
        self.kind = kind
        self.layers: tuple[int, int] | None = None
        self.fence = 0
        self.orders: list[dict] = []
        self.loses_orders = False
        self.is_dark = False
        self.first_event = 1
        self.breaks_after = 0
        self.is_torn = False
        self.crashes = False
        self.crashes_as_part = False
        self.ran_as_part: list[str] = []
        self.events = 12
        self.paths: dict[str, list[tuple[str, int, int]]] = {}
        self.made: list[tuple[str, int, str]] = []
        self.on_event: dict[int, threading.Event] = {}
        self.holds: dict[int, threading.Event] = {}
        super().__init__(platform, target_id, "pool", zone)
        fleet[self.address] = self
        self.register()

    def register(self, **extra) -> None:
        """Writes the entry with its layers."""
        layers = None
        if self.layers is not None:
            layers = {"from": self.layers[0], "target": self.layers[1]}
        super().register(kind=self.kind, layers=layers, **extra)

    def restart(self) -> None:
        """Starts it again, without layers."""
        self.layers = None
        self.fence = 0
        super().restart()

    def go_dark(self) -> None:
        """Falls silent: chains stand still, connections are refused."""
        self.is_dark = True
        self.server.close()

    def handle(self, conn, req) -> bool:
        """Serves orders, reports and streams."""
        if req.path == "/v1/order":
            return self._order(conn, json.loads(req.body))
        if req.path == "/v1/report":
            return self._report(conn)
        expected = req.headers.get("x-expect-instance", self.id)
        if expected != self.id or self.fault is Fault.MISDIRECTED:
            conn.answer(421, headers={"X-Instance-Id": self.id})
            return True
        return self._stream(conn, req)

    def _order(self, conn, order: dict) -> bool:
        with self.lock:
            self.orders.append(order)
        if order["op"] == "repath":
            return self._change_path(conn, order["id"], _parse(order["path"]))
        if order.get("fence", 0) < self.fence:
            conn.answer(412)
            return True
        self.fence = order.get("fence", 0)
        self.layers = (order["from"], order["target"])
        self.register()
        if self.loses_orders:
            conn.reset()
            return False
        conn.answer(202)
        return True

    def _change_path(self, conn, request_id: str, path) -> bool:
        if request_id not in self.paths:
            conn.answer(404)
            return True
        missing = self._fault_on(path)
        if missing:
            conn.answer(409, json.dumps({"address": missing}).encode())
            return True
        self.paths[request_id] = path
        conn.answer(200)
        self._run_parts(request_id, path)
        return True

    def _run_parts(self, request_id: str, path) -> None:
        for address, _, _ in path:
            engine = self.fleet[address]
            if engine is not self:
                engine.run_as_part(request_id)

    def run_as_part(self, request_id: str) -> None:
        """Runs its layers for a request of another engine."""
        with self.lock:
            if request_id in self.ran_as_part:
                return
            self.ran_as_part.append(request_id)
        if self.crashes_as_part:
            self.go_dark()

    def _report(self, conn) -> bool:
        stalled = []
        for request_id, path in list(self.paths.items()):
            fault = self._fault_on(path)
            if fault:
                stalled.append({"id": request_id, "address": fault})
        body = {"busy": False, "seq": len(self.orders), "stalled": stalled}
        conn.answer(200, json.dumps(body).encode())
        return True

    def _fault_on(self, path) -> str:
        for address, _, _ in path:
            engine = self.fleet.get(address)
            if engine is None or engine.is_dark:
                return address
        return ""

    def _stream(self, conn, req) -> bool:
        request_id = req.headers["x-request-id"]
        self.note_arrival(req)
        path = _parse(req.headers["x-hop-count"])
        echo = {"X-Request-Id": request_id, "X-Response-Signature": self.id}
        if self.fault is Fault.REFUSE:
            extra = {"X-Not-Executed": "1", "At-Server": self.address}
            notice = self.notice_headers(503, request_id)
            conn.answer(503, headers={**echo, **notice, **extra})
            return True
        echo.update(self.notice_headers(200, request_id))
        for address, first, end in path:
            engine = self.fleet[address]
            held = engine.layers or (0, 0)
            if not held[0] <= first < end <= held[1]:
                conn.answer(421, headers={"At-Server": address})
                return True
        self.note(req)
        if self.fault in _ENDLESS:
            self.send_endless(conn)
            return False
        if self.crashes:
            self.close()
            conn.reset()
            return False
        self.paths[request_id] = path
        self._run_parts(request_id, path)
        conn.begin_chunks(echo)
        last = req.headers.get("last-event-id", str(self.first_event - 1))
        start = int(last)
        try:
            return self._make_events(conn, request_id, path, start)
        finally:
            self.paths.pop(request_id, None)

    def _make_events(self, conn, request_id: str, path, start: int) -> bool:
        for number in range(start + 1, self.events + 1):
            # An order may have changed the path; a run that the caller's side
            # has given up goes on as it was.
            while self._fault_on(self.paths.get(request_id, path)):
                if self.released.wait(_STEP_S):
                    conn.reset()
                    return False
            self.released.wait(_STEP_S)
            path = self.paths.get(request_id, path)
            text = ",".join(f"{a}={f}-{e}" for a, f, e in path)
            with self.lock:
                self.made.append((request_id, number, text))
            event = b"id: %d\ndata: token %d\n\n" % (number, number)
            if self.breaks_after and number > self.breaks_after:
                if self.is_torn:
                    conn.chunk(event[:5])
                conn.reset()
                return False
            conn.chunk(event)
            mark = self.on_event.get(number)
            if mark is not None:
                mark.set()
            hold = self.holds.get(number)
            if hold is not None:
                hold.wait(_HOLD_S)
        conn.chunk(b"")
        return True


def runs_all_layers(path: str) -> bool:
    """Whether a path of an engine's ledger runs each layer once, in order."""
    edge = 0
    for _, first, end in _parse(path):
        if first != edge:
            return False
        edge = end
    return edge == manifests.ENGINE["layers"]


def _parse(header: str) -> list[tuple[str, int, int]]:
    rows = []
    for row in header.split(","):
        address, _, layers = row.partition("=")
        first, _, end = layers.partition("-")
        rows.append((address, int(first), int(end)))
    return rows
