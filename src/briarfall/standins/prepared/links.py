"""Servers of a target for one instance each, whose links can be cut."""

import enum
import os
import socket
import threading

from briarfall.standins.prepared import gates
from briarfall.standins.prepared import rawhttp

# One connection fills the queue of a listener with this backlog; the kernel
# then ignores further attempts to connect.
_FULL_BACKLOG = 0
_FILLERS = 2


_HOSTS_PER_PART = 250


def own_host(number: int) -> str:
    """Returns a loopback host whose ports no other process uses.

    Args:
        number: Distinguishes the hosts of this process, from 0 to 249.
    """
    rest, last = divmod(os.getpid(), _HOSTS_PER_PART)
    first = rest % _HOSTS_PER_PART
    return f"127.{1 + first}.{1 + last}.{1 + number}"


class Cut(enum.Enum):
    """State of the link between an instance and a target."""

    NONE = "none"
    # Connections and attempts to connect get no answer.
    HANG = "hang"
    # Connections are reset, and attempts to connect are refused.
    RESET = "reset"
    # Connections go on; attempts to connect are refused.
    REFUSE_NEW = "refuse_new"


class LinkServer(rawhttp.RawServer):
    """Serves one instance, at a loopback address that only it connects to.

    Args:
        handler: Handles a request; returns whether the connection stays open.
        host: Loopback address at which the instance reaches all targets.
        port: Port of the target.
        outer: Gates of the target.
    """

    def __init__(
        self,
        handler: rawhttp.Handler,
        host: str,
        port: int,
        outer: tuple[gates.Gate, ...],
    ):
        self._gate = gates.Gate()
        self._cut = Cut.NONE
        self._is_up = False
        self._state_lock = threading.Lock()
        self._fillers: list[socket.socket] = []
        super().__init__(handler, host, port, (*outer, self._gate))

    def reopen(self) -> None:
        """Starts listening, unless the cut forbids it."""
        with self._state_lock:
            self._is_up = True
            self._listen()

    def close(self) -> None:
        """Closes the listener and resets all connections."""
        with self._state_lock:
            self._is_up = False
            self._stop()
        self.reset_all()

    def stop_listening(self) -> None:
        """Refuses new connections; the open ones go on."""
        with self._state_lock:
            self._is_up = False
            self._stop()

    def set_cut(self, cut: Cut) -> None:
        """Cuts the link, or ends the cut."""
        with self._state_lock:
            self._cut = cut
            self._stop()
            if cut is Cut.HANG:
                self._gate.shut()
            else:
                self._gate.open()
            if self._is_up:
                self._listen()
        if cut is Cut.RESET:
            self.reset_all()

    def _listen(self) -> None:
        if self._cut is Cut.NONE:
            self._start()
        elif self._cut is Cut.HANG:
            self._fill_queue()

    def _stop(self) -> None:
        super()._stop()
        for sock in self._fillers:
            sock.close()
        self._fillers.clear()

    def _fill_queue(self) -> None:
        """Listens with a full queue, so that attempts to connect hang."""
        self._stop()
        self._listener = socket.create_server(
            (self.host, self.port), backlog=_FULL_BACKLOG
        )
        for _ in range(_FILLERS):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex((self.host, self.port))
            self._fillers.append(sock)
