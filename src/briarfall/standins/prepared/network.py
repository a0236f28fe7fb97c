"""Stand-in of the network between one instance and its targets."""

import enum
import socket
import struct
import threading

from briarfall import addresses
from briarfall.gateway.exchanges import dialing

_RECEIVE_BYTES = 65_536
_RESET = struct.pack("ii", 1, 0)
# Connections that fill the accept queue of a listener whose backlog is 0.
_FILLERS = 4


class Cut(enum.Enum):
    """What happens to connections while a link is cut.

    Attributes:
        HANG: Open connections carry nothing; new ones are never accepted.
        RESET: Open connections are reset, new ones as soon as they are open.
        REFUSE_NEW: Open connections live on; new ones are refused.
        HANG_NEW: Open connections live on; new ones are never accepted.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE_NEW = "refuse_new"
    HANG_NEW = "hang_new"


class Network(dialing.SystemDialer):
    """Connections of one instance, whose links to targets can be cut.

    Attributes:
        dialled: Addresses of all attempts to connect, in order.
    """

    def __init__(self):
        self.dialled: list[str] = []
        self._lock = threading.Lock()
        self._cuts: dict[str, Cut] = {}
        self._links: list[_Link] = []
        self._silent, self._fillers = _open_silent_listener()
        self._resetting = socket.create_server(("127.0.0.1", 0))
        self._accepting = threading.Thread(target=self._reset_all, daemon=True)
        self._accepting.start()

    def cut(self, kind: Cut, targets) -> None:
        """Cuts the links to some targets.

        Args:
            kind: How the links fail.
            targets: Stand-ins of the targets.
        """
        self.cut_addresses(kind, [target.address for target in targets])

    def cut_addresses(self, kind: Cut, addresses) -> None:
        """Cuts the links to some addresses.

        Args:
            kind: How the links fail.
            addresses: IP addresses with ports.
        """
        with self._lock:
            for address in addresses:
                self._cuts[address] = kind
            links = list(self._links)
        for link in links:
            link.apply(self._cuts.get(link.address))

    def heal(self) -> None:
        """Ends all cuts."""
        with self._lock:
            self._cuts.clear()
            links = list(self._links)
        for link in links:
            link.apply(None)

    def connect(
        self, endpoint: addresses.Address, timeout_s: float
    ) -> socket.socket:
        """Returns a socket that is connected through a link to a target."""
        address = "{}:{}".format(*endpoint)
        cut = self._record(address)
        if cut is not None:
            return super().connect(self._failing_endpoint(cut), timeout_s)
        link = _Link(address, super().connect(endpoint, timeout_s))
        with self._lock:
            self._links.append(link)
            cut = self._cuts.get(address)
        link.apply(cut)
        return link.near

    def start_connect(
        self, endpoint: addresses.Address
    ) -> tuple[socket.socket, int]:
        """Starts to connect a socket, directly or to a failing listener."""
        cut = self._record("{}:{}".format(*endpoint))
        if cut is not None:
            endpoint = self._failing_endpoint(cut)
        return super().start_connect(endpoint)

    def close(self) -> None:
        """Resets all connections."""
        with self._lock:
            links = list(self._links)
        for link in links:
            link.apply(Cut.RESET)
        # Only a shutdown wakes the thread that waits in accept.
        self._resetting.shutdown(socket.SHUT_RDWR)
        self._accepting.join()
        for sock in [self._silent, self._resetting, *self._fillers]:
            sock.close()

    def _record(self, address: str) -> Cut | None:
        with self._lock:
            self.dialled.append(address)
            return self._cuts.get(address)

    def _failing_endpoint(self, cut: Cut) -> addresses.Address:
        """Returns an address to which connections fail as those of a cut."""
        if cut in (Cut.HANG, Cut.HANG_NEW):
            return addresses.Address(*self._silent.getsockname())
        if cut is Cut.RESET:
            return addresses.Address(*self._resetting.getsockname())
        with socket.create_server(("127.0.0.1", 0)) as closed:
            return addresses.Address(*closed.getsockname())

    def _reset_all(self) -> None:
        while True:
            try:
                sock, _ = self._resetting.accept()
            except OSError:
                return
            _reset(sock)


class _Link:
    """A connection that is passed on to a target by two threads.

    Attributes:
        address: Address of the target.
        near: The instance's end.
    """

    def __init__(self, address: str, far: socket.socket):
        self.address = address
        self._far = far
        self._far.settimeout(None)
        with socket.create_server(("127.0.0.1", 0)) as server:
            self.near = socket.create_connection(server.getsockname())
            self._middle, _ = server.accept()
        for sock in (self._far, self._middle):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Set while bytes are passed on.
        self._flows = threading.Event()
        self._flows.set()
        for source, sink in (
            (self._far, self._middle),
            (self._middle, self._far),
        ):
            threading.Thread(
                target=self._pass_on, args=(source, sink), daemon=True
            ).start()

    def apply(self, cut: Cut | None) -> None:
        """Makes the connection behave as its link does."""
        if cut is Cut.HANG:
            self._flows.clear()
            return
        if cut is Cut.RESET:
            _reset(self._middle)
            _reset(self._far)
        self._flows.set()

    def _pass_on(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while True:
                data = source.recv(_RECEIVE_BYTES)
                self._flows.wait()
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            self._flows.wait()
            _reset(sink)
            _reset(source)


def _open_silent_listener() -> tuple[socket.socket, list[socket.socket]]:
    """Returns a listener that accepts nothing, and what fills its queue."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    fillers = []
    for _ in range(_FILLERS):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
        fillers.append(sock)
    return listener, fillers


def _reset(sock: socket.socket) -> None:
    """Closes a connection with a reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        # Wakes a thread that waits in recv, which a close alone does not.
        sock.shutdown(socket.SHUT_RD)
        sock.close()
    except OSError:
        return
