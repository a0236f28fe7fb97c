"""An HTTP server on cheroot with typed requests and responses."""

import collections.abc
import re
import socket
import threading
import typing
import urllib.parse

from absl import logging
from cheroot import server as cheroot_server
from cheroot import wsgi
from cheroot.workers import threadpool
import msgspec

from briarfall import decoding
from briarfall import exceptions
from briarfall import sockets

MAX_BODY_BYTES = 1 << 20
_MAX_LENGTH = 10**18
MAX_HEADER_BYTES = 16 << 10
_MAX_BODY_READ_FACTOR = 4
_MAX_DISCARDED_BYTES = 1 << 20
_DISCARD_TIMEOUT_S = 1.0
SOCKET_KEY = "briarfall.socket"
IS_CHUNKED_KEY = "briarfall.is_chunked"
_MIN_THREADS = 1
_MAX_THREADS = 1024
_ACCEPT_QUEUE = 1024
_IO_TIMEOUT_S = 30

Body = bytes | collections.abc.Iterator[bytes]


class Request(msgspec.Struct):
    """An HTTP request."""

    method: str
    path: str
    query: dict[str, str]
    environ: dict[str, typing.Any]
    body: bytes
    params: dict[str, str] = {}

    def header(self, name: str, default: str = "") -> str:
        """Returns a header's value, or `default`."""
        key = "HTTP_" + name.upper().replace("-", "_")
        return self.environ.get(key, default)


class Response(msgspec.Struct):
    """An HTTP response; a body that is an iterator is streamed in chunks."""

    status: int = 200
    body: Body = b""
    headers: list[tuple[str, str]] = []


class ErrorDetail(msgspec.Struct):
    """The error that a response reports."""

    code: str
    message: str
    remedy: str
    outcome: str


class ErrorBody(msgspec.Struct):
    """The body of an error response."""

    error: ErrorDetail


Handler = collections.abc.Callable[[Request], Response]


def json_response(value, status: int = 200) -> Response:
    """Returns `value` as a JSON response."""
    headers = [("Content-Type", "application/json")]
    return Response(status, msgspec.json.encode(value), headers)


def error_detail(exc: exceptions.BriarfallError) -> ErrorDetail:
    """Returns the wire form of an error."""
    return ErrorDetail(exc.code, exc.message, exc.remedy, exc.outcome.value)


def error_response(exc: exceptions.BriarfallError) -> Response:
    """Returns the response that reports `exc`."""
    resp = json_response(ErrorBody(error_detail(exc)), int(exc.status))
    resp.headers.append(("Briarfall-Outcome", exc.outcome.value))
    if exc.retry_after_s is not None:
        seconds = max(1, round(exc.retry_after_s))
        resp.headers.append(("Retry-After", str(seconds)))
    return resp


class Router:
    """Dispatches requests by method and path pattern.

    A pattern's `{name}` matches one path segment and `{name*}` the rest.
    """

    def __init__(self):
        self._routes: list[tuple[str, re.Pattern, Handler]] = []

    def add(self, method: str, pattern: str, handler: Handler) -> None:
        """Adds a route; method `*` matches every method."""
        regex = re.sub(r"\{(\w+)\*\}", r"(?P<\1>.+)", pattern)
        regex = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", regex)
        self._routes.append((method, re.compile(regex + r"\Z"), handler))

    def handle(self, req: Request) -> Response:
        """Runs the handler of the first matching route."""
        for method, regex, handler in self._routes:
            if method not in ("*", req.method):
                continue
            match = regex.match(req.path)
            if match is None:
                continue
            req.params = match.groupdict()
            return handler(req)
        raise exceptions.NotFoundError(
            f"no such path: {req.method} {req.path}",
            remedy="see docs/api.md for the paths of this listener",
        )


class _ElasticThreadPool(threadpool.ThreadPool):
    """A thread pool that adds a worker if a connection would have to wait.

    The number of workers stays within the maximum of the pool.
    """

    def start(self):
        for _ in range(self.min):
            self._add_worker()

    def put(self, obj):
        if self.idle <= self._queue.qsize() and len(self._threads) < self.max:
            self._add_worker()
        super().put(obj)

    def _add_worker(self):
        worker = threadpool.WorkerThread(self.server)
        worker.daemon = True
        worker.start()
        self._threads.append(worker)


class _HttpRequest(cheroot_server.HTTPRequest):
    """Reports malformed HTTP with the same error body as other errors."""

    def simple_response(self, status, msg=""):
        number = int(str(status)[:3])
        kind = exceptions.BadRequestError
        if number in (413, 414):
            kind = exceptions.TooLargeError
        resp = error_response(kind(msg or str(status)[4:]))
        lines = [f"HTTP/1.1 {number} {_reason_phrase(number)}"]
        lines += [f"{name}: {value}" for name, value in resp.headers]
        lines += [f"Content-Length: {len(resp.body)}", "Connection: close"]
        head = "\r\n".join(lines) + "\r\n\r\n"
        self.close_connection = True
        try:
            self.conn.wfile.write(head.encode("latin-1") + resp.body)
        except OSError:
            return
        # With unread input, closing the socket sends a reset, and the caller
        # would lose the response.
        sockets.discard_input(
            self.conn.socket, _MAX_DISCARDED_BYTES, _DISCARD_TIMEOUT_S
        )


class _Connection(cheroot_server.HTTPConnection):
    RequestHandlerClass = _HttpRequest


class _SocketGateway(wsgi.Gateway_10):
    """Adds the caller's socket to the environment.

    Handlers use it to detect that the caller has disconnected.
    """

    def get_environ(self):
        environ = super().get_environ()
        sock = self.req.conn.socket
        sockets.set_kernel_timeout(sock, _IO_TIMEOUT_S)
        environ[SOCKET_KEY] = sock
        # Bodies of unknown length are sent in chunks only over HTTP/1.1.
        environ[IS_CHUNKED_KEY] = self.req.response_protocol == "HTTP/1.1"
        return environ


class _ReuseAddressServer(wsgi.Server):
    """Sets SO_REUSEADDR, so that a restarted process can bind its address."""

    @staticmethod
    def bind_socket(socket_, bind_addr):
        socket_.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return wsgi.Server.bind_socket(socket_, bind_addr)


class HttpServer:
    """A listener that passes requests to a handler, a thread per connection.

    Args:
        host: IP number to bind.
        port: Port to bind; 0 for any free port.
        handler: Returns the response to a request.
        name: Name of the listener in logs and thread names.
        max_body: Largest request body in bytes.
        on_error: Called with each unexpected error of the handler.
    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: Handler,
        *,
        name: str,
        max_body: int = MAX_BODY_BYTES,
        on_error: collections.abc.Callable[[Exception], None] | None = None,
    ):
        self._handler = handler
        self._name = name
        self._max_body = max_body
        self._on_error = on_error
        self._server = _ReuseAddressServer(
            (host, port),
            self._application,
            numthreads=_MIN_THREADS,
            request_queue_size=_ACCEPT_QUEUE,
            timeout=_IO_TIMEOUT_S,
            shutdown_timeout=1,
        )
        self._server.requests = _ElasticThreadPool(
            self._server, min=_MIN_THREADS, max=_MAX_THREADS
        )
        self._server.gateway = _SocketGateway
        self._server.keep_alive_conn_limit = None
        self._server.ConnectionClass = _Connection
        # `_respond` refuses a Content-Length above `max_body`. This limit
        # bounds what cheroot reads of a refused body and of a chunked body,
        # whose length is not known in advance.
        self._server.max_request_body_size = _MAX_BODY_READ_FACTOR * max_body
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.error_log = self._log_server_error
        self._thread: threading.Thread | None = None
        self.is_aborted = False

    @property
    def address(self) -> tuple[str, int]:
        """The bound IP number and port."""
        return self._server.bind_addr[:2]

    @property
    def url(self) -> str:
        """The base URL of the listener."""
        host, port = self.address
        return f"http://{host}:{port}"

    def start(self) -> None:
        """Binds the address and serves on a thread of its own."""
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name=f"http-{self._name}", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Closes the listener; running handlers have one second to end."""
        self._shutdown_listener()
        self._server.stop()

    def abort(self) -> None:
        """Resets every open connection and refuses new ones at once."""
        self.is_aborted = True
        self._shutdown_listener()
        for worker in list(self._server.requests._threads):
            conn = worker.conn
            if conn is not None:
                sockets.shut(conn.socket)

    def _shutdown_listener(self) -> None:
        listener = self._server.socket
        if listener is None:
            return
        # A shutdown of the listening socket refuses new connections and wakes
        # the selector, which would otherwise detect the stop only after half a
        # second.
        try:
            listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def _log_server_error(self, msg="", level=20, traceback=False):
        logging.debug("http %s: %s", self._name, msg)

    def _application(self, environ, start_response):
        try:
            resp = self._respond(environ)
        except exceptions.BriarfallError as exc:
            resp = error_response(exc)
        except cheroot_server.MaxSizeExceeded:
            resp = error_response(
                exceptions.TooLargeError(f"body exceeds {self._max_body} bytes")
            )
        except Exception as exc:
            logging.exception("http %s: unexpected error", self._name)
            if self._on_error:
                self._on_error(exc)
            resp = error_response(
                exceptions.BriarfallError(
                    "unexpected error",
                    outcome=exceptions.Outcome.UNKNOWN,
                )
            )
        return _to_wsgi(resp, start_response)

    def _respond(self, environ) -> Response:
        text = environ.get("CONTENT_LENGTH") or "0"
        length = decoding.parse_count(text, _MAX_LENGTH)
        if length is None:
            raise exceptions.BadRequestError(
                f"Content-Length is no number up to {_MAX_LENGTH}"
            )
        if length > self._max_body:
            raise exceptions.TooLargeError(
                f"body of {length} bytes exceeds {self._max_body} bytes"
            )
        body = environ["wsgi.input"].read()
        if len(body) < length:
            raise exceptions.BadRequestError(
                f"body ended after {len(body)} of {length} bytes"
            )
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        req = Request(
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            query,
            environ,
            body,
        )
        return self._handler(req)


def _to_wsgi(resp: Response, start_response):
    headers = list(resp.headers)
    if isinstance(resp.body, bytes):
        headers.append(("Content-Length", str(len(resp.body))))
        body = [resp.body]
    else:
        body = resp.body
    start_response(f"{resp.status} {_reason_phrase(resp.status)}", headers)
    return body


def _reason_phrase(status: int) -> str:
    try:
        return exceptions.http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
