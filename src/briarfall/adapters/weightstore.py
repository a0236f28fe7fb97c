"""The weight store, which limits the rate of downloads."""

import abc

import msgspec

from briarfall import decoding
from briarfall import exceptions
from briarfall import httpclient

_TIMEOUT_S = 2.0


class StoreRate(msgspec.Struct):
    """The download rate that the store allows over all engines together."""

    bytes_per_s: float


class WeightStoreAdapter(abc.ABC):
    """Reads the limits of the weight store."""

    @abc.abstractmethod
    def rate(self) -> StoreRate:
        """Returns the allowed download rate.

        Raises:
            TargetError: The store did not answer.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Releases connections."""


class HttpWeightStoreAdapter(WeightStoreAdapter):
    """Calls the store over HTTP with JSON bodies."""

    def __init__(self, url: str):
        self._http = httpclient.HttpClient(url)

    def rate(self) -> StoreRate:
        """Reads the rate; see the base class."""
        reply = self._http.send("GET", "/rate", timeout_s=_TIMEOUT_S)
        if reply.status != 200:
            raise exceptions.TargetError(
                f"weight store answered with status {reply.status}, not 200"
            )
        return decoding.decode_json(
            reply.body, StoreRate, "weight store's rate", exceptions.TargetError
        )

    def close(self) -> None:
        """Closes pooled connections."""
        self._http.close()
