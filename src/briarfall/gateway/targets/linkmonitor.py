"""Keeps track of the targets that this instance reaches, and probes others."""

import collections.abc
import random
import threading

from absl import logging

from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway import workers
from briarfall.gateway.catalogue import views
from briarfall.gateway.exchanges import connections
from briarfall.gateway.targets import linkprobes
from briarfall.gateway.targets import liveness
from briarfall.gateway.targets import reachability
from briarfall.gateway.targets import targets
from briarfall.gateway.targets import targetstate

_IDLE_PAUSE_S = 1.0
_PROBE_PAUSE_S = 0.25
# Pause after a probe that succeeded: the other links are probably back too.
_SUCCESS_PAUSE_S = 0.05


class LinkMonitor(workers.Worker):
    """Records which targets this instance reaches.

    While some can't be reached, its thread probes them; otherwise it opens no
    connection.

    Args:
        table: Targets.
        pool: Connections to targets.
        peer_pool: Connections to peers, of which idle ones are closed here.
        rng: Chooses the targets to probe.
    """

    def __init__(
        self,
        table: targets.TargetTable,
        pool: connections.ConnectionPool,
        peer_pool: connections.ConnectionPool,
        rng: random.Random,
    ):
        super().__init__("links")
        self._targets = table
        self._pool = pool
        self._peer_pool = peer_pool
        self._rng = rng
        self._lock = threading.Lock()
        # Services of which no target is reached, with the time since when.
        self._cut_since_s: dict[views.ServiceName, float] = {}
        # Targets to probe next, since their links may have failed.
        self._doubted: dict[str, targetstate.Target] = {}
        self._wake = threading.Event()
        self._listeners: list[collections.abc.Callable[[], None]] = []

    def add_listener(self, listener: collections.abc.Callable[[], None]):
        """Calls `listener` when a link fails or is back."""
        self._listeners.append(listener)

    @property
    def cut_services(self) -> list[views.ServiceName]:
        """Services of which this instance reaches no target."""
        return list(self._cut_since_s)

    def count_unreachable(self) -> int:
        """Returns the number of targets that this instance does not reach."""
        count = 0
        for rows in self._rows().values():
            count += sum(row.link_fault is not None for row in rows)
        return count

    def record_failed(
        self, target: targetstate.Target, exc: BaseException | None
    ) -> None:
        """Records a failed attempt to connect to a target.

        Args:
            target: The target.
            exc: Error of the attempt.
        """
        fault = reachability.fault_of(exc)
        if fault is not None:
            self.record_fault(target, fault)

    def record_unreachable(
        self, target: targetstate.Target, result: liveness.Reachability
    ) -> None:
        """Records a liveness check in which a target did not answer."""
        fault = targetstate.LinkFault.TIMEOUT
        if result is liveness.Reachability.REFUSED:
            fault = targetstate.LinkFault.REFUSED
        self.record_fault(target, fault)

    def record_fault(
        self, target: targetstate.Target, fault: targetstate.LinkFault
    ) -> None:
        """Records how the link to a target fails."""
        now_s = clocks.boot_s()
        if reachability.is_at_connection_limit(target, fault, now_s):
            return
        if target.link_fault is None:
            target.link_fault_since_s = now_s
            logging.info(
                "target not reached, requests go elsewhere until a probe "
                "reaches it target=%s fault=%s",
                target.id,
                fault.value,
            )
        target.link_fault = fault
        target.next_probe_s = reachability.next_probe_s(target, now_s)
        self._pool.drop(target.entry.address)
        self._notify()

    def record_reset(self, target: targetstate.Target) -> None:
        """Records that a target broke a connection off before any answer.

        A probe tells whether its link has failed, unless half of the links to
        its service have failed already.
        """
        rows = self._rows().get(target.entry.service, [])
        if reachability.is_half_unreached(rows):
            self.record_fault(target, targetstate.LinkFault.RESET)
            return
        self.record_doubt(target)

    def record_doubt(self, target: targetstate.Target) -> None:
        """Records a failure that may be the link's; a probe tells soon.

        A target that has answered lately is not probed.
        """
        if not reachability.has_answered_lately(target, clocks.boot_s()):
            self._probe(target)

    def _probe(self, target: targetstate.Target) -> None:
        with self._lock:
            self._doubted[target.id] = target
        self._wake.set()

    def record_unanswered(self, target_ids: list[ids.TargetId]) -> None:
        """Records targets none of which answered a check."""
        for target_id in target_ids:
            target = self._targets.get(target_id)
            if target is not None:
                self._probe(target)

    def record_reached(self, target: targetstate.Target) -> None:
        """Records that a new connection to a target works."""
        now_s = clocks.boot_s()
        target.reached_s = now_s
        if target.link_fault is None:
            return
        logging.info(
            "target reached again target=%s after_s=%.2f",
            target.id,
            now_s - target.link_fault_since_s,
        )
        target.link_fault = None
        self._targets.record_success(target)
        self._notify()

    def record_answer(self, target: targetstate.Target, *, is_new: bool):
        """Records that a target answered.

        Args:
            target: The target.
            is_new: Whether it answered on a new connection.
        """
        target.answered_s = clocks.boot_s()
        if is_new:
            self.record_reached(target)

    def step(self) -> None:
        """Probes the targets that are due, and waits."""
        self._peer_pool.close_idle()
        due = self._due()
        if not due:
            has_faults = bool(self.count_unreachable())
            self._pause(_PROBE_PAUSE_S if has_faults else _IDLE_PAUSE_S)
            return
        addresses = [target.entry.address for target in due]
        faults = linkprobes.probe(self._pool.dialer, addresses)
        has_success = False
        for target in due:
            if target.entry.address not in faults:
                target.next_probe_s = clocks.boot_s() + _IDLE_PAUSE_S
                continue
            fault = faults[target.entry.address]
            if fault is not None:
                self.record_fault(target, fault)
                continue
            self.record_reached(target)
            has_success = True
        if has_success:
            self._probe_soon()
        self._wake.clear()
        self._pause(_SUCCESS_PAUSE_S if has_success else _PROBE_PAUSE_S)

    def stop(self) -> None:
        """Makes the thread end after its current step."""
        super().stop()
        self._wake.set()

    def _due(self) -> list[targetstate.Target]:
        with self._lock:
            doubted = list(self._doubted.values())
            self._doubted.clear()
        now_s = clocks.boot_s()
        due = reachability.probes_due(self._rows(), now_s, self._rng)
        return doubted + [row for row in due if row not in doubted]

    def _probe_soon(self) -> None:
        for rows in self._rows().values():
            for row in rows:
                row.next_probe_s = 0.0

    def _pause(self, seconds: float) -> None:
        self._wake.wait(seconds)
        self._wake.clear()
        self._update_services()

    def _notify(self) -> None:
        self._update_services()
        self._wake.set()
        for listener in self._listeners:
            listener()

    def _update_services(self) -> None:
        """Logs the services that this instance now reaches or not."""
        now_s = clocks.boot_s()
        rows_by_service = self._rows()
        with self._lock:
            for service, rows in rows_by_service.items():
                is_cut = reachability.is_cut_off(rows)
                if is_cut == (service in self._cut_since_s):
                    continue
                if is_cut:
                    self._cut_since_s[service] = now_s
                    faults = {row.link_fault for row in rows}
                    logging.warning(
                        "no target of a service reached, its requests go "
                        "through peers service=%s targets=%d faults=%s",
                        service,
                        len(rows),
                        ",".join(sorted(fault.value for fault in faults)),
                    )
                    continue
                logging.warning(
                    "targets of a service reached again, its requests go to "
                    "them directly service=%s after_s=%.2f",
                    service,
                    now_s - self._cut_since_s.pop(service),
                )
            for service in set(self._cut_since_s) - set(rows_by_service):
                del self._cut_since_s[service]

    def _rows(self) -> dict[views.ServiceName, list[targetstate.Target]]:
        """Returns the targets that take requests, by service."""
        found = {}
        for service in self._targets.services():
            rows = []
            for row in self._targets.of_service(service):
                if row.accepts_requests:
                    rows.append(row)
            if rows:
                found[service] = rows
        return found
