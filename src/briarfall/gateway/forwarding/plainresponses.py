"""Reads the responses of plain services and relayed ones."""

import collections.abc

import h11
import msgspec

from briarfall.gateway.calls import calls
from briarfall.gateway.exchanges import messages
from briarfall.gateway.exchanges import targetconnection

# Responses up to this size are read completely before the caller gets a byte,
# so that a failed response can still be retried.
_MAX_BUFFERED_BYTES = 262_144


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
    """

    def __init__(
        self,
        conn: targetconnection.TargetConnection,
        head: messages.ResponseHead,
    ):
        self._conn = conn
        self._head = head
        self._chunks: list[bytes] = []
        self._size = 0
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
            ResponseTimeoutError: The call is out of time.
        """
        while True:
            event = self._conn.read_event(call.deadline_s)
            if isinstance(event, h11.EndOfMessage):
                data = b"" if self._is_sent else b"".join(self._chunks)
                return Body(data, self._is_sent)
            if self._is_sent:
                call.conn.send_data(bytes(event.data))
                continue
            self._chunks.append(bytes(event.data))
            self._size += len(event.data)
            if self._size > _MAX_BUFFERED_BYTES:
                if on_start is not None:
                    on_start()
                self._start_response(call)

    def _start_response(self, call: calls.Call) -> None:
        headers = messages.end_to_end(self._head.headers)
        call.conn.send_head(self._head.status, headers)
        call.conn.send_data(b"".join(self._chunks))
        self._is_sent = True
