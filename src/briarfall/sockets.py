"""Small operations on sockets."""

import resource
import select
import socket
import struct

_RECEIVE_BYTES = 65_536
_MAX_HEAD_BYTES = 1024


def set_kernel_timeout(sock: socket.socket, seconds: int) -> None:
    """Lets the kernel time out reads and writes of a blocking socket.

    The interpreter's own timeouts cost a poll before each call, and with it
    one more hand-over of the interpreter lock for each token.
    """
    limit = struct.pack("ll", seconds, 0)
    sock.settimeout(None)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, limit)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, limit)


def raise_descriptor_limit() -> int:
    """Raises the limit of open files as far as allowed, and returns it."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard


def shut(sock: socket.socket) -> None:
    """Ends a connection at once in both directions, without a reply."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


def discard_input(sock: socket.socket, limit: int, seconds: float) -> None:
    """Ends our side and reads what the other side still sends.

    Args:
        sock: The socket.
        limit: Bytes after which to give up.
        seconds: Longest wait for more input.
    """
    try:
        sock.shutdown(socket.SHUT_WR)
        sock.settimeout(seconds)
        while limit > 0:
            data = sock.recv(_RECEIVE_BYTES)
            if not data:
                return
            limit -= len(data)
    except OSError:
        return


def has_left(sock: socket.socket | None) -> bool:
    """Returns whether the other side has closed a connection."""
    if sock is None:
        return False
    try:
        poller = select.poll()
        poller.register(sock, select.POLLIN | select.POLLRDHUP)
        if not poller.poll(0):
            return False
        return not sock.recv(1, socket.MSG_PEEK)
    except (OSError, ValueError):
        return True


class ChunkedBody:
    """The body of a chunked response, read from its socket directly.

    Args:
        sock: The socket, positioned after the headers.
        data: Bytes of the body that were read already.
    """

    def __init__(self, sock: socket.socket, data: bytes):
        self._sock = sock
        self._rest = data
        self._left = 0
        self._ended = False

    def receive_some(self) -> bytes | None:
        """Waits for data and returns it, or None at the end."""
        while True:
            data = self.receive(0)
            if data is None or data:
                return data

    def receive(self, flags: int) -> bytes | None:
        """Returns the data of one read, perhaps none, or None at the end.

        Raises:
            BlockingIOError: With `MSG_DONTWAIT`, nothing has arrived.
            ValueError: The framing is broken.
        """
        if self._rest and not self._left:
            data = self._decode()
            if data:
                return data
        if self._ended:
            return None
        received = self._sock.recv(_RECEIVE_BYTES, flags)
        if not received:
            return None
        self._rest += received
        return self._decode()

    def _decode(self) -> bytes:
        """Returns the payload of complete and partial chunks."""
        parts = []
        while self._rest:
            if self._left:
                part = self._rest[: self._left]
                self._left -= len(part)
                self._rest = self._rest[len(part) :]
                parts.append(part[: max(0, len(part) + self._left - 2)])
                continue
            head, separator, tail = self._rest.partition(b"\r\n")
            if not separator:
                if len(head) > _MAX_HEAD_BYTES:
                    raise ValueError("chunk head is too long")
                break
            size = int(head.partition(b";")[0], 16)
            self._rest = tail
            if size == 0:
                self._ended = True
                self._rest = b""
                break
            self._left = size + len(b"\r\n")
        return b"".join(parts)


def take_over(resp, sock: socket.socket) -> ChunkedBody | None:
    """Returns the rest of a chunked response, to be read without copies.

    Reading through the HTTP library costs more for each token than all else
    on the way; the library has parsed the headers and keeps the connection.
    """
    if resp.headers.get("Transfer-Encoding", "").lower() != "chunked":
        return None
    reader = getattr(getattr(resp, "_fp", None), "fp", None)
    if reader is None:
        return None
    sock.setblocking(False)
    try:
        buffered = bytes(reader.peek())
        if buffered:
            reader.read(len(buffered))
    finally:
        sock.settimeout(None)
    return ChunkedBody(sock, buffered)
