"""Checks of requests to draining, backing-off and crashed targets."""

from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import services
from briarfall.standins.prepared.faultsoak import callers
from briarfall.standins.prepared.faultsoak import records

DRAINING_BOUND_S = 2.0
BACKOFF_GRACE_S = 0.5
MAX_IN_BACKOFF = 2
MAX_CRASHES = 3
MAX_RETRIES = 3
# An instance that ran undisturbed for this time has the state of its peers.
STABLE_S = 3.0


class TargetChecker:
    """Checks the requests that reached targets against their signals.

    Args:
        outcomes: Request outcomes that callers recorded.
        disturbed: Periods in which instances were paused, killed or restarted.
    """

    def __init__(
        self,
        outcomes: list[callers.RequestOutcome],
        disturbed: list[records.Disturbance],
    ):
        self._outcomes = {row.id: row for row in outcomes}
        self._disturbed = disturbed

    def check(self, target) -> list[str]:
        """Returns the requests that the target should not have received."""
        broken = []
        for signal in target.signals:
            outcome = self._outcomes.get(signal.request_id)
            if outcome is None:
                continue
            later = self._later_arrivals(target, signal, outcome.instance)
            if signal.is_draining:
                broken += self._check_draining(target, signal, later)
            broken += _check_backoff(target, signal, later)
        return broken

    def _later_arrivals(
        self, target, signal: registeredtarget.TargetSignal, instance: str
    ) -> list[registeredtarget.Arrival]:
        """Returns arrivals from an instance after a signal to it."""
        found = []
        for row in target.arrivals:
            outcome = self._outcomes.get(row.request_id)
            if outcome is None or outcome.instance != instance:
                continue
            if (
                row.incarnation != signal.incarnation
                or row.time_s <= signal.time_s
            ):
                continue
            if not self._is_disturbed(instance, signal.time_s, row.time_s):
                found.append(row)
        return found

    def _check_draining(
        self,
        target,
        signal: registeredtarget.TargetSignal,
        later: list[registeredtarget.Arrival],
    ) -> list[str]:
        broken = []
        for row in later:
            sent_s = self._outcomes[row.request_id].sent_s
            if sent_s > signal.time_s + DRAINING_BOUND_S:
                broken.append(f"{row.request_id}: sent to draining {target.id}")
        return broken

    def check_poison(
        self, marker: str, targets: list[services.ServiceStandin]
    ) -> list[str]:
        """Returns a violation if a poison request was sent too often.

        Args:
            marker: Beginning of the ids of the poison request.
            targets: The services that it can crash.
        """
        crashed_s = sorted(
            time_s for target in targets for time_s in target.crashed_s
        )
        if len(crashed_s) < MAX_CRASHES:
            return []
        since_s = crashed_s[MAX_CRASHES - 1] + STABLE_S
        late = []
        for target in targets:
            for row in target.arrivals:
                outcome = self._outcomes.get(row.request_id)
                if outcome is None or not row.request_id.startswith(marker):
                    continue
                if row.time_s < since_s:
                    continue
                begin_s = row.time_s - STABLE_S
                if not self._is_disturbed(
                    outcome.instance, begin_s, row.time_s
                ):
                    late.append(row.request_id)
        if len(late) <= MAX_RETRIES:
            return []
        return [
            f"poison request sent {len(late)} times after {MAX_CRASHES} "
            f"crashes: {late[:5]}"
        ]

    def _is_disturbed(
        self, instance: str, start_s: float, end_s: float
    ) -> bool:
        for row in self._disturbed:
            if row.instance != instance:
                continue
            if row.start_s <= end_s and row.end_s >= start_s:
                return True
        return False


def _check_backoff(
    target,
    signal: registeredtarget.TargetSignal,
    later: list[registeredtarget.Arrival],
) -> list[str]:
    early_s = signal.time_s + BACKOFF_GRACE_S
    end_s = signal.time_s + signal.backoff_s
    count = sum(1 for row in later if early_s < row.time_s < end_s)
    if count <= MAX_IN_BACKOFF:
        return []
    return [f"{target.id}: {count} requests during its backoff"]
