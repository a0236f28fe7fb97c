"""What one instance knows about the targets of its models."""

import enum
import threading

import msgspec

from briarfall import clock as clocks
from briarfall.adapters import engine as engines
from briarfall.catalogue import entries

LAST_RANK = len(entries.Priority) - 1
EJECT_S = 2.0
MAX_EJECT_S = 30.0
MAX_EJECTED_SHARE = 0.5
_GAP_WEIGHT = 0.2
_REPORT_TTL_S = 5.0


class Health(enum.Enum):
    """Whether a target is offered new work."""

    UP = "up"
    EJECTED = "ejected"
    LEAVING = "leaving"


class TargetStatus(msgspec.Struct):
    """State of one target as this instance sees it.

    Attributes:
        in_flight: Streams of this instance that use the target.
        by_rank: The same by class, most urgent first.
        running: Sequences at the target by its newest report.
        report_s: Monotonic time that the report describes.
        ejected_until_s: Monotonic time until which no work is offered.
        failures: Failures in a row.
        failed_s: Monotonic time of the last failure.
        is_silent: Whether it did not answer at all, so that any later
            report shows that it is back.
        leaving: Whether any source says that the target leaves.
        suspicion: Share of recent tokens on it that came late, 0 to 1.
        last_ok_s: Monotonic time of the last token through it.
    """

    in_flight: int = 0
    by_rank: list[int] = msgspec.field(
        default_factory=lambda: [0] * (LAST_RANK + 1)
    )
    running: float = 0.0
    report_s: float = float("-inf")
    ejected_until_s: float = float("-inf")
    failures: int = 0
    failed_s: float = float("-inf")
    is_silent: bool = False
    leaving: bool = False
    suspicion: float = 0.0
    last_ok_s: float = float("-inf")


class TargetTable:
    """States of all targets, by target id.

    Args:
        clock: Source of monotonic time.
        routers: Returns the number of instances that share the targets.
    """

    def __init__(self, clock: clocks.Clock | None = None, routers=None):
        self._clock = clock or clocks.Clock()
        self._routers = routers or (lambda: 1)
        self._lock = threading.Lock()
        self._states: dict[str, TargetStatus] = {}
        self._leaving: dict[str, set[str]] = {}
        self._in_catalogue: set[str] = set()
        self._edge_ok_s: dict[tuple[str, str], float] = {}

    def status(self, target: str) -> TargetStatus:
        """Returns the state of a target; callers only read it."""
        state = self._states.get(target)
        if state is None:
            with self._lock:
                state = self._states.setdefault(target, TargetStatus())
        return state

    def begin(self, targets: list[str], rank: int = LAST_RANK) -> None:
        """Counts a stream of a class on each of its targets."""
        with self._lock:
            for target in targets:
                state = self._states.setdefault(target, TargetStatus())
                state.in_flight += 1
                state.by_rank[rank] += 1

    def end(self, targets: list[str], rank: int = LAST_RANK) -> None:
        """Takes back what `begin` counted."""
        with self._lock:
            for target in targets:
                self._states[target].in_flight -= 1
                self._states[target].by_rank[rank] -= 1

    def note_report(self, target: str, report: engines.LoadReport) -> None:
        """Takes a load report if it is newer than the last one."""
        taken_s = self._clock.now() - report.age_s
        state = self.status(target)
        with self._lock:
            if taken_s <= state.report_s:
                return
            self._store_load(state, report.running + report.waiting, taken_s)
        self.set_leaving(target, "engine", report.leaving)

    def note_gossip(self, target: str, running: int, taken_s: float) -> None:
        """Takes a load that another instance fetched at `taken_s`."""
        state = self.status(target)
        with self._lock:
            if taken_s > state.report_s:
                self._store_load(state, running, taken_s)

    def _store_load(self, state, running: int, taken_s: float) -> None:
        state.report_s = taken_s
        state.running = running
        if state.is_silent and taken_s > state.failed_s:
            state.is_silent = False
            state.failures = 0
            state.ejected_until_s = float("-inf")

    def note_ok(self, targets: list[str]) -> None:
        """Notes a token that passed through the targets in time."""
        now = self._clock.now()
        for target in targets:
            state = self.status(target)
            state.last_ok_s = now
            state.failures = 0
            state.suspicion *= 1 - _GAP_WEIGHT

    def note_route_ok(self, targets: list[str]) -> None:
        """Notes a token that passed a whole route and came back."""
        self.note_ok(targets)
        now = self._clock.now()
        for edge in edges_of(targets):
            self._edge_ok_s[edge] = now

    def is_proved(self, targets: list[str], since_s: float) -> bool:
        """Returns whether other streams show that a route works.

        Args:
            targets: The route, in layer order.
            since_s: Monotonic time after which proof counts.
        """
        for target in targets:
            if self.status(target).last_ok_s <= since_s:
                return False
        for edge in edges_of(targets):
            if self._edge_ok_s.get(edge, float("-inf")) <= since_s:
                return False
        return True

    def note_late(self, targets: list[str], since_s: float) -> None:
        """Suspects targets that no other stream has shown to be fine."""
        for target in targets:
            state = self.status(target)
            if state.last_ok_s > since_s:
                continue
            state.suspicion += (1 - state.suspicion) * 0.5

    def note_failure(self, target: str, *, is_silent: bool = False) -> None:
        """Ejects a target for a time that doubles with each failure."""
        now = self._clock.now()
        state = self.status(target)
        with self._lock:
            if state.ejected_until_s < now:
                state.failures += 1
            duration_s = EJECT_S * 2 ** min(state.failures - 1, 4)
            state.failed_s = now
            state.is_silent = state.is_silent or is_silent
            state.ejected_until_s = now + min(duration_s, MAX_EJECT_S)

    def set_leaving(self, target: str, source: str, leaving: bool) -> None:
        """Records what one source says; any source makes a target leave."""
        with self._lock:
            sources = self._leaving.setdefault(target, set())
            if leaving:
                sources.add(source)
            else:
                sources.discard(source)
            state = self._states.setdefault(target, TargetStatus())
            state.leaving = bool(sources)

    def note_catalogue(self, wanted: dict[str, bool]) -> None:
        """Takes all targets of the catalogue and whether they leave.

        Streams keep the entry that they started with, so a target that has
        left the catalogue must be kept from them here.
        """
        for target in self._in_catalogue - wanted.keys():
            self.set_leaving(target, "catalogue", True)
        for target, leaves in wanted.items():
            self.set_leaving(target, "catalogue", leaves)
        self._in_catalogue = set(wanted)

    def leaving(self) -> list[str]:
        """Returns the targets that some source says are leaving."""
        with self._lock:
            return [t for t, s in self._states.items() if s.leaving]

    def health(self, target: entries.EngineTarget | entries.ServiceTarget):
        """Returns whether a target is offered new work."""
        state = self.status(target.id)
        if state.leaving or target.state is entries.TargetState.LEAVING:
            return Health.LEAVING
        if state.ejected_until_s > self._clock.now():
            return Health.EJECTED
        return Health.UP

    def is_ejected(self, target: str) -> bool:
        """Returns whether a target has failed just now."""
        return self.status(target).ejected_until_s > self._clock.now()

    def usable(self, targets: list) -> list:
        """Returns targets for new work; ejection never empties the pool.

        Args:
            targets: Interchangeable or complementary targets of one entry.
        """
        staying = [t for t in targets if self.health(t) is not Health.LEAVING]
        up = [t for t in staying if self.health(t) is Health.UP]
        if len(up) >= len(staying) * (1 - MAX_EJECTED_SHARE):
            return up
        ejected = [t for t in staying if t not in up]
        ejected.sort(key=lambda t: self.status(t.id).ejected_until_s)
        needed = int(len(staying) * (1 - MAX_EJECTED_SHARE) + 0.999) - len(up)
        return up + ejected[:needed]

    def routers(self) -> int:
        """Returns the number of instances that share the targets."""
        return max(1, self._routers())

    def load(self, target: str, rank: int = LAST_RANK) -> float:
        """Returns the estimated sequences at a target now.

        Only classes up to `rank` count, as engines run urgent ones first.
        A report fades with its age towards what this instance's own streams
        suggest, assuming that the others send as much.
        """
        state = self.status(target)
        ahead = sum(state.by_rank[: rank + 1])
        share = ahead / state.in_flight if state.in_flight else 1.0
        own = ahead * self.routers()
        age_s = self._clock.now() - state.report_s
        if age_s >= _REPORT_TTL_S:
            return own
        weight = 1 - age_s / _REPORT_TTL_S
        return weight * state.running * share + (1 - weight) * own

    def snapshot(self) -> dict[str, TargetStatus]:
        """Returns a copy of all states for reports."""
        with self._lock:
            return {
                t: msgspec.structs.replace(s) for t, s in self._states.items()
            }


def edges_of(targets: list[str]) -> list[tuple[str, str]]:
    """Returns the links that a token crosses, the way back included."""
    if len(targets) < 2:
        return []
    return list(zip(targets, targets[1:] + targets[:1], strict=True))
