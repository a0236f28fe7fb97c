"""Chooses the targets of calls to plain services."""

import random

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway import retryafter
from briarfall.gateway.calls import calls
from briarfall.gateway.targets import loads
from briarfall.gateway.targets import targetbackoff
from briarfall.gateway.targets import targets
from briarfall.gateway.targets import targetstate

MAX_ATTEMPTS = 4
# Added to a target's load, in requests in flight per slot: for a target of
# another zone, and as the upper end of a random share.
_REMOTE_ZONE_COST = 0.15
_RANDOM_COST = 0.1
_RETRY_AFTER_S = 0.3
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
    """

    def __init__(
        self,
        zone: ids.ZoneId,
        table: targets.TargetTable,
        load_table: loads.LoadTable,
        rng: random.Random,
    ):
        self._zone = zone
        self._targets = table
        self._loads = load_table
        self._rng = rng

    def error(self, call: calls.Call) -> exceptions.BriarfallError:
        """Returns the error that says why no target can take a call."""
        rows = self._targets.of_service(call.service.name)
        period = targetbackoff.first_held(rows)
        if period is not None:
            return exceptions.OverloadError(
                f"targets of {call.service.name} take no requests now",
                outcome=call.outcome,
                retry_after_s=retryafter.retry_after_s(period, self._rng),
            )
        if any(row.link_fault is not None for row in rows):
            return exceptions.NoRouteError(
                f"no target of {call.service.name} is reached from here, and "
                "no peer can serve the request",
                outcome=call.outcome,
                retry_after_s=retryafter.retry_after_s(
                    _CUT_OFF_PERIOD, self._rng
                ),
            )
        return exceptions.NoRouteError(
            f"no target of {call.service.name} is free",
            outcome=call.outcome,
            retry_after_s=_RETRY_AFTER_S,
        )

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
            if best is None or cost < best[0]:
                best = (cost, target)
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
