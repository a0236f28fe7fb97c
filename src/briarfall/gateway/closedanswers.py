"""Distinguishes complete answers without a length from those cut by a crash."""

from briarfall import ids
from briarfall.gateway import dialing
from briarfall.gateway import liveness
from briarfall.gateway import targetconnection
from briarfall.gateway import targets

_ENDED = (
    liveness.Reachability.REFUSED,
    liveness.Reachability.UNRESPONSIVE,
)


def check_complete(
    table: targets.TargetTable,
    target_id: ids.TargetId,
    address: str,
    started_ms: int,
    dialer: dialing.Dialer = dialing.SYSTEM_DIALER,
) -> None:
    """Checks that a target that closed an answer without a length still runs.

    The system also closes the connections of a process that has crashed, so
    that the end of such an answer alone does not tell whether it is complete.

    Args:
        table: Targets.
        target_id: The target.
        address: Its address.
        started_ms: Start of the incarnation that answered, in Unix
            milliseconds.
        dialer: Opens the connection that checks it.

    Raises:
        BrokenExchangeError: The target has ended without draining first.
    """
    target = table.in_incarnation(target_id, started_ms)
    if target is not None:
        if not target.accepts_requests:
            return
        if liveness.probe_target(address, dialer=dialer) not in _ENDED:
            return
    raise targetconnection.BrokenExchangeError(
        f"{address}: ended with its answer", saw_response=True
    )
