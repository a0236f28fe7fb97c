"""Paces the reading of responses that come in many small pieces.

Each piece costs processor time. Unpaced, a few such responses would leave the
other requests of the process hardly any.
"""

import threading
import time

from briarfall.gateway import clocks

# Time between two turns, of all paced responses together.
_TURN_S = 0.005


class Pacer:
    """Gives the responses that it paces turns, one after the other."""

    def __init__(self):
        self._lock = threading.Lock()

    def await_turn(self, until_s: float) -> None:
        """Waits for a turn, at most until a time on the boot clock."""
        left_s = max(0.0, until_s - clocks.boot_s())
        if not self._lock.acquire(timeout=left_s):
            return
        try:
            time.sleep(min(_TURN_S, left_s))
        finally:
            self._lock.release()


PROCESS_PACER = Pacer()
