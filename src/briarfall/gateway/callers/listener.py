"""Accepts connections and serves each one on its own thread."""

import collections
import collections.abc
import socket
import threading
import typing

from absl import logging

from briarfall.gateway import clocks
from briarfall.gateway.callers import listensocket
from briarfall.gateway.exchanges import messages

_ACCEPT_TIMEOUT_S = 0.5
# The Python frames of a connection need little; the default stack is 8 MB.
_STACK_BYTES = 256 * 1024

# A refused connection stays open for this time, since a close with unread bytes
# is a reset, which can overtake the refusal.
_LINGER_S = 1.0
_MAX_LINGERING = 64
_LINGERING_SHARE = 0.125
# Nothing was read, so that the request has not run.
_REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n"
)
# Attribute of a handler with the further headers of its refusal.
_REFUSAL_HEADERS = "refusal_headers"

# Share of the allowed connections from which stalled requests make room.
_CROWDED_SHARE = 0.8
# Interval of log lines on refused connections.
_LOG_INTERVAL_S = 1.0

Handler = collections.abc.Callable[[socket.socket], None]
# A function, or a method that is a handler once it is bound.
Handling = typing.TypeVar("Handling", bound=collections.abc.Callable)


def refused_with(
    headers: messages.Headers,
) -> collections.abc.Callable[[Handling], Handling]:
    """Adds headers to the refusal of connections that a handler can't serve.

    Args:
        headers: Further headers of the refusal.

    Returns:
        A decorator of the handler.
    """

    def mark(handler: Handling) -> Handling:
        setattr(handler, _REFUSAL_HEADERS, headers)
        return handler

    return mark


def _refusal_of(handler: Handler) -> bytes:
    """Returns the refusal of connections for which no thread starts."""
    lines = [_REFUSAL]
    for key, value in getattr(handler, _REFUSAL_HEADERS, []):
        lines.append(key + b": " + value + b"\r\n")
    return b"".join([*lines, b"\r\n"])


class Listener(threading.Thread):
    """Thread that accepts connections on a listening socket.

    Args:
        host: IP address.
        port: Port, or 0 to let the system pick one.
        handler: Function that serves one connection and closes it.
        name: Name of the listener in logs and thread names.
        sock: Socket that already listens on this address, or None to open one.
        max_connections: Most connections that are served at once, or None.
        make_room: Called for a new connection when hardly any more may be
            open.

    Attributes:
        refused: Number of connections that were refused.
    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: Handler,
        *,
        name: str,
        sock: socket.socket | None = None,
        max_connections: int | None = None,
        make_room: collections.abc.Callable[[], object] = lambda: None,
    ):
        super().__init__(name=f"listen-{name}", daemon=True)
        self._handler = handler
        self._refusal = _refusal_of(handler)
        self._label = name
        self._stopped = threading.Event()
        self._sock = sock or listensocket.open_listener(host, port)
        self._sock.settimeout(_ACCEPT_TIMEOUT_S)
        self._open_count = 0
        self.refused = 0
        self._max_connections = max_connections
        self._make_room = make_room
        # Refused connections that stay open count towards the descriptors.
        self._max_lingering = _MAX_LINGERING
        if max_connections is not None:
            share = int(max_connections * _LINGERING_SHARE)
            self._max_lingering = min(_MAX_LINGERING, share)
        self._next_log_s = 0.0
        # Refused connections, with the time on the boot clock of their close.
        self._lingering: collections.deque[tuple[socket.socket, float]]
        self._lingering = collections.deque()
        self._lock = threading.Lock()

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port to which the socket is bound."""
        return self._sock.getsockname()

    @property
    def open_connections(self) -> int:
        """Number of connections that are being served."""
        return self._open_count

    def run(self) -> None:
        """Accepts connections until stopped."""
        threading.stack_size(_STACK_BYTES)
        while not self._stopped.is_set():
            self._close_lingering()
            try:
                sock, _ = self._sock.accept()
            except TimeoutError:
                continue
            except OSError as exc:
                if self._stopped.wait(0.05):
                    return
                logging.warning(
                    "connection not accepted on %s, retrying: %s",
                    self._label,
                    exc,
                )
                continue
            # The connection is counted before its thread starts, so that a
            # planned stop does not miss it.
            with self._lock:
                self._open_count += 1
            if not self._has_room():
                self._refuse(sock)
                continue
            thread = threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            )
            try:
                thread.start()
            except RuntimeError as exc:
                logging.error(
                    "connection refused, its thread did not start: %s", exc
                )
                self._refuse(sock)

    @property
    def is_crowded(self) -> bool:
        """Whether hardly any more connections may be open."""
        if self._max_connections is None:
            return False
        return self._open_count > self._max_connections * _CROWDED_SHARE

    def _has_room(self) -> bool:
        """Returns whether the newest connection may be served."""
        if self.is_crowded:
            self._make_room()
        if self._max_connections is None:
            return True
        if self._open_count <= self._max_connections:
            return True
        self.refused += 1
        now_s = clocks.boot_s()
        if now_s >= self._next_log_s:
            self._next_log_s = now_s + _LOG_INTERVAL_S
            logging.warning(
                "connection refused on %s, %d are open, allowed=%d refused=%d",
                self._label,
                self._open_count - 1,
                self._max_connections,
                self.refused,
            )
        return False

    def _serve(self, sock: socket.socket) -> None:
        try:
            self._handler(sock)
        except Exception:
            logging.exception(
                "unexpected error on %s, connection closed", self._label
            )
        finally:
            self._close_connection(sock)

    def _close_connection(self, sock: socket.socket) -> None:
        sock.close()
        with self._lock:
            self._open_count -= 1

    def _refuse(self, sock: socket.socket) -> None:
        """Answers a connection that gets no thread, without waiting for it."""
        with self._lock:
            self._open_count -= 1
        try:
            sock.setblocking(False)
            sock.send(self._refusal)
            sock.shutdown(socket.SHUT_WR)
        except OSError as exc:
            logging.debug("refusal not sent on %s: %s", self._label, exc)
        self._lingering.append((sock, clocks.boot_s() + _LINGER_S))

    def _close_lingering(self) -> None:
        now_s = clocks.boot_s()
        while self._lingering:
            sock, close_s = self._lingering[0]
            if close_s > now_s and len(self._lingering) <= self._max_lingering:
                return
            sock.close()
            self._lingering.popleft()

    def stop(self) -> None:
        """Stops accepting and closes the listening socket."""
        self._stopped.set()
        self._sock.close()
