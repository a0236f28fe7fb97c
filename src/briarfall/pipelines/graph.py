"""Graph of layer boundaries; a route is a path through it."""

import heapq

import msgspec

from briarfall.adapters import engine as engines
from briarfall.catalogue import entries

_INFINITY = float("inf")


class Edge(msgspec.Struct, frozen=True):
    """Layers `[start, end)` as run by one target."""

    target: entries.EngineTarget
    start: int
    end: int

    @property
    def share(self) -> float:
        """Share of the target's layer range that the edge runs, 0 to 1."""
        held = self.target.end - self.target.start
        return (self.end - self.start) / held


class LayerGraph:
    """All edges over the layers of a model.

    A target may start at any boundary inside its layer range, but it always
    runs to the end of the range.

    Args:
        layers: Number of layers, L; a route leads from boundary 0 to L.
        targets: Targets that may be used.

    Attributes:
        layers: Number of layers.
        edges: Edges by start boundary, without those that cannot reach L.
        flow: Maximum flow of the graph, cached by `maxflow.flow_of`.
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
        """Removes edges from which the last layer cannot be reached."""
        reaching = {self.layers}
        for boundary in sorted(self.edges, reverse=True):
            kept = [e for e in self.edges[boundary] if e.end in reaching]
            self.edges[boundary] = kept
            if kept:
                reaching.add(boundary)

    def is_routable(self) -> bool:
        """Returns whether at least one chain covers all layers."""
        return bool(self.edges.get(0))

    def shortest(self, cost) -> list[Edge]:
        """Returns the path with the least total cost.

        Args:
            cost: Called with the previous edge (or None) and an edge; returns
                the cost of the edge, infinite to exclude it.

        Returns:
            The edges in layer order, empty if there is no path.
        """
        # A search state includes the last edge, because the link cost of the
        # next edge depends on it.
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
    """Returns a path as the hops that are sent to engines."""
    return [
        engines.Hop(edge.target.id, edge.target.url, edge.start, edge.end)
        for edge in path
    ]


def layer_trace(route: list[engines.Hop]) -> list[tuple[int, int]]:
    """Returns the layer trace that each token of a route must carry."""
    return [(hop.start, hop.end) for hop in route]


def covers(layers: list[tuple[int, int]], total: int) -> bool:
    """Returns whether layer ranges cover `[0, total)` once, in order."""
    expected = 0
    for start, end in layers:
        if start != expected or end <= start:
            return False
        expected = end
    return expected == total
