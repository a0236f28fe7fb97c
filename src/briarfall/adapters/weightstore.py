"""The rate-limited weight store."""

import abc

import msgspec

from briarfall import exceptions
from briarfall import httpclient

_TIMEOUT_S = 2.0


class StoreRate(msgspec.Struct):
    """What the store allows: bytes a second over all engines."""

    bytes_per_s: float


class WeightStoreAdapter(abc.ABC):
    """Asks the weight store about its limits."""

    @abc.abstractmethod
    def rate(self) -> StoreRate:
        """Returns the store's rate.

        Raises:
            TargetError: The store did not answer.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Releases connections."""


class HttpWeightStoreAdapter(WeightStoreAdapter):
    """The store over HTTP as JSON."""

    def __init__(self, url: str):
        self._http = httpclient.HttpClient(url)

    def rate(self) -> StoreRate:
        """Reads the rate; see the base class."""
        reply = self._http.send("GET", "/rate", timeout_s=_TIMEOUT_S)
        if reply.status != 200:
            raise exceptions.TargetError(f"weight store: {reply.status}")
        return msgspec.json.decode(reply.body, type=StoreRate)

    def close(self) -> None:
        """Closes pooled connections."""
        self._http.close()
