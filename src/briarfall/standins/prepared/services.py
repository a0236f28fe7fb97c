"""Stand-ins of plain services."""

import threading
import time

from briarfall.standins.prepared import rawhttp
from briarfall.standins.prepared import registeredtarget

_HOLD_S = 10.0


class ServiceStandin(registeredtarget.RegisteredTarget):
    """A plain service that echoes the body of a request.

    Attributes:
        processing_s: Seconds that a request takes.
        capacity: Limits the requests that run in parallel; further ones are
            refused. None sets no limit.
    """

    def __init__(
        self,
        platform,
        target_id,
        service="desk",
        zone="z1",
        *,
        host=rawhttp.HOST,
    ):
        super().__init__(platform, target_id, service, zone, host)
        self.processing_s = 0.0
        self.capacity: threading.Semaphore | None = None
        self.register()

    def handle(self, conn, req) -> bool:
        """Handles a request; returns whether the connection stays open."""
        request_id = req.headers.get("x-request-id", "")
        self.record_arrival(req)
        echo = {"X-Request-Id": request_id, "X-Response-Signature": self.id}
        expected = req.headers.get("x-expect-instance", self.id)
        if (
            expected != self.id
            or self.fault is registeredtarget.Fault.MISDIRECTED
        ):
            conn.respond(421, headers=self.misdirected_headers(req))
            return True
        if self.exchange.refuses(conn):
            refused = {"X-Not-Executed": "1", "X-Response-Signature": self.id}
            self.exchange.refuse(conn, refused, {"X-Request-Id": request_id})
            return True
        if (
            self.fault is registeredtarget.Fault.REFUSE
            or not self._acquire_capacity()
        ):
            signal = self.signal_headers(503, request_id)
            conn.respond(
                503, b"full", {**echo, **signal, "X-Not-Executed": "1"}
            )
            return True
        echo.update(self.signal_headers(200, request_id))
        try:
            return self._serve(conn, req, echo)
        finally:
            if self.capacity is not None:
                self.capacity.release()

    def _acquire_capacity(self) -> bool:
        return self.capacity is None or self.capacity.acquire(blocking=False)

    def _serve(self, conn, req, echo: dict[str, str]) -> bool:
        self.record_run(req)
        if self.exchange.resets_after_run(conn):
            return False
        if self.processing_s:
            self.closing.wait(self.processing_s)
        has_crash_marker = self.crash_marker and req.path.endswith(
            self.crash_marker
        )
        if has_crash_marker or self.fault in (
            registeredtarget.Fault.CRASH,
            registeredtarget.Fault.CRASH_AND_RESTART,
        ):
            self.crashed_s.append(time.monotonic())
            self.close()
            if self.fault is registeredtarget.Fault.CRASH_AND_RESTART:
                self.restart()
            conn.reset()
            return False
        self.exchange.before_answer(conn)
        body = b"ran:" + req.body
        if self.fault is registeredtarget.Fault.FAIL:
            conn.respond(500, b"failed", echo)
            return True
        if self.fault is registeredtarget.Fault.RESET_AFTER_RUN:
            conn.reset()
            return False
        if self.fault is registeredtarget.Fault.HANG:
            self.closing.wait(_HOLD_S)
            return False
        if self.fault in registeredtarget.ENDLESS:
            self.send_endless(conn, req)
            return False
        if self.fault is registeredtarget.Fault.GARBAGE:
            conn.send(b"\x00\x01 no response\r\n\r\n")
            return False
        encoded = rawhttp.response(200, body, echo)
        if self.fault is registeredtarget.Fault.CUT_BODY:
            conn.send(encoded[:-2])
            return False
        if req.method == "HEAD":
            encoded = encoded[: -len(body)]
        conn.send(encoded)
        if self.fault is registeredtarget.Fault.EXTRA_ANSWER:
            conn.send(encoded)
        return True
