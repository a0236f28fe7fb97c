"""Ways to choose chains, compared on a simulated fleet."""

import pytest

from briarfall.bench import pathchoices


class TestPathChoices:
    @pytest.mark.parametrize("seed", [1, 2])
    def test_gateway_refuses_least_and_is_fastest(self, seed):
        rows = pathchoices.run(33, 20, 3, 40.0, 6.0, seed)
        by_name = {row.choice: row for row in rows}
        ours = by_name["gateway"]
        chance = by_name["random in the zone"]
        assert ours.refused <= by_name["cheapest, without noise"].refused + 0.02
        assert ours.refused <= chance.refused
        assert ours.token_ms_p50 < chance.token_ms_p50

    def test_same_seed_gives_the_same_report(self):
        first = pathchoices.run(33, 5, 3, 30.0, 2.0, 7)
        assert pathchoices.run(33, 5, 3, 30.0, 2.0, 7) == first
