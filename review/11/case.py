"""A reset cuts an answer without a length, and the caller gets it as whole."""

import itertools
import pathlib
import socket
import struct
import threading
import time

import scene3

_ENGINES = 3
# Time for which answers are spoilt, in seconds.
_WINDOW_S = 5.5
# Answers of the engine that breaks one off: one of 50, and one of 20 without a
# length.
_MIN_ANSWERS = 50
_CALLERS = 6
_PAUSE_S = 0.02
_LONG_PAUSE_S = 0.1
# Within the 4,194,304 bytes of the manifest, and more than the system takes
# for a target that has not read it yet.
_LONG_BYTES = 4_150_000
_FIRST_PART = b"first part of the answer;" * 40
_SECOND_PART = b"second part of the answer;" * 40
_BREAK_S = 0.3
_RECEIVE_BUFFER_BYTES = 16_384
_RESET = struct.pack("ii", 1, 0)


class Desk:
    """A plain service.

    One of them answers one long request before it has read its body, without a
    length. With the disruption it breaks that answer off by a reset.
    """

    # Id of the request whose answer is broken off, once there is one.
    special: str = ""

    def __init__(self, scene: scene3.Scene, target_id: str, breaks_off: bool):
        self._scene = scene
        self.id = target_id
        self._breaks_off = breaks_off
        self._lock = threading.Lock()
        self._beats = 0
        self.answers = 0
        self._listener = socket.socket()
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(64)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.register()
        threading.Thread(target=self._accept, daemon=True).start()

    def register(self) -> None:
        """Writes its entry to the store."""
        self._beats += 1
        entry = {
            "service": "desk",
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": self._beats,
            "born": 1,
        }
        self._scene.store.put("keyed.servers", self.id, entry)

    def close(self) -> None:
        """Stops listening."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        rest = b""
        try:
            while True:
                while b"\r\n\r\n" not in rest:
                    data = sock.recv(4096)
                    if not data:
                        return
                    rest += data
                head, _, rest = rest.partition(b"\r\n\r\n")
                fields = _fields(head)
                if self._is_special(fields):
                    self._answer_early(sock, fields, rest)
                    return
                rest = self._answer(sock, fields, rest)
        except OSError as exc:
            self._scene.record(f"{self.id}: connection ended: {exc}")
        finally:
            sock.close()

    def _is_special(self, fields: dict[str, str]) -> bool:
        is_long = int(fields.get("content-length", "0")) >= _LONG_BYTES
        with self._lock:
            if not self._breaks_off or Desk.special or not is_long:
                return False
            if self.answers < _MIN_ANSWERS:
                return False
            Desk.special = fields["x-request-id"]
            return True

    def _answer(
        self, sock: socket.socket, fields: dict[str, str], rest: bytes
    ) -> bytes:
        """Answers after the body; returns the bytes after it."""
        length = int(fields.get("content-length", "0"))
        size = len(rest)
        while size < length:
            data = sock.recv(65_536)
            if not data:
                raise ConnectionError("closed within a body")
            size += len(data)
        body = _FIRST_PART + _SECOND_PART
        lines = [*_head(fields), f"Content-Length: {len(body)}", "", ""]
        sock.sendall("\r\n".join(lines).encode() + body)
        with self._lock:
            self.answers += 1
        return b""

    def _answer_early(
        self, sock: socket.socket, fields: dict[str, str], rest: bytes
    ) -> None:
        request_id = fields["x-request-id"]
        self._scene.record(
            f"{self.id}: runs {request_id}, answers early without a length, "
            f"after {self.answers} other answers"
        )
        lines = [*_head(fields), "Connection: close", "", ""]
        sock.sendall("\r\n".join(lines).encode() + _FIRST_PART)
        time.sleep(_BREAK_S)
        if scene3.HAS_TROUBLE:
            self._scene.record(f"{self.id}: breaks {request_id} off by a reset")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            return
        left = int(fields["content-length"]) - len(rest)
        while left > 0:
            data = sock.recv(65_536)
            if not data:
                return
            left -= len(data)
        sock.sendall(_SECOND_PART)
        sock.shutdown(socket.SHUT_WR)
        self._scene.record(f"{self.id}: has answered {request_id}")
        sock.recv(1)


def _fields(head: bytes) -> dict[str, str]:
    fields = {}
    for line in head.decode("latin-1").split("\r\n")[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return fields


def _head(fields: dict[str, str]) -> tuple[str, ...]:
    request_id = fields.get("x-request-id", "")
    return (
        "HTTP/1.1 200 OK",
        f"X-Request-Id: {request_id}",
        f"X-Response-Signature: sig-{request_id}",
    )


def _call_often(
    scene: scene3.Scene,
    instance: scene3.Instance,
    name: str,
    ends: threading.Event,
    answers: dict[str, scene3.Answer],
) -> None:
    """Sends orders until the end; those of the caller `long` are long."""
    is_long = name == "long"
    for number in itertools.count():
        if ends.wait(_LONG_PAUSE_S if is_long else _PAUSE_S):
            return
        request_id = f"{name}-{number}"
        answers[request_id] = scene.call(
            instance,
            f"/orders/{request_id}",
            request_id,
            method="POST",
            body=b"x" * (_LONG_BYTES if is_long else 600),
        )


def play(scene: scene3.Scene) -> bool:
    """Sends orders; returns whether the cut answer passed as whole."""
    orders = scene3.route("orders", "/orders/", "mutating", "desk")
    scene.publish(scene3.manifest(1, [orders], [scene3.KEY]))
    for number in range(_ENGINES):
        desk = Desk(scene, f"desk-{number}", breaks_off=number == 0)
        scene.targets.append(desk)
    instance = scene.start("edge-1")
    instance.wait_ready()
    time.sleep(1.0)
    ends = threading.Event()
    answers: dict[str, scene3.Answer] = {}
    names = ["long", *(f"small{number}" for number in range(_CALLERS))]
    threads = []
    for name in names:
        thread = threading.Thread(
            target=_call_often,
            args=(scene, instance, name, ends, answers),
            daemon=True,
        )
        thread.start()
        threads.append(thread)
    time.sleep(_WINDOW_S)
    ends.set()
    for thread in threads:
        thread.join()
    whole = _FIRST_PART + _SECOND_PART
    found = answers.get(Desk.special)
    others = [row for name, row in answers.items() if name != Desk.special]
    others_whole = sum(row.body == whole for row in others)
    scene.record(f"others: {others_whole} of {len(others)} answers whole")
    if found is None or others_whole < len(others):
        raise scene3.CouldNotRunError("no answer was cut, or others failed")
    looks_whole = found.status == 200 and found.is_complete
    scene.record(
        f"{Desk.special}: status {found.status}, {len(found.body)} of "
        f"{len(whole)} bytes, looks complete: {looks_whole}"
    )
    if not scene3.HAS_TROUBLE and found.body != whole:
        raise scene3.CouldNotRunError("cut without the disruption")
    return looks_whole and found.body != whole


if __name__ == "__main__":
    scene3.run(pathlib.Path(__file__).resolve().parent, play)
