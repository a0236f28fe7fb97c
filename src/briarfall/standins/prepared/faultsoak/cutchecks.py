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
    """Returns a line for each cut whose instances served far worse.

    Requests that reached no instance tell nothing of any.
    """
    reached = [row for row in outcomes if row.instance]
    broken = []
    for cut in done.cuts:
        broken += _check_cut(done, cut, reached)
    return broken


def _check_cut(
    done: records.Records,
    cut: records.InstanceCut,
    outcomes: list[callers.RequestOutcome],
) -> list[str]:
    inside = _Count()
    outside = _Count()
    peers = {row.instance for row in outcomes} - cut.instances
    for row in outcomes:
        if not cut.start_s + _STABLE_S <= row.sent_s <= cut.end_s:
            continue
        if _is_disturbed(done, row.instance, row):
            continue
        if row.instance in cut.instances:
            if _has_peer(done, peers, row):
                inside.add(row)
        elif not _is_cut(done, row.instance, row):
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


def _has_peer(
    done: records.Records, peers: set[str], row: callers.RequestOutcome
) -> bool:
    """Whether an instance with links ran undisturbed during a request.

    Without one, no other instance can serve the callers of a cut one either.
    """
    for peer in peers:
        if not _is_disturbed(done, peer, row) and not _is_cut(done, peer, row):
            return True
    return False


def _is_cut(
    done: records.Records, instance: str, row: callers.RequestOutcome
) -> bool:
    """Whether an instance was cut shortly before a request or during it."""
    for cut in done.cuts:
        if instance not in cut.instances:
            continue
        if cut.start_s <= row.ended_s and cut.end_s + _STABLE_S >= row.sent_s:
            return True
    return False


def _is_disturbed(
    done: records.Records, instance: str, row: callers.RequestOutcome
) -> bool:
    """Whether an instance was disturbed shortly before a request or in it."""
    for period in done.disturbed:
        if period.instance != instance:
            continue
        if period.start_s > row.ended_s:
            continue
        if period.end_s + _STABLE_S >= row.sent_s:
            return True
    return False
