"""What stand-ins with one listener have in common."""

from briarfall import httpserver
from briarfall.standins import faults


class HttpStandin:
    """A stand-in behind HTTP with fault controls.

    Args:
        name: Name of the listener.
        port: TCP port, 0 for any.

    Attributes:
        gate: Applies faults to calls.
        routes: Paths of the listener, to be filled by the subclass.
        server: The listener.
    """

    def __init__(self, name: str, port: int):
        self.gate = faults.FaultGate()
        self.routes = httpserver.Router()
        self.routes.add("PUT", "/control/faults", self.gate.control)
        self.server = httpserver.HttpServer(
            "127.0.0.1", port, self.routes.handle, name=name
        )

    @property
    def url(self) -> str:
        """The base URL."""
        return self.server.url

    def start(self) -> None:
        """Starts listening."""
        self.server.start()

    def stop(self) -> None:
        """Stops listening."""
        self.server.stop()
