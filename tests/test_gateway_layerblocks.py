import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from briarfall.bench import placements
from briarfall.gateway.catalogue import sources
from briarfall.gateway.catalogue import views
from briarfall.gateway.placement import layerblocks
from briarfall.gateway.placement import placement

KINDS = {
    "small": views.HardwareKind(14_400.0, 15.0, 15.0),
    "medium": views.HardwareKind(21_600.0, 16.0, 8.2),
    "large": views.HardwareKind(36_000.0, 3.1, 3.2),
}
# Its requests are short beside the memory that 0.66 for weights leaves.
SHORT = msgspec.structs.replace(
    placements.layout(),
    layers=80,
    layer_mb=1750.0,
    kv_bytes=656_000.0,
    mean_prompt_tokens=772.0,
    mean_answer_tokens=138.0,
    kinds=KINDS,
)
LONG = msgspec.structs.replace(SHORT, mean_prompt_tokens=20_000.0)


def engines(kind, count, zone="z1", layers=None):
    return [
        placement.EngineInfo(f"{zone}-{kind}-{number}", zone, kind, layers)
        for number in range(count)
    ]


def cached_requests(model, kind, layers):
    hardware = model.kinds[kind]
    free_mb = hardware.memory_mb - layers * model.layer_mb
    request_tokens = model.mean_prompt_tokens + model.mean_answer_tokens
    request_mb = request_tokens * model.kv_bytes / model.layers * layers / 1e6
    return free_mb / request_mb


class TestLayerBlocks:
    def test_of_short_requests_are_larger_than_by_the_share_of_weights(self):
        large, small = layerblocks.candidates(SHORT)
        assert large.count == 12
        assert small.count == 16

    def test_of_long_requests_are_those_of_earlier_releases(self):
        large, small = layerblocks.candidates(LONG)
        assert large.borders == small.borders

    # Layers alone would fill the engines and leave no cache.
    def test_of_unknown_requests_are_those_of_earlier_releases(self):
        model = msgspec.structs.replace(
            SHORT, mean_prompt_tokens=0.0, mean_answer_tokens=0.0
        )
        large, small = layerblocks.candidates(model)
        assert large.borders == small.borders
        for kind in KINDS:
            assert large.usual_count(kind) == small.usual_count(kind)

    @hypothesis.given(
        strategies.floats(10, 50_000),
        strategies.floats(10, 5_000),
        strategies.floats(1e4, 1e7),
        strategies.integers(1, 200),
    )
    def test_leave_cache_or_the_share_of_memory(
        self, prompt, answer, kv_bytes, layers
    ):
        model = msgspec.structs.replace(
            SHORT,
            mean_prompt_tokens=prompt,
            mean_answer_tokens=answer,
            kv_bytes=kv_bytes,
            layers=layers,
        )
        large, small = layerblocks.candidates(model)
        assert large.count <= small.count
        assert large.borders[0] == 0
        assert large.borders[-1] == layers
        for kind in KINDS:
            count = large.usual_count(kind)
            held = count * -(-layers // large.count)
            held = min(held, int(KINDS[kind].memory_mb // model.layer_mb))
            if not count or held <= KINDS[kind].memory_mb * 0.66 // 1750:
                continue
            assert cached_requests(model, kind, held) >= 40


class TestChoiceOfBlocks:
    def test_of_a_fleet_that_is_empty_takes_large_ones(self):
        rows = engines("small", 30) + engines("medium", 10)
        assert placement.choose_blocks(SHORT, rows).count == 12

    def test_of_an_earlier_release_stays_while_engines_hold_them(self):
        held = sources.LayerRange(5, 10)
        rows = engines("small", 3, layers=held) + engines("medium", 30)
        assert placement.choose_blocks(SHORT, rows).count == 16

    def test_stays_once_engines_hold_large_ones(self):
        held = sources.LayerRange(7, 13)
        rows = engines("small", 8, layers=held) + engines("medium", 3)
        assert placement.choose_blocks(SHORT, rows).count == 12

    def test_ranges_of_both_do_not_decide(self):
        held = sources.LayerRange(0, 40)
        rows = engines("large", 3, layers=held)
        assert placement.choose_blocks(SHORT, rows).count == 12

    # Two medium engines hold six small blocks but only two large ones.
    def test_takes_small_ones_if_a_zone_can_hold_only_those(self):
        model = msgspec.structs.replace(
            SHORT,
            kinds={
                "small": KINDS["small"],
                "medium": views.HardwareKind(23_000.0, 16.0, 8.2),
            },
        )
        rows = engines("medium", 8)
        assert placement.choose_blocks(model, rows).count == 16

    def test_covers_each_zone_of_an_uneven_fleet(self):
        rows = []
        counts = {"z1": (2, 13, 22), "z2": (1, 22, 12), "z3": (4, 9, 14)}
        for zone, by_kind in counts.items():
            for kind, count in zip(
                ("large", "medium", "small"), by_kind, strict=True
            ):
                rows += engines(kind, count, zone)
        plan = placement.Plan(SHORT, rows)
        plan.assign_all(rows)
        for zone in counts:
            cover = plan.cover(zone)
            assert len(cover) == 12
            # Three replicas of the smallest kind, or one of more cache.
            assert min(cover) > 2 * 37_000


@pytest.mark.parametrize("kind", ["none", ""])
def test_unknown_kind_holds_no_block(kind):
    large, _ = layerblocks.candidates(SHORT)
    assert large.usual_count(kind) == 0
    assert large.max_count(kind) == 0
