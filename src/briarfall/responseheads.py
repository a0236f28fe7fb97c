"""Which lines are the head of a response (RFC 9112, sections 2 to 6)."""

import h11

from briarfall import exceptions


def check(head: bytes) -> None:
    """Checks a whole head by the rules of the gateway's parser.

    Args:
        head: All lines from the status line up to the blank line.

    Raises:
        InvalidHeadError: A line is no field, or the fields give no single
            length or coding of the body.
    """
    parser = h11.Connection(h11.CLIENT)
    parser.send(
        h11.Request(method=b"GET", target=b"/", headers=[(b"Host", b"-")])
    )
    parser.send(h11.EndOfMessage())
    parser.receive_data(head)
    try:
        parser.next_event()
    except h11.RemoteProtocolError as exc:
        raise exceptions.InvalidHeadError(
            f"head of a response: {exc}, expected lines like 'Name: value'"
        ) from exc
