"""A plain service that breaks its connections around the run of a request."""

import enum
import random

from briarfall.standins.prepared import rawhttp
from briarfall.standins.prepared import registeredtarget

_MAX_DELAY_S = 0.6
_MAX_IDLE_S = 0.3
_FAULTY_SHARE = 0.6


class Behaviour(enum.Enum):
    """What the service does with one request.

    Attributes:
        SERVE: Runs it and responds.
        SERVE_LATE: Runs it and responds after a delay.
        SERVE_AND_CLOSE: Runs it, responds, and closes the connection after a
            short idle time without announcing it.
        RUN_AND_RESET: Runs it and resets the connection.
        RUN_AND_CLOSE: Runs it and closes the connection.
        RESET: Resets the connection without running it.
        CLOSE: Closes the connection without running it.
        CUT: Runs it and cuts the response.
        REFUSE: Refuses it with the not-run header.
        REFUSE_WITHOUT_ID: The same without the id of the request.
        MISDIRECT: Refuses it with 421 and without the id.
        BARE_REFUSAL: Runs it and responds 503 without the not-run header.
        COPY_FIRST: Writes the connection's last response again, then serves.
        COPY_AFTER: Serves, then writes the response again.
        STRAY_REFUSAL: Writes a refusal without an id, then serves.
        GARBAGE: Runs it and responds with bytes that are no response.
    """

    SERVE = "serve"
    SERVE_LATE = "serve_late"
    SERVE_AND_CLOSE = "serve_and_close"
    RUN_AND_RESET = "run_and_reset"
    RUN_AND_CLOSE = "run_and_close"
    RESET = "reset"
    CLOSE = "close"
    CUT = "cut"
    REFUSE = "refuse"
    REFUSE_WITHOUT_ID = "refuse_without_id"
    MISDIRECT = "misdirect"
    BARE_REFUSAL = "bare_refusal"
    COPY_FIRST = "copy_first"
    COPY_AFTER = "copy_after"
    STRAY_REFUSAL = "stray_refusal"
    GARBAGE = "garbage"


_WITHOUT_RUN = (
    Behaviour.RESET,
    Behaviour.CLOSE,
    Behaviour.REFUSE,
    Behaviour.REFUSE_WITHOUT_ID,
    Behaviour.MISDIRECT,
)
_REFUSALS = {
    Behaviour.REFUSE: (503, True),
    Behaviour.REFUSE_WITHOUT_ID: (503, False),
    Behaviour.MISDIRECT: (421, False),
}

# Behaviours that the protocol allows a sound service.
SOUND = (
    Behaviour.SERVE_LATE,
    Behaviour.SERVE_LATE,
    Behaviour.SERVE_AND_CLOSE,
    Behaviour.REFUSE,
)


class HostileService(registeredtarget.RegisteredTarget):
    """A plain service that draws a behaviour for each request.

    Args:
        platform: Stand-in of the store.
        target_id: Its id.
        seed: Determines the behaviours.
        zone: Its availability zone.
        service: Name of the service.
        host: Loopback address to listen at.

    Attributes:
        behaviours: Behaviours to draw from, besides SERVE.
        drawn: Number of requests by behaviour.
        hosts: Loopback host at which each request that ran arrived, with its
            id; it tells the instance that sent it.
    """

    def __init__(
        self,
        platform,
        target_id: str,
        seed: int,
        zone="z0",
        service="desk",
        host=rawhttp.HOST,
    ):
        super().__init__(platform, target_id, service, zone, host)
        self._rng = random.Random(seed)
        self.behaviours = list(Behaviour)
        self.drawn: dict[Behaviour, int] = dict.fromkeys(Behaviour, 0)
        self.hosts: list[tuple[str, str]] = []
        self._last: dict[rawhttp.RawConnection, bytes] = {}

    def handle(self, conn: rawhttp.RawConnection, req) -> bool:
        """Handles a request; returns whether the connection stays open."""
        self.record_arrival(req)
        request_id = req.headers.get("x-request-id", "")
        behaviour = self._draw()
        if behaviour not in _WITHOUT_RUN:
            self.record_run(req)
            self.hosts.append((request_id, conn.sock.getsockname()[0]))
        if behaviour in _REFUSALS:
            return self._refuse(conn, request_id, *_REFUSALS[behaviour])
        if behaviour in (Behaviour.RESET, Behaviour.RUN_AND_RESET):
            conn.reset()
            return False
        if behaviour in (Behaviour.CLOSE, Behaviour.RUN_AND_CLOSE):
            return False
        echo = {"X-Request-Id": request_id, "X-Response-Signature": self.id}
        if behaviour is Behaviour.BARE_REFUSAL:
            conn.respond(503, b"full", echo)
            return True
        if behaviour is Behaviour.GARBAGE:
            conn.send(b"\x00\x01 no response\r\n\r\n")
            return False
        return self._serve(conn, behaviour, echo, b"ran:" + request_id.encode())

    def _draw(self) -> Behaviour:
        with self.lock:
            behaviour = Behaviour.SERVE
            if self._rng.random() < _FAULTY_SHARE:
                behaviour = self._rng.choice(self.behaviours)
            self.drawn[behaviour] += 1
            return behaviour

    def _refuse(self, conn, request_id: str, status: int, has_id: bool) -> bool:
        headers = {"X-Response-Signature": self.id}
        if status != 421:
            headers["X-Not-Executed"] = "1"
        if has_id:
            headers["X-Request-Id"] = request_id
        self._last[conn] = rawhttp.response(status, b"", headers)
        conn.send(self._last[conn])
        return True

    def _serve(self, conn, behaviour: Behaviour, echo, body: bytes) -> bool:
        encoded = rawhttp.response(200, body, echo)
        copy = self._last.get(conn)
        if behaviour is Behaviour.COPY_FIRST and copy is not None:
            conn.send(copy)
        if behaviour is Behaviour.STRAY_REFUSAL and copy is not None:
            conn.respond(503, headers={"X-Not-Executed": "1"})
        if behaviour is Behaviour.SERVE_LATE:
            self.closing.wait(self._rng.random() * _MAX_DELAY_S)
        if behaviour is Behaviour.CUT:
            conn.send(encoded[:-2])
            return False
        conn.send(encoded)
        self._last[conn] = encoded
        if behaviour is Behaviour.COPY_AFTER:
            conn.send(encoded)
        if behaviour is Behaviour.SERVE_AND_CLOSE:
            self.closing.wait(self._rng.random() * _MAX_IDLE_S)
            return False
        return True
