"""Reads the responses of plain services and relayed ones."""

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


def receive(
    call: calls.Call,
    conn: targetconnection.TargetConnection,
    head: messages.ResponseHead,
) -> Body:
    """Returns the body of a response; passes a long one on directly.

    Args:
        call: The request.
        conn: Connection from which the response is read.
        head: Head of the response.
    """
    chunks = []
    size = 0
    is_sent = False
    while True:
        event = conn.read_event(call.deadline_s)
        if isinstance(event, h11.EndOfMessage):
            return Body(b"" if is_sent else b"".join(chunks), is_sent)
        if is_sent:
            call.conn.send_data(bytes(event.data))
            continue
        chunks.append(bytes(event.data))
        size += len(event.data)
        if size > _MAX_BUFFERED_BYTES:
            headers = messages.end_to_end(head.headers)
            call.conn.send_head(head.status, headers)
            call.conn.send_data(b"".join(chunks))
            is_sent = True
