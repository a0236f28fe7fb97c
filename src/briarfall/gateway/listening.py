"""Opens listening sockets; needs nothing but the standard library."""

import socket

_BACKLOG = 1024


def open_listener(host: str, port: int) -> socket.socket:
    """Returns a listening socket.

    Args:
        host: IP number.
        port: Port, 0 for any.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(_BACKLOG)
    return sock
