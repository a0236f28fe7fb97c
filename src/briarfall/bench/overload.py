"""Measures goodput by priority class at multiples of the capacity."""

import concurrent.futures
import functools
import random
import time

import msgspec

from briarfall import sessions
from briarfall.bench import measure
from briarfall.bench import workload
from briarfall.catalogue import entries
from briarfall.pipelines import graph
from briarfall.pipelines import maxflow
from briarfall.standins import platform
from briarfall.standins import single

_LAYERS = 24
_TOKENS = 16
# Slows the engines down so that the callers are not the bottleneck, even at ten
# times the capacity.
_SCALE = 30.0
_BATCH = 6
_INSTANCES = 3
_DEADLINE_S = 18.0
_MULTIPLES = (0.8, 1.0, 1.5, 3.0, 10.0)
_CAPACITY_SHARE = 0.85
_CLASSES = (("interactive", 0.3), ("standard", 0.4), ("batch", 0.3))
_THREADS = 400
_SEED = 5
_TARGET_GOODPUT = 0.9
_TARGET_MISSED = 0.01
_FLOOD_LIMIT_PER_S = 5.0


class Row(msgspec.Struct):
    """Result under one condition and load."""

    condition: str
    multiple: float
    admission: bool
    offered_per_s: float
    goodput_per_s: float
    share_of_bound: float
    interactive: float
    standard: float
    batch: float
    interactive_missed: float
    cpu_share: float


def run(seconds: float) -> dict:
    """Returns the report."""
    rows = [_measure("even", m, True, seconds) for m in _MULTIPLES]
    rows += [_measure("even", m, False, seconds) for m in (1.0, 3.0, 10.0)]
    rows.append(_measure("skewed balancer", 3.0, True, seconds))
    rows.append(_measure("a third of the engines dies", 1.5, True, seconds))
    flood = _measure("one client floods", 1.0, True, seconds)
    rows.append(flood)
    at_one = next(r for r in rows if r.multiple == 1.0)
    at_ten = next(r for r in rows if r.multiple == 10.0)
    ratio = at_ten.goodput_per_s / max(1e-9, at_one.goodput_per_s)
    return {
        "command": "briarfall bench overload",
        "machine": measure.machine(),
        "deadline_s": _DEADLINE_S,
        "rows": msgspec.to_builtins(rows),
        "goodput_at_10_over_1": round(ratio, 3),
        "target_goodput": _TARGET_GOODPUT,
        "target_missed": _TARGET_MISSED,
        "within_target": ratio >= _TARGET_GOODPUT
        and at_ten.interactive_missed <= _TARGET_MISSED,
    }


def _measure(
    condition: str, multiple: float, admission: bool, seconds: float
) -> Row:
    plat = _build()
    model = plat.model("draft", _LAYERS)
    bound = maxflow.FlowResult(graph.LayerGraph(_LAYERS, model.targets)).total
    capacity = bound * _CAPACITY_SHARE / _TOKENS
    if not admission:
        for inst in plat.instances:
            inst.estimator.check = lambda req: None
    rng = random.Random(_SEED)
    pool = concurrent.futures.ThreadPoolExecutor(_THREADS)
    calls = []
    offered = capacity * multiple
    started = time.monotonic()
    meter = measure.Meter()
    due_s = started
    has_killed_engines = False
    while time.monotonic() < started + seconds:
        due_s += rng.expovariate(offered)
        time.sleep(max(0.0, due_s - time.monotonic()))
        calls.append(
            pool.submit(_send_draft, plat, condition, rng.random(), rng)
        )
        if condition == "one client floods":
            for _ in range(5):
                calls.append(pool.submit(_send_flood, plat, rng))
        is_second_half = time.monotonic() > started + seconds / 2
        if "dies" in condition and is_second_half and not has_killed_engines:
            has_killed_engines = True
            for name in ("draft-a1", "draft-b1", "draft-c2"):
                plat.fleet.kill(name)
    wall, cpu = meter.stop()
    results = [f.result() for f in calls]
    pool.shutdown()
    plat.stop()
    row = _make_row(condition, multiple, admission, results, wall, bound)
    row.cpu_share = round(cpu, 2)
    print(msgspec.to_builtins(row), flush=True)
    return row


def _make_row(condition, multiple, admission, results, wall, bound) -> Row:
    drafts = [r for r in results if r.model == "draft"]
    in_time = [r for r in drafts if _is_in_time(r)]
    shares = []
    for name, _ in _CLASSES:
        of_class = [r for r in drafts if r.priority == name]
        answered = [r for r in of_class if _is_in_time(r)]
        shares.append(round(len(answered) / max(1, len(of_class)), 3))
    interactive = [r for r in drafts if r.priority == "interactive"]
    admitted = [r for r in interactive if r.outcome != "not_run"]
    missed = [r for r in admitted if not _is_in_time(r)]
    return Row(
        condition,
        multiple,
        admission,
        round(len(drafts) / wall, 1),
        round(len(in_time) / wall, 2),
        round(len(in_time) * _TOKENS / wall / bound, 3),
        *shares,
        round(len(missed) / max(1, len(admitted)), 4),
        0.0,
    )


def _is_in_time(result: workload.CallResult) -> bool:
    return result.code == "ok" and result.total_s <= _DEADLINE_S


def _build() -> platform.Platform:
    plat = platform.Platform(
        single.default_specs("draft", _BATCH), scale=_SCALE
    )
    plat.start()
    plat.put_accounts()
    plat.put("draft", plat.model("draft", _LAYERS))
    plat.put(
        "flooder",
        entries.Client(
            "platform",
            [entries.hash_key(platform.client_key("flooder"))],
            entries.ClientLimits(_FLOOD_LIMIT_PER_S, 1e6, 50),
        ),
    )
    for _ in range(_INSTANCES):
        plat.add_instance()
    plat.wait_ready()
    time.sleep(1.0)
    return plat


def _send_draft(plat, condition: str, draw: float, rng) -> workload.CallResult:
    priority = _CLASSES[-1][0]
    for name, share in _CLASSES:
        if draw < share:
            priority = name
            break
        draw -= share
    number = rng.randrange(_INSTANCES)
    if condition == "skewed balancer" and rng.random() < 0.8:
        number = 0
    return _complete_draft(plat, number, "statens", priority, rng)


def _send_flood(plat, rng) -> workload.CallResult:
    result = _complete_draft(
        plat, rng.randrange(_INSTANCES), "flooder", "standard", rng
    )
    result.model = "flood"
    return result


def _complete_draft(plat, number: int, client: str, priority: str, rng):
    session = _session(plat.instances[number].caller_url, client)
    return workload.complete_draft(
        session,
        "draft",
        workload.make_prompt(rng, 12),
        max_tokens=_TOKENS,
        priority=priority,
        deadline_ms=int(_DEADLINE_S * 1000),
    )


@functools.cache
def _session(url: str, client: str) -> sessions.Session:
    """Returns the session that all calls of a client to an instance share."""
    return sessions.Session(url, platform.client_key(client))
