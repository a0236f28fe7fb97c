"""Measures responses while all targets request backoff, and afterwards."""

import collections
import random
import threading
import time

import msgspec

from briarfall.bench import measure
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import testbed

_TARGETS = 3
_INSTANCES = 3
_CONCURRENCY = 2
_WORK_S = 0.2
_CAPACITY_PER_S = _TARGETS * _CONCURRENCY / _WORK_S
_LOAD_MULTIPLE = 3.0
_BACKOFF_S = 2.0
_BEFORE_S = 2.0
_AFTER_S = 10.0
_DEADLINE_MS = 8000
_FAST_REFUSAL_S = 0.05
_SLICE_S = 0.1
# Time after the backoff in which a surge of retries would show, if callers that
# waited retried together.
_RETRY_WINDOW_S = 3.0
_MAX_ATTEMPTS = 3


class Attempt(msgspec.Struct, frozen=True):
    """One attempt of a caller and its response."""

    sent_s: float
    took_s: float
    status: int


class _ArrivalCounts(msgspec.Struct, frozen=True):
    """The largest and the mean number of requests in a slice of time."""

    most: int
    mean: float


class _LoadGenerator:
    """Callers that arrive at a steady rate and honour Retry-After."""

    def __init__(self, instances, seed: int):
        self._instances = instances
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self._threads: list[threading.Thread] = []
        self.attempts: list[Attempt] = []

    def generate(self, seconds: float) -> None:
        """Starts callers at a steady rate for a duration."""
        timer = threading.Event()
        started_s = time.monotonic()
        number = 0
        while time.monotonic() - started_s < seconds:
            due_s = started_s + number / (_CAPACITY_PER_S * _LOAD_MULTIPLE)
            timer.wait(max(0.0, due_s - time.monotonic()))
            inst = self._rng.choice(self._instances)
            thread = threading.Thread(
                target=self._call, args=(inst, f"q{number}"), daemon=True
            )
            thread.start()
            self._threads.append(thread)
            number += 1

    def join(self) -> None:
        """Waits until all callers have finished."""
        for thread in self._threads:
            thread.join()

    def _call(self, inst, name: str) -> None:
        timer = threading.Event()
        for number in range(_MAX_ATTEMPTS):
            sent_s = time.monotonic()
            try:
                answer = testbed.call(
                    inst,
                    "/views/x",
                    request_id=f"{name}-{number}",
                    deadline_ms=_DEADLINE_MS,
                )
            except OSError:
                return
            retry_s = float(answer.headers.get("Retry-After", "0"))
            attempt = Attempt(sent_s, time.monotonic() - sent_s, answer.status)
            with self._lock:
                self.attempts.append(attempt)
            if answer.status != 503:
                return
            timer.wait(min(retry_s, _DEADLINE_MS / 3000))


def run(seed: int) -> dict:
    """Returns the report.

    Args:
        seed: Determines which instance each caller sends its requests to.
    """
    with testbed.world() as world:
        standins = [world.service(f"d{number}") for number in range(_TARGETS)]
        for standin in standins:
            standin.processing_s = _WORK_S
            standin.capacity = threading.Semaphore(_CONCURRENCY)
        instances = [
            world.instance(f"i{number}") for number in range(_INSTANCES)
        ]
        world.wait_for_targets(*standins)
        load = _LoadGenerator(instances, seed)
        generator = threading.Thread(
            target=load.generate, args=(_BEFORE_S + _BACKOFF_S + _AFTER_S,)
        )
        generator.start()
        time.sleep(_BEFORE_S)
        start_s = time.monotonic()
        for standin in standins:
            standin.retry_after = f"{_BACKOFF_S}"
            standin.fault = registeredtarget.Fault.REFUSE
        time.sleep(_BACKOFF_S)
        end_s = time.monotonic()
        for standin in standins:
            standin.fault = registeredtarget.Fault.NONE
            standin.retry_after = ""
        generator.join()
        load.join()
        return _report(load.attempts, standins, start_s, end_s)


def _report(
    attempts: list[Attempt], standins, start_s: float, end_s: float
) -> dict:
    served = 0
    refused = []
    for attempt in attempts:
        if attempt.status == 200 and end_s <= attempt.sent_s < end_s + _AFTER_S:
            served += 1
        if attempt.status == 503 and start_s <= attempt.sent_s < end_s:
            refused.append(attempt.took_s)
    fast = sum(1 for took_s in refused if took_s < _FAST_REFUSAL_S)
    in_backoff = 0
    arrived_s = []
    for standin in standins:
        in_backoff += len(standin.arrivals_in_backoff(0.5))
        arrived_s += [arrival.time_s - end_s for arrival in standin.arrivals]
    at_targets = _count_arrivals(arrived_s)
    from_callers = _count_arrivals(
        [attempt.sent_s - end_s for attempt in attempts]
    )
    return {
        "machine": measure.machine(),
        "capacity_per_s": _CAPACITY_PER_S,
        "load": _LOAD_MULTIPLE,
        "served_per_s_after": round(served / _AFTER_S, 1),
        "refused_in_quiet": len(refused),
        "refused_within_50_ms": round(fast / max(1, len(refused)), 3),
        "refusal": msgspec.to_builtins(measure.quantiles(refused)),
        "arrivals_in_quiet": in_backoff,
        "callers_in_100_ms_most": from_callers.most,
        "callers_in_100_ms_mean": from_callers.mean,
        "arrivals_in_100_ms_most": at_targets.most,
        "arrivals_in_100_ms_mean": at_targets.mean,
    }


def _count_arrivals(times_s: list[float]) -> _ArrivalCounts:
    """Returns how many requests arrived after the end of the backoff.

    Args:
        times_s: Arrival times, relative to that end.
    """
    slices: collections.Counter[int] = collections.Counter()
    for time_s in times_s:
        if 0 <= time_s < _RETRY_WINDOW_S:
            slices[int(time_s / _SLICE_S)] += 1
    mean = sum(slices.values()) / (_RETRY_WINDOW_S / _SLICE_S)
    return _ArrivalCounts(max(slices.values(), default=0), round(mean, 1))
