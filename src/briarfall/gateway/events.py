"""Server-sent events, cut out of the bytes of a stream."""

import re

import msgspec

_ID = re.compile(rb"^id:[ \t]*(\d+)[ \t]*\r?$", re.MULTILINE)
_END = re.compile(rb"\r?\n\r?\n")


class Event(msgspec.Struct, frozen=True):
    """One whole event.

    Attributes:
        id: Its number, or None if it carries none.
        data: Its bytes with the blank line at the end.
    """

    id: int | None
    data: bytes


class EventSplitter:
    """Collects bytes and returns the events that are whole."""

    def __init__(self):
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes of an event that is not whole yet."""
        return self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Adds bytes and returns the events that they complete."""
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
        return events
