"""Counts answers that arrive late after the end of their exchange."""

from briarfall.standins.prepared.faultsoak import callers
from briarfall.standins.prepared.faultsoak import lostexceptions
from briarfall.standins.prepared.faultsoak import requestfacts
from briarfall.standins.prepared.faultsoak import scenes


def count(
    scene: scenes.Scene, outcomes: list[callers.RequestOutcome]
) -> tuple[int, int]:
    """Returns how many answers were late, and how many were judged.

    An answer is late if its caller has it over `LOST_S` after its last target
    ended the exchange. This is a figure and no violation: beside load it counts
    pauses of the soak's own threads too.
    """
    facts = requestfacts.RequestFacts(scene)
    end_s: dict[str, float] = {}
    for target in scene.targets:
        for row in target.exchange_ends:
            last_s = end_s.get(row.request_id, 0.0)
            end_s[row.request_id] = max(last_s, row.time_s)
    late = 0
    judged = 0
    for outcome in outcomes:
        if outcome.status != 200 or not outcome.is_complete:
            continue
        if outcome.id not in end_s or facts.is_instance_impaired(outcome):
            continue
        judged += 1
        late += outcome.ended_s - end_s[outcome.id] > lostexceptions.LOST_S
    return late, judged
