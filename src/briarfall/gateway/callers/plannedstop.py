"""Phases of the planned stop of an instance."""

import enum
import threading

from briarfall.gateway import clocks

# The load balancer checks readiness once a second and needs two refusals.
# Until then it may still send new connections.
_BALANCER_NOTICE_S = 3.0
# Time after the request to stop from which connections close after their
# current response, so that callers reconnect to other instances.
_CLOSE_AFTER_S = 1.5
# Part of the grace period that is reserved for the process to exit.
_EXIT_MARGIN_S = 0.4
# Time before that for the answers of requests whose time is up: a throttled
# process gets no processor time for 0.1 s.
_ANSWER_MARGIN_S = 0.25


class StopPhase(enum.Enum):
    """Phase of a planned stop.

    Attributes:
        RUNNING: No stop was requested.
        NOTICE: The instance reports that it is not ready.
        CLOSING: Connections close after their current response as well.
        ENDING: The balancer sends no more connections, and the instance stops
            once the open ones have ended.
    """

    RUNNING = "running"
    NOTICE = "notice"
    CLOSING = "closing"
    ENDING = "ending"


class PlannedStop:
    """Tracks the phase of a planned stop and which requests it still accepts.

    Args:
        grace_s: Time from the signal to stop until the process is killed.
    """

    def __init__(self, grace_s: float):
        self._grace_s = grace_s
        self._requested = threading.Event()
        self._requested_s = 0.0

    def set_grace(self, grace_s: float) -> None:
        """Changes the time from the signal until the process is killed."""
        self._grace_s = grace_s

    def request(self) -> None:
        """Starts the stop; later calls have no effect."""
        if self._requested.is_set():
            return
        self._requested_s = clocks.boot_s()
        self._requested.set()

    def wait(self) -> None:
        """Waits until a stop is requested."""
        self._requested.wait()

    @property
    def is_requested(self) -> bool:
        """Whether a stop was requested."""
        return self._requested.is_set()

    @property
    def phase(self) -> StopPhase:
        """Current phase of the stop."""
        if not self._requested.is_set():
            return StopPhase.RUNNING
        age_s = clocks.boot_s() - self._requested_s
        if age_s < _CLOSE_AFTER_S:
            return StopPhase.NOTICE
        if age_s < _BALANCER_NOTICE_S:
            return StopPhase.CLOSING
        return StopPhase.ENDING

    @property
    def closes_connections(self) -> bool:
        """Whether connections close after their current response."""
        return self.phase in (StopPhase.CLOSING, StopPhase.ENDING)

    @property
    def left_s(self) -> float:
        """Seconds until the process must have finished its work."""
        return (
            self._requested_s + self._grace_s - _EXIT_MARGIN_S - clocks.boot_s()
        )

    def accepts(self, max_duration_s: float) -> bool:
        """Returns whether a new request is still accepted.

        In the phase ENDING only a request that can finish in time is accepted;
        before, any request is.

        Args:
            max_duration_s: Longest time that the request may take.
        """
        if self.phase is not StopPhase.ENDING:
            return True
        return max_duration_s < self.left_s - _ANSWER_MARGIN_S

    def bound(self, deadline_s: float) -> float:
        """Returns the deadline of a request, bounded by a stop in progress.

        The request is answered before the process ends.

        Args:
            deadline_s: Its deadline on the boot clock.
        """
        if not self.is_requested:
            return deadline_s
        end_s = self._requested_s + self._grace_s - _EXIT_MARGIN_S
        return min(deadline_s, end_s - _ANSWER_MARGIN_S)
