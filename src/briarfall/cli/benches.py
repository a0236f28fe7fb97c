"""Commands `briarfall demo`, `briarfall standin` and `briarfall bench`."""

import json as jsonlib
import pathlib

import msgspec

from briarfall.cli import console


def demo(*, keep: bool = False) -> int:
    """Runs all components in one process and checks every guarantee.

    Args:
        keep: Keep the components running and print curl commands for them.
    """
    from briarfall.bench import demo as demos
    from briarfall.bench import gatewaydemo

    code = demos.run(keep=keep)
    return gatewaydemo.run() or code


def standin(name: str, *, port: int = 0, seconds: float = 3600.0) -> None:
    """Runs one stand-in service for manual trials.

    Args:
        name: `log`, `instances`, `weights`, `orders`, `engines` or
            `relay-scene`.
        port: TCP port, 0 for any free port.
        seconds: Time after which the stand-in stops.
    """
    from briarfall.standins import single

    single.run(name, port, seconds)


def _write_report(name: str, report, out: str) -> None:
    text = jsonlib.dumps(report, indent=2)
    if out:
        pathlib.Path(out).write_text(text + "\n")
    for key, value in report.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            print(f"\n{name}: {key}")
            console.show_table(value)
            continue
        print(f"{key}: {value}")


def throughput(
    *,
    seconds: float = 16.0,
    routers: list[int] | None = None,
    policy: list[str] | None = None,
    out: str = "",
) -> None:
    """Measures tokens per second as a share of the bound, for each policy.

    Args:
        seconds: Duration of each measurement.
        routers: Numbers of instances to measure.
        policy: Policies to measure; all of them by default.
        out: File to write the report to, as JSON.
    """
    from briarfall.bench import throughput as bench

    _write_report(
        "throughput",
        bench.run(seconds, routers or [1, 4, 16], policy or []),
        out,
    )


def recovery(*, rounds: int = 6, out: str = "") -> None:
    """Measures fault detection, replanning and resumption by kind of fault.

    Args:
        rounds: Number of faults of each kind.
        out: File to write the report to, as JSON.
    """
    from briarfall.bench import recovery as bench

    _write_report("recovery", bench.run(rounds), out)


def fault_soak(
    *,
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 10.0,
    instances: int = 3,
    sets: list[str] | None = None,
    keep: str = "",
    old: str = "",
) -> int:
    """Runs gateway processes under faults and checks the guarantees.

    Args:
        seed: First seed; it determines every fault and its time.
        seeds: Number of consecutive seeds to run.
        seconds: Duration of the faults for each seed.
        instances: Number of gateway processes to run.
        sets: Sets of faults: usual (the default), silence, cuts, exchanges,
            catalogue, entries, gone, limits, restores, pairs. The pairs are
            disruptions beside changes; eight seeds from a multiple of eight
            on, with eight seconds each, play all of them.
        keep: Folder to keep settings and logs in; not kept if empty.
        old: Checkout of an earlier release that runs at first; instances are
            upgraded one after the other. Empty starts with this release.
    """
    from briarfall.standins.prepared.faultsoak import faultsets
    from briarfall.standins.prepared.faultsoak import soak as bench

    chosen = tuple(faultsets.FaultSet(name) for name in sets or ["usual"])
    failed_seeds = 0
    for number in range(seed, seed + seeds):
        folder = f"{keep}/{number}" if keep else ""
        failed_seeds += bool(
            bench.run(number, seconds, folder, instances, chosen, old)
        )
    return int(failed_seeds > 0)


def permits(*, seed: int = 1) -> int:
    """Models the requests that a target with a rate limit gets.

    Prints, for numbers of instances, limits and troubles, the fullest 4 s as a
    share of what is allowed, and the used share of the limit.

    Args:
        seed: Determines which instance sends when.
    """
    from briarfall.bench import permitmodel

    broken = 0
    for count in (15, 100, 330):
        for per_s in (1.6, 4.0, 40.0):
            for trouble in permitmodel.Trouble:
                row = permitmodel.play(count, per_s, trouble, seed)
                broken += row.fullest > row.allowed
                print(
                    f"instances={count} limit={per_s:g} "
                    f"fullest={row.fullest / row.allowed:.2f} "
                    f"used={row.used:.2f} trouble={trouble.value}"
                )
    return int(broken > 0)


def store_restore(*, instances: list[int] | None = None) -> None:
    """Counts calls to the prepared store after a restore from a copy.

    Args:
        instances: Numbers of instances to measure.
    """
    from briarfall.bench import storerestore

    for count in instances or [30, 100, 300]:
        for row in storerestore.run(count):
            print(row.text)


def once_soak(
    *,
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 10.0,
    keep: str = "",
    wide: bool = False,
    sound: bool = False,
    old: str = "",
    old_use: str = "first",
) -> int:
    """Looks for orders that run twice while targets break connections.

    Args:
        seed: First seed; it determines the faults and their times.
        seeds: Number of consecutive seeds to run.
        seconds: Duration of the faults for each seed.
        keep: Folder to keep settings and logs in; not kept if empty.
        wide: Whether to run four instances with cut links, relays, silent
            targets and changes of the configuration.
        sound: Whether the targets of a wide run keep to the protocol.
        old: Checkout of an earlier release for a wide run; empty for none.
        old_use: Instances that run it: first (all, until each is upgraded),
            half or all.
    """
    from briarfall.standins.prepared.faultsoak import oncesoak
    from briarfall.standins.prepared.faultsoak import oncewide

    options = oncewide.WideOptions(sound, old, oncewide.OldUse(old_use))
    failed_seeds = 0
    for number in range(seed, seed + seeds):
        folder = f"{keep}/{number}" if keep else ""
        if wide:
            broken = oncewide.run(number, seconds, folder, options)
        else:
            broken = oncesoak.run(number, seconds, folder)
        failed_seeds += bool(broken)
    return int(failed_seeds > 0)


def relay(url: str, pid: int, *, seconds: float = 8.0, out: str = "") -> None:
    """Measures the CPU time of the relay per token, and its latency.

    Args:
        url: Caller URL of an instance in front of `standin relay-scene`.
        pid: Process id of that instance.
        seconds: Duration of each measurement.
        out: File to write the report to, as JSON.
    """
    from briarfall.bench import relay as bench

    _write_report("relay", bench.run(seconds, url, pid), out)


def control(*, seconds: float = 10.0, out: str = "") -> None:
    """Measures control-plane cost per instance, by instances and engines.

    Args:
        seconds: Duration of each measurement.
        out: File to write the report to, as JSON.
    """
    from briarfall.bench import control as bench

    _write_report("control", bench.run(seconds), out)


def orders(*, seconds: float = 6.0, out: str = "") -> None:
    """Measures order throughput, added latency and appends to the log.

    Args:
        seconds: Duration of each measurement.
        out: File to write the report to, as JSON.
    """
    from briarfall.bench import orders as bench

    _write_report("orders", bench.run(seconds), out)


def edits(*, count: int = 40, out: str = "") -> None:
    """Measures the time until all instances apply an accepted edit.

    Args:
        count: Number of edits in each condition.
        out: File to write the report to, as JSON.
    """
    from briarfall.bench import edits as bench

    _write_report("edits", bench.run(count), out)


def overload(*, seconds: float = 24.0, out: str = "") -> None:
    """Measures goodput by priority class at multiples of the capacity.

    Args:
        seconds: Duration of each measurement.
        out: File to write the report to, as JSON.
    """
    from briarfall.bench import overload as bench

    _write_report("overload", bench.run(seconds), out)


def quiet(*, seed: int = 1, out: str = "") -> None:
    """Measures responses while all targets of a service request backoff.

    Args:
        seed: Determines which instance each caller sends its requests to.
        out: File to write the report to, as JSON.
    """
    from briarfall.bench import quiet as bench

    _write_report("quiet", bench.run(seed), out)


def floods(
    *, seconds: float = 7.0, place: list[str] | None = None, out: str = ""
) -> None:
    """Measures what callers get while targets send answers without end.

    Args:
        seconds: Duration of each flood.
        place: Places of an answer to flood, such as `flood_comments`; all of
            them by default.
        out: File to write the report to, as JSON.
    """
    from briarfall.bench import floods as bench

    _write_report("floods", bench.run(seconds, place or []), out)


def soak(*, seed: int = 1, seconds: float = 30.0) -> int:
    """Runs a workload under seeded random faults and checks guarantees.

    Args:
        seed: Seed of the faults and the workload.
        seconds: Duration of the faults.
    """
    from briarfall.bench import soak as bench

    return bench.run(seed, seconds)


def placement(
    *, engines: int = 86, zones: int = 3, seed: int = 1, out: str = ""
) -> None:
    """Compares layer placement strategies by the maximum flow they carry.

    Args:
        engines: Number of engines.
        zones: Number of availability zones.
        seed: Seed of the fleet.
        out: File to write the report to, as JSON.
    """
    from briarfall.bench import placements

    rows = [
        msgspec.to_builtins(row) for row in placements.run(engines, zones, seed)
    ]
    _write_report("placement", {"placements": rows}, out)


def path_choice(
    *,
    engines: int = 33,
    instances: int = 20,
    zones: int = 3,
    per_s: float = 60.0,
    seconds: float = 20.0,
    seed: int = 1,
    out: str = "",
) -> None:
    """Compares strategies for choosing chains, on a simulated fleet.

    Args:
        engines: Number of engines.
        instances: Number of gateway instances.
        zones: Number of availability zones.
        per_s: Streams per second, over all instances.
        seconds: Simulated duration.
        seed: Seed of the fleet and the load.
        out: File to write the report to, as JSON.
    """
    from briarfall.bench import pathchoices

    rows = pathchoices.run(engines, instances, zones, per_s, seconds, seed)
    rows = [msgspec.to_builtins(row) for row in rows]
    _write_report("path choice", {"choices": rows}, out)


def full_link(
    *,
    instances: int = 20,
    seconds: float = 60.0,
    seed: int = 1,
    out: str = "",
) -> None:
    """Simulates a saturated inter-zone link, with and without admission.

    Args:
        instances: Number of gateway instances.
        seconds: Simulated duration.
        seed: Seed of the load.
        out: File to write the report to, as JSON.
    """
    from briarfall.bench import fulllink

    loads = [0.5, 0.8, 1.0, 1.5, 3.0, 10.0]
    rows = fulllink.run(instances, loads, seconds, seed)
    rows = [msgspec.to_builtins(row) for row in rows]
    _write_report("full link", {"rows": rows}, out)


def admission(*, seconds: float = 3.0, out: str = "") -> None:
    """Measures the decisions about room, in microseconds.

    Args:
        seconds: Duration for each number of waiting requests.
        out: File to write the report to, as JSON.
    """
    from briarfall.bench import admission

    rows = [msgspec.to_builtins(row) for row in admission.run(seconds)]
    _write_report("admission", {"rows": rows}, out)


def room(*, seconds: float = 20.0, seed: int = 1, out: str = "") -> None:
    """Plays streams that ask for twice the room of engines, by urgency.

    Args:
        seconds: Duration of each of the two plays.
        seed: Seed of the load.
        out: File to write the report to, as JSON.
    """
    from briarfall.bench import room

    rows = [msgspec.to_builtins(row) for row in room.run(seconds, seed)]
    _write_report("room", {"rows": rows}, out)


BENCHES = {
    "room": room,
    "admission": admission,
    "full-link": full_link,
    "placement": placement,
    "path-choice": path_choice,
    "throughput": throughput,
    "recovery": recovery,
    "relay": relay,
    "control": control,
    "orders": orders,
    "edits": edits,
    "overload": overload,
    "quiet": quiet,
    "floods": floods,
    "soak": soak,
    "fault-soak": fault_soak,
    "once-soak": once_soak,
    "permits": permits,
    "store-restore": store_restore,
}
