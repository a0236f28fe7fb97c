"""Runs gateway processes under seeded faults and checks the promises."""

import pathlib
import random
import signal
import tempfile
import threading
import time

from briarfall.standins.prepared import engines
from briarfall.standins.prepared import manifests
from briarfall.standins.prepared import registered
from briarfall.standins.prepared import services
from briarfall.standins.prepared import store
from briarfall.standins.prepared.faultsoak import bounds
from briarfall.standins.prepared.faultsoak import callers
from briarfall.standins.prepared.faultsoak import checks
from briarfall.standins.prepared.faultsoak import processes
from briarfall.standins.prepared.faultsoak import proxy

_INSTANCES = 3
_CALLERS = 8
_EVENTS = 24
_KEY_TTL_S = 5.0
_READY_S = 20.0
_READY_S_PER_INSTANCE = 0.5
_RECOVER_S = 12.0
_MIN_GAP_S = 0.3
_MAX_GAP_S = 1.2
_MIN_FAULT_S = 0.5
_MAX_FAULT_S = 3.0
_BEAT_S = 1.0
_QUIET_S = "1.5"
# Name and path of the request that crashes services.
_POISON = "poison"


class Soak:
    """One run with one seed.

    Args:
        seed: Decides every fault and its time.
        seconds: Duration of the faults.
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
        self.disturbed: list[bounds.Disturbance] = []
        self.store = store.StoreStandin()
        self._fleet: dict = {}
        self.desks = []
        self.engines = []
        self._publish()
        for number in range(3):
            zone = f"z{number % 2}"
            desk = services.ServiceStandin(
                self.store, f"d{number}", "desk", zone
            )
            desk.crash_marker = _POISON
            self.desks.append(desk)
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
        """Writes a manifest with the current key and the stable one."""
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
        """Runs the soak and returns the promises that were broken."""
        for row in self.instances:
            row.start()
        rows = []
        try:
            self._threads.append(
                threading.Thread(target=self._beat_loop, daemon=True)
            )
            self._threads[0].start()
            ready_s = _READY_S + len(self.instances) * _READY_S_PER_INSTANCE
            if not self._wait_served(ready_s):
                return ["no request was served after the start"]
            for number in range(_CALLERS):
                caller = callers.Caller(
                    f"c{number}",
                    self.instances,
                    self._pick_key,
                    self._now,
                    number,
                )
                caller.start()
                rows.append(caller)
            poison = callers.Caller(
                _POISON,
                self.instances,
                lambda: "stable",
                self._now,
                _CALLERS,
                path=_POISON,
            )
            poison.start()
            rows.append(poison)
            self._play_faults()
            broken = []
            if not self._wait_served(_RECOVER_S):
                broken.append(f"no recovery within {_RECOVER_S} s")
            for caller in rows:
                caller.stop()
            for caller in rows:
                caller.join(30)
            told = [row for caller in rows for row in caller.told]
            return broken + self.check(told)
        finally:
            self._stopped.set()
            for row in self.instances:
                row.close()

    def _pick_key(self) -> str:
        with self._lock:
            return self._key_rng.choice(["stable", self._key()])

    def _beat_loop(self) -> None:
        """Renews the entries of living targets."""
        while not self._stopped.wait(_BEAT_S):
            for row in [*self.desks, *self.engines]:
                if row.released.is_set():
                    row.restart()
                else:
                    row.register()

    def _wait_served(self, limit_s: float) -> bool:
        """Whether each kind of request succeeds within a time."""
        until_s = self._now() + limit_s
        left = [
            (row, kind)
            for row in self.instances
            for kind in ("orders", "views", "drafts")
        ]
        number = 0
        while left and self._now() < until_s:
            row, kind = left[0]
            number += 1
            probe = callers.Caller("probe", [row], self._key, self._now, 1)
            told = callers.Told(
                f"p{self._now()}-{number}", kind, "stable", self._now()
            )
            try:
                probe._send(told)
            except (OSError, callers.http.client.HTTPException):
                pass
            probe._drop()
            if told.status == 200:
                left.pop(0)
                continue
            self._stopped.wait(0.1)
        return not left

    def _play_faults(self) -> None:
        """Starts faults in series; they overlap where one lasts longer."""
        until_s = self._now() + self._seconds
        kinds = [
            self._fault_link,
            self._fault_store,
            self._fault_restart,
            self._fault_kill,
            self._fault_pause,
            self._fault_desk,
            self._fault_engine,
            self._fault_quiet,
            self._fault_leaving,
            self._fault_reload,
            self._change_manifest,
            self._change_manifest,
        ]
        while self._now() < until_s:
            kind = self._rng.choice(kinds)
            fault_s = self._rng.uniform(_MIN_FAULT_S, _MAX_FAULT_S)
            thread = threading.Thread(
                target=self._guard, args=(kind, fault_s), daemon=True
            )
            thread.start()
            self._threads.append(thread)
            time.sleep(self._rng.uniform(_MIN_GAP_S, _MAX_GAP_S))
        for thread in self._threads[1:]:
            thread.join(30)

    def _guard(self, kind, fault_s: float) -> None:
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

    def _take_instance(self) -> processes.GatewayProcess | None:
        with self._lock:
            free = [
                row
                for row in self.instances
                if row.is_running and not row.is_paused
            ]
            return self._rng.choice(free) if len(free) > 1 else None

    def _fault_restart(self, fault_s: float) -> None:
        row = self._take_instance()
        if row is None:
            return
        start_s = self._now()
        row.signal(signal.SIGTERM)
        row.wait()
        row.start()
        self._note_disturbed(row, start_s)

    def _fault_kill(self, fault_s: float) -> None:
        row = self._take_instance()
        if row is None:
            return
        start_s = self._now()
        row.signal(signal.SIGKILL)
        row.wait()
        time.sleep(fault_s / 4)
        row.start()
        self._note_disturbed(row, start_s)

    def _fault_pause(self, fault_s: float) -> None:
        row = self._take_instance()
        if row is None:
            return
        start_s = self._now()
        row.signal(signal.SIGSTOP)
        time.sleep(fault_s * 2)
        row.signal(signal.SIGCONT)
        self._note_disturbed(row, start_s)

    def _fault_reload(self, fault_s: float) -> None:
        row = self._take_instance()
        if row is not None:
            row.signal(signal.SIGHUP)

    def _fault_desk(self, fault_s: float) -> None:
        desk = self._rng.choice(self.desks)
        faults = [row for row in registered.Fault if row.value != "none"]
        desk.fault = self._rng.choice(faults)
        time.sleep(fault_s)
        desk.fault = registered.Fault.NONE

    def _fault_engine(self, fault_s: float) -> None:
        engine = self._rng.choice(self.engines)
        how = self._rng.choice(["dark", "break", "torn", "refuse"])
        if how == "dark":
            engine.is_dark = True
        elif how == "refuse":
            engine.fault = registered.Fault.REFUSE
        else:
            engine.is_torn = how == "torn"
            engine.breaks_after = self._rng.randint(1, _EVENTS - 1)
        time.sleep(fault_s)
        engine.is_dark = False
        engine.fault = registered.Fault.NONE
        engine.breaks_after = 0

    def _fault_quiet(self, fault_s: float) -> None:
        target = self._rng.choice([*self.desks, *self.engines])
        target.retry_after = _QUIET_S
        target.fault = registered.Fault.REFUSE
        time.sleep(fault_s)
        target.fault = registered.Fault.NONE
        target.retry_after = ""

    def _fault_leaving(self, fault_s: float) -> None:
        target = self._rng.choice([*self.desks, *self.engines])
        target.says_leaving = True
        time.sleep(bounds.LEAVING_BOUND_S + fault_s)
        target.close()
        target.says_leaving = False

    def _note_disturbed(
        self, row: processes.GatewayProcess, start_s: float
    ) -> None:
        self.disturbed.append(
            bounds.Disturbance(row.name, start_s, self._now())
        )

    def _change_manifest(self, fault_s: float) -> None:
        with self._lock:
            old = self._key()
            self._key_number += 1
            self._publish()
            self._revoked.append((old, self._now()))

    def check(self, told: list[callers.Told]) -> list[str]:
        """Returns the promises that were broken."""
        return checks.check(
            checks.Evidence(
                told,
                self.desks,
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
    """Runs one seed; prints and returns the promises that were broken.

    Args:
        seed: Decides the faults.
        seconds: Duration of the faults.
        keep: Folder that keeps settings and logs, or empty.
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
