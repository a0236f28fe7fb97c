"""Accepts connections and serves each on a thread of its own."""

import collections.abc
import socket
import threading

from absl import logging

from briarfall.gateway import listening

_ACCEPT_TIMEOUT_S = 0.5
# Python frames of a connection need little; the default stack is 8 MB.
_STACK_BYTES = 256 * 1024

Handler = collections.abc.Callable[[socket.socket], None]


class Listener(threading.Thread):
    """A listening socket.

    Args:
        host: IP number.
        port: Port, 0 for any.
        handler: Serves one connection and closes it.
        name: Name for logs.
        sock: A socket that listens there already, or None.
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
        self._sock = sock or listening.open_listener(host, port)
        self._sock.settimeout(_ACCEPT_TIMEOUT_S)
        self._open = 0
        self._lock = threading.Lock()

    @property
    def address(self) -> tuple[str, int]:
        """The bound IP number and port."""
        return self._sock.getsockname()

    @property
    def open_connections(self) -> int:
        """Connections that are being served."""
        return self._open

    def run(self) -> None:
        """Accepts until stopped."""
        threading.stack_size(_STACK_BYTES)
        while not self._stopped.is_set():
            try:
                sock, _ = self._sock.accept()
            except TimeoutError:
                continue
            except OSError as exc:
                if self._stopped.wait(0.05):
                    return
                logging.warning("accept %s: %s", self._label, exc)
                continue
            # Counted before its thread runs: a stop must not overlook it.
            with self._lock:
                self._open += 1
            thread = threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            )
            try:
                thread.start()
            except RuntimeError as exc:
                logging.error("no thread for a connection: %s", exc)
                self._end(sock)

    def _serve(self, sock: socket.socket) -> None:
        try:
            self._handler(sock)
        except Exception:
            logging.exception("unexpected error on %s", self._label)
        finally:
            self._end(sock)

    def _end(self, sock: socket.socket) -> None:
        sock.close()
        with self._lock:
            self._open -= 1

    def stop(self) -> None:
        """Stops accepting."""
        self._stopped.set()
        self._sock.close()
