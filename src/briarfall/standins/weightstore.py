"""Stand-in for the rate-limited weight store."""

import threading
import time

import msgspec

from briarfall import exceptions
from briarfall import httpserver
from briarfall.adapters import weightstore
from briarfall.limits import buckets
from briarfall.standins import base


class FetchReply(msgspec.Struct):
    """The response to a fetch of weights."""

    seconds: float


class WeightStoreStandin(base.HttpStandin):
    """A weight store that refuses fetches beyond its rate.

    Args:
        bytes_per_s: Rate limit over all engines together.
        burst_s: Burst size, in seconds of the rate.
    """

    def __init__(
        self,
        bytes_per_s: float = 1e9,
        burst_s: float = 1.0,
        port: int = 0,
    ):
        super().__init__("weights", port)
        self.bytes_per_s = bytes_per_s
        self.refused = 0
        self.fetched: list[str] = []
        self._bucket = buckets.TokenBucket(
            bytes_per_s, time.monotonic(), burst_s
        )
        self._lock = threading.Lock()
        self.routes.add("GET", "/rate", self._handle_rate)

    def fetch(self, engine: str, size_bytes: int) -> float:
        """Fetches weights and returns the duration in seconds.

        Raises:
            LimitError: Earlier fetches have used up the rate.
        """
        now = time.monotonic()
        with self._lock:
            if not self._bucket.take(size_bytes, now):
                self.refused += 1
                raise exceptions.LimitError("the store is busy")
            self.fetched.append(engine)
        return size_bytes / self.bytes_per_s

    def _handle_rate(self, req: httpserver.Request):
        self.fault_injector.before_call()
        rate = weightstore.StoreRate(self.bytes_per_s)
        return httpserver.json_response(rate)
