"""What callers get while and after all targets of a service want quiet."""

import collections
import random
import threading
import time

import msgspec

from briarfall.bench import measure
from briarfall.standins.prepared import registered
from briarfall.standins.prepared import scenes

_TARGETS = 3
_INSTANCES = 3
_PLACES = 2
_WORK_S = 0.2
_CAPACITY_PER_S = _TARGETS * _PLACES / _WORK_S
_LOAD = 3.0
_QUIET_S = 2.0
_BEFORE_S = 2.0
_AFTER_S = 10.0
_DEADLINE_MS = 8000
_PROMPT_S = 0.05
_SLICE_S = 0.1
# Time in which a wave of callers that waited would come back.
_RETURN_S = 3.0
_MAX_TRIES = 3


class Try(msgspec.Struct, frozen=True):
    """One request of a caller and its answer."""

    sent_s: float
    took_s: float
    status: int


class _Wave(msgspec.Struct, frozen=True):
    """The largest number of requests in a slice of time, and the mean."""

    most: int
    mean: float


class _Load:
    """Callers that arrive at a steady rate and come back as they are told."""

    def __init__(self, instances, seed: int):
        self._instances = instances
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self._threads: list[threading.Thread] = []
        self.tries: list[Try] = []

    def play(self, seconds: float) -> None:
        """Starts callers for a time."""
        pause = threading.Event()
        started_s = time.monotonic()
        number = 0
        while time.monotonic() - started_s < seconds:
            due_s = started_s + number / (_CAPACITY_PER_S * _LOAD)
            pause.wait(max(0.0, due_s - time.monotonic()))
            inst = self._rng.choice(self._instances)
            thread = threading.Thread(
                target=self._call, args=(inst, f"q{number}"), daemon=True
            )
            thread.start()
            self._threads.append(thread)
            number += 1

    def join(self) -> None:
        """Waits for all callers."""
        for thread in self._threads:
            thread.join()

    def _call(self, inst, name: str) -> None:
        pause = threading.Event()
        for number in range(_MAX_TRIES):
            sent_s = time.monotonic()
            try:
                answer = scenes.call(
                    inst,
                    "/views/x",
                    request_id=f"{name}-{number}",
                    deadline_ms=_DEADLINE_MS,
                )
            except OSError:
                return
            retry_s = float(answer.headers.get("Retry-After", "0"))
            row = Try(sent_s, time.monotonic() - sent_s, answer.status)
            with self._lock:
                self.tries.append(row)
            if answer.status != 503:
                return
            pause.wait(min(retry_s, _DEADLINE_MS / 3000))


def run(seed: int) -> dict:
    """Returns the report.

    Args:
        seed: Decides which instance each caller asks.
    """
    with scenes.world() as world:
        desks = [world.service(f"d{number}") for number in range(_TARGETS)]
        for desk in desks:
            desk.work_s = _WORK_S
            desk.places = threading.Semaphore(_PLACES)
        rows = [world.instance(f"i{number}") for number in range(_INSTANCES)]
        world.wait_for_targets(*desks)
        load = _Load(rows, seed)
        player = threading.Thread(
            target=load.play, args=(_BEFORE_S + _QUIET_S + _AFTER_S,)
        )
        player.start()
        time.sleep(_BEFORE_S)
        start_s = time.monotonic()
        for desk in desks:
            desk.retry_after = f"{_QUIET_S}"
            desk.fault = registered.Fault.REFUSE
        time.sleep(_QUIET_S)
        end_s = time.monotonic()
        for desk in desks:
            desk.fault = registered.Fault.NONE
            desk.retry_after = ""
        player.join()
        load.join()
        return _report(load.tries, desks, start_s, end_s)


def _report(tries: list[Try], desks, start_s: float, end_s: float) -> dict:
    served = 0
    refused = []
    for row in tries:
        if row.status == 200 and end_s <= row.sent_s < end_s + _AFTER_S:
            served += 1
        if row.status == 503 and start_s <= row.sent_s < end_s:
            refused.append(row.took_s)
    prompt = sum(1 for took_s in refused if took_s < _PROMPT_S)
    in_quiet = 0
    arrived_s = []
    for desk in desks:
        in_quiet += len(desk.arrivals_in_quiet(0.5))
        arrived_s += [row.time_s - end_s for row in desk.arrivals]
    at_targets = _wave(arrived_s)
    of_callers = _wave([row.sent_s - end_s for row in tries])
    return {
        "machine": measure.machine(),
        "capacity_per_s": _CAPACITY_PER_S,
        "load": _LOAD,
        "served_per_s_after": round(served / _AFTER_S, 1),
        "refused_in_quiet": len(refused),
        "refused_within_50_ms": round(prompt / max(1, len(refused)), 3),
        "refusal": msgspec.to_builtins(measure.quantiles(refused)),
        "arrivals_in_quiet": in_quiet,
        "callers_in_100_ms_most": of_callers.most,
        "callers_in_100_ms_mean": of_callers.mean,
        "arrivals_in_100_ms_most": at_targets.most,
        "arrivals_in_100_ms_mean": at_targets.mean,
    }


def _wave(times_s: list[float]) -> _Wave:
    """Returns how requests came after the end of the quiet.

    Args:
        times_s: When they came, counted from that end.
    """
    slices: collections.Counter[int] = collections.Counter()
    for time_s in times_s:
        if 0 <= time_s < _RETURN_S:
            slices[int(time_s / _SLICE_S)] += 1
    mean = sum(slices.values()) / (_RETURN_S / _SLICE_S)
    return _Wave(max(slices.values(), default=0), round(mean, 1))
