"""Second connections to targets that answer without a length.

Such an answer ends with its connection, and so does one that is cut by the end
of its target's process. That process also ends all its other connections, but
a target closes those that carry no request as idle. A witness is therefore
replaced while its target accepts connections.
"""

import enum
import errno
import select
import socket
import threading

from absl import logging

from briarfall import addresses
from briarfall import exceptions
from briarfall.gateway import clocks
from briarfall.gateway import workers
from briarfall.gateway.exchanges import dialing
from briarfall.gateway.exchanges import targetconnection

# The connections of a process that ends are closed one after the other, and a
# lost packet is sent again after 0.2 s.
CLOSE_LAG_S = 0.3
# Share of its target's idle timeout after which a witness is replaced. A target
# may refuse connections from then on; its last witness stays open for the rest.
_RENEWAL_SHARE = 0.25
_MIN_RENEWAL_S = 0.5
_REFRESH_INTERVAL_S = 0.1
# Pieces of an answer that may still arrive after its target has ended.
_MAX_PIECES_ON_WAY = 2


class WitnessState(enum.Enum):
    """What the second connection to a target says of one answer.

    Attributes:
        OPEN: Neither side has closed it.
        CLOSED: The target has closed or reset it, not earlier than the answer.
        MISSING: It was never established, or was closed while the answer went
            on.
    """

    OPEN = "open"
    CLOSED = "closed"
    MISSING = "missing"


class Witness:
    """A second connection to a target, without a request.

    It is closed by the system when the target's process ends, and stays open
    while the target merely refuses new connections.

    Args:
        address: IP address and port of the target.
        dialer: Opens the connection, without waiting for it.

    Attributes:
        was_refused: Whether the target refused it.
    """

    def __init__(self, address: str, dialer: dialing.Dialer):
        self.was_refused = False
        self._sock: socket.socket | None = None
        try:
            endpoint = addresses.parse(address, "witness")
            self._sock, code = dialer.start_connect(endpoint)
        except (exceptions.CatalogueError, OSError) as exc:
            logging.debug("no witness connection to %s: %s", address, exc)
            return
        if code not in (0, errno.EINPROGRESS):
            self.was_refused = code == errno.ECONNREFUSED
            self.close()

    @property
    def has_ended(self) -> bool:
        """Whether it was closed here, or never established."""
        return self._sock is None

    @property
    def state(self) -> WitnessState:
        """State of the connection now; missing while it is established."""
        if self._sock is None:
            return WitnessState.MISSING
        poller = select.poll()
        poller.register(self._sock, select.POLLOUT | select.POLLRDHUP)
        events = dict(poller.poll(0)).get(self._sock.fileno(), 0)
        if not events:
            return WitnessState.MISSING
        if events == select.POLLOUT:
            return WitnessState.OPEN
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code in (errno.ECONNREFUSED, errno.ETIMEDOUT, errno.EHOSTUNREACH):
            self.was_refused = code == errno.ECONNREFUSED
            self.close()
            return WitnessState.MISSING
        return WitnessState.CLOSED

    def close(self) -> None:
        """Closes the connection; a second call has no effect."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None


class WatchedAnswer:
    """An answer without a length whose target has a witness.

    Args:
        conn: The connection that ends with it.

    Attributes:
        conn: That connection.
        last_open_s: Time on the boot clock at which its target was last seen
            not to have ended it, whether its bytes were read or not.
    """

    def __init__(self, conn: targetconnection.TargetConnection):
        self.conn = conn
        self.last_open_s = clocks.boot_s()
        self._pieces = 0
        self._pieces_since_s: float | None = None

    def refresh(self) -> None:
        """Looks whether its target has ended it."""
        now_s = clocks.boot_s()
        if self.conn.is_open:
            self.last_open_s = now_s

    def record_piece(self, closed_s: float) -> None:
        """Records a piece that was read after the witness was closed."""
        if self._pieces_since_s != closed_s:
            self._pieces_since_s = closed_s
            self._pieces = 0
        self._pieces += 1

    def has_outlived(self, event_s: float) -> bool:
        """Whether it went on after an event, too long for the same cause."""
        if self.last_open_s >= event_s + CLOSE_LAG_S:
            return True
        return (
            self._pieces_since_s == event_s
            and self._pieces > _MAX_PIECES_ON_WAY
        )


class TargetWitness:
    """The witness of one target, which all its answers share.

    Args:
        address: IP address and port of the target.
        dialer: Opens the connections.
        idle_limit_s: Time after which the target closes an idle connection.
    """

    def __init__(
        self, address: str, dialer: dialing.Dialer, idle_limit_s: float
    ):
        self._address = address
        self._dialer = dialer
        self._renewal_s = max(_MIN_RENEWAL_S, idle_limit_s * _RENEWAL_SHARE)
        self._lock = threading.Lock()
        self._answers: set[WatchedAnswer] = set()
        self._current: Witness | None = None
        # Takes the place of the current one once it is established.
        self._next: Witness | None = None
        self._attempt_s = float("-inf")
        # Times on the boot clock, while no witness is open: when the target
        # closed the last one, and when it first refused a further one.
        self._closed_s: float | None = None
        self._refused_s: float | None = None

    def add(self, answer: WatchedAnswer) -> None:
        """Adds an answer whose head has arrived."""
        with self._lock:
            self._answers.add(answer)
            self._renew()

    def remove(self, answer: WatchedAnswer) -> bool:
        """Removes an answer; without any the connections are closed.

        Returns:
            Whether no answer is left.
        """
        with self._lock:
            self._answers.discard(answer)
            if self._answers:
                return False
            for witness in (self._current, self._next):
                if witness is not None:
                    witness.close()
            return True

    def refresh(self) -> None:
        """Looks at all connections, and replaces a witness that is due."""
        with self._lock:
            for answer in self._answers:
                answer.refresh()
            self._update()
            if self._answers:
                self._renew()

    def state(self, answer: WatchedAnswer) -> WitnessState:
        """Returns what the witness says of an answer now."""
        with self._lock:
            self._update()
            if self._current is not None:
                return WitnessState.OPEN
            if self._closed_s is None or answer.has_outlived(self._closed_s):
                return WitnessState.MISSING
            return WitnessState.CLOSED

    def has_outlived_refusal(self, answer: WatchedAnswer) -> bool:
        """Whether an answer went on though its target refused connections."""
        with self._lock:
            return self._refused_s is not None and answer.has_outlived(
                self._refused_s
            )

    def record_piece(self, answer: WatchedAnswer) -> None:
        """Records that a piece of an answer was read."""
        with self._lock:
            self._update()
            if self._closed_s is not None:
                answer.record_piece(self._closed_s)

    def _renew(self) -> None:
        """Opens a further connection if it is time."""
        if self._next is not None:
            return
        interval_s = _MIN_RENEWAL_S
        if self._current is not None:
            interval_s = self._renewal_s
        now_s = clocks.boot_s()
        if now_s - self._attempt_s < interval_s:
            return
        self._attempt_s = now_s
        self._next = Witness(self._address, self._dialer)

    def _update(self) -> None:
        if self._next is not None:
            self._update_next(self._next)
        current = self._current
        if current is not None and current.state is not WitnessState.OPEN:
            current.close()
            self._current = None
            self._closed_s = clocks.boot_s()

    def _update_next(self, witness: Witness) -> None:
        state = witness.state
        if state is WitnessState.OPEN:
            if self._current is not None:
                self._current.close()
            self._current = witness
            self._next = None
            self._closed_s = None
            self._refused_s = None
            return
        if state is WitnessState.MISSING and not witness.has_ended:
            return
        self._next = None
        witness.close()
        if witness.was_refused and self._refused_s is None:
            self._refused_s = clocks.boot_s()
        if state is WitnessState.CLOSED and self._current is None:
            self._closed_s = clocks.boot_s()


class WitnessKeeper:
    """Keeps a witness for each target that answers without a length.

    Args:
        dialer: Opens the connections.
    """

    def __init__(self, dialer: dialing.Dialer):
        self._dialer = dialer
        self._lock = threading.Lock()
        self._by_address: dict[str, TargetWitness] = {}
        self._worker: _Refresher | None = None

    def watch(
        self, conn: targetconnection.TargetConnection, idle_limit_s: float
    ) -> WatchedAnswer:
        """Adds an answer without a length, until it is released.

        Args:
            conn: The connection that ends with it.
            idle_limit_s: Time after which its target closes idle connections.
        """
        answer = WatchedAnswer(conn)
        with self._lock:
            witness = self._by_address.get(conn.address)
            if witness is None:
                witness = TargetWitness(
                    conn.address, self._dialer, idle_limit_s
                )
                self._by_address[conn.address] = witness
            witness.add(answer)
            if self._worker is None:
                self._worker = _Refresher(self)
                self._worker.start()
        return answer

    def release(self, answer: WatchedAnswer) -> None:
        """Removes an answer; a second call has no effect."""
        address = answer.conn.address
        with self._lock:
            witness = self._by_address.get(address)
            if witness is not None and witness.remove(answer):
                del self._by_address[address]

    def of(self, answer: WatchedAnswer) -> TargetWitness:
        """Returns the witness of an answer that was not released."""
        return self._by_address[answer.conn.address]

    def refresh(self) -> bool:
        """Looks at all witnesses; returns whether there are any."""
        with self._lock:
            rows = list(self._by_address.values())
            if not rows:
                self._worker = None
        for row in rows:
            row.refresh()
        return bool(rows)


class _Refresher(workers.Worker):
    """Thread that looks at witnesses as long as there are any."""

    def __init__(self, keeper: WitnessKeeper):
        super().__init__("witnesses")
        self._keeper = keeper

    def step(self) -> None:
        """Looks at all witnesses once."""
        self.stopped.wait(_REFRESH_INTERVAL_S)
        if not self._keeper.refresh():
            self.stop()
