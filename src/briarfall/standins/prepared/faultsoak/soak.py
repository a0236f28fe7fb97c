"""Runs gateway processes with seeded faults and checks the guarantees."""

import pathlib
import random
import signal
import tempfile
import threading
import time

from briarfall.standins.prepared.faultsoak import callers
from briarfall.standins.prepared.faultsoak import checks
from briarfall.standins.prepared.faultsoak import faults
from briarfall.standins.prepared.faultsoak import faultsets
from briarfall.standins.prepared.faultsoak import pairs
from briarfall.standins.prepared.faultsoak import processes
from briarfall.standins.prepared.faultsoak import protocol
from briarfall.standins.prepared.faultsoak import rotation
from briarfall.standins.prepared.faultsoak import scenes
from briarfall.standins.prepared.faultsoak import summaries

_INSTANCES = 3
_CALLERS = 8
# With more of them, the checks of cut instances see enough requests.
_EXTENDED_CALLERS = 12
_READY_S = 20.0
_READY_S_PER_INSTANCE = 0.5
_RECOVER_S = 12.0
_MIN_PAUSE_S = 0.3
_MAX_PAUSE_S = 1.2
_MIN_FAULT_S = 0.5
_MAX_FAULT_S = 3.0
_JOIN_S = 30.0
# Longest time that pairs are waited for: rolls are played one by one.
_PAIRS_JOIN_S = 120.0
# Time in which requests that targets hold may still run.
_SETTLE_S = 1.0
_USUAL = (faultsets.FaultSet.USUAL,)


class Soak:
    """One soak run with one seed.

    Args:
        seed: Determines the faults and their times.
        seconds: Duration of the faults, in seconds.
        folder: Folder for settings and logs.
        instances: Gateway processes to run.
        sets: Sets of faults to play.
        old: Checkout of an earlier release that runs at first, or empty.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        folder: pathlib.Path,
        instances: int = _INSTANCES,
        sets: tuple[faultsets.FaultSet, ...] = _USUAL,
        old: str = "",
    ):
        self._seed = seed
        self._rng = random.Random(seed)
        self._key_rng = random.Random(seed)
        self._key_lock = threading.Lock()
        self._seconds = seconds
        self._folder = folder
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        self._sets = sets
        self._is_extended = sets != _USUAL
        self._kinds = faultsets.kinds_of(sets)
        self.scene = scenes.Scene(
            self._rng,
            folder,
            instances,
            is_extended=self._is_extended,
            old=old,
        )
        self._upgrades = bool(old)
        self.store = self.scene.store
        self.plain_services = self.scene.plain_services
        self.engines = self.scene.engines
        self._rotation = rotation.Rotation(self.scene.instances)
        self._outcomes: list[callers.RequestOutcome] = []

    @property
    def played(self) -> int:
        """Number of faults that were played."""
        return len(self.scene.records.played)

    def run(self) -> list[str]:
        """Runs the soak and returns a line for each violated guarantee."""
        for row in self.scene.instances:
            row.start()
        renewing = threading.Thread(
            target=self.scene.renew_entries, args=(self._stopped,), daemon=True
        )
        renewing.start()
        try:
            count = len(self.scene.instances)
            if not self._wait_served(_READY_S + count * _READY_S_PER_INSTANCE):
                return ["not ready: a kind of request was not served in time"]
            return self._run_with_callers()
        finally:
            self._stopped.set()
            self._rotation.stop()
            # It would restart a target that is closed.
            renewing.join()
            self.scene.close()

    def _run_with_callers(self) -> list[str]:
        if self._is_extended:
            self._rotation.start()
        all_callers = self._make_callers()
        for caller in all_callers:
            caller.start()
        self._run_faults()
        broken = []
        if not self._wait_served(_RECOVER_S):
            broken.append(f"no recovery within {_RECOVER_S} s")
        for caller in all_callers:
            caller.stop()
        for caller in all_callers:
            caller.join(_JOIN_S)
        time.sleep(_SETTLE_S)
        outcomes = [row for caller in all_callers for row in caller.outcomes]
        self._outcomes = outcomes
        broken += self.check(outcomes)
        protocol.write(self._folder, self.scene, outcomes, broken)
        return broken

    def _make_callers(self) -> list[callers.Caller]:
        count = _EXTENDED_CALLERS if self._is_extended else _CALLERS
        found = []
        for number in range(count):
            found.append(
                callers.Caller(
                    f"c{number}",
                    self._picker(f"z{number % 2}"),
                    self._pick_key,
                    time.monotonic,
                    number,
                    kinds=tuple(self.scene.catalogue.routes),
                )
            )
        if faultsets.FaultSet.USUAL in self._sets:
            found.append(
                callers.Caller(
                    scenes.POISON,
                    self._picker("z0"),
                    lambda: "stable",
                    time.monotonic,
                    count,
                    kinds=("views",),
                    path=scenes.POISON,
                )
            )
        return found

    def _picker(self, zone: str) -> callers.PickInstance:
        """Returns how a caller in a zone picks its instance."""
        if not self._is_extended:
            return lambda rng: rng.choice(self.scene.instances)
        return lambda rng: self._rotation.pick(zone, rng)

    def _pick_key(self) -> str:
        with self._key_lock:
            return self.scene.catalogue.pick_key(self._key_rng)

    def _wait_served(self, limit_s: float) -> bool:
        """Whether each kind of request succeeds at each instance in time."""
        deadline_s = time.monotonic() + limit_s
        remaining = []
        for row in self.scene.instances:
            for kind in self.scene.catalogue.routes:
                remaining.append((row, kind))
        number = 0
        while remaining and time.monotonic() < deadline_s:
            row, kind = remaining[0]
            number += 1
            if self._is_served(row, kind, number):
                remaining.pop(0)
                continue
            self._stopped.wait(0.1)
        return not remaining

    def _is_served(self, row, kind: str, number: int) -> bool:
        probe = callers.Caller(
            "probe", lambda rng: row, lambda: "stable", time.monotonic, 1
        )
        now_s = time.monotonic()
        outcome = callers.RequestOutcome(
            f"p{now_s}-{number}", kind, "stable", now_s
        )
        probe.send(outcome)
        probe.close_connection()
        return outcome.status == 200

    def _run_faults(self) -> None:
        """Starts one fault after the other; longer ones overlap."""
        deadline_s = time.monotonic() + self._seconds
        pair_thread = None
        if self._upgrades:
            self._threads.append(self._start_upgrade())
        if faultsets.FaultSet.PAIRS in self._sets:
            pair_thread = self._start_pairs()
        while self._kinds and time.monotonic() < deadline_s:
            kind = self._rng.choice(self._kinds)
            fault_s = self._rng.uniform(_MIN_FAULT_S, _MAX_FAULT_S)
            thread = threading.Thread(
                target=kind.play,
                args=(self.scene, self._rng_of(kind), fault_s),
                daemon=True,
            )
            thread.start()
            self._threads.append(thread)
            time.sleep(self._rng.uniform(_MIN_PAUSE_S, _MAX_PAUSE_S))
        for thread in self._threads:
            thread.join(_JOIN_S)
        if pair_thread is not None:
            pair_thread.join(_PAIRS_JOIN_S)

    def _start_pairs(self) -> threading.Thread:
        """Plays pairs beside the other faults."""
        player = pairs.PairPlayer(self.scene, self._seed)
        thread = threading.Thread(
            target=player.run, args=(self._seconds,), daemon=True
        )
        thread.start()
        return thread

    def _start_upgrade(self) -> threading.Thread:
        """Upgrades the instances one by one, spread over the run."""
        thread = threading.Thread(target=self._upgrade_all, daemon=True)
        thread.start()
        return thread

    def _upgrade_all(self) -> None:
        pause_s = self._seconds / (len(self.scene.instances) + 1)
        for row in self.scene.instances:
            self._stopped.wait(pause_s)
            start_s = time.monotonic()
            row.run_release(processes.CHECKOUT)
            row.signal(signal.SIGTERM)
            row.wait()
            row.start()
            self.scene.records.disturb(row.name, start_s)

    def _rng_of(self, kind: faults.FaultKind) -> random.Random:
        """Returns a generator for one fault.

        With other sets than the usual one, each fault has its own, so that its
        draws don't depend on the order in which threads run.
        """
        if not self._is_extended:
            return self._rng
        return random.Random(f"{self._seed}-{kind.name}-{len(self._threads)}")

    def check(self, outcomes: list[callers.RequestOutcome]) -> list[str]:
        """Returns a line for each violated guarantee."""
        return checks.check(self.scene, outcomes)

    def summary(self, broken: list[str]) -> str:
        """Returns a line on the run.

        Args:
            broken: Violated guarantees.
        """
        return summaries.text(
            self._seed, self.scene, self._outcomes, len(broken)
        )


def run(
    seed: int,
    seconds: float,
    keep: str = "",
    instances: int = _INSTANCES,
    sets: tuple[faultsets.FaultSet, ...] = _USUAL,
    old: str = "",
) -> list[str]:
    """Runs one seed; prints and returns the violated guarantees.

    Args:
        seed: Determines the faults and their times.
        seconds: Duration of the faults, in seconds.
        keep: Folder for settings and logs; if empty, they are deleted.
        instances: Gateway processes to run.
        sets: Sets of faults to play.
        old: Checkout of an earlier release that runs at first, or empty.
    """
    with tempfile.TemporaryDirectory() as scratch:
        folder = pathlib.Path(keep or scratch)
        folder.mkdir(parents=True, exist_ok=True)
        soak = Soak(seed, seconds, folder, instances, sets, old)
        broken = soak.run()
        print(soak.summary(broken))
        for line in broken[:20]:
            print(f"  {line}")
        return broken
