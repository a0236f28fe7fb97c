"""Plain services behind the router."""

import abc

import msgspec

from briarfall import httpclient


class ServiceCall(msgspec.Struct):
    """One call of a plain service, prepared once."""

    method: str
    path: str
    body: bytes
    headers: dict[str, str]


class ServiceAdapter(abc.ABC):
    """One target of a plain service."""

    @abc.abstractmethod
    def send(self, call: ServiceCall, timeout_s: float) -> httpclient.Reply:
        """Sends the call once.

        Raises:
            TargetUnreachableError: Provably nothing was sent.
            TargetError: The call may have been executed.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Releases connections."""


class HttpServiceAdapter(ServiceAdapter):
    """A service over HTTP, with a fresh connection for each call.

    A pooled connection may break after the request was written, which would
    leave the outcome unknown; on a fresh one a refused connection proves
    that nothing was sent.
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
