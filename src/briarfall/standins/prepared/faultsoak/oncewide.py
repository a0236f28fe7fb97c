"""A wider soak test of orders: relays, silence, changes, earlier releases."""

import enum
import pathlib
import random
import threading
import time

import msgspec

from briarfall.standins.prepared.faultsoak import hostileservice
from briarfall.standins.prepared.faultsoak import instancefaults
from briarfall.standins.prepared.faultsoak import oncecallers
from briarfall.standins.prepared.faultsoak import oncechecks
from briarfall.standins.prepared.faultsoak import oncefaults
from briarfall.standins.prepared.faultsoak import oncesoak
from briarfall.standins.prepared.faultsoak import processes
from briarfall.standins.prepared.faultsoak import protocol
from briarfall.standins.prepared.faultsoak import scenes

_INSTANCES = 4
_CALLERS = 24
_MIN_PAUSE_S = 0.1
_MAX_PAUSE_S = 0.7
_MIN_FAULT_S = 0.1
_MAX_FAULT_S = 0.75
_JOIN_S = 30.0
# Time for which an instance may still go by an earlier version, and for which
# one that was paused may read what it was sent before.
_VIEW_LAG_S = 6.0


class OldUse(enum.Enum):
    """Which instances run the earlier release."""

    # All at first; one after the other is upgraded.
    FIRST = "first"
    # Every second instance, for the whole run.
    HALF = "half"
    # All instances, for the whole run.
    ALL = "all"


class WideOptions(msgspec.Struct, frozen=True):
    """What a wide soak plays.

    Attributes:
        is_sound: Whether the services keep to the protocol.
        old: Checkout of an earlier release, or empty.
        old_use: Which instances run it.
    """

    is_sound: bool = False
    old: str = ""
    old_use: OldUse = OldUse.FIRST


_DEFAULTS = WideOptions()


class OnceScene(scenes.Scene):
    """Two plain services whose targets may break their connections.

    Args:
        seed: Determines the behaviours.
        folder: Folder for settings and logs.
        options: What is played.
    """

    def __init__(self, seed: int, folder: pathlib.Path, options: WideOptions):
        self._seed = seed
        self._is_sound = options.is_sound
        super().__init__(
            random.Random(seed), folder, _INSTANCES, is_extended=True
        )
        self.catalogue.set_kind(oncefaults.FLIPPED_ROUTE, "mutating")
        # No instance has seen the version before.
        del self.catalogue.published[0]
        for number, row in enumerate(self.instances):
            is_old = options.old_use is not OldUse.HALF or number % 2 == 0
            if options.old and is_old:
                row.run_release(pathlib.Path(options.old))

    def _add_targets(self, is_extended: bool) -> None:
        for number in range(3):
            self.add_service(f"d{number}", "desk", f"z{number % 2}")
        for number in range(2):
            self.add_service(f"o{number}", "other", f"z{number % 2}")

    def add_service(
        self, name: str, service: str, zone: str
    ) -> hostileservice.HostileService:
        """Starts a plain service, reachable from all instances."""
        target = hostileservice.HostileService(
            self.store,
            name,
            self._seed * 100 + len(self.plain_services),
            zone,
            service,
            self._target_host,
        )
        if self._is_sound:
            target.behaviours = list(hostileservice.SOUND)
        self.plain_services.append(target)
        return target


class WideOnceSoak(oncesoak.OnceSoak):
    """One run with one seed.

    Args:
        seed: Determines the faults and their times.
        seconds: Duration of the faults, in seconds.
        folder: Folder for settings and logs.
        options: What is played.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        folder: pathlib.Path,
        options: WideOptions = _DEFAULTS,
    ):
        self._options = options
        super().__init__(seed, seconds, folder)

    def _build(self) -> None:
        self.scene = OnceScene(self._seed, self._folder, self._options)
        self._store = self.scene.store
        self._links = self.scene.store_links
        self.services = self.scene.plain_services
        self._instances = self.scene.instances
        self._add_callers(("orders", oncefaults.FLIPPED_ROUTE), _CALLERS)

    def _run_faults(self) -> None:
        deadline_s = time.monotonic() + self._seconds
        threads = []
        if self._options.old and self._options.old_use is OldUse.FIRST:
            threads.append(self._start(self._upgrade_all))
        while time.monotonic() < deadline_s:
            kind = self._rng.choice(oncefaults.KINDS)
            rng = random.Random(f"{self._seed}-{kind.name}-{self.fault_count}")
            fault_s = self._rng.uniform(_MIN_FAULT_S, _MAX_FAULT_S)
            threads.append(self._start(kind.play, self.scene, rng, fault_s))
            self.fault_count += 1
            time.sleep(self._rng.uniform(_MIN_PAUSE_S, _MAX_PAUSE_S))
        for thread in threads:
            thread.join(_JOIN_S)

    def _start(self, target, *args) -> threading.Thread:
        thread = threading.Thread(target=target, args=args, daemon=True)
        thread.start()
        return thread

    def _upgrade_all(self) -> None:
        """Upgrades the instances one by one, spread over the run."""
        for row in self._instances:
            self._stopped.wait(self._seconds / (_INSTANCES + 1))
            row.run_release(processes.CHECKOUT)
            instancefaults.stop(self.scene, row)

    def check(self) -> list[str]:
        """Returns a line for each violated guarantee; writes what happened."""
        broken = super().check()
        protocol.write(self._folder, self.scene, self.outcomes, broken)
        return broken

    def _is_judged(self, row: oncecallers.OnceOutcome) -> bool:
        """Whether an attempt may run at most once by all versions in force.

        Without a response, it may have been read at any later time.
        """
        end_s = row.ended_s if row.status else float("inf")
        start_s = row.sent_s - _VIEW_LAG_S
        return not self.scene.catalogue.may_repeat(row.path, start_s, end_s)

    def unexplained_ends(self) -> list[str]:
        """Returns attempts that ran, and whose connection ended unanswered.

        Those at instances that were killed or paused meanwhile don't count.
        """
        runs = oncechecks.runs_of(self.services)
        return [
            row.id
            for row in self.outcomes
            if runs[row.id] and row.has_ended and not self._is_disturbed(row)
        ]

    def _is_disturbed(self, outcome: oncecallers.OnceOutcome) -> bool:
        for row in self.scene.records.disturbed:
            if row.instance != outcome.instance or row.is_planned:
                continue
            if row.start_s < outcome.ended_s and row.end_s > outcome.sent_s:
                return True
        return False

    def relayed_runs(self) -> list[str]:
        """Returns attempts that another instance sent to their target."""
        hosts = {}
        for row in self.outcomes:
            if row.instance:
                hosts[row.id] = self.scene.host_of(row.instance)
        found = []
        for service in self.services:
            for request_id, host in list(service.hosts):
                if hosts.get(request_id, host) != host:
                    found.append(request_id)
        return found

    def summary(self) -> str:
        """Returns what happened, in one line."""
        judged = sum(self._is_judged(row) for row in self.outcomes)
        relayed = self.relayed_runs()
        ends = self.unexplained_ends()
        return (
            f"{super().summary()} judged={judged} relayed={len(relayed)} "
            f"unexplained_ends={len(ends)} {ends[:5]}"
        )


def run(
    seed: int,
    seconds: float,
    keep: str = "",
    options: WideOptions = _DEFAULTS,
) -> list[str]:
    """Runs one seed; prints and returns the violated guarantees.

    Args:
        seed: Determines the faults and their times.
        seconds: Duration of the faults, in seconds.
        keep: Folder for settings and logs; if empty, they are deleted.
        options: What is played.
    """
    with oncesoak.folder_of(keep) as folder:
        soak = WideOnceSoak(seed, seconds, folder, options)
        return oncesoak.report(seed, soak)
