"""Simulates streams whose chains cross a saturated inter-zone link.

Time is simulated. The link carries one transfer after the other, including
those of callers that have disconnected. A caller disconnects after two seconds
without a first event. Each caller retries at most once: immediately after it
disconnected, or after the time given in a refusal.
"""

import abc
import enum
import functools
import heapq
import itertools
import random

import msgspec

from briarfall.bench import placements
from briarfall.gateway import retryafter
from briarfall.gateway.catalogue import views
from briarfall.gateway.forwarding import chainsearch
from briarfall.gateway.placement import linkadmission

_FIRST_EVENT_SLO_S = 0.5
_CALLER_TIMEOUT_S = 2.0
# Interval at which instances report their demand to each other.
_REPORT_INTERVAL_S = 1.0
_CROSS_ZONE_HOPS = 2
# The activations of a prompt of mean length cross the link in 9 ms.
_LINK_MBPS = 60_000.0


class LinkRow(msgspec.Struct):
    """Results of callers under one load.

    Attributes:
        admission: How requests were admitted to the link.
        load: Offered megabits as a share of the link's capacity.
        asked: Number of callers.
        in_aim: Share of them whose first event came within the SLO, counted
            from the first attempt.
        late: Share whose first event came later.
        refused: Share whose last attempt was refused.
        left: Share that disconnected from the last attempt without an event.
        of_link: Requests with the first event within the SLO, as a share of
            those that the link could have carried in that time.
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
    WITHIN_SLO = "in_aim"
    LATE = "late"
    REFUSED = "refused"
    ABANDONED = "left"


class _Admission(abc.ABC):
    """Decides whether a request of an instance may use the link."""

    @abc.abstractmethod
    def admit(self, instance: int, now_s: float) -> bool:
        """Records a request and returns whether it may use the link."""


class _NoAdmission(_Admission):
    """Admits every request."""

    def admit(self, instance, now_s):
        """Returns True."""
        return True


class _GatewayAdmission(_Admission):
    """The gateway's admission, by the demand that instances report."""

    def __init__(self, model: views.ModelLayout, instances: int):
        self._model = model
        self._now_s = 0.0
        self._reported_s = 0.0
        self._reported_mbps = [0.0] * instances
        self._links = []
        for number in range(instances):
            self._links.append(
                linkadmission.LinkAdmission(
                    functools.partial(self._others_mbps, number),
                    lambda: self._now_s,
                )
            )

    def _others_mbps(self, number: int) -> float:
        return sum(self._reported_mbps) - self._reported_mbps[number]

    def admit(self, instance, now_s):
        """Returns the decision of the instance, by the reported demand."""
        self._now_s = now_s
        if now_s - self._reported_s >= _REPORT_INTERVAL_S:
            self._reported_s = now_s
            self._reported_mbps = [link.demand_mbps for link in self._links]
        tokens = self._model.mean_prompt_tokens + self._model.mean_answer_tokens
        return self._links[instance].admit(
            self._model, _CROSS_ZONE_HOPS, tokens
        )


class _Simulation:
    """Simulation of one load on one link.

    Args:
        admission: Name of the admission.
        instances: Number of gateway instances.
        load: Offered megabits as a share of the link's capacity.
        seconds: Simulated duration.
        rng: Source of arrival times and retry times.
    """

    def __init__(self, admission, instances, load, seconds, rng):
        self._model = msgspec.structs.replace(
            placements.layout(), inter_zone_mbps=_LINK_MBPS
        )
        self._name = admission
        self._now_s = 0.0
        self._admission: _Admission = _NoAdmission()
        if admission == "told":
            self._admission = _GatewayAdmission(self._model, instances)
        self._instances = instances
        self._load = load
        self._seconds = seconds
        self._rng = rng
        self._link_free_s = 0.0
        self._sequence = itertools.count()
        # Time, sequence number, time of the first attempt, retries left.
        self._events: list[tuple] = []
        self._outcomes = dict.fromkeys(_Outcome, 0)

    def run(self) -> LinkRow:
        """Runs the simulation and returns the results of callers."""
        caller_count = 0
        when_s = 0.0
        per_s = self._load * self._model.inter_zone_mbps / self._request_mb()
        while when_s < self._seconds:
            when_s += self._rng.expovariate(per_s)
            self._push(when_s, when_s, 1)
            caller_count += 1
        while self._events:
            self._now_s, _, first_s, retries = heapq.heappop(self._events)
            self._attempt(first_s, retries)
        return self._row(caller_count)

    def _push(self, when_s: float, first_s: float, retries: int) -> None:
        row = (when_s, next(self._sequence), first_s, retries)
        heapq.heappush(self._events, row)

    def _megabits(self, tokens: float) -> float:
        return linkadmission.megabits(self._model, _CROSS_ZONE_HOPS, tokens)

    def _request_mb(self) -> float:
        return self._megabits(
            self._model.mean_prompt_tokens + self._model.mean_answer_tokens
        )

    def _attempt(self, first_s: float, retries: int) -> None:
        instance = self._rng.randrange(self._instances)
        if not self._admission.admit(instance, self._now_s):
            self._refuse(first_s, retries)
            return
        start_s = max(self._link_free_s, self._now_s)
        event_s = start_s + self._transfer_s(self._model.mean_prompt_tokens)
        answer_s = self._transfer_s(self._model.mean_answer_tokens)
        self._link_free_s = event_s + answer_s
        if event_s - self._now_s > _CALLER_TIMEOUT_S:
            self._abandon(first_s, retries)
        elif event_s - first_s <= _FIRST_EVENT_SLO_S:
            self._outcomes[_Outcome.WITHIN_SLO] += 1
        else:
            self._outcomes[_Outcome.LATE] += 1

    def _transfer_s(self, tokens: float) -> float:
        return self._megabits(tokens) / self._model.inter_zone_mbps

    def _refuse(self, first_s: float, retries: int) -> None:
        if not retries:
            self._outcomes[_Outcome.REFUSED] += 1
            return
        period = chainsearch.FULL_LINK_PAUSE
        retry_s = self._now_s + retryafter.retry_after_s(period, self._rng)
        self._push(retry_s, first_s, retries - 1)

    def _abandon(self, first_s: float, retries: int) -> None:
        if not retries:
            self._outcomes[_Outcome.ABANDONED] += 1
            return
        self._push(self._now_s + _CALLER_TIMEOUT_S, first_s, retries - 1)

    def _row(self, caller_count: int) -> LinkRow:
        shares = {}
        for outcome, count in self._outcomes.items():
            shares[outcome.value] = round(count / caller_count, 3)
        capacity = (
            self._seconds * self._model.inter_zone_mbps / self._request_mb()
        )
        within_slo = self._outcomes[_Outcome.WITHIN_SLO]
        of_link = round(within_slo / capacity, 3)
        return LinkRow(
            self._name, self._load, caller_count, of_link=of_link, **shares
        )


ADMISSIONS = ("open", "told")


def run(
    instances: int, loads: list[float], seconds: float, seed: int
) -> list[LinkRow]:
    """Returns a row for each load and kind of admission."""
    rows = []
    for load in loads:
        for name in ADMISSIONS:
            rng = random.Random(seed)
            rows.append(_Simulation(name, instances, load, seconds, rng).run())
    return rows
