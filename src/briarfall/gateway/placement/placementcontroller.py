"""Placement controller: assigns layers to engines while it holds a lease."""

from absl import logging
import msgspec

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway import workers
from briarfall.gateway.catalogue import catalogue
from briarfall.gateway.catalogue import sources
from briarfall.gateway.catalogue import views
from briarfall.gateway.peers import peers
from briarfall.gateway.placement import leasing
from briarfall.gateway.placement import placement
from briarfall.gateway.placement import rebalancing
from briarfall.gateway.targets import loads
from briarfall.gateway.targets import targets
from briarfall.gateway.targets import targetstate

_RENEW_S = 1.0
_WATCH_S = 0.5
_TICK_S = 0.25
# Time after a start in which instances discover each other.
_DISCOVERY_S = 0.3
# After a lease has lapsed, each instance waits this much longer than the one
# that ranks before it, but at most `_MAX_TURN_S`, until it tries to acquire it.
_TURN_S = 0.25
_MAX_TURN_S = 6.0
_COMMAND_TIMEOUT_S = 0.5
# At the first start, engines register over some hundred milliseconds. One plan
# for all of them is better than a plan for each as it registers.
_SETTLE_S = 0.6
# A command without an answer may still be carried out within this time, so that
# it is sent again only afterwards.
_COMMAND_RETRY_S = 3.0
# Time until the instance list shows the layers that an engine has loaded.
_LIST_DELAY_S = 3.0
# Time limit of a reassignment. The engine first completes the requests that run
# on the layers that it releases.
_REASSIGNMENT_TIMEOUT_S = 30.0
_REASSIGNMENT_PERIOD_S = 0.5


class Assignment(msgspec.Struct):
    """A layer range assigned to an engine, and the state of its command.

    Attributes:
        layers: The assigned layers.
        started_ms: Start of the engine's incarnation that they are assigned
            to, in Unix milliseconds.
        ordered_s: Time on the boot clock of the last attempt to send the
            command, or 0.
        is_accepted: Whether the engine has accepted the command.
        reassigned_s: Time on the boot clock of the decision to reassign an
            engine that holds other layers; None for an empty engine.
    """

    layers: sources.LayerRange
    started_ms: int
    ordered_s: float = 0.0
    is_accepted: bool = False
    reassigned_s: float | None = None


class PlacementController(workers.Worker):
    """Keeps layers loaded on every engine while this instance has the lease.

    While the store is unavailable, the last holder continues with its fencing
    number. Engines refuse its commands as soon as another instance has sent a
    command with a higher number.
    """

    def __init__(
        self,
        lease: leasing.Lease,
        engines: sources.EngineControl,
        follower: catalogue.CatalogueFollower,
        peer_table: peers.PeerTable,
        table: targets.TargetTable,
        load_table: loads.LoadTable,
    ):
        super().__init__("placer")
        self._loads = load_table
        self._lease = lease
        self._engines = engines
        self._follower = follower
        self._peers = peer_table
        self._started_s = clocks.boot_s()
        self._targets = table
        self._assigned: dict[ids.TargetId, Assignment] = {}
        self._refresh_s = 0.0
        # Consecutive failures to refresh the lease.
        self._failures = 0
        self._settled_s: float | None = None
        self._known_count = 0
        self._next_reassignment_s = 0.0

    def step(self) -> None:
        """Runs the controller once and waits for the next tick."""
        try:
            self.run_once()
        except exceptions.BriarfallError as exc:
            logging.warning("placement run failed, retrying: %s", exc)
        self.stopped.wait(_TICK_S)

    def run_once(self) -> None:
        """Refreshes the lease if it is due, plans, and sends due commands."""
        if self._follower.view is None:
            return
        now_s = clocks.boot_s()
        if now_s >= self._refresh_s and self._is_candidate(now_s):
            period_s = _RENEW_S if self._lease.is_held else _WATCH_S
            self._refresh_s = now_s + period_s
            try:
                self._lease.refresh()
                self._failures = 0
            except exceptions.LogUnavailableError as exc:
                self._failures += 1
                self._refresh_s = now_s + workers.backoff_s(self._failures)
                logging.warning("lease not refreshed: %s", exc)
        if not self._lease.has_newest_grant:
            return
        for service in self._follower.view.services.values():
            if service.model is not None:
                self._update_service(service)

    def _is_candidate(self, now_s: float) -> bool:
        """Whether it is this instance's turn to refresh the lease.

        After a lease has lapsed, instances try for it in the order of their
        ranks, so that they do not all query the store at once.
        """
        if self._lease.is_held:
            return True
        if now_s - self._started_s < _DISCOVERY_S:
            return False
        turn_s = min(_MAX_TURN_S, self._peers.rank() * _TURN_S)
        return self._lease.lapsed_for_s(now_s) >= turn_s

    def _update_service(self, service: views.Service) -> None:
        rows = []
        for row in self._targets.of_service(service.name):
            if row.entry.state is sources.TargetState.READY:
                rows.append(row)
        if not self._is_settled(len(rows)):
            return
        engine_infos = self._engine_infos(service.model, rows)
        self._assign_empty(service.model, rows, engine_infos)
        self._reassign(service.model, rows, engine_infos)
        for row in rows:
            self._command_if_due(row)

    def _is_settled(self, count: int) -> bool:
        """Whether the number of engines has not changed for `_SETTLE_S`.

        Changes while an assignment is pending are ignored.
        """
        if self._settled_s is None or (
            count != self._known_count and not self._assigned
        ):
            self._known_count = count
            self._settled_s = clocks.boot_s() + _SETTLE_S
        return clocks.boot_s() >= self._settled_s

    def _engine_infos(
        self, model: views.ModelLayout, rows: list[targetstate.Target]
    ) -> list[placement.EngineInfo]:
        """Returns all engines with the layers that they hold or will hold."""
        engine_infos = []
        for row in rows:
            assignment = self._pending_assignment(model, row)
            layers = row.entry.layers
            if assignment is not None:
                layers = assignment.layers
            engine_infos.append(
                placement.EngineInfo(
                    row.id, row.entry.zone, row.entry.kind, layers
                )
            )
        return engine_infos

    def _pending_assignment(
        self, model: views.ModelLayout, row: targetstate.Target
    ) -> Assignment | None:
        """Returns an engine's assignment that is not yet carried out, or None.

        An assignment that is done, that timed out or that belongs to an earlier
        incarnation is dropped. One that is overdue is marked as not accepted,
        so that its command is sent again.
        """
        assignment = self._assigned.get(row.id)
        if assignment is None:
            return None
        now_s = clocks.boot_s()
        holds = row.entry.layers
        is_old = assignment.started_ms != row.entry.started_ms
        is_done = holds == assignment.layers
        if assignment.reassigned_s is None:
            is_done = holds is not None
        elif now_s - assignment.reassigned_s > _REASSIGNMENT_TIMEOUT_S:
            is_old = True
        if is_old or is_done:
            del self._assigned[row.id]
            return None
        late_s = now_s - assignment.ordered_s - model.load_s - _LIST_DELAY_S
        if assignment.reassigned_s is None and late_s > 0:
            assignment.is_accepted = False
        return assignment

    def _assign_empty(
        self,
        model: views.ModelLayout,
        rows: list[targetstate.Target],
        engine_infos: list[placement.EngineInfo],
    ) -> None:
        """Assigns layers to empty engines."""
        empty = [
            engine_info
            for engine_info in engine_infos
            if engine_info.layers is None
        ]
        if not empty:
            return
        plan = placement.Plan(model, engine_infos)
        found = plan.assign_all(empty)
        for index, row in enumerate(rows):
            layers = found.get(row.id)
            if layers is None:
                continue
            engine_info = engine_infos[index]
            engine_infos[index] = msgspec.structs.replace(
                engine_info, layers=layers
            )
            self._assigned[row.id] = Assignment(layers, row.entry.started_ms)
            logging.info(
                "placement planned target=%s kind=%s zone=%s first=%d end=%d",
                row.id,
                engine_info.kind,
                engine_info.zone,
                layers.first,
                layers.end,
            )

    def _reassign(
        self,
        model: views.ModelLayout,
        rows: list[targetstate.Target],
        engine_infos: list[placement.EngineInfo],
    ) -> None:
        """Reassigns at most one engine to scarce layers of its zone.

        Engines with a pending assignment and blocked engines are not
        reassigned.
        """
        now_s = clocks.boot_s()
        if now_s < self._next_reassignment_s:
            return
        self._next_reassignment_s = now_s + _REASSIGNMENT_PERIOD_S
        pending = 0
        fixed = set()
        for row in rows:
            assignment = self._assigned.get(row.id)
            if assignment is not None:
                pending += assignment.reassigned_s is not None
            if assignment is not None or row.blocked_until_s > now_s:
                fixed.add(row.id)
        if pending >= model.max_parallel_loads:
            return
        available = [
            engine_info
            for row, engine_info in zip(rows, engine_infos, strict=True)
            if row.accepts_requests
        ]
        reassignment = rebalancing.next_reassignment(
            model, available, fixed, self._loads.of
        )
        if reassignment is None:
            return
        target = self._targets.get(reassignment.engine.id)
        if target is None:
            return
        self._assigned[target.id] = Assignment(
            reassignment.layers, target.entry.started_ms, reassigned_s=now_s
        )
        logging.info(
            "engine moves target=%s kind=%s zone=%s held=%d-%d first=%d end=%d "
            "streams=%d",
            target.id,
            reassignment.engine.kind,
            reassignment.engine.zone,
            reassignment.engine.layers.first,
            reassignment.engine.layers.end,
            reassignment.layers.first,
            reassignment.layers.end,
            self._loads.of(target.id).streams,
        )

    def _command_if_due(self, row: targetstate.Target) -> None:
        assignment = self._assigned.get(row.id)
        if assignment is None or assignment.is_accepted:
            return
        now_s = clocks.boot_s()
        if now_s - assignment.ordered_s < _COMMAND_RETRY_S:
            return
        assignment.ordered_s = now_s
        try:
            result = self._engines.place(
                row.entry,
                assignment.layers,
                self._lease.fence,
                None,
                _COMMAND_TIMEOUT_S,
            )
        except exceptions.BriarfallError as exc:
            logging.warning(
                "command not answered, sent again later target=%s: %s",
                row.id,
                exc,
            )
            return
        logging.info(
            "command target=%s first=%d end=%d fence=%d result=%s",
            row.id,
            assignment.layers.first,
            assignment.layers.end,
            self._lease.fence,
            result.value,
        )
        if result is sources.CommandResult.FENCED:
            self._lease.lose()
            return
        if result in (
            sources.CommandResult.STARTED,
            sources.CommandResult.HOLDS,
        ):
            assignment.is_accepted = True
