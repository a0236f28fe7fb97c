"""Events of interrupted and retried runs are joined into one stream."""

import hypothesis
from hypothesis import strategies
import pytest

from briarfall.gateway.exchanges import events


def event(number: int) -> bytes:
    """Returns the bytes of an event."""
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def pieces(data: bytes, sizes: list[int]) -> list[bytes]:
    """Returns bytes in pieces whose sizes repeat the given ones."""
    found = []
    while data:
        size = sizes[len(found) % len(sizes)]
        found.append(data[:size])
        data = data[size:]
    return found


class TestEventSequence:
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=120)
    @hypothesis.given(
        first=strategies.integers(0, 3),
        count=strategies.integers(1, 40),
        cuts=strategies.lists(strategies.integers(0, 600), max_size=5),
        overlap=strategies.integers(0, 4),
        sizes=strategies.lists(
            strategies.integers(1, 50), min_size=1, max_size=4
        ),
    )
    def test_runs_that_break_anywhere_join_without_a_seam(
        self, first, count, cuts, overlap, sizes
    ):
        sequence = events.EventSequence()
        got = b""
        for cut in [*cuts, None]:
            last = sequence.last_id
            start = first if last is None else max(first, last + 1 - overlap)
            run = b"".join(event(n) for n in range(start, first + count))
            splitter = events.EventSplitter()
            for piece in pieces(run[:cut], sizes):
                got += sequence.take(splitter.feed(piece))
        assert got == b"".join(event(n) for n in range(first, first + count))

    def test_missing_event_is_an_error(self):
        sequence = events.EventSequence(4)
        assert sequence.take([events.Event(5, b"5")]) == b"5"
        with pytest.raises(events.EventGapError):
            sequence.take([events.Event(7, b"7")])

    def test_events_without_a_number_pass(self):
        sequence = events.EventSequence(4)
        assert sequence.take([events.Event(None, b": note\n\n")])
        assert sequence.last_id == 4
