"""Brings engines to the state that the catalogue wants of them."""

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


class OrderCounts(msgspec.Struct):
    """What the reconciler has done."""

    given: int = 0
    fenced: int = 0
    undone: int = 0
    throttled: int = 0


class WeightPacer:
    """Spaces loads so that all shards together keep to the store's rate.

    Args:
        store: The weight store, or None if loads need no pacing.
    """

    def __init__(self, store: weightstore.WeightStoreAdapter | None):
        self._store = store
        self._free_at_s = 0.0
        self._rate = 0.0

    def may_load(self, size_bytes: int, now: float) -> bool:
        """Returns whether a load may start, and books it if so."""
        if self._store is None or not size_bytes:
            return True
        if now < self._free_at_s:
            return False
        if not self._rate:
            try:
                self._rate = self._store.rate().bytes_per_s
            except exceptions.TargetError as exc:
                logging.warning("weight store: %s", exc)
                return False
        self._free_at_s = now + size_bytes / (self._rate / SHARDS)
        return True


class Reconciler:
    """Gives orders for the shards whose lease this instance holds.

    Args:
        instance: Name of this instance.
        live: Returns the live instances.
        view: Returns the current catalogue.
        keeper: Leases.
        connect: Returns the adapter of an engine by URL.
        pacer: Spaces loads of weights.
        interval_s: Time between two rounds.
    """

    def __init__(
        self,
        instance,
        live,
        view,
        keeper: leases.LeaseKeeper,
        connect,
        pacer: WeightPacer,
        interval_s: float = _INTERVAL_S,
    ):
        self._instance = instance
        self._live = live
        self._view = view
        self._keeper = keeper
        self._connect = connect
        self._pacer = pacer
        self._interval_s = interval_s
        self._stopping = threading.Event()
        self._settled: dict[str, int] = {}
        self.counts = OrderCounts()

    def start(self) -> None:
        """Starts reconciling on a thread of its own."""
        threading.Thread(
            target=self._run, name="reconciler", daemon=True
        ).start()

    def stop(self) -> None:
        """Stops reconciling."""
        self._stopping.set()

    def reconcile_all(self) -> None:
        """Makes one round over the shards that fall to this instance."""
        by_shard: dict[int, list[entries.EngineOrder]] = {}
        orders = self._view().of_kind(entries.EngineOrder)
        for order in orders.values():
            by_shard.setdefault(shard_of(order.url), []).append(order)
        for shard, wanted in by_shard.items():
            name = lease_name(shard)
            if rendezvous.choose(name, self._live()) != self._instance:
                continue
            try:
                self._hold(name)
            except exceptions.BriarfallError as exc:
                logging.info("lease %s: %s", name, exc)
                continue
            for order in wanted:
                self._reconcile(name, order)

    def give(
        self, name: str, order: entries.EngineOrder
    ) -> engines.EngineState:
        """Gives one order under a lease that is checked just before.

        Raises:
            LeaseError: The lease has lapsed or passed to another.
            FencedError: The engine has seen a later holder.
        """
        lease = self._keeper.check(name)
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
                logging.exception("reconciler")

    def _hold(self, name: str) -> None:
        needed_s = self._keeper.duration_s * _RENEW_SHARE
        if self._keeper.remaining_s(name) < needed_s:
            self._keeper.acquire(name)

    def _reconcile(self, name: str, order: entries.EngineOrder) -> None:
        try:
            state = self._connect(order.url).state()
        except exceptions.TargetError as exc:
            logging.info("engine %s: %s", order.url, exc)
            return
        wanted = hash_order(order)
        if is_reached(order, state):
            self._settled[order.url] = wanted
            return
        if self._settled.get(order.url) == wanted:
            # It was in this state before, so someone else's order came late.
            self.counts.undone += 1
            del self._settled[order.url]
        needs_load = (state.model, state.version) != (
            order.model,
            order.version,
        )
        size = order.weight_bytes if needs_load else 0
        if not self._pacer.may_load(size, time.monotonic()):
            return
        try:
            state = self.give(name, order)
            self.counts.given += 1
            if is_reached(order, state):
                self._settled[order.url] = wanted
        except exceptions.FencedError:
            self.counts.fenced += 1
        except exceptions.LimitError:
            self.counts.throttled += 1
        except exceptions.BriarfallError as exc:
            logging.info("order to %s: %s", order.url, exc)


def shard_of(url: str) -> int:
    """Returns the shard of an engine."""
    return hashing.digest64(url) % SHARDS


def lease_name(shard: int) -> str:
    """Returns the name of a shard's lease."""
    return f"engines.{shard}"


def hash_order(order: entries.EngineOrder) -> int:
    """Returns a hash of the wanted state."""
    return hashing.digest64(msgspec.json.encode(order).decode())


def is_reached(order: entries.EngineOrder, state: engines.EngineState) -> bool:
    """Returns whether an engine is in the wanted state."""
    return (state.model, state.version, state.adapter, state.role) == (
        order.model,
        order.version,
        order.adapter,
        order.role,
    )
