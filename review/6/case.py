"""A stream that the loss of a leaving engine cuts ends as complete."""

import contextlib
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import scene2  # noqa: E402
import streams2  # noqa: E402

ENGINES = 8
STREAMS = 84
PERIOD_S = 0.07
# For this long one answer in so many of half of the engines has no length.
DOSE_S = 5.0
ONE_IN = 20
# The engine closes connections without a request after this time.
IDLE_S = 4
NOTICE_AT_S = 8.0
# A reclaimed engine is gone this long after its notice.
GONE_AFTER_S = 2.0
LENGTH_S = 25.0


class Engine(streams2.Engine):
    """An engine of which some answers have no length.

    They end with their connection.
    """

    IDLE_S = IDLE_S

    def __init__(self, *args):
        self.state = "ready"
        self.open_ended = 0
        super().__init__(*args)

    def entry(self) -> dict:
        """Returns its entry."""
        return {**super().entry(), "state": self.state}

    def leave(self) -> None:
        """Reports that it is draining."""
        self.state = "draining"
        self.register()
        self.scene.record.add(f"{self.id} is draining")

    def echo(self, req) -> dict[str, str]:
        """Returns the headers of each of its answers to a request."""
        headers = super().echo(req)
        if self.state == "draining":
            headers["Server-Leaving"] = "1"
        return headers

    def _run_stream(self, sock, req) -> bool:
        if self.layers != (0, streams2.LAYERS) or not DOSE.takes(self):
            return super()._run_stream(sock, req)
        start = int(req.headers.get("last-event-id", "0"))
        self.scene.record.add(
            f"{self.id} runs {req.id} after event {start}, without a length"
        )
        lines = ["HTTP/1.1 200 OK", "Connection: close"]
        lines.append("Content-Type: text/event-stream")
        lines += [f"{name}: {value}" for name, value in self.echo(req).items()]
        sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
        self.open_ended += 1
        for number in range(start + 1, streams2.EVENTS + 1):
            if self.has_ended.wait(streams2.EVENT_S):
                self.scene.record.add(
                    f"{self.id} is gone, {req.id} was after event {number - 1}"
                )
                return False
            sock.sendall(b"id: %d\ndata: token %d\n\n" % (number, number))
        return False


class Dose:
    """Which answers have no length: one in twenty, at half of the engines.

    Attributes:
        answers: Answers of these engines in the time of the disruption.
        open_ended: Those without a length.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self.engines: set[str] = set()
        self.until_s = 0.0
        self.answers = 0
        self.open_ended = 0

    def takes(self, engine: Engine) -> bool:
        """Whether the next answer of an engine has no length."""
        with self._lock:
            if engine.id not in self.engines:
                return False
            if engine.scene.record.now_s() > self.until_s:
                return False
            self.answers += 1
            if self.answers % ONE_IN:
                return False
            self.open_ended += 1
            return True


DOSE = Dose()


def case() -> int:
    """Plays the case; returns its result."""
    scene = scene2.Scene(FOLDER)
    with contextlib.closing(scene):
        fleet, instances = streams2.begin(
            scene, ENGINES, lambda _: None, engine=Engine
        )
        DOSE.engines = {row.id for row in fleet.rows[: ENGINES // 2]}
        DOSE.until_s = DOSE_S
        answers = []

        def ask(number: int):
            own = f"a{number:x}"
            instance = instances[number % 2]
            body = f"survey {own}".encode()
            parts = ["5c1e07a2", own]
            answers.append(streams2.ask(scene, instance, "draft", body, parts))

        for number in range(STREAMS):
            threading.Thread(target=ask, args=(number,), daemon=True).start()
            time.sleep(PERIOD_S)
        time.sleep(max(0.0, NOTICE_AT_S - scene.record.now_s()))
        leaving = max(fleet.rows, key=lambda row: row.open_ended)
        leaving.leave()
        time.sleep(GONE_AFTER_S)
        if scene2.has_trouble():
            scene.record.add(f"{leaving.id} is reclaimed")
            leaving.crash()
        time.sleep(LENGTH_S - NOTICE_AT_S - GONE_AFTER_S)
        return _judge(scene, answers)


def _judge(scene, answers) -> int:
    record = scene.record
    record.conclude(
        f"answers of half of the engines in {DOSE_S:.0f} s: {DOSE.answers}, "
        f"without a length {DOSE.open_ended}"
    )
    if not DOSE.open_ended:
        raise scene2.CaseError("no answer came without a length")
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
