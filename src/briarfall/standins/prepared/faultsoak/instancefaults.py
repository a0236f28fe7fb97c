"""Faults of gateway processes: restarts, kills, pauses, reloads."""

import random
import signal
import threading
import time

from briarfall.standins.prepared.faultsoak import faults
from briarfall.standins.prepared.faultsoak import processes
from briarfall.standins.prepared.faultsoak import rotation
from briarfall.standins.prepared.faultsoak import scenes

# Times for which a slowed process stands and runs in turn.
_SLOW_STOP_S = 0.06
_SLOW_RUN_S = 0.04
# Longest time until a roll goes on although an instance is not ready.
_READY_S = 10.0
_READY_PAUSE_S = 0.1


def stop(scene: scenes.Scene, row: processes.GatewayProcess) -> None:
    """Stops an instance as planned and starts it again."""
    start_s = time.monotonic()
    row.signal(signal.SIGTERM)
    row.wait()
    row.start()
    scene.records.disturb(row.name, start_s, is_planned=True)


def kill(
    scene: scenes.Scene, row: processes.GatewayProcess, gone_s: float
) -> None:
    """Kills an instance and starts it again after a time."""
    start_s = time.monotonic()
    row.signal(signal.SIGKILL)
    row.wait()
    time.sleep(gone_s)
    row.start()
    scene.records.disturb(row.name, start_s)


def pause(
    scene: scenes.Scene, row: processes.GatewayProcess, pause_s: float
) -> None:
    """Stops an instance from running for a time."""
    start_s = time.monotonic()
    row.signal(signal.SIGSTOP)
    time.sleep(pause_s)
    row.signal(signal.SIGCONT)
    scene.records.disturb(row.name, start_s)


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
        stop(scene, row)
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
        kill(scene, row, fault_s / 4)
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
        pause(scene, row, fault_s * 2)
        return row.name


class Slow(faults.FaultKind):
    """Lets an instance run for less than half of the time."""

    name = "slow"

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Slows one instance down."""
        row = scene.pick_instance()
        if row is None:
            return "none"
        start_s = time.monotonic()
        while time.monotonic() < start_s + fault_s:
            row.signal(signal.SIGSTOP)
            time.sleep(_SLOW_STOP_S)
            row.signal(signal.SIGCONT)
            time.sleep(_SLOW_RUN_S)
        scene.records.disturb(row.name, start_s)
        return row.name


class Roll(faults.FaultKind):
    """Restarts all instances as planned, one after the other.

    Only one roll is played at a time; a further one waits for its end.
    """

    name = "roll"

    def __init__(self):
        self._lock = threading.Lock()

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Restarts each instance once the one before is ready again."""
        names = []
        with self._lock:
            for row in scene.instances:
                stop(scene, row)
                _wait_ready(row)
                names.append(row.name)
        return ",".join(names)


def _wait_ready(row: processes.GatewayProcess) -> None:
    deadline_s = time.monotonic() + _READY_S
    while time.monotonic() < deadline_s:
        if rotation.is_ready(row):
            return
        time.sleep(_READY_PAUSE_S)


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
