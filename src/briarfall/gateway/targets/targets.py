"""The table of targets: this instance's local view of the instance list."""

import collections.abc
import threading

from absl import logging
import msgspec

from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway.catalogue import sources
from briarfall.gateway.catalogue import views
from briarfall.gateway.targets import ejection
from briarfall.gateway.targets import entryhistory
from briarfall.gateway.targets import incarnations
from briarfall.gateway.targets import reachability
from briarfall.gateway.targets import sourceloss
from briarfall.gateway.targets import targetstate

_FIRST_BLOCK_S = 0.5
_MAX_BLOCK_S = 4.0
# A target that made progress on a stream of this instance within this time is
# alive, whatever peers report: their reports of a failure are ignored.
_RECENT_ACTIVITY_S = 0.06
# If more targets than this are added at once, as after a start, only their
# number is logged.
_MAX_ADDED_LINES = 5
# Number of removed targets kept for reports of changes to other instances.
_MAX_REMOVED = 200


class Changes(msgspec.Struct, frozen=True):
    """The changes of a target table since a given revision.

    Attributes:
        revision: Revision of the table that includes the changes.
        changed: Entries that are new or changed.
        gone: Targets that were removed.
    """

    revision: int
    changed: list[sources.TargetEntry]
    gone: list[ids.TargetId]


EndListener = collections.abc.Callable[[sources.TargetEntry], None]
ReadListener = collections.abc.Callable[
    [list[sources.TargetEntry], float], None
]


class TargetTable:
    """All known targets by id, with their health as seen by this instance."""

    def __init__(self):
        self._lock = threading.Lock()
        self._targets: dict[ids.TargetId, targetstate.Target] = {}
        # Each change replaces the whole dictionary, so that readers need no
        # lock.
        self._by_service: dict[views.ServiceName, list[targetstate.Target]]
        self._by_service = {}
        # Revision from which `_by_service` was built, or None.
        self._indexed_revision: int | None = 0
        # Services that some version of the catalogue names; empty before the
        # first one.
        self._services: set[views.ServiceName] = set()
        self._loss = sourceloss.SourceLoss()
        self._history = entryhistory.EntryHistory()
        # Epoch of the store that the latest list is of; None if unknown.
        self._epoch: sources.StoreEpoch | None = None
        self._revision = 0
        self._removed: dict[ids.TargetId, int] = {}
        self._listeners: list[collections.abc.Callable[[], None]] = []
        self._end_listeners: list[EndListener] = []
        self._read_listeners: list[ReadListener] = []
        # Targets that the update in progress has added.
        self._added: list[sources.TargetEntry] = []
        # Incarnations that the update in progress has ended.
        self._ended_entries: list[sources.TargetEntry] = []
        self._draining = incarnations.DrainingIncarnations()
        self.read_s: float | None = None
        self.has_entries = threading.Event()

    def update(
        self,
        entries: list[sources.TargetEntry],
        read_s: float,
        epoch: sources.StoreEpoch = sources.FIRST_EPOCH,
    ) -> list[targetstate.Target]:
        """Replaces the table's contents by a full read of the instance list.

        A read that is older than the one in force is ignored. After a restore
        of the store, what is known to be newer than an entry stays in force.

        Args:
            entries: All valid entries.
            read_s: Time on the boot clock at which the read was sent.
            epoch: Epoch of the store that was read.

        Returns:
            Targets that were removed.
        """
        gone = []
        with self._lock:
            if self.read_s is not None and read_s < self.read_s:
                return gone
            self._begin_epoch(epoch, read_s)
            self._loss.end(read_s)
            self._loss.confirm(entries)
            self.read_s = read_s
            entries = self._history.merge(entries)
            for entry in entries:
                self._apply_entry(entry, read_s)
            missing = self._loss.missing_from(
                entries, self._targets.values(), read_s
            )
            for target_id in missing:
                gone.append(self._targets[target_id])
                self._remove(target_id)
            self._rebuild_index()
            self._log_added()
        self.has_entries.set()
        self._notify_ended()
        for listener in self._read_listeners:
            listener(entries, read_s)
        return gone

    def apply_changes(
        self,
        changed: list[sources.TargetEntry],
        gone: list[ids.TargetId],
        read_s: float,
        *,
        is_full: bool = False,
        epoch: sources.StoreEpoch | None = None,
    ) -> list[targetstate.Target]:
        """Applies changes that another instance has read from the store.

        A target whose removal was seen is added only with a newer entry.

        Args:
            changed: New and changed entries.
            gone: Targets that were removed.
            read_s: Lower bound of the read's time on the boot clock, so that
                the age of the table is never understated.
            is_full: Whether `changed` holds all entries. The other instance may
                have started after a target was removed, so that `gone` lacks
                it.
            epoch: Epoch of the store that the other instance has read, or None
                if it does not tell it.

        Returns:
            Targets that were removed.
        """
        removed = []
        with self._lock:
            if epoch is not None and (self._epoch or 0) < epoch:
                self._begin_epoch(epoch, read_s)
            self._loss.end(read_s)
            self.read_s = read_s
            known = self._history.unless_removed(changed)
            if len(known) < len(changed):
                self._loss.recheck(read_s)
            changed = self._history.merge(known)
            for entry in changed:
                self._apply_entry(entry, read_s)
            if is_full:
                missing = self._loss.missing_from(
                    changed, self._targets.values(), read_s
                )
                gone = [*gone, *missing]
            for target_id in gone:
                target = self._targets.get(target_id)
                if target is None:
                    continue
                removed.append(target)
                self._remove(target_id)
            self._rebuild_index()
            self._log_added()
        self._notify_ended()
        for listener in self._read_listeners:
            listener([], read_s)
        return removed

    def _begin_epoch(self, epoch: sources.StoreEpoch, read_s: float) -> None:
        if epoch == self._epoch:
            return
        rows = self._targets.values()
        self._history.begin_epoch(rows)
        if self._epoch is not None:
            self._loss.begin_epoch(rows, self.read_s, read_s)
        self._epoch = epoch

    @property
    def epoch(self) -> sources.StoreEpoch | None:
        """Epoch of the store that the latest list is of; None if unknown."""
        return self._epoch

    @property
    def full_list_due_s(self) -> float | None:
        """Time on the boot clock from which a full list is needed.

        None if no full list is needed.
        """
        return self._loss.full_list_due_s

    @property
    def revision(self) -> int:
        """Number of changes of the table so far."""
        return self._revision

    def changes_since(self, revision: int) -> Changes:
        """Returns the changes after a revision; -1 returns all entries."""
        with self._lock:
            changed = []
            for target in self._targets.values():
                if target.revision > revision:
                    changed.append(target.entry)
            gone = []
            for target_id, removed_at in self._removed.items():
                if removed_at > revision:
                    gone.append(target_id)
            return Changes(self._revision, changed, gone)

    def add_services(
        self, services: collections.abc.Iterable[views.ServiceName]
    ) -> None:
        """Adds the services of a version of the catalogue.

        An entry of any other service names no target to use, so that it takes
        over no address. Services that a later version lacks stay: requests
        that came before it still need their targets.
        """
        with self._lock:
            if self._services.issuperset(services):
                return
            self._services.update(services)
            self._indexed_revision = None
            self._rebuild_index()

    def _rebuild_index(self) -> None:
        """Groups targets by service for look-ups.

        Of several targets with one address only the newest is included.
        """
        if self._indexed_revision == self._revision:
            return
        self._indexed_revision = self._revision
        newest = {}
        rows = sorted(
            self._targets.values(), key=lambda row: row.entry.started_ms
        )
        for row in rows:
            if self._is_known(row.entry.service):
                newest[row.entry.address] = row
        by_service: dict[views.ServiceName, list[targetstate.Target]] = {}
        for row in self._targets.values():
            if newest.get(row.entry.address) is row:
                by_service.setdefault(row.entry.service, []).append(row)
        self._by_service = by_service

    def _is_known(self, service: views.ServiceName) -> bool:
        return not self._services or service in self._services

    def _remove(self, target_id: ids.TargetId) -> None:
        entry = self._targets.pop(target_id).entry
        self._ended_entries.append(entry)
        if not self._loss.discard(target_id):
            self._history.record_removed(entry)
        self._revision += 1
        self._removed[target_id] = self._revision
        while len(self._removed) > _MAX_REMOVED:
            del self._removed[next(iter(self._removed))]
        logging.info("target gone target=%s", target_id)

    def _log_added(self) -> None:
        """Logs each added target, or only the number if there are many."""
        added = self._added
        self._added = []
        if len(added) > _MAX_ADDED_LINES:
            logging.info("targets found count=%d", len(added))
            return
        for entry in added:
            logging.info(
                "target found target=%s service=%s zone=%s layers=%s",
                entry.id,
                entry.service,
                entry.zone,
                entry.layers,
            )

    def _apply_entry(self, entry: sources.TargetEntry, read_s: float) -> None:
        self._loss.discard(entry.id)
        known = self._targets.get(entry.id)
        if known is None or known.entry.started_ms != entry.started_ms:
            if known is not None:
                self._ended_entries.append(known.entry)
            self._revision += 1
            target = targetstate.Target(entry, read_s, revision=self._revision)
            target.is_draining = self._draining.has(target.incarnation)
            self._targets[entry.id] = target
            self._removed.pop(entry.id, None)
            self._history.record_listed(entry.id)
            self._added.append(entry)
            return
        if known.entry.beat != entry.beat:
            known.beat_s = read_s
        if known.entry.state is not entry.state:
            logging.info(
                "target state target=%s state=%s", entry.id, entry.state.value
            )
        if _differs(known.entry, entry):
            self._revision += 1
            known.revision = self._revision
        known.entry = entry

    def add_listener(self, listener: collections.abc.Callable[[], None]):
        """Calls `listener` when a target fails or starts to drain.

        Only failures and drain signals that this instance itself sees count,
        not those that peers report.
        """
        self._listeners.append(listener)

    def add_incarnation_end_listener(self, listener: EndListener) -> None:
        """Calls `listener` with the entry of each incarnation that ended."""
        self._end_listeners.append(listener)

    def add_read_listener(self, listener: ReadListener) -> None:
        """Calls `listener` after each read of the list of targets.

        It gets all entries if this instance has read the store, none if a peer
        has told what changed, and the time on the boot clock at which the read
        was sent.
        """
        self._read_listeners.append(listener)

    def _notify_ended(self) -> None:
        with self._lock:
            ended = self._ended_entries
            self._ended_entries = []
        for entry in ended:
            for listener in self._end_listeners:
                listener(entry)

    def suspicions(self) -> list[tuple[targetstate.Target, float]]:
        """Returns targets that failed here, with the seconds to avoid them.

        Failures that may be due to this instance's own links are left out.
        """
        now_s = clocks.boot_s()
        rows = []
        with self._lock:
            for target in self._targets.values():
                left_s = target.suspected_until_s - now_s
                if left_s <= 0:
                    continue
                others = self.of_service(target.entry.service)
                if not reachability.is_own_fault(target, others):
                    rows.append((target, left_s))
        return rows

    def merge_suspicion(
        self, target_id: ids.TargetId, started_ms: int, left_s: float
    ) -> None:
        """Blocks a target that failed for another instance.

        A report about another incarnation is ignored, and so is one about a
        target that made progress here in the last `_RECENT_ACTIVITY_S`.

        Args:
            target_id: The target.
            started_ms: Start of the incarnation that failed.
            left_s: Seconds for which the other instance still avoids it; at
                most `_MAX_BLOCK_S` are applied.
        """
        target = self.in_incarnation(target_id, started_ms)
        if target is None:
            return
        now_s = clocks.boot_s()
        if now_s - target.last_active_s < _RECENT_ACTIVITY_S:
            return
        if target.blocked_until_s <= now_s:
            target.failed_s = now_s
            logging.info(
                "target suspected by a peer target=%s for_s=%.1f",
                target_id,
                left_s,
            )
        self.block(target, min(left_s, _MAX_BLOCK_S))

    def record_draining(self, incarnation: incarnations.Incarnation) -> None:
        """Records that a target announced to this instance that it drains."""
        if not self._mark_draining(incarnation):
            return
        logging.info(
            "target leaving, announced by itself; no new requests target=%s "
            "lifetime=%d list_age_ms=%d",
            incarnation.target,
            incarnation.started_ms,
            self.age_s() * 1000,
        )
        for listener in self._listeners:
            listener()

    def merge_draining(self, rows: list[incarnations.Incarnation]) -> None:
        """Merges incarnations that drain according to other instances."""
        for row in rows:
            if self._mark_draining(row):
                logging.info(
                    "target leaving as a peer says target=%s lifetime=%d",
                    row.target,
                    row.started_ms,
                )

    def _mark_draining(self, incarnation: incarnations.Incarnation) -> bool:
        """Marks an incarnation as draining; returns whether that is new."""
        with self._lock:
            if not self._draining.add(incarnation):
                return False
            target = self._targets.get(incarnation.target)
            if target is not None and target.incarnation == incarnation:
                target.is_draining = True
        return True

    def recent_draining(self, for_s: float) -> list[incarnations.Incarnation]:
        """Returns incarnations that became known as draining recently.

        Args:
            for_s: Length of the period before now, in seconds.
        """
        with self._lock:
            return self._draining.recent(for_s)

    def mark_source_lost(self) -> None:
        """Records that neither the store nor peers provide the list.

        The table keeps its entries.
        """
        with self._lock:
            self._loss.begin(self.read_s)

    def age_s(self) -> float:
        """Returns the seconds since the list was read; infinite before."""
        if self.read_s is None:
            return float("inf")
        return clocks.boot_s() - self.read_s

    def get(self, target: ids.TargetId) -> targetstate.Target | None:
        """Returns a target by id, or None if it is unknown."""
        return self._targets.get(target)

    def in_incarnation(
        self, target_id: ids.TargetId, started_ms: int
    ) -> targetstate.Target | None:
        """Returns a target, or None if the incarnation has ended.

        Args:
            target_id: The target.
            started_ms: Start of the incarnation in Unix milliseconds.
        """
        target = self._targets.get(target_id)
        if target is None or target.entry.started_ms != started_ms:
            return None
        return target

    def services(self) -> list[views.ServiceName]:
        """Returns the services that have targets."""
        return list(self._by_service)

    def of_service(
        self, service: views.ServiceName
    ) -> list[targetstate.Target]:
        """Returns the targets of a service in any state.

        A target whose address a newer target has taken over is left out: it
        has ended, though its entry may still be listed.
        """
        return self._by_service.get(service, [])

    def usable(self, service: views.ServiceName) -> list[targetstate.Target]:
        """Returns targets that may get new requests.

        Blocked targets are returned only if all that are ready are blocked.
        """
        now_s = clocks.boot_s()
        ready = []
        free = []
        for target in self.of_service(service):
            if target.is_draining:
                continue
            if target.entry.state is not sources.TargetState.READY:
                continue
            ready.append(target)
            if target.blocked_until_s <= now_s:
                free.append(target)
        return free or ready

    def record_failure(self, target: targetstate.Target, reason: str) -> None:
        """Blocks a target for a time that doubles with each failure.

        The time starts at `_FIRST_BLOCK_S` and is at most `_MAX_BLOCK_S`.
        """
        with self._lock:
            # Requests that fail together count as one failure of the target.
            if clocks.boot_s() - target.failed_s > _FIRST_BLOCK_S:
                target.failures += 1
            block_s = _FIRST_BLOCK_S * 2 ** max(0, target.failures - 1)
            block_s = min(_MAX_BLOCK_S, block_s)
            target.failed_s = clocks.boot_s()
            target.blocked_until_s = target.failed_s + block_s
            target.suspected_until_s = target.blocked_until_s
        for listener in self._listeners:
            listener()
        logging.warning(
            "target blocked target=%s for_s=%.1f reason=%s",
            target.id,
            block_s,
            reason,
        )

    def record_invalid_response(
        self, target: targetstate.Target, reason: str
    ) -> None:
        """Records a response that was none; ejects a target with many."""
        rows = self._by_service.get(target.entry.service, [])
        with self._lock:
            ejection_s = ejection.record_invalid(target, rows)
        if not ejection_s:
            return
        self.block(target, ejection_s)
        logging.warning(
            "target ejected, single requests try it later target=%s "
            "for_s=%.1f invalid_responses=%d reason=%s",
            target.id,
            ejection_s,
            target.invalid_responses,
            reason,
        )

    def record_response(self, target: targetstate.Target) -> None:
        """Records a whole response, whatever it says; ends an ejection."""
        target.invalid_responses = 0

    def record_attempt(self, target: targetstate.Target) -> None:
        """Records that a request is sent, a trial if the target was ejected."""
        trial_s = ejection.trial_block_s(target)
        if trial_s:
            self.block(target, trial_s)

    def block(self, target: targetstate.Target, seconds: float) -> None:
        """Blocks a target for new requests for at least `seconds` from now."""
        until_s = clocks.boot_s() + seconds
        target.blocked_until_s = max(target.blocked_until_s, until_s)

    def record_success(self, target: targetstate.Target) -> None:
        """Resets the failure count and the block of a target."""
        target.failures = 0
        target.blocked_until_s = 0.0
        target.suspected_until_s = 0.0


def _differs(old: sources.TargetEntry, new: sources.TargetEntry) -> bool:
    """Whether two entries differ in more than their heartbeat counter."""
    return msgspec.structs.replace(old, beat=new.beat) != new
