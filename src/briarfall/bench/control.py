"""Measures control-plane cost per instance, by instances and engines."""

import threading
import time

import msgspec

from briarfall import httpserver
from briarfall.adapters import engine as engines
from briarfall.bench import measure
from briarfall.catalogue import entries
from briarfall.standins import engine
from briarfall.standins import platform

# As many engines as instances, so that each instance polls two engines per
# second.
_BY_INSTANCES = ((5, 5), (15, 15), (30, 30), (60, 60))
_BY_POLLS = ((30, 75), (30, 150))
_BY_ENGINES = ((5, 810),)
# As many polls per instance as in a fleet of 330 instances and 810 engines.
_AT_LARGE_POLL_RATE = ((40, 98),)
_POLLERS_PER_ENGINE = 2
_LARGE_FLEET = (330, 810)
_TARGET_BYTES_PER_S = 5000.0
_TARGET_CORE = 0.035
_TARGET_BYTES = 32e6
_WARM_UP_S = 6.0
_WARM_UP_PER_INSTANCE_S = 0.25
_EDIT_INTERVAL_S = 1.0


class Row(msgspec.Struct):
    """Control-plane cost per instance at one fleet size."""

    instances: int
    engines: int
    bytes_per_s: float
    core: float
    resident_mb: float
    threads: float


class FakeEngines:
    """A server that answers load requests for any number of engines."""

    def __init__(self):
        self.calls = 0
        routes = httpserver.Router()
        routes.add("GET", "/load", self._handle_load)
        self.server = httpserver.HttpServer(
            "127.0.0.1", 0, routes.handle, name="fakes"
        )

    def _handle_load(self, req):
        self.calls += 1
        running = self.calls % 16
        return httpserver.json_response(engines.LoadReport(running, 0))


def run(seconds: float) -> dict:
    """Returns the report, extrapolated to 330 instances and 810 engines."""
    by_instances = [_measure(i, e, seconds) for i, e in _BY_INSTANCES]
    by_polls = [_measure(i, e, seconds) for i, e in _BY_POLLS]
    by_engines = [_measure(i, e, seconds) for i, e in _BY_ENGINES]
    at_large_poll_rate = [
        _measure(i, e, seconds) for i, e in _AT_LARGE_POLL_RATE
    ]
    by_polls.insert(0, by_instances[2])
    by_engines.insert(0, by_instances[0])
    return {
        "command": "briarfall bench control",
        "machine": measure.machine(),
        "rows": msgspec.to_builtins(
            by_instances + by_polls[1:] + by_engines[1:] + at_large_poll_rate
        ),
        "at_330_instances_810_engines": {
            "bytes_per_s": _extrapolate(by_instances, by_polls, "bytes_per_s"),
            "core": _extrapolate(by_instances, by_polls, "core"),
            "resident_mb": _extrapolate_memory(by_instances, by_engines),
        },
        "targets": {
            "bytes_per_s": _TARGET_BYTES_PER_S,
            "core": _TARGET_CORE,
            "resident_mb": _TARGET_BYTES / 1e6,
        },
    }


def _polls_per_s(instances: int, count: int) -> float:
    """Returns the number of engines that each instance polls per second."""
    return count * _POLLERS_PER_ENGINE / instances


def _extrapolate(by_instances, by_polls, field: str) -> dict:
    """Extrapolates a cost by number of instances and polls per second."""
    base, per_instance = measure.slope(
        [(r.instances, getattr(r, field)) for r in by_instances]
    )
    _, per_poll = measure.slope(
        [
            (_polls_per_s(r.instances, r.engines), getattr(r, field))
            for r in by_polls
        ]
    )
    instances, count = _LARGE_FLEET
    more_polls = _polls_per_s(instances, count) - _POLLERS_PER_ENGINE
    return {
        "base": round(base, 5),
        "per_instance": round(per_instance, 6),
        "per_poll": round(per_poll, 6),
        "value": round(
            base + per_instance * instances + per_poll * more_polls, 4
        ),
    }


def _extrapolate_memory(by_instances, by_engines) -> dict:
    """Extrapolates resident memory by number of instances and engines."""
    base, per_instance = measure.slope(
        [(r.instances, r.resident_mb) for r in by_instances]
    )
    _, per_engine = measure.slope(
        [(r.engines, r.resident_mb) for r in by_engines]
    )
    instances, count = _LARGE_FLEET
    return {
        "base": round(base, 4),
        "per_instance": round(per_instance, 6),
        "per_engine": round(per_engine, 6),
        "value": round(base + per_instance * instances + per_engine * count, 3),
    }


def _measure(instances: int, count: int, seconds: float) -> Row:
    fakes = FakeEngines()
    fakes.server.start()
    plat = platform.Platform([engine.EngineSpec("unused", "suva", 0, 1)])
    plat.start()
    plat.put_accounts()
    targets = [
        entries.EngineTarget(f"e{i}", fakes.server.url, "suva", 0, 24)
        for i in range(count)
    ]
    plat.put("draft", entries.Model("platform", 24, targets))
    memory = measure.resident_bytes()
    threads = threading.active_count()
    from briarfall import settings

    membership_settings = settings.Membership(
        heartbeat_s=1.0, suspect_s=8.0, poll_s=5.0
    )
    for _ in range(instances):
        plat.add_instance(membership=membership_settings)
    plat.wait_ready(60.0)
    time.sleep(_WARM_UP_S + instances * _WARM_UP_PER_INSTANCE_S)
    control_threads = [t for t in threading.enumerate() if _is_control(t)]
    before = _traffic_bytes(plat)
    cpu_before = measure.thread_cpu_s(control_threads)
    started = time.monotonic()
    time.sleep(seconds)
    wall = time.monotonic() - started
    cpu = measure.thread_cpu_s(control_threads) - cpu_before
    transferred = _traffic_bytes(plat) - before
    memory_growth = measure.resident_bytes() - memory
    thread_growth = threading.active_count() - threads
    plat.stop()
    fakes.server.stop()
    row = Row(
        instances,
        count,
        round(transferred / wall / instances, 1),
        round(cpu / wall / instances, 5),
        round(memory_growth / instances / 1e6, 3),
        round(thread_growth / instances, 1),
    )
    print(msgspec.to_builtins(row), flush=True)
    return row


def _is_control(thread: threading.Thread) -> bool:
    names = ("_run", "sampl", "link", "peer", "shares", "catalogue", "config")
    if thread.name.startswith(names):
        return True
    module = getattr(getattr(thread, "_target", None), "__module__", "") or ""
    return module.startswith(("websockets", "briarfall.membership"))


def _traffic_bytes(plat) -> int:
    return sum(
        inst.counters.sent_bytes + inst.counters.received_bytes
        for inst in plat.instances
    )
