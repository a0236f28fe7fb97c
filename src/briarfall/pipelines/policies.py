"""Policies that choose a path through the layer graph."""

import abc
import itertools
import random

import msgspec

from briarfall import exceptions
from briarfall import hashing
from briarfall.catalogue import entries
from briarfall.pipelines import graph as graphs
from briarfall.pipelines import maxflow
from briarfall.pipelines import targets as target_tables

_SUSPICION_COST_S = 1.0
# Share of its throughput that is added to the flow of each target, so that
# targets without flow also receive streams.
_EXPLORE_WEIGHT = 0.02
_CANDIDATES = 2
AFFINITY_SLACK = 1.25


class LinkCost(msgspec.Struct, frozen=True):
    """Delay and throughput of the link between two zones."""

    delay_s: float = 0.0005
    bytes_per_s: float = 1.25e9


class RouteRequest(msgspec.Struct):
    """Requirements of a route.

    Attributes:
        model: The model's entry.
        prompt_tokens: Length of the prompt in tokens.
        avoid: Targets to use only if no other targets cover the layers.
        banned: Targets that must not be used.
        affinity: Hash of the prompt's prefix, 0 for none.
        rank: Priority rank of the request, 0 is the most urgent.
    """

    model: entries.Model
    prompt_tokens: int = 1
    avoid: frozenset[str] = frozenset()
    banned: frozenset[str] = frozenset()
    affinity: int = 0
    rank: int = target_tables.LAST_RANK


class RoutePolicy(abc.ABC):
    """Chooses paths for the streams of one instance.

    Args:
        table: States of the targets.
        links: Returns the link cost between two zones.
        rng: Source of randomness.
    """

    def __init__(
        self, table: target_tables.TargetTable, links, rng: random.Random
    ):
        self._table = table
        self._links = links
        self._rng = rng

    @abc.abstractmethod
    def choose(
        self, graph: graphs.LayerGraph, req: RouteRequest
    ) -> list[graphs.Edge]:
        """Returns a path through `graph`, which must be routable."""

    def expected_s(
        self, previous: graphs.Edge | None, edge: graphs.Edge
    ) -> float:
        """Returns the expected time of a token on an edge, in seconds."""
        target = edge.target
        waiting = self._table.load(target.id) / target.tokens_per_s
        step_s = max(target.step_s, waiting) * edge.share
        suspicion = self._table.status(target.id).suspicion
        link_s = 0.0
        if previous is not None:
            link_s = self._links(previous.target.zone, target.zone).delay_s
        return step_s + link_s + suspicion * _SUSPICION_COST_S

    def _walk(self, graph: graphs.LayerGraph, pick) -> list[graphs.Edge]:
        """Builds a path by calling `pick(previous, edges)` at each boundary."""
        path: list[graphs.Edge] = []
        boundary = 0
        while boundary != graph.layers:
            previous = path[-1] if path else None
            edge = pick(previous, graph.edges[boundary])
            path.append(edge)
            boundary = edge.end
        return path


class RoundRobinPolicy(RoutePolicy):
    """Chooses the targets at each boundary in turn."""

    def __init__(self, table, links, rng):
        super().__init__(table, links, rng)
        self._turn = itertools.count(rng.randrange(1024))

    def choose(self, graph, req):
        """Chooses a path; see the base class."""
        turn = next(self._turn)
        return self._walk(graph, lambda _, edges: edges[turn % len(edges)])


class LeastLoadedPolicy(RoutePolicy):
    """Chooses the least loaded target at each boundary."""

    def choose(self, graph, req):
        """Chooses a path; see the base class."""

        def pick(_, edges):
            return min(edges, key=lambda e: self._table.load(e.target.id))

        return self._walk(graph, pick)


class ShortestPolicy(RoutePolicy):
    """Chooses the path with the least expected time."""

    def choose(self, graph, req):
        """Chooses a path; see the base class."""
        return graph.shortest(self.expected_s)


class TwoChoicesPolicy(RoutePolicy):
    """Chooses the faster of two random targets at each boundary."""

    def choose(self, graph, req):
        """Chooses a path; see the base class."""

        def pick(previous, edges):
            count = min(_CANDIDATES, len(edges))
            sample = self._rng.sample(edges, count)
            return min(sample, key=lambda e: self.expected_s(previous, e))

        return self._walk(graph, pick)


class FlowPolicy(RoutePolicy):
    """Splits streams like the maximum flow, corrected by the load.

    At each boundary it chooses the target with the least estimated load in
    relation to its share of the flow. The streams of this instance count
    immediately, so that several instances with outdated load reports do not
    all choose the same target. Load reports count as much, because with many
    instances each one has only few streams of its own.
    """

    def __init__(self, table, links, rng):
        super().__init__(table, links, rng)
        self._tie_breaks = {}

    def choose(self, graph, req):
        """Chooses a path; see the base class."""
        weights = maxflow.flow_of(graph).weights

        def pick(previous, edges):
            costs = [self._cost(previous, edge, weights) for edge in edges]
            best = min(costs)
            if not req.affinity:
                return edges[costs.index(best)]
            # Bounded load: the target that may have cached the prompt prefix
            # is preferred only if its cost is close to the best one.
            close = [
                edge
                for edge, cost in zip(edges, costs, strict=True)
                if cost <= best * AFFINITY_SLACK
            ]
            return max(close, key=lambda e: _affinity_score(req.affinity, e))

        return self._walk(graph, pick)

    def _cost(self, previous, edge: graphs.Edge, weights) -> float:
        target = edge.target
        weight = weights[(edge.start, target.id)]
        weight += _EXPLORE_WEIGHT * target.tokens_per_s
        status = self._table.status(target.id)
        own = status.in_flight + 1 + self._tie_break_of(target.id)
        load = own * self._table.instance_count() + self._table.load(target.id)
        link_s = 0.0
        if previous is not None:
            link_s = self._links(previous.target.zone, target.zone).delay_s
        penalty = 1 + status.suspicion * 4
        penalty *= 1 + link_s / max(target.step_s, 1e-6) * 0.1
        return load * penalty / weight

    def _tie_break_of(self, target: str) -> float:
        # A random fraction of a stream, so that instances with equal views
        # break ties between targets differently.
        tie_break = self._tie_breaks.get(target)
        if tie_break is None:
            tie_break = self._tie_breaks.setdefault(target, self._rng.random())
        return tie_break


def _affinity_score(prefix: int, edge: graphs.Edge) -> int:
    """Returns the rendezvous hashing score of a prompt prefix on a target."""
    return hashing.digest64(edge.target.id, prefix)


POLICIES: dict[str, type[RoutePolicy]] = {
    "round_robin": RoundRobinPolicy,
    "least_loaded": LeastLoadedPolicy,
    "shortest": ShortestPolicy,
    "two_choices": TwoChoicesPolicy,
    "flow": FlowPolicy,
}


def policy_class(name: str) -> type[RoutePolicy]:
    """Returns the policy class with a name.

    Raises:
        CatalogueError: No policy has this name.
    """
    found = POLICIES.get(name)
    if found is None:
        raise exceptions.CatalogueError(
            f"policy {name!r} is unknown",
            remedy=f"use one of: {', '.join(POLICIES)}",
        )
    return found
