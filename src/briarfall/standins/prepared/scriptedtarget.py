"""A plain service that sends bytes of the test's choice."""

from briarfall.standins.prepared import rawhttp
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import store


class ScriptedTarget(registeredtarget.RegisteredTarget):
    """A plain service whose responses are given byte by byte.

    Attributes:
        script: Bytes sent in response to each request.
        closes: Whether it closes the connection after them.
    """

    def __init__(
        self,
        platform: store.StoreStandin,
        target_id: str,
        service: str = "desk",
        zone: str = "z1",
    ):
        super().__init__(platform, target_id, service, zone)
        self.script = rawhttp.response(200, b"ran")
        self.closes = True
        self.register()

    def handle(self, conn: rawhttp.RawConnection, req) -> bool:
        """Sends the script; returns whether the connection stays open."""
        self.record_arrival(req)
        self.record_run(req)
        conn.send(self.script)
        if self.closes:
            conn.end()
        return not self.closes
