"""Callers of the soak, and what each was told."""

import http.client
import random
import socket
import threading

import msgspec

from briarfall.standins.prepared.faultsoak import processes

HOST = "soak.example"
_TIMEOUT_S = 12.0
_PAUSE_S = 0.05


class Told(msgspec.Struct):
    """What a caller was told about one request.

    Attributes:
        id: Request id.
        kind: First part of the path.
        key: Key that was sent.
        sent_s: Time at which it was sent.
        status: Status, or 0 if the connection broke.
        body: Body as far as it arrived.
        is_whole: Whether the body ended as complete.
    """

    id: str
    kind: str
    key: str
    sent_s: float
    status: int = 0
    body: bytes = b""
    is_whole: bool = False


class Caller(threading.Thread):
    """Sends requests on kept connections until it is stopped."""

    def __init__(
        self,
        name: str,
        rows: list[processes.GatewayProcess],
        key_of,
        now,
        seed: int,
    ):
        super().__init__(name=name, daemon=True)
        self._instances = rows
        self._key_of = key_of
        self._now = now
        self._rng = random.Random(seed)
        self._stopped = threading.Event()
        self._conn: http.client.HTTPConnection | None = None
        self.told: list[Told] = []

    def stop(self) -> None:
        """Ends after the current request."""
        self._stopped.set()

    def run(self) -> None:
        """Sends one request after the other."""
        number = 0
        while not self._stopped.wait(_PAUSE_S * self._rng.random()):
            number += 1
            kind = self._rng.choice(["orders", "views", "drafts"])
            row = Told(
                f"{self.name}-{number}", kind, self._key_of(), self._now()
            )
            self.told.append(row)
            try:
                self._send(row)
            except (OSError, http.client.HTTPException):
                self._drop()

    def _drop(self) -> None:
        if self._conn is not None:
            self._conn.close()
        self._conn = None

    def _send(self, row: Told) -> None:
        if self._conn is None:
            host, port = self._rng.choice(self._instances).front
            self._conn = http.client.HTTPConnection(
                host, port, timeout=_TIMEOUT_S
            )
            self._conn.connect()
            self._conn.sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
            )
        method = "GET" if row.kind == "views" else "POST"
        self._conn.request(
            method,
            f"/{row.kind}/{row.id}",
            body=row.id.encode() if method == "POST" else None,
            headers={
                "Host": HOST,
                "X-Request-Id": row.id,
                "X-Api-Key": row.key,
                "X-Deadline-Ms": "10000",
                "X-Token-Usage": "20,20",
            },
        )
        resp = self._conn.getresponse()
        row.status = resp.status
        try:
            row.body = resp.read()
            row.is_whole = True
        except http.client.IncompleteRead as exc:
            row.body = exc.partial
            raise
        if resp.will_close:
            self._drop()
