"""Runs one stand-in by itself for manual trials."""

import time

from briarfall import exceptions
from briarfall.standins import engine
from briarfall.standins import fleet
from briarfall.standins import instancelist
from briarfall.standins import log
from briarfall.standins import orders
from briarfall.standins import relaytestbed
from briarfall.standins import weightstore

_LAYERS = 24


def run(name: str, port: int, seconds: float) -> None:
    """Runs a stand-in for a number of seconds and prints its addresses.

    Raises:
        NotFoundError: No stand-in has this name.
    """
    standin, addresses = _make(name, port)
    standin.start()
    for address in addresses():
        print(address, flush=True)
    try:
        time.sleep(seconds)
    finally:
        standin.stop()


def _make(name: str, port: int):
    if name == "log":
        standin = log.LogStandin(port=port)
        return standin, lambda: [standin.server.url]
    if name == "instances":
        instance_list = instancelist.InstanceListStandin(port=port)
        return instance_list, lambda: [instance_list.url]
    if name == "weights":
        store = weightstore.WeightStoreStandin(port=port)
        return store, lambda: [store.url]
    if name == "orders":
        app = orders.OrderStandin("orders", orders.OrderLedger(), port)
        return app, lambda: [app.url]
    if name == "engines":
        engines = fleet.Fleet(default_specs("draft"))
        return engines, lambda: [
            f"{target.id} {target.url} [{target.start}, {target.end})"
            for target in engines.targets()
        ]
    if name == "relay-scene":
        scene = relaytestbed.RelayScene(port)
        return scene, lambda: [scene.log.server.url]
    raise exceptions.NotFoundError(
        f"no stand-in {name!r}",
        remedy="use one of: log, instances, weights, orders, engines, "
        "relay-scene",
    )


def default_specs(model: str, max_batch: int = 16) -> list[engine.EngineSpec]:
    """Returns eight engines of three kinds; none holds all layers."""
    rows = (
        ("a1", "suva", 0, 12, "a"),
        ("a2", "nausori", 0, 12, "a"),
        ("a3", "lautoka", 0, 10, "b"),
        ("b1", "suva", 12, 24, "b"),
        ("b2", "nausori", 12, 24, "a"),
        ("b3", "lautoka", 10, 24, "b"),
        ("c1", "nausori", 0, 8, "c"),
        ("c2", "lautoka", 8, 24, "a"),
    )
    bases_s = {"a": 0.004, "b": 0.006, "c": 0.008}
    return [
        engine.EngineSpec(
            f"{model}-{name}",
            zone,
            start,
            end,
            kind,
            base_s=bases_s[kind],
            max_batch=max_batch,
        )
        for name, zone, start, end, kind in rows
    ]
