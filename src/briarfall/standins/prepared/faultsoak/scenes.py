"""The store, targets and gateway processes of a soak test."""

import pathlib
import random
import threading

from briarfall.standins.prepared import engines
from briarfall.standins.prepared import links
from briarfall.standins.prepared import rawhttp
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import services
from briarfall.standins.prepared import store
from briarfall.standins.prepared.faultsoak import catalogues
from briarfall.standins.prepared.faultsoak import processes
from briarfall.standins.prepared.faultsoak import proxy
from briarfall.standins.prepared.faultsoak import records

EVENTS = 24
# Beginning of the ids, and path, of the request that crashes services.
POISON = "poison"
_ENGINES = 8
_SERVICES = 3
_MOVED_SERVICES = 2
_HEARTBEAT_S = 1.0


class Scene:
    """What a soak test runs, and the records of what was done to it.

    Args:
        rng: Draws the earlier faults.
        folder: Folder for settings and logs.
        instances: Gateway processes to run.
        is_extended: Whether each instance has links of its own to the targets,
            and there are targets to move routes to.

    Attributes:
        store: The store.
        catalogue: The catalogue in the store.
        plain_services: The plain services.
        engines: The engines.
        instances: The gateway processes.
        store_links: The link of each instance to the store.
        records: What was done so far.
        cut_names: Names of instances that have no links to targets.
    """

    def __init__(
        self,
        rng: random.Random,
        folder: pathlib.Path,
        instances: int,
        *,
        is_extended: bool,
        old: str = "",
    ):
        self.rng = rng
        self.lock = threading.Lock()
        self.cut_names: set[str] = set()
        self.records = records.Records()
        self.store = store.StoreStandin()
        self.catalogue = catalogues.Catalogue(self.store, rng, is_extended)
        self.plain_services: list[services.ServiceStandin] = []
        self.engines: list[engines.EngineStandin] = []
        self._target_host = rawhttp.HOST
        if is_extended:
            self._target_host = links.own_host(0)
        self._hosts: dict[str, str] = {}
        self._add_targets(is_extended)
        self.store_links: list[proxy.Proxy] = []
        self.instances: list[processes.GatewayProcess] = []
        for number in range(instances):
            name = f"i{number}"
            link = proxy.Proxy(self.store.address)
            self.store_links.append(link)
            process = processes.GatewayProcess(
                name, f"z{number % 2}", link.address, folder
            )
            if old:
                process.run_release(pathlib.Path(old))
            self.instances.append(process)
            if is_extended:
                self._add_links(process, links.own_host(number + 1))

    def _add_targets(self, is_extended: bool) -> None:
        for number in range(_SERVICES):
            self.add_service(f"d{number}", "desk", f"z{number % 2}")
        if is_extended:
            for number in range(_MOVED_SERVICES):
                self.add_service(f"o{number}", "other", f"z{number % 2}")
        fleet: dict = {}
        for number in range(_ENGINES):
            engine = engines.EngineStandin(
                self.store,
                f"e{number}",
                fleet,
                zone=f"z{number % 2}",
                host=self._target_host,
            )
            engine.events = EVENTS
            self.engines.append(engine)

    def add_service(
        self, name: str, service: str, zone: str
    ) -> services.ServiceStandin:
        """Starts a plain service, reachable from all instances."""
        target = services.ServiceStandin(
            self.store, name, service, zone, host=self._target_host
        )
        target.crash_marker = POISON
        for host in self._hosts.values():
            target.add_link(host)
        self.plain_services.append(target)
        return target

    def _add_links(self, process: processes.GatewayProcess, host: str) -> None:
        """Gives an instance a host of its own at which it reaches targets."""
        self._hosts[process.name] = host
        process.translate_host(self._target_host, host)
        for target in self.targets:
            target.add_link(host)

    @property
    def targets(self) -> list:
        """All services and engines."""
        return [*self.plain_services, *self.engines]

    def host_of(self, name: str) -> str:
        """Returns the host at which an instance reaches all targets."""
        return self._hosts[name]

    def set_cut(self, names: frozenset[str], cut: links.Cut) -> None:
        """Cuts instances off from all targets, or ends that."""
        for target in self.targets:
            for name in names:
                target.links[self._hosts[name]].set_cut(cut)

    def pick_instance(self) -> processes.GatewayProcess | None:
        """Returns an instance that runs, unless it is the only one."""
        with self.lock:
            free = [
                row
                for row in self.instances
                if row.is_running and not row.is_paused
            ]
            return self.rng.choice(free) if len(free) > 1 else None

    def renew_entries(self, stopped: threading.Event) -> None:
        """Renews the entries of running targets; restarts crashed ones."""
        while not stopped.wait(_HEARTBEAT_S):
            for row in self.targets:
                renew_entry(row)

    def close(self) -> None:
        """Kills the processes and closes all stand-ins."""
        for row in [*self.instances, *self.targets, *self.store_links]:
            row.close()
        self.store.close()


def renew_entry(target: registeredtarget.RegisteredTarget) -> None:
    """Renews the entry of a running target; restarts a crashed one.

    One whose entry was removed for good does neither.
    """
    if target.is_withdrawn:
        return
    if target.closing.is_set():
        target.restart()
    else:
        target.register()
