"""Compares ways to choose chains on a simulated fleet."""

import pytest

from briarfall.bench import pathchoices


class TestPathChoices:
    @pytest.mark.parametrize("seed", [1, 2])
    def test_gateway_refuses_least_and_is_fastest(self, seed):
        rows = pathchoices.run(33, 20, 3, 40.0, 6.0, seed)
        by_name = {row.choice: row for row in rows}
        gateway = by_name["gateway"]
        random_choice = by_name["random in the zone"]
        assert (
            gateway.refused <= by_name["cheapest, without noise"].refused + 0.02
        )
        assert gateway.refused <= random_choice.refused
        assert gateway.token_ms_p50 < random_choice.token_ms_p50

    def test_same_seed_gives_the_same_report(self):
        first = pathchoices.run(33, 5, 3, 30.0, 2.0, 7)
        assert pathchoices.run(33, 5, 3, 30.0, 2.0, 7) == first
