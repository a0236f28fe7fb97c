"""Lets calls to plain services in by what their targets have room for."""

import threading

from absl import logging

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway import metrics
from briarfall.gateway import retryafter
from briarfall.gateway.calls import calls
from briarfall.gateway.crashes import crashes
from briarfall.gateway.forwarding import plainexchanges
from briarfall.gateway.scheduling import answertimes
from briarfall.gateway.scheduling import returns
from briarfall.gateway.scheduling import slots
from briarfall.gateway.targets import loads
from briarfall.gateway.targets import targets
from briarfall.gateway.targets import targetstate

# Lowest HTTP status of an answer that says nothing about the time of the work:
# a target that refuses a request does no work for it.
_FIRST_FAILURE_STATUS = 400
_MAX_SERVICES = 1024


class PlainAdmission:
    """Decides whether calls to plain services are sent, and remembers refusals.

    Args:
        table: Targets.
        load_table: Load that all instances put on targets.
        return_times: Tells refused callers when to return.
        counters: Metrics, or None.
    """

    def __init__(
        self,
        table: targets.TargetTable,
        load_table: loads.LoadTable,
        return_times: returns.ReturnTimes,
        counters: metrics.Metrics | None = None,
    ):
        self._targets = table
        self._loads = load_table
        self._returns = return_times
        self._metrics = counters
        self._lock = threading.Lock()
        self._services: dict[ids.EntryName, slots.ServiceSlots] = {}
        self._times = answertimes.AnswerTimes()
        self._refused = returns.RefusedRequests()

    def check(self, call: calls.Call) -> None:
        """Checks that there is room for a call that was not sent yet.

        Raises:
            OverloadError: It would be answered too late, others go first, or
                its caller is back before its time.
        """
        if call.relayed is not None or call.attempt_count:
            return
        rows = self._slots(call)
        if not rows:
            return
        now_s = clocks.boot_s()
        if slots.are_full(rows):
            self._check_return(call, rows, now_s)
        need = _need(call)
        with self._lock:
            service = self._services.get(call.service.name)
            if service is None:
                if len(self._services) >= _MAX_SERVICES:
                    self._services.clear()
                service = slots.ServiceSlots()
                self._services[call.service.name] = service
            decision = service.decide(need, rows, now_s)
        if decision.has_free_slot:
            return
        self._count(call, decision.verdict.value)
        if not decision.is_admitted:
            raise self.record_refusal(call, self._refuse(call, decision, now_s))

    def record_refusal(
        self, call: calls.Call, exc: exceptions.BriarfallError
    ) -> exceptions.BriarfallError:
        """Remembers when a refused caller may return; returns the error."""
        key = _key(call)
        if key and exc.retry_after_s and not call.attempt_count:
            self._refused.record(key, exc.retry_after_s, clocks.boot_s())
        return exc

    def record_answer(self, exchange: plainexchanges.TargetExchange) -> None:
        """Records the time of a whole answer that was read here."""
        if exchange.head.status >= _FIRST_FAILURE_STATUS:
            return
        now_s = clocks.boot_s()
        with self._lock:
            self._times.record(
                exchange.target.id,
                now_s - exchange.sent_s,
                exchange.in_flight,
                exchange.target.entry.slots,
                now_s,
            )

    def wait_s(self, target: targetstate.Target) -> float:
        """Returns the seconds until a target has a free slot."""
        return self._slots_of(target, clocks.boot_s()).wait_s

    def _slots(self, call: calls.Call) -> list[slots.TargetSlots]:
        """Returns the slots of the targets that may take a call soon.

        One that has just refused a call is busy for a moment and counts; one
        that has failed does not.
        """
        now_s = clocks.boot_s()
        rows = []
        for target in self._targets.of_service(call.service.name):
            if not target.accepts_requests or target.is_held:
                continue
            if target.link_fault is not None:
                continue
            if target.failures and target.blocked_until_s > now_s:
                continue
            rows.append(self._slots_of(target, now_s))
        return rows

    def _slots_of(
        self, target: targetstate.Target, now_s: float
    ) -> slots.TargetSlots:
        return slots.TargetSlots(
            target.id,
            target.entry.slots,
            self._loads.of(target.id).streams,
            self._times.of(target.id, now_s),
        )

    def _check_return(
        self, call: calls.Call, rows: list[slots.TargetSlots], now_s: float
    ) -> None:
        """Raises if a caller is back before its time, while room is short.

        Raises:
            OverloadError: It is; it is told the rest of its time.
        """
        key = _key(call)
        rest_s = self._refused.rest_s(key, now_s) if key else 0.0
        if rest_s <= 0:
            return
        self._count(call, "early")
        logging.info(
            "call refused, back before its time request=%s service=%s "
            "slots=%d in_flight=%d rest_s=%.2f needs=a free slot or the rest",
            call.request_id,
            call.service.name,
            sum(row.slots for row in rows),
            sum(row.in_flight for row in rows),
            rest_s,
        )
        raise exceptions.OverloadError(
            f"{call.service.name} has no free slot, and the request is back "
            f"{rest_s:.2f} s before the time it was told",
            outcome=call.outcome,
            retry_after_s=rest_s,
        )

    def _refuse(
        self, call: calls.Call, decision: slots.Decision, now_s: float
    ) -> exceptions.OverloadError:
        """Logs a refusal; returns the error."""
        period = retryafter.UnavailablePeriod(
            max(0.0, decision.wait_s - max(0.0, decision.limit_s)),
            decision.wait_s,
        )
        if decision.verdict is slots.Verdict.TOO_LATE:
            # It can't be served before its deadline: the queue ahead ends
            # first.
            period = retryafter.UnavailablePeriod(
                decision.wait_s, decision.wait_s
            )
        need = returns.ReturnNeed(
            call.service.name, call.urgency, call.caller_left_s
        )
        told_s = self._returns.told_s(period, need, now_s)
        logging.info(
            "call refused request=%s service=%s cause=%s slots=%d in_flight=%d "
            "wait_s=%.2f age_s=%.2f urgency=%d account=%s level=%.2f "
            "left_s=%.2f told_s=%.2f needs=wait<=%.2f",
            call.request_id,
            call.service.name,
            decision.verdict.value,
            decision.slots,
            decision.in_flight,
            decision.wait_s,
            decision.age_s,
            call.urgency,
            call.account.name if call.account is not None else None,
            decision.level,
            call.left_s,
            told_s,
            decision.limit_s,
        )
        return exceptions.OverloadError(
            f"a slot of {call.service.name} is free in {decision.wait_s:.2f} "
            f"s, the request may wait for {max(0.0, decision.limit_s):.2f} s",
            outcome=call.outcome,
            retry_after_s=told_s,
        )

    def _count(self, call: calls.Call, outcome: str) -> None:
        if self._metrics is not None:
            self._metrics.count(
                "briarfall_admissions", call.route.name, outcome
            )


def _need(call: calls.Call) -> slots.SlotNeed:
    return slots.SlotNeed(
        call.account.name if call.account is not None else "",
        call.urgency,
        call.left_s,
        not call.may_repeat,
    )


def _key(call: calls.Call) -> str:
    """Returns what identifies a call over its repeats, or an empty string.

    Callers without an account can't be told apart.
    """
    if call.account is None:
        return ""
    return crashes.fingerprint(call)
