"""Operations on sockets, and a reader for chunked bodies."""

import re
import resource
import select
import socket
import struct

_RECEIVE_BYTES = 65_536
_CHUNK_SIZE = re.compile(rb"[0-9a-fA-F]{1,16}")
_MAX_CHUNK_HEAD_BYTES = 1024


def set_kernel_timeout(sock: socket.socket, seconds: int) -> None:
    """Sets kernel time-outs for reads and writes of a blocking socket.

    Python's own time-outs poll before each call, which costs one more release
    of the interpreter lock per token.
    """
    limit = struct.pack("ll", seconds, 0)
    sock.settimeout(None)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, limit)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, limit)


def raise_descriptor_limit() -> int:
    """Raises the limit of open files to the hard limit and returns it."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard


def shut(sock: socket.socket) -> None:
    """Shuts a connection down in both directions; ignores errors."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


def discard_input(sock: socket.socket, limit: int, seconds: float) -> None:
    """Ends the sending direction and discards input until the remote ends.

    Args:
        sock: The socket.
        limit: Number of bytes after which it returns.
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


def is_closed_by_remote(sock: socket.socket | None) -> bool:
    """Returns whether the remote side has closed or reset a connection.

    Args:
        sock: The socket; None counts as open.
    """
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
        data: Bytes of the body that have been read already.
    """

    def __init__(self, sock: socket.socket, data: bytes):
        self._sock = sock
        self._buffer = data
        self._chunk_remaining = 0
        self._ended = False

    def receive_some(self) -> bytes | None:
        """Waits for data and returns it, or None at the end."""
        while True:
            data = self.receive(0)
            if data is None or data:
                return data

    def receive(self, flags: int) -> bytes | None:
        """Returns the payload of one read, possibly empty, or None at the end.

        Raises:
            BlockingIOError: With `MSG_DONTWAIT`, nothing has arrived.
            ValueError: The framing is broken.
        """
        if self._buffer and not self._chunk_remaining:
            data = self._decode()
            if data:
                return data
        if self._ended:
            return None
        received = self._sock.recv(_RECEIVE_BYTES, flags)
        if not received:
            return None
        self._buffer += received
        return self._decode()

    def _decode(self) -> bytes:
        """Returns the buffered payload; keeps an incomplete chunk head."""
        parts = []
        while self._buffer:
            if self._chunk_remaining:
                part = self._buffer[: self._chunk_remaining]
                self._chunk_remaining -= len(part)
                self._buffer = self._buffer[len(part) :]
                parts.append(
                    part[: max(0, len(part) + self._chunk_remaining - 2)]
                )
                continue
            head, separator, tail = self._buffer.partition(b"\r\n")
            if not separator:
                # The line feed behind it may not have arrived.
                head = head.removesuffix(b"\r")
            if len(head) > _MAX_CHUNK_HEAD_BYTES:
                raise ValueError(
                    f"chunk head exceeds {_MAX_CHUNK_HEAD_BYTES} bytes"
                )
            if not separator:
                break
            size = parse_chunk_size(head)
            self._buffer = tail
            if size == 0:
                self._ended = True
                self._buffer = b""
                break
            self._chunk_remaining = size + len(b"\r\n")
        return b"".join(parts)


def parse_chunk_size(head: bytes) -> int:
    """Returns the size in the first line of a chunk.

    Args:
        head: The line, without its end.

    Raises:
        ValueError: It holds no size.
    """
    digits = head.partition(b";")[0].strip(b" \t")
    # `int` alone accepts signs, underscores and prefixes too.
    if not _CHUNK_SIZE.fullmatch(digits):
        raise ValueError(f"chunk size {digits[:20]!r} is no hex number")
    return int(digits, 16)


def detach_chunked_body(resp, sock: socket.socket) -> ChunkedBody | None:
    """Returns a reader that reads a chunked body directly from its socket.

    Reading through urllib3 costs more per token than the rest of the path.
    urllib3 has parsed the headers and keeps owning the connection.

    Args:
        resp: The response, whose headers have been read.
        sock: The socket of the response's connection.

    Returns:
        The reader, or None if the response isn't chunked or its buffer can't
        be reached.
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
