"""Tells crashes of targets from lost responses."""

import collections
import threading

import msgspec

from briarfall import ids
from briarfall.gateway import calls
from briarfall.gateway import clocks
from briarfall.gateway import crashes
from briarfall.gateway import evidence
from briarfall.gateway import sources
from briarfall.gateway import targets

# A target that ends so long after it broke a request off ended with it; the
# entry of a target that crashed lapses after some beats.
_SETTLE_S = 10.0
_MAX_OPEN = 500


class _OpenCase(msgspec.Struct, frozen=True):
    """A request that was broken off by a target that may have ended."""

    crash: crashes.Crash
    cut_s: float


class CrashDetector:
    """Notes the targets that ended while they ran a request.

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
        self._open: collections.deque[_OpenCase] = collections.deque(
            maxlen=_MAX_OPEN
        )
        table.add_end_listener(self._settle)

    def note_cut(
        self,
        call: calls.Call,
        target: ids.TargetId,
        started_ms: int,
        reach: evidence.Reach,
    ) -> None:
        """Takes in that a target broke off a request.

        Args:
            call: The request.
            target: The target.
            started_ms: Its lifetime when the request was sent.
            reach: How the target answers an attempt to connect since.
        """
        crash = crashes.Crash(crashes.fingerprint(call), target, started_ms)
        known = self._targets.get(target)
        has_ended = known is None or known.entry.started_ms != started_ms
        if has_ended or reach is evidence.Reach.REFUSED:
            self._crashes.note(crash)
            return
        if known.entry.state is sources.TargetState.LEAVING:
            return
        with self._lock:
            self._open.append(_OpenCase(crash, clocks.boot_s()))

    def _settle(self, ended: sources.TargetEntry) -> None:
        """Notes the crashes of a lifetime that has ended."""
        oldest_s = clocks.boot_s() - _SETTLE_S
        found = []
        with self._lock:
            for case in list(self._open):
                if case.cut_s < oldest_s:
                    self._open.remove(case)
                    continue
                lifetime = (case.crash.target, case.crash.started_ms)
                if lifetime == (ended.id, ended.started_ms):
                    self._open.remove(case)
                    found.append(case.crash)
        for crash in found:
            self._crashes.note(crash)
