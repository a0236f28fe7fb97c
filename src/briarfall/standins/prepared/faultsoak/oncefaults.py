"""Faults beside which orders must run at most once."""

import collections.abc
from concurrent import futures
import random
import time

from briarfall.standins.prepared import links
from briarfall.standins.prepared.faultsoak import faults
from briarfall.standins.prepared.faultsoak import instancefaults
from briarfall.standins.prepared.faultsoak import linkcuts
from briarfall.standins.prepared.faultsoak import processes
from briarfall.standins.prepared.faultsoak import scenes
from briarfall.standins.prepared.faultsoak import storefaults
from briarfall.standins.prepared.faultsoak import targetsilence

# Route whose kind changes; that of the other one stays.
FLIPPED_ROUTE = "views"
_ROUTES = ("orders", FLIPPED_ROUTE)
_SERVICES = ("desk", "other")
_IDLE_MS = (100, 300, 1000, 15_000)
_TIMEOUTS_MS = (300, 800, 2000, 15_000)
_CUTS = (links.Cut.HANG, links.Cut.RESET, links.Cut.REFUSE_NEW)
# Time for which requests of a route may be repeated.
_FLIP_S = 0.4


def _change_limits(scene: scenes.Scene, rng: random.Random) -> str:
    attempts = rng.randint(1, 3)
    idle_ms = rng.choice(_IDLE_MS)
    scene.catalogue.set_limits(attempts, idle_ms)
    return f"attempts {attempts} idle {idle_ms} ms"


def _change_timeout(scene: scenes.Scene, rng: random.Random) -> str:
    route = rng.choice(_ROUTES)
    timeout_ms = rng.choice(_TIMEOUTS_MS)
    scene.catalogue.set_timeout(route, timeout_ms)
    return f"{route} {timeout_ms} ms"


def _move_route(scene: scenes.Scene, rng: random.Random) -> str:
    route = rng.choice(_ROUTES)
    service = rng.choice(_SERVICES)
    scene.catalogue.move(route, service)
    return f"{route} to {service}"


def _flip_kind(scene: scenes.Scene, rng: random.Random) -> str:
    scene.catalogue.set_kind(FLIPPED_ROUTE, "idempotent")
    time.sleep(_FLIP_S * rng.random())
    scene.catalogue.set_kind(FLIPPED_ROUTE, "mutating")
    return f"{FLIPPED_ROUTE} idempotent and back"


_CHANGES: tuple[
    collections.abc.Callable[[scenes.Scene, random.Random], str], ...
] = (_change_limits, _change_timeout, _move_route, _flip_kind)


class Change(faults.FaultKind):
    """Writes a version of the configuration."""

    name = "change"

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Applies one change."""
        return rng.choice(_CHANGES)(scene, rng)


class SilenceBesideChange(faults.FaultKind):
    """Silences all or most targets while the configuration changes."""

    name = "silence_change"

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Silences targets shortly before or after one to three changes."""
        count = rng.choice([len(scene.targets), len(scene.targets) // 2 + 1])
        targets = rng.sample(scene.targets, count)
        silence_s = rng.uniform(0.5, 1.5)
        changes = []
        if rng.random() < 0.5:
            changes.append(rng.choice(_CHANGES)(scene, rng))
            time.sleep(rng.uniform(0.0, 0.6))
        splits = rng.random() < 0.3
        for target in targets:
            target.silence.shut(splits_sends=splits)
        end_s = time.monotonic() + silence_s
        for _ in range(rng.randint(1, 2)):
            time.sleep(rng.uniform(0.0, silence_s / 2))
            changes.append(rng.choice(_CHANGES)(scene, rng))
        time.sleep(max(0.0, end_s - time.monotonic()))
        for target in targets:
            target.silence.open()
        return f"{count} targets {silence_s:.1f} s, {'; '.join(changes)}"


class ShortCut(linkcuts.LinkCut):
    """Cuts instances off from all targets for a short time."""

    name = "short_cut"
    durations_s = ((0.4, 1.5), (1.0, 3.0))


class MidRelay(faults.FaultKind):
    """Cuts instances off, then disturbs the peers that serve for them."""

    name = "mid_relay"

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Disturbs one or all of the other instances amid the cut."""
        rows = rng.sample(scene.instances, len(scene.instances))
        count = rng.randint(1, len(rows) - 1)
        names = frozenset(row.name for row in rows[:count])
        with scene.lock:
            if scene.cut_names:
                return "none"
            scene.cut_names.update(names)
        cut = rng.choice(_CUTS)
        with scene.records.cut(names, cut):
            scene.set_cut(names, cut)
            time.sleep(rng.uniform(0.4, 1.2))
            others = rows[count:]
            if rng.random() < 0.5:
                others = others[:1]
            how = rng.choice(["pause", "kill", "stop", "cut", "cut"])
            _disturb(scene, others, how, rng)
            time.sleep(rng.uniform(0.0, 0.8))
            scene.set_cut(names, links.Cut.NONE)
        with scene.lock:
            scene.cut_names.difference_update(names)
        whom = ",".join(row.name for row in others)
        return f"{','.join(names)} {cut.value}, {how} {whom}"


def _disturb(
    scene: scenes.Scene,
    rows: list[processes.GatewayProcess],
    how: str,
    rng: random.Random,
) -> None:
    """Disturbs several instances at the same time."""
    # The longest is long enough for peers to miss an instance that is paused.
    time_s = rng.uniform(*rng.choice([(0.3, 1.5), (2.5, 4.0)]))
    if how == "cut":
        names = frozenset(row.name for row in rows)
        cut = rng.choice(_CUTS)
        with scene.records.cut(names, cut):
            scene.set_cut(names, cut)
            time.sleep(time_s)
            scene.set_cut(names, links.Cut.NONE)
        return
    functions = {
        "pause": lambda row: instancefaults.pause(scene, row, time_s),
        "kill": lambda row: instancefaults.kill(scene, row, 0.0),
        "stop": lambda row: instancefaults.stop(scene, row),
    }
    with futures.ThreadPoolExecutor() as pool:
        list(pool.map(functions[how], rows))


# How often each is drawn is how often it is listed.
KINDS: list[faults.FaultKind] = [
    ShortCut(),
    ShortCut(),
    MidRelay(),
    MidRelay(),
    SilenceBesideChange(),
    SilenceBesideChange(),
    Change(),
    Change(),
    targetsilence.Silence(),
    targetsilence.SilenceWithoutConnections(),
    instancefaults.Pause(),
    instancefaults.Kill(),
    instancefaults.Restart(),
    instancefaults.Reload(),
    instancefaults.Slow(),
    storefaults.StoreLink(),
    storefaults.Store(),
]
