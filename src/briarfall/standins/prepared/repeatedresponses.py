"""Targets that write an earlier response once more on its connection."""

import enum

import msgspec

from briarfall.standins.prepared import engines
from briarfall.standins.prepared import rawhttp
from briarfall.standins.prepared import services

_CONTROL_PATHS = ("/v1/order", "/v1/report")


class CopyTime(enum.Enum):
    """When a copy of a connection's first response is written.

    Attributes:
        AT_ONCE: Directly after the response.
        WITH_NEXT: When the next request has been read, before its response.
        AFTER_NEXT: Directly after the response to the next request.
    """

    AT_ONCE = "at_once"
    WITH_NEXT = "with_next"
    AFTER_NEXT = "after_next"


class FirstResponse(msgspec.Struct, frozen=True):
    """The response to a target's first request, which it writes twice.

    Attributes:
        status: Its HTTP status.
        has_id: Whether it echoes the id of its request.
        is_not_run: Whether its headers say that the request did not run.
        body: Its body.
        has_run: Whether the request ran all the same.
    """

    status: int
    has_id: bool
    is_not_run: bool = False
    body: bytes = b""
    has_run: bool = False

    def encode(self, request_id: str) -> bytes:
        """Returns the bytes of the response."""
        headers = {"X-Response-Signature": "first"}
        if self.has_id:
            headers["X-Request-Id"] = request_id
        if self.is_not_run:
            headers["X-Not-Executed"] = "1"
        return rawhttp.response(self.status, self.body, headers)


class _Repeater:
    """Gives a target its first response and the copies.

    Attributes:
        first: The response to the first request, or None for none.
        copy_time: When the copy is written.
        stray: Response that is written instead of the copy, or None.
        copies_sent: Number of copies written.
    """

    first: FirstResponse | None = None
    stray: FirstResponse | None = None
    copy_time = CopyTime.WITH_NEXT
    copies_sent = 0

    def handle(self, conn: rawhttp.RawConnection, req) -> bool:
        """Handles a request; returns whether the connection stays open."""
        if self.first is not None and req.path not in _CONTROL_PATHS:
            return self._send_first(conn, req)
        copy = self._copies().pop(conn, None)
        if copy is None:
            return super().handle(conn, req)
        if self.copy_time is CopyTime.WITH_NEXT:
            self._send_copy(conn, copy)
        stays_open = super().handle(conn, req)
        if self.copy_time is CopyTime.AFTER_NEXT and stays_open:
            self._send_copy(conn, copy)
        return stays_open

    def _copies(self) -> dict[rawhttp.RawConnection, bytes]:
        return self.__dict__.setdefault("_copy_by_conn", {})

    def _send_first(self, conn: rawhttp.RawConnection, req) -> bool:
        data = self.first.encode(req.headers.get("x-request-id", ""))
        if self.first.has_run or self.first.status < 400:
            self.record_run(req)
        self.first = None
        self.record_arrival(req)
        if self.copy_time is CopyTime.AT_ONCE:
            conn.send(data)
            self._send_copy(conn, data)
            return True
        self._copies()[conn] = data
        conn.send(data)
        return True

    def _send_copy(self, conn: rawhttp.RawConnection, data: bytes) -> None:
        self.copies_sent += 1
        conn.send(self.stray.encode("") if self.stray else data)


class RepeatingService(_Repeater, services.ServiceStandin):
    """A plain service that writes its first response twice."""


class RepeatingEngine(_Repeater, engines.EngineStandin):
    """An engine that writes the first response to a stream twice."""


class CopyServer:
    """Sends given responses, each after a copy of its connection's last one.

    Args:
        answers: Arguments of `rawhttp.response` for each request in turn.
    """

    def __init__(self, answers):
        self._answers = list(answers)
        self._last = {}
        self.copies_sent = 0
        self._server = rawhttp.RawServer(self._handle)
        self.address = self._server.address

    def _handle(self, conn, req) -> bool:
        copy = self._last.get(conn)
        if copy is not None:
            self.copies_sent += 1
            conn.send(copy)
        self._last[conn] = rawhttp.response(*self._answers.pop(0))
        conn.send(self._last[conn])
        return True

    def close(self) -> None:
        """Closes all connections."""
        self._server.close()
