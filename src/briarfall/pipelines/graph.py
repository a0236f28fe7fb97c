"""The graph of layer boundaries that routes are paths through."""

import heapq

import msgspec

from briarfall.adapters import engine as engines
from briarfall.catalogue import entries

_INFINITY = float("inf")


class Edge(msgspec.Struct, frozen=True):
    """Layers `[start, end)` run by one target."""

    target: entries.EngineTarget
    start: int
    end: int

    @property
    def share(self) -> float:
        """Part of the target's range that the edge runs, 0 to 1."""
        held = self.target.end - self.target.start
        return (self.end - self.start) / held


class LayerGraph:
    """All edges of a model; a target may start inside its range.

    Args:
        layers: Number of layers, L; routes lead from boundary 0 to L.
        targets: Targets that may be used.

    Attributes:
        layers: Number of layers.
        edges: Edges by the boundary that they start at.
        flow: The graph's maximum flow, kept by `maxflow.flow_of`.
    """

    def __init__(self, layers: int, targets: list[entries.EngineTarget]):
        self.layers = layers
        self.flow = None
        boundaries = {0} | {target.end for target in targets}
        self.edges: dict[int, list[Edge]] = {b: [] for b in boundaries}
        for target in targets:
            for boundary in boundaries:
                if target.start <= boundary < target.end:
                    edge = Edge(target, boundary, target.end)
                    self.edges[boundary].append(edge)
        self._prune()

    def _prune(self) -> None:
        """Drops edges from which the last layer cannot be reached."""
        reaching = {self.layers}
        for boundary in sorted(self.edges, reverse=True):
            kept = [e for e in self.edges[boundary] if e.end in reaching]
            self.edges[boundary] = kept
            if kept:
                reaching.add(boundary)

    def is_routable(self) -> bool:
        """Returns whether some chain covers all layers."""
        return bool(self.edges.get(0))

    def shortest(self, cost) -> list[Edge]:
        """Returns the path of least total `cost(previous, edge)`.

        Args:
            cost: Function of the previous edge (or None) and the edge.

        Returns:
            The edges in layer order, empty if there is no path.
        """
        # The state is the last edge, because link cost depends on it.
        heap: list = [(0.0, 0, 0, None, ())]
        serial = 0
        done = set()
        while heap:
            total, _, boundary, last, path = heapq.heappop(heap)
            if boundary == self.layers:
                return list(path)
            state = (boundary, last.target.id if last else "")
            if state in done:
                continue
            done.add(state)
            for edge in self.edges.get(boundary, ()):
                step = cost(last, edge)
                if step == _INFINITY:
                    continue
                serial += 1
                heapq.heappush(
                    heap,
                    (total + step, serial, edge.end, edge, (*path, edge)),
                )
        return []


def to_route(path: list[Edge]) -> list[engines.Hop]:
    """Returns a path as the hops that engines are given."""
    return [
        engines.Hop(edge.target.id, edge.target.url, edge.start, edge.end)
        for edge in path
    ]


def spans(route: list[engines.Hop]) -> list[tuple[int, int]]:
    """Returns the layer trace that a token of the route must carry."""
    return [(hop.start, hop.end) for hop in route]


def covers(layers: list[tuple[int, int]], total: int) -> bool:
    """Returns whether ranges cover `[0, total)` once and in order."""
    expected = 0
    for start, end in layers:
        if start != expected or end <= start:
            return False
        expected = end
    return expected == total
