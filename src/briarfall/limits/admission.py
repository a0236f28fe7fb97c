"""Refuses at once what would miss its deadline, and queues by class."""

import threading
import time

from briarfall import exceptions
from briarfall.catalogue import entries
from briarfall.limits import demand
from briarfall.pipelines import maxflow
from briarfall.pipelines import models
from briarfall.pipelines import planning
from briarfall.pipelines import policies

AGING_S = 5.0
MAX_WAITING = 64
_BUSY = 0.85
_USABLE = 0.95
_SHED_RETRY_S = 2.0
# Share of the deadline that the estimate may fill; what is left absorbs
# errors of the estimate, and less urgent classes are shed first.
_DEADLINE_SHARES = {
    entries.Priority.INTERACTIVE: 0.85,
    entries.Priority.STANDARD: 0.75,
    entries.Priority.BATCH: 0.6,
}


class Estimator:
    """Estimates how long an answer would take now.

    Args:
        planner: Plans the route that the answer would take.
        routers: Returns the number of instances that share the targets.
    """

    def __init__(self, planner: planning.Planner, routers):
        self._planner = planner
        self._routers = routers
        self._lock = threading.Lock()
        self._demands: dict[str, demand.ClassDemand] = {}
        self._pending: dict[str, list[int]] = {}

    def check(self, req: models.StreamRequest) -> None:
        """Refuses a request whose answer would come too late.

        Raises:
            OverloadError: With the time after which to come back.
        """
        now = time.monotonic()
        classes = self._demand_of(req.model_name, now)
        classes.note(req.priority, req.max_tokens, now)
        route_req = policies.RouteRequest(
            req.model, req.prompt_tokens, rank=req.priority.rank
        )
        flow = self._planner.flow(route_req)
        total_s = self._total_s(req, route_req)
        total_s += self._pending_s(req, flow.total)
        left_s = req.deadline_s - now
        share = _DEADLINE_SHARES[req.priority]
        if total_s > left_s * share:
            raise exceptions.OverloadError(
                f"the answer would take about {total_s:.1f} s, the deadline "
                f"leaves {left_s:.1f} s",
                retry_after_s=min(30.0, max(1.0, total_s - left_s * share)),
            )
        self._check_class(classes, req, route_req, flow)
        with self._lock:
            self._pending[req.model_name][req.priority.rank] += 1

    def note_started(self, req: models.StreamRequest) -> None:
        """Ends what `check` began, when the first token is there or not."""
        with self._lock:
            self._pending[req.model_name][req.priority.rank] -= 1

    def _total_s(
        self, req: models.StreamRequest, route_req: policies.RouteRequest
    ) -> float:
        """Returns the seconds to the last token by the load on a route."""
        route = self._planner.plan(route_req)
        first_s = self._planner.first_token_s(route_req, route)
        gap_s = self._planner.gap_s(route_req, route)
        return first_s + gap_s * req.max_tokens

    def _pending_s(self, req: models.StreamRequest, capacity: float) -> float:
        """Returns the delay by requests that were admitted just before.

        They are not on any target yet, or still wait for their first token;
        without them a burst would be admitted as a whole.
        """
        with self._lock:
            waiting = self._pending.setdefault(
                req.model_name, [0] * len(entries.Priority)
            )
            ahead = sum(waiting[: req.priority.rank + 1])
        if capacity <= 0:
            return 0.0
        return ahead * self._routers() * req.max_tokens / capacity

    def _check_class(
        self,
        classes: demand.ClassDemand,
        req: models.StreamRequest,
        route_req: policies.RouteRequest,
        flow: maxflow.FlowResult,
    ) -> None:
        """Holds a class to what more urgent ones leave of busy hardware."""
        if self._planner.utilisation(route_req, flow) < _BUSY:
            return
        own = flow.total * _USABLE / max(1, self._routers())
        now = time.monotonic()
        if classes.take(req.priority, req.max_tokens, own, now):
            return
        raise exceptions.OverloadError(
            f"more urgent classes than {req.priority.value} need the targets",
            retry_after_s=_SHED_RETRY_S,
        )

    def _demand_of(self, model: str, now: float) -> demand.ClassDemand:
        with self._lock:
            found = self._demands.get(model)
            if found is None:
                found = demand.ClassDemand(now)
                self._demands[model] = found
            return found


class _Waiting:
    """One request in the queue."""

    def __init__(self, priority: entries.Priority, since_s: float):
        self.rank = priority.rank
        self.since_s = since_s
        self.admitted = False
        self.shed = False

    def order(self, now: float) -> float:
        """Returns the effective rank, which falls with the waiting time."""
        return self.rank - (now - self.since_s) / AGING_S


class Gate:
    """Lets a number of requests run at once; the others wait by class.

    Args:
        limit: Requests that run at once.
        max_waiting: Requests that may wait; beyond it the least urgent
            one is refused.
    """

    def __init__(self, limit: int, max_waiting: int = MAX_WAITING):
        self.limit = limit
        self._max_waiting = max_waiting
        self._running = 0
        self._waiting: list[_Waiting] = []
        self._changed = threading.Condition()

    def enter(self, priority: entries.Priority, deadline_s: float) -> None:
        """Waits for a place until a monotonic deadline.

        Raises:
            OverloadError: The queue is full, or the deadline passed.
        """
        now = time.monotonic()
        with self._changed:
            if self._running < self.limit and not self._waiting:
                self._running += 1
                return
            waiting = _Waiting(priority, now)
            self._waiting.append(waiting)
            self._shed(now)
            self._changed.wait_for(
                lambda: waiting.admitted or waiting.shed,
                max(0.0, deadline_s - now),
            )
            if waiting.admitted:
                return
            if waiting in self._waiting:
                self._waiting.remove(waiting)
        raise exceptions.OverloadError("too many requests wait")

    def leave(self) -> None:
        """Frees a place for the request with the best effective rank."""
        with self._changed:
            self._running -= 1
            self._admit()

    def set_limit(self, limit: int) -> None:
        """Changes the number of places."""
        with self._changed:
            self.limit = limit
            self._admit()

    def _admit(self) -> None:
        now = time.monotonic()
        while self._waiting and self._running < self.limit:
            best = min(self._waiting, key=lambda w: w.order(now))
            self._waiting.remove(best)
            best.admitted = True
            self._running += 1
        self._changed.notify_all()

    def _shed(self, now: float) -> None:
        if len(self._waiting) <= self._max_waiting:
            return
        worst = max(self._waiting, key=lambda w: (w.order(now), w.since_s))
        worst.shed = True
        self._waiting.remove(worst)
        self._changed.notify_all()
