"""Checks the guarantees against the records of callers and targets."""

import collections

from briarfall.standins.prepared import engines
from briarfall.standins.prepared.faultsoak import callers
from briarfall.standins.prepared.faultsoak import cutchecks
from briarfall.standins.prepared.faultsoak import keptchecks
from briarfall.standins.prepared.faultsoak import latechecks
from briarfall.standins.prepared.faultsoak import limitchecks
from briarfall.standins.prepared.faultsoak import listchecks
from briarfall.standins.prepared.faultsoak import lostchecks
from briarfall.standins.prepared.faultsoak import scenes
from briarfall.standins.prepared.faultsoak import targetchecks

KEY_TTL_S = 5.0
# Requests of these kinds run at most once.
_RUN_ONCE = ("orders", "notes")
# Statuses that promise that the request has not run and never will.
_NOT_RUN = (408, 421, 429, 503)


def check(
    scene: scenes.Scene, outcomes: list[callers.RequestOutcome]
) -> list[str]:
    """Returns a line for each violated guarantee.

    Args:
        scene: What was run.
        outcomes: Request outcomes that callers recorded.
    """
    runs = collections.Counter()
    broken = []
    for target in scene.targets:
        runs.update(target.ran_ids())
    for engine in scene.engines:
        broken += _check_layers(engine)
    revoked = dict(scene.catalogue.revoked)
    for outcome in outcomes:
        count = runs[outcome.id]
        broken += _check_runs(outcome, count)
        if outcome.status == 200 and outcome.is_complete:
            broken += _check_body(outcome, scenes.EVENTS)
        revoked_s = revoked.get(outcome.key)
        if revoked_s is not None and count:
            late_s = outcome.sent_s - revoked_s
            if late_s > KEY_TTL_S:
                broken.append(
                    f"{outcome.id}: key ran {late_s:.1f} s after its revocation"
                )
    checker = targetchecks.TargetChecker(outcomes, scene.records.disturbed)
    for target in scene.targets:
        broken += checker.check(target)
        broken += limitchecks.check(target)
    broken += checker.check_poison(scenes.POISON, scene.plain_services)
    usual = [row for row in outcomes if not row.id.startswith(scenes.POISON)]
    broken += lostchecks.check(scene, usual)
    broken += keptchecks.check(scene, usual)
    broken += latechecks.check(scene, usual)
    broken += cutchecks.check(scene.records, usual)
    broken += listchecks.check(scene, usual)
    for row in scene.instances:
        row.record_own_end()
        for code in row.own_ends:
            broken.append(f"{row.name}: ended by itself with code {code}")
    served = sum(1 for outcome in usual if outcome.status == 200)
    if served < len(usual) / 4:
        broken.append(f"only {served} of {len(usual)} requests served")
    return broken


def _check_runs(outcome: callers.RequestOutcome, count: int) -> list[str]:
    """Checks how often a request ran that may run only once."""
    if outcome.kind not in _RUN_ONCE:
        return []
    broken = []
    if count > 1:
        broken.append(f"{outcome.id}: ran {count} times")
    if count and outcome.status in _NOT_RUN:
        broken.append(f"{outcome.id}: status {outcome.status} although it ran")
    return broken


def _check_body(outcome: callers.RequestOutcome, events: int) -> list[str]:
    if outcome.kind in ("orders", "views"):
        expected = outcome.id.encode() if outcome.kind == "orders" else b""
        if outcome.body != b"ran:" + expected:
            return [f"{outcome.id}: body {outcome.body[:40]!r}"]
        return []
    numbers = []
    for line in outcome.body.splitlines():
        if line.startswith(b"id: "):
            numbers.append(int(line[4:]))
    if numbers != list(range(1, events + 1)):
        return [f"{outcome.id}: events {numbers}"]
    return []


def _check_layers(engine: engines.EngineStandin) -> list[str]:
    for request_id, number, path in engine.generated_events:
        if not engines.runs_all_layers(path):
            return [f"{request_id}: event {number} on path {path}"]
    return []
