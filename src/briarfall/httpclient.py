"""HTTP requests over urllib3 with typed errors and explicit time-outs."""

import errno
import urllib.parse

import msgspec
import urllib3
from urllib3 import connection
from urllib3 import exceptions as urllib3_exceptions

from briarfall import exceptions
from briarfall import strictheads

CONNECT_TIMEOUT_S = 1.0
_MAX_POOLED_CONNECTIONS = 64
_LOCAL_LIMIT_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOMEM})


class Reply(msgspec.Struct):
    """A complete HTTP response."""

    status: int
    body: bytes
    headers: dict[str, str] = {}


class HttpClient:
    """Sends requests to one base URL over pooled connections.

    Args:
        base_url: Scheme, IP number and port.
        keep_alive: False opens a new connection for each request, so that a
            refused connect proves that nothing was sent.
    """

    def __init__(self, base_url: str, *, keep_alive: bool = True):
        self.base_url = base_url.rstrip("/")
        self._headers = {} if keep_alive else {"Connection": "close"}
        self._keep_alive = keep_alive
        self._pool = self._new_pool()

    def _new_pool(self):
        pool = urllib3.connection_from_url(
            self.base_url,
            maxsize=_MAX_POOLED_CONNECTIONS if self._keep_alive else 1,
            block=False,
            retries=False,
        )
        pool.ConnectionCls = strictheads.StrictPoolConnection
        return pool

    def send(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Sends a request and returns the complete response.

        Raises:
            TargetUnreachableError: No byte can have been sent.
            TargetError: The request failed; it may have been executed.
        """
        resp = self.open(
            method, path, timeout_s=timeout_s, body=body, headers=headers
        )
        reply = self.read(resp)
        resp.release_conn()
        return reply

    def open(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Sends a request and returns the response with its body unread.

        Raises:
            TargetUnreachableError: No byte can have been sent.
            TargetError: The request failed; it may have been executed.
        """
        pool = self._pool if self._keep_alive else self._new_pool()
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s
        )
        try:
            return pool.urlopen(
                method,
                path,
                body=body,
                headers={**self._headers, **(headers or {})},
                timeout=timeout,
                preload_content=False,
                retries=False,
            )
        except (
            urllib3_exceptions.NewConnectionError,
            urllib3_exceptions.ConnectTimeoutError,
        ) as exc:
            raise _unreachable(self.base_url, exc) from exc
        except (urllib3_exceptions.HTTPError, OSError) as exc:
            raise exceptions.TargetError(
                f"{self.base_url}: call failed: {exc}"
            ) from exc

    def read(self, resp: urllib3.BaseHTTPResponse) -> Reply:
        """Returns an open response with the rest of its body.

        Raises:
            TargetError: It was cut off; the request may have been executed.
        """
        try:
            data = resp.read()
        except (urllib3_exceptions.HTTPError, OSError) as exc:
            resp.close()
            raise exceptions.TargetError(
                f"{self.base_url}: response cut off: {exc}"
            ) from exc
        return Reply(resp.status, data, dict(resp.headers))

    def start(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> connection.HTTPConnection:
        """Sends a request on a new connection, without awaiting the response.

        The caller reads the response with `getresponse` of the returned
        connection; to abort the wait, it shuts down the connection's socket.
        `timeout_s` limits each read.
        """
        parts = urllib.parse.urlsplit(self.base_url)
        conn = strictheads.StrictPoolConnection(
            parts.hostname, parts.port, timeout=CONNECT_TIMEOUT_S
        )
        try:
            conn.connect()
        except (urllib3_exceptions.HTTPError, OSError) as exc:
            raise _unreachable(self.base_url, exc) from exc
        conn.timeout = timeout_s
        try:
            conn.request(method, path, body=body, preload_content=False)
        except (urllib3_exceptions.HTTPError, OSError) as exc:
            conn.close()
            raise exceptions.TargetError(
                f"{self.base_url}: call failed: {exc}"
            ) from exc
        return conn

    def close(self) -> None:
        """Closes pooled connections."""
        self._pool.close()


def _unreachable(
    url: str, exc: BaseException
) -> exceptions.TargetUnreachableError:
    """Returns the error for a connection that could not be opened.

    If this process lacks descriptors or memory, the target is not at fault
    and the error is a `LocalLimitError`.
    """
    cause: BaseException | None = exc
    while cause is not None:
        if getattr(cause, "errno", None) in _LOCAL_LIMIT_ERRNOS:
            return exceptions.LocalLimitError(f"{url}: {cause}")
        cause = cause.__cause__ or cause.__context__
    return exceptions.TargetUnreachableError(f"{url}: cannot connect: {exc}")
