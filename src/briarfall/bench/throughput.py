"""Measures tokens per second as a share of the bound, for every policy."""

import collections
import random
import time

import msgspec

from briarfall import sessions
from briarfall.bench import benchplatform
from briarfall.bench import measure
from briarfall.bench import workload
from briarfall.pipelines import policies
from briarfall.standins import platform

_SCALE = 20.0
_TOKENS = 12
_WORKERS = {"alpha": 280, "beta": 160}
_WARM_UP_S = 14.0
_STREAMED_SHARE = 0.1
_DEADLINE_MS = 600_000
_SEED = 11


class Cell(msgspec.Struct):
    """Result for one policy and number of routers."""

    policy: str
    routers: int
    share: float
    tokens_per_s: float
    first_p50: float
    first_p95: float
    gap_p50: float
    gap_p95: float
    cpu_share: float
    failed: str


def run(seconds: float, routers: list[int], names: list[str]) -> dict:
    """Returns the report of all policies and numbers of routers."""
    cells = []
    for count in routers:
        for policy in names or policies.POLICIES:
            cell = _measure(policy, count, seconds)
            print(msgspec.to_builtins(cell), flush=True)
            cells.append(cell)
    return {
        "command": "briarfall bench throughput",
        "machine": measure.machine(),
        "scale": _SCALE,
        "callers": sum(_WORKERS.values()),
        "cells": msgspec.to_builtins(cells),
        "limited_by_machine": [
            f"{c.policy}/{c.routers}" for c in cells if c.cpu_share > 0.95
        ],
    }


def _measure(policy: str, routers: int, seconds: float) -> Cell:
    plat = benchplatform.build(routers, _SCALE, policy)
    bound = sum(
        benchplatform.bound(plat, name) for name in benchplatform.MODELS
    )
    urls = [inst.caller_url for inst in plat.instances]

    def send_draft(number: int, rng: random.Random):
        name = "alpha" if number < _WORKERS["alpha"] else "beta"
        words = rng.choice((16, 16, 16, 256))
        prompt = workload.make_prompt(rng, words)
        url = urls[number % len(urls)]
        options = {
            "max_tokens": _TOKENS,
            "seed": rng.randrange(1 << 30),
            "deadline_ms": _DEADLINE_MS,
        }
        key = platform.client_key(platform.CLIENTS[number % 2])
        with sessions.Session(url, key, 600.0) as session:
            if rng.random() < _STREAMED_SHARE:
                return workload.stream_draft(session, name, prompt, **options)
            return workload.complete_draft(session, name, prompt, **options)

    workers = workload.Workers(send_draft, sum(_WORKERS.values()), _SEED)
    workers.start()
    time.sleep(_WARM_UP_S)
    meter = measure.Meter()
    before = plat.fleet.ledger.token_count
    done_before = len(workers.results)
    time.sleep(seconds)
    tokens = plat.fleet.ledger.token_count - before
    wall, cpu = meter.stop()
    results = workers.results[done_before:]
    plat.fleet.timeline.scale = _SCALE / 40
    workers.stop(20.0)
    plat.stop()
    streamed = [r for r in results if r.gaps_s]
    first = measure.quantiles([r.first_s for r in streamed if r.first_s])
    gaps = measure.quantiles([gap for r in streamed for gap in r.gaps_s])
    return Cell(
        policy,
        routers,
        round(tokens / wall / bound, 3),
        round(tokens / wall, 1),
        first.p50,
        first.p95,
        gaps.p50,
        gaps.p95,
        round(cpu, 2),
        _count_failures(results),
    )


def _count_failures(results) -> str:
    """Returns the number of failed drafts by error code, as text."""
    codes = collections.Counter(r.code for r in results if r.code != "ok")
    return ", ".join(f"{code} {count}" for code, count in codes.items())
