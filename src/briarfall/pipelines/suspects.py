"""The trial of a request that may crash the engines that run it."""

import collections.abc
import time

from briarfall import exceptions
from briarfall.adapters import engine as engines
from briarfall.pipelines import models
from briarfall.pipelines import policies

_RETRY_S = 0.01
# An engine may have computed one token that did not arrive, and died on the
# next one.
_TOKENS = 2


class SuspectTrial:
    """Runs a suspect where no other suspect runs, until it is cleared.

    Args:
        relay: The relay that the stream belongs to.
        req: The request.
    """

    def __init__(self, relay, req: models.StreamRequest):
        self._relay = relay
        self._req = req
        self._until: int | None = None

    @property
    def is_open(self) -> bool:
        """Whether targets are reserved for it."""
        return self._until is not None

    def plan(
        self,
        route_request: collections.abc.Callable[[], policies.RouteRequest],
        suspect_layer: int,
        index: int,
        outcome: exceptions.Outcome,
    ) -> list[engines.Hop]:
        """Returns a route on which no other suspect runs.

        Args:
            route_request: Returns what the route has to avoid.
            suspect_layer: Layer at which a target died.
            index: Tokens that have arrived.
            outcome: What to say if there is no time left.

        Raises:
            NoRouteError: Not even a route with other suspects exists.
            DeadlineError: The others did not end in time.
        """
        req, relay = self._req, self._relay
        occupied: list[str] = []
        while time.monotonic() < req.deadline_s:
            dead = {
                target.id
                for target in req.model.targets
                if relay.table.is_ejected(target.id)
            }
            route_req = route_request()
            route_req.banned = frozenset(dead.union(occupied))
            try:
                route = relay.planner.plan(route_req)
            except exceptions.NoRouteError:
                if not occupied:
                    raise
                occupied = []
                time.sleep(_RETRY_S)
                continue
            # Targets of the layers before the dead one have run the request
            # and live.
            names = [hop.target for hop in route if hop.end > suspect_layer]
            occupied = relay.trials.reserve(
                req.model_name, req.fingerprint, names
            )
            if not occupied:
                self._until = index + _TOKENS
                return route
        raise exceptions.DeadlineError("the deadline passed", outcome=outcome)

    def note_progress(self, index: int, *, is_done: bool) -> None:
        """Clears the request once it is beyond the point of the death."""
        if not is_done and index < self._until:
            return
        self._relay.guard.note_passed(self._req.fingerprint)
        self.end()

    def end(self) -> None:
        """Gives reserved targets back."""
        if self._until is None:
            return
        self._until = None
        self._relay.trials.release(self._req.model_name, self._req.fingerprint)
