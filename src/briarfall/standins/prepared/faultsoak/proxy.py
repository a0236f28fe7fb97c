"""A loopback TCP proxy that can inject faults into its connections."""

import contextlib
import enum
import socket
import struct
import threading
import time

_RECEIVE_BYTES = 65_536
_RESET = struct.pack("ii", 1, 0)
_DELAY_S = 0.25
_HOLD_POLL_S = 0.02


class LinkFault(enum.Enum):
    """Fault that the proxy applies to its connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    REFUSE = "refuse"
    # Bytes to the target, or from it, are held back until the fault ends.
    CUT_TO_TARGET = "cut_there"
    CUT_FROM_TARGET = "cut_back"
    SILENT = "silent"


class Proxy:
    """Forwards connections from a loopback port to an address."""

    def __init__(self, address: str):
        host, _, port = address.rpartition(":")
        self._target = (host, int(port))
        self._fault = LinkFault.NONE
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        port = self._listener.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self._accepting = threading.Thread(target=self._accept, daemon=True)
        self._accepting.start()

    def set_fault(self, fault: LinkFault) -> None:
        """Sets the fault of all open and future connections."""
        self._fault = fault
        if fault is LinkFault.RESET:
            self._reset_all()

    def _reset_all(self) -> None:
        with self._lock:
            rows = list(self._open)
        for sock in rows:
            _reset(sock)

    def close(self) -> None:
        """Stops accepting connections and resets the open ones."""
        # Only a shutdown wakes the thread that waits in accept.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._accepting.join()
        self._listener.close()
        # Connections that a fault holds back end, too.
        self.set_fault(LinkFault.RESET)

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            if self._fault in (LinkFault.REFUSE, LinkFault.RESET):
                _reset(sock)
                continue
            try:
                other = socket.create_connection(self._target, 1.0)
            except OSError:
                _reset(sock)
                continue
            other.settimeout(None)
            with self._lock:
                self._open.update((sock, other))
            for source, sink, blocking_fault in (
                (sock, other, LinkFault.CUT_TO_TARGET),
                (other, sock, LinkFault.CUT_FROM_TARGET),
            ):
                threading.Thread(
                    target=self._pump,
                    args=(source, sink, blocking_fault),
                    daemon=True,
                ).start()

    def _pump(self, source, sink, blocking_fault: LinkFault) -> None:
        try:
            while True:
                data = source.recv(_RECEIVE_BYTES)
                if self._fault is LinkFault.DELAY:
                    time.sleep(_DELAY_S)
                while self._fault in (blocking_fault, LinkFault.SILENT):
                    time.sleep(_HOLD_POLL_S)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            _reset(sink)
            _reset(source)
        finally:
            with self._lock:
                self._open.discard(source)


def _reset(sock: socket.socket) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()
