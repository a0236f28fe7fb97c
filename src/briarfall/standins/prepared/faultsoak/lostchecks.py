"""Checks that requests of undisturbed instances get complete answers."""

import collections

from briarfall.standins.prepared import links
from briarfall.standins.prepared.faultsoak import callers
from briarfall.standins.prepared.faultsoak import records
from briarfall.standins.prepared.faultsoak import scenes

# Time that a fault needs to act on a request after it has ended.
_MARGIN_S = 0.1
# Share of its time after which a request may end as timed out.
_TIME_SHARE = 0.98
# Time after a cut in which an instance may still use others.
_RETURN_S = 2.0
# Time in which every instance has a new version of the catalogue.
_CATALOGUE_S = 5.0


class LostChecker:
    """Finds requests without a complete answer that nothing excuses.

    A target that broke off, hung or was down excuses a request that reached
    it, and so does a cut that begins in the middle of it. The silence of a
    target is no excuse, and neither is a cut from before it.

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

    def check(self, outcome: callers.RequestOutcome) -> list[str]:
        """Returns a line if a request was lost."""
        if not outcome.is_sent or (outcome.status and outcome.is_complete):
            return []
        if self._is_excused(outcome):
            return []
        took_s = outcome.ended_s - outcome.sent_s
        targets = ",".join(sorted(self._targets[outcome.id])) or "no target"
        return [
            f"{outcome.id}: lost after {took_s:.2f} s at {outcome.instance}, "
            f"status {outcome.status}, {targets}: {outcome.error}"
        ]

    def _is_excused(self, outcome: callers.RequestOutcome) -> bool:
        start_s = outcome.sent_s
        end_s = outcome.ended_s
        limit_s = min(
            callers.DEADLINE_MS / 1000,
            self._scene.catalogue.timeout_s(
                outcome.kind, start_s - _CATALOGUE_S, end_s
            ),
        )
        if end_s - start_s >= _TIME_SHARE * limit_s:
            return True
        for row in self._scene.records.disturbed:
            if row.instance == outcome.instance and _overlaps(
                row, start_s, end_s
            ):
                return True
        targets = self._targets[outcome.id]
        if targets and self._is_broken_by_cut(outcome):
            return True
        for target in targets:
            for row in self._impaired[target]:
                if _overlaps(row, start_s, end_s):
                    return True
        return False

    def _is_broken_by_cut(self, outcome: callers.RequestOutcome) -> bool:
        """Whether a cut ended a connection that the request had to a target.

        An instance that is already cut off reaches targets through others only,
        so that what happens to these others counts too.
        """
        start_s = outcome.sent_s
        end_s = outcome.ended_s
        uses_others = False
        began: set[str] = set()
        for row in self._scene.records.cuts:
            is_own = outcome.instance in row.instances
            if is_own and _overlaps(row, start_s - _RETURN_S, end_s):
                uses_others = True
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
            _overlaps(row, start_s, end_s)
            for row in self._scene.records.disturbed
        )


def check(
    scene: scenes.Scene, outcomes: list[callers.RequestOutcome]
) -> list[str]:
    """Returns a line for each lost request."""
    checker = LostChecker(scene)
    broken = []
    for outcome in outcomes:
        broken += checker.check(outcome)
    return broken


def _overlaps(row, start_s: float, end_s: float) -> bool:
    return row.start_s <= end_s and row.end_s + _MARGIN_S >= start_s


def _engines_of(path: str, by_address: dict[str, str]) -> set[str]:
    found = set()
    for stage in path.split(","):
        name = by_address.get(stage.partition("=")[0])
        if name is not None:
            found.add(name)
    return found
