"""Measures the time until all instances apply an accepted edit."""

import threading
import time

import msgspec

from briarfall import exceptions
from briarfall.adapters import log as logs
from briarfall.bench import measure
from briarfall.catalogue import entries
from briarfall.standins import engine
from briarfall.standins import platform

_INSTANCES = 16
_TARGET_S = 12.0
_TIMEOUT_S = 20.0
_SLOW_S = 0.5


class Row(msgspec.Struct):
    """Propagation times under one condition of the log."""

    condition: str
    edits: int
    p50: float
    p99: float
    longest: float
    missing: int


class UnavailableLog(logs.LogAdapter):
    """A log that fails every request as unavailable."""

    def append(self, stream, data):
        """Raises LogUnavailableError."""
        raise exceptions.LogUnavailableError("switched off by the benchmark")

    def read(self, stream, start, *, limit, wait_s):
        """Raises LogUnavailableError after a short wait."""
        time.sleep(0.05)
        raise exceptions.LogUnavailableError("switched off by the benchmark")

    def close(self):
        """Does nothing, as there is no connection to close."""


def run(count: int) -> dict:
    """Returns the report for a log that is up, slow or down.

    In the last condition the log is down for all instances but one.
    """
    rows = [
        _measure("log up", count),
        _measure("log slow by 0.5 s", count),
        _measure("log down for all but one", count),
    ]
    return {
        "command": "briarfall bench edits",
        "machine": measure.machine(),
        "instances": _INSTANCES,
        "target_s": _TARGET_S,
        "rows": msgspec.to_builtins(rows),
        "within_target": all(
            r.p99 <= _TARGET_S and not r.missing for r in rows
        ),
    }


def _measure(condition: str, count: int) -> Row:
    plat = platform.Platform([engine.EngineSpec("draft-a", "suva", 0, 24)])
    plat.start()
    plat.put_accounts()
    version = plat.put("draft", plat.model("draft", 24))
    from briarfall import settings

    membership_settings = settings.Membership()
    for _ in range(_INSTANCES):
        plat.add_instance(membership=membership_settings)
    plat.wait_ready()
    time.sleep(3.0)
    if "slow" in condition:
        plat.log.fault_injector.set(slow_s=_SLOW_S)
    if "down" in condition:
        for inst in plat.instances[1:]:
            inst.follower._log = UnavailableLog()
    times: list[float] = []
    missing = 0
    for number in range(count):
        limits = entries.ModelLimits(max_tokens=100 + number)
        model = plat.model("draft", 24, limits=limits)
        started = time.monotonic()
        version = plat.put("draft", model, if_version=version)
        delay_s = _wait_for_all(plat, version, started)
        if delay_s is None:
            missing += 1
            continue
        times.append(delay_s)
    plat.stop()
    distribution = measure.quantiles(times)
    return Row(
        condition,
        len(times),
        distribution.p50,
        distribution.p99,
        distribution.longest,
        missing,
    )


def _wait_for_all(plat, version: int, started: float) -> float | None:
    """Returns the seconds until the last instance has applied a version.

    Returns None if an instance does not apply it in time.
    """
    times: list[float] = []
    lock = threading.Lock()

    def wait(inst) -> None:
        if inst.follower.wait_offset(version, _TIMEOUT_S):
            with lock:
                times.append(time.monotonic() - started)

    threads = [
        threading.Thread(target=wait, args=(inst,), daemon=True)
        for inst in plat.instances
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if len(times) < len(plat.instances):
        return None
    return max(times)
