"""Plain services: HTTP services that are not model engines."""

import abc

import msgspec

from briarfall import httpclient


class ServiceCall(msgspec.Struct):
    """The request of a call, the same for each attempt."""

    method: str
    path: str
    body: bytes
    headers: dict[str, str]


class ServiceAdapter(abc.ABC):
    """One target of a plain service."""

    @abc.abstractmethod
    def send(self, call: ServiceCall, timeout_s: float) -> httpclient.Reply:
        """Sends the call once, without retries.

        Raises:
            TargetUnreachableError: Certainly nothing was sent.
            TargetError: The call may have been executed.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Releases connections."""


class HttpServiceAdapter(ServiceAdapter):
    """Calls a service over HTTP on a new connection for each call.

    A pooled connection may break after the request was written, which leaves
    the outcome unknown. With a new connection, a refused connect proves that
    nothing was sent.
    """

    def __init__(self, url: str):
        self._http = httpclient.HttpClient(url, keep_alive=False)

    def send(self, call: ServiceCall, timeout_s: float) -> httpclient.Reply:
        """Sends the call; see the base class."""
        return self._http.send(
            call.method,
            call.path,
            body=call.body,
            headers=call.headers,
            timeout_s=timeout_s,
        )

    def close(self) -> None:
        """Closes pooled connections."""
        self._http.close()
