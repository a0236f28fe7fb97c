"""Splits the bytes of a stream into server-sent events and orders them."""

import re

import msgspec

from briarfall import decoding
from briarfall import exceptions
from briarfall.gateway.exchanges import inputbounds

MAX_ID = 2**63 - 1
_EVENT_ID = re.compile(rb"^id:[ \t]*(\d+)[ \t]*\r?$", re.MULTILINE)
_MAX_EVENT_BYTES = inputbounds.MAX_IDLE_BYTES
_EVENT_END = re.compile(rb"\r?\n\r?\n")
# Bytes of the end of an event that may precede its last byte.
_END_OVERLAP = 3


class Event(msgspec.Struct, frozen=True):
    """One complete event.

    Attributes:
        id: Its number, or None if it has none.
        data: Its bytes, with the blank line at the end.
    """

    id: int | None
    data: bytes

    @property
    def is_comment(self) -> bool:
        """Whether it has no line but comments, which only say "alive"."""
        lines = self.data.splitlines()
        return all(not line or line.startswith(b":") for line in lines)


class EventGapError(exceptions.TargetError):
    """An event is missing between two that arrived."""

    code = "event_gap"


class EventTooLongError(exceptions.TargetError):
    """An event exceeds the size limit before its end."""

    code = "event_too_long"


class EventSequence:
    """Joins the events of several runs into one stream.

    The stream has no gaps and no duplicates.

    Args:
        last_id: Number of the last event that the caller has, or None.
    """

    def __init__(self, last_id: int | None = None):
        self.last_id = last_id

    def take(self, complete: list[Event]) -> bytes:
        """Returns the bytes of the events that `accept` returns."""
        return b"".join(event.data for event in self.accept(complete))

    def accept(self, complete: list[Event]) -> list[Event]:
        """Returns the events that are next in order.

        Events that the caller already has are dropped.

        Raises:
            EventGapError: An event is missing.
        """
        accepted = []
        for event in complete:
            if event.id is not None and not self._is_next(event.id):
                continue
            accepted.append(event)
        return accepted

    def _is_next(self, number: int) -> bool:
        last = self.last_id
        if last is not None and number <= last:
            return False
        if last is not None and number != last + 1:
            raise EventGapError(f"event {number} follows {last}")
        self.last_id = number
        return True


class EventSplitter:
    """Buffers bytes and returns the events that are complete."""

    def __init__(self):
        self._incomplete = bytearray()

    @property
    def incomplete_event(self) -> bytes:
        """Bytes of an event that is not complete yet."""
        return bytes(self._incomplete)

    def feed(self, data: bytes) -> list[Event]:
        """Adds bytes and returns the events that they complete.

        Raises:
            EventTooLongError: The last event exceeds the size limit.
            EventGapError: The number of an event is too long.
        """
        # No byte is searched again but those that may begin an end.
        searched = max(0, len(self._incomplete) - _END_OVERLAP)
        self._incomplete += data
        events = []
        start = 0
        for match in _EVENT_END.finditer(self._incomplete, searched):
            event_bytes = bytes(self._incomplete[start : match.end()])
            start = match.end()
            id_match = _EVENT_ID.search(event_bytes)
            number = _number_of(id_match.group(1)) if id_match else None
            events.append(Event(number, event_bytes))
        if start:
            self._incomplete = self._incomplete[start:]
        if len(self._incomplete) > _MAX_EVENT_BYTES:
            raise EventTooLongError("an event without end")
        return events


def _number_of(digits: bytes) -> int:
    number = decoding.parse_count(digits, MAX_ID)
    if number is None:
        raise EventTooLongError(
            f"an event id of {len(digits)} digits, expected at most {MAX_ID}"
        )
    return number
