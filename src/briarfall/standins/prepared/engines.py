"""Stand-ins of engines that hold a range of layers each."""

import json
import re
import threading

from briarfall.standins.prepared import manifests
from briarfall.standins.prepared import rawhttp
from briarfall.standins.prepared import registeredtarget

_STEP_S = 0.004
_HOLD_S = 10.0
_EVENT_NUMBER = re.compile("[0-9]{1,18}")


class EngineStandin(registeredtarget.RegisteredTarget):
    """An engine; the head of a chain generates the events of its streams.

    Attributes:
        fleet: All engines by address, to find the engines of a chain.
        kind: Kind of accelerator.
        layers: First layer and the layer after the last one, or None.
        is_unresponsive: Whether chains that use it stall.
        refuses_unresponsive: Whether it refuses new requests whose chain has
            an unresponsive engine, and names that engine.
        reset_after_event: Number of the event after which the head resets
            its stream, or 0.
        first_event: Number of the first event.
        resets_mid_event: Whether such a reset comes in the middle of an event.
        crashes_as_head: Whether it crashes when it runs a request as the head
            of a chain.
        crashes_as_stage: Whether it crashes when it runs a request as a later
            stage of a chain.
        crash_part: Id of a part of a prompt; the engine crashes when it begins
            to answer a request with it as the head of a chain.
        crash_after_event: Number of the event after which the head crashes, or
            0.
        answers_without_length: Whether its new streams have neither a length
            nor chunks and end with their connections, also when it crashes.
        ran_as_stage: Ids of requests that it ran as a later stage.
        on_event: Set, by number of the stream's event, when that event has been
            sent.
        resume_events: Waited for, by number of the stream's event, after that
            event has been sent and before the stream goes on.
        generated_events: Request id, event number and path of each event.
    """

    def __init__(
        self,
        platform,
        target_id,
        fleet,
        *,
        zone="z1",
        kind="small",
        host=rawhttp.HOST,
    ):
        self.fleet = fleet
        self.kind = kind
        self.layers: tuple[int, int] | None = None
        self.fence = 0
        self.commands: list[dict] = []
        self.loses_command_responses = False
        self.is_unresponsive = False
        self.refuses_unresponsive = False
        self.first_event = 1
        self.reset_after_event = 0
        self.resets_mid_event = False
        self.crashes_as_head = False
        self.crashes_as_stage = False
        self.crash_part = ""
        self.crash_after_event = 0
        self.answers_without_length = False
        self.ran_as_stage: list[str] = []
        self.events = 12
        self.paths: dict[str, list[tuple[str, int, int]]] = {}
        self.generated_events: list[tuple[str, int, str]] = []
        self.on_event: dict[int, threading.Event] = {}
        self.resume_events: dict[int, threading.Event] = {}
        super().__init__(platform, target_id, "pool", zone, host)
        fleet[self.address] = self
        self.register()

    def register(self, **extra) -> None:
        """Writes the entry, with its layers, to the store."""
        layers = None
        if self.layers is not None:
            layers = {"from": self.layers[0], "target": self.layers[1]}
        super().register(kind=self.kind, layers=layers, **extra)

    def restart(self) -> None:
        """Restarts the engine without layers."""
        self.layers = None
        self.fence = 0
        super().restart()

    def become_unresponsive(self) -> None:
        """Stalls all chains that use it and refuses connections."""
        self.is_unresponsive = True
        self._close_servers()

    def handle(self, conn, req) -> bool:
        """Handles commands, report requests and streams."""
        if req.path == "/v1/order":
            return self._handle_command(conn, json.loads(req.body))
        if req.path == "/v1/report":
            return self._handle_report(conn)
        expected = req.headers.get("x-expect-instance", self.id)
        if (
            expected != self.id
            or self.fault is registeredtarget.Fault.MISDIRECTED
        ):
            conn.respond(421, headers=self.misdirected_headers(req))
            return True
        return self._handle_stream(conn, req)

    def _handle_command(self, conn, command: dict) -> bool:
        with self.lock:
            self.commands.append(command)
        if command["op"] == "repath":
            return self._handle_repath(
                conn, command["id"], _parse_path(command["path"])
            )
        if command.get("fence", 0) < self.fence:
            conn.respond(412)
            return True
        self.fence = command.get("fence", 0)
        self.layers = (command["from"], command["target"])
        self.register()
        if self.loses_command_responses:
            conn.reset()
            return False
        conn.respond(202)
        return True

    def _handle_repath(self, conn, request_id: str, path) -> bool:
        if request_id not in self.paths:
            conn.respond(404)
            return True
        missing = self._find_unresponsive(path)
        if missing:
            conn.respond(409, json.dumps({"address": missing}).encode())
            return True
        self.paths[request_id] = path
        conn.respond(200)
        self._run_stages(request_id, path)
        return True

    def _run_stages(self, request_id: str, path) -> None:
        for address, _, _ in path:
            engine = self.fleet[address]
            if engine is not self:
                engine.run_as_stage(request_id)

    def run_as_stage(self, request_id: str) -> None:
        """Runs its layers for a request whose head is another engine."""
        with self.lock:
            if request_id in self.ran_as_stage:
                return
            self.ran_as_stage.append(request_id)
        if self.crashes_as_stage:
            self.become_unresponsive()

    def _handle_report(self, conn) -> bool:
        stalled = []
        for request_id, path in list(self.paths.items()):
            fault = self._find_unresponsive(path)
            if fault:
                stalled.append({"id": request_id, "address": fault})
        body = {"busy": False, "seq": len(self.commands), "stalled": stalled}
        conn.respond(200, json.dumps(body).encode())
        return True

    def _find_unresponsive(self, path) -> str:
        for address, _, _ in path:
            engine = self.fleet.get(address)
            if engine is None or engine.is_unresponsive:
                return address
        return ""

    def _handle_stream(self, conn, req) -> bool:
        request_id = req.headers["x-request-id"]
        self.record_arrival(req)
        path = _parse_path(req.headers["x-hop-count"])
        echo = {"X-Request-Id": request_id, "X-Response-Signature": self.id}
        if self.fault is registeredtarget.Fault.REFUSE:
            extra = {"X-Not-Executed": "1", "At-Server": self.address}
            signal = self.signal_headers(503, request_id)
            conn.respond(503, headers={**echo, **signal, **extra})
            return True
        if self.exchange.refuses(conn):
            refused = {
                "X-Not-Executed": "1",
                "X-Response-Signature": self.id,
                "At-Server": self.address,
            }
            self.exchange.refuse(conn, refused, {"X-Request-Id": request_id})
            return True
        echo.update(self.signal_headers(200, request_id))
        for address, first, end in path:
            engine = self.fleet[address]
            held = engine.layers or (0, 0)
            if not held[0] <= first < end <= held[1]:
                extra = {"X-Request-Id": request_id, "At-Server": address}
                conn.respond(421, headers=extra)
                return True
        unresponsive = (
            self._find_unresponsive(path) if self.refuses_unresponsive else ""
        )
        if unresponsive:
            extra = {"X-Not-Executed": "1", "At-Server": unresponsive}
            conn.respond(503, headers={**echo, **extra})
            return True
        self.record_run(req)
        if self.exchange.resets_after_run(conn):
            return False
        if self.fault in registeredtarget.ENDLESS:
            self.send_endless(conn, req)
            return False
        if self.crashes_as_head:
            self.close()
            conn.reset()
            return False
        last = req.headers.get("last-event-id")
        if last is not None and not _EVENT_NUMBER.fullmatch(last):
            conn.respond(400, b"no event number", echo)
            return True
        self.paths[request_id] = path
        self._run_stages(request_id, path)
        self.exchange.before_answer(conn)
        if self.answers_without_length:
            conn.send_open_head(echo)
        else:
            conn.send_chunked_head(echo)
        if self.crash_part and self.crash_part in _part_ids(req):
            return self._crash(conn)
        start = self.first_event - 1 if last is None else int(last)
        try:
            return self._generate_events(conn, request_id, path, start)
        finally:
            self.paths.pop(request_id, None)

    def _generate_events(self, conn, request_id: str, path, start: int) -> bool:
        for number in range(start + 1, self.events + 1):
            # A repath command may have changed the path. A run that the gateway
            # has abandoned keeps its old path.
            while self._find_unresponsive(self.paths.get(request_id, path)):
                if self.closing.wait(_STEP_S):
                    conn.reset()
                    return False
            self.closing.wait(_STEP_S)
            path = self.paths.get(request_id, path)
            self._wait_for_stages(path)
            text = ",".join(f"{a}={f}-{e}" for a, f, e in path)
            with self.lock:
                self.generated_events.append((request_id, number, text))
            event = b"id: %d\ndata: token %d\n\n" % (number, number)
            if self.reset_after_event and number > self.reset_after_event:
                if self.resets_mid_event:
                    conn.send_part(event[:5])
                conn.reset()
                return False
            conn.send_part(event)
            if self.crash_after_event and number == self.crash_after_event:
                return self._crash(conn)
            sent = self.on_event.get(number)
            if sent is not None:
                sent.set()
            resume = self.resume_events.get(number)
            if resume is not None:
                resume.wait(_HOLD_S)
        if not conn.has_chunks:
            conn.end()
            return False
        conn.send_chunk(b"")
        return True

    def _wait_for_stages(self, path) -> None:
        """Waits while an engine of a chain is silent."""
        for address, _, _ in path:
            engine = self.fleet.get(address)
            if engine is not None:
                engine.silence.wait()

    def _crash(self, conn) -> bool:
        """Crashes while it answers a request as the head."""
        # A probe that follows the end of the answer has to find it crashed.
        self.server.stop_listening()
        if not conn.has_chunks:
            conn.end()
        self.close()
        if conn.has_chunks:
            conn.reset()
        return False


def runs_all_layers(path: str) -> bool:
    """Whether a recorded path runs each layer once and in order."""
    next_layer = 0
    for _, first, end in _parse_path(path):
        if first != next_layer:
            return False
        next_layer = end
    return next_layer == manifests.ENGINE["layers"]


def _part_ids(req) -> list[str]:
    """Returns the ids of the parts of a request's prompt."""
    value = req.headers.get("x-prefix-hash", "")
    return [part.partition(":")[0] for part in value.split(",")]


def _parse_path(header: str) -> list[tuple[str, int, int]]:
    rows = []
    for row in header.split(","):
        address, _, layers = row.partition("=")
        first, _, end = layers.partition("-")
        rows.append((address, int(first), int(end)))
    return rows
