"""Bounds what a target may send without progress for the caller.

A faulty target may send without end what brings a caller nothing: comments,
events that the caller has, an event that never ends, the response to another
request. What it costs to read grows with the pieces as well as with the bytes.
"""

MAX_IDLE_BYTES = 262_144
MAX_IDLE_PIECES = 1024
# Far more than the comments that keep a connection open.
_MIN_FLOOD_BYTES = 16_384
# Mean size in bytes below which a response consists of small pieces.
_SMALL_PIECE_BYTES = 16
_FREE_PIECES = 256


class IdleInput:
    """Counts what arrived since the last progress.

    Attributes:
        size: Bytes.
        pieces: Pieces: chunks, or events within them.
    """

    def __init__(self):
        self.size = 0
        self.pieces = 0

    def add(self, size: int, pieces: int = 1) -> None:
        """Counts a piece of `size` bytes, or the pieces that it holds."""
        self.size += size
        self.pieces += pieces

    def reset(self) -> None:
        """Records progress."""
        self.size = 0
        self.pieces = 0

    @property
    def is_exceeded(self) -> bool:
        """Whether more arrived than any sound target sends."""
        return self.size > MAX_IDLE_BYTES or has_too_many_pieces(
            self.size, self.pieces
        )

    @property
    def is_flood(self) -> bool:
        """Whether the target does not merely keep the connection open."""
        return self.size > _MIN_FLOOD_BYTES


def has_too_many_pieces(size: int, pieces: int) -> bool:
    """Whether `size` bytes came in more pieces than a sound target sends."""
    return pieces > MAX_IDLE_PIECES + size // _SMALL_PIECE_BYTES


def is_fragmented(size: int, pieces: int) -> bool:
    """Whether a body of `size` bytes so far came in many small pieces."""
    return pieces > _FREE_PIECES + size // _SMALL_PIECE_BYTES
