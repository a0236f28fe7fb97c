"""Opens listening sockets; imports only the standard library."""

import socket

_BACKLOG = 1024


def open_listener(host: str, port: int) -> socket.socket:
    """Returns a listening TCP socket.

    Args:
        host: IP address.
        port: Port, or 0 to let the system pick one.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(_BACKLOG)
    return sock
