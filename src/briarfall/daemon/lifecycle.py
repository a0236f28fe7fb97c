"""Requests in progress and the stages of a planned stop."""

import enum
import threading

from briarfall import exceptions


class Stage(enum.Enum):
    """Stage of an instance's life."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"
    DRAINING = "draining"
    STOPPED = "stopped"


class Ongoing:
    """Counts requests in progress and refuses new ones while draining."""

    def __init__(self):
        self.stage = Stage.STARTING
        self._count = 0
        self._changed = threading.Condition()

    @property
    def count(self) -> int:
        """Requests in progress."""
        return self._count

    def enter(self) -> None:
        """Counts a new request.

        Raises:
            NotReadyError: The instance does not serve yet.
            DrainingError: The instance stops.
        """
        with self._changed:
            if self.stage is Stage.STARTING:
                raise exceptions.NotReadyError(
                    "the catalogue is not complete yet"
                )
            if self.stage in (Stage.DRAINING, Stage.STOPPED):
                raise exceptions.DrainingError("the instance is stopping")
            self._count += 1

    def leave(self) -> None:
        """Counts the end of a request."""
        with self._changed:
            self._count -= 1
            self._changed.notify_all()

    def set_stage(self, stage: Stage) -> None:
        """Changes the stage."""
        with self._changed:
            self.stage = stage
            self._changed.notify_all()

    def wait_empty(self, timeout_s: float) -> bool:
        """Waits until no request is in progress."""
        with self._changed:
            return self._changed.wait_for(lambda: not self._count, timeout_s)
