"""What a soak test knows about each request, for the checks of lost ones."""

import collections

from briarfall.standins.prepared import links
from briarfall.standins.prepared.faultsoak import callers
from briarfall.standins.prepared.faultsoak import records
from briarfall.standins.prepared.faultsoak import scenes

# Time that a fault needs to act on a request after it has ended.
_MARGIN_S = 0.1
# Time after a cut in which an instance may still use others.
_RETURN_S = 2.0
# Time in which every instance has a new version of the catalogue.
_CATALOGUE_S = 5.0


class RequestFacts:
    """Relates requests to their targets and to what was done meanwhile.

    Args:
        scene: What was run.
    """

    def __init__(self, scene: scenes.Scene):
        self._scene = scene
        self._impaired: dict[str, list[records.Impairment]] = (
            collections.defaultdict(list)
        )
        for row in scene.records.impaired:
            self._impaired[row.target].append(row)
        for service in scene.plain_services:
            for time_s in service.crashed_s:
                row = records.Impairment(service.id, time_s, time_s)
                self._impaired[service.id].append(row)
        self._targets = self._find_targets()

    def _find_targets(self) -> dict[str, set[str]]:
        """Returns the ids of the targets that each request reached."""
        by_address = {}
        for engine in self._scene.engines:
            by_address[engine.address] = engine.id
        found = collections.defaultdict(set)
        for target in self._scene.targets:
            for row in target.arrivals:
                found[row.request_id].add(target.id)
                found[row.request_id] |= _engines_of(row.path, by_address)
        for engine in self._scene.engines:
            for request_id, _, path in engine.generated_events:
                found[request_id] |= _engines_of(path, by_address)
        return found

    def targets(self, outcome: callers.RequestOutcome) -> set[str]:
        """Returns the ids of the targets that a request reached."""
        return self._targets.get(outcome.id, set())

    def limit_s(self, outcome: callers.RequestOutcome) -> float:
        """Returns the time limit of a request, by the shortest timeout."""
        timeout_s = self._scene.catalogue.timeout_s(
            outcome.kind, outcome.sent_s - _CATALOGUE_S, outcome.ended_s
        )
        return min(callers.DEADLINE_MS / 1000, timeout_s)

    def planned_stops(
        self, outcome: callers.RequestOutcome
    ) -> list[records.Disturbance]:
        """Returns the planned stops that the connection of a request met."""
        found = []
        for row in self._scene.records.disturbed:
            if not row.is_planned or row.instance != outcome.instance:
                continue
            if row.start_s <= outcome.ended_s and row.end_s >= outcome.opened_s:
                found.append(row)
        return found

    def is_instance_impaired(self, outcome: callers.RequestOutcome) -> bool:
        """Whether its instance was killed or paused during a request."""
        for row in self._scene.records.disturbed:
            if row.is_planned or row.instance != outcome.instance:
                continue
            if _overlaps(row, outcome):
                return True
        return False

    def is_target_impaired(self, outcome: callers.RequestOutcome) -> bool:
        """Whether a target that a request reached broke off or was down."""
        for target in self.targets(outcome):
            for row in self._impaired[target]:
                if _overlaps(row, outcome):
                    return True
        return False

    def is_worked_on_after(
        self, outcome: callers.RequestOutcome, time_s: float
    ) -> bool:
        """Whether a target still worked on a request after some time."""
        for target in self._scene.targets:
            with target.lock:
                arrived = _times(target.arrivals, outcome.id)
                ended = _times(target.exchange_ends, outcome.id)
            # An exchange without an end is still under way.
            if len(ended) < len(arrived):
                return True
            if any(end_s > time_s for end_s in ended):
                return True
        return False

    def is_broken_by_cut(self, outcome: callers.RequestOutcome) -> bool:
        """Whether a cut ended a connection that a request had to a target.

        An instance that is already cut off reaches targets through others only,
        so that what happens to these others counts too.
        """
        if not self.targets(outcome):
            return False
        start_s = outcome.sent_s
        end_s = outcome.ended_s
        uses_others = False
        began: set[str] = set()
        for row in self._scene.records.cuts:
            is_own = outcome.instance in row.instances
            if is_own and row.start_s <= end_s:
                uses_others |= row.end_s + _MARGIN_S >= start_s - _RETURN_S
            if row.kind is links.Cut.REFUSE_NEW:
                continue
            if start_s - _MARGIN_S <= row.start_s <= end_s:
                began |= row.instances
        if outcome.instance in began:
            return True
        if not uses_others:
            return False
        if began:
            return True
        return any(
            _overlaps(row, outcome) for row in self._scene.records.disturbed
        )


def _overlaps(row, outcome: callers.RequestOutcome) -> bool:
    if row.start_s > outcome.ended_s:
        return False
    return row.end_s + _MARGIN_S >= outcome.sent_s


def _times(rows: list, request_id: str) -> list[float]:
    return [row.time_s for row in rows if row.request_id == request_id]


def _engines_of(path: str, by_address: dict[str, str]) -> set[str]:
    found = set()
    for stage in path.split(","):
        name = by_address.get(stage.partition("=")[0])
        if name is not None:
            found.add(name)
    return found
