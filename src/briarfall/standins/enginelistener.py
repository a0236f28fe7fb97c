"""HTTP listener of one engine stand-in."""

import queue
import threading

import msgspec

from briarfall import exceptions
from briarfall import httpserver
from briarfall.adapters import engine as engines
from briarfall.standins import engine
from briarfall.standins import heldport

_STALL_POLL_S = 0.05
_STALL_POLLS = 200
_ACTION_DELAY_S = 0.01
END = None


class EngineListener:
    """Serves the HTTP calls of one engine."""

    def __init__(self, fleet, eng: engine.Engine):
        self._fleet = fleet
        self._engine = eng
        self._open_streams: dict[
            int, tuple[engine.Sequence, queue.SimpleQueue]
        ] = {}
        self._closing = threading.Event()
        self._port = 0
        self.server = self._new_server()
        self._port = self.server.address[1]
        self._held_port: heldport.HeldPort | None = None

    def _new_server(self) -> httpserver.HttpServer:
        routes = httpserver.Router()
        routes.add("POST", "/generate", self._handle_generate)
        routes.add("POST", "/cancel/{stream}", self._handle_cancel)
        routes.add("GET", "/load", self._handle_load)
        routes.add("GET", "/events", self._handle_events)
        routes.add("POST", "/orders", self._handle_command)
        routes.add("GET", "/state", self._handle_state)
        routes.add("PUT", "/control/state", self._handle_control)
        return httpserver.HttpServer(
            "127.0.0.1", self._port, routes.handle, name=self._engine.spec.id
        )

    @property
    def url(self) -> str:
        """The base URL of the engine."""
        return f"http://127.0.0.1:{self._port}"

    def start(self) -> None:
        """Starts listening."""
        self.server.start()
        self._port = self.server.address[1]

    def cut(self) -> None:
        """Resets all connections and stops listening, as in a crash."""
        server = self.server
        server.abort()
        self._held_port = heldport.HeldPort(server.address)
        self.end_streams()
        threading.Thread(target=server.stop, daemon=True).start()

    def reopen(self) -> None:
        """Listens again at the same address."""
        if self.server.is_aborted:
            self.server = self._new_server()
            self.server.start()
            self._release_port()

    def close(self) -> None:
        """Ends all streams and stops listening."""
        self._closing.set()
        self.end_streams()
        self.server.stop()
        self._release_port()

    def _release_port(self) -> None:
        if self._held_port is not None:
            self._held_port.release()
            self._held_port = None

    def end_streams(self) -> None:
        """Ends the responses of all streams without a final event."""
        with self._fleet.timeline.lock:
            for sequence, out in self._open_streams.values():
                sequence.cancelled = True
                out.put(END)

    def sequences(self) -> list[engine.Sequence]:
        """Returns the sequences whose first engine is this one."""
        return [sequence for sequence, _ in self._open_streams.values()]

    def cancel(self, stream: str, attempt: int) -> None:
        """Cancels a stream's attempts up to `attempt` that started here."""
        for sequence, out in self._open_streams.values():
            call = sequence.call
            if call.stream != stream or call.attempt > attempt:
                continue
            sequence.cancelled = True
            out.put(END)

    def _handle_generate(self, req: httpserver.Request):
        self._wait_while_stalled()
        call = _decode(req.body, engines.GenerateCall)
        for hop in call.route:
            eng = self._fleet.engines.get(hop.target)
            if eng is None:
                raise exceptions.BadRequestError(f"no engine {hop.target}")
            if not eng.spec.start <= hop.start < hop.end <= eng.spec.end:
                raise exceptions.BadRequestError(
                    f"{hop.target} does not hold [{hop.start}, {hop.end})"
                )
        out: queue.SimpleQueue = queue.SimpleQueue()
        if call.resume_index > 0 and not self._engine.restore_texts(call):
            out.put(engines.TokenBatch(error="unknown_stream"))
            out.put(END)
        sequence = engine.Sequence(call, out.put)
        with self._fleet.timeline.lock:
            if self._closing.is_set():
                raise exceptions.NotReadyError("the engine stops")
            self._open_streams[id(sequence)] = (sequence, out)
        if out.empty():
            self._fleet.start_sequence(sequence)
        headers = [("Content-Type", "text/event-stream")]
        return httpserver.Response(200, self._stream(sequence, out), headers)

    def _stream(self, sequence: engine.Sequence, out: queue.SimpleQueue):
        encode = msgspec.json.encode
        try:
            while True:
                batch = out.get()
                if batch is END:
                    return
                batches = [batch]
                while not out.empty():
                    batches.append(out.get())
                ended = END in batches
                yield b"".join(
                    b"data: %b\n\n" % encode(item)
                    for item in batches
                    if item is not END
                )
                if ended:
                    return
        finally:
            with self._fleet.timeline.lock:
                sequence.cancelled = True
                self._open_streams.pop(id(sequence), None)

    def _handle_cancel(self, req: httpserver.Request):
        attempt = int(req.query.get("attempt", "1"))
        self._fleet.cancel(req.params["stream"], attempt)
        return httpserver.json_response({})

    def _handle_load(self, req: httpserver.Request):
        self._wait_while_stalled()
        with self._fleet.timeline.lock:
            return httpserver.json_response(self._engine.load())

    def _handle_events(self, req: httpserver.Request):
        since = int(req.query.get("since", "0"))
        with self._fleet.timeline.lock:
            return httpserver.json_response(self._engine.events(since))

    def _handle_command(self, req: httpserver.Request):
        command = _decode(req.body, engines.EngineCommand)
        with self._fleet.timeline.lock:
            return httpserver.json_response(self._engine.apply_command(command))

    def _handle_state(self, req: httpserver.Request):
        with self._fleet.timeline.lock:
            return httpserver.json_response(self._engine.deployed)

    def _handle_control(self, req: httpserver.Request):
        control = _decode(req.body, Control)
        target = self._engine.spec.id
        with self._fleet.timeline.lock:
            if control.crash_on is not None:
                self._engine.crash_on = control.crash_on
            if control.leaving is not None:
                self._engine.draining = control.leaving
            if control.slow_factor is not None:
                self._engine.slow_factor = control.slow_factor
        actions = {
            "": lambda name: None,
            "kill": self._fleet.kill,
            "stall": self._fleet.stall,
            "revive": self._fleet.revive,
        }
        if control.action not in actions:
            raise exceptions.BadRequestError(f"no action {control.action!r}")
        # The response must be sent before the listener is closed.
        threading.Timer(
            _ACTION_DELAY_S, actions[control.action], [target]
        ).start()
        return httpserver.json_response(control)

    def _wait_while_stalled(self) -> None:
        for _ in range(_STALL_POLLS):
            if self._engine.state is not engine.State.STALLED:
                return
            if self._closing.wait(_STALL_POLL_S):
                return


class Control(msgspec.Struct):
    """Faults to inject into an engine.

    Attributes:
        action: `kill`, `stall`, `revive`, or empty.
        crash_on: The engine crashes on a prompt that contains this text.
        leaving: Whether the load report says that the engine is draining.
        slow_factor: Factor on the duration of each batch step.
    """

    action: str = ""
    crash_on: str | None = None
    leaving: bool | None = None
    slow_factor: float | None = None


def _decode(data: bytes, kind):
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.DecodeError as exc:
        raise exceptions.BadRequestError(str(exc)) from exc
