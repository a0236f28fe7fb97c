"""Reads the responses of plain services and relayed ones."""

import collections.abc

import h11
import msgspec

from briarfall.gateway.calls import calls
from briarfall.gateway.exchanges import inputbounds
from briarfall.gateway.exchanges import messages
from briarfall.gateway.exchanges import pacing
from briarfall.gateway.exchanges import targetconnection

# Responses up to this size are read completely before the caller gets a byte,
# so that a failed response can still be retried.
_MAX_BUFFERED_BYTES = 262_144
# Pieces that are read in one turn of a paced body.
_PIECES_PER_TURN = 16


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
        pacer: Paces a body that comes in many small pieces.
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

    def read(
        self,
        call: calls.Call,
        on_start: collections.abc.Callable[[], None] | None = None,
    ) -> Body:
        """Returns the body; passes a long one on directly.

        What was read stays if the wait ends with an error, so that the next
        call goes on there.

        Args:
            call: The request.
            on_start: Called before the caller gets the first part of a long
                body, after which no other response can answer it.

        Raises:
            OtherConnectionReadyError: Another connection can be read.
            BrokenExchangeError: The body is damaged or incomplete.
            InvalidResponseError: The body of a failure does not end.
            ResponseTimeoutError: The call is out of time.
        """
        while True:
            event = self._conn.read_event(call.deadline_s)
            if isinstance(event, h11.EndOfMessage):
                data = b"" if self._is_sent else bytes(self._buffered)
                return Body(data, self._is_sent)
            self._size += len(event.data)
            self._await_turn(call)
            if self._is_sent:
                call.conn.send_data(bytes(event.data))
                continue
            self._buffered += event.data
            if self._size > _MAX_BUFFERED_BYTES:
                if on_start is not None:
                    on_start()
                self._start_response(call)

    def _await_turn(self, call: calls.Call) -> None:
        """Waits between the pieces of a body that has many small ones.

        Raises:
            InvalidResponseError: It is the body of a failure.
        """
        self._pieces += 1
        if self._pieces % _PIECES_PER_TURN:
            return
        if not inputbounds.is_fragmented(self._size, self._pieces):
            return
        if not self._head.is_success:
            raise targetconnection.InvalidResponseError(
                f"{self._conn.address}: status {self._head.status} with "
                f"{self._size} bytes in {self._pieces} pieces, no end"
            )
        self._pacer.await_turn(call.deadline_s)

    def _start_response(self, call: calls.Call) -> None:
        headers = messages.end_to_end(self._head.headers)
        call.conn.send_head(self._head.status, headers)
        call.conn.send_data(bytes(self._buffered))
        self._buffered.clear()
        self._is_sent = True
