"""Bounds the memory of all request bodies of an instance together.

Callers that nobody controls may send many large bodies at once and stop short
of their end. When the bodies exceed the budget, the unfinished ones are
refused that hold most for longest without progress. A body that is complete
may have gone on to a target, so it is never refused.
"""

import threading

from briarfall import exceptions
from briarfall.gateway import clocks

# For settings that don't tell the memory of the machine.
DEFAULT_CAPACITY_BYTES = 50_000_000
# A part of the budget is reserved for bodies up to this length.
SMALL_BODY_BYTES = 65_536
_LARGE_SHARE = 0.75
_UNBOUNDED_BYTES = 1 << 62
# A body progresses when it has grown by this many bytes. Less is no progress,
# so that single bytes don't keep a body.
PROGRESS_BYTES = 65_536
# A request is not refused for the sake of a new connection before this time
# without progress.
_MIN_STALL_S = 0.5


class HeldBody:
    """The body of one request, as far as it was received.

    It must be released at the end of the request.

    Args:
        budget: The budget that it belongs to.
        group: The group in which it was opened, if there is one.
    """

    def __init__(self, budget: "BodyBudget", group: "BodyGroup | None" = None):
        self._budget = budget
        self.group = group
        self.size = 0
        self.is_complete = False
        self.is_refused = False
        self.data = bytearray()
        self._progress_size = 0
        self._progress_s = clocks.boot_s()

    @property
    def large_size(self) -> int:
        """Bytes that it takes from the part for large bodies."""
        return self.size if self.size > SMALL_BODY_BYTES else 0

    def stall_s(self, now_s: float) -> float:
        """Returns the time since its last progress, in seconds."""
        return now_s - self._progress_s

    def grow(self, data: bytes) -> None:
        """Adds bytes without a look at the budget."""
        self.data += data
        self.size += len(data)
        if self.size - self._progress_size >= PROGRESS_BYTES:
            self._progress_size = self.size
            self._progress_s = clocks.boot_s()

    def append(self, data: bytes) -> None:
        """Adds received bytes.

        Raises:
            BodyMemoryError: It was refused, now or before.
        """
        self._budget.append(self, data)

    def check(self) -> None:
        """Checks that it was not refused.

        Raises:
            BodyMemoryError: It was refused.
        """
        if self.is_refused:
            raise exceptions.BodyMemoryError(
                f"the {self._budget.capacity} bytes for request bodies are "
                f"used up or connections are short, and this unfinished "
                f"request was refused; it has {self.size} bytes"
            )

    def complete(self) -> bytes:
        """Returns the whole body, which is not refused any more.

        Raises:
            BodyMemoryError: It was refused before.
        """
        return self._budget.complete(self)

    def release(self) -> None:
        """Gives its bytes back; a second call has no effect."""
        self._budget.release(self)


class BodyGroup:
    """The bodies that arrive on the connections of one listener.

    Args:
        budget: The budget that they share with those of other listeners.
    """

    def __init__(self, budget: "BodyBudget"):
        self._budget = budget

    def open(self) -> HeldBody:
        """Returns the empty body of a request that begins."""
        return self._budget.open(self)

    def refuse_slowest(self) -> bool:
        """Refuses the worst request for the sake of a new connection.

        Returns:
            Whether there was an unfinished one without progress.
        """
        return self._budget.refuse_slowest(self)


class BodyBudget:
    """The bodies of all requests that an instance holds.

    Args:
        capacity: Bytes that all bodies may hold together. A body that is the
            only one may exceed them.

    Attributes:
        refusals: Number of requests that were refused before their end.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY_BYTES):
        self.capacity = capacity
        self.refusals = 0
        self._lock = threading.Lock()
        self._bodies: set[HeldBody] = set()
        self._held = 0
        self._held_by_large = 0

    @property
    def held(self) -> int:
        """Bytes that all bodies hold."""
        return self._held

    def open(self, group: BodyGroup | None = None) -> HeldBody:
        """Returns the empty body of a request; see `BodyGroup.open`."""
        body = HeldBody(self, group)
        with self._lock:
            self._bodies.add(body)
        return body

    def append(self, body: HeldBody, data: bytes) -> None:
        """Adds bytes to a body; see `HeldBody.append`."""
        with self._lock:
            body.check()
            large_size = body.large_size
            body.grow(data)
            self._held += len(data)
            self._held_by_large += body.large_size - large_size
            if self._is_over():
                self._refuse_excess()
            body.check()

    def complete(self, body: HeldBody) -> bytes:
        """Completes a body; see `HeldBody.complete`."""
        # One body at a time is copied.
        with self._lock:
            body.check()
            body.is_complete = True
            data = bytes(body.data)
            body.data = bytearray()
            return data

    def release(self, body: HeldBody) -> None:
        """Forgets a body."""
        with self._lock:
            self._remove(body)

    def _remove(self, body: HeldBody) -> None:
        if body in self._bodies:
            self._bodies.remove(body)
            self._held -= body.size
            self._held_by_large -= body.large_size

    def refuse_slowest(self, group: BodyGroup | None = None) -> bool:
        """Refuses the worst request; see `BodyGroup.refuse_slowest`."""
        with self._lock:
            now_s = clocks.boot_s()
            stalled = []
            for body in self._bodies:
                # A request of another listener holds none of its connections.
                if body.group is not group or body.is_complete:
                    continue
                if body.stall_s(now_s) >= _MIN_STALL_S:
                    stalled.append(body)
            if not stalled:
                return False
            self._refuse_worst(stalled)
            return True

    def _is_over(self) -> bool:
        """Whether all bodies, or the large ones, may be too much together."""
        if self._held > self.capacity:
            return True
        return self._held_by_large > self.capacity * _LARGE_SHARE

    def _refuse_excess(self) -> None:
        """Refuses unfinished bodies until the others are within the budget."""
        while True:
            holders = [body for body in self._bodies if body.size]
            excess = self._excess_of(holders)
            unfinished = [body for body in excess if not body.is_complete]
            if not unfinished:
                return
            self._refuse_worst(unfinished)

    def _excess_of(self, holders: list[HeldBody]) -> list[HeldBody]:
        """Returns the bodies that are too much together, or none."""
        if len(holders) > 1 and self._held > self.capacity:
            return holders
        large = [body for body in holders if body.large_size]
        used = self._held_by_large
        if len(large) > 1 and used > self.capacity * _LARGE_SHARE:
            return large
        return []

    def _refuse_worst(self, bodies: list[HeldBody]) -> None:
        worst = max(bodies, key=_cost_of)
        worst.is_refused = True
        # The memory is free at once, whenever the reader notices.
        worst.data = bytearray()
        self._remove(worst)
        self.refusals += 1


def unbounded() -> BodyGroup:
    """Returns a group whose bodies have no bound together."""
    return BodyGroup(BodyBudget(_UNBOUNDED_BYTES))


def _cost_of(body: HeldBody) -> tuple[float, int]:
    """Returns bytes times seconds without progress, then the bytes."""
    stall_s = body.stall_s(clocks.boot_s())
    return (body.size + SMALL_BODY_BYTES) * stall_s, body.size
