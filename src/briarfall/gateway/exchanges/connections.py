"""Connection pool, and requests that the gateway itself sends."""

import enum
import threading
import weakref

from briarfall.gateway import clocks
from briarfall.gateway.exchanges import dialing
from briarfall.gateway.exchanges import matching
from briarfall.gateway.exchanges import messages
from briarfall.gateway.exchanges import targetconnection
from briarfall.gateway.exchanges import witnesses

_MAX_IDLE_PER_TARGET = 8
# Time for which a cut response is remembered, longer than any wait for the
# evidence that it gives.
_MAX_CUT_AGE_S = 60.0


class OtherConnections(enum.Enum):
    """What the other connections to an address say of its process.

    Attributes:
        OPEN: One of them is open.
        CUT: None is open, and one was cut amid a response.
        UNKNOWN: None is open, and none was cut lately.
    """

    OPEN = "open"
    CUT = "cut"
    UNKNOWN = "unknown"


class ConnectionPool:
    """Idle connections to targets; the most recently used is reused first.

    Args:
        dialer: Opens new connections.

    Attributes:
        dialer: Opens new connections.
        witnesses: Second connections to targets.
        opened: Number of connections opened so far.
    """

    def __init__(self, dialer: dialing.Dialer = dialing.SYSTEM_DIALER):
        self.dialer = dialer
        self.witnesses = witnesses.WitnessKeeper(dialer)
        self._lock = threading.Lock()
        self._idle: dict[str, list[targetconnection.TargetConnection]] = {}
        # Idle connections and those in use, by address.
        self._opened: dict[str, weakref.WeakSet] = {}
        # Time on the boot clock of the last response that was cut, by address.
        self._cut_s: dict[str, float] = {}
        self._is_closed = False
        self.opened = 0

    def acquire(
        self,
        address: str,
        max_idle_s: float,
        timeout_s: float,
        identity: matching.RequestIdentity,
    ) -> targetconnection.TargetConnection:
        """Returns an idle connection, or a new one, for one request.

        Args:
            address: IP address and port.
            max_idle_s: Longest idle time of a reused connection; 0 always
                opens a new one.
            timeout_s: Bound on opening a connection.
            identity: How the response to the request is recognised; only a
                connection on which it can be is reused.

        Raises:
            NotSentError: The target can't be reached.
        """
        conn = None
        while conn is None and max_idle_s > 0:
            conn = self._take_idle(address, identity)
            if conn is None:
                break
            if not conn.is_usable(max_idle_s):
                conn.close()
                conn = None
        if conn is None:
            self.opened += 1
            timeout_s = min(timeout_s, targetconnection.CONNECT_TIMEOUT_S)
            conn = targetconnection.TargetConnection(
                address, timeout_s, self.dialer
            )
            with self._lock:
                self._opened.setdefault(address, weakref.WeakSet()).add(conn)
        conn.history.start(identity)
        return conn

    def others(
        self, conn: targetconnection.TargetConnection, since_s: float
    ) -> OtherConnections:
        """Returns what the other connections to the same address say.

        Args:
            conn: A connection that its target has ended.
            since_s: Time on the boot clock from which cut responses count.
        """
        with self._lock:
            rows = list(self._opened.get(conn.address, ()))
            cut_s = self._cut_s.get(conn.address)
        for other in rows:
            if other is not conn and other.is_open:
                return OtherConnections.OPEN
        if cut_s is not None and cut_s >= since_s:
            return OtherConnections.CUT
        return OtherConnections.UNKNOWN

    def _take_idle(
        self, address: str, identity: matching.RequestIdentity
    ) -> targetconnection.TargetConnection | None:
        with self._lock:
            idle = self._idle.get(address, [])
            for index in reversed(range(len(idle))):
                if idle[index].history.may_carry(identity):
                    return idle.pop(index)
        return None

    def put(self, conn: targetconnection.TargetConnection) -> None:
        """Adds an idle connection to the pool; a closed pool closes it."""
        surplus = self._add(conn)
        if surplus is not None:
            surplus.close()

    def _add(
        self, conn: targetconnection.TargetConnection
    ) -> targetconnection.TargetConnection | None:
        """Adds an idle connection; returns one that is not to be kept."""
        with self._lock:
            if self._is_closed:
                return conn
            idle = self._idle.setdefault(conn.address, [])
            idle.append(conn)
            return idle.pop(0) if len(idle) > _MAX_IDLE_PER_TARGET else None

    def return_to_pool(
        self,
        conn: targetconnection.TargetConnection,
        head: messages.ResponseHead | None,
    ) -> None:
        """Keeps a connection if its response is complete, else closes it.

        Args:
            conn: The connection.
            head: Head of the response, or None if there was none.
        """
        if head is not None and conn.prepare_for_reuse(head):
            self.put(conn)
        else:
            self.discard(conn)

    def discard(self, conn: targetconnection.TargetConnection) -> None:
        """Closes a connection, and records whether its response was cut."""
        if conn.was_cut:
            with self._lock:
                self._cut_s[conn.address] = clocks.boot_s()
        conn.close()

    def return_unused(self, conn: targetconnection.TargetConnection) -> None:
        """Takes back a connection on which nothing was sent."""
        if conn.is_fresh:
            conn.close()
        else:
            conn.history.cancel()
            self.put(conn)

    def close_idle(self) -> None:
        """Closes connections that have been idle for too long to be reused."""
        expired = []
        with self._lock:
            for address, idle in list(self._idle.items()):
                kept = []
                for conn in idle:
                    if conn.is_expired:
                        expired.append(conn)
                        continue
                    kept.append(conn)
                if kept:
                    self._idle[address] = kept
                else:
                    del self._idle[address]
            self._forget_ended()
        for conn in expired:
            conn.close()

    def _forget_ended(self) -> None:
        """Removes addresses without connections, and old cuts."""
        for address, rows in list(self._opened.items()):
            if not rows:
                del self._opened[address]
        oldest_s = clocks.boot_s() - _MAX_CUT_AGE_S
        for address, cut_s in list(self._cut_s.items()):
            if cut_s < oldest_s:
                del self._cut_s[address]

    def drop(self, address: str) -> None:
        """Closes the idle connections to a target that no longer exists."""
        with self._lock:
            idle = self._idle.pop(address, [])
        for conn in idle:
            conn.close()

    def close(self) -> None:
        """Closes all idle connections; those in use are closed afterwards."""
        with self._lock:
            self._is_closed = True
            addresses = list(self._idle)
        for address in addresses:
            self.drop(address)


def send_request(
    pool: ConnectionPool,
    address: str,
    method: str,
    path: str,
    body: bytes,
    timeout_s: float,
    *,
    headers: messages.Headers = (),
    max_idle_s: float = 2.0,
    id_header: bytes | None = None,
) -> tuple[messages.ResponseHead, bytes]:
    """Sends one request of the gateway itself; returns the response.

    The connection is reused only after a success: such requests have no id,
    so that the copy of a refusal would answer a later one.

    Args:
        pool: Connections to the address.
        address: IP address and port.
        method: HTTP method.
        path: Path and query.
        body: Body, which may be empty.
        timeout_s: Longest wait for the complete response.
        headers: Further headers.
        max_idle_s: Longest idle time of a reused connection.
        id_header: Header that marks responses to other requests on connections
            of the pool; None if the protocol has no ids.

    Raises:
        NotSentError: The target can't be reached.
        BrokenExchangeError: The response is missing or damaged; the request
            may have been executed.
        ResponseTimeoutError: No response in time; the request may have been
            executed.
    """
    deadline_s = clocks.boot_s() + timeout_s
    identity = matching.RequestIdentity(id_header)
    conn = pool.acquire(address, max_idle_s, timeout_s, identity)
    complete_head = None
    try:
        conn.watch(None)
        fields = [
            (b"Host", address.encode()),
            (b"Content-Length", str(len(body)).encode()),
            *headers,
        ]
        conn.send(method.encode(), path.encode(), fields, body, deadline_s)
        head = conn.read_head(deadline_s)
        data = conn.read_body(deadline_s)
        if head.is_success:
            complete_head = head
    finally:
        pool.return_to_pool(conn, complete_head)
    return head, data
