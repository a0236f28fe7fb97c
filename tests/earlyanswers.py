"""Responses that are sent before the body of their request was read."""

import contextlib
import enum
import fcntl
import socket
import sys
import termios
import time

import pytest

from briarfall.standins.prepared import rawhttp

# More than the system takes for a target that has not read it yet.
LONG_BYTES = 4_150_000
HALF = b"half of the body" * 64
WHOLE = HALF * 2
# Time for the client to read a part, and to go on sending.
_PAUSE_S = 0.2
# Longest wait until a client has received the part.
_MAX_SEND_S = 10.0
_RECEIVE_BUFFER_BYTES = 4096
_PART_BYTES = 50_000


class Ending(enum.Enum):
    """How a target ends its response.

    Attributes:
        RESET: By a reset after a half of the body.
        CLOSE: In order, after the whole body.
        RESET_WHOLE: By a reset after the whole body.
        CLOSE_UNREAD: In order, after the whole body; it resets afterwards,
            since it closes with bytes of the request unread.
    """

    RESET = "reset"
    CLOSE = "close"
    RESET_WHOLE = "reset_whole"
    CLOSE_UNREAD = "close_unread"


class Reading(enum.Enum):
    """What a target reads of a request while it answers."""

    NOTHING = "nothing"
    A_PART = "a_part"
    ON_AND_ON = "on_and_on"
    ALL = "all"


class Framing(enum.Enum):
    """What tells where a body ends."""

    CONNECTION = "connection"
    LENGTH = "length"
    CHUNKS = "chunks"


EACH_READING = pytest.mark.parametrize(
    "reading", list(Reading), ids=lambda reading: reading.value
)
EACH_ORDERLY_ENDING = pytest.mark.parametrize(
    "ending",
    [Ending.CLOSE, Ending.CLOSE_UNREAD],
    ids=lambda ending: ending.value,
)
EACH_TOLD_FRAMING = pytest.mark.parametrize(
    "framing",
    [Framing.LENGTH, Framing.CHUNKS],
    ids=lambda framing: framing.value,
)
EACH_STATUS = pytest.mark.parametrize("status", [200, 500])


class EarlyAnswer:
    """Answers requests before it has read their bodies.

    Attributes:
        status: Status of the responses.
        framing: What tells where their bodies end.
        body: The whole body.
        sent: Length of the part of the body that is sent before a reset.
        ending: How they end.
        reading: What is read of the requests meanwhile.
        headers: Further headers.
    """

    def __init__(self, ending=Ending.RESET, reading=Reading.NOTHING):
        self.status = 200
        self.framing = Framing.CONNECTION
        self.body = WHOLE
        self.sent = len(HALF)
        self.ending = ending
        self.reading = reading
        self.headers = {}

    def serve(self, server: rawhttp.RawServer) -> None:
        """Lets a server handle requests before it reads their bodies."""
        server.max_body_bytes = 0
        # A new connection inherits the small window of its listener.
        server._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )

    def give(self, conn: rawhttp.RawConnection, req) -> bool:
        """Answers a request; returns that the connection has ended."""
        left = int(req.headers.get("content-length", "0"))
        if self.reading is Reading.ALL:
            conn.discard(left)
        elif self.reading is not Reading.NOTHING:
            conn.discard(min(left, _PART_BYTES))
        is_cut = self.ending is Ending.RESET
        conn.send(self._head(req))
        conn.send(self._framed(self.body[: self.sent] if is_cut else self.body))
        self._end(conn, left)
        return False

    def _head(self, req) -> bytes:
        fields = {"Connection": "close", **self.headers}
        if "x-request-id" in req.headers:
            fields["X-Request-Id"] = req.headers["x-request-id"]
        if self.framing is Framing.LENGTH:
            fields["Content-Length"] = str(len(self.body))
        if self.framing is Framing.CHUNKS:
            fields["Transfer-Encoding"] = "chunked"
        lines = [f"HTTP/1.1 {self.status} X"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def _framed(self, part: bytes) -> bytes:
        """Returns the bytes of a part of the body, or of the whole one."""
        if self.framing is not Framing.CHUNKS:
            return part
        last = b"0\r\n\r\n" if part == self.body else b""
        return b"%x\r\n" % len(part) + part + b"\r\n" + last

    def _end(self, conn: rawhttp.RawConnection, left: int) -> None:
        if self.ending in (Ending.CLOSE, Ending.CLOSE_UNREAD):
            conn.sock.shutdown(socket.SHUT_WR)
        if self.ending is Ending.CLOSE:
            conn.discard(left)
            conn.sock.close()
            return
        _await_sent(conn.sock)
        end_s = time.monotonic() + _PAUSE_S
        while time.monotonic() < end_s:
            if self.reading is Reading.ON_AND_ON and left:
                conn.discard(_RECEIVE_BUFFER_BYTES)
            time.sleep(_PAUSE_S / 20)
        if self.ending is Ending.CLOSE_UNREAD:
            conn.sock.close()
        else:
            conn.reset()


def _await_sent(sock: socket.socket) -> None:
    """Waits until the client's system has all bytes; a reset drops others."""
    end_s = time.monotonic() + _MAX_SEND_S
    while time.monotonic() < end_s:
        unsent = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4))
        if not int.from_bytes(unsent, sys.byteorder):
            return
        time.sleep(_PAUSE_S / 20)


@contextlib.contextmanager
def servers():
    """Yields a function that serves early answers; it returns the address."""
    with contextlib.ExitStack() as stack:

        def start(early: EarlyAnswer) -> str:
            server = rawhttp.RawServer(early.give)
            stack.callback(server.close)
            early.serve(server)
            return server.address

        yield start
