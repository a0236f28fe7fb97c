"""Admission control: rejects requests that would miss their deadline.

Such requests are rejected at once. Admitted ones wait for a free slot in order
of their priority class.
"""

import threading
import time

from briarfall import exceptions
from briarfall.catalogue import entries
from briarfall.limits import demand
from briarfall.pipelines import maxflow
from briarfall.pipelines import models
from briarfall.pipelines import planning
from briarfall.pipelines import policies

# A queued request gains one priority class for each such period of waiting.
AGING_S = 5.0
MAX_WAITING = 64
# Below this utilisation of the targets no class is throttled.
_BUSY_UTILISATION = 0.85
# Share of the maximum flow that the instances divide among themselves.
_USABLE_CAPACITY_SHARE = 0.95
_SHED_RETRY_S = 2.0
# Share of the time to the deadline that the estimated response time may use.
# The remainder absorbs estimation errors. Less urgent classes have a smaller
# share, so that they are shed first.
_DEADLINE_SHARES = {
    entries.Priority.INTERACTIVE: 0.85,
    entries.Priority.STANDARD: 0.75,
    entries.Priority.BATCH: 0.6,
}


class Estimator:
    """Rejects requests whose estimated response time exceeds the deadline.

    Args:
        planner: Plans the route on which a request would run.
        routers: Returns the number of instances that share the targets.
    """

    def __init__(self, planner: planning.Planner, routers):
        self._planner = planner
        self._routers = routers
        self._lock = threading.Lock()
        self._demands: dict[str, demand.ClassDemand] = {}
        self._pending: dict[str, list[int]] = {}

    def check(self, req: models.StreamRequest) -> None:
        """Admits a request, or rejects it.

        A request is rejected if it would miss its deadline, or if more urgent
        classes need the capacity of busy targets.

        An admitted request counts as pending until `end_pending`.

        Raises:
            OverloadError: The request is rejected. The error carries the
                time after which the caller may retry.
        """
        now = time.monotonic()
        class_demand = self._demand_for_model(req.model_name, now)
        class_demand.record(req.priority, req.max_tokens, now)
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
        self._check_class(class_demand, req, route_req, flow)
        with self._lock:
            self._pending[req.model_name][req.priority.rank] += 1

    def end_pending(self, req: models.StreamRequest) -> None:
        """Stops counting a request that `check` admitted as pending.

        Called once for each admitted request: at its first token, or when
        it ends without one.
        """
        with self._lock:
            self._pending[req.model_name][req.priority.rank] -= 1

    def _total_s(
        self, req: models.StreamRequest, route_req: policies.RouteRequest
    ) -> float:
        """Estimates the time to the last token from the load on a route."""
        route = self._planner.plan(route_req)
        first_s = self._planner.expected_first_token_s(route_req, route)
        gap_s = self._planner.expected_gap_s(route_req, route)
        return first_s + gap_s * req.max_tokens

    def _pending_s(self, req: models.StreamRequest, capacity: float) -> float:
        """Estimates the delay caused by pending requests.

        These requests were admitted recently and have no first token yet, so
        the load of the targets may not include them. Without this delay a
        burst of requests would be admitted completely.
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
        class_demand: demand.ClassDemand,
        req: models.StreamRequest,
        route_req: policies.RouteRequest,
        flow: maxflow.FlowResult,
    ) -> None:
        """Limits a class to the capacity that more urgent classes leave.

        Applies only while the targets are busy.
        """
        if self._planner.utilisation(route_req, flow) < _BUSY_UTILISATION:
            return
        own_capacity = (
            flow.total * _USABLE_CAPACITY_SHARE / max(1, self._routers())
        )
        now = time.monotonic()
        if class_demand.take(req.priority, req.max_tokens, own_capacity, now):
            return
        raise exceptions.OverloadError(
            f"more urgent classes than {req.priority.value} need the targets",
            retry_after_s=_SHED_RETRY_S,
        )

    def _demand_for_model(self, model: str, now: float) -> demand.ClassDemand:
        with self._lock:
            found = self._demands.get(model)
            if found is None:
                found = demand.ClassDemand(now)
                self._demands[model] = found
            return found


class _QueuedRequest:
    """One request in the queue."""

    def __init__(self, priority: entries.Priority, enqueued_s: float):
        self.rank = priority.rank
        self.enqueued_s = enqueued_s
        self.admitted = False
        self.shed = False

    def effective_rank(self, now: float) -> float:
        """Returns the rank, lowered by the time in the queue.

        Lower is more urgent.
        """
        return self.rank - (now - self.enqueued_s) / AGING_S


class Gate:
    """Limits concurrent requests; the others wait in a priority queue.

    Args:
        limit: Maximum number of concurrent requests.
        max_waiting: Maximum number of waiting requests. When it is exceeded,
            the least urgent one is rejected.
    """

    def __init__(self, limit: int, max_waiting: int = MAX_WAITING):
        self.limit = limit
        self._max_waiting = max_waiting
        self._running = 0
        self._waiting: list[_QueuedRequest] = []
        self._changed = threading.Condition()

    def enter(self, priority: entries.Priority, deadline_s: float) -> None:
        """Waits for a free slot.

        Args:
            priority: Class of the request.
            deadline_s: Monotonic time until which to wait.

        Raises:
            OverloadError: The queue is full, or the deadline passed.
        """
        now = time.monotonic()
        with self._changed:
            if self._running < self.limit and not self._waiting:
                self._running += 1
                return
            waiting = _QueuedRequest(priority, now)
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
        """Releases a slot to the most urgent waiting request."""
        with self._changed:
            self._running -= 1
            self._admit()

    def set_limit(self, limit: int) -> None:
        """Changes the maximum number of concurrent requests."""
        with self._changed:
            self.limit = limit
            self._admit()

    def _admit(self) -> None:
        now = time.monotonic()
        while self._waiting and self._running < self.limit:
            most_urgent = min(
                self._waiting, key=lambda w: w.effective_rank(now)
            )
            self._waiting.remove(most_urgent)
            most_urgent.admitted = True
            self._running += 1
        self._changed.notify_all()

    def _shed(self, now: float) -> None:
        if len(self._waiting) <= self._max_waiting:
            return
        least_urgent = max(
            self._waiting, key=lambda w: (w.effective_rank(now), w.enqueued_s)
        )
        least_urgent.shed = True
        self._waiting.remove(least_urgent)
        self._changed.notify_all()
