"""A reset cuts an answer without a length, and the caller gets it as whole."""

import pathlib
import socket
import struct
import threading
import time

import scene3

_REQUESTS = 5
# Within the 4,194,304 bytes of the manifest, and more than the system takes
# for a target that has not read it yet.
_BODY_BYTES = 4_150_000
_FIRST_PART = b"first part of the answer;" * 40
_SECOND_PART = b"second part of the answer;" * 40
_PAUSE_S = 0.3
_RECEIVE_BUFFER_BYTES = 16_384
_RESET = struct.pack("ii", 1, 0)


class EarlyDesk:
    """A plain service that answers before it has read a long body.

    Its answers have no length and end with their connections. With the
    disruption, the connection is reset after the first part of the answer.
    """

    def __init__(self, scene: scene3.Scene):
        self._scene = scene
        self.id = "desk-1"
        self._beats = 0
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
        received = b""
        try:
            while b"\r\n\r\n" not in received:
                data = sock.recv(4096)
                if not data:
                    return
                received += data
            self._answer(sock, received)
        except OSError as exc:
            self._scene.record(f"target: connection ended: {exc}")
        finally:
            sock.close()

    def _answer(self, sock: socket.socket, received: bytes) -> None:
        head, _, rest = received.partition(b"\r\n\r\n")
        fields = {}
        for line in head.decode("latin-1").split("\r\n")[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        request_id = fields.get("x-request-id", "")
        self._scene.record(f"target: runs {request_id}, answers early")
        lines = (
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {request_id}",
            f"X-Response-Signature: sig-{request_id}",
            "Connection: close",
            "",
            "",
        )
        sock.sendall("\r\n".join(lines).encode() + _FIRST_PART)
        time.sleep(_PAUSE_S)
        if scene3.HAS_TROUBLE:
            self._scene.record(f"target: connection of {request_id} is reset")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            return
        left = int(fields.get("content-length", "0")) - len(rest)
        while left > 0:
            data = sock.recv(65_536)
            if not data:
                return
            left -= len(data)
        sock.sendall(_SECOND_PART)
        sock.shutdown(socket.SHUT_WR)
        sock.recv(1)
        self._scene.record(f"target: whole answer of {request_id} is sent")


def play(scene: scene3.Scene) -> bool:
    """Sends long requests; returns whether a cut answer passed as whole."""
    scene.publish(
        scene3.manifest(
            1,
            [scene3.route("orders", "/orders/", "mutating", "desk")],
            [scene3.KEY],
        )
    )
    scene.targets.append(EarlyDesk(scene))
    instance = scene.start("edge-1")
    instance.wait_ready()
    time.sleep(1.0)
    whole = _FIRST_PART + _SECOND_PART
    cut_as_whole = 0
    whole_answers = 0
    for number in range(_REQUESTS):
        answer = scene.call(
            instance,
            f"/orders/{number}",
            f"r{number}",
            method="POST",
            body=b"x" * _BODY_BYTES,
        )
        if answer.status != 200 or not answer.is_complete:
            continue
        if answer.body == whole:
            whole_answers += 1
        else:
            cut_as_whole += 1
    scene.record(
        f"whole answers: {whole_answers}, cut answers that look complete: "
        f"{cut_as_whole}, of {_REQUESTS}"
    )
    if not scene3.HAS_TROUBLE and whole_answers < _REQUESTS:
        raise scene3.CouldNotRunError("not all answers without the disruption")
    return cut_as_whole > 0


if __name__ == "__main__":
    scene3.run(pathlib.Path(__file__).resolve().parent, play)
