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
# Pause between sends of a request that crashes services.
_POISON_PAUSE_S = 0.6


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
        instance: Name of the instance that it was sent to.
    """

    id: str
    kind: str
    key: str
    sent_s: float
    status: int = 0
    body: bytes = b""
    is_whole: bool = False
    instance: str = ""


class Caller(threading.Thread):
    """Sends requests on kept connections until it is stopped."""

    def __init__(
        self,
        name: str,
        rows: list[processes.GatewayProcess],
        key_of,
        now,
        seed: int,
        path: str = "",
    ):
        super().__init__(name=name, daemon=True)
        self._instances = rows
        self._key_of = key_of
        self._now = now
        self._path = path
        self._kinds = ["views"] if path else ["orders", "views", "drafts"]
        self._pause_s = _POISON_PAUSE_S if path else _PAUSE_S
        self._rng = random.Random(seed)
        self._stopped = threading.Event()
        self._conn: http.client.HTTPConnection | None = None
        self._instance = rows[0]
        self.told: list[Told] = []

    def stop(self) -> None:
        """Ends after the current request."""
        self._stopped.set()

    def run(self) -> None:
        """Sends one request after the other."""
        number = 0
        while not self._stopped.wait(self._pause_s * self._rng.random()):
            number += 1
            kind = self._rng.choice(self._kinds)
            row = Told(
                f"{self.name}-{number}", kind, self._key_of(), self._now()
            )
            self.told.append(row)
            try:
                self._send(row)
            except (OSError, http.client.HTTPException):
                self._drop()
            if self._path:
                self._drop()

    def _drop(self) -> None:
        if self._conn is not None:
            self._conn.close()
        self._conn = None

    def _send(self, row: Told) -> None:
        if self._conn is None:
            self._instance = self._rng.choice(self._instances)
            host, port = self._instance.front
            self._conn = http.client.HTTPConnection(
                host, port, timeout=_TIMEOUT_S
            )
            self._conn.connect()
            self._conn.sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
            )
        row.instance = self._instance.name
        method = "GET" if row.kind == "views" else "POST"
        self._conn.request(
            method,
            f"/{row.kind}/{self._path or row.id}",
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
