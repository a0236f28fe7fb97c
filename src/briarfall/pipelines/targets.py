"""Health and load of targets, as this instance sees them."""

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
_SUSPICION_DECAY = 0.2
_REPORT_TTL_S = 5.0


class Health(enum.Enum):
    """Whether a target receives new work."""

    UP = "up"
    EJECTED = "ejected"
    DRAINING = "leaving"


class TargetStatus(msgspec.Struct):
    """Local state of one target.

    Attributes:
        in_flight: Number of streams of this instance that use the target.
        by_rank: The same number by priority rank, most urgent first.
        running: Number of sequences at the target by its newest load report.
        report_s: Monotonic time at which the report was measured.
        ejected_until_s: Monotonic time until which the target receives no
            new work.
        failures: Number of consecutive failures.
        failed_s: Monotonic time of the last failure.
        is_silent: Whether the target was unresponsive, so that any later
            report ends its ejection.
        leaving: Whether at least one source says that the target is draining.
        suspicion: Suspicion from stalled streams, 0 to 1; it rises with each
            stall and falls with each token in time.
        last_ok_s: Monotonic time of the last success.
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
        instance_count: Returns the number of instances that share the
            targets.
    """

    def __init__(self, clock: clocks.Clock | None = None, instance_count=None):
        self._clock = clock or clocks.Clock()
        self._instance_count = instance_count or (lambda: 1)
        self._lock = threading.Lock()
        self._states: dict[str, TargetStatus] = {}
        self._draining_sources: dict[str, set[str]] = {}
        self._catalogue_targets: set[str] = set()
        self._link_success_s: dict[tuple[str, str], float] = {}

    def status(self, target: str) -> TargetStatus:
        """Returns the state of a target; callers must not modify it."""
        state = self._states.get(target)
        if state is None:
            with self._lock:
                state = self._states.setdefault(target, TargetStatus())
        return state

    def add_in_flight(self, targets: list[str], rank: int = LAST_RANK) -> None:
        """Counts a stream of a priority rank as in flight on its targets."""
        with self._lock:
            for target in targets:
                state = self._states.setdefault(target, TargetStatus())
                state.in_flight += 1
                state.by_rank[rank] += 1

    def remove_in_flight(
        self, targets: list[str], rank: int = LAST_RANK
    ) -> None:
        """Undoes `add_in_flight`."""
        with self._lock:
            for target in targets:
                self._states[target].in_flight -= 1
                self._states[target].by_rank[rank] -= 1

    def apply_load_report(
        self, target: str, report: engines.LoadReport
    ) -> None:
        """Applies an engine's load report if it is newer than the last one."""
        measured_s = self._clock.now() - report.age_s
        state = self.status(target)
        with self._lock:
            if measured_s <= state.report_s:
                return
            self._store_load(state, report.running + report.waiting, measured_s)
        self.set_draining(target, "engine", report.leaving)

    def apply_gossiped_load(
        self, target: str, running: int, measured_s: float
    ) -> None:
        """Applies a load that another instance fetched at `measured_s`."""
        state = self.status(target)
        with self._lock:
            if measured_s > state.report_s:
                self._store_load(state, running, measured_s)

    def _store_load(self, state, running: int, measured_s: float) -> None:
        state.report_s = measured_s
        state.running = running
        if state.is_silent and measured_s > state.failed_s:
            state.is_silent = False
            state.failures = 0
            state.ejected_until_s = float("-inf")

    def record_success(self, targets: list[str]) -> None:
        """Records a success of targets and lowers their suspicion.

        Their count of consecutive failures starts again at 0.
        """
        now = self._clock.now()
        for target in targets:
            state = self.status(target)
            state.last_ok_s = now
            state.failures = 0
            state.suspicion *= 1 - _SUSPICION_DECAY

    def record_route_success(self, targets: list[str]) -> None:
        """Records a token that passed all targets and links of a route."""
        self.record_success(targets)
        now = self._clock.now()
        for link in links_of_route(targets):
            self._link_success_s[link] = now

    def has_success_since(self, targets: list[str], since_s: float) -> bool:
        """Returns whether all targets and links of a route had a success.

        Args:
            targets: The route, in layer order.
            since_s: Monotonic time after which a success counts.
        """
        for target in targets:
            if self.status(target).last_ok_s <= since_s:
                return False
        for link in links_of_route(targets):
            if self._link_success_s.get(link, float("-inf")) <= since_s:
                return False
        return True

    def record_stall(self, targets: list[str], since_s: float) -> None:
        """Raises the suspicion of targets without a success since `since_s`."""
        for target in targets:
            state = self.status(target)
            if state.last_ok_s > since_s:
                continue
            state.suspicion += (1 - state.suspicion) * 0.5

    def record_failure(self, target: str, *, is_silent: bool = False) -> None:
        """Ejects a target for a time that doubles with each failure.

        The time is limited to `MAX_EJECT_S`. A failure while the target is
        ejected does not count as a further one, but restarts the time.
        """
        now = self._clock.now()
        state = self.status(target)
        with self._lock:
            if state.ejected_until_s < now:
                state.failures += 1
            duration_s = EJECT_S * 2 ** min(state.failures - 1, 4)
            state.failed_s = now
            state.is_silent = state.is_silent or is_silent
            state.ejected_until_s = now + min(duration_s, MAX_EJECT_S)

    def set_draining(self, target: str, source: str, draining: bool) -> None:
        """Records whether one source says that a target is draining.

        A target counts as draining while at least one source says so.
        """
        with self._lock:
            sources = self._draining_sources.setdefault(target, set())
            if draining:
                sources.add(source)
            else:
                sources.discard(source)
            state = self._states.setdefault(target, TargetStatus())
            state.leaving = bool(sources)

    def apply_catalogue(self, draining_by_target: dict[str, bool]) -> None:
        """Applies the targets of the catalogue and whether they are draining.

        Streams keep the model entry that they started with. A target that was
        removed from the catalogue is therefore marked as draining, so that
        running streams do not choose it again.
        """
        for target in self._catalogue_targets - draining_by_target.keys():
            self.set_draining(target, "catalogue", True)
        for target, is_draining in draining_by_target.items():
            self.set_draining(target, "catalogue", is_draining)
        self._catalogue_targets = set(draining_by_target)

    def draining_targets(self) -> list[str]:
        """Returns the targets that are draining by at least one source."""
        with self._lock:
            return [t for t, s in self._states.items() if s.leaving]

    def health(self, target: entries.EngineTarget | entries.ServiceTarget):
        """Returns whether a target is up, ejected or draining."""
        state = self.status(target.id)
        if state.leaving or target.state is entries.TargetState.DRAINING:
            return Health.DRAINING
        if state.ejected_until_s > self._clock.now():
            return Health.EJECTED
        return Health.UP

    def is_ejected(self, target: str) -> bool:
        """Returns whether a target is ejected after a failure."""
        return self.status(target).ejected_until_s > self._clock.now()

    def usable(self, targets: list) -> list:
        """Returns targets for new work, without draining ones.

        Ejected targets are left out too, but at most `MAX_EJECTED_SHARE` of
        the pool, so ejection never empties it. Beyond this share, targets
        whose ejection ends first are kept.

        Args:
            targets: Interchangeable or complementary targets of one entry.
        """
        not_draining = [
            t for t in targets if self.health(t) is not Health.DRAINING
        ]
        up = [t for t in not_draining if self.health(t) is Health.UP]
        if len(up) >= len(not_draining) * (1 - MAX_EJECTED_SHARE):
            return up
        ejected = [t for t in not_draining if t not in up]
        ejected.sort(key=lambda t: self.status(t.id).ejected_until_s)
        needed = int(len(not_draining) * (1 - MAX_EJECTED_SHARE) + 0.999) - len(
            up
        )
        return up + ejected[:needed]

    def instance_count(self) -> int:
        """Returns the number of instances that share the targets."""
        return max(1, self._instance_count())

    def load(self, target: str, rank: int = LAST_RANK) -> float:
        """Returns the estimated number of sequences at a target now.

        Only ranks up to `rank` count, because engines run urgent sequences
        first. With the age of the load report, its weight falls in favour of
        an estimate from the streams of this instance, which assumes that all
        instances send the same load.
        """
        state = self.status(target)
        ahead = sum(state.by_rank[: rank + 1])
        share = ahead / state.in_flight if state.in_flight else 1.0
        own_estimate = ahead * self.instance_count()
        age_s = self._clock.now() - state.report_s
        if age_s >= _REPORT_TTL_S:
            return own_estimate
        weight = 1 - age_s / _REPORT_TTL_S
        return weight * state.running * share + (1 - weight) * own_estimate

    def snapshot(self) -> dict[str, TargetStatus]:
        """Returns a copy of the states of all targets."""
        with self._lock:
            return {
                t: msgspec.structs.replace(s) for t, s in self._states.items()
            }


def links_of_route(targets: list[str]) -> list[tuple[str, str]]:
    """Returns the links between targets that a token passes.

    The link from the last target back to the first one is included.
    """
    if len(targets) < 2:
        return []
    return list(zip(targets, targets[1:] + targets[:1], strict=True))
