"""Measures the decisions about one stream that needs room.

A decision is all that the gateway computes for an arrival beside the search for
a chain: its class, the reserve, the link, and its place among those that wait.
"""

import random
import time

from hdrh import histogram
import msgspec

from briarfall import ids
from briarfall.bench import placements
from briarfall.gateway.placement import linkadmission
from briarfall.gateway.scheduling import accountshares
from briarfall.gateway.scheduling import classes
from briarfall.gateway.scheduling import demands
from briarfall.gateway.scheduling import kvreserve
from briarfall.gateway.scheduling import waiting

_INSTANCES = 330
_WAITING = (1, 100, 1000)
_URGENCIES = (0, 3, 5, 9)
_ACCOUNTS = 540
_MAX_NS = 10**9
# Decisions between two reports of peers, which are not measured.
_PER_REPORT = 100


class AdmissionRow(msgspec.Struct):
    """Time of decisions.

    Attributes:
        waiting: Requests that wait at the instance.
        decisions: Decisions measured.
        p50_us: Median, in microseconds.
        p99_us: 99th percentile, in microseconds.
        look_p99_us: The same for each later turn of a request that waits.
        report_us: Mean time to take in the report of a peer, in microseconds.
    """

    waiting: int
    decisions: int
    p50_us: float
    p99_us: float
    look_p99_us: float
    report_us: float


class _Scene:
    """One instance beside 329 others."""

    def __init__(self, waiting_count: int, rng: random.Random):
        self._rng = rng
        self._model = placements.layout()
        self._mean = (
            self._model.mean_prompt_tokens + self._model.mean_answer_tokens
        )
        self._table = demands.DemandTable()
        self._link = linkadmission.LinkAdmission(
            lambda: 0.0, others_by_class=self._table.link_mbps, rng=rng
        )
        self._reserve = kvreserve.KvReserve(self._table.kv_tokens)
        self._accounts = accountshares.AccountShares()
        self._room = waiting.WaitingRoom()
        self._waiters = []
        for number in range(_INSTANCES - 1):
            self.report(number)
        for _ in range(waiting_count):
            waiter = self._waiter(self._class(100.0))
            self._room.record_look(waiter)
            self._waiters.append(waiter)

    def report(self, number: int) -> None:
        """Takes in the report of a peer."""
        rows = []
        for urgency in _URGENCIES:
            cls = classes.DemandClass(urgency, classes.Band.USUAL)
            rows.append(demands.DemandRow(classes.key_of(cls), 100, 2000))
        self._table.merge(ids.InstanceId(f"i{number}"), rows, 400.0, 10.0)

    def decide(self) -> None:
        """Makes all decisions about one arrival."""
        tokens = self._rng.expovariate(1 / self._mean)
        cls = self._class(tokens)
        self._reserve.record(cls, tokens)
        waiter = self._waiter(cls)
        self._room.expected_wait_s(waiter)
        self._room.pause_before_look(waiter)
        self._reserve.max_fill(cls)
        self._link.admit(self._model, 1, tokens, cls)
        self._room.leave(waiter, is_admitted=False)

    def look(self) -> None:
        """Makes the decisions about one that waits already."""
        waiter = self._rng.choice(self._waiters)
        self._room.expected_wait_s(waiter)
        if not self._room.pause_before_look(waiter):
            self._room.record_look(waiter)

    def _class(self, tokens: float) -> classes.DemandClass:
        account = ids.ClientId(f"c{self._rng.randrange(_ACCOUNTS)}")
        return classes.class_of(
            self._rng.choice(_URGENCIES),
            tokens,
            self._mean,
            is_excess=self._accounts.record(account, tokens),
        )

    def _waiter(self, cls: classes.DemandClass) -> waiting.Waiter:
        now_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        return waiting.Waiter(cls, 100.0, now_s + 1000.0, now_s + 1000.0)


def run(seconds: float, seed: int = 1) -> list[AdmissionRow]:
    """Returns a row for each number of waiting requests."""
    return [_measure(count, seconds, seed) for count in _WAITING]


def _measure(waiting_count: int, seconds: float, seed: int) -> AdmissionRow:
    scene = _Scene(waiting_count, random.Random(seed))
    decisions = histogram.HdrHistogram(1, _MAX_NS, 3)
    looks = histogram.HdrHistogram(1, _MAX_NS, 3)
    report_ns = 0
    reports = 0
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        started_ns = time.perf_counter_ns()
        scene.report(reports % (_INSTANCES - 1))
        report_ns += time.perf_counter_ns() - started_ns
        reports += 1
        for _ in range(_PER_REPORT):
            started_ns = time.perf_counter_ns()
            scene.decide()
            decided_ns = time.perf_counter_ns()
            scene.look()
            looked_ns = time.perf_counter_ns()
            decisions.record_value(decided_ns - started_ns)
            looks.record_value(looked_ns - decided_ns)
    return AdmissionRow(
        waiting_count,
        decisions.get_total_count(),
        round(decisions.get_value_at_percentile(50) / 1000, 1),
        round(decisions.get_value_at_percentile(99) / 1000, 1),
        round(looks.get_value_at_percentile(99) / 1000, 1),
        round(report_ns / reports / 1000, 1),
    )
