"""Sockets that report a lost connection to each reader.

The system reports the error that ended a connection once, to whichever call
comes first: also to a send, a peek or a query of the error. Later reads then
return no bytes, as after an orderly end, which completes a response without a
length.
"""

import errno
import os
import socket

# Errors that end a connection. EPIPE is none of them: a send also fails with it
# after the remote side has ended the connection in order.
_LOSS_ERRNOS = frozenset(
    {
        errno.ECONNABORTED,
        errno.ECONNREFUSED,
        errno.ECONNRESET,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENETDOWN,
        errno.ENETRESET,
        errno.ENETUNREACH,
        errno.EPROTO,
        errno.ETIMEDOUT,
    }
)


class ResponseSocket(socket.socket):
    """A TCP socket whose reads fail at the end of a lost connection.

    Bytes that arrived before the loss can still be read. One thread uses it at
    a time.
    """

    # Error number of the loss, or 0.
    _loss = 0

    def send(self, data, flags: int = 0) -> int:
        """Sends bytes; see `socket.socket.send`."""
        try:
            return super().send(data, flags)
        except OSError as exc:
            self._record(exc.errno)
            raise

    def sendall(self, data, flags: int = 0) -> None:
        """Sends all bytes; see `socket.socket.sendall`."""
        try:
            super().sendall(data, flags)
        except OSError as exc:
            self._record(exc.errno)
            raise

    def recv(self, bufsize: int, flags: int = 0) -> bytes:
        """Returns bytes; see `socket.socket.recv`.

        Raises:
            OSError: The connection was lost, now or in an earlier call.
        """
        try:
            data = super().recv(bufsize, flags)
        except OSError as exc:
            self._record(exc.errno)
            raise
        if not data and self._loss:
            raise self._loss_error()
        return data

    def recv_into(self, buffer, nbytes: int = 0, flags: int = 0) -> int:
        """Reads into a buffer; see `socket.socket.recv_into`.

        Raises:
            OSError: The connection was lost, now or in an earlier call.
        """
        try:
            count = super().recv_into(buffer, nbytes, flags)
        except OSError as exc:
            self._record(exc.errno)
            raise
        if not count and self._loss:
            raise self._loss_error()
        return count

    def getsockopt(self, level: int, optname: int, *args):
        """Returns an option; see `socket.socket.getsockopt`."""
        value = super().getsockopt(level, optname, *args)
        if (level, optname) == (socket.SOL_SOCKET, socket.SO_ERROR):
            self._record(value)
        return value

    def _record(self, code: int | None) -> None:
        if code in _LOSS_ERRNOS and not self._loss:
            self._loss = code

    def _loss_error(self) -> OSError:
        return OSError(self._loss, os.strerror(self._loss))


def adopt(sock: socket.socket) -> ResponseSocket:
    """Returns a `ResponseSocket` that takes the place of a connected socket.

    Args:
        sock: The socket, which has no descriptor afterwards.
    """
    timeout_s = sock.gettimeout()
    found = ResponseSocket(sock.family, sock.type, sock.proto, sock.detach())
    # A new socket object has no timeout.
    if timeout_s is not None:
        found.settimeout(timeout_s)
    return found
