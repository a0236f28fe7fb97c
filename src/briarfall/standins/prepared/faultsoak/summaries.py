"""The summary line of a soak run."""

from briarfall.standins.prepared.faultsoak import answerdelays
from briarfall.standins.prepared.faultsoak import callers
from briarfall.standins.prepared.faultsoak import changecompare
from briarfall.standins.prepared.faultsoak import lostexceptions
from briarfall.standins.prepared.faultsoak import scenes


def text(
    seed: int,
    scene: scenes.Scene,
    outcomes: list[callers.RequestOutcome],
    broken: int,
) -> str:
    """Returns the summary line.

    Args:
        seed: Seed of the run.
        scene: What was run.
        outcomes: Request outcomes that callers recorded.
        broken: Number of violated guarantees.
    """
    usual = [row for row in outcomes if not row.id.startswith(scenes.POISON)]
    parts = [f"{len(scene.records.played)} faults, {broken} broken"]
    shares = [row.text for row in changecompare.compare(scene, usual)]
    parts.append(
        "cuts beside changes against other times (bound "
        f"{changecompare.MAX_RATIO:g} times as often): {', '.join(shares)}"
    )
    late, judged = answerdelays.count(scene, usual)
    parts.append(
        f"answers over {lostexceptions.LOST_S} s after their exchange: "
        f"{late} of {judged}"
    )
    if scene.records.pairs:
        parts.append(f"pairs: {', '.join(scene.records.pairs)}")
    return f"seed {seed}: " + "; ".join(parts)
