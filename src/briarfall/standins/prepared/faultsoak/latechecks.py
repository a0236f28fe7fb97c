"""Checks that requests whose time is over are answered soon after it."""

from briarfall.standins.prepared.faultsoak import callers
from briarfall.standins.prepared.faultsoak import records
from briarfall.standins.prepared.faultsoak import scenes

_GRACE_S = 0.5
_MAX_SHARE = 1 / 4
_MIN_LATE = 8
# Time in which every instance has a new version of the catalogue.
_CATALOGUE_S = 5.0
# Time after a disturbance from which an instance is judged again.
_STABLE_S = 3.0


def check(
    scene: scenes.Scene, outcomes: list[callers.RequestOutcome]
) -> list[str]:
    """Returns a line if too many requests outlast their time unanswered."""
    overdue = 0
    late = []
    for row in outcomes:
        if not row.is_sent or _is_disturbed(scene.records, row):
            continue
        versions = scene.catalogue.within(
            row.sent_s - _CATALOGUE_S, row.ended_s
        )
        timeouts_s = [known.timeouts_s[row.kind] for known in versions]
        limit_s = min(max(timeouts_s), callers.DEADLINE_MS / 1000)
        took_s = row.ended_s - row.sent_s
        if took_s < limit_s:
            continue
        overdue += 1
        if took_s > limit_s + _GRACE_S:
            late.append(row.id)
    if len(late) < _MIN_LATE or len(late) <= overdue * _MAX_SHARE:
        return []
    return [
        f"{len(late)} of {overdue} requests had no answer {_GRACE_S} s after "
        f"their time: {late[:5]}"
    ]


def _is_disturbed(done: records.Records, row: callers.RequestOutcome) -> bool:
    for period in done.disturbed:
        if period.instance != row.instance:
            continue
        if period.start_s > row.ended_s:
            continue
        if period.end_s + _STABLE_S >= row.sent_s:
            return True
    return False
