"""The one place that lets a request go to a target."""

from briarfall import exceptions
from briarfall.gateway import budgets
from briarfall.gateway import calls
from briarfall.gateway import crashes
from briarfall.gateway import quiet
from briarfall.gateway import targetstate


class TargetAvoidedError(exceptions.TargetError):
    """A target that was chosen takes no requests any more."""

    code = "target_avoided"
    outcome = exceptions.Outcome.NOT_RUN


class SendGate:
    """Decides whether a request may be sent, and counts that it is.

    Plain calls, streams, repeats and changed chains all pass here, so that no
    way to a target lacks a safeguard.

    Args:
        budget: Bound on repeats.
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
        """Refuses a request that no further target may run.

        Raises:
            PoisonError: It has crashed too many targets.
        """
        if not self._crashes.has_poison:
            return
        request = crashes.fingerprint(call)
        if not self._crashes.is_poison(request):
            return
        self._crashes.note_refused(request)
        count = self._crashes.count(request)
        raise exceptions.PoisonError(
            "the request has crashed the targets that ran it: "
            f"fingerprint={request} crashes={count}"
        )

    def note_survived(self, call: calls.Call) -> None:
        """Notes that a target ran a request to its end."""
        if self._crashes.has_crashes:
            self._crashes.note_survived(crashes.fingerprint(call))

    def take_send(self, call: calls.Call, target: targetstate.Target) -> None:
        """Counts a send of a request to a target.

        Raises:
            PoisonError: It has crashed too many targets.
            TargetAvoidedError: The target takes no requests now.
            RetryBudgetError: It was sent before, and no repeat is left.
        """
        self.check(call)
        if not target.takes_work or target.is_quiet:
            raise TargetAvoidedError(f"{target.id}: takes no requests")
        if call.sends and not self._budget.take_repeat():
            raise exceptions.RetryBudgetError(
                "the retry budget is used up", outcome=call.outcome
            )
        quiet.note_send(target)
        call.sends += 1
