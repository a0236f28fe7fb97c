"""Stand-ins of plain services."""

import threading
import time

from briarfall.standins.prepared import rawhttp
from briarfall.standins.prepared import registered

_HOLD_S = 10.0


class ServiceStandin(registered.Registered):
    """A plain service that echoes the body.

    Attributes:
        work_s: Time that a request takes.
        places: Requests that run at once; more are refused. None bounds
            nothing.
    """

    def __init__(self, platform, target_id, service="desk", zone="z1"):
        super().__init__(platform, target_id, service, zone)
        self.work_s = 0.0
        self.places: threading.Semaphore | None = None
        self.register()

    def handle(self, conn, req) -> bool:
        """Runs a request and answers as the fault says."""
        request_id = req.headers.get("x-request-id", "")
        self.note_arrival(req)
        echo = {"X-Request-Id": request_id, "X-Response-Signature": self.id}
        expected = req.headers.get("x-expect-instance", self.id)
        if expected != self.id or self.fault is registered.Fault.MISDIRECTED:
            conn.answer(421, headers={"X-Instance-Id": self.id})
            return True
        if self.fault is registered.Fault.REFUSE or not self._take_place():
            notice = self.notice_headers(503, request_id)
            conn.answer(503, b"full", {**echo, **notice, "X-Not-Executed": "1"})
            return True
        echo.update(self.notice_headers(200, request_id))
        try:
            return self._serve(conn, req, echo)
        finally:
            if self.places is not None:
                self.places.release()

    def _take_place(self) -> bool:
        return self.places is None or self.places.acquire(blocking=False)

    def _serve(self, conn, req, echo: dict[str, str]) -> bool:
        self.note(req)
        if self.work_s:
            self.released.wait(self.work_s)
        is_marked = self.crash_marker and req.path.endswith(self.crash_marker)
        if is_marked or self.fault in (
            registered.Fault.CRASH,
            registered.Fault.CRASH_AND_RESTART,
        ):
            self.crashed_s.append(time.monotonic())
            self.close()
            if self.fault is registered.Fault.CRASH_AND_RESTART:
                self.restart()
            conn.reset()
            return False
        body = b"ran:" + req.body
        if self.fault is registered.Fault.FAIL:
            conn.answer(500, b"failed", echo)
            return True
        if self.fault is registered.Fault.RESET_AFTER_RUN:
            conn.reset()
            return False
        if self.fault is registered.Fault.HANG:
            self.released.wait(_HOLD_S)
            return False
        if self.fault in registered.ENDLESS:
            self.send_endless(conn)
            return False
        if self.fault is registered.Fault.GARBAGE:
            conn.send(b"\x00\x01 no response\r\n\r\n")
            return False
        whole = rawhttp.response(200, body, echo)
        if self.fault is registered.Fault.CUT_BODY:
            conn.send(whole[:-2])
            return False
        if req.method == "HEAD":
            whole = whole[: -len(body)]
        conn.send(whole)
        if self.fault is registered.Fault.EXTRA_ANSWER:
            conn.send(whole)
        return True
