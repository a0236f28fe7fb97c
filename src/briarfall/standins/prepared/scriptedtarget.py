"""A plain service that sends bytes of the test's choice."""

import threading

from briarfall.standins.prepared import rawhttp
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import store

_HOLD_S = 10.0
_BODY = b"ran"


class ScriptedTarget(registeredtarget.RegisteredTarget):
    """A plain service whose responses are given byte by byte.

    Attributes:
        script: Bytes sent in response to each request; None stands for a
            signed success.
        closes: Whether it closes the connection after them.
        resume: Responses wait until this event is set, as it is at first.
    """

    def __init__(
        self,
        platform: store.StoreStandin,
        target_id: str,
        service: str = "desk",
        zone: str = "z1",
    ):
        super().__init__(platform, target_id, service, zone)
        self.script: bytes | None = None
        self.closes = True
        self.resume = threading.Event()
        self.resume.set()
        self.register()

    def handle(self, conn: rawhttp.RawConnection, req) -> bool:
        """Sends the script; returns whether the connection stays open."""
        self.record_arrival(req)
        self.record_run(req)
        self.resume.wait(_HOLD_S)
        conn.send(self._success(req) if self.script is None else self.script)
        if self.closes:
            conn.end()
        return not self.closes

    def _success(self, req) -> bytes:
        request_id = req.headers.get("x-request-id", "")
        echo = {"X-Request-Id": request_id, "X-Response-Signature": self.id}
        encoded = rawhttp.response(200, _BODY, echo)
        if req.method == "HEAD":
            return encoded[: -len(_BODY)]
        return encoded
