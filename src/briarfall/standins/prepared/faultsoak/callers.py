"""Callers of the soak test and the outcomes of their requests."""

import collections.abc
import http.client
import random
import socket
import threading

import msgspec

from briarfall import strictheads
from briarfall.standins.prepared.faultsoak import processes

USUAL_KINDS = ("orders", "views", "drafts")
HOST = "soak.example"
DEADLINE_MS = 10_000
_TIMEOUT_S = 12.0
_PAUSE_S = 0.05
# Longest pause of the caller that sends the poison request.
_POISON_PAUSE_S = 0.6


PickInstance = collections.abc.Callable[
    [random.Random], processes.GatewayProcess
]


class RequestOutcome(msgspec.Struct):
    """Outcome of one request as its caller saw it.

    Attributes:
        id: Request id.
        kind: First segment of the path.
        key: API key of the request.
        sent_s: When the request was sent, in seconds of the caller's clock.
        ended_s: When its response was complete, or it failed.
        is_sent: Whether it was sent wholly.
        written_s: When its last byte was written.
        opened_s: When its connection was opened.
        is_kept: Whether its connection carried an earlier request.
        has_given_up: Whether its caller closed after waiting in vain.
        status: HTTP status, or 0 if no response arrived.
        body: Body as far as it was received.
        is_complete: Whether the whole body was received.
        instance: Name of the instance that the request was sent to.
        error: What ended it, if not its complete response.
    """

    id: str
    kind: str
    key: str
    sent_s: float
    status: int = 0
    body: bytes = b""
    is_complete: bool = False
    instance: str = ""
    ended_s: float = 0.0
    is_sent: bool = False
    error: str = ""
    written_s: float = 0.0
    opened_s: float = 0.0
    is_kept: bool = False
    has_given_up: bool = False


class Caller(threading.Thread):
    """Sends requests on persistent connections until it is stopped.

    Args:
        name: Its name; the ids of its requests begin with it.
        pick_instance: Returns the instance for a new connection.
        key_of: Returns the key of a request.
        now: Returns the time, in seconds of a monotonic clock.
        seed: Seed of what it draws.
        kinds: Kinds of the requests that it sends.
        path: Path of all its requests after the kind; if empty, each has a
            path of its own.
    """

    def __init__(
        self,
        name: str,
        pick_instance: PickInstance,
        key_of: collections.abc.Callable[[], str],
        now: collections.abc.Callable[[], float],
        seed: int,
        *,
        kinds: collections.abc.Sequence[str] = USUAL_KINDS,
        path: str = "",
    ):
        super().__init__(name=name, daemon=True)
        self._pick_instance = pick_instance
        self._key_of = key_of
        self._now = now
        self._path = path
        self._kinds = kinds
        self._pause_s = _POISON_PAUSE_S if path else _PAUSE_S
        self._rng = random.Random(seed)
        self._stopped = threading.Event()
        self._conn: http.client.HTTPConnection | None = None
        self._instance: processes.GatewayProcess | None = None
        self._opened_s = 0.0
        self.outcomes: list[RequestOutcome] = []

    def stop(self) -> None:
        """Stops the caller after the current request."""
        self._stopped.set()

    def run(self) -> None:
        """Sends requests one after the other."""
        number = 0
        while not self._stopped.wait(self._pause_s * self._rng.random()):
            number += 1
            kind = self._rng.choice(self._kinds)
            outcome = RequestOutcome(
                f"{self.name}-{number}", kind, self._key_of(), self._now()
            )
            self.outcomes.append(outcome)
            self.send(outcome)
            if self._path:
                self.close_connection()

    def send(self, outcome: RequestOutcome) -> None:
        """Sends one request and records what came of it."""
        try:
            self._send(outcome)
        except (OSError, http.client.HTTPException) as exc:
            outcome.error = repr(exc)
            outcome.has_given_up = isinstance(exc, TimeoutError)
            self.close_connection()
        outcome.ended_s = self._now()

    def close_connection(self) -> None:
        """Closes the connection; the next request opens another."""
        if self._conn is not None:
            self._conn.close()
        self._conn = None

    def _open_connection(self) -> None:
        self._instance = self._pick_instance(self._rng)
        host, port = self._instance.front
        self._conn = strictheads.StrictConnection(
            host, port, timeout=_TIMEOUT_S
        )
        self._opened_s = self._now()
        self._conn.connect()
        self._conn.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def _send(self, outcome: RequestOutcome) -> None:
        outcome.is_kept = self._conn is not None
        if self._conn is None:
            self._open_connection()
        outcome.instance = self._instance.name
        outcome.opened_s = self._opened_s
        method = "GET" if outcome.kind == "views" else "POST"
        self._conn.request(
            method,
            f"/{outcome.kind}/{self._path or outcome.id}",
            body=outcome.id.encode() if method == "POST" else None,
            headers={
                "Host": HOST,
                "X-Request-Id": outcome.id,
                "X-Api-Key": outcome.key,
                "X-Deadline-Ms": str(DEADLINE_MS),
                "X-Token-Usage": "20,20",
            },
        )
        outcome.written_s = self._now()
        outcome.is_sent = True
        resp = self._conn.getresponse()
        outcome.status = resp.status
        try:
            outcome.body = resp.read()
            outcome.is_complete = True
        except http.client.IncompleteRead as exc:
            outcome.body = exc.partial
            raise
        if resp.will_close:
            self.close_connection()
