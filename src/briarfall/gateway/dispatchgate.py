"""Dispatch gate: the only place from which requests may go to targets."""

from briarfall import exceptions
from briarfall.gateway import budgets
from briarfall.gateway import calls
from briarfall.gateway import crashes
from briarfall.gateway import targetbackoff
from briarfall.gateway import targetstate


class TargetAvoidedError(exceptions.TargetError):
    """The chosen target has stopped accepting requests in the meantime."""

    code = "target_avoided"
    outcome = exceptions.Outcome.NOT_RUN


class DispatchGate:
    """Decides whether a request may be sent to a target, and counts attempts.

    Plain calls, streams, retries and rerouted chains all pass this gate, so
    that no code path to a target lacks one of the checks.

    Args:
        budget: Bound on retries.
        crash_table: Requests that crashed their targets.
    """

    def __init__(
        self,
        budget: budgets.RetryBudget,
        crash_table: crashes.CrashTable,
    ):
        self._budget = budget
        self._crashes = crash_table

    def check(self, call: calls.Call) -> None:
        """Raises if a request is a poison request, which no target may run.

        Raises:
            PoisonError: The request has crashed too many targets.
        """
        if not self._crashes.has_poison:
            return
        request = crashes.fingerprint(call)
        if not self._crashes.is_poison(request):
            return
        self._crashes.renew_poison(request)
        count = self._crashes.count(request)
        raise exceptions.PoisonError(
            "the request has crashed the targets that ran it: "
            f"fingerprint={request} crashes={count}"
        )

    def record_survived(self, call: calls.Call) -> None:
        """Records that a target completed a request without a crash."""
        if self._crashes.has_crashes:
            self._crashes.record_survived(crashes.fingerprint(call))

    def start_attempt(
        self, call: calls.Call, target: targetstate.Target
    ) -> None:
        """Checks that a request may be sent to a target; counts the attempt.

        Raises:
            PoisonError: The request has crashed too many targets.
            TargetAvoidedError: The target drains or is in backoff.
            RetryBudgetError: The attempt is a retry, and the retry budget is
                used up.
        """
        self.check(call)
        if not target.accepts_requests or target.is_in_backoff:
            raise TargetAvoidedError(f"{target.id}: takes no requests")
        if call.attempt_count and not self._budget.take_retry():
            raise exceptions.RetryBudgetError(
                "the retry budget is used up", outcome=call.outcome
            )
        targetbackoff.clear_backoff(target)
        call.attempt_count += 1
