"""Calls peers by name, over links that are opened on demand."""

import concurrent.futures
import threading
import time

from briarfall import exceptions
from briarfall import ids
from briarfall.membership import links
from briarfall.membership import table as tables
from briarfall.orders import claimrouting

_IDLE_TIMEOUT_S = 30.0
# After a failed attempt to connect to a peer, calls to it fail immediately for
# this time.
_RECONNECT_DELAY_S = 1.0
_THREADS = 16


class PeerSet(claimrouting.PeerDirectory):
    """Links to other instances, by instance name.

    Args:
        members: Names and addresses of the instances.
        security: Keys and certificates of the links.
        handlers: Handle the messages that peers send over these links.
        counters: Count the bytes sent and received.
    """

    def __init__(
        self,
        members: tables.MemberTable,
        security: links.Security,
        handlers: links.Handlers,
        counters: links.Counters,
    ):
        self._members = members
        self._security = security
        self._handlers = handlers
        self._counters = counters
        self._lock = threading.Lock()
        self._connections: dict[str, links.Connection] = {}
        self._last_used_s: dict[str, float] = {}
        self._last_failure_s: dict[str, float] = {}
        self._pool = concurrent.futures.ThreadPoolExecutor(
            _THREADS, thread_name_prefix="link-call"
        )

    def live(self) -> list[ids.InstanceId]:
        """Returns the live instances, this one included."""
        return self._members.live()

    def call(self, peer, method, message, kind, timeout_s):
        """Calls a peer and returns its answer as `kind`."""
        return self._connection(peer).call(method, message, kind, timeout_s)

    def call_address(self, address: str, method, message, kind, timeout_s):
        """Calls an instance whose name is unknown, over a temporary link.

        Raises:
            PeerError: The instance did not answer.
        """
        conn = self._open_link(address)
        try:
            return conn.call(method, message, kind, timeout_s)
        finally:
            conn.close()

    def send_one_way(self, peer: ids.InstanceId, method: str, message) -> None:
        """Sends a one-way message to a peer.

        Raises:
            PeerError: The peer is unknown or cannot be reached.
        """
        self._connection(peer).send_one_way(method, message)

    def close_idle(self, keep: set[str]) -> None:
        """Closes idle links to peers not in `keep`; removes closed links."""
        now = time.monotonic()
        for peer, conn in list(self._connections.items()):
            if peer in keep and not conn.closed.is_set():
                continue
            if (
                conn.closed.is_set()
                or now - self._last_used_s[peer] > _IDLE_TIMEOUT_S
            ):
                with self._lock:
                    self._connections.pop(peer, None)
                conn.close()

    def close(self) -> None:
        """Closes all links."""
        for conn in list(self._connections.values()):
            conn.close()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _connection(self, peer: str) -> links.Connection:
        now = time.monotonic()
        with self._lock:
            conn = self._connections.get(peer)
            self._last_used_s[peer] = now
        if conn is not None and not conn.closed.is_set():
            return conn
        if (
            now - self._last_failure_s.get(peer, float("-inf"))
            < _RECONNECT_DELAY_S
        ):
            raise exceptions.PeerError(f"peer {peer} was unreachable recently")
        member = self._members.get(peer)
        if member is None:
            raise exceptions.PeerError(
                f"peer {peer} is not in the member table"
            )
        return self._connect(peer, member.address)

    def _connect(self, peer: str, address: str) -> links.Connection:
        try:
            conn = self._open_link(address)
        except exceptions.PeerError:
            self._last_failure_s[peer] = time.monotonic()
            raise
        with self._lock:
            other = self._connections.get(peer)
            if other is None or other.closed.is_set():
                self._connections[peer] = conn
                return conn
        conn.close()
        return other

    def _open_link(self, address: str) -> links.Connection:
        return links.connect(
            self._members.me.id,
            address,
            self._security,
            self._handlers,
            self._pool,
            self._counters,
        )
