"""Reaches peers by name, over links that are opened when needed."""

import concurrent.futures
import threading
import time

from briarfall import exceptions
from briarfall import ids
from briarfall.membership import links
from briarfall.membership import table as tables
from briarfall.orders import sequencer

_IDLE_S = 30.0
_RETRY_S = 1.0
_THREADS = 16


class PeerSet(sequencer.Directory):
    """Links to other instances.

    Args:
        members: Names and addresses.
        security: Keys and certificates.
        handlers: Serve what peers send over these links.
        counters: Count bytes.
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
        self._open: dict[str, links.Connection] = {}
        self._used_s: dict[str, float] = {}
        self._failed_s: dict[str, float] = {}
        self._pool = concurrent.futures.ThreadPoolExecutor(
            _THREADS, thread_name_prefix="link-call"
        )

    def live(self) -> list[ids.InstanceId]:
        """Returns the live instances, this one included."""
        return self._members.live()

    def call(self, peer, method, message, kind, timeout_s):
        """Calls a peer; see the base class."""
        return self._connection(peer).call(method, message, kind, timeout_s)

    def call_address(self, address: str, method, message, kind, timeout_s):
        """Calls an instance whose name is not known, over a link of its own.

        Raises:
            PeerError: The instance did not answer.
        """
        conn = self._link(address)
        try:
            return conn.call(method, message, kind, timeout_s)
        finally:
            conn.close()

    def cast(self, peer: ids.InstanceId, method: str, message) -> None:
        """Sends to a peer without waiting for an answer."""
        self._connection(peer).cast(method, message)

    def close_idle(self, keep: set[str]) -> None:
        """Closes links that were not used for a time."""
        now = time.monotonic()
        for peer, conn in list(self._open.items()):
            if peer in keep and not conn.closed.is_set():
                continue
            if conn.closed.is_set() or now - self._used_s[peer] > _IDLE_S:
                with self._lock:
                    self._open.pop(peer, None)
                conn.close()

    def close(self) -> None:
        """Closes all links."""
        for conn in list(self._open.values()):
            conn.close()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _connection(self, peer: str) -> links.Connection:
        now = time.monotonic()
        with self._lock:
            conn = self._open.get(peer)
            self._used_s[peer] = now
        if conn is not None and not conn.closed.is_set():
            return conn
        if now - self._failed_s.get(peer, float("-inf")) < _RETRY_S:
            raise exceptions.PeerError(f"{peer} was unreachable just now")
        member = self._members.get(peer)
        if member is None:
            raise exceptions.PeerError(f"{peer} is not known")
        return self._connect(peer, member.address)

    def _connect(self, peer: str, address: str) -> links.Connection:
        try:
            conn = self._link(address)
        except exceptions.PeerError:
            self._failed_s[peer] = time.monotonic()
            raise
        with self._lock:
            other = self._open.get(peer)
            if other is None or other.closed.is_set():
                self._open[peer] = conn
                return conn
        conn.close()
        return other

    def _link(self, address: str) -> links.Connection:
        return links.connect(
            self._members.me.id,
            address,
            self._security,
            self._handlers,
            self._pool,
            self._counters,
        )
