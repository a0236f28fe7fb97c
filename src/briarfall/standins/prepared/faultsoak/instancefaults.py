"""Faults of gateway processes: restarts, kills, pauses, reloads."""

import random
import signal
import time

from briarfall.standins.prepared.faultsoak import faults
from briarfall.standins.prepared.faultsoak import scenes


class Restart(faults.FaultKind):
    """Stops an instance as planned and starts it again."""

    name = "restart"

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Restarts one instance."""
        row = scene.pick_instance()
        if row is None:
            return "none"
        start_s = time.monotonic()
        row.signal(signal.SIGTERM)
        row.wait()
        row.start()
        scene.records.disturb(row.name, start_s, is_planned=True)
        return row.name


class Kill(faults.FaultKind):
    """Kills an instance and starts it again."""

    name = "kill"

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Kills one instance."""
        row = scene.pick_instance()
        if row is None:
            return "none"
        start_s = time.monotonic()
        row.signal(signal.SIGKILL)
        row.wait()
        time.sleep(fault_s / 4)
        row.start()
        scene.records.disturb(row.name, start_s)
        return row.name


class Pause(faults.FaultKind):
    """Stops an instance from running for a while."""

    name = "pause"

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Pauses one instance."""
        row = scene.pick_instance()
        if row is None:
            return "none"
        start_s = time.monotonic()
        row.signal(signal.SIGSTOP)
        time.sleep(fault_s * 2)
        row.signal(signal.SIGCONT)
        scene.records.disturb(row.name, start_s)
        return row.name


class Reload(faults.FaultKind):
    """Makes an instance read its settings again."""

    name = "reload"

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Signals one instance."""
        row = scene.pick_instance()
        if row is None:
            return "none"
        row.signal(signal.SIGHUP)
        return row.name
