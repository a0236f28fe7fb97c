"""A reset stream without a length ends for its caller as a complete one."""

import collections
import copy
import itertools
import pathlib
import threading
import time

import scene3

from briarfall.standins.prepared import engines
from briarfall.standins.prepared import rawhttp

_ENGINES = 3
_CALLERS = 9
# Time for short streams. The one that is broken off follows within the 5 s for
# which answers are spoilt.
_OTHERS_S = 2.4
# Other streams that each engine has answered before: one of 50 is broken off.
_MIN_ANSWERS = 50
_OTHER_EVENTS = 4
# Streams that an engine runs at once; long ones take all of them but one.
_SLOTS = 4
_LONG = "long"
_LONG_EVENTS = 250
_SPECIAL = "special"
_EVENTS = 12
# The first engine falls silent after this event, for about a second.
_SILENT_AFTER = 5
_SILENCE_S = 1.3
# Time for which a full engine holds a request in its queue before it refuses.
_QUEUE_S = 0.2
# Time from the arrival in such a queue to the reset at the first engine.
_RESET_AFTER_S = 0.1
_STEP_S = 0.02
# Clients give a stream up after a gap of this length.
_CLIENT_GAP_S = 2.0


class Story:
    """What happens to the special stream, over all engines."""

    def __init__(self, scene: scene3.Scene):
        self.scene = scene
        self._lock = threading.Lock()
        self.answers: collections.Counter[str] = collections.Counter()
        self.refusals: collections.Counter[str] = collections.Counter()
        self.long_running = 0
        self._first: rawhttp.RawConnection | None = None
        self._is_reset = False

    def begin(self, conn: rawhttp.RawConnection) -> bool:
        """Returns whether this run of the special stream is the first one."""
        with self._lock:
            if self._first is not None:
                return False
            self._first = conn
            return True

    def record_queued(self) -> None:
        """Resets the connection of the first run a little later, once."""
        with self._lock:
            if self._first is None or self._is_reset:
                return
            self._is_reset = True
        if scene3.HAS_TROUBLE:
            threading.Timer(_RESET_AFTER_S, self._reset).start()

    def _reset(self) -> None:
        self.scene.record("connection of the first run is reset")
        self._first.reset()

    def count_answer(self, engine_id: str) -> None:
        """Counts a short stream that an engine has answered."""
        with self._lock:
            self.answers[engine_id] += 1

    def count_refusal(self, engine_id: str) -> None:
        """Counts a stream that a full engine has refused."""
        with self._lock:
            self.refusals[engine_id] += 1

    def count_long(self, change: int) -> None:
        """Counts the long streams that run."""
        with self._lock:
            self.long_running += change


class Engine(engines.EngineStandin):
    """Holds all layers; runs some streams at once, and queues the others."""

    story: Story

    def __init__(self, *args, **kwargs):
        self._free = threading.Semaphore(_SLOTS)
        super().__init__(*args, **kwargs)

    def register(self, **extra) -> None:
        """Writes its entry, with its slots."""
        super().register(slots=_SLOTS, **extra)

    def _handle_stream(self, conn, req) -> bool:
        request_id = req.headers["x-request-id"]
        last = int(req.headers.get("last-event-id", "0"))
        echo = {"X-Request-Id": request_id, "X-Response-Signature": self.id}
        is_special = request_id == _SPECIAL
        if is_special:
            self.story.scene.record(
                f"{self.id}: special stream arrives, last-event-id={last}"
            )
        if not self._free.acquire(blocking=False):
            if is_special:
                self.story.record_queued()
            if not self._free.acquire(timeout=_QUEUE_S):
                return self._refuse(conn, echo, is_special=is_special)
        try:
            return self._run(conn, request_id, echo, last)
        finally:
            self._free.release()

    def _refuse(self, conn, echo, *, is_special: bool) -> bool:
        refused = {"X-Not-Executed": "1", "At-Server": self.address}
        conn.respond(503, b"full", {**echo, **refused})
        self.story.count_refusal(self.id)
        if is_special:
            self.story.scene.record(f"{self.id}: refuses it, is full")
        return True

    def _run(self, conn, request_id: str, echo, last: int) -> bool:
        if request_id == _SPECIAL:
            if self.story.begin(conn):
                return self._answer_without_length(conn, echo)
            self._answer(conn, echo, last, _EVENTS)
            self.story.scene.record(f"{self.id}: special stream is complete")
            return True
        if request_id.startswith(_LONG):
            self.story.count_long(1)
            try:
                self._answer(conn, echo, last, _LONG_EVENTS)
            finally:
                self.story.count_long(-1)
            return True
        self._answer(conn, echo, last, _OTHER_EVENTS)
        self.story.count_answer(self.id)
        return True

    def _answer(self, conn, echo, last: int, events: int) -> None:
        conn.send_chunked_head(echo)
        for event in range(last + 1, events + 1):
            conn.send_chunk(_event(event))
            time.sleep(_STEP_S)
        conn.send_chunk(b"")

    def _answer_without_length(self, conn, echo) -> bool:
        self.story.scene.record(
            f"{self.id}: runs the special stream without a length, after "
            f"{self.story.answers[self.id]} others"
        )
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
        self.story.scene.record(f"{self.id}: special stream is complete")
        return False


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


def _call_long(
    scene: scene3.Scene,
    instance: scene3.Instance,
    request_id: str,
    answers: list[scene3.Answer],
) -> None:
    answers.append(_call(scene, instance, request_id))


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
    manifest = copy.deepcopy(scene3.manifest(1, [drafts], [scene3.KEY]))
    for service in manifest["services"]:
        if "engine" in service:
            service["engine"]["slots"] = _SLOTS
    scene.publish(manifest)
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
    long_answers: list[scene3.Answer] = []
    longs = []
    for number in range(_ENGINES * _SLOTS - 1):
        thread = threading.Thread(
            target=_call_long,
            args=(scene, instance, f"{_LONG}{number}", long_answers),
            daemon=True,
        )
        thread.start()
        longs.append(thread)
    until_s = time.monotonic() + 1.2
    while story.long_running < len(longs):
        if time.monotonic() > until_s:
            raise scene3.CouldNotRunError("not all long streams run")
        time.sleep(0.01)
    scene.record(f"{len(longs)} of {_ENGINES * _SLOTS} slots are taken")
    sent_s = time.monotonic()
    answer = _call(scene, instance, _SPECIAL)
    took_s = time.monotonic() - sent_s
    found = _event_ids(answer)
    is_whole = found == list(range(1, _EVENTS + 1))
    # A client would have left after a longer gap.
    is_patient = took_s <= _CLIENT_GAP_S
    ends_as_complete = (
        answer.status == 200 and answer.is_complete and is_patient
    )
    scene.record(
        f"caller: events {found}, complete: {ends_as_complete}, after "
        f"{took_s:.2f} s"
    )
    for thread in longs:
        thread.join()
    long_ids = list(range(1, _LONG_EVENTS + 1))
    whole = sum(_event_ids(row) == long_ids for row in long_answers)
    scene.record(
        f"long streams whole: {whole} of {len(longs)}; refused as full: "
        f"{dict(story.refusals)}"
    )
    if not scene3.HAS_TROUBLE and not (ends_as_complete and is_whole):
        raise scene3.CouldNotRunError("cut without the disruption")
    return ends_as_complete and not is_whole


if __name__ == "__main__":
    scene3.run(pathlib.Path(__file__).resolve().parent, play)
