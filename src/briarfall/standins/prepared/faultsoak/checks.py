"""Checks the promises by what callers and targets wrote down."""

import collections

import msgspec

from briarfall.standins.prepared import engines
from briarfall.standins.prepared import services
from briarfall.standins.prepared.faultsoak import bounds
from briarfall.standins.prepared.faultsoak import callers


class Evidence(msgspec.Struct, frozen=True):
    """What was written down in a run.

    Attributes:
        told: What callers were told.
        desks: The plain services.
        engines: The engines.
        revoked: Keys that were taken away, and when.
        disturbed: When instances did not run as usual.
        key_ttl_s: Time after which a revoked key must not run.
        events: Events of a whole stream.
        poison: Begin of the ids of the request that crashes services.
    """

    told: list[callers.Told]
    desks: list[services.ServiceStandin]
    engines: list[engines.EngineStandin]
    revoked: list[tuple[str, float]]
    disturbed: list[bounds.Disturbance]
    key_ttl_s: float
    events: int
    poison: str


def check(seen: Evidence) -> list[str]:
    """Returns the promises that were broken."""
    broken = []
    runs = collections.Counter()
    for desk in seen.desks:
        runs.update(desk.ran_ids())
    heads = collections.Counter()
    for engine in seen.engines:
        heads.update(engine.ran_ids())
        broken += _check_layers(engine)
    revoked = dict(seen.revoked)
    for row in seen.told:
        count = runs[row.id] + heads[row.id]
        if row.kind == "orders" and count > 1:
            broken.append(f"{row.id}: ran {count} times")
        if row.kind == "orders" and row.status in (408, 421, 429, 503):
            if count:
                broken.append(f"{row.id}: {row.status} although it ran")
        if row.status == 200 and row.is_whole:
            broken += _check_body(row, seen.events)
        revoked_s = revoked.get(row.key)
        if revoked_s is not None and count:
            late_s = row.sent_s - revoked_s
            if late_s > seen.key_ttl_s:
                broken.append(f"{row.id}: key ran {late_s:.1f} s too late")
    witness = bounds.Witness(seen.told, seen.disturbed)
    for target in [*seen.desks, *seen.engines]:
        broken += witness.check(target)
    broken += witness.check_poison(seen.poison, seen.desks)
    usual = [row for row in seen.told if not row.id.startswith(seen.poison)]
    served = sum(1 for row in usual if row.status == 200)
    if served < len(usual) / 4:
        broken.append(f"only {served} of {len(usual)} requests served")
    return broken


def _check_body(row: callers.Told, events: int) -> list[str]:
    if row.kind != "drafts":
        expected = row.id.encode() if row.kind == "orders" else b""
        if row.body != b"ran:" + expected:
            return [f"{row.id}: body {row.body[:40]!r}"]
        return []
    numbers = []
    for line in row.body.splitlines():
        if line.startswith(b"id: "):
            numbers.append(int(line[4:]))
    if numbers != list(range(1, events + 1)):
        return [f"{row.id}: events {numbers}"]
    return []


def _check_layers(engine: engines.EngineStandin) -> list[str]:
    for request_id, number, path in engine.made:
        if not engines.runs_all_layers(path):
            return [f"{request_id}: event {number} on path {path}"]
    return []
