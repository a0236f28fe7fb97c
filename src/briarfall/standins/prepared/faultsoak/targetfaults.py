"""Faults of services and engines that break off, refuse or leave."""

import random
import time

from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared.faultsoak import faults
from briarfall.standins.prepared.faultsoak import scenes
from briarfall.standins.prepared.faultsoak import targetchecks

_RETRY_AFTER_S = "1.5"
# Longest time until a target that has ended is started again.
_RESTART_S = 2.0
_SERVICE_FAULTS = (
    registeredtarget.Fault.REFUSE,
    registeredtarget.Fault.FAIL,
    registeredtarget.Fault.RESET_AFTER_RUN,
    registeredtarget.Fault.CUT_BODY,
    registeredtarget.Fault.HANG,
    registeredtarget.Fault.GARBAGE,
    registeredtarget.Fault.EXTRA_ANSWER,
    registeredtarget.Fault.MISDIRECTED,
    registeredtarget.Fault.ENDLESS_GARBAGE,
    registeredtarget.Fault.ENDLESS_HEAD,
    registeredtarget.Fault.ENDLESS_INTERIM,
    registeredtarget.Fault.ENDLESS_FAILURE,
    registeredtarget.Fault.CRASH,
    registeredtarget.Fault.CRASH_AND_RESTART,
)


class ServiceFault(faults.FaultKind):
    """Makes a service answer wrongly, or not at all."""

    name = "service"

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Applies a fault to one service."""
        service = rng.choice(scene.plain_services)
        fault = rng.choice(_SERVICE_FAULTS)
        with scene.records.impairing(service.id):
            service.fault = fault
            time.sleep(fault_s)
            service.fault = registeredtarget.Fault.NONE
        return f"{service.id} {fault.value}"


class EngineFault(faults.FaultKind):
    """Makes an engine stall chains, break off streams or refuse requests."""

    name = "engine"

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Applies a fault to one engine."""
        engine = rng.choice(scene.engines)
        how = rng.choice(["dark", "break", "torn", "refuse"])
        with scene.records.impairing(engine.id):
            if how == "dark":
                engine.is_unresponsive = True
            elif how == "refuse":
                engine.fault = registeredtarget.Fault.REFUSE
            else:
                engine.resets_mid_event = how == "torn"
                last = scenes.EVENTS - 1
                engine.reset_after_event = rng.randint(1, last)
            time.sleep(fault_s)
            engine.is_unresponsive = False
            engine.fault = registeredtarget.Fault.NONE
            engine.reset_after_event = 0
        return f"{engine.id} {how}"


class Backoff(faults.FaultKind):
    """Makes a target refuse requests for a stated time."""

    name = "backoff"

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Applies the fault to one target."""
        target = rng.choice(scene.targets)
        target.retry_after = _RETRY_AFTER_S
        target.fault = registeredtarget.Fault.REFUSE
        time.sleep(fault_s)
        target.fault = registeredtarget.Fault.NONE
        target.retry_after = ""
        return target.id


class Crash(faults.FaultKind):
    """Makes a target crash; it is started again with its next heartbeat."""

    name = "crash"

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Crashes one target."""
        target = rng.choice(scene.targets)
        start_s = time.monotonic()
        target.close()
        scene.records.impair(target.id, start_s, start_s + _RESTART_S)
        return target.id


class Draining(faults.FaultKind):
    """Makes a target announce that it leaves, and end."""

    name = "draining"

    def apply(
        self, scene: scenes.Scene, rng: random.Random, fault_s: float
    ) -> str:
        """Ends one target."""
        target = rng.choice(scene.targets)
        target.signals_draining = True
        time.sleep(targetchecks.DRAINING_BOUND_S + fault_s)
        end_s = time.monotonic()
        target.close()
        scene.records.impair(target.id, end_s, end_s + _RESTART_S)
        target.signals_draining = False
        return target.id
