"""What targets may be sent after they leave, want quiet or have crashed."""

import msgspec

from briarfall.standins.prepared import registered
from briarfall.standins.prepared import services
from briarfall.standins.prepared.faultsoak import callers

LEAVING_BOUND_S = 2.0
QUIET_GRACE_S = 0.5
MAX_IN_QUIET = 2
MAX_CRASHES = 3
MAX_RETRIES = 3
# An instance that ran undisturbed for so long knows what others know.
STABLE_S = 3.0


class Disturbance(msgspec.Struct, frozen=True):
    """A time in which an instance did not run as usual.

    Attributes:
        instance: Its name.
        start_s: Begin.
        end_s: End.
    """

    instance: str
    start_s: float
    end_s: float


class Witness:
    """Judges what reached targets by what callers and targets wrote down.

    Args:
        told: What callers were told.
        disturbed: When instances did not run as usual.
    """

    def __init__(self, told: list[callers.Told], disturbed: list[Disturbance]):
        self._told = {row.id: row for row in told}
        self._disturbed = disturbed

    def check(self, target) -> list[str]:
        """Returns what came to a target that should not have come."""
        broken = []
        for notice in target.notices:
            told = self._told.get(notice.request_id)
            if told is None:
                continue
            later = self._later_arrivals(target, notice, told.instance)
            if notice.is_leaving:
                broken += self._check_leaving(target, notice, later)
            broken += _check_quiet(target, notice, later)
        return broken

    def _later_arrivals(
        self, target, notice: registered.Notice, instance: str
    ) -> list[registered.Arrival]:
        """Returns what came from an instance after a notice to it."""
        found = []
        for row in target.arrivals:
            told = self._told.get(row.request_id)
            if told is None or told.instance != instance:
                continue
            if row.born != notice.born or row.time_s <= notice.time_s:
                continue
            if not self._is_disturbed(instance, notice.time_s, row.time_s):
                found.append(row)
        return found

    def _check_leaving(
        self,
        target,
        notice: registered.Notice,
        later: list[registered.Arrival],
    ) -> list[str]:
        broken = []
        for row in later:
            sent_s = self._told[row.request_id].sent_s
            if sent_s > notice.time_s + LEAVING_BOUND_S:
                broken.append(f"{row.request_id}: sent to leaving {target.id}")
        return broken

    def check_poison(
        self, marker: str, targets: list[services.ServiceStandin]
    ) -> list[str]:
        """Returns how a request that crashes targets was sent too often."""
        crashed_s = sorted(
            time_s for target in targets for time_s in target.crashed_s
        )
        if len(crashed_s) < MAX_CRASHES:
            return []
        since_s = crashed_s[MAX_CRASHES - 1] + STABLE_S
        late = []
        for target in targets:
            for row in target.arrivals:
                told = self._told.get(row.request_id)
                if told is None or not row.request_id.startswith(marker):
                    continue
                if row.time_s < since_s:
                    continue
                begin_s = row.time_s - STABLE_S
                if not self._is_disturbed(told.instance, begin_s, row.time_s):
                    late.append(row.request_id)
        if len(late) <= MAX_RETRIES:
            return []
        return [f"poison sent {len(late)} times more: {late[:5]}"]

    def _is_disturbed(
        self, instance: str, start_s: float, end_s: float
    ) -> bool:
        for row in self._disturbed:
            if row.instance != instance:
                continue
            if row.start_s <= end_s and row.end_s >= start_s:
                return True
        return False


def _check_quiet(
    target, notice: registered.Notice, later: list[registered.Arrival]
) -> list[str]:
    early_s = notice.time_s + QUIET_GRACE_S
    end_s = notice.time_s + notice.quiet_s
    count = sum(1 for row in later if early_s < row.time_s < end_s)
    if count <= MAX_IN_QUIET:
        return []
    return [f"{target.id}: {count} requests while it wanted none"]
