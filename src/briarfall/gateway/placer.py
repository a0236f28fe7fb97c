"""Gives layers to empty engines, under a lease."""

from absl import logging
import msgspec

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway import catalogue
from briarfall.gateway import clocks
from briarfall.gateway import placement
from briarfall.gateway import sources
from briarfall.gateway import targets
from briarfall.gateway import views
from briarfall.gateway import workers

LEASE_TTL_S = 3.0
_RENEW_S = 1.0
_WATCH_S = 0.5
_TICK_S = 0.25
_STORE_TIMEOUT_S = 1.0
_ORDER_TIMEOUT_S = 0.5
# At the first start engines register over some hundred milliseconds; a plan
# for all of them is better than one for each as it comes.
_SETTLE_S = 0.6
# An order without an answer may be carried out this much later.
_UNKNOWN_S = 3.0
# Time for the instance list to show a range that an engine has loaded.
_REPORT_S = 3.0


class Assignment(msgspec.Struct):
    """An order that was given.

    Attributes:
        layers: The range ordered.
        started_ms: Lifetime of the engine that got the order.
        ordered_s: Time on the boot clock of the newest try, or 0.
        is_accepted: Whether the engine began.
    """

    layers: sources.LayerRange
    started_ms: int
    ordered_s: float = 0.0
    is_accepted: bool = False


class Lease:
    """A lease on the store, held by at most one instance at a time.

    Args:
        source: Where grants are kept.
        instance: This instance.
    """

    def __init__(self, source: sources.LeaseSource, instance: ids.InstanceId):
        self._source = source
        self._instance = instance
        self._grant: sources.Grant | None = None
        self._held_until_s = 0.0
        # Times on the boot clock at which grants of others lapse, by fence.
        self._lapses: dict[int, float] = {}
        self.fence = 0

    @property
    def is_held(self) -> bool:
        """Whether this instance holds the lease."""
        return clocks.boot_s() < self._held_until_s

    @property
    def left_s(self) -> float:
        """Seconds for which this instance still holds the lease."""
        return max(0.0, self._held_until_s - clocks.boot_s())

    @property
    def was_held_last(self) -> bool:
        """Whether no newer grant than our own is known."""
        return self.fence > 0

    def note_other(self, fence: int, until_s: float) -> None:
        """Takes in when another instance says that its grant lapses."""
        self._lapses = {fence: until_s}
        if fence > self.fence:
            self.lose()

    @property
    def is_held_elsewhere(self) -> bool:
        """Whether another instance has said that it holds the lease."""
        now_s = clocks.boot_s()
        return any(until_s > now_s for until_s in self._lapses.values())

    def refresh(self) -> None:
        """Takes, renews or watches the lease.

        Raises:
            LogUnavailableError: The store did not answer.
        """
        sent_s = clocks.boot_s()
        if self.is_held and self._grant is not None:
            self._take(self._grant.end, sent_s)
            return
        if self.is_held_elsewhere:
            return
        grant = self._source.read_grant(_STORE_TIMEOUT_S)
        if grant.holder != self._instance and grant.fence > self.fence:
            self.lose()
        if grant.holder:
            lapse_s = self._lapses.get(grant.fence)
            if lapse_s is None:
                lapse_s = sent_s + grant.ttl_s
                self._lapses = {grant.fence: lapse_s}
            if clocks.boot_s() <= lapse_s:
                return
        self._take(grant.end, sent_s)

    def _take(self, end: int, sent_s: float) -> None:
        grant = self._source.take(
            self._instance, LEASE_TTL_S, end, _STORE_TIMEOUT_S
        )
        if grant is None:
            self.lose()
            return
        if not self.fence:
            logging.info("lease taken fence=%d", grant.fence)
        self._grant = grant
        self._held_until_s = sent_s + LEASE_TTL_S
        self.fence = grant.fence

    def lose(self) -> None:
        """Gives up all claim to the lease."""
        if self.fence:
            logging.info("lease lost fence=%d", self.fence)
        self.fence = 0
        self._grant = None
        self._held_until_s = 0.0


class Placer(workers.Worker):
    """Keeps every engine loaded while this instance holds the lease.

    While the store is away the last holder goes on under its fence: engines
    refuse it as soon as another instance has given an order.
    """

    def __init__(
        self,
        lease: Lease,
        engines: sources.EngineControl,
        follower: catalogue.CatalogueFollower,
        table: targets.TargetTable,
    ):
        super().__init__("placer")
        self._lease = lease
        self._engines = engines
        self._follower = follower
        self._targets = table
        self._assigned: dict[ids.TargetId, Assignment] = {}
        self._refresh_s = 0.0
        self._settled_s: float | None = None
        self._known = 0

    def step(self) -> None:
        """Gives the orders that are due, and waits."""
        try:
            self.place()
        except exceptions.BriarfallError as exc:
            logging.warning("placer: %s", exc)
        self.stopped.wait(_TICK_S)

    def place(self) -> None:
        """Refreshes the lease if due and gives the orders that are due."""
        if self._follower.view is None:
            return
        now_s = clocks.boot_s()
        if now_s >= self._refresh_s:
            period_s = _RENEW_S if self._lease.is_held else _WATCH_S
            self._refresh_s = now_s + period_s
            try:
                self._lease.refresh()
            except exceptions.LogUnavailableError as exc:
                logging.warning("lease not refreshed: %s", exc)
        if not self._lease.was_held_last:
            return
        for service in self._follower.view.services.values():
            if service.model is not None:
                self._place(service)

    def _place(self, service: views.Service) -> None:
        rows = []
        for row in self._targets.of_service(service.name):
            if row.entry.state is sources.TargetState.READY:
                rows.append(row)
        if not self._is_settled(len(rows)):
            return
        self._plan(service.model, rows)
        for row in rows:
            self._order_if_due(row)

    def _is_settled(self, count: int) -> bool:
        if self._settled_s is None or (
            count != self._known and not self._assigned
        ):
            self._known = count
            self._settled_s = clocks.boot_s() + _SETTLE_S
        return clocks.boot_s() >= self._settled_s

    def _plan(
        self, model: views.ModelLayout, rows: list[targets.Target]
    ) -> None:
        """Chooses ranges for engines that have none."""
        empty = []
        slots = []
        now_s = clocks.boot_s()
        for row in rows:
            assignment = self._assigned.get(row.id)
            if assignment is not None and (
                assignment.started_ms != row.entry.started_ms
            ):
                assignment = None
            layers = row.entry.layers
            if layers is not None:
                self._assigned.pop(row.id, None)
            elif assignment is not None:
                if (
                    assignment.is_accepted
                    and now_s - assignment.ordered_s > model.load_s + _REPORT_S
                ):
                    assignment.is_accepted = False
                layers = assignment.layers
            slot = placement.EngineSlot(
                row.id, row.entry.zone, row.entry.kind, layers
            )
            slots.append(slot)
            if layers is None:
                empty.append((row, slot))
        if not empty:
            return
        plan = placement.Plan(model, slots)
        empty.sort(
            key=lambda pair: (
                -placement.block_count(model, pair[1].kind),
                pair[1].id,
            )
        )
        for row, slot in empty:
            layers = plan.assign(slot)
            if layers is None:
                continue
            self._assigned[row.id] = Assignment(layers, row.entry.started_ms)
            logging.info(
                "placement planned target=%s kind=%s zone=%s first=%d end=%d",
                row.id,
                slot.kind,
                slot.zone,
                layers.first,
                layers.end,
            )

    def _order_if_due(self, row: targets.Target) -> None:
        assignment = self._assigned.get(row.id)
        if assignment is None or assignment.is_accepted:
            return
        now_s = clocks.boot_s()
        if now_s - assignment.ordered_s < _UNKNOWN_S:
            return
        assignment.ordered_s = now_s
        try:
            result = self._engines.place(
                row.entry,
                assignment.layers,
                self._lease.fence,
                None,
                _ORDER_TIMEOUT_S,
            )
        except exceptions.BriarfallError as exc:
            logging.warning("order unanswered target=%s: %s", row.id, exc)
            return
        logging.info(
            "order target=%s first=%d end=%d fence=%d result=%s",
            row.id,
            assignment.layers.first,
            assignment.layers.end,
            self._lease.fence,
            result.value,
        )
        if result is sources.OrderResult.FENCED:
            self._lease.lose()
            return
        if result in (sources.OrderResult.BEGUN, sources.OrderResult.HOLDS):
            assignment.is_accepted = True
