"""Checks the guarantees against the records of callers and targets."""

import collections

import msgspec

from briarfall.standins.prepared import engines
from briarfall.standins.prepared import services
from briarfall.standins.prepared.faultsoak import callers
from briarfall.standins.prepared.faultsoak import targetchecks


class Observations(msgspec.Struct, frozen=True):
    """Records of one run.

    Attributes:
        outcomes: Request outcomes that callers recorded.
        plain_services: The plain services.
        engines: The engines.
        revoked: Revoked keys and the time of each revocation.
        disturbed: Periods in which instances were paused, killed or restarted.
        key_ttl_s: Seconds after which a revoked key must be refused.
        events: Number of events in a complete stream.
        poison: Beginning of the ids of the poison request.
    """

    outcomes: list[callers.RequestOutcome]
    plain_services: list[services.ServiceStandin]
    engines: list[engines.EngineStandin]
    revoked: list[tuple[str, float]]
    disturbed: list[targetchecks.Disturbance]
    key_ttl_s: float
    events: int
    poison: str


def check(observed: Observations) -> list[str]:
    """Returns a line for each violated guarantee."""
    broken = []
    runs = collections.Counter()
    for service in observed.plain_services:
        runs.update(service.ran_ids())
    heads = collections.Counter()
    for engine in observed.engines:
        heads.update(engine.ran_ids())
        broken += _check_layers(engine)
    revoked = dict(observed.revoked)
    for outcome in observed.outcomes:
        count = runs[outcome.id] + heads[outcome.id]
        if outcome.kind == "orders" and count > 1:
            broken.append(f"{outcome.id}: ran {count} times")
        if outcome.kind == "orders" and outcome.status in (408, 421, 429, 503):
            if count:
                broken.append(
                    f"{outcome.id}: status {outcome.status} although it ran"
                )
        if outcome.status == 200 and outcome.is_complete:
            broken += _check_body(outcome, observed.events)
        revoked_s = revoked.get(outcome.key)
        if revoked_s is not None and count:
            late_s = outcome.sent_s - revoked_s
            if late_s > observed.key_ttl_s:
                broken.append(
                    f"{outcome.id}: key ran {late_s:.1f} s after its revocation"
                )
    checker = targetchecks.TargetChecker(observed.outcomes, observed.disturbed)
    for target in [*observed.plain_services, *observed.engines]:
        broken += checker.check(target)
    broken += checker.check_poison(observed.poison, observed.plain_services)
    usual = [
        outcome
        for outcome in observed.outcomes
        if not outcome.id.startswith(observed.poison)
    ]
    served = sum(1 for outcome in usual if outcome.status == 200)
    if served < len(usual) / 4:
        broken.append(f"only {served} of {len(usual)} requests served")
    return broken


def _check_body(outcome: callers.RequestOutcome, events: int) -> list[str]:
    if outcome.kind != "drafts":
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
