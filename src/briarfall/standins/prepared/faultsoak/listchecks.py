"""Checks that instances follow the list of targets and the routes."""

from briarfall.standins.prepared.faultsoak import callers
from briarfall.standins.prepared.faultsoak import records
from briarfall.standins.prepared.faultsoak import scenes

# Time in which every instance has applied a change.
_FOLLOW_S = 3.0
# Requests of a service from which one of its targets gets some by all odds.
_MIN_REQUESTS = 60


def check(
    scene: scenes.Scene, outcomes: list[callers.RequestOutcome]
) -> list[str]:
    """Returns a line for each target or route that was not followed.

    Nothing is judged in, or shortly after, a fault of the store, of a link to
    it or of the instance.
    """
    judged = []
    for row in outcomes:
        if not _is_disturbed(scene.records, row):
            judged.append(row)
    service_of = {}
    for target in scene.plain_services:
        for request_id in target.ran_ids():
            service_of[request_id] = target.service
    broken = _check_routes(scene, judged, service_of)
    zones = {row.name: row.zone for row in scene.instances}
    for member in scene.records.memberships:
        service = member.target.service
        same = [row for row in judged if service_of.get(row.id) == service]
        broken += _check_left(member, same)
        near = [
            row for row in same if zones[row.instance] == member.target.zone
        ]
        broken += _check_joined(member, near)
    return broken


def _check_left(
    member: records.Membership, outcomes: list[callers.RequestOutcome]
) -> list[str]:
    """Checks that a target that left gets no more requests."""
    arrived = {row.request_id for row in member.target.arrivals}
    broken = []
    for row in outcomes:
        if row.sent_s > member.end_s + _FOLLOW_S and row.id in arrived:
            broken.append(f"{row.id}: sent to {member.target.id}, which left")
    return broken


def _check_joined(
    member: records.Membership, outcomes: list[callers.RequestOutcome]
) -> list[str]:
    """Checks that a new target gets requests of the instances in its zone.

    Those of other zones may prefer targets of their own.
    """
    arrived = {row.request_id for row in member.target.arrivals}
    possible = 0
    reached = 0
    for row in outcomes:
        if member.start_s + _FOLLOW_S < row.sent_s < member.end_s:
            possible += 1
            reached += row.id in arrived
    if possible < _MIN_REQUESTS or reached:
        return []
    return [
        f"{member.target.id}: joined the list, but got none of {possible} "
        "requests of its zone"
    ]


def _check_routes(
    scene: scenes.Scene,
    outcomes: list[callers.RequestOutcome],
    service_of: dict[str, str],
) -> list[str]:
    """Checks that requests run at a service that their route named."""
    broken = []
    for row in outcomes:
        service = service_of.get(row.id)
        if service is None:
            continue
        versions = scene.catalogue.within(row.sent_s - _FOLLOW_S, row.ended_s)
        if service not in {known.services[row.kind] for known in versions}:
            broken.append(f"{row.id}: {row.kind} ran at {service}")
    return broken


def _is_disturbed(done: records.Records, row: callers.RequestOutcome) -> bool:
    start_s = row.sent_s - _FOLLOW_S
    for period in done.disturbed:
        if period.instance != row.instance:
            continue
        if period.start_s <= row.ended_s and period.end_s >= start_s:
            return True
    for begin_s, end_s in done.store_faults:
        if begin_s <= row.ended_s and end_s >= start_s:
            return True
    return False
