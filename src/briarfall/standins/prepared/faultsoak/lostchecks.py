"""Checks that requests get a complete answer or a refusal."""

from briarfall.standins.prepared.faultsoak import callers
from briarfall.standins.prepared.faultsoak import lostexceptions
from briarfall.standins.prepared.faultsoak import requestfacts
from briarfall.standins.prepared.faultsoak import scenes


def is_cut(outcome: callers.RequestOutcome) -> bool:
    """Whether a request was sent wholly and got no complete answer."""
    if not outcome.is_sent:
        return False
    return not (outcome.status and outcome.is_complete)


def is_lost(
    facts: requestfacts.RequestFacts, outcome: callers.RequestOutcome
) -> bool:
    """Whether nothing excuses that a request got no complete answer.

    A target that broke off, hung or was down excuses a request that reached
    it, and so does a cut that begins in the middle of it. The silence of a
    target is no excuse, and neither is a cut from before it or a planned stop.
    """
    if not is_cut(outcome):
        return False
    return not any(excuses(facts, outcome) for excuses in lostexceptions.ALL)


def check(
    scene: scenes.Scene, outcomes: list[callers.RequestOutcome]
) -> list[str]:
    """Returns a line for each lost request."""
    facts = requestfacts.RequestFacts(scene)
    broken = []
    for row in outcomes:
        if not is_lost(facts, row):
            continue
        took_s = row.ended_s - row.sent_s
        targets = ",".join(sorted(facts.targets(row))) or "no target"
        broken.append(
            f"{row.id}: lost after {took_s:.2f} s at {row.instance}, "
            f"status {row.status}, {targets}: {row.error}"
        )
    return broken
