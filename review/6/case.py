"""A stream that the loss of a leaving engine cuts ends as complete."""

import contextlib
import json
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import scene2  # noqa: E402
import streams2  # noqa: E402

ENGINES = 8
CALLERS = 12
# The engine closes connections without a request after this time.
IDLE_S = 4
NOTICE_AT_S = 5.5
# A reclaimed engine is gone this long after its notice.
GONE_AFTER_S = 2.0
LENGTH_S = 25.0


class Engine(streams2.Engine):
    """An engine whose streams have no length and end with the connection."""

    IDLE_S = IDLE_S

    def __init__(self, *args):
        self.state = "ready"
        self.running = 0
        super().__init__(*args)

    def entry(self) -> dict:
        """Returns its entry."""
        return {**super().entry(), "state": self.state}

    def leave(self) -> None:
        """Reports that it is draining."""
        self.state = "draining"
        self.register()
        self.scene.record.add(f"{self.id} is draining")

    def _run_stream(self, sock, req) -> bool:
        if self.layers != (0, streams2.LAYERS):
            headers = {"X-Request-Id": req.id, "At-Server": self.address}
            scene2.send(sock, 421, headers)
            return True
        start = int(req.headers.get("last-event-id", "0"))
        self.scene.record.add(f"{self.id} runs {req.id} after event {start}")
        lines = ["HTTP/1.1 200 OK", "Connection: close"]
        lines.append("Content-Type: text/event-stream")
        if self.state == "draining":
            lines.append("Server-Leaving: 1")
        lines += [f"{name}: {value}" for name, value in self.echo(req).items()]
        sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
        with self.lock:
            self.running += 1
        try:
            for number in range(start + 1, streams2.EVENTS + 1):
                if self.has_ended.wait(streams2.EVENT_S):
                    self.scene.record.add(
                        f"{self.id} is gone, {req.id} was after event "
                        f"{number - 1}"
                    )
                    return False
                sock.sendall(b"id: %d\ndata: token %d\n\n" % (number, number))
            return False
        finally:
            with self.lock:
                self.running -= 1


def _tell_layers(fleet) -> str:
    return json.dumps({row.id: row.layers for row in fleet.rows})


def case() -> int:
    """Plays the case; returns its result."""
    scene = scene2.Scene(FOLDER)
    with contextlib.closing(scene):
        fleet, instances = streams2.begin(
            scene, ENGINES, lambda _: None, engine=Engine
        )
        scene.record.add(f"layers {_tell_layers(fleet)}")
        answers = []

        def ask(number: int):
            turn = 0
            while not scene.stopped.wait(0.3):
                turn += 1
                own = f"{number:x}a{turn:x}"
                instance = instances[(number + turn) % 2]
                body = f"survey {own}".encode()
                parts = ["5c1e07a2", own]
                answers.append(
                    streams2.ask(scene, instance, "draft", body, parts)
                )

        for number in range(CALLERS):
            threading.Thread(target=ask, args=(number,), daemon=True).start()
        time.sleep(NOTICE_AT_S)
        leaving = max(fleet.rows, key=lambda row: row.running)
        leaving.leave()
        time.sleep(GONE_AFTER_S)
        if scene2.has_trouble():
            scene.record.add(f"{leaving.id} is reclaimed")
            leaving.crash()
        time.sleep(LENGTH_S - NOTICE_AT_S - GONE_AFTER_S)
        return _judge(scene, answers)


def _judge(scene, answers) -> int:
    record = scene.record
    good = [row for row in answers if row.status == 200 and row.is_whole]
    cut = [row for row in good if _last_event(row) != streams2.EVENTS]
    record.conclude(
        f"streams: {len(answers)}, ended as complete: {len(good)}, of these "
        f"before the last event: {len(cut)}"
    )
    for row in cut:
        record.conclude(
            f"ended as complete after event {_last_event(row)} of "
            f"{streams2.EVENTS}"
        )
    if len(good) == len(cut):
        raise scene2.CaseError("no stream was served")
    return scene2.BROKEN if cut else scene2.HELD


def _last_event(answer: scene2.Answer) -> int:
    numbers = []
    for line in answer.body.splitlines():
        if line.startswith(b"id: "):
            numbers.append(int(line[4:]))
    return numbers[-1] if numbers else 0


if __name__ == "__main__":
    scene2.run(case)
