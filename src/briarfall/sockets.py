"""Small operations on sockets."""

import select
import socket
import struct


def set_kernel_timeout(sock: socket.socket, seconds: int) -> None:
    """Lets the kernel time out reads and writes of a blocking socket.

    The interpreter's own timeouts cost a poll before each call, and with it
    one more hand-over of the interpreter lock for each token.
    """
    limit = struct.pack("ll", seconds, 0)
    sock.settimeout(None)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, limit)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, limit)


def shut(sock: socket.socket) -> None:
    """Ends a connection at once in both directions, without a reply."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


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
