"""Distinguishes crashes of targets from lost responses."""

import collections
import threading

import msgspec

from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway.calls import calls
from briarfall.gateway.catalogue import sources
from briarfall.gateway.crashes import alibis
from briarfall.gateway.crashes import crashes
from briarfall.gateway.crashes import crashevidence
from briarfall.gateway.targets import incarnations
from briarfall.gateway.targets import liveness
from briarfall.gateway.targets import targets

# A target that ends within this time after it interrupted a request is taken to
# have crashed because of the request. The time is long because the entry of a
# crashed target expires only after some heartbeats.
_PENDING_S = 10.0
_MAX_PENDING = 500


class _PendingCase(msgspec.Struct, frozen=True):
    """An interrupted request whose target may or may not have ended.

    Attributes:
        incarnation: The target as it was when it got the request.
        crashes: The crashes to record if the target has ended, one for each
            suspect.
        cut_s: Time on the boot clock of the interruption.
    """

    incarnation: incarnations.Incarnation
    crashes: list[crashevidence.Crash]
    cut_s: float


class CrashDetector:
    """Records crashes: targets that ended while they ran a request.

    Args:
        crash_table: Requests that crashed their targets.
        table: Targets.
    """

    def __init__(
        self, crash_table: crashes.CrashTable, table: targets.TargetTable
    ):
        self._crashes = crash_table
        self._targets = table
        self._lock = threading.Lock()
        # Used by the thread that reads the list of targets.
        self._alibis = alibis.Alibis()
        self._pending: collections.deque[_PendingCase] = collections.deque(
            maxlen=_MAX_PENDING
        )
        table.add_incarnation_end_listener(self._resolve)
        table.add_read_listener(self._withdraw_disproven)

    def record_interruption(
        self,
        call: calls.Call,
        target: ids.TargetId,
        started_ms: int,
        reachability: liveness.Reachability,
        *,
        has_begun: bool = False,
    ) -> None:
        """Records that a target interrupted a request.

        Args:
            call: The request.
            target: The target.
            started_ms: Start, in Unix milliseconds, of the incarnation to which
                the request was sent.
            reachability: Result of connecting to the target afterwards.
            has_begun: Whether the answer was under way, so that no part
                of the prompt is suspected.
        """
        suspects = [crashes.fingerprint(call)]
        if not has_begun:
            suspects.extend(crashes.shared_parts(call))
        found = [
            crashevidence.Crash(suspect, target, started_ms)
            for suspect in suspects
        ]
        known = self._targets.in_incarnation(target, started_ms)
        if known is None or reachability is liveness.Reachability.REFUSED:
            self._record(found)
            return
        if known.entry.state is sources.TargetState.DRAINING:
            return
        with self._lock:
            self._pending.append(
                _PendingCase(
                    incarnations.Incarnation(target, started_ms),
                    found,
                    clocks.boot_s(),
                )
            )

    def _resolve(self, ended: sources.TargetEntry) -> None:
        """Records the pending crashes of an incarnation that has ended."""
        oldest_s = clocks.boot_s() - _PENDING_S
        confirmed = []
        incarnation = incarnations.Incarnation(ended.id, ended.started_ms)
        with self._lock:
            for case in list(self._pending):
                if case.cut_s < oldest_s:
                    self._pending.remove(case)
                    continue
                if case.incarnation == incarnation:
                    self._pending.remove(case)
                    confirmed.extend(case.crashes)
        self._record(confirmed)

    def _withdraw_disproven(
        self, entries: list[sources.TargetEntry], read_s: float
    ) -> None:
        """Withdraws crashes of targets whose entries show that they live."""
        if not self._crashes.has_crashes:
            return
        alive = self._alibis.find(
            self._crashes.crashed_s(),
            {entry.id: entry for entry in entries},
            read_s,
            self._answered_s,
        )
        if alive:
            self._crashes.withdraw(alive)

    def _answered_s(
        self, incarnation: incarnations.Incarnation
    ) -> float | None:
        target = self._targets.in_incarnation(
            incarnation.target, incarnation.started_ms
        )
        return None if target is None else target.answered_s

    def _record(self, found: list[crashevidence.Crash]) -> None:
        for crash in found:
            self._crashes.record(crash)
