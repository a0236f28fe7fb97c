"""Changes of the catalogue: routes that move, timeouts that change."""

import random
import time

from briarfall.standins.prepared.faultsoak import faults
from briarfall.standins.prepared.faultsoak import scenes

_MIN_TIMEOUT_MS = 1800
_MAX_TIMEOUT_MS = 4000


class RouteMove(faults.FaultKind):
    """Moves a route to another service and back."""

    name = "route_move"

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Moves one route of plain services."""
        name = rng.choice(["orders", "views"])
        scene.catalogue.move(name, "other")
        time.sleep(fault_s)
        scene.catalogue.move(name, "desk")
        return name


class TimeoutChange(faults.FaultKind):
    """Changes the timeout of a route."""

    name = "timeout"

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Changes one timeout."""
        name = rng.choice(sorted(scene.catalogue.routes))
        timeout_ms = rng.randint(_MIN_TIMEOUT_MS, _MAX_TIMEOUT_MS)
        scene.catalogue.set_timeout(name, timeout_ms)
        return f"{name} {timeout_ms} ms"
