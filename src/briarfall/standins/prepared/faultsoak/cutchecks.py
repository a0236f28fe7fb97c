"""Checks that callers of cut instances are served as others are."""

from briarfall.standins.prepared.faultsoak import callers
from briarfall.standins.prepared.faultsoak import records

# Time from the start of a cut until its instances serve again.
_STABLE_S = 3.0
_MIN_SHARE = 2 / 3
_ALLOWED_FAILURES = 10
_ALLOWED_PER_REQUEST = 1 / 50


def check(
    done: records.Records, outcomes: list[callers.RequestOutcome]
) -> list[str]:
    """Returns a line for each cut whose instances served far worse."""
    broken = []
    for cut in done.cuts:
        broken += _check_cut(done, cut, outcomes)
    return broken


def _check_cut(
    done: records.Records,
    cut: records.InstanceCut,
    outcomes: list[callers.RequestOutcome],
) -> list[str]:
    inside = _Count()
    outside = _Count()
    for row in outcomes:
        if not cut.start_s + _STABLE_S <= row.sent_s <= cut.end_s:
            continue
        if _is_disturbed(done, row):
            continue
        if row.instance in cut.instances:
            inside.add(row)
        elif not _is_cut(done, row):
            outside.add(row)
    if not inside.sent or not outside.sent:
        return []
    failed = inside.sent - inside.served
    total = inside.sent + outside.sent
    if failed <= _ALLOWED_FAILURES + total * _ALLOWED_PER_REQUEST:
        return []
    if inside.share >= _MIN_SHARE * outside.share:
        return []
    names = ",".join(sorted(cut.instances))
    return [
        f"cut {cut.kind.value} of {names}: {inside.served} of {inside.sent} "
        f"served, at others {outside.served} of {outside.sent}"
    ]


class _Count:
    """First tries and those that were served."""

    def __init__(self):
        self.sent = 0
        self.served = 0

    def add(self, row: callers.RequestOutcome) -> None:
        """Counts one request."""
        self.sent += 1
        self.served += row.status == 200 and row.is_complete

    @property
    def share(self) -> float:
        """Share that was served."""
        return self.served / self.sent


def _is_cut(done: records.Records, row: callers.RequestOutcome) -> bool:
    """Whether the instance of a request was cut shortly before it or in it."""
    for cut in done.cuts:
        if row.instance not in cut.instances:
            continue
        if cut.start_s <= row.ended_s and cut.end_s + _STABLE_S >= row.sent_s:
            return True
    return False


def _is_disturbed(done: records.Records, row: callers.RequestOutcome) -> bool:
    for period in done.disturbed:
        if period.instance != row.instance:
            continue
        if period.start_s > row.ended_s:
            continue
        if period.end_s + _STABLE_S >= row.sent_s:
            return True
    return False
