"""Opens TCP connections to targets."""

import abc
import socket

from briarfall import addresses


class Dialer(abc.ABC):
    """Opens connections; tests replace it to make links fail."""

    @abc.abstractmethod
    def connect(
        self, endpoint: addresses.Address, timeout_s: float
    ) -> socket.socket:
        """Returns a connected socket.

        Args:
            endpoint: IP address and port.
            timeout_s: Longest time to wait for the connection.

        Raises:
            OSError: The connection failed.
        """

    @abc.abstractmethod
    def start_connect(
        self, endpoint: addresses.Address
    ) -> tuple[socket.socket, int]:
        """Starts to connect a non-blocking socket.

        Args:
            endpoint: IP address and port.

        Returns:
            The socket and the error number of the attempt, which is EINPROGRESS
            while it is under way.

        Raises:
            OSError: The process can't open a socket.
        """


class SystemDialer(Dialer):
    """Opens connections through the operating system."""

    def connect(
        self, endpoint: addresses.Address, timeout_s: float
    ) -> socket.socket:
        """Returns a connected socket; see `Dialer`."""
        return socket.create_connection(endpoint, timeout_s)

    def start_connect(
        self, endpoint: addresses.Address
    ) -> tuple[socket.socket, int]:
        """Starts to connect a non-blocking socket; see `Dialer`."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        return sock, sock.connect_ex(endpoint)


SYSTEM_DIALER = SystemDialer()
