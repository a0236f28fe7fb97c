"""Placement strategies compared by the maximum flow that they carry."""

import pytest

from briarfall.bench import placements


class TestPlacements:
    @pytest.mark.parametrize("seed", [1, 2, 3])
    @pytest.mark.parametrize("engines", [33, 86, 300])
    def test_gateway_carries_more_than_simpler_strategies(self, engines, seed):
        rows = placements.run(engines, 3, seed)
        gateway, *others = rows
        assert gateway.zones_served == 3
        assert 0.5 < gateway.of_bound <= 1.0
        for row in others:
            assert gateway.tokens_per_s > row.tokens_per_s, row.placement
            assert gateway.scarcest_layer_tokens >= row.scarcest_layer_tokens
