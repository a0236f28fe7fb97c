"""Chooses the targets of calls to plain services."""

import collections.abc
import random

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway import retryafter
from briarfall.gateway.calls import calls
from briarfall.gateway.scheduling import returns
from briarfall.gateway.targets import loads
from briarfall.gateway.targets import targetbackoff
from briarfall.gateway.targets import targets
from briarfall.gateway.targets import targetstate

MAX_ATTEMPTS = 4
# Added to a target's load, in requests in flight per slot: for a target of
# another zone, and as the upper end of a random share.
_REMOTE_ZONE_COST = 0.15
_RANDOM_COST = 0.1
# Time around which a target that has just refused may be free again.
_REFUSED_PERIOD = retryafter.UnavailablePeriod(0.15, 0.3)
# Time after which probes may have found the end of a fault of the links.
_CUT_OFF_PERIOD = retryafter.UnavailablePeriod(0.3, 0.3)


class CutOffError(exceptions.NoRouteError):
    """Only targets that this instance can't reach could take the call."""

    code = "cut_off"


class PlainTargetChoice:
    """Chooses among the targets of a plain service.

    Args:
        zone: Zone of this instance.
        table: Targets.
        load_table: Load that all instances put on targets.
        rng: Spreads calls over equal targets, and the retries of callers.
        return_times: Tells refused callers when to return.
        wait_s: Returns the seconds until a target has a free slot.
    """

    def __init__(
        self,
        zone: ids.ZoneId,
        table: targets.TargetTable,
        load_table: loads.LoadTable,
        rng: random.Random,
        return_times: returns.ReturnTimes | None = None,
        wait_s: collections.abc.Callable[[targetstate.Target], float] = (
            lambda _: 0.0
        ),
    ):
        self._zone = zone
        self._targets = table
        self._loads = load_table
        self._rng = rng
        self._returns = return_times or returns.ReturnTimes(rng)
        self._wait_s = wait_s

    def error(self, call: calls.Call) -> exceptions.BriarfallError:
        """Returns the error that says why no target can take a call."""
        rows = self._targets.of_service(call.service.name)
        period = targetbackoff.first_held(rows)
        if period is not None:
            return exceptions.OverloadError(
                f"targets of {call.service.name} take no requests now",
                outcome=call.outcome,
                retry_after_s=self._told_s(call, period),
            )
        if any(row.link_fault is not None for row in rows):
            return exceptions.NoRouteError(
                f"no target of {call.service.name} is reached from here, and "
                "no peer can serve the request",
                outcome=call.outcome,
                retry_after_s=self._told_s(call, _CUT_OFF_PERIOD),
            )
        return exceptions.NoRouteError(
            f"no target of {call.service.name} is free",
            outcome=call.outcome,
            retry_after_s=self._told_s(call, _REFUSED_PERIOD),
        )

    def _told_s(
        self, call: calls.Call, period: retryafter.UnavailablePeriod
    ) -> float:
        need = returns.ReturnNeed(
            call.service.name, call.urgency, call.caller_left_s
        )
        return self._returns.told_s(period, need, clocks.boot_s())

    def choose(
        self, call: calls.Call, attempted: set[ids.TargetId]
    ) -> targetstate.Target | None:
        """Returns the target that should get a call next, if there is one."""
        if call.attempt_count >= MAX_ATTEMPTS or call.left_s <= 0:
            return None
        best = None
        for target in self._targets.usable(call.service.name):
            if target.id in attempted:
                continue
            if target.link_fault is not None:
                continue
            if target.is_held:
                continue
            load = self._loads.of(target.id)
            cost = load.streams / max(1, target.entry.slots)
            if target.entry.zone != self._zone:
                cost += _REMOTE_ZONE_COST
            cost += _RANDOM_COST * self._rng.random()
            # A retry has no time to lose; a first send spreads the load.
            wait_s = self._wait_s(target) if call.attempt_count else 0.0
            if best is None or (wait_s, cost) < best[0]:
                best = ((wait_s, cost), target)
        return best[1] if best else None

    def is_cut_off(self, call: calls.Call) -> bool:
        """Whether a peer may reach targets that this instance does not."""
        if not call.may_be_relayed or call.left_s <= 0:
            return False
        for target in self._targets.of_service(call.service.name):
            if target.link_fault is None or not target.accepts_requests:
                continue
            if not target.is_held:
                return True
        return False

    def choose_refusing(
        self, call: calls.Call, attempted: set[ids.TargetId]
    ) -> targetstate.Target | None:
        """Returns a target that last refused connections, if there is one.

        It may have restarted; a further attempt fails at once if it has not.
        """
        for target in self._targets.of_service(call.service.name):
            if target.id in attempted or not target.accepts_requests:
                continue
            if target.is_held:
                continue
            if target.link_fault is targetstate.LinkFault.REFUSED:
                return target
        return None
