"""The lifecycle of an instance and its requests in flight."""

import enum
import threading

from briarfall import exceptions


class LifecycleStage(enum.Enum):
    """Stage of an instance's lifecycle.

    Attributes:
        STARTING: The catalogue is not complete; requests are refused.
        READY: Requests are accepted.
        STOP_ANNOUNCED: A planned stop is announced to the balancer and to
            other instances; requests are still accepted.
        DRAINING: New requests are refused; those in flight continue.
        STOPPED: Requests are refused.
    """

    STARTING = "starting"
    READY = "ready"
    STOP_ANNOUNCED = "leaving"
    DRAINING = "draining"
    STOPPED = "stopped"


class InFlightRequests:
    """Counts the requests in flight; refuses new ones by lifecycle stage.

    Attributes:
        stage: The current stage.
    """

    def __init__(self):
        self.stage = LifecycleStage.STARTING
        self._count = 0
        self._changed = threading.Condition()

    @property
    def count(self) -> int:
        """Number of requests in flight."""
        return self._count

    def enter(self) -> None:
        """Counts the start of a request.

        Raises:
            NotReadyError: The instance is starting.
            DrainingError: The instance is draining or has stopped.
        """
        with self._changed:
            if self.stage is LifecycleStage.STARTING:
                raise exceptions.NotReadyError(
                    "the catalogue is not complete yet"
                )
            if self.stage in (LifecycleStage.DRAINING, LifecycleStage.STOPPED):
                raise exceptions.DrainingError("the instance is stopping")
            self._count += 1

    def leave(self) -> None:
        """Counts the end of a request."""
        with self._changed:
            self._count -= 1
            self._changed.notify_all()

    def set_stage(self, stage: LifecycleStage) -> None:
        """Sets the stage and wakes `wait_empty`."""
        with self._changed:
            self.stage = stage
            self._changed.notify_all()

    def wait_empty(self, timeout_s: float) -> bool:
        """Returns whether no request is in flight, waiting up to a time-out."""
        with self._changed:
            return self._changed.wait_for(lambda: not self._count, timeout_s)
