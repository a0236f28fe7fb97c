"""Sends a request without waiting for its target to read it."""

import socket

from absl import logging

from briarfall.gateway import clocks


class OutgoingBytes:
    """Bytes that a connection still has to send.

    Args:
        sock: Socket of the connection.

    Attributes:
        last_sent_s: Time on the boot clock of the last progress.
    """

    def __init__(self, sock: socket.socket):
        self._sock = sock
        self._rest = memoryview(b"")
        self._has_failed = False
        self.last_sent_s = 0.0

    @property
    def is_pending(self) -> bool:
        """Whether bytes have to wait until the target reads."""
        return bool(self._rest)

    @property
    def is_complete(self) -> bool:
        """Whether all bytes were sent."""
        return not self.is_pending and not self._has_failed

    def put(self, data: bytes) -> None:
        """Sends what the system takes at once, and keeps the rest.

        Args:
            data: A complete request; none of an earlier one may be pending.
        """
        self._rest = memoryview(data)
        self.last_sent_s = clocks.boot_s()
        self.push()

    def push(self) -> None:
        """Sends what the system takes now.

        A connection that takes no more bytes may still hold a response, so
        that its failure shows where the response is read.
        """
        while self._rest:
            try:
                count = self._sock.send(self._rest, socket.MSG_DONTWAIT)
            except BlockingIOError:
                return
            except OSError as exc:
                logging.info(
                    "request not sent to its end unsent=%d: %s",
                    len(self._rest),
                    exc,
                )
                self._rest = memoryview(b"")
                self._has_failed = True
                return
            self._rest = self._rest[count:]
            if not self._rest:
                # An empty view would keep the whole request in memory.
                self._rest = memoryview(b"")
            self.last_sent_s = clocks.boot_s()
