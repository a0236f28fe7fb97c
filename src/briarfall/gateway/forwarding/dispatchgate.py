"""Dispatch gate: the only place from which requests may go to targets."""

from absl import logging

from briarfall import exceptions
from briarfall.gateway import clocks
from briarfall.gateway.calls import budgets
from briarfall.gateway.calls import calls
from briarfall.gateway.catalogue import views
from briarfall.gateway.crashes import crashes
from briarfall.gateway.crashes import crashevidence
from briarfall.gateway.ratelimits import permits
from briarfall.gateway.scheduling import retries
from briarfall.gateway.targets import targetbackoff
from briarfall.gateway.targets import targetstate

# A trial usually ends within a second, and the caller's next attempt can run.
_MAX_RETRY_AFTER_S = 1.0


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
        permit_source: Permits to send requests to limited targets.
    """

    def __init__(
        self,
        budget: budgets.RetryBudget,
        crash_table: crashes.CrashTable,
        permit_source: permits.PermitSource,
    ):
        self._budget = budget
        self._crashes = crash_table
        self._permits = permit_source
        self._reserve = retries.RetryReserve()

    def check(self, call: calls.Call) -> None:
        """Raises if no target may run a request.

        Raises:
            PoisonError: The request, or a part of its prompt, has crashed too
                many targets.
        """
        if not self._crashes.has_poison:
            return
        parts = crashes.shared_parts(call)
        for suspect in [crashes.fingerprint(call), *parts]:
            if not self._crashes.is_poison(suspect):
                continue
            is_part = crashevidence.is_part(suspect)
            if is_part and self._crashes.tells_apart(suspect, parts):
                continue
            self._crashes.renew_poison(suspect)
            count = self._crashes.count(suspect)
            raise exceptions.PoisonError(
                "the request has crashed the targets that ran it: "
                f"fingerprint={suspect} crashes={count}"
            )

    def record_survived(self, call: calls.Call) -> None:
        """Records that a target completed a request without a crash."""
        if self._crashes.has_crashes or self._crashes.has_poison:
            self._crashes.record_survived(crashes.fingerprint(call))
        self.record_proven(call)

    def record_proven(self, call: calls.Call) -> None:
        """Records that a target wrote an answer on the request's prompt."""
        for part in crashes.shared_parts(call):
            self._crashes.record_proven(part)

    def _suspected_parts(
        self, call: calls.Call
    ) -> list[crashevidence.SuspectKey]:
        """Returns the parts for which the request would be a trial.

        Raises:
            HeldRequestError: Requests with one of the parts are held back.
        """
        if not self._crashes.has_crashes:
            return []
        suspected = []
        parts = crashes.shared_parts(call)
        for part in parts:
            if not self._crashes.is_suspected(part):
                continue
            held_s = self._crashes.held_s(part, parts)
            if held_s:
                raise _held_error(call, [part], held_s)
            suspected.append(part)
        return suspected

    def may_retry(self, call: calls.Call) -> bool:
        """Whether a request may be sent once more; counts nothing."""
        if not call.may_repeat:
            return False
        kept = self._kept(call)
        if self._budget.left() > kept:
            return True
        return bool(kept) and self._reserve.is_due and self._budget.has_retry()

    def _kept(self, call: calls.Call) -> int:
        """Returns how many retries are kept for others than a request."""
        return self._reserve.kept(
            _retry_need(call), self._budget.most(), clocks.boot_s()
        )

    def _check_budget(self, call: calls.Call) -> None:
        """Raises if no retry is left for a request; takes none.

        Raises:
            RetryBudgetError: None is left, or what is left is kept.
        """
        kept = self._kept(call)
        if self._budget.left() > kept:
            return
        if not kept or not self._budget.has_retry():
            raise _budget_error(call)
        if not self._reserve.passes():
            raise self._kept_error(call, kept)
        # The attempt follows at once, and may use the kept part.
        call.may_use_kept_retries = True

    def _take_retry(self, call: calls.Call) -> None:
        """Takes a retry of the budget.

        Raises:
            RetryBudgetError: None is left, or what is left is kept.
        """
        kept = 0 if call.may_use_kept_retries else self._kept(call)
        call.may_use_kept_retries = False
        if kept and self._budget.take_unkept(kept):
            return
        if not kept and self._budget.take_retry():
            return
        if not kept or not self._budget.has_retry():
            raise _budget_error(call)
        raise self._kept_error(call, kept)

    def _kept_error(
        self, call: calls.Call, kept: int
    ) -> exceptions.RetryBudgetError:
        need = _retry_need(call)
        logging.info(
            "retry held back request=%s urgency=%d started=%s in_time=%s "
            "left=%d kept=%d needs=left>%d",
            call.request_id,
            need.urgency,
            need.is_started,
            need.is_in_time,
            self._budget.left(),
            kept,
            kept,
        )
        return exceptions.RetryBudgetError(
            "the rest of the retry budget is kept for more urgent requests",
            outcome=call.outcome,
        )

    def admit(
        self, call: calls.Call, target: targetstate.Target
    ) -> permits.Permit:
        """Checks that a request may be sent to a target, before it connects.

        Raises:
            PoisonError: The request, or a part of its prompt, has crashed too
                many targets.
            HeldRequestError: Requests with a part of its prompt are held back.
            TargetAvoidedError: The target drains or is in backoff.
            TargetLimitedError: The target names a rate limit, and no permit
                is free.
            RetryBudgetError: The attempt is a retry, and the retry budget is
                used up.
        """
        self.check(call)
        self._suspected_parts(call)
        if call.attempt_count:
            self._check_budget(call)
        if not target.accepts_requests or target.is_in_backoff:
            raise TargetAvoidedError(f"{target.id}: takes no requests")
        return self._permits.take(call.request_id, target)

    def admits_query(
        self, call: calls.Call, target: targetstate.Target
    ) -> bool:
        """Whether a target may be asked for its report now.

        A query counts towards the target's rate limit as a request does.
        """
        if target.is_in_backoff:
            return False
        try:
            self._permits.take(call.request_id, target)
        except permits.TargetLimitedError as exc:
            logging.info(
                "report not queried request=%s: %s",
                call.request_id,
                exc.message,
            )
            return False
        return True

    def start_attempt(
        self,
        call: calls.Call,
        target: targetstate.Target,
        permit: permits.Permit | None = None,
    ) -> None:
        """Checks that a request may be sent to a target; counts the attempt.

        Args:
            call: The request.
            target: The target.
            permit: What `admit` returned; it is called if there is none.

        Raises:
            BriarfallError: One of the errors of `admit`.
        """
        if permit is None:
            permit = self.admit(call, target)
        permit.check()
        call.check_repeat()
        # Time has passed in which the permit was asked for and the connection
        # was opened.
        self.check(call)
        suspected = self._suspected_parts(call)
        if not target.accepts_requests or target.is_in_backoff:
            raise TargetAvoidedError(f"{target.id}: takes no requests")
        if call.attempt_count:
            self._take_retry(call)
        else:
            self._reserve.record(call.urgency, clocks.boot_s())
        self._start_trials(call, suspected)
        targetbackoff.clear_backoff(target)
        call.record_send()
        call.attempt_count += 1
        call.sent_to.append(target.id)
        if not call.may_repeat:
            logging.info(
                "request that may run once sent request=%s target=%s "
                "lifetime=%d version=%s sends=%d",
                call.request_id,
                target.id,
                target.entry.started_ms,
                call.version,
                call.attempt_count,
            )

    def _start_trials(
        self, call: calls.Call, suspected: list[crashevidence.SuspectKey]
    ) -> None:
        """Makes a request the only trial of its suspected parts.

        Raises:
            HeldRequestError: Another request has started one in the meantime.
        """
        if not suspected:
            return
        parts = crashes.shared_parts(call)
        held_s = self._crashes.start_trials(suspected, parts)
        if held_s:
            raise _held_error(call, suspected, held_s)


def _held_error(
    call: calls.Call,
    parts: list[crashevidence.SuspectKey],
    held_s: float,
) -> exceptions.HeldRequestError:
    return exceptions.HeldRequestError(
        "a part of the prompt is suspected of crashing targets: "
        f"fingerprint={','.join(parts)} for_s={held_s:.1f}",
        outcome=call.outcome,
        retry_after_s=min(held_s, _MAX_RETRY_AFTER_S),
    )


def _retry_need(call: calls.Call) -> retries.RetryNeed:
    """Returns what the loss of a request would cost its caller."""
    is_started = call.conn is not None and call.conn.has_sent_head
    if call.relayed is not None and call.relayed.runs:
        # The peer whose caller it is does not tell whether it has begun.
        is_started = call.route.kind is views.RouteKind.STREAM
    aim_s = call.route.first_byte_slo_s
    is_in_time = is_started or aim_s <= 0 or call.age_s < aim_s
    return retries.RetryNeed(call.urgency, is_started, is_in_time)


def _budget_error(call: calls.Call) -> exceptions.RetryBudgetError:
    return exceptions.RetryBudgetError(
        "the retry budget is used up", outcome=call.outcome
    )
