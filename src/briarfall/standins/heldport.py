"""Keeps the port of a stand-in that is down for the time of a fault."""

import socket


class HeldPort:
    """A port that the system gives to no other socket.

    The system may otherwise use it as the local port of a connection, so that
    the stand-in can't listen on it again. Connections to it are refused.

    Args:
        address: IP number and port; nothing listens there any more.
    """

    def __init__(self, address: tuple[str, int]):
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind(address)

    def release(self) -> None:
        """Gives the port back; a second call has no effect."""
        self._sock.close()
