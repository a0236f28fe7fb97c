"""Compares cuts beside changes of the catalogue with those at other times."""

import math

import msgspec

from briarfall.standins.prepared.faultsoak import callers
from briarfall.standins.prepared.faultsoak import lostchecks
from briarfall.standins.prepared.faultsoak import lostexceptions
from briarfall.standins.prepared.faultsoak import requestfacts
from briarfall.standins.prepared.faultsoak import scenes

# Time after a version is written in which a cut counts as beside it.
_BESIDE_S = 3.0
# How much more often cuts may come beside changes than at other times.
MAX_RATIO = 3.0


class Share(msgspec.Struct):
    """Requests of an instance and those that were cut.

    Attributes:
        requests: Requests that were sent wholly.
        cuts: Those that were cut, of which the rule on lost requests excuses
            none.
        all_cuts: Those that were cut, also the excused ones.
    """

    requests: int = 0
    cuts: int = 0
    all_cuts: int = 0

    @property
    def rate(self) -> float:
        """Share of the requests that was cut."""
        return self.cuts / self.requests if self.requests else 0.0


class InstanceCompare(msgspec.Struct):
    """Cuts of an instance beside changes and at other times.

    Attributes:
        instance: Name of the instance.
        beside: Requests that ended beside a change.
        other: Requests that ended at other times.
    """

    instance: str
    beside: Share = msgspec.field(default_factory=Share)
    other: Share = msgspec.field(default_factory=Share)

    @property
    def ratio(self) -> float:
        """How much more often cuts come beside changes; infinite if only so."""
        if not self.beside.cuts:
            return 0.0
        if not self.other.cuts:
            return math.inf
        return self.beside.rate / self.other.rate

    @property
    def text(self) -> str:
        """The compare in a few words."""
        beside = self.beside
        other = self.other
        text = (
            f"{self.instance} {beside.cuts}/{beside.requests} against "
            f"{other.cuts}/{other.requests} (with excused "
            f"{beside.all_cuts}, {other.all_cuts})"
        )
        if self.ratio > MAX_RATIO:
            text += f" over {MAX_RATIO:g} times as often"
        return text


def compare(
    scene: scenes.Scene, outcomes: list[callers.RequestOutcome]
) -> list[InstanceCompare]:
    """Returns the cuts of each instance beside changes and at other times."""
    facts = requestfacts.RequestFacts(scene)
    # The first version is in force before any request.
    changes_s = [row.time_s for row in scene.catalogue.published[1:]]
    found = {}
    for instance in scene.instances:
        found[instance.name] = InstanceCompare(instance.name)
    for row in outcomes:
        if not row.is_sent:
            continue
        shares = found[row.instance]
        is_beside = _is_beside(row.ended_s, changes_s)
        _count(shares.beside if is_beside else shares.other, facts, row)
    return list(found.values())


def _is_beside(time_s: float, changes_s: list[float]) -> bool:
    for change_s in changes_s:
        if change_s <= time_s <= change_s + _BESIDE_S:
            return True
    return False


def _count(
    share: Share,
    facts: requestfacts.RequestFacts,
    row: callers.RequestOutcome,
) -> None:
    share.requests += 1
    share.all_cuts += lostchecks.is_cut(row)
    if lostexceptions.has_used_its_time(facts, row):
        return
    share.cuts += lostchecks.is_lost(facts, row)
