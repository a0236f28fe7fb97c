"""Reads the body of a request into the budget of its instance.

Each chunk of a body costs processor time, however small it is. Bodies in many
small chunks together get a share of one processor, so that they don't keep
the other requests from being served.
"""

from absl import logging

from briarfall.gateway import clocks
from briarfall.gateway.calls import bodybudget
from briarfall.gateway.exchanges import inputbounds
from briarfall.gateway.exchanges import pacing

# Share of one processor for the only body in small chunks, and for several
# together.
_SINGLE_SHARE = 0.5
_COMMON_SHARE = 0.1
# Bytes of small pieces from which they are added to the budget.
_ADDED_BYTES = 4096
# Small chunks that are read in one turn.
_TURN_PIECES = 64

_SINGLE_PACER = pacing.Pacer(_SINGLE_SHARE)
_COMMON_PACER = pacing.Pacer(_COMMON_SHARE)
# The readers of all bodies in small chunks.
_paced: set["BodyReader"] = set()


class BodyReader:
    """Adds the pieces of one body to what is held of it.

    Args:
        held: What is held of the body.
        max_bytes: Longest body.
    """

    def __init__(self, held: bodybudget.HeldBody, max_bytes: int):
        self._held = held
        self._max_bytes = max_bytes
        self._pieces = 0
        self._size = 0
        # Bytes of small pieces, which are added together.
        self._small = bytearray()
        self._turn_pieces = 0
        self._turn_cpu_s = 0.0
        self._is_late = False

    @property
    def size(self) -> int:
        """Bytes of the body so far."""
        return self._size

    @property
    def is_fragmented(self) -> bool:
        """Whether it came in many small chunks so far."""
        return inputbounds.is_fragmented(self._size, self._pieces)

    def is_too_long(self, more: int) -> bool:
        """Whether the body is longer than allowed with `more` bytes."""
        return self._size + more > self._max_bytes

    def add(self, data: bytes, deadline_s: float) -> None:
        """Adds a piece, and waits between the turns of a body in small ones.

        Args:
            data: The piece.
            deadline_s: Time on the boot clock until which to wait.

        Raises:
            BodyMemoryError: The request was refused.
        """
        self._size += len(data)
        self._pieces += 1
        self._small += data
        if len(self._small) >= _ADDED_BYTES:
            self.flush()
        if not self.is_fragmented:
            return
        if self._turn_pieces == 0:
            self._turn_cpu_s = pacing.cpu_s()
        self._turn_pieces += 1
        if self._turn_pieces < _TURN_PIECES:
            return
        self._turn_pieces = 0
        used_s = pacing.cpu_s() - self._turn_cpu_s
        _paced.add(self)
        pacer = _SINGLE_PACER if len(_paced) == 1 else _COMMON_PACER
        pacer.await_turn(used_s, deadline_s)
        self._held.check()
        self._is_late = clocks.boot_s() >= deadline_s

    @property
    def is_late(self) -> bool:
        """Whether the time for the body has passed amid small chunks.

        Nothing paces what is read of it from then on.
        """
        return self._is_late

    def close(self) -> None:
        """Ends the reading."""
        _paced.discard(self)
        if self._is_late:
            logging.info(
                "body in small chunks not read in time bytes=%d pieces=%d",
                self._size,
                self._pieces,
            )

    def flush(self) -> None:
        """Adds the pieces that were not added yet.

        Raises:
            BodyMemoryError: The request was refused.
        """
        if self._small:
            self._held.append(self._small)
            self._small = bytearray()
