"""Measures the time from the loss of a target to the next token."""

import random
import time

import msgspec

from briarfall import exceptions
from briarfall import sessions
from briarfall.bench import measure
from briarfall.bench import workload
from briarfall.standins import engine
from briarfall.standins import fleet
from briarfall.standins import platform

_LAYERS = 36
_STREAMS = 24
_TOKENS = 60
_SCALE = 2.0
_SETTLE_S = 1.2
_SEED = 3
_TARGET_S = 1.7


class Row(msgspec.Struct):
    """Recovery times after one kind of fault, in seconds."""

    fault: str
    streams: int
    detect_p50: float
    plan_p50: float
    resume_p50: float
    resume_p95: float
    resume_p99: float
    lost: int
    within_target: bool


class BaselineRow(msgspec.Struct):
    """Recovery times when callers restart the stream, in seconds."""

    fault: str
    streams: int
    resume_p50: float
    resume_p99: float


def run(rounds: int) -> dict:
    """Returns the report for every kind of fault."""
    rows = [_measure(fault, rounds) for fault in _FAULTS]
    baseline = [_measure_baseline(rounds)]
    return {
        "command": "briarfall bench recovery",
        "machine": measure.machine(),
        "target_s": _TARGET_S,
        "rows": msgspec.to_builtins(rows),
        "baseline": msgspec.to_builtins(baseline),
        "false_detections": _measure_false_detections(rounds),
    }


def _specs() -> list[engine.EngineSpec]:
    result = []
    for stage, start in enumerate(range(0, _LAYERS, 12)):
        for number in range(5):
            zone = ("suva", "nausori", "lautoka")[number % 3]
            result.append(
                engine.EngineSpec(
                    f"draft-{stage}{number}", zone, start, start + 12
                )
            )
    return result


def _build() -> platform.Platform:
    plat = platform.Platform(_specs(), scale=_SCALE)
    plat.start()
    plat.put_accounts()
    plat.put("draft", plat.model("draft", _LAYERS))
    for _ in range(2):
        plat.add_instance()
    if not plat.wait_ready():
        raise RuntimeError("instances were not ready in time")
    return plat


def _kill(plat, route, index: int) -> list[str]:
    plat.fleet.kill(route[index].target)
    return [route[index].target]


def _stall(plat, route, index: int) -> list[str]:
    plat.fleet.stall(route[index].target)
    return [route[index].target]


def _kill_two(plat, route) -> list[str]:
    return _kill(plat, route, 0) + _kill(plat, route, 1)


def _cut_link(plat, route) -> list[str]:
    zones = [plat.fleet.engines[hop.target].spec.zone for hop in route]
    plat.fleet.links.cut(zones[0], zones[1])
    return []


def _degrade_link(plat, route) -> list[str]:
    zones = [plat.fleet.engines[hop.target].spec.zone for hop in route]
    plat.fleet.links.degrade(zones[0], zones[1], 10.0)
    return []


def _kill_with_replacement(plat, route) -> list[str]:
    victims = _kill(plat, route, 2)
    plat.fleet.add_step_hook(
        fleet.Step.LAST_TOKEN,
        lambda call: victims.extend(_kill(plat, call.route, 2)),
    )
    return victims


_FAULTS = {
    "head reset": lambda plat, route: _kill(plat, route, 0),
    "middle reset": lambda plat, route: _kill(plat, route, 1),
    "last reset": lambda plat, route: _kill(plat, route, 2),
    "two stages reset": _kill_two,
    "replacement reset too": _kill_with_replacement,
    "head stalls": lambda plat, route: _stall(plat, route, 0),
    "last stalls": lambda plat, route: _stall(plat, route, 2),
    "link cut": _cut_link,
    "link slows tenfold": _degrade_link,
}


def _make_draft_step(plat):
    urls = [inst.caller_url for inst in plat.instances]

    def step(number: int, rng: random.Random):
        key = platform.client_key(platform.CLIENTS[number % 2])
        with sessions.Session(urls[number % len(urls)], key) as session:
            return workload.stream_draft(
                session,
                "draft",
                workload.make_prompt(rng, 24),
                max_tokens=_TOKENS,
                seed=rng.randrange(1 << 30),
            )

    return step


def _find_running_route(plat):
    """Returns the route of a stream whose token interval has been measured."""
    for inst in plat.instances:
        for stream in inst.watchdog.streams():
            if stream.gap_s and stream.route:
                return stream.route
    return None


def _measure(fault: str, rounds: int) -> Row:
    plat = _build()
    workers = workload.Workers(_make_draft_step(plat), _STREAMS, _SEED)
    workers.start()
    time.sleep(_SETTLE_S)
    for _ in range(rounds):
        route = _find_running_route(plat)
        if route is None:
            continue
        victims = _FAULTS[fault](plat, route)
        time.sleep(2 * _SETTLE_S)
        for victim in victims:
            plat.fleet.revive(victim)
        for src in ("suva", "nausori", "lautoka"):
            for dst in ("suva", "nausori", "lautoka"):
                plat.fleet.links.cut(src, dst, False)
                plat.fleet.links.degrade(src, dst, 1.0)
        time.sleep(_SETTLE_S)
    results = workers.stop()
    recovered = [r for i in plat.instances for r in i.relay.recoveries]
    plat.stop()
    resume = measure.quantiles([r.resume_s for r in recovered])
    return Row(
        fault,
        len(recovered),
        measure.quantiles([r.detect_s for r in recovered]).p50,
        measure.quantiles([r.plan_s for r in recovered]).p50,
        resume.p50,
        resume.p95,
        resume.p99,
        sum(1 for r in results if r.code != "ok"),
        resume.p99 <= _TARGET_S,
    )


def _measure_baseline(rounds: int) -> BaselineRow:
    """Measures callers that restart a stream when its target fails."""
    plat = _build()
    model = plat.model("draft", _LAYERS)
    limits = msgspec.structs.replace(model.limits, max_attempts=1)
    version = plat.instances[0].queries.entry("draft").version
    model = msgspec.structs.replace(model, limits=limits)
    plat.put("draft", model, if_version=version)
    plat.wait_ready()
    times: list[float] = []
    urls = [inst.caller_url for inst in plat.instances]

    def step(number: int, rng: random.Random):
        prompt, seed = workload.make_prompt(rng, 24), rng.randrange(1 << 30)
        key = platform.client_key("tuvatu")
        with sessions.Session(urls[number % 2], key) as session:
            received, lost_s = 0, None
            for _ in range(10):
                count, last_s = 0, time.monotonic()
                try:
                    for event in session.stream(
                        "draft", prompt, max_tokens=_TOKENS, seed=seed
                    ):
                        count += len(event.text.split())
                        last_s = time.monotonic()
                        if lost_s is not None and count > received:
                            times.append(last_s - lost_s)
                            lost_s = None
                    return
                except exceptions.BriarfallError:
                    received = max(received, count)
                    lost_s = lost_s or last_s

    workers = workload.Workers(step, _STREAMS, _SEED)
    sessions._MAX_RECONNECTS, max_reconnects = 0, sessions._MAX_RECONNECTS
    workers.start()
    time.sleep(_SETTLE_S)
    for _ in range(rounds):
        route = _find_running_route(plat)
        if route is None:
            continue
        victims = _kill(plat, route, 1)
        time.sleep(2 * _SETTLE_S)
        for victim in victims:
            plat.fleet.revive(victim)
        time.sleep(_SETTLE_S)
    workers.stop()
    sessions._MAX_RECONNECTS = max_reconnects
    plat.stop()
    distribution = measure.quantiles(times)
    return BaselineRow(
        "middle reset", distribution.count, distribution.p50, distribution.p99
    )


def _measure_false_detections(rounds: int) -> dict:
    """Counts attempts that ended although no fault was injected."""
    plat = _build()
    workers = workload.Workers(_make_draft_step(plat), 3 * _STREAMS, _SEED)
    workers.start()
    time.sleep(4.0 * rounds)
    results = workers.stop()
    ended = sum(sum(i.relay.attempt_ends.values()) for i in plat.instances)
    plat.stop()
    streams = max(1, len(results))
    return {
        "streams": streams,
        "ended_without_fault": ended,
        "per_1000_streams": round(1000 * ended / streams, 2),
    }
