"""Faults of a target's kept connections: repeated refusals, early closes."""

import enum
import random
import threading
import weakref

from briarfall.standins.prepared import rawhttp

# Longest time after which a late copy of a refusal is sent.
_MAX_COPY_DELAY_S = 0.015
# Longest time for which a connection is kept after an answer.
_MAX_KEPT_S = 0.01


class RefusalCopy(enum.Enum):
    """When a target writes a refusal once more on its connection."""

    NONE = "none"
    AT_ONCE = "at_once"
    SHORTLY = "shortly"
    BEFORE_NEXT_ANSWER = "before_next_answer"


class Closing(enum.Enum):
    """When a target closes a connection."""

    NONE = "none"
    # When its next request arrives, which then doesn't run.
    ON_ARRIVAL = "on_arrival"
    # A few milliseconds after an answer.
    AFTER_ANSWER = "after_answer"
    # With a reset, when a request has run, without an answer.
    AFTER_RUN = "after_run"


class ExchangeFaults:
    """Faults of the exchanges on the connections of one target.

    While refusals are copied, the target refuses every other request of a
    connection.

    Attributes:
        refusal_copy: When a refusal is written once more.
        copy_has_id: Whether the copy names the request that was refused.
        closing: When connections are closed early.
    """

    def __init__(self):
        self.refusal_copy = RefusalCopy.NONE
        self.copy_has_id = True
        self.closing = Closing.NONE
        self._lock = threading.Lock()
        self._copies: weakref.WeakKeyDictionary[
            rawhttp.RawConnection, bytes
        ] = weakref.WeakKeyDictionary()
        self._answered: weakref.WeakSet[rawhttp.RawConnection] = (
            weakref.WeakSet()
        )
        self._rng = random.Random(0)

    def refuses(self, conn: rawhttp.RawConnection) -> bool:
        """Whether the target refuses the next request of a connection."""
        if self.refusal_copy is RefusalCopy.NONE:
            return False
        return conn not in self._copies

    def refuse(
        self,
        conn: rawhttp.RawConnection,
        headers: dict[str, str],
        id_headers: dict[str, str],
    ) -> None:
        """Refuses a request; writes the refusal once more, now or later.

        Args:
            conn: The connection.
            headers: Headers of both copies.
            id_headers: Headers that name the request; the second copy has
                them only if it names the request.
        """
        first = rawhttp.response(503, b"full", {**headers, **id_headers})
        copy = first
        if not self.copy_has_id:
            copy = rawhttp.response(503, b"full", headers)
        self._copies[conn] = copy
        if self.refusal_copy is RefusalCopy.AT_ONCE:
            first += copy
        conn.send(first)
        if self.refusal_copy is RefusalCopy.SHORTLY:
            delay_s = self._rng.uniform(0.0, _MAX_COPY_DELAY_S)
            timer = threading.Timer(delay_s, self._send_late, (conn,))
            timer.daemon = True
            timer.start()

    def before_answer(self, conn: rawhttp.RawConnection) -> None:
        """Writes the copy that is due right before the next answer.

        A late copy that was not written by then is dropped: inside an answer it
        would damage this answer, which is another fault.
        """
        with self._lock:
            copy = self._copies.pop(conn, b"")
        if copy and self.refusal_copy is RefusalCopy.BEFORE_NEXT_ANSWER:
            conn.send(copy)

    def closes_on_arrival(self, conn: rawhttp.RawConnection) -> bool:
        """Whether a connection is closed instead of serving its request."""
        return self.closing is Closing.ON_ARRIVAL and conn in self._answered

    def resets_after_run(self, conn: rawhttp.RawConnection) -> bool:
        """Resets a connection whose request has run, if that is the fault."""
        if self.closing is not Closing.AFTER_RUN:
            return False
        conn.reset()
        return True

    def closes_after_answer(
        self, conn: rawhttp.RawConnection, closed: threading.Event
    ) -> bool:
        """Waits a little and returns whether to close a connection.

        Args:
            conn: The connection, whose request has been answered.
            closed: Set when the target ends; the wait ends then, too.
        """
        self._answered.add(conn)
        if self.closing is not Closing.AFTER_ANSWER:
            return False
        closed.wait(self._rng.uniform(0.0, _MAX_KEPT_S))
        return True

    def _send_late(self, conn: rawhttp.RawConnection) -> None:
        with self._lock:
            copy = self._copies.get(conn, b"")
            if conn.is_held:
                return
            try:
                conn.send(copy)
            except OSError:
                return
