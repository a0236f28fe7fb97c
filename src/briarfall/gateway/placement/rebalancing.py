"""Reassignment of engines to layers that are scarce in their zone.

After a zone has lost the engines of some layers, all its requests go over the
inter-zone link, which can carry only some of them, or over the one engine that
is left. Reassignments restore the coverage within the zone.
"""

import collections.abc

import msgspec

from briarfall import ids
from briarfall.gateway.catalogue import sources
from briarfall.gateway.catalogue import views
from briarfall.gateway.placement import enginecosts
from briarfall.gateway.placement import layerblocks
from briarfall.gateway.placement import placement
from briarfall.gateway.targets import loads

# A reassignment that doesn't lower the number of uncovered blocks must reduce
# the scarcity to less than this share of its value.
_MAX_SCARCITY_RATIO = 0.7
# A block with less KV capacity than this, in tokens, counts as uncovered.
_MIN_CAPACITY = 1.0
# Decimal digits to which gains are rounded; smaller differences don't count.
_GAIN_DIGITS = 2


class Reassignment(msgspec.Struct, frozen=True):
    """A new layer range for an engine that already holds layers.

    Attributes:
        engine: The engine with the layers that it holds now.
        layers: The layers that it shall hold.
    """

    engine: placement.EngineInfo
    layers: sources.LayerRange


class _Coverage(msgspec.Struct, frozen=True, order=True):
    """How well a zone's layers are covered; smaller values are better.

    Attributes:
        uncovered: Number of blocks that no engine of the zone holds.
        scarcity: Sum of the scarcities of all blocks.
    """

    uncovered: int
    scarcity: float


def next_reassignment(
    model: views.ModelLayout,
    engines: list[placement.EngineInfo],
    fixed: collections.abc.Set[ids.TargetId],
    load_of: collections.abc.Callable[[ids.TargetId], loads.Load],
) -> Reassignment | None:
    """Returns the reassignment that improves a zone's coverage most, or None.

    No reassignment raises the number of uncovered blocks of a zone. An engine
    therefore releases layers that other engines of the zone hold as well,
    unless it covers at least as many uncovered blocks as it leaves uncovered.

    Args:
        model: The model's layout.
        engines: All engines; those with a pending assignment with the layers
            that they will hold.
        fixed: Ids of engines that may not be reassigned.
        load_of: Returns the load of an engine. Of reassignments with equal
            gains, that of the least loaded engine is chosen.
    """
    best = None
    blocks = placement.choose_blocks(model, engines)
    zones = sorted({engine.zone for engine in engines})
    for zone in zones:
        rows = [row for row in engines if row.zone == zone and row.layers]
        found = _Zone(model, blocks, rows).best_reassignment(fixed, load_of)
        if found is not None and (best is None or found[0] < best[0]):
            best = found
    return best[1] if best else None


class _Zone:
    """The engines of one zone and the KV capacity of each block of layers.

    Args:
        model: The model's layout.
        blocks: The blocks of layers.
        engines: Engines of the zone that hold layers.
    """

    def __init__(
        self,
        model: views.ModelLayout,
        blocks: layerblocks.LayerBlocks,
        engines: list[placement.EngineInfo],
    ):
        self._model = model
        self._engines = engines
        self._blocks = blocks
        self._capacities: dict[tuple[str, int], float] = {}
        self._cover = [0.0] * blocks.count
        for engine in engines:
            self._add_capacity(self._cover, engine.kind, engine.layers, 1)

    def best_reassignment(
        self,
        fixed: collections.abc.Set[ids.TargetId],
        load_of: collections.abc.Callable[[ids.TargetId], loads.Load],
    ) -> tuple[tuple, Reassignment] | None:
        """Returns the best worthwhile reassignment with its rank, or None."""
        before = _coverage_of(self._cover)
        best = None
        for engine in self._engines:
            if engine.id in fixed:
                continue
            for layers in self._candidate_ranges(engine):
                after = self._coverage_after(engine, layers)
                if not _is_worthwhile(before, after):
                    continue
                gain = round(after.scarcity / before.scarcity, _GAIN_DIGITS)
                streams = load_of(engine.id).streams
                rank = (
                    after.uncovered - before.uncovered,
                    gain,
                    streams,
                    engine.id,
                )
                if best is None or rank < best[0]:
                    best = (rank, Reassignment(engine, layers))
        return best

    def _scarce_blocks(self) -> list[int]:
        """Returns the uncovered blocks, or else the one with least capacity."""
        scarce = []
        for block, capacity in enumerate(self._cover):
            if capacity < _MIN_CAPACITY:
                scarce.append(block)
        if not scarce:
            least = min(self._cover)
            scarce.append(self._cover.index(least))
        return scarce

    def _candidate_ranges(
        self, engine: placement.EngineInfo
    ) -> set[sources.LayerRange]:
        """Returns layer ranges with scarce blocks that an engine can hold.

        These are ranges of the usual size around a scarce block, and the
        engine's own range extended to it, if that fits.
        """
        blocks = len(self._cover)
        borders = self._blocks.borders
        usual_count = min(blocks, self._blocks.usual_count(engine.kind))
        max_count = min(blocks, self._blocks.max_count(engine.kind))
        ranges = set()
        for block in self._scarce_blocks():
            first = max(0, block - usual_count + 1)
            for start in range(first, min(block, blocks - usual_count) + 1):
                ranges.add(self._range(start, start + usual_count))
            wider = sources.LayerRange(
                min(engine.layers.first, borders[block]),
                max(engine.layers.end, borders[block + 1]),
            )
            if wider.size <= borders[max_count]:
                ranges.add(wider)
        return ranges

    def _range(self, first_block: int, end_block: int) -> sources.LayerRange:
        borders = self._blocks.borders
        return sources.LayerRange(borders[first_block], borders[end_block])

    def _coverage_after(
        self, engine: placement.EngineInfo, layers: sources.LayerRange
    ) -> _Coverage:
        cover = list(self._cover)
        self._add_capacity(cover, engine.kind, engine.layers, -1)
        self._add_capacity(cover, engine.kind, layers, 1)
        return _coverage_of(cover)

    def _add_capacity(
        self,
        cover: list[float],
        kind: str,
        layers: sources.LayerRange,
        sign: int,
    ) -> None:
        key = (kind, layers.size)
        capacity = self._capacities.get(key)
        if capacity is None:
            capacity = enginecosts.kv_capacity(self._model, kind, layers)
            self._capacities[key] = capacity
        for block in self._blocks.within(layers):
            cover[block] += sign * capacity


def _coverage_of(cover: list[float]) -> _Coverage:
    uncovered = 0
    scarcity = 0.0
    for capacity in cover:
        uncovered += capacity < _MIN_CAPACITY
        scarcity += placement.scarcity(max(0.0, capacity))
    return _Coverage(uncovered, scarcity)


def _is_worthwhile(before: _Coverage, after: _Coverage) -> bool:
    if after.uncovered != before.uncovered:
        return after.uncovered < before.uncovered
    return after.scarcity < before.scarcity * _MAX_SCARCITY_RATIO
