"""Plans routes for all models of an instance."""

import random
import threading

from briarfall import exceptions
from briarfall.adapters import engine as engines
from briarfall.catalogue import entries
from briarfall.pipelines import graph as graphs
from briarfall.pipelines import maxflow
from briarfall.pipelines import policies
from briarfall.pipelines import targets as target_tables

_MAX_GRAPHS = 64


class Planner:
    """Chooses routes by each model's policy.

    Args:
        table: States of the targets.
        links: Returns the link cost between two zones.
        seed: Seed of the random choices.
    """

    def __init__(
        self,
        table: target_tables.TargetTable,
        links=None,
        seed: int | None = None,
    ):
        self._table = table
        self._links = links or (lambda src, dst: policies.LinkCost())
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self._policies: dict[str, policies.RoutePolicy] = {}
        self._graphs: dict[tuple, graphs.LayerGraph] = {}

    def plan(self, req: policies.RouteRequest) -> list[engines.Hop]:
        """Returns a route that covers all layers once, in order.

        Raises:
            NoRouteError: No chain of usable targets covers the layers.
        """
        with self._lock:
            graph = self._routable_graph(req)
            policy = self._policy(req.model.policy)
            path = policy.choose(graph, req)
        if not path:
            raise exceptions.NoRouteError("no chain of targets")
        return graphs.to_route(path)

    def expected_first_token_s(
        self, req: policies.RouteRequest, route: list[engines.Hop]
    ) -> float:
        """Returns the expected time to the first token, in seconds."""
        by_id = {target.id: target for target in req.model.targets}
        total_s = 0.0
        for hop in route:
            target = by_id[hop.target]
            load = self._table.load(hop.target, req.rank)
            rounds = 1 + load / max(1.0, target.tokens_per_s * target.step_s)
            total_s += target.step_s * rounds
            total_s += req.prompt_tokens / target.prefill_tokens_per_s
        return total_s

    def flow(self, req: policies.RouteRequest) -> maxflow.FlowResult:
        """Returns the maximum flow over the usable targets of a model."""
        with self._lock:
            return maxflow.flow_of(self._routable_graph(req))

    def utilisation(
        self, req: policies.RouteRequest, flow: maxflow.FlowResult
    ) -> float:
        """Returns the batch occupancy of the targets, 1 if all are full.

        Each target is weighted by its share of the maximum flow, so targets
        without flow do not count.
        """
        filled = 0.0
        total = 0.0
        by_id = {target.id: target for target in req.model.targets}
        for (_, name), weight in flow.weights.items():
            target = by_id[name]
            slots = max(1.0, target.tokens_per_s * target.step_s)
            filled += weight * min(1.0, self._table.load(name) / slots)
            total += weight
        return filled / total if total else 1.0

    def expected_gap_s(
        self, req: policies.RouteRequest, route: list[engines.Hop]
    ) -> float:
        """Returns the expected time between tokens, in seconds."""
        by_id = {target.id: target for target in req.model.targets}
        steps_s = 0.0
        slowest_s = 0.0
        for hop in route:
            target = by_id[hop.target]
            load = self._table.load(hop.target, req.rank) + 1
            steps_s += target.step_s
            slowest_s = max(slowest_s, load / target.tokens_per_s)
        return max(steps_s, slowest_s)

    def _routable_graph(self, req: policies.RouteRequest) -> graphs.LayerGraph:
        allowed = [t for t in req.model.targets if t.id not in req.banned]
        usable = self._table.usable(allowed)
        preferred = [t for t in usable if t.id not in req.avoid]
        not_draining = [
            target
            for target in allowed
            if self._table.health(target) is not target_tables.Health.DRAINING
        ]
        # The pools widen: a later pool is used only if the earlier ones have
        # no route.
        for pool in (preferred, usable, not_draining):
            graph = self._cached_graph(req.model.layers, pool)
            if graph.is_routable():
                return graph
        raise exceptions.NoRouteError(
            f"no chain of {len(not_draining)} usable targets covers "
            f"{req.model.layers} layers"
        )

    def _cached_graph(
        self, layers: int, pool: list[entries.EngineTarget]
    ) -> graphs.LayerGraph:
        key = (layers, tuple(pool))
        graph = self._graphs.get(key)
        if graph is None:
            if len(self._graphs) >= _MAX_GRAPHS:
                self._graphs.clear()
            graph = graphs.LayerGraph(layers, pool)
            self._graphs[key] = graph
        return graph

    def _policy(self, name: str) -> policies.RoutePolicy:
        policy = self._policies.get(name)
        if policy is None:
            kind = policies.policy_class(name)
            policy = kind(self._table, self._links, self._rng)
            self._policies[name] = policy
        return policy
