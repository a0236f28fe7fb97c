"""Base class of stand-ins with one HTTP listener."""

from briarfall import httpserver
from briarfall.standins import faults


class HttpStandin:
    """A stand-in that serves HTTP and can inject faults.

    Args:
        name: Name of the listener.
        port: TCP port, or 0 for any free port.

    Attributes:
        fault_injector: Injects faults into calls.
        routes: Paths of the listener; the subclass adds them.
        server: The listener.
    """

    def __init__(self, name: str, port: int):
        self.fault_injector = faults.FaultInjector()
        self.routes = httpserver.Router()
        self.routes.add(
            "PUT", "/control/faults", self.fault_injector.handle_control
        )
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
