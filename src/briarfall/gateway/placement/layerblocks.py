"""Blocks of layers, of which the layer ranges of engines consist.

Engines whose ranges begin and end at the same block borders can replace each
other in a chain. Large blocks make short chains, which the loss of an engine
hits less often, and more replicas of each layer; small blocks leave an engine
more memory for its KV cache.
"""

from briarfall.gateway.catalogue import sources
from briarfall.gateway.catalogue import views

# Requests of mean size for which an engine keeps KV cache beside its layers.
_CACHED_REQUESTS = 40
# The same in a zone with too few engines to cover all layers.
_MIN_CACHED_REQUESTS = 32
# Share of an engine's memory that its layers take at least, if they fit;
# earlier releases knew no other rule.
_WEIGHT_SHARE = 0.66


class LayerBlocks:
    """The blocks of a model.

    Args:
        model: The model's layout.
        cached_requests: Requests of mean size for which an engine keeps KV
            cache, or None if its layers take the usual share of its memory.

    Attributes:
        borders: First layer of each block, then the number of layers.
    """

    def __init__(self, model: views.ModelLayout, cached_requests: int | None):
        self._model = model
        self._cached_requests = cached_requests
        smallest = min(kind.memory_mb for kind in model.kinds.values())
        self._size = max(1, min(self._usual_layers(smallest), model.layers))
        count = -(-model.layers // self._size)
        self.borders = [
            round(index * model.layers / count) for index in range(count + 1)
        ]

    @property
    def count(self) -> int:
        """Number of blocks."""
        return len(self.borders) - 1

    def within(self, layers: sources.LayerRange) -> list[int]:
        """Returns the blocks that lie completely within a layer range."""
        found = []
        for block in range(self.count):
            span = sources.LayerRange(
                self.borders[block], self.borders[block + 1]
            )
            if layers.contains(span):
                found.append(block)
        return found

    def usual_count(self, kind: str) -> int:
        """Returns the blocks that an engine of a kind holds by default."""
        hardware = self._model.kinds.get(kind)
        if hardware is None:
            return 0
        return self._usual_layers(hardware.memory_mb) // self._size

    def max_count(self, kind: str) -> int:
        """Returns the blocks that an engine can hold beside a small cache."""
        hardware = self._model.kinds.get(kind)
        if hardware is None:
            return 0
        fits = _layers_beside(
            self._model, hardware.memory_mb, _MIN_CACHED_REQUESTS
        )
        return max(self.usual_count(kind), fits // self._size)

    def matches(self, layers: sources.LayerRange) -> bool:
        """Whether a range begins and ends at borders."""
        return layers.first in self.borders and layers.end in self.borders

    def _usual_layers(self, memory_mb: float) -> int:
        layers = int(memory_mb * _WEIGHT_SHARE // self._model.layer_mb)
        if self._cached_requests is None or not _request_tokens(self._model):
            return layers
        return max(
            layers,
            _layers_beside(self._model, memory_mb, self._cached_requests),
        )


def candidates(model: views.ModelLayout) -> tuple[LayerBlocks, LayerBlocks]:
    """Returns the blocks with cache for usual requests, and the earlier ones.

    The earlier ones are never larger. Earlier releases use no others.
    """
    return LayerBlocks(model, _CACHED_REQUESTS), LayerBlocks(model, None)


def _layers_beside(
    model: views.ModelLayout, memory_mb: float, cached_requests: int
) -> int:
    """Returns the layers that fit beside KV cache for some mean requests."""
    tokens = cached_requests * _request_tokens(model)
    layer_mb = model.layer_mb + tokens * model.kv_bytes / model.layers / 1e6
    return int(memory_mb // layer_mb)


def _request_tokens(model: views.ModelLayout) -> float:
    """Returns the tokens of the mean request; 0 if they are unknown."""
    return model.mean_prompt_tokens + model.mean_answer_tokens
