"""Records of what a soak test did to instances, targets and the store."""

import contextlib
import threading
import time

import msgspec

from briarfall.standins.prepared import links


class Disturbance(msgspec.Struct, frozen=True):
    """A period in which an instance was paused, killed or restarted.

    Attributes:
        instance: Name of the instance.
        start_s: Start of the period, in seconds of the monotonic clock.
        end_s: End of the period, by the same clock.
        is_planned: Whether it was a planned stop, which excuses no lost
            request.
    """

    instance: str
    start_s: float
    end_s: float
    is_planned: bool = False


class Impairment(msgspec.Struct, frozen=True):
    """A period in which a target broke off, hung, refused or was down.

    Attributes:
        target: Id of the target.
        start_s: Start of the period, in seconds of the monotonic clock.
        end_s: End of the period, by the same clock.
    """

    target: str
    start_s: float
    end_s: float


class InstanceCut(msgspec.Struct, frozen=True):
    """A period in which instances had no links to any target.

    Attributes:
        instances: Names of the instances.
        kind: What happened to their connections.
        start_s: Start of the period, in seconds of the monotonic clock.
        end_s: End of the period, by the same clock.
    """

    instances: frozenset[str]
    kind: links.Cut
    start_s: float
    end_s: float


class Membership(msgspec.Struct):
    """The time for which a target was in the list of targets.

    Attributes:
        target: The target.
        start_s: When its entry was added, in seconds of the monotonic clock.
        end_s: When its entry was removed, by the same clock; 0 if it stays.
    """

    target: object
    start_s: float
    end_s: float = 0.0


class PlayedFault(msgspec.Struct, frozen=True):
    """A fault that was played.

    Attributes:
        kind: Its kind.
        detail: What was drawn for it.
        start_s: Start, in seconds of the monotonic clock.
        end_s: End, by the same clock.
    """

    kind: str
    detail: str
    start_s: float
    end_s: float


class Records:
    """What was done in one run.

    Attributes:
        disturbed: Periods in which instances were paused, killed or restarted.
        impaired: Periods in which targets broke off, hung, refused or were
            down.
        cuts: Periods in which instances had no links to any target.
        memberships: Targets that joined and left during the run.
        store_faults: Start and end of periods in which the store, or the link
            of an instance to it, had a fault.
        played: The faults, in the order of their ends.
        pairs: Names of the pairs of faults, in the order of their begins.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self.disturbed: list[Disturbance] = []
        self.impaired: list[Impairment] = []
        self.cuts: list[InstanceCut] = []
        self.memberships: list[Membership] = []
        self.store_faults: list[tuple[float, float]] = []
        self.played: list[PlayedFault] = []
        self.pairs: list[str] = []

    def disturb(
        self, instance: str, start_s: float, *, is_planned: bool = False
    ) -> None:
        """Records a disturbance of an instance that ends now."""
        row = Disturbance(instance, start_s, time.monotonic(), is_planned)
        with self._lock:
            self.disturbed.append(row)

    def impair(self, target: str, start_s: float, end_s: float) -> None:
        """Records an impairment of a target."""
        with self._lock:
            self.impaired.append(Impairment(target, start_s, end_s))

    @contextlib.contextmanager
    def impairing(self, target: str):
        """Records that a target is impaired inside this context."""
        start_s = time.monotonic()
        yield
        self.impair(target, start_s, time.monotonic())

    @contextlib.contextmanager
    def store_fault(self):
        """Records that the store has a fault inside this context."""
        start_s = time.monotonic()
        yield
        with self._lock:
            self.store_faults.append((start_s, time.monotonic()))

    @contextlib.contextmanager
    def cut(self, instances: frozenset[str], kind: links.Cut):
        """Records that instances are cut off inside this context."""
        start_s = time.monotonic()
        yield
        row = InstanceCut(instances, kind, start_s, time.monotonic())
        with self._lock:
            self.cuts.append(row)

    def join(self, target) -> Membership:
        """Records that a target joins the list now."""
        row = Membership(target, time.monotonic())
        with self._lock:
            self.memberships.append(row)
        return row

    def begin_pair(self, name: str) -> None:
        """Records that a pair of faults begins."""
        with self._lock:
            self.pairs.append(name)

    def play(self, kind: str, detail: str, start_s: float) -> None:
        """Records a fault that ends now."""
        row = PlayedFault(kind, detail, start_s, time.monotonic())
        with self._lock:
            self.played.append(row)
