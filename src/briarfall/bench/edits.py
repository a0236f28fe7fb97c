"""Time from an accepted edit until it is in force everywhere."""

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
_WAIT_S = 20.0
_SLOW_S = 0.5


class Row(msgspec.Struct):
    """One condition of the log."""

    condition: str
    edits: int
    p50: float
    p99: float
    longest: float
    missing: int


class SilentLog(logs.LogAdapter):
    """A log that answers nothing."""

    def append(self, stream, data):
        """Refuses; see the base class."""
        raise exceptions.LogUnavailableError("silent")

    def read(self, stream, start, *, limit, wait_s):
        """Refuses; see the base class."""
        time.sleep(0.05)
        raise exceptions.LogUnavailableError("silent")

    def close(self):
        """Does nothing."""


def run(count: int) -> dict:
    """Returns the report for the log up, slow, and down for all but one."""
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
    part = platform.Platform([engine.EngineSpec("draft-a", "suva", 0, 24)])
    part.start()
    part.put_accounts()
    version = part.put("draft", part.model("draft", 24))
    from briarfall import settings

    timing = settings.Membership()
    for _ in range(_INSTANCES):
        part.add_instance(membership=timing)
    part.wait_ready()
    time.sleep(3.0)
    if "slow" in condition:
        part.log.gate.set(slow_s=_SLOW_S)
    if "down" in condition:
        for inst in part.instances[1:]:
            inst.follower._log = SilentLog()
    times: list[float] = []
    missing = 0
    for number in range(count):
        limits = entries.ModelLimits(max_tokens=100 + number)
        model = part.model("draft", 24, limits=limits)
        started = time.monotonic()
        version = part.put("draft", model, if_version=version)
        last = _wait_all(part, version, started)
        if last is None:
            missing += 1
            continue
        times.append(last)
    part.stop()
    found = measure.quantiles(times)
    return Row(
        condition, len(times), found.p50, found.p99, found.longest, missing
    )


def _wait_all(part, version: int, started: float) -> float | None:
    """Returns the seconds until the last instance has the version."""
    times: list[float] = []
    lock = threading.Lock()

    def wait(inst) -> None:
        if inst.follower.wait_offset(version, _WAIT_S):
            with lock:
                times.append(time.monotonic() - started)

    threads = [
        threading.Thread(target=wait, args=(inst,), daemon=True)
        for inst in part.instances
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if len(times) < len(part.instances):
        return None
    return max(times)
