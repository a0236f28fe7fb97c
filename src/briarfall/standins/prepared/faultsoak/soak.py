"""Runs gateway processes with seeded faults and checks the guarantees."""

import pathlib
import random
import signal
import tempfile
import threading
import time

from briarfall.standins.prepared import engines
from briarfall.standins.prepared import manifests
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import services
from briarfall.standins.prepared import store
from briarfall.standins.prepared.faultsoak import callers
from briarfall.standins.prepared.faultsoak import checks
from briarfall.standins.prepared.faultsoak import processes
from briarfall.standins.prepared.faultsoak import proxy
from briarfall.standins.prepared.faultsoak import targetchecks

_INSTANCES = 3
_CALLERS = 8
_EVENTS = 24
_KEY_TTL_S = 5.0
_READY_S = 20.0
_READY_S_PER_INSTANCE = 0.5
_RECOVER_S = 12.0
_MIN_PAUSE_S = 0.3
_MAX_PAUSE_S = 1.2
_MIN_FAULT_S = 0.5
_MAX_FAULT_S = 3.0
_HEARTBEAT_S = 1.0
_RETRY_AFTER_S = "1.5"
# Beginning of the ids, and path, of the request that crashes services.
_POISON = "poison"


class Soak:
    """One soak run with one seed.

    Args:
        seed: Determines the faults and their times.
        seconds: Duration of the faults, in seconds.
        folder: Folder for settings and logs.
        instances: Gateway processes to run.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        folder: pathlib.Path,
        instances: int = _INSTANCES,
    ):
        self._rng = random.Random(seed)
        self._key_rng = random.Random(seed)
        self._seconds = seconds
        self._version = 0
        self._key_number = 0
        self._revoked: list[tuple[str, float]] = []
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        self.faults: list[str] = []
        self.disturbed: list[targetchecks.Disturbance] = []
        self.store = store.StoreStandin()
        self._fleet: dict = {}
        self.plain_services = []
        self.engines = []
        self._publish()
        for number in range(3):
            zone = f"z{number % 2}"
            service = services.ServiceStandin(
                self.store, f"d{number}", "desk", zone
            )
            service.crash_marker = _POISON
            self.plain_services.append(service)
        for number in range(8):
            engine = engines.EngineStandin(
                self.store, f"e{number}", self._fleet, zone=f"z{number % 2}"
            )
            engine.events = _EVENTS
            self.engines.append(engine)
        self._links = []
        self.instances = []
        for number in range(instances):
            link = proxy.Proxy(self.store.address)
            self._links.append(link)
            self.instances.append(
                processes.GatewayProcess(
                    f"i{number}", f"z{number % 2}", link.address, folder
                )
            )

    def _now(self) -> float:
        return time.monotonic()

    def _key(self) -> str:
        return f"key-{self._key_number}"

    def _publish(self) -> None:
        """Writes a manifest that accepts the current and the stable key."""
        self._version += self._rng.randint(1, 3)
        rows = []
        for name, kind, service in (
            ("orders", "mutating", "desk"),
            ("views", "idempotent", "desk"),
            ("drafts", "streaming", "pool"),
        ):
            rows.append(
                {
                    "name": name,
                    "host": callers.HOST,
                    "path_prefix": f"/{name}/",
                    "kind": kind,
                    "timeout_ms": 10000 if name == "drafts" else 2000,
                    "slo_ms": 500,
                    "service": service,
                    "attempts": 2,
                    "resumable": name == "drafts",
                    "gap_aim_ms": 200,
                }
            )
        manifest = {
            "version": self._version,
            "routes": rows,
            "services": manifests.SERVICES,
            "tenants": [{"name": "crew", "api_keys": ["stable", self._key()]}],
        }
        self.store.put("keyed.op", "config", manifest)

    def run(self) -> list[str]:
        """Runs the soak and returns a line for each violated guarantee."""
        for row in self.instances:
            row.start()
        all_callers = []
        try:
            self._threads.append(
                threading.Thread(target=self._heartbeat_loop, daemon=True)
            )
            self._threads[0].start()
            ready_s = _READY_S + len(self.instances) * _READY_S_PER_INSTANCE
            if not self._wait_served(ready_s):
                return ["not ready: a kind of request was not served in time"]
            for number in range(_CALLERS):
                caller = callers.Caller(
                    f"c{number}",
                    self.instances,
                    self._pick_key,
                    self._now,
                    number,
                )
                caller.start()
                all_callers.append(caller)
            poison = callers.Caller(
                _POISON,
                self.instances,
                lambda: "stable",
                self._now,
                _CALLERS,
                path=_POISON,
            )
            poison.start()
            all_callers.append(poison)
            self._run_faults()
            broken = []
            if not self._wait_served(_RECOVER_S):
                broken.append(f"no recovery within {_RECOVER_S} s")
            for caller in all_callers:
                caller.stop()
            for caller in all_callers:
                caller.join(30)
            outcomes = [
                row for caller in all_callers for row in caller.outcomes
            ]
            return broken + self.check(outcomes)
        finally:
            self._stopped.set()
            for row in self.instances:
                row.close()

    def _pick_key(self) -> str:
        with self._lock:
            return self._key_rng.choice(["stable", self._key()])

    def _heartbeat_loop(self) -> None:
        """Renews the entries of running targets; restarts crashed ones."""
        while not self._stopped.wait(_HEARTBEAT_S):
            for row in [*self.plain_services, *self.engines]:
                if row.closing.is_set():
                    row.restart()
                else:
                    row.register()

    def _wait_served(self, limit_s: float) -> bool:
        """Whether each kind of request succeeds at each instance in time."""
        deadline_s = self._now() + limit_s
        remaining = [
            (row, kind)
            for row in self.instances
            for kind in ("orders", "views", "drafts")
        ]
        number = 0
        while remaining and self._now() < deadline_s:
            row, kind = remaining[0]
            number += 1
            probe = callers.Caller("probe", [row], self._key, self._now, 1)
            outcome = callers.RequestOutcome(
                f"p{self._now()}-{number}", kind, "stable", self._now()
            )
            try:
                probe._send(outcome)
            except (OSError, callers.http.client.HTTPException):
                pass
            probe._close_connection()
            if outcome.status == 200:
                remaining.pop(0)
                continue
            self._stopped.wait(0.1)
        return not remaining

    def _run_faults(self) -> None:
        """Starts one fault after the other; longer ones overlap."""
        deadline_s = self._now() + self._seconds
        kinds = [
            self._fault_link,
            self._fault_store,
            self._fault_restart,
            self._fault_kill,
            self._fault_pause,
            self._fault_service,
            self._fault_engine,
            self._fault_backoff,
            self._fault_draining,
            self._fault_reload,
            self._change_manifest,
            self._change_manifest,
        ]
        while self._now() < deadline_s:
            kind = self._rng.choice(kinds)
            fault_s = self._rng.uniform(_MIN_FAULT_S, _MAX_FAULT_S)
            thread = threading.Thread(
                target=self._run_fault, args=(kind, fault_s), daemon=True
            )
            thread.start()
            self._threads.append(thread)
            time.sleep(self._rng.uniform(_MIN_PAUSE_S, _MAX_PAUSE_S))
        for thread in self._threads[1:]:
            thread.join(30)

    def _run_fault(self, kind, fault_s: float) -> None:
        self.faults.append(f"{kind.__name__} {fault_s:.1f} s")
        kind(fault_s)

    def _fault_link(self, fault_s: float) -> None:
        link = self._rng.choice(self._links)
        faults = [row for row in proxy.LinkFault if row.value != "none"]
        link.set_fault(self._rng.choice(faults))
        time.sleep(fault_s)
        link.set_fault(proxy.LinkFault.NONE)

    def _fault_store(self, fault_s: float) -> None:
        how = self._rng.choice(["busy", "reset", "lost", "forget"])
        if how == "forget":
            self.store.forget("keyed.op")
            return
        if how == "lost":
            self.store.loses_appends = True
        else:
            self.store.status = 503 if how == "busy" else -1
        time.sleep(fault_s)
        self.store.status = 0
        self.store.loses_appends = False

    def _pick_instance(self) -> processes.GatewayProcess | None:
        with self._lock:
            free = [
                row
                for row in self.instances
                if row.is_running and not row.is_paused
            ]
            return self._rng.choice(free) if len(free) > 1 else None

    def _fault_restart(self, fault_s: float) -> None:
        row = self._pick_instance()
        if row is None:
            return
        start_s = self._now()
        row.signal(signal.SIGTERM)
        row.wait()
        row.start()
        self._record_disturbed(row, start_s)

    def _fault_kill(self, fault_s: float) -> None:
        row = self._pick_instance()
        if row is None:
            return
        start_s = self._now()
        row.signal(signal.SIGKILL)
        row.wait()
        time.sleep(fault_s / 4)
        row.start()
        self._record_disturbed(row, start_s)

    def _fault_pause(self, fault_s: float) -> None:
        row = self._pick_instance()
        if row is None:
            return
        start_s = self._now()
        row.signal(signal.SIGSTOP)
        time.sleep(fault_s * 2)
        row.signal(signal.SIGCONT)
        self._record_disturbed(row, start_s)

    def _fault_reload(self, fault_s: float) -> None:
        row = self._pick_instance()
        if row is not None:
            row.signal(signal.SIGHUP)

    def _fault_service(self, fault_s: float) -> None:
        service = self._rng.choice(self.plain_services)
        faults = [row for row in registeredtarget.Fault if row.value != "none"]
        service.fault = self._rng.choice(faults)
        time.sleep(fault_s)
        service.fault = registeredtarget.Fault.NONE

    def _fault_engine(self, fault_s: float) -> None:
        engine = self._rng.choice(self.engines)
        how = self._rng.choice(["dark", "break", "torn", "refuse"])
        if how == "dark":
            engine.is_unresponsive = True
        elif how == "refuse":
            engine.fault = registeredtarget.Fault.REFUSE
        else:
            engine.resets_mid_event = how == "torn"
            engine.reset_after_event = self._rng.randint(1, _EVENTS - 1)
        time.sleep(fault_s)
        engine.is_unresponsive = False
        engine.fault = registeredtarget.Fault.NONE
        engine.reset_after_event = 0

    def _fault_backoff(self, fault_s: float) -> None:
        target = self._rng.choice([*self.plain_services, *self.engines])
        target.retry_after = _RETRY_AFTER_S
        target.fault = registeredtarget.Fault.REFUSE
        time.sleep(fault_s)
        target.fault = registeredtarget.Fault.NONE
        target.retry_after = ""

    def _fault_draining(self, fault_s: float) -> None:
        target = self._rng.choice([*self.plain_services, *self.engines])
        target.signals_draining = True
        time.sleep(targetchecks.DRAINING_BOUND_S + fault_s)
        target.close()
        target.signals_draining = False

    def _record_disturbed(
        self, row: processes.GatewayProcess, start_s: float
    ) -> None:
        self.disturbed.append(
            targetchecks.Disturbance(row.name, start_s, self._now())
        )

    def _change_manifest(self, fault_s: float) -> None:
        with self._lock:
            old = self._key()
            self._key_number += 1
            self._publish()
            self._revoked.append((old, self._now()))

    def check(self, outcomes: list[callers.RequestOutcome]) -> list[str]:
        """Returns a line for each violated guarantee."""
        return checks.check(
            checks.Observations(
                outcomes,
                self.plain_services,
                self.engines,
                self._revoked,
                self.disturbed,
                _KEY_TTL_S,
                _EVENTS,
                _POISON,
            )
        )


def run(
    seed: int, seconds: float, keep: str = "", instances: int = _INSTANCES
) -> list[str]:
    """Runs one seed; prints and returns the violated guarantees.

    Args:
        seed: Determines the faults and their times.
        seconds: Duration of the faults, in seconds.
        keep: Folder for settings and logs; if empty, they are deleted.
        instances: Gateway processes to run.
    """
    with tempfile.TemporaryDirectory() as scratch:
        folder = pathlib.Path(keep or scratch)
        folder.mkdir(parents=True, exist_ok=True)
        soak = Soak(seed, seconds, folder, instances)
        broken = soak.run()
        print(f"seed {seed}: {len(soak.faults)} faults, {len(broken)} broken")
        for line in broken[:20]:
            print(f"  {line}")
        return broken
