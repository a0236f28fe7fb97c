"""Brings engines to the desired state that the catalogue gives for them."""

import threading
import time

from absl import logging
import msgspec

from briarfall import exceptions
from briarfall import hashing
from briarfall.adapters import engine as engines
from briarfall.adapters import weightstore
from briarfall.catalogue import entries
from briarfall.engineorders import leases
from briarfall.membership import rendezvous

SHARDS = 8
_INTERVAL_S = 2.0
_RENEW_SHARE = 0.5


class CommandCounts(msgspec.Struct):
    """Counts of commands to engines and of their effects.

    Attributes:
        given: Commands that an engine accepted.
        fenced: Commands that an engine refused, because it had seen a higher
            fencing number.
        undone: Times that an engine left a desired state which it had reached.
        throttled: Commands that an engine refused, because the weight store
            did not allow the load at that time.
    """

    given: int = 0
    fenced: int = 0
    undone: int = 0
    throttled: int = 0


class WeightPacer:
    """Spaces loads so that all shards together stay within the store's rate.

    Args:
        store: The weight store, or None if loads need no pacing.
    """

    def __init__(self, store: weightstore.WeightStoreAdapter | None):
        self._store = store
        self._next_load_s = 0.0
        self._rate = 0.0

    def try_reserve(self, size_bytes: int, now: float) -> bool:
        """Reserves time for a load and returns whether it may start now."""
        if self._store is None or not size_bytes:
            return True
        if now < self._next_load_s:
            return False
        if not self._rate:
            try:
                self._rate = self._store.rate().bytes_per_s
            except exceptions.TargetError as exc:
                logging.warning(
                    "rate of the weight store not read, load delayed: %s", exc
                )
                return False
        self._next_load_s = now + size_bytes / (self._rate / SHARDS)
        return True


class Reconciler:
    """Sends commands to the engines of the shards whose lease is held here.

    Each shard of engines is assigned to one live instance.

    Args:
        instance: Name of this instance.
        live: Returns the live instances.
        view: Returns the current catalogue.
        lease_manager: Acquires and checks leases.
        connect: Returns the adapter of an engine by URL.
        pacer: Spaces loads from the weight store.
        interval_s: Seconds between two rounds.
    """

    def __init__(
        self,
        instance,
        live,
        view,
        lease_manager: leases.LeaseManager,
        connect,
        pacer: WeightPacer,
        interval_s: float = _INTERVAL_S,
    ):
        self._instance = instance
        self._live = live
        self._view = view
        self._lease_manager = lease_manager
        self._connect = connect
        self._pacer = pacer
        self._interval_s = interval_s
        self._stopping = threading.Event()
        self._reached_hashes: dict[str, int] = {}
        self.counts = CommandCounts()

    def start(self) -> None:
        """Starts reconciling on a thread of its own."""
        threading.Thread(
            target=self._run, name="reconciler", daemon=True
        ).start()

    def stop(self) -> None:
        """Stops reconciling."""
        self._stopping.set()

    def reconcile_all(self) -> None:
        """Reconciles the engines of every shard assigned to this instance."""
        by_shard: dict[int, list[entries.EngineOrder]] = {}
        orders = self._view().of_kind(entries.EngineOrder)
        for order in orders.values():
            by_shard.setdefault(shard_of(order.url), []).append(order)
        for shard, shard_orders in by_shard.items():
            name = lease_name(shard)
            if rendezvous.choose(name, self._live()) != self._instance:
                continue
            try:
                self._ensure_lease(name)
            except exceptions.BriarfallError as exc:
                logging.info(
                    "lease %s not acquired, its engines are skipped: %s",
                    name,
                    exc,
                )
                continue
            for order in shard_orders:
                self._reconcile(name, order)

    def send_command(
        self, name: str, order: entries.EngineOrder
    ) -> engines.EngineState:
        """Sends one command to an engine, right after checking the lease.

        Raises:
            LeaseError: The lease has lapsed or another instance holds it.
            FencedError: The engine has seen a command with a higher fencing
                number.
        """
        lease = self._lease_manager.check(name)
        return self._connect(order.url).command(
            engines.EngineCommand(
                lease.fence,
                order.model,
                order.version,
                order.adapter,
                order.role,
            )
        )

    def _run(self) -> None:
        while not self._stopping.wait(self._interval_s):
            try:
                self.reconcile_all()
            except Exception:
                logging.exception("reconciling failed, will retry")

    def _ensure_lease(self, name: str) -> None:
        needed_s = self._lease_manager.duration_s * _RENEW_SHARE
        if self._lease_manager.remaining_s(name) < needed_s:
            self._lease_manager.acquire(name)

    def _reconcile(self, name: str, order: entries.EngineOrder) -> None:
        try:
            state = self._connect(order.url).state()
        except exceptions.TargetError as exc:
            logging.info("state of engine %s not read: %s", order.url, exc)
            return
        desired_hash = hash_order(order)
        if is_in_desired_state(order, state):
            self._reached_hashes[order.url] = desired_hash
            return
        if self._reached_hashes.get(order.url) == desired_hash:
            # The engine had reached this state, so a late command of another
            # sender has changed it.
            self.counts.undone += 1
            del self._reached_hashes[order.url]
        needs_load = (state.model, state.version) != (
            order.model,
            order.version,
        )
        size = order.weight_bytes if needs_load else 0
        if not self._pacer.try_reserve(size, time.monotonic()):
            return
        try:
            state = self.send_command(name, order)
            self.counts.given += 1
            if is_in_desired_state(order, state):
                self._reached_hashes[order.url] = desired_hash
        except exceptions.FencedError:
            self.counts.fenced += 1
        except exceptions.LimitError:
            self.counts.throttled += 1
        except exceptions.BriarfallError as exc:
            logging.info("command to engine %s failed: %s", order.url, exc)


def shard_of(url: str) -> int:
    """Returns the shard of an engine."""
    return hashing.digest64(url) % SHARDS


def lease_name(shard: int) -> str:
    """Returns the name of a shard's lease."""
    return f"engines.{shard}"


def hash_order(order: entries.EngineOrder) -> int:
    """Returns a hash of the desired state."""
    return hashing.digest64(msgspec.json.encode(order).decode())


def is_in_desired_state(
    order: entries.EngineOrder, state: engines.EngineState
) -> bool:
    """Returns whether an engine is in the desired state."""
    return (state.model, state.version, state.adapter, state.role) == (
        order.model,
        order.version,
        order.adapter,
        order.role,
    )
