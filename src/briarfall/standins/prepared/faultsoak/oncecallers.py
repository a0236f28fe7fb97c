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
# Statuses that promise that the request has not run and never will.
PROMISES = (408, 421, 429, 503)
_MAX_ATTEMPTS = 4
# Wait before an attempt that follows an unread request, or a refusal that names
# no time.
_DEFAULT_WAIT_S = 0.02
# Share of the time left that a caller waits at most.
_MAX_WAIT_SHARE = 1 / 3


class OnceOutcome(msgspec.Struct):
    """What a caller saw of one attempt to send an order.

    Attributes:
        id: Request id, which each attempt has of its own.
        status: HTTP status, or 0 if there was no response.
        body: Body of the response.
        was_reset: Whether its connection was reset before a byte of the
            response, while nothing else was sent over it. The gateway had not
            read the request then.
        has_left: Whether the caller closed the connection without waiting.
        has_ended: Whether its connection was closed before a byte of the
            response.
        order: The order, the same for all its attempts.
        path: First segment of its path, the name of its route.
        instance: Name of the instance that it was sent to.
        deadline_s: When the caller gives up, by the monotonic clock.
        sent_s: When it was sent, by the same clock.
        ended_s: When the caller had its response or gave up.
        retry_after_s: Time that the response asked to wait.
    """

    id: str
    status: int = 0
    body: bytes = b""
    was_reset: bool = False
    has_left: bool = False
    has_ended: bool = False
    order: str = ""
    path: str = "orders"
    instance: str = ""
    deadline_s: float = 0.0
    sent_s: float = 0.0
    ended_s: float = 0.0
    retry_after_s: float = 0.0

    @property
    def may_be_sent_again(self) -> bool:
        """Whether the pages let the caller send the order once more."""
        return self.status in PROMISES or self.was_reset


class _ConnectionEndedError(Exception):
    """The gateway has closed the connection."""


class OnceCaller(threading.Thread):
    """Sends orders over kept connections, one or several at once.

    An order that has surely not run is sent again, with another request id and
    over a new connection.

    Args:
        name: Beginning of the ids.
        rows: The gateway instances.
        paths: First segments of the paths.
        seed: Determines what it sends.
    """

    def __init__(
        self,
        name: str,
        rows: list[processes.GatewayProcess],
        paths: tuple[str, ...],
        seed: int,
    ):
        super().__init__(name=name, daemon=True)
        self._instances = rows
        self._instance = rows[0]
        self._paths = paths
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
                batch.append(self._new_order(f"{self.name}-{number}"))
            self._send_batch(batch)
            for row in batch:
                self._send_again(row)
        self._close()

    def _new_order(self, order: str) -> OnceOutcome:
        deadline_ms = self._rng.choice(_DEADLINES_MS)
        return OnceOutcome(
            order,
            order=order,
            path=self._rng.choice(self._paths),
            deadline_s=time.monotonic() + deadline_ms / 1000,
        )

    def _send_again(self, row: OnceOutcome) -> None:
        """Sends an order as often as the pages allow and its time lasts."""
        for number in range(2, _MAX_ATTEMPTS + 1):
            left_s = row.deadline_s - time.monotonic()
            if not row.may_be_sent_again or left_s <= 0:
                return
            wait_s = row.retry_after_s or _DEFAULT_WAIT_S
            if self._stopped.wait(min(wait_s, left_s * _MAX_WAIT_SHARE)):
                return
            self._close()
            row = OnceOutcome(
                f"{row.order}.{number}",
                order=row.order,
                path=row.path,
                deadline_s=row.deadline_s,
            )
            self._send_batch([row])

    def _send_batch(self, batch: list[OnceOutcome]) -> None:
        self.outcomes.extend(batch)
        for row in batch:
            row.sent_s = time.monotonic()
        self._exchange(batch)
        for row in batch:
            row.instance = self._instance.name
            row.ended_s = time.monotonic()

    def _exchange(self, batch: list[OnceOutcome]) -> None:
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
            for row in batch:
                row.has_ended = not row.status
            self._close()
        except OSError as exc:
            is_reset = isinstance(exc, ConnectionError)
            batch[0].was_reset = (
                is_reset and len(batch) == 1 and not batch[0].status
            )
            self._close()

    def _send(self, data: bytes) -> None:
        if self._sock is None:
            self._instance = self._rng.choice(self._instances)
            self._sock = socket.create_connection(
                self._instance.front, _TIMEOUT_S
            )
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._rng.random() < 0.1:
            cut = self._rng.randint(1, len(data) - 1)
            self._sock.sendall(data[:cut])
            time.sleep(_MAX_PAUSE_S)
            data = data[cut:]
        self._sock.sendall(data)

    def _encode(self, row: OnceOutcome) -> bytes:
        body = row.order.encode()
        left_s = max(0.001, row.deadline_s - time.monotonic())
        lines = [
            f"POST /{row.path}/{row.order} HTTP/1.1",
            f"Host: {callers.HOST}",
            f"X-Request-Id: {row.id}",
            "X-Api-Key: stable",
            f"X-Deadline-Ms: {int(left_s * 1000) or 1}",
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
        row.retry_after_s = float(headers.get("retry-after", 0))
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
