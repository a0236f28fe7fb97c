"""Distinguishes complete answers without a length from those cut by a crash.

Such an answer ends with its connection. The system also closes the connections
of a process that has crashed, so that the end alone does not tell.
"""

import collections.abc
import enum

from absl import logging
import msgspec

from briarfall.gateway import clocks
from briarfall.gateway.calls import calls
from briarfall.gateway.catalogue import sources
from briarfall.gateway.exchanges import connections
from briarfall.gateway.exchanges import messages
from briarfall.gateway.exchanges import targetconnection
from briarfall.gateway.exchanges import witnesses
from briarfall.gateway.targets import liveness
from briarfall.gateway.targets import targets

# Longest wait for evidence. A sound target may be hard to reach for a second or
# so; callers give a silent stream up after two.
_MAX_WAIT_S = 1.5
_PROBE_INTERVAL_S = 0.1
# Time after the end of an answer until the end of its process would have closed
# the witness of a target that is to end after its last answer.
_LEAVING_CLOSE_LAG_S = 0.05


class Verdict(enum.Enum):
    """Whether the process that sent an answer still runs.

    Attributes:
        RUNS: It runs, so that its answer is complete.
        ENDED: It has ended, which may have cut the answer.
        UNPROVEN: It refuses connections, as it did while the answer went on or
            as it does before its planned end; nothing shows that it has cut
            the answer.
        UNKNOWN: Nothing found yet says which.
    """

    RUNS = "runs"
    ENDED = "ended"
    UNPROVEN = "unproven"
    UNKNOWN = "unknown"


def judge(
    reachability: liveness.Reachability,
    witness: witnesses.WitnessState,
    since_end_s: float,
    *,
    others: connections.OtherConnections = connections.OtherConnections.UNKNOWN,
    is_leaving: bool = False,
) -> Verdict:
    """Judges whether the process that ended an answer still runs.

    Args:
        reachability: Result of the newest attempt to connect.
        witness: The second connection, opened while the answer was under way.
        since_end_s: Seconds since the end of the answer.
        others: The other connections to the target.
        is_leaving: Whether the target was to end after its last answers.
    """
    is_late = since_end_s >= witnesses.CLOSE_LAG_S
    if reachability is liveness.Reachability.OPEN:
        return Verdict.RUNS
    if witness is witnesses.WitnessState.OPEN:
        if is_leaving and since_end_s >= _LEAVING_CLOSE_LAG_S:
            return Verdict.RUNS
        return Verdict.RUNS if is_late else Verdict.UNKNOWN
    if others is connections.OtherConnections.OPEN:
        return Verdict.RUNS if is_late else Verdict.UNKNOWN
    if reachability is liveness.Reachability.REFUSED:
        if witness is witnesses.WitnessState.CLOSED:
            return Verdict.ENDED
        if others is connections.OtherConnections.CUT:
            return Verdict.ENDED
    if is_leaving and is_late and witness is witnesses.WitnessState.MISSING:
        return Verdict.UNPROVEN
    return Verdict.UNKNOWN


class _Evidence(msgspec.Struct, frozen=True):
    """What one look at a target has shown, and the judgement of it."""

    reachability: liveness.Reachability
    witness: witnesses.WitnessState
    others: connections.OtherConnections
    verdict: Verdict


class CompletionCheck:
    """Checks at the end of an answer without a length that it is complete.

    Created when the answer begins, and closed after its end.

    Args:
        table: Targets.
        entry: The target that answers.
        conn: The connection on which it answers.
        pool: Connections to targets.
        idle_limit_s: Time after which the target closes idle connections.
    """

    def __init__(
        self,
        table: targets.TargetTable,
        entry: sources.TargetEntry,
        conn: targetconnection.TargetConnection,
        pool: connections.ConnectionPool,
        idle_limit_s: float,
    ):
        self._table = table
        self._entry = entry
        self._conn = conn
        self._pool = pool
        self._answer = pool.witnesses.watch(conn, idle_limit_s)
        self._witness = pool.witnesses.of(self._answer)

    def close(self) -> None:
        """Ends the watch over the target."""
        self._pool.witnesses.release(self._answer)

    def record_progress(self) -> None:
        """Records that the answer goes on.

        A witness that was closed while the answer went on says nothing of its
        end: the target has closed it as idle, or had too many.
        """
        self._witness.record_piece(self._answer)

    def run(
        self,
        call: calls.Call,
        can_continue: collections.abc.Callable[[], bool] = lambda: False,
    ) -> None:
        """Waits until it is known whether the ended answer is complete.

        The caller's disconnection and its deadline end the wait.

        Args:
            call: The request that was answered.
            can_continue: Tells whether another target can go on where the
                answer ended, so that an unproven end need not be taken as
                complete.

        Raises:
            BrokenExchangeError: The process has ended, or nothing shows that
                it still runs.
            CallerGoneError: The caller has left.
        """
        end_s = clocks.boot_s()
        cut_since_s = self._answer.last_open_s - witnesses.CLOSE_LAG_S
        is_leaving = self._is_leaving()
        until_s = min(call.deadline_s, end_s + _MAX_WAIT_S)
        interval_s = _LEAVING_CLOSE_LAG_S if is_leaving else _PROBE_INTERVAL_S
        was_refused = False
        while True:
            found = self._look(end_s, cut_since_s, is_leaving=is_leaving)
            was_refused |= found.reachability is liveness.Reachability.REFUSED
            now_s = clocks.boot_s()
            if found.verdict is not Verdict.UNKNOWN or now_s >= until_s:
                break
            call.watch.pause(min(interval_s, until_s - now_s))
        verdict = self._conclude(found, was_refused=was_refused)
        evidence = (
            f"verdict={verdict.value} reach={found.reachability.value} "
            f"refused={was_refused} witness={found.witness.value} "
            f"others={found.others.value} leaving={is_leaving} "
            f"waited_ms={(now_s - end_s) * 1000:.0f}"
        )
        logging.info(
            "answer without a length ended request=%s target=%s %s",
            call.request_id,
            self._entry.id,
            evidence,
        )
        if verdict is Verdict.RUNS:
            return
        if verdict is Verdict.UNPROVEN and not can_continue():
            return
        raise targetconnection.BrokenExchangeError(
            f"{self._entry.address}: ended with its answer ({evidence})",
            saw_response=True,
        )

    def _look(
        self, end_s: float, cut_since_s: float, *, is_leaving: bool
    ) -> _Evidence:
        """Probes the target and looks at the connections to it."""
        reachability = liveness.probe_target(
            self._entry.address, dialer=self._pool.dialer
        )
        witness = self._witness.state(self._answer)
        others = self._pool.others(self._conn, cut_since_s)
        verdict = Verdict.ENDED
        if not self._is_replaced():
            verdict = judge(
                reachability,
                witness,
                clocks.boot_s() - end_s,
                others=others,
                is_leaving=is_leaving,
            )
        return _Evidence(reachability, witness, others, verdict)

    def _conclude(self, found: _Evidence, *, was_refused: bool) -> Verdict:
        """Returns the verdict at the end of the wait."""
        if found.verdict is not Verdict.UNKNOWN:
            return found.verdict
        if found.witness is witnesses.WitnessState.CLOSED:
            return Verdict.ENDED
        if not was_refused:
            # A machine that went dark could not have closed the connection.
            return Verdict.RUNS
        if self._witness.has_outlived_refusal(self._answer):
            return Verdict.UNPROVEN
        return Verdict.UNKNOWN

    def _is_leaving(self) -> bool:
        """Whether the target was to end after its last answers.

        A planned end may also begin with the removal of the entry. That of a
        target that lives on lapses when its heartbeats don't arrive.
        """
        target = self._table.get(self._entry.id)
        if target is None:
            return True
        return not self._is_replaced() and not target.accepts_requests

    def _is_replaced(self) -> bool:
        """Whether a later incarnation of the target is listed."""
        target = self._table.get(self._entry.id)
        return target is not None and (
            target.entry.started_ms != self._entry.started_ms
        )


def check_of(
    method: bytes,
    head: messages.ResponseHead,
    entry: sources.TargetEntry,
    table: targets.TargetTable,
    conn: targetconnection.TargetConnection,
    pool: connections.ConnectionPool,
) -> CompletionCheck | None:
    """Returns what checks the end of a response; None if nothing has to.

    Only a body that has no length is checked, of a success or a failure.

    Args:
        method: Method of the request.
        head: Head of the response.
        entry: The target that answers.
        table: Targets.
        conn: The connection on which it answers.
        pool: Connections to targets.
    """
    if method == b"HEAD" or not head.ends_with_connection:
        return None
    idle_limit_s = min(
        conn.idle_limit_s, targetconnection.keep_alive_s(head.headers)
    )
    return CompletionCheck(table, entry, conn, pool, idle_limit_s)
