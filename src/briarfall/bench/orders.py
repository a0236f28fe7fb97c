"""Measures order throughput, added latency and appends to the log."""

import random
import time

import msgspec

from briarfall import exceptions
from briarfall import httpclient
from briarfall import sessions
from briarfall.bench import measure
from briarfall.bench import workload
from briarfall.orders import keys
from briarfall.standins import engine
from briarfall.standins import platform

_CALLERS = (1, 8, 32)
_INSTANCES = (1, 4, 16)
_TARGET_APPENDS_PER_S = 300.0


class Row(msgspec.Struct):
    """Result for one number of instances and callers."""

    instances: int
    callers: int
    orders_per_s: float
    p50: float
    p99: float
    direct_p50: float
    appends_per_s: float
    twice: int
    failed: int
    cpu_share: float


def run(seconds: float) -> dict:
    """Returns the report."""
    rows = [_measure(i, c, seconds) for i in _INSTANCES for c in _CALLERS]
    return {
        "command": "briarfall bench orders",
        "machine": measure.machine(),
        "target_appends_per_s": _TARGET_APPENDS_PER_S,
        "rows": msgspec.to_builtins(rows),
        "within_target": all(
            r.appends_per_s <= _TARGET_APPENDS_PER_S for r in rows
        ),
    }


def _measure(instances: int, callers: int, seconds: float) -> Row:
    plat = platform.Platform([engine.EngineSpec("unused", "suva", 0, 1)])
    plat.start()
    plat.put_accounts()
    plat.put("booking", plat.service())
    for _ in range(instances):
        plat.add_instance()
    plat.wait_ready()
    time.sleep(1.0)
    urls = [inst.caller_url for inst in plat.instances]

    def place_order(number: int, rng: random.Random):
        key = platform.client_key("tuvatu")
        with sessions.Session(urls[number % len(urls)], key) as session:
            started = time.monotonic()
            try:
                session.call("booking", "/orders", b"{}", key=keys.new_key())
            except exceptions.BriarfallError as exc:
                return exc.code
            return time.monotonic() - started

    direct_s = _measure_direct(plat)
    workers = workload.Workers(place_order, callers)
    workers.start()
    time.sleep(1.0)
    workers.results.clear()
    appends = plat.log.appends
    meter = measure.Meter()
    time.sleep(seconds)
    wall, cpu = meter.stop()
    appends = plat.log.appends - appends
    results = list(workers.results)
    workers.stop()
    repeated = sum(1 for n in plat.order_ledger.runs.values() if n > 1)
    plat.stop()
    times = [r for r in results if isinstance(r, float)]
    latencies = measure.quantiles(times)
    row = Row(
        instances,
        callers,
        round(len(times) / wall, 1),
        latencies.p50,
        latencies.p99,
        direct_s,
        round(appends / wall, 1),
        repeated,
        len(results) - len(times),
        round(cpu, 2),
    )
    print(msgspec.to_builtins(row), flush=True)
    return row


def _measure_direct(plat) -> float:
    """Returns the median time of an order sent to the target directly."""
    client = httpclient.HttpClient(plat.orders[0].url, keep_alive=False)
    times = []
    for _ in range(50):
        started = time.monotonic()
        client.send(
            "POST",
            "/orders",
            headers={"Idempotency-Key": keys.new_key()},
            timeout_s=5.0,
        )
        times.append(time.monotonic() - started)
    return measure.quantiles(times).p50
