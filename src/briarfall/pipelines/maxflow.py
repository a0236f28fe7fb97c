"""Maximum flow over the layer graph.

It gives the weights of the flow policy and an upper bound of the throughput.

Follows the reduction of Helix (ASPLOS 2025): each target is an edge from an
"in" vertex to an "out" vertex, with the throughput of the target as capacity.
"""

import collections

from briarfall.pipelines import graph as graphs

_EPSILON = 1e-9


class FlowNetwork:
    """Flow network with float capacities, solved by Dinic's algorithm."""

    def __init__(self):
        self._heads: list[int] = []
        self._capacity: list[float] = []
        self._adjacent: dict[object, list[int]] = collections.defaultdict(list)

    def add(self, src, dst, capacity: float) -> int:
        """Adds a directed edge and returns its number."""
        number = len(self._heads)
        self._heads += [dst, src]
        self._capacity += [capacity, 0.0]
        self._adjacent[src].append(number)
        self._adjacent[dst].append(number + 1)
        return number

    def flow(self, number: int) -> float:
        """Returns the flow over an edge; valid after `maximise`."""
        return self._capacity[number + 1]

    def maximise(self, source, sink) -> float:
        """Computes the maximum flow and returns its total."""
        total = 0.0
        while True:
            levels = self._levels(source, sink)
            if sink not in levels:
                return total
            positions = dict.fromkeys(self._adjacent, 0)
            while True:
                pushed = self._push(
                    source, sink, float("inf"), levels, positions
                )
                if pushed <= _EPSILON:
                    break
                total += pushed

    def _levels(self, source, sink) -> dict:
        levels = {source: 0}
        queue = collections.deque([source])
        while queue:
            vertex = queue.popleft()
            for number in self._adjacent[vertex]:
                head = self._heads[number]
                if self._capacity[number] > _EPSILON and head not in levels:
                    levels[head] = levels[vertex] + 1
                    queue.append(head)
        return levels

    def _push(self, vertex, sink, limit, levels, positions) -> float:
        if vertex == sink:
            return limit
        edges = self._adjacent[vertex]
        while positions[vertex] < len(edges):
            number = edges[positions[vertex]]
            head = self._heads[number]
            residual = self._capacity[number]
            if residual > _EPSILON and levels.get(head) == levels[vertex] + 1:
                pushed = self._push(
                    head, sink, min(limit, residual), levels, positions
                )
                if pushed > _EPSILON:
                    self._capacity[number] -= pushed
                    self._capacity[number ^ 1] += pushed
                    return pushed
            positions[vertex] += 1
        return 0.0


def flow_of(layer_graph: graphs.LayerGraph) -> "FlowResult":
    """Returns the maximum flow of a graph, computed on first use."""
    if layer_graph.flow is None:
        layer_graph.flow = FlowResult(layer_graph)
    return layer_graph.flow


class FlowResult:
    """Maximum flow of a layer graph.

    Attributes:
        total: Tokens per second that the graph can carry.
        weights: Flow over each edge, by start boundary and target id.
    """

    def __init__(self, layer_graph: graphs.LayerGraph):
        network = FlowNetwork()
        numbers: dict[tuple[int, str], int] = {}
        targets = {}
        for edges in layer_graph.edges.values():
            for edge in edges:
                targets[edge.target.id] = edge.target
        for target in targets.values():
            network.add(
                ("in", target.id), ("out", target.id), target.tokens_per_s
            )
        for boundary, edges in layer_graph.edges.items():
            for edge in edges:
                name = edge.target.id
                numbers[(boundary, name)] = network.add(
                    boundary, ("in", name), float(1 << 40)
                )
        for target in targets.values():
            network.add(("out", target.id), target.end, float(1 << 40))
        self.total = network.maximise(0, layer_graph.layers)
        self.weights = {
            key: network.flow(number) for key, number in numbers.items()
        }
