"""Accepts connections and serves each one on its own thread."""

import collections.abc
import socket
import threading

from absl import logging

from briarfall.gateway import listensocket

_ACCEPT_TIMEOUT_S = 0.5
# The Python frames of a connection need little; the default stack is 8 MB.
_STACK_BYTES = 256 * 1024

Handler = collections.abc.Callable[[socket.socket], None]


class Listener(threading.Thread):
    """Thread that accepts connections on a listening socket.

    Args:
        host: IP address.
        port: Port, or 0 to let the system pick one.
        handler: Function that serves one connection and closes it.
        name: Name of the listener in logs and thread names.
        sock: Socket that already listens on this address, or None to open one.
    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: Handler,
        *,
        name: str,
        sock: socket.socket | None = None,
    ):
        super().__init__(name=f"listen-{name}", daemon=True)
        self._handler = handler
        self._label = name
        self._stopped = threading.Event()
        self._sock = sock or listensocket.open_listener(host, port)
        self._sock.settimeout(_ACCEPT_TIMEOUT_S)
        self._open_count = 0
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
            thread = threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            )
            try:
                thread.start()
            except RuntimeError as exc:
                logging.error(
                    "connection closed, its thread did not start: %s", exc
                )
                self._close_connection(sock)

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

    def stop(self) -> None:
        """Stops accepting and closes the listening socket."""
        self._stopped.set()
        self._sock.close()
