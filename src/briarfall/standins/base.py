"""Base class of stand-ins with one HTTP listener."""

from briarfall import httpserver
from briarfall.standins import faults
from briarfall.standins import heldport


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
        self._held_port: heldport.HeldPort | None = None

    @property
    def url(self) -> str:
        """The base URL."""
        return self.server.url

    def start(self) -> None:
        """Starts listening."""
        self.server.start()

    def abort(self) -> None:
        """Resets all connections and refuses new ones, as in a crash.

        The port stays its own until `stop`.
        """
        self.server.abort()
        self._held_port = heldport.HeldPort(self.server.address)

    def stop(self) -> None:
        """Stops listening."""
        self.server.stop()
        self.release_port()

    def release_port(self) -> None:
        """Gives the port back that `abort` has kept."""
        if self._held_port is not None:
            self._held_port.release()
