"""Callers that send requests that may run once, over raw connections."""

import random
import select
import socket
import threading
import time

import msgspec

from briarfall.standins.prepared.faultsoak import callers
from briarfall.standins.prepared.faultsoak import processes

_RECEIVE_BYTES = 65_536
_TIMEOUT_S = 6.0
_MAX_PAUSE_S = 0.04
_MAX_PIPELINED = 3
_DEADLINES_MS = (60, 150, 400, 1500, 4000)
_END_OF_HEAD = b"\r\n\r\n"


class OnceOutcome(msgspec.Struct):
    """What a caller saw of one request.

    Attributes:
        id: Request id.
        status: HTTP status, or 0 if there was no response.
        body: Body of the response.
        was_reset: Whether its connection was reset before a byte of the
            response, while nothing else was sent over it. The gateway had not
            read the request then.
        has_left: Whether the caller closed the connection without waiting.
    """

    id: str
    status: int = 0
    body: bytes = b""
    was_reset: bool = False
    has_left: bool = False


class _ConnectionEndedError(Exception):
    """The gateway has closed the connection."""


class OnceCaller(threading.Thread):
    """Sends orders over kept connections, one or several at once.

    Args:
        name: Beginning of the ids.
        rows: The gateway instances.
        path: First segment of the path.
        seed: Determines what it sends.
    """

    def __init__(
        self,
        name: str,
        rows: list[processes.GatewayProcess],
        path: str,
        seed: int,
    ):
        super().__init__(name=name, daemon=True)
        self._instances = rows
        self._path = path
        self._rng = random.Random(seed)
        self._stopped = threading.Event()
        self._sock: socket.socket | None = None
        self._rest = b""
        self.outcomes: list[OnceOutcome] = []

    def stop(self) -> None:
        """Stops the caller after the current requests."""
        self._stopped.set()

    def run(self) -> None:
        """Sends requests until it is stopped."""
        number = 0
        while not self._stopped.wait(_MAX_PAUSE_S * self._rng.random()):
            count = 1
            if self._rng.random() < 0.2:
                count = self._rng.randint(2, _MAX_PIPELINED)
            batch = []
            for _ in range(count):
                number += 1
                batch.append(OnceOutcome(f"{self.name}-{number}"))
            self.outcomes.extend(batch)
            self._send_batch(batch)
        self._close()

    def _send_batch(self, batch: list[OnceOutcome]) -> None:
        try:
            self._send(b"".join(self._encode(row) for row in batch))
            if self._rng.random() < 0.03:
                for row in batch:
                    row.has_left = True
                self._close()
                return
            for row in batch:
                self._read_response(row)
        except _ConnectionEndedError:
            self._close()
        except OSError as exc:
            is_reset = isinstance(exc, ConnectionError)
            batch[0].was_reset = (
                is_reset and len(batch) == 1 and not batch[0].status
            )
            self._close()

    def _send(self, data: bytes) -> None:
        if self._sock is None:
            row = self._rng.choice(self._instances)
            self._sock = socket.create_connection(row.front, _TIMEOUT_S)
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._rng.random() < 0.1:
            cut = self._rng.randint(1, len(data) - 1)
            self._sock.sendall(data[:cut])
            time.sleep(_MAX_PAUSE_S)
            data = data[cut:]
        self._sock.sendall(data)

    def _encode(self, row: OnceOutcome) -> bytes:
        body = row.id.encode()
        lines = [
            f"POST /{self._path}/{row.id} HTTP/1.1",
            f"Host: {callers.HOST}",
            f"X-Request-Id: {row.id}",
            "X-Api-Key: stable",
            f"X-Deadline-Ms: {self._rng.choice(_DEADLINES_MS)}",
            "X-Token-Usage: 20,20",
            f"Content-Length: {len(body)}",
        ]
        return "\r\n".join(lines).encode() + _END_OF_HEAD + body

    def _read_response(self, row: OnceOutcome) -> None:
        while _END_OF_HEAD not in self._rest:
            self._receive()
        head, _, self._rest = self._rest.partition(_END_OF_HEAD)
        lines = head.decode("latin-1").split("\r\n")
        row.status = int(lines[0].split(" ")[1])
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        if "content-length" not in headers:
            # A stream in chunks; only whether it ran is checked.
            while not self._rest.endswith(b"0\r\n\r\n"):
                self._receive()
            self._rest = b""
            return
        size = int(headers["content-length"])
        while len(self._rest) < size:
            self._receive()
        row.body, self._rest = self._rest[:size], self._rest[size:]
        if headers.get("connection", "").lower() == "close":
            raise _ConnectionEndedError

    def _receive(self) -> None:
        poller = select.poll()
        poller.register(self._sock, select.POLLIN)
        if not poller.poll(_TIMEOUT_S * 1000):
            raise TimeoutError
        data = self._sock.recv(_RECEIVE_BYTES)
        if not data:
            raise _ConnectionEndedError
        self._rest += data

    def _close(self) -> None:
        if self._sock is not None:
            self._sock.close()
        self._sock = None
        self._rest = b""
