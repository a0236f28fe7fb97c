"""A reset stream without a length ends for its caller as a complete one."""

import collections
import itertools
import pathlib
import threading
import time

import scene3

from briarfall.standins.prepared import engines
from briarfall.standins.prepared import rawhttp

_ENGINES = 3
_CALLERS = 9
# Time for the other streams, before the one that is broken off; both times
# together are below the 5.5 s for which answers are spoilt.
_OTHERS_S = 4.2
# Other streams that each engine has answered before: one of 50 is broken off.
_MIN_ANSWERS = 50
_OTHER_EVENTS = 4
_SPECIAL = "special"
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
    """What happens to the special stream, over all engines."""

    def __init__(self, scene: scene3.Scene):
        self.scene = scene
        self._lock = threading.Lock()
        self._arrivals = 0
        self.answers: collections.Counter[str] = collections.Counter()
        self.first_connection: rawhttp.RawConnection | None = None

    def count(self) -> int:
        """Counts an arrival of the special stream; returns its number."""
        with self._lock:
            self._arrivals += 1
            return self._arrivals

    def record_answer(self, engine_id: str) -> None:
        """Counts another stream that an engine has answered."""
        with self._lock:
            self.answers[engine_id] += 1

    def reset_first(self) -> None:
        """Resets the connection on which the first run answers."""
        if scene3.HAS_TROUBLE:
            self.scene.record("connection of the first run is reset")
            self.first_connection.reset()


class Engine(engines.EngineStandin):
    """Holds all layers; the special stream fares by its arrivals."""

    story: Story

    def _handle_stream(self, conn, req) -> bool:
        request_id = req.headers["x-request-id"]
        last = int(req.headers.get("last-event-id", "0"))
        echo = {"X-Request-Id": request_id, "X-Response-Signature": self.id}
        if request_id != _SPECIAL:
            self._answer(conn, echo, last, _OTHER_EVENTS)
            self.story.record_answer(self.id)
            return True
        number = self.story.count()
        self.story.scene.record(
            f"{self.id}: arrival {number} of the special stream, "
            f"last-event-id={last}, after {self.story.answers[self.id]} others"
        )
        if number == 1:
            return self._answer_without_length(conn, echo)
        if number == 2:
            return self._refuse_late(conn, echo)
        if number <= _ENGINES:
            return self._refuse(conn, echo)
        self._answer(conn, echo, last, _EVENTS)
        self.story.scene.record(f"{self.id}: the special stream is complete")
        return True

    def _answer(self, conn, echo, last: int, events: int) -> None:
        conn.send_chunked_head(echo)
        for event in range(last + 1, events + 1):
            conn.send_chunk(_event(event))
            time.sleep(_STEP_S)
        conn.send_chunk(b"")

    def _answer_without_length(self, conn, echo) -> bool:
        self.story.first_connection = conn
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
        self.story.scene.record(f"{self.id}: the special stream is complete")
        return False

    def _refuse_late(self, conn, echo) -> bool:
        time.sleep(_RESET_AFTER_S)
        self.story.reset_first()
        time.sleep(_QUEUE_S - _RESET_AFTER_S)
        return self._refuse(conn, echo)

    def _refuse(self, conn, echo) -> bool:
        refused = {"X-Not-Executed": "1", "At-Server": self.address}
        conn.respond(503, b"full", {**echo, **refused})
        self.story.scene.record(f"{self.id}: refuses it, is full")
        return True


def _event(number: int) -> bytes:
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def _event_ids(answer: scene3.Answer) -> list[int]:
    found = []
    for line in answer.body.splitlines():
        if line.startswith(b"id: "):
            found.append(int(line[4:]))
    return found


def _call(
    scene: scene3.Scene, instance: scene3.Instance, request_id: str
) -> scene3.Answer:
    return scene.call(
        instance,
        f"/drafts/{request_id}",
        request_id,
        method="POST",
        body=b"prompt",
        headers={"X-Model": "m", "X-Token-Usage": "20,20"},
    )


def _call_often(
    scene: scene3.Scene,
    instance: scene3.Instance,
    name: str,
    ends: threading.Event,
    cut: list[str],
) -> None:
    for number in itertools.count():
        if ends.is_set():
            return
        request_id = f"{name}-{number}"
        answer = _call(scene, instance, request_id)
        if _event_ids(answer) != list(range(1, _OTHER_EVENTS + 1)):
            cut.append(request_id)


def _wait_for_layers(scene: scene3.Scene) -> None:
    until_s = time.monotonic() + 20
    while any(row.layers is None for row in scene.targets):
        if time.monotonic() > until_s:
            raise scene3.CouldNotRunError("engines get no layers")
        time.sleep(0.1)
    scene.record(f"layers: {[row.layers for row in scene.targets]}")
    # The list of engines shows the layers some time later.
    time.sleep(4.0)


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
    story = Story(scene)
    Engine.story = story
    fleet = {}
    for number in range(_ENGINES):
        scene.targets.append(
            Engine(scene.store, f"engine-{number}", fleet, kind="large")
        )
    instance = scene.start("edge-1")
    instance.wait_ready()
    _wait_for_layers(scene)
    ends = threading.Event()
    cut_others: list[str] = []
    threads = []
    for number in range(_CALLERS):
        thread = threading.Thread(
            target=_call_often,
            args=(scene, instance, f"other{number}", ends, cut_others),
            daemon=True,
        )
        thread.start()
        threads.append(thread)
    time.sleep(_OTHERS_S)
    ends.set()
    for thread in threads:
        thread.join()
    scene.record(f"others: answered {dict(story.answers)}, cut {cut_others}")
    if len(story.answers) < _ENGINES or cut_others:
        raise scene3.CouldNotRunError("other streams failed")
    if min(story.answers.values()) < _MIN_ANSWERS:
        raise scene3.CouldNotRunError("an engine has answered too few")
    answer = _call(scene, instance, _SPECIAL)
    found = _event_ids(answer)
    is_whole = found == list(range(1, _EVENTS + 1))
    ends_as_complete = answer.status == 200 and answer.is_complete
    scene.record(f"caller: events {found}, complete: {ends_as_complete}")
    if not scene3.HAS_TROUBLE and not (ends_as_complete and is_whole):
        raise scene3.CouldNotRunError("cut without the disruption")
    return ends_as_complete and not is_whole


if __name__ == "__main__":
    scene3.run(pathlib.Path(__file__).resolve().parent, play)
