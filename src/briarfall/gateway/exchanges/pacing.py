"""Paces the reading of responses that take much processor time.

Each piece of a response costs processor time. Unpaced, a single one without end
takes most of a processor, and a few leave the other requests of the process
hardly any. What a response may use freely is more than a sound one needs;
beyond it, all such responses together get a small share.
"""

import threading
import time

from briarfall.gateway import clocks

# Share of one processor for all paced responses together.
_SHARE = 0.1
# Processor time in seconds that each response may use unpaced: a body of 256 KB
# in pieces of 100 bytes takes less.
_FREE_S = 0.02
# Share of one processor that each may use further on: a slow stream of small
# pieces takes less.
_FREE_SHARE = 0.005
# Processor time in seconds that a paced response uses at most in one turn.
_TURN_S = 0.002


def cpu_s() -> float:
    """Returns the processor time that the calling thread has used."""
    return time.thread_time()


class ResponseTime:
    """Tells when a response has used more than its free processor time."""

    def __init__(self):
        self._start_s: float | None = None
        self._free_until_cpu_s = 0.0
        self._cpu_s = 0.0
        self._used_s = 0.0

    def resume(self, now_s: float, cpu_now_s: float) -> None:
        """Begins to count; what the thread used before does not count.

        Args:
            now_s: Time on the boot clock.
            cpu_now_s: Processor time of the thread that reads the response.
        """
        if self._start_s is None:
            self._start_s = now_s
        self._cpu_s = cpu_now_s

    def end_turn(
        self, now_s: float, cpu_now_s: float, *, is_paced: bool = False
    ) -> float:
        """Returns the processor time of a turn, or 0 if it goes on.

        Args:
            now_s: Time on the boot clock.
            cpu_now_s: Processor time of the thread that reads the response.
            is_paced: Whether the turn is over, however little it used.
        """
        turn_s = cpu_now_s - self._cpu_s
        if turn_s < _TURN_S and not is_paced:
            return 0.0
        free_s = _FREE_S + _FREE_SHARE * (now_s - self._start_s)
        self._cpu_s = cpu_now_s
        self._used_s += turn_s
        return turn_s if is_paced or self._used_s > free_s else 0.0


class ProcessorShare:
    """Spreads what paced responses use over time.

    Args:
        share: Share of one processor for all of them together.
    """

    def __init__(self, share: float = _SHARE):
        self._share = share
        self._free_s = 0.0

    def charge(self, used_s: float, now_s: float) -> float:
        """Returns the time on the boot clock of a response's next turn.

        Args:
            used_s: Processor time of its turn that has ended.
            now_s: Time on the boot clock.
        """
        self._free_s = max(self._free_s, now_s) + used_s / self._share
        return self._free_s


class Pacer:
    """Gives what it paces turns, one after the other.

    Args:
        share: Share of one processor for all of it together.
    """

    def __init__(self, share: float = _SHARE):
        self._lock = threading.Lock()
        self._share = ProcessorShare(share)

    def await_turn(self, used_s: float, until_s: float) -> None:
        """Waits for a turn, at most until a time on the boot clock.

        Args:
            used_s: Processor time of the turn that has ended.
            until_s: Time on the boot clock.
        """
        now_s = clocks.boot_s()
        if now_s >= until_s:
            return
        with self._lock:
            next_s = self._share.charge(used_s, now_s)
        time.sleep(max(0.0, min(next_s, until_s) - now_s))


PROCESS_PACER = Pacer()
