"""A reset stream without a length ends for its caller as a complete one."""

import pathlib
import threading
import time

import scene3

from briarfall.standins.prepared import engines
from briarfall.standins.prepared import rawhttp

_STREAMS = 4
_EVENTS = 12
# The first engine falls silent after this event, for about a second.
_SILENT_AFTER = 5
_SILENCE_S = 1.3
# Time for which a full engine holds a request in its queue before it refuses.
_QUEUE_S = 0.5
# Time from the arrival at the full engine to the reset at the first one.
_RESET_AFTER_S = 0.2
_STEP_S = 0.02


class Story:
    """What happens to each stream, over both engines."""

    def __init__(self, scene: scene3.Scene):
        self.scene = scene
        self._lock = threading.Lock()
        self._arrivals: dict[str, int] = {}
        self.first_connection: dict[str, rawhttp.RawConnection] = {}

    def count(self, request_id: str) -> int:
        """Counts an arrival of a stream at any engine; returns its number."""
        with self._lock:
            number = self._arrivals.get(request_id, 0) + 1
            self._arrivals[request_id] = number
            return number

    def reset_first(self, request_id: str) -> None:
        """Resets the connection on which the first run answers."""
        if scene3.HAS_TROUBLE:
            self.scene.record(f"connection of the first run {request_id} reset")
            self.first_connection[request_id].reset()


class Engine(engines.EngineStandin):
    """Holds all layers; what it does with a stream depends on its arrival."""

    story: Story

    def _handle_stream(self, conn, req) -> bool:
        request_id = req.headers["x-request-id"]
        number = self.story.count(request_id)
        last = req.headers.get("last-event-id")
        self.story.scene.record(
            f"{self.id}: arrival {number} of {request_id} last-event-id={last}"
        )
        echo = {"X-Request-Id": request_id, "X-Response-Signature": self.id}
        if number == 1:
            return self._answer_without_length(conn, request_id, echo)
        if number == 2:
            return self._refuse_late(conn, request_id, echo)
        conn.send_chunked_head(echo)
        for event in range(int(last or 0) + 1, _EVENTS + 1):
            conn.send_chunk(_event(event))
            time.sleep(_STEP_S)
        conn.send_chunk(b"")
        self.story.scene.record(f"{self.id}: {request_id} is complete")
        return True

    def _answer_without_length(self, conn, request_id: str, echo) -> bool:
        self.story.first_connection[request_id] = conn
        conn.send_open_head(echo)
        for event in range(1, _EVENTS + 1):
            conn.send(_event(event))
            time.sleep(_STEP_S)
            if event == _SILENT_AFTER:
                self.story.scene.record(f"{self.id}: silent")
                self.silence.shut()
                threading.Timer(_SILENCE_S, self.silence.open).start()
                self.silence.wait()
                self.story.scene.record(f"{self.id}: goes on")
        conn.end()
        self.story.scene.record(f"{self.id}: {request_id} is complete")
        return False

    def _refuse_late(self, conn, request_id: str, echo) -> bool:
        time.sleep(_RESET_AFTER_S)
        self.story.reset_first(request_id)
        time.sleep(_QUEUE_S - _RESET_AFTER_S)
        refused = {"X-Not-Executed": "1", "At-Server": self.address}
        conn.respond(503, b"full", {**echo, **refused})
        self.story.scene.record(f"{self.id}: refuses {request_id}, is full")
        return True


def _event(number: int) -> bytes:
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def play(scene: scene3.Scene) -> bool:
    """Sends streams; returns whether a cut one ended as complete."""
    drafts = scene3.route(
        "drafts",
        "/drafts/",
        "streaming",
        "pool",
        resumable=True,
        gap_aim_ms=200,
    )
    scene.publish(scene3.manifest(1, [drafts], [scene3.KEY]))
    Engine.story = Story(scene)
    fleet = {}
    for name in ("engine-1", "engine-2"):
        scene.targets.append(Engine(scene.store, name, fleet, kind="large"))
    instance = scene.start("edge-1")
    instance.wait_ready()
    until_s = time.monotonic() + 20
    while any(row.layers is None for row in scene.targets):
        if time.monotonic() > until_s:
            raise scene3.CouldNotRunError("engines get no layers")
        time.sleep(0.1)
    scene.record(f"layers: {[row.layers for row in scene.targets]}")
    time.sleep(4.0)
    cut = 0
    whole = 0
    for number in range(_STREAMS):
        answer = scene.call(
            instance,
            f"/drafts/{number}",
            f"s{number}",
            method="POST",
            body=b"prompt",
            headers={"X-Model": "m", "X-Token-Usage": "20,20"},
        )
        found = _event_ids(answer.body)
        scene.record(f"caller: events of s{number}: {found}")
        if answer.status == 200 and answer.is_complete:
            if found == list(range(1, _EVENTS + 1)):
                whole += 1
            else:
                cut += 1
        time.sleep(2.5)
    scene.record(f"whole: {whole}, cut but complete: {cut}, of {_STREAMS}")
    if not scene3.HAS_TROUBLE and whole < _STREAMS:
        raise scene3.CouldNotRunError("a stream fails without the disruption")
    return cut > 0


def _event_ids(body: bytes) -> list[int]:
    found = []
    for line in body.splitlines():
        if line.startswith(b"id: "):
            found.append(int(line[4:]))
    return found


if __name__ == "__main__":
    scene3.run(pathlib.Path(__file__).resolve().parent, play)
