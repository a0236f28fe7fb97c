"""Reads the responses of plain services and relayed ones."""

import collections.abc

import h11
import msgspec

from briarfall.gateway import clocks
from briarfall.gateway.calls import calls
from briarfall.gateway.exchanges import inputbounds
from briarfall.gateway.exchanges import messages
from briarfall.gateway.exchanges import pacing
from briarfall.gateway.exchanges import targetconnection

# Responses up to this size are read completely before the caller gets a byte,
# so that a failed response can still be retried.
_MAX_BUFFERED_BYTES = 262_144
# Pieces that are read in one turn of a body that has many small ones.
_PIECES_PER_TURN = 16
# Pieces that are passed on to the caller together hold at most so many bytes.
_MAX_PASSED_BYTES = 65_536


class Body(msgspec.Struct, frozen=True):
    """The body of a response.

    Attributes:
        data: The complete body, or nothing if the caller has it already.
        is_sent: Whether head and body were passed on to the caller, except
            for the end of the body.
    """

    data: bytes
    is_sent: bool

    def pass_on(self, call: calls.Call, head: messages.ResponseHead) -> None:
        """Sends the caller what it still lacks of the response."""
        if self.is_sent:
            call.conn.end()
            return
        headers = messages.end_to_end(head.headers)
        call.conn.answer(head.status, headers, self.data)


class BodyReader:
    """Reads the body of one response, also in several calls.

    Args:
        conn: Connection from which the response is read.
        head: Head of the response.
        pacer: Paces a body that takes much processor time.
    """

    def __init__(
        self,
        conn: targetconnection.TargetConnection,
        head: messages.ResponseHead,
        pacer: pacing.Pacer = pacing.PROCESS_PACER,
    ):
        self._conn = conn
        self._head = head
        self._pacer = pacer
        self._buffered = bytearray()
        self._size = 0
        self._pieces = 0
        self._is_sent = False
        self._time = pacing.ResponseTime()

    def read(
        self,
        call: calls.Call,
        on_start: collections.abc.Callable[[], None] | None = None,
        may_leave: collections.abc.Callable[[], bool] | None = None,
    ) -> Body:
        """Returns the body; passes a long one on directly.

        What was read stays if the wait ends with an error, so that the next
        call goes on there.

        Args:
            call: The request.
            on_start: Called before the caller gets the first part of a long
                body, after which no other response can answer it.
            may_leave: Tells whether another target can answer the request in
                place of one that sends more small pieces than a sound one.

        Raises:
            OtherConnectionReadyError: Another connection can be read.
            BrokenExchangeError: The body is damaged or incomplete.
            InvalidResponseError: The body comes in small pieces without end,
                and is that of a failure, or another target can answer.
            ResponseTimeoutError: The call is out of time.
        """
        self._time.resume(clocks.boot_s(), pacing.cpu_s())
        while True:
            event = self._conn.read_event(call.deadline_s)
            if isinstance(event, h11.EndOfMessage):
                if self._is_sent:
                    self._pass_on(call)
                return Body(bytes(self._buffered), self._is_sent)
            self._size += len(event.data)
            self._buffered += event.data
            if self._is_sent:
                if not self._can_wait():
                    self._pass_on(call)
            elif self._size > _MAX_BUFFERED_BYTES:
                if on_start is not None:
                    on_start()
                self._start_response(call)
            if self._is_sent:
                may_leave = None
            self._await_turn(call, may_leave)

    def _can_wait(self) -> bool:
        """Whether what was read can be passed on with the next piece."""
        if len(self._buffered) >= _MAX_PASSED_BYTES:
            return False
        return self._conn.has_event()

    def _await_turn(
        self,
        call: calls.Call,
        may_leave: collections.abc.Callable[[], bool] | None,
    ) -> None:
        """Waits between the pieces of a body that takes much processor time.

        Raises:
            InvalidResponseError: It has many small pieces, and is that of a
                failure, or another target can answer.
        """
        self._pieces += 1
        is_fragmented = (
            self._pieces % _PIECES_PER_TURN == 0
            and inputbounds.is_fragmented(self._size, self._pieces)
        )
        if is_fragmented and not self._must_read(may_leave):
            raise targetconnection.InvalidResponseError(
                f"{self._conn.address}: status {self._head.status} with "
                f"{self._size} bytes in {self._pieces} pieces, no end"
            )
        used_s = self._time.end_turn(
            clocks.boot_s(), pacing.cpu_s(), is_paced=is_fragmented
        )
        if used_s or is_fragmented:
            self._pacer.await_turn(used_s, call.deadline_s)
            self._time.resume(clocks.boot_s(), pacing.cpu_s())

    def _must_read(
        self, may_leave: collections.abc.Callable[[], bool] | None
    ) -> bool:
        """Whether a body in small pieces is read all the same."""
        if not self._head.is_success:
            return False
        if not inputbounds.has_too_many_pieces(self._size, self._pieces):
            return True
        return may_leave is None or not may_leave()

    def _start_response(self, call: calls.Call) -> None:
        headers = messages.end_to_end(self._head.headers)
        call.conn.send_head(self._head.status, headers)
        self._is_sent = True
        self._pass_on(call)

    def _pass_on(self, call: calls.Call) -> None:
        if self._buffered:
            call.conn.send_data(bytes(self._buffered))
            self._buffered.clear()
