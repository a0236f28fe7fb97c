"""Isolated trial of a request that may crash the engines that run it."""

import collections.abc
import time

from briarfall import exceptions
from briarfall.adapters import engine as engines
from briarfall.pipelines import models
from briarfall.pipelines import policies

_RETRY_S = 0.01
_CHECK_TIMEOUT_S = 0.25
# Tokens after which an attempt has passed the point of a crash: an engine may
# have computed one more token that did not arrive, and crashed on the next one.
TOKENS_PAST_CRASH = 2


class SuspectTrial:
    """Runs a suspect on engines without other suspects until it is cleared.

    Args:
        relay: The relay that the stream belongs to.
        req: The request.
    """

    def __init__(self, relay, req: models.StreamRequest):
        self._relay = relay
        self._req = req
        self._clear_at_index: int | None = None
        self._reserved: list[str] = []

    @property
    def is_open(self) -> bool:
        """Whether targets are reserved for the trial."""
        return self._clear_at_index is not None

    def is_reserved(self, target: str) -> bool:
        """Returns whether a target runs no other suspect and was alive."""
        return target in self._reserved

    def plan(
        self,
        route_request: collections.abc.Callable[[], policies.RouteRequest],
        crash_layer: int,
        index: int,
        outcome: exceptions.Outcome,
    ) -> list[engines.Hop]:
        """Returns a route without other suspects, with its targets reserved.

        The reserved targets have just answered, as others may have died along
        with the one that crashed.

        Args:
            route_request: Returns the request for the route.
            crash_layer: First layer of the target that crashed.
            index: Number of tokens accepted so far.
            outcome: Outcome to report if the deadline passes.

        Raises:
            NoRouteError: There is no route even through targets that run
                other suspects.
            DeadlineError: The other suspects did not end before the deadline.
        """
        req, relay = self._req, self._relay
        occupied: list[str] = []
        while time.monotonic() < req.deadline_s:
            ejected = {
                target.id
                for target in req.model.targets
                if relay.table.is_ejected(target.id)
            }
            route_req = route_request()
            route_req.banned = frozenset(ejected.union(occupied))
            try:
                route = relay.planner.plan(route_req)
            except exceptions.NoRouteError:
                if not occupied:
                    raise
                occupied = []
                time.sleep(_RETRY_S)
                continue
            # Targets of the layers before the crashed one ran the request
            # without a crash, so they need no reservation.
            names = [hop.target for hop in route if hop.end > crash_layer]
            occupied = relay.trials.reserve(
                req.model_name, req.fingerprint, names
            )
            if occupied:
                continue
            is_alive = False
            try:
                is_alive = self._are_alive(route, names)
            finally:
                if not is_alive:
                    relay.trials.release(req.model_name, req.fingerprint)
            if not is_alive:
                continue
            self._reserved = names
            self._clear_at_index = index + TOKENS_PAST_CRASH
            return route
        raise exceptions.DeadlineError("the deadline passed", outcome=outcome)

    def _are_alive(self, route: list[engines.Hop], names: list[str]) -> bool:
        """Returns whether all targets answer; ejects one that does not."""
        for hop in route:
            if hop.target not in names:
                continue
            try:
                self._relay.connect(hop.url).load(_CHECK_TIMEOUT_S)
            except exceptions.LocalLimitError:
                raise
            except exceptions.TargetError:
                self._relay.table.record_failure(hop.target, is_silent=True)
                return False
        return True

    def record_progress(self, index: int, *, is_done: bool) -> None:
        """Clears the request once it has passed the token of the crash."""
        if not is_done and index < self._clear_at_index:
            return
        self._relay.guard.clear(self._req.fingerprint)
        self.end()

    def end(self) -> None:
        """Ends the trial and releases its reserved targets."""
        if self._clear_at_index is None:
            return
        self._clear_at_index = None
        self._reserved = []
        self._relay.trials.release(self._req.model_name, self._req.fingerprint)
        self._relay.guard.parts.end_trial(self._req.fingerprint)
