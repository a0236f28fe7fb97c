"""Checks that the response of an engine may be part of a stream."""

from briarfall import exceptions
from briarfall.gateway import events
from briarfall.gateway import headernames
from briarfall.gateway import messages

_IDENTITY = b"identity"


class ForeignResponseError(exceptions.TargetError):
    """A response can't be a stream, or the rest of one."""

    code = "foreign_response"


def check_head(
    head: messages.ResponseHead,
    header_names: headernames.HeaderNames,
    *,
    is_resumed: bool,
) -> None:
    """Checks the head of a success response to a stream.

    Args:
        head: The head.
        header_names: Header names of the platform.
        is_resumed: Whether the caller already has the head of an earlier run.

    Raises:
        ForeignResponseError: An engine did not write the response, or its body
            does not consist of events.
    """
    if head.header(header_names.signature) is None:
        raise ForeignResponseError(
            f"status {head.status} without "
            f"{header_names.signature.decode()}: not an engine's response"
        )
    if not is_resumed:
        return
    if head.status != 200:
        raise ForeignResponseError(
            f"resumed with status {head.status}, expected 200"
        )
    encoding = head.header(b"content-encoding")
    if encoding is not None and encoding.strip().lower() != _IDENTITY:
        raise ForeignResponseError(
            f"resumed with the encoding {encoding!r}, expected none"
        )


def check_resumed_events(complete: list[events.Event]) -> None:
    """Checks the events of a run that goes on with an earlier one.

    Raises:
        ForeignResponseError: An event has no number, so that its place in the
            stream is unknown. Comments need none.
    """
    for event in complete:
        if event.id is None and not _is_comment(event.data):
            raise ForeignResponseError(
                f"resumed with {len(event.data)} bytes that are no numbered "
                "event"
            )


def _is_comment(data: bytes) -> bool:
    lines = data.splitlines()
    return all(not line or line.startswith(b":") for line in lines)
