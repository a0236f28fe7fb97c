"""Kept connections to targets, and calls of our own over them."""

import threading

from briarfall.gateway import clocks
from briarfall.gateway import exchange
from briarfall.gateway import messages

_MAX_IDLE_PER_TARGET = 8


class ConnectionPool:
    """Idle connections to targets, newest first."""

    def __init__(self):
        self._lock = threading.Lock()
        self._idle: dict[str, list[exchange.TargetConnection]] = {}
        self.opened = 0

    def take(
        self, address: str, max_idle_s: float, timeout_s: float
    ) -> exchange.TargetConnection:
        """Returns a kept connection, or a new one.

        Args:
            address: IP number and port.
            max_idle_s: Longest idle time of a kept connection; 0 opens one.
            timeout_s: Bound on opening a connection.

        Raises:
            NotSentError: The target can't be reached.
        """
        while max_idle_s > 0:
            with self._lock:
                rows = self._idle.get(address)
                conn = rows.pop() if rows else None
            if conn is None:
                break
            if conn.is_usable(max_idle_s):
                return conn
            conn.close()
        self.opened += 1
        timeout_s = min(timeout_s, exchange.CONNECT_TIMEOUT_S)
        return exchange.TargetConnection(address, timeout_s)

    def put(self, conn: exchange.TargetConnection) -> None:
        """Keeps a finished connection."""
        with self._lock:
            rows = self._idle.setdefault(conn.address, [])
            rows.append(conn)
            surplus = rows.pop(0) if len(rows) > _MAX_IDLE_PER_TARGET else None
        if surplus is not None:
            surplus.close()

    def give_back(
        self,
        conn: exchange.TargetConnection,
        head: messages.ResponseHead | None,
    ) -> None:
        """Keeps a connection whose response is complete, or closes it.

        Args:
            conn: The connection.
            head: Head of the response, or None if there was none.
        """
        if head is not None and conn.finish(head):
            self.put(conn)
        else:
            conn.close()

    def close_idle(self) -> None:
        """Closes connections that have been idle too long to be used."""
        stale = []
        with self._lock:
            for address, rows in list(self._idle.items()):
                kept = []
                for conn in rows:
                    if conn.has_lapsed:
                        stale.append(conn)
                        continue
                    kept.append(conn)
                if kept:
                    self._idle[address] = kept
                else:
                    del self._idle[address]
        for conn in stale:
            conn.close()

    def drop(self, address: str) -> None:
        """Closes the idle connections to a target that has gone."""
        with self._lock:
            rows = self._idle.pop(address, [])
        for conn in rows:
            conn.close()


def call(
    pool: ConnectionPool,
    address: str,
    method: str,
    path: str,
    body: bytes,
    timeout_s: float,
    *,
    headers: messages.Headers = (),
    max_idle_s: float = 2.0,
) -> tuple[messages.ResponseHead, bytes]:
    """Makes one call of our own and returns the whole response.

    Raises:
        NotSentError: The target can't be reached.
        BrokenExchangeError: The call may have been executed.
        TimeUpError: No answer in time; the call may have been executed.
    """
    deadline_s = clocks.boot_s() + timeout_s
    conn = pool.take(address, max_idle_s, timeout_s)
    whole = None
    try:
        conn.watch(None)
        fields = [
            (b"Host", address.encode()),
            (b"Content-Length", str(len(body)).encode()),
            *headers,
        ]
        conn.send(method.encode(), path.encode(), fields, body, deadline_s)
        head = conn.read_head(deadline_s, lambda head: True)
        data = conn.read_body(deadline_s)
        whole = head
    finally:
        pool.give_back(conn, whole)
    return head, data
