"""The exceptions of the rule on lost requests, one predicate each."""

from briarfall.standins.prepared.faultsoak import callers
from briarfall.standins.prepared.faultsoak import processes
from briarfall.standins.prepared.faultsoak import requestfacts

# Time after its last byte in which a request may meet a planned close.
LOST_S = 0.2
# Share of its time after which a request may end as timed out.
_TIME_SHARE = 0.98
# Share of its time after which a cut beside a change doesn't count.
_USED_SHARE = 0.7
# Share of the grace after which a planned stop may cut what is at work.
_GRACE_SHARE = 5 / 6
# Latest time after SIGTERM at which such a request was sent.
_SENT_AFTER_STOP_S = 3.0


def is_out_of_time(
    facts: requestfacts.RequestFacts, row: callers.RequestOutcome
) -> bool:
    """Whether the time limit or the route's timeout was reached."""
    return row.ended_s - row.sent_s >= _TIME_SHARE * facts.limit_s(row)


def is_instance_impaired(
    facts: requestfacts.RequestFacts, row: callers.RequestOutcome
) -> bool:
    """Whether the instance was killed or paused during the request."""
    return facts.is_instance_impaired(row)


def is_target_impaired(
    facts: requestfacts.RequestFacts, row: callers.RequestOutcome
) -> bool:
    """Whether a target of the request broke off, hung or was down."""
    return facts.is_target_impaired(row)


def is_broken_by_cut(
    facts: requestfacts.RequestFacts, row: callers.RequestOutcome
) -> bool:
    """Whether a cut of the links began in the middle of the request."""
    return facts.is_broken_by_cut(row)


def crosses_planned_close(
    facts: requestfacts.RequestFacts, row: callers.RequestOutcome
) -> bool:
    """Whether the request met the close of a planned stop on its way."""
    if facts.targets(row) or row.status:
        return False
    if row.ended_s - row.written_s > LOST_S:
        return False
    return bool(facts.planned_stops(row))


def is_at_work_late_in_grace(
    facts: requestfacts.RequestFacts, row: callers.RequestOutcome
) -> bool:
    """Whether a target was still at work in the last sixth of the grace."""
    for stop in facts.planned_stops(row):
        late_s = stop.start_s + _GRACE_SHARE * processes.GRACE_S
        if row.ended_s < late_s:
            continue
        if row.sent_s > stop.start_s + _SENT_AFTER_STOP_S:
            continue
        if facts.is_worked_on_after(row, late_s):
            return True
    return False


def has_used_its_time(
    facts: requestfacts.RequestFacts, row: callers.RequestOutcome
) -> bool:
    """Whether the request used seven tenths of its time.

    This excuses a request only where cuts beside a change are compared.
    """
    return row.ended_s - row.sent_s >= _USED_SHARE * facts.limit_s(row)


# What excuses a lost request at any time.
ALL = (
    is_out_of_time,
    is_instance_impaired,
    is_target_impaired,
    is_broken_by_cut,
    crosses_planned_close,
    is_at_work_late_in_grace,
)
