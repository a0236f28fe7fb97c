"""Choice of layer ranges for empty engines."""

import msgspec

from briarfall import ids
from briarfall.gateway.catalogue import sources
from briarfall.gateway.catalogue import views
from briarfall.gateway.placement import enginecosts
from briarfall.gateway.placement import headslots
from briarfall.gateway.placement import layerblocks

# Tokens added to the capacity of a block, so that the scarcity of a block
# without any capacity is finite.
_SCARCITY_OFFSET = 1000.0
# Weight of the capacity in other zones. It counts little, since the inter-zone
# link carries only a small part of the traffic.
_REMOTE_WEIGHT = 0.15


class EngineInfo(msgspec.Struct, frozen=True):
    """An engine's properties that the choice of layers depends on.

    Attributes:
        id: The engine's id.
        zone: Its availability zone.
        kind: Kind of accelerator.
        layers: Layers that it holds or is about to hold, or None.
    """

    id: ids.TargetId
    zone: ids.ZoneId
    kind: str
    layers: sources.LayerRange | None = None


class Plan:
    """The coverage of a model's layers, and layer ranges for empty engines.

    A layer range consists of complete blocks.

    Args:
        model: The model's layout.
        engines: All engines; those with layers count towards the coverage.
    """

    def __init__(self, model: views.ModelLayout, engines: list[EngineInfo]):
        self._model = model
        self._blocks = choose_blocks(model, engines)
        blocks = self._blocks.count
        self._cover: dict[ids.ZoneId, list[float]] = {}
        by_zone: dict[ids.ZoneId, list[EngineInfo]] = {}
        for engine in engines:
            self._cover.setdefault(engine.zone, [0.0] * blocks)
            by_zone.setdefault(engine.zone, []).append(engine)
        for engine in engines:
            if engine.layers is not None:
                self._add(engine, engine.layers)
        self._block_counts: dict[ids.TargetId, int] = {}
        for rows in by_zone.values():
            self._block_counts.update(
                _block_counts_in_zone(model, rows, self._blocks)
            )

    def cover(self, zone: ids.ZoneId) -> list[float]:
        """Returns the KV capacity in tokens of a zone's engines, by block.

        That of the first block counts only as far as the slots of heads can
        use it.
        """
        return list(self._cover.get(zone, ()))

    def _add(self, engine: EngineInfo, layers: sources.LayerRange) -> None:
        capacity = enginecosts.kv_capacity(self._model, engine.kind, layers)
        cover = self._cover[engine.zone]
        for block in self._blocks.within(layers):
            if block == 0:
                cover[block] += headslots.usable_capacity(self._model, capacity)
                continue
            cover[block] += capacity

    def assign_all(
        self, engines: list[EngineInfo]
    ) -> dict[ids.TargetId, sources.LayerRange]:
        """Returns layer ranges for empty engines, by id.

        The engines that hold most blocks are assigned first.
        """
        order = sorted(
            engines,
            key=lambda row: (-self._block_counts.get(row.id, 0), row.id),
        )
        found = {}
        for engine in order:
            layers = self.assign(engine)
            if layers is not None:
                found[engine.id] = layers
        return found

    def assign(self, engine: EngineInfo) -> sources.LayerRange | None:
        """Returns the range of scarcest layers that fits an empty engine.

        The range is added to the coverage. None is returned if the engine
        can't hold a block.
        """
        blocks = self._blocks.count
        count = min(self._block_counts.get(engine.id, 0), blocks)
        if count < 1:
            return None
        best = None
        for start in _aligned_starts(blocks, count):
            value = self._total_scarcity(engine.zone, start, count)
            if best is None or value > best[0]:
                best = (value, start)
        start = best[1]
        borders = self._blocks.borders
        layers = sources.LayerRange(borders[start], borders[start + count])
        self._add(engine, layers)
        return layers

    def _total_scarcity(
        self, zone: ids.ZoneId, start: int, count: int
    ) -> float:
        """Returns the scarcity of consecutive blocks, as seen from a zone."""
        total_scarcity = 0.0
        for block in range(start, start + count):
            capacity = self._cover[zone][block]
            for other, cover in self._cover.items():
                if other != zone:
                    capacity += _REMOTE_WEIGHT * cover[block]
            total_scarcity += scarcity(capacity)
        return total_scarcity


def choose_blocks(
    model: views.ModelLayout, engines: list[EngineInfo]
) -> layerblocks.LayerBlocks:
    """Returns the blocks for the engines of a model.

    Large blocks are used unless a zone has too few engines to hold all of
    them, but could hold all of the smaller ones. Engines that hold layers by
    other blocks go on to do so, since loading takes seconds in which an engine
    serves nobody.
    """
    large, small = layerblocks.candidates(model)
    if large.borders == small.borders:
        return large
    lead = 0
    for engine in engines:
        if engine.layers is not None:
            lead += large.matches(engine.layers) - small.matches(engine.layers)
    if not lead:
        lead = _count_covered(large, engines) - _count_covered(small, engines)
    return large if lead >= 0 else small


def _count_covered(
    blocks: layerblocks.LayerBlocks, engines: list[EngineInfo]
) -> int:
    """Returns the number of zones whose engines can hold all blocks."""
    held: dict[ids.ZoneId, int] = {}
    for engine in engines:
        count = min(blocks.count, blocks.max_count(engine.kind))
        held[engine.zone] = held.get(engine.zone, 0) + count
    return sum(count >= blocks.count for count in held.values())


def _aligned_starts(blocks: int, count: int) -> list[int]:
    """Returns the first blocks of the ranges of `count` blocks to consider.

    These are the multiples of `count`, and the last possible start if the
    blocks don't divide evenly.
    """
    aligned = list(range(0, blocks - count + 1, count))
    if blocks % count:
        aligned.append(blocks - count)
    return aligned


def scarcity(capacity: float) -> float:
    """Returns the scarcity of a block, which falls with the squared capacity.

    Args:
        capacity: KV capacity for the block's layers, in tokens.
    """
    return 1.0 / (_SCARCITY_OFFSET + capacity) ** 2


def _block_counts_in_zone(
    model: views.ModelLayout,
    engines: list[EngineInfo],
    layer_blocks: layerblocks.LayerBlocks,
) -> dict[ids.TargetId, int]:
    """Returns the number of blocks that each empty engine of a zone shall hold.

    That is the usual number for its kind, or more if the zone could otherwise
    not cover all layers after the loss of its largest engine.
    """
    counts = {}
    blocks = layer_blocks.count
    wanted = blocks
    held = 0
    for engine in engines:
        usual = layer_blocks.usual_count(engine.kind)
        wanted = max(wanted, blocks + usual)
        if engine.layers is not None:
            held += engine.layers.size * blocks // model.layers
            continue
        counts[engine.id] = usual
        held += usual
    grows = True
    while held < wanted and grows:
        grows = False
        for engine in engines:
            count = counts.get(engine.id)
            max_count = min(blocks, layer_blocks.max_count(engine.kind))
            if count is None or held >= wanted or count >= max_count:
                continue
            counts[engine.id] = count + 1
            held += 1
            grows = True
    return counts
