"""Stand-in for the rate-limited weight store."""

import threading
import time

import msgspec

from briarfall import exceptions
from briarfall import httpserver
from briarfall.adapters import weightstore
from briarfall.standins import faults


class FetchReply(msgspec.Struct):
    """The answer to a fetch of weights."""

    seconds: float


class WeightStoreStandin:
    """Refuses fetches that exceed its rate.

    Args:
        bytes_per_s: Rate over all engines.
    """

    def __init__(self, bytes_per_s: float = 1e9, port: int = 0):
        self.gate = faults.FaultGate()
        self.bytes_per_s = bytes_per_s
        self.refused = 0
        self.fetched: list[str] = []
        self._busy_until_s = 0.0
        self._lock = threading.Lock()
        routes = httpserver.Router()
        routes.add("GET", "/rate", self._handle_rate)
        routes.add("PUT", "/control/faults", self.gate.control)
        self.server = httpserver.HttpServer(
            "127.0.0.1", port, routes.handle, name="weights"
        )

    @property
    def url(self) -> str:
        """The base URL of the store."""
        return self.server.url

    def start(self) -> None:
        """Starts listening."""
        self.server.start()

    def stop(self) -> None:
        """Stops listening."""
        self.server.stop()

    def fetch(self, engine: str, size_bytes: int) -> float:
        """Returns the seconds that a fetch takes.

        Raises:
            LimitError: The store is busy with earlier fetches.
        """
        now = time.monotonic()
        with self._lock:
            if now < self._busy_until_s:
                self.refused += 1
                raise exceptions.LimitError("the store is busy")
            seconds = size_bytes / self.bytes_per_s
            self._busy_until_s = now + seconds
            self.fetched.append(engine)
        return seconds

    def _handle_rate(self, req: httpserver.Request):
        self.gate.before()
        rate = weightstore.StoreRate(self.bytes_per_s)
        return httpserver.json_response(rate)
