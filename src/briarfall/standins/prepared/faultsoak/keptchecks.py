"""Counts requests of kept connections that are closed without an answer."""

from briarfall.standins.prepared.faultsoak import callers
from briarfall.standins.prepared.faultsoak import requestfacts
from briarfall.standins.prepared.faultsoak import scenes

_ALLOWED = 3


def is_closed_unanswered(
    facts: requestfacts.RequestFacts, outcome: callers.RequestOutcome
) -> bool:
    """Whether a kept connection was closed after its request was passed on.

    Neither planned work nor the time limit excuses it: the instance could have
    answered. An instance that was killed or paused could not, and a target that
    broke off, or a cut of the links, is not the instance's doing.
    """
    if not outcome.is_sent or not outcome.is_kept or outcome.status:
        return False
    if outcome.has_given_up or not facts.targets(outcome):
        return False
    if facts.is_instance_impaired(outcome) or facts.is_broken_by_cut(outcome):
        return False
    return not facts.is_target_impaired(outcome)


def check(
    scene: scenes.Scene, outcomes: list[callers.RequestOutcome]
) -> list[str]:
    """Returns a line if kept connections are closed too often."""
    facts = requestfacts.RequestFacts(scene)
    closed = [row for row in outcomes if is_closed_unanswered(facts, row)]
    if len(closed) <= _ALLOWED:
        return []
    first = [f"{row.id} at {row.instance}" for row in closed[:5]]
    return [
        f"{len(closed)} kept connections closed without an answer after their "
        f"request was passed on, allowed {_ALLOWED}: {first}"
    ]
