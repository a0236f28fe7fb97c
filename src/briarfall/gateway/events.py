"""Server-sent events, cut out of the bytes of a stream."""

import re

import msgspec

from briarfall import exceptions

_ID = re.compile(rb"^id:[ \t]*(\d+)[ \t]*\r?$", re.MULTILINE)
_MAX_EVENT_BYTES = 2**20
_END = re.compile(rb"\r?\n\r?\n")


class Event(msgspec.Struct, frozen=True):
    """One whole event.

    Attributes:
        id: Its number, or None if it carries none.
        data: Its bytes with the blank line at the end.
    """

    id: int | None
    data: bytes


class EventGapError(exceptions.TargetError):
    """An event is missing between two that arrived."""

    code = "event_gap"


class EventTooLongError(exceptions.TargetError):
    """An event does not end."""

    code = "event_too_long"


class EventSequence:
    """Joins the events of several runs into one stream without a seam.

    Args:
        last_id: Number of the last event that the caller has, or None.
    """

    def __init__(self, last_id: int | None = None):
        self.last_id = last_id

    def take(self, ready: list[Event]) -> bytes:
        """Returns the bytes of the events that are next in order.

        Events that the caller has already are left out.

        Raises:
            EventGapError: An event is missing.
        """
        kept = []
        for event in ready:
            if event.id is not None and not self._is_next(event.id):
                continue
            kept.append(event.data)
        return b"".join(kept)

    def _is_next(self, number: int) -> bool:
        last = self.last_id
        if last is not None and number <= last:
            return False
        if last is not None and number != last + 1:
            raise EventGapError(f"event {number} follows {last}")
        self.last_id = number
        return True


class EventSplitter:
    """Collects bytes and returns the events that are whole."""

    def __init__(self):
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes of an event that is not whole yet."""
        return self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Adds bytes and returns the events that they complete.

        Raises:
            EventTooLongError: The last event does not end.
        """
        buffer = self._rest + data
        events = []
        start = 0
        for match in _END.finditer(buffer):
            chunk = buffer[start : match.end()]
            start = match.end()
            found = _ID.search(chunk)
            number = int(found.group(1)) if found else None
            events.append(Event(number, chunk))
        self._rest = buffer[start:]
        if len(self._rest) > _MAX_EVENT_BYTES:
            raise EventTooLongError("an event without end")
        return events
