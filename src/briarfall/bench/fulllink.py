"""Plays streams whose chains cross a full link between zones.

Time is simulated. The link carries one transfer after the other, also those of
callers that have left. A caller leaves after two seconds without a first event
and comes back once; a refused one comes back once, when it was told to.
"""

import abc
import enum
import functools
import heapq
import itertools
import random

import msgspec

from briarfall.bench import placements
from briarfall.gateway import chainsearch
from briarfall.gateway import crossings
from briarfall.gateway import pauses
from briarfall.gateway import views

_AIM_S = 0.5
_PATIENCE_S = 2.0
# Interval at which instances tell their demand.
_TELL_S = 1.0
_CROSSINGS = 2
# A prompt of usual length crosses in 9 ms.
_LINK_MBPS = 60_000.0


class LinkRow(msgspec.Struct):
    """What callers got under one load.

    Attributes:
        admission: How requests were let onto the link.
        load: Offered megabits as a part of what the link carries.
        asked: Callers.
        in_aim: Share of them whose first event came within the aim.
        late: Share whose first event came later.
        refused: Share that got a refusal and nothing else.
        left: Share that left without an event.
        of_link: First events within the aim, as a part of what the link could
            have carried in that time.
    """

    admission: str
    load: float
    asked: int
    in_aim: float
    late: float
    refused: float
    left: float
    of_link: float


class _Outcome(enum.Enum):
    IN_AIM = "in_aim"
    LATE = "late"
    REFUSED = "refused"
    LEFT = "left"


class _Admission(abc.ABC):
    """Decides whether a request of an instance may cross."""

    @abc.abstractmethod
    def admit(self, instance: int, now_s: float) -> bool:
        """Counts a request, and returns whether it may cross."""


class _Open(_Admission):
    """Lets everything cross."""

    def admit(self, instance, now_s):
        """Returns True."""
        return True


class _Told(_Admission):
    """The gateway's admission; instances tell each other their demand."""

    def __init__(self, model: views.ModelLayout, instances: int):
        self._model = model
        self._now_s = 0.0
        self._told_s = 0.0
        self._told = [0.0] * instances
        self._links = []
        for number in range(instances):
            self._links.append(
                crossings.LinkAdmission(
                    functools.partial(self._others, number),
                    lambda: self._now_s,
                )
            )

    def _others(self, number: int) -> float:
        return sum(self._told) - self._told[number]

    def admit(self, instance, now_s):
        """Returns what the instance decides on what it was told."""
        self._now_s = now_s
        if now_s - self._told_s >= _TELL_S:
            self._told_s = now_s
            self._told = [link.demand_mbps for link in self._links]
        tokens = self._model.mean_prompt_tokens + self._model.mean_answer_tokens
        return self._links[instance].admit(self._model, _CROSSINGS, tokens)


class _Play:
    """One load on one link.

    Args:
        admission: Its name.
        instances: Gateway instances.
        load: Offered megabits as a part of what the link carries.
        seconds: Simulated duration.
        rng: Source of arrivals and pauses.
    """

    def __init__(self, admission, instances, load, seconds, rng):
        self._model = msgspec.structs.replace(
            placements.layout(), inter_zone_mbps=_LINK_MBPS
        )
        self._name = admission
        self._now_s = 0.0
        self._admission: _Admission = _Open()
        if admission == "told":
            self._admission = _Told(self._model, instances)
        self._instances = instances
        self._load = load
        self._seconds = seconds
        self._rng = rng
        self._free_s = 0.0
        self._order = itertools.count()
        # Time, number, time of the first attempt, tries left.
        self._events: list[tuple] = []
        self._outcomes = dict.fromkeys(_Outcome, 0)

    def run(self) -> LinkRow:
        """Returns what callers got."""
        asked = 0
        when_s = 0.0
        per_s = self._load * self._model.inter_zone_mbps / self._request_mb()
        while when_s < self._seconds:
            when_s += self._rng.expovariate(per_s)
            self._push(when_s, when_s, 1)
            asked += 1
        while self._events:
            self._now_s, _, first_s, tries = heapq.heappop(self._events)
            self._attempt(first_s, tries)
        return self._row(asked)

    def _push(self, when_s: float, first_s: float, tries: int) -> None:
        row = (when_s, next(self._order), first_s, tries)
        heapq.heappush(self._events, row)

    def _megabits(self, tokens: float) -> float:
        return crossings.megabits(self._model, _CROSSINGS, tokens)

    def _request_mb(self) -> float:
        return self._megabits(
            self._model.mean_prompt_tokens + self._model.mean_answer_tokens
        )

    def _attempt(self, first_s: float, tries: int) -> None:
        instance = self._rng.randrange(self._instances)
        if not self._admission.admit(instance, self._now_s):
            self._refuse(first_s, tries)
            return
        begun_s = max(self._free_s, self._now_s)
        event_s = begun_s + self._transfer_s(self._model.mean_prompt_tokens)
        answer_s = self._transfer_s(self._model.mean_answer_tokens)
        self._free_s = event_s + answer_s
        if event_s - self._now_s > _PATIENCE_S:
            self._leave(first_s, tries)
        elif event_s - first_s <= _AIM_S:
            self._outcomes[_Outcome.IN_AIM] += 1
        else:
            self._outcomes[_Outcome.LATE] += 1

    def _transfer_s(self, tokens: float) -> float:
        return self._megabits(tokens) / self._model.inter_zone_mbps

    def _refuse(self, first_s: float, tries: int) -> None:
        if not tries:
            self._outcomes[_Outcome.REFUSED] += 1
            return
        pause = chainsearch.FULL_LINK_PAUSE
        back_s = self._now_s + pauses.retry_after_s(pause, self._rng)
        self._push(back_s, first_s, tries - 1)

    def _leave(self, first_s: float, tries: int) -> None:
        if not tries:
            self._outcomes[_Outcome.LEFT] += 1
            return
        self._push(self._now_s + _PATIENCE_S, first_s, tries - 1)

    def _row(self, asked: int) -> LinkRow:
        shares = {}
        for outcome, count in self._outcomes.items():
            shares[outcome.value] = round(count / asked, 3)
        most = self._seconds * self._model.inter_zone_mbps / self._request_mb()
        in_aim = self._outcomes[_Outcome.IN_AIM]
        of_link = round(in_aim / most, 3)
        return LinkRow(self._name, self._load, asked, of_link=of_link, **shares)


ADMISSIONS = ("open", "told")


def run(
    instances: int, loads: list[float], seconds: float, seed: int
) -> list[LinkRow]:
    """Returns a row for each load and way to let requests onto the link."""
    rows = []
    for load in loads:
        for name in ADMISSIONS:
            rng = random.Random(seed)
            rows.append(_Play(name, instances, load, seconds, rng).run())
    return rows
