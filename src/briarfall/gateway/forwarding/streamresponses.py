"""Joins the responses of engines into one stream, after checks of each."""

import msgspec

from briarfall import exceptions
from briarfall.gateway.exchanges import events
from briarfall.gateway.exchanges import messages
from briarfall.gateway.exchanges import targetconnection

_IDENTITY = b"identity"


class ForeignResponseError(exceptions.TargetError):
    """A response can't be a stream, or the rest of one."""

    code = "foreign_response"


def check_head(
    address: str,
    head: messages.ResponseHead,
    *,
    is_resumed: bool,
) -> None:
    """Checks the head of a signed success response to a stream.

    Args:
        address: Address that sent it.
        head: The head.
        is_resumed: Whether the caller already has the head of an earlier run.

    Raises:
        BrokenExchangeError: Its body can't be the rest of the stream.
    """
    if not is_resumed:
        return
    if head.status != 200:
        raise _broken(
            address, f"resumed with status {head.status}, expected 200"
        )
    encoding = head.header(b"content-encoding")
    if encoding is not None and encoding.strip().lower() != _IDENTITY:
        raise _broken(
            address, f"resumed with the encoding {encoding!r}, expected none"
        )


class AcceptedEvents(msgspec.Struct, frozen=True):
    """What a piece of a response brings its caller.

    Attributes:
        data: Bytes of complete events that the caller lacks.
        count: Number of events that the piece completed.
        has_event: Whether `data` holds more than comments.
    """

    data: bytes
    count: int
    has_event: bool


def accept_events(
    address: str,
    splitter: events.EventSplitter,
    sequence: events.EventSequence,
    received: bytes,
    *,
    is_resumed: bool,
) -> AcceptedEvents:
    """Returns the complete events that the caller lacks.

    Args:
        address: Address that sent them.
        splitter: Holds the incomplete event of the response.
        sequence: Events of the stream so far.
        received: New bytes of the response.
        is_resumed: Whether the caller already has the head of an earlier run.

    Raises:
        InvalidResponseError: An event or its id is too long; the engine sends
            bytes that are no events.
        BrokenExchangeError: An event is missing, or none of this stream.
    """
    try:
        complete = splitter.feed(received)
        if is_resumed:
            _check_numbered(complete)
        accepted = sequence.accept(complete)
    except events.EventTooLongError as exc:
        raise targetconnection.InvalidResponseError(
            f"{address}: {exc.message}"
        ) from exc
    except (events.EventGapError, ForeignResponseError) as exc:
        raise _broken(address, exc.message) from exc
    return AcceptedEvents(
        b"".join(event.data for event in accepted),
        len(complete),
        any(not event.is_comment for event in accepted),
    )


def _check_numbered(complete: list[events.Event]) -> None:
    """Checks that each event has a number; comments need none.

    Raises:
        ForeignResponseError: The place of an event in the stream is unknown.
    """
    for event in complete:
        if event.id is None and not event.is_comment:
            raise ForeignResponseError(
                f"resumed with {len(event.data)} bytes that are no numbered "
                "event"
            )


def _broken(address: str, text: str) -> targetconnection.BrokenExchangeError:
    return targetconnection.BrokenExchangeError(
        f"{address}: {text}", saw_response=True
    )
