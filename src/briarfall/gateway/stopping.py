"""The planned stop of an instance, step by step."""

import enum
import threading

from briarfall.gateway import clocks

# The balancer asks once a second and needs two refusals; until then it may
# still send connections.
_NOTICE_S = 3.0
# Connections close after their answer from here on, so that callers move.
_CLOSING_S = 1.5
# Time that is left for the process to end before it is killed.
_EXIT_MARGIN_S = 0.4


class StopPhase(enum.Enum):
    """How far a planned stop has come."""

    RUNNING = "running"
    NOTICE = "notice"
    CLOSING = "closing"
    ENDING = "ending"


class PlannedStop:
    """Says what a stopping instance still does.

    Args:
        grace_s: Time from the signal to the kill.
    """

    def __init__(self, grace_s: float):
        self._grace_s = grace_s
        self._asked = threading.Event()
        self._asked_s = 0.0

    def set_grace(self, grace_s: float) -> None:
        """Changes the time from the signal to the kill."""
        self._grace_s = grace_s

    def ask(self) -> None:
        """Begins the stop."""
        if self._asked.is_set():
            return
        self._asked_s = clocks.boot_s()
        self._asked.set()

    def wait(self) -> None:
        """Waits until a stop begins."""
        while not self._asked.wait(3600):
            continue

    @property
    def is_asked(self) -> bool:
        """Whether the stop has begun."""
        return self._asked.is_set()

    @property
    def phase(self) -> StopPhase:
        """How far the stop has come."""
        if not self._asked.is_set():
            return StopPhase.RUNNING
        age_s = clocks.boot_s() - self._asked_s
        if age_s < _CLOSING_S:
            return StopPhase.NOTICE
        if age_s < _NOTICE_S:
            return StopPhase.CLOSING
        return StopPhase.ENDING

    @property
    def closes_connections(self) -> bool:
        """Whether connections end after their answer."""
        return self.phase in (StopPhase.CLOSING, StopPhase.ENDING)

    @property
    def left_s(self) -> float:
        """Seconds until the process must have ended its work."""
        return self._asked_s + self._grace_s - _EXIT_MARGIN_S - clocks.boot_s()

    def takes(self, longest_s: float) -> bool:
        """Whether a new request that may last so long can still finish."""
        if self.phase is not StopPhase.ENDING:
            return True
        return longest_s < self.left_s
