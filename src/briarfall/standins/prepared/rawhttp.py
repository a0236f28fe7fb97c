"""A small HTTP server that can violate the HTTP protocol on purpose."""

import collections.abc
import select
import socket
import struct
import threading

import msgspec

from briarfall.standins.prepared import gates

# Address at which servers listen by default.
HOST = "127.0.0.1"
_RECEIVE_BYTES = 65_536
_RESET = struct.pack("ii", 1, 0)


class RawRequest(msgspec.Struct):
    """A request as it was received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition("?")[0]


class RawConnection:
    """One connection, with full control over the bytes that are sent.

    Args:
        sock: Its socket.
        passed: Gates that hold back what is received and sent.
        max_body_bytes: Bytes of a body that `read` waits for; None for all.
    """

    def __init__(
        self,
        sock: socket.socket,
        passed: tuple[gates.Gate, ...] = (),
        max_body_bytes: int | None = None,
    ):
        self.sock = sock
        self._gates = passed
        self._max_body_bytes = max_body_bytes
        self._rest = bytearray()
        self._has_chunks = True

    @property
    def is_held(self) -> bool:
        """Whether a send would wait for a gate."""
        return any(gate.is_shut for gate in self._gates)

    def _receive(self) -> bytes:
        data = self.sock.recv(_RECEIVE_BYTES)
        for gate in self._gates:
            gate.wait()
        return data

    def read(self) -> RawRequest | None:
        """Returns the next request, or None if the client has closed."""
        while b"\r\n\r\n" not in self._rest:
            data = self._receive()
            if not data:
                return None
            self._rest += data
        head, _, self._rest = self._rest.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        if self._max_body_bytes is not None:
            length = min(length, self._max_body_bytes)
        while len(self._rest) < length:
            data = self._receive()
            if not data:
                return None
            self._rest += data
        body = bytes(self._rest[:length])
        del self._rest[:length]
        return RawRequest(method, target, headers, body)

    def discard(self, size: int) -> None:
        """Discards so many bytes behind what `read` took, or all of them."""
        dropped = min(size, len(self._rest))
        del self._rest[:dropped]
        size -= dropped
        while size > 0:
            data = self.sock.recv(min(size, _RECEIVE_BYTES))
            if not data:
                return
            size -= len(data)

    def send(self, data: bytes) -> None:
        """Sends bytes unchanged, as soon as all gates are open."""
        for gate in self._gates:
            if gate.is_shut and gate.splits_sends:
                half = len(data) // 2
                self.sock.sendall(data[:half])
                data = data[half:]
            gate.wait()
        self.sock.sendall(data)

    def respond(
        self,
        status: int,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> None:
        """Sends a well-formed response."""
        self.send(response(status, body, headers))

    def send_chunked_head(self, headers: dict[str, str]) -> None:
        """Sends the head of a response with a chunked body."""
        self._has_chunks = True
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self.send(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))

    def send_chunk(self, data: bytes) -> None:
        """Sends one chunk; an empty chunk ends the body."""
        self.send(b"%x\r\n" % len(data) + data + b"\r\n")

    def send_open_head(self, headers: dict[str, str]) -> None:
        """Sends the head of a response whose body ends with the connection."""
        self._has_chunks = False
        lines = ["HTTP/1.1 200 OK", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self.send(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))

    def send_part(self, data: bytes) -> None:
        """Sends a part of a body as the head of its response announced it."""
        if self._has_chunks:
            self.send_chunk(data)
        else:
            self.send(data)

    @property
    def has_chunks(self) -> bool:
        """Whether the last head announced a chunked body."""
        return self._has_chunks

    def end(self) -> None:
        """Closes the connection without a reset, as after a complete body."""
        self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def reset(self) -> None:
        """Closes the connection with a reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self.sock.close()


def response(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Returns the bytes of a complete response."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


Handler = collections.abc.Callable[[RawConnection, RawRequest], bool]


class RawServer:
    """Serves each connection on a thread of its own.

    Args:
        handler: Handles a request; returns whether the connection stays open.
        host: Loopback address to listen at.
        port: Port to listen at, or 0 for any.
        passed: Gates that hold back what its connections receive and send.

    Attributes:
        idle_timeout_s: Time after which it closes a connection without a
            request; None for never.
        max_body_bytes: Bytes of a body that are read before the request is
            handled; None for all.
    """

    def __init__(
        self,
        handler: Handler,
        host: str = HOST,
        port: int = 0,
        passed: tuple[gates.Gate, ...] = (),
    ):
        self._handler = handler
        self._gates = passed
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        self.opened = 0
        self.idle_timeout_s: float | None = None
        self.max_body_bytes: int | None = None
        self.host = host
        self.port = port
        self._listener: socket.socket | None = None
        self._accepting: threading.Thread | None = None
        self.reopen()
        self.address = f"{self.host}:{self.port}"

    def reopen(self) -> None:
        """Starts listening, at the former port if there is one."""
        self._start()

    def _start(self) -> None:
        self._stop()
        self._listener = socket.create_server(
            (self.host, self.port), backlog=256
        )
        self.port = self._listener.getsockname()[1]
        self._accepting = threading.Thread(
            target=self._accept, args=(self._listener,), daemon=True
        )
        self._accepting.start()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            self._start_serving(sock)

    def _start_serving(self, sock: socket.socket) -> None:
        sock.setblocking(True)
        with self._lock:
            self._open.add(sock)
            self.opened += 1
        threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        conn = RawConnection(sock, self._gates, self.max_body_bytes)
        try:
            while self._await_request(sock):
                req = conn.read()
                if req is None or not self._handler(conn, req):
                    return
        except OSError:
            return
        finally:
            with self._lock:
                self._open.discard(sock)
            sock.close()

    def _await_request(self, sock: socket.socket) -> bool:
        """Waits for a request; returns whether one came in time."""
        if self.idle_timeout_s is None:
            return True
        poller = select.poll()
        poller.register(sock, select.POLLIN)
        return bool(poller.poll(self.idle_timeout_s * 1000))

    def close(self) -> None:
        """Closes the listener and resets all connections."""
        self.stop_listening()
        self.reset_all()

    def stop_listening(self) -> None:
        """Closes the listener only; open connections stay open."""
        self._stop()

    def _stop(self) -> None:
        if self._listener is None:
            return
        self._accept_waiting()
        # Only a shutdown wakes the thread that waits in accept; close does not.
        try:
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._await_accepting()
        self._listener.close()

    def _await_accepting(self) -> None:
        """Waits for the end of the thread that accepts connections."""
        thread = self._accepting
        if thread is not None and thread is not threading.current_thread():
            thread.join()

    def _accept_waiting(self) -> None:
        """Accepts connections that the end of the listener would reset."""
        try:
            self._listener.setblocking(False)
            while True:
                sock, _ = self._listener.accept()
                self._start_serving(sock)
        except OSError:
            return

    def reset_all(self) -> None:
        """Resets all connections."""
        with self._lock:
            rows = list(self._open)
        for sock in rows:
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue
