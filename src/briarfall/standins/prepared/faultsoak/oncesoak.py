"""Looks for requests that may run once and run twice, on real processes.

Gateway processes are stopped, continued, restarted and killed while services
break their connections before, during and after the run of a request.
"""

import collections
import contextlib
import pathlib
import random
import signal
import tempfile
import threading
import time

from briarfall.standins.prepared import manifests
from briarfall.standins.prepared import store
from briarfall.standins.prepared import testbed
from briarfall.standins.prepared.faultsoak import callers
from briarfall.standins.prepared.faultsoak import hostileservice
from briarfall.standins.prepared.faultsoak import oncecallers
from briarfall.standins.prepared.faultsoak import oncechecks
from briarfall.standins.prepared.faultsoak import processes
from briarfall.standins.prepared.faultsoak import proxy

_INSTANCES = 2
_SERVICES = 3
_CALLERS = 10
_HEARTBEAT_S = 1.0
_MAX_PAUSE_S = 0.4
_MAX_FAULT_S = 0.5
# Covers the longest delay of a service and of a link.
_SETTLE_S = 2.0


class OnceSoak:
    """One run with one seed.

    Args:
        seed: Determines the faults and their times.
        seconds: Duration of the faults, in seconds.
        folder: Folder for settings and logs.

    Attributes:
        fault_count: Number of faults injected.
        outcomes: What the callers saw.
    """

    def __init__(self, seed: int, seconds: float, folder: pathlib.Path):
        self._rng = random.Random(seed)
        self._seed = seed
        self._seconds = seconds
        self._folder = folder
        self._stopped = threading.Event()
        self.fault_count = 0
        self.outcomes: list[oncecallers.OnceOutcome] = []
        self.services: list[hostileservice.HostileService] = []
        self._instances: list[processes.GatewayProcess] = []
        self._build()

    def _build(self) -> None:
        """Starts the store and the services; prepares the instances."""
        self._store = store.StoreStandin()
        self._publish()
        self._links = []
        for number in range(_SERVICES):
            service = hostileservice.HostileService(
                self._store, f"d{number}", self._seed * 100 + number
            )
            link = proxy.Proxy(service.address)
            service.address = link.address
            self.services.append(service)
            self._links.append(link)
        for number in range(_INSTANCES):
            self._instances.append(
                processes.GatewayProcess(
                    f"i{number}", "z0", self._store.address, self._folder
                )
            )
        self._add_callers(("orders",), _CALLERS)

    def _add_callers(self, paths: tuple[str, ...], count: int) -> None:
        self._callers = []
        for number in range(count):
            self._callers.append(
                oncecallers.OnceCaller(
                    f"c{number}",
                    self._instances,
                    paths,
                    self._seed * 100 + number,
                )
            )

    def _publish(self) -> None:
        route = testbed.route(
            "orders", "/orders/", "mutating", "desk", host=callers.HOST
        )
        manifest = {
            "version": 1,
            "routes": [{**route, "attempts": 3}],
            "services": manifests.SERVICES,
            "tenants": [{"name": "crew", "api_keys": ["stable"]}],
        }
        self._store.put("keyed.op", "config", manifest)

    def run(self) -> list[str]:
        """Runs the soak and returns a line for each violated guarantee."""
        threading.Thread(target=self._heartbeat_loop, daemon=True).start()
        try:
            for row in self._instances:
                row.start()
            for row in self._instances:
                _wait_until_open(row)
            for caller in self._callers:
                caller.start()
            self._run_faults()
            for caller in self._callers:
                caller.stop()
            for caller in self._callers:
                caller.join(30)
                self.outcomes.extend(caller.outcomes)
            time.sleep(_SETTLE_S)
            return self.check()
        finally:
            self.close()

    def close(self) -> None:
        """Ends all processes and stand-ins."""
        self._stopped.set()
        for row in self._instances:
            row.close()
        for service in self.services:
            service.close()
        for link in self._links:
            link.close()
        self._store.close()

    def _heartbeat_loop(self) -> None:
        while True:
            for service in self.services:
                service.register()
            if self._stopped.wait(_HEARTBEAT_S):
                return

    def _run_faults(self) -> None:
        deadline_s = time.monotonic() + self._seconds
        kinds = [
            self._pause_instance,
            self._pause_instance,
            self._restart_instance,
            self._kill_instance,
            self._disturb_link,
            self._disturb_link,
        ]
        threads = []
        while time.monotonic() < deadline_s:
            self.fault_count += 1
            fault = self._rng.choice(kinds)
            fault_s = self._rng.uniform(0.01, _MAX_FAULT_S)
            thread = threading.Thread(target=fault, args=(fault_s,))
            thread.start()
            threads.append(thread)
            time.sleep(self._rng.uniform(0.02, _MAX_PAUSE_S))
        for thread in threads:
            thread.join(30)

    def _pick_instance(self) -> processes.GatewayProcess:
        return self._rng.choice(self._instances)

    def _pause_instance(self, fault_s: float) -> None:
        row = self._pick_instance()
        row.signal(signal.SIGSTOP)
        time.sleep(fault_s)
        row.signal(signal.SIGCONT)

    def _restart_instance(self, fault_s: float) -> None:
        row = self._pick_instance()
        row.signal(signal.SIGTERM)
        row.wait()
        row.start()

    def _kill_instance(self, fault_s: float) -> None:
        row = self._pick_instance()
        row.signal(signal.SIGKILL)
        row.wait()
        row.start()

    def _disturb_link(self, fault_s: float) -> None:
        link = self._rng.choice(self._links)
        faults = [row for row in proxy.LinkFault if row.value != "none"]
        link.set_fault(self._rng.choice(faults))
        time.sleep(fault_s)
        link.set_fault(proxy.LinkFault.NONE)

    def unanswered_runs(self) -> list[str]:
        """Returns requests that ran and got no response.

        A killed instance leaves such requests; others should not.
        """
        runs = oncechecks.runs_of(self.services)
        found = []
        for row in self.outcomes:
            if runs[row.id] and not row.status and not row.has_left:
                found.append(row.id)
        return found

    def check(self) -> list[str]:
        """Returns a line for each violated guarantee."""
        return oncechecks.check(self.outcomes, self.services, self._is_judged)

    def _is_judged(self, row: oncecallers.OnceOutcome) -> bool:
        """Whether an attempt may run at most once by all versions in force."""
        return True

    def summary(self) -> str:
        """Returns what happened, in one line."""
        statuses = collections.Counter(row.status for row in self.outcomes)
        drawn = collections.Counter()
        for service in self.services:
            for behaviour, count in service.drawn.items():
                drawn[behaviour.value] += count
        resets = sum(row.was_reset for row in self.outcomes)
        return (
            f"faults={self.fault_count} requests={len(self.outcomes)} "
            f"orders={len({row.order for row in self.outcomes})} "
            f"resets={resets} unanswered_runs={len(self.unanswered_runs())} "
            f"statuses={dict(sorted(statuses.items()))} "
            f"behaviours={dict(sorted(drawn.items()))}"
        )


def _wait_until_open(row: processes.GatewayProcess) -> None:
    """Waits until an instance accepts connections of callers."""

    def is_open() -> bool:
        return processes.accepts_connections(row.front)

    testbed.until(is_open, f"{row.name} accepts connections")


def run(seed: int, seconds: float, keep: str = "") -> list[str]:
    """Runs one seed; prints and returns the violated guarantees.

    Args:
        seed: Determines the faults and their times.
        seconds: Duration of the faults, in seconds.
        keep: Folder for settings and logs; if empty, they are deleted.
    """
    with folder_of(keep) as folder:
        return report(seed, OnceSoak(seed, seconds, folder))


@contextlib.contextmanager
def folder_of(keep: str):
    """Yields the folder to keep, or one that is deleted afterwards."""
    with tempfile.TemporaryDirectory() as scratch:
        folder = pathlib.Path(keep or scratch)
        folder.mkdir(parents=True, exist_ok=True)
        yield folder


def report(seed: int, soak: OnceSoak) -> list[str]:
    """Runs a soak; prints and returns the violated guarantees."""
    broken = soak.run()
    print(f"seed {seed}: {len(broken)} broken, {soak.summary()}", flush=True)
    for line in broken[:20]:
        print(f"  {line}", flush=True)
    return broken
