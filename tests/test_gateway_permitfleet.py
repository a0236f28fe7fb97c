"""Permits for a limited target among many instances."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from briarfall.bench import permitmodel

_ACTIONS = permitmodel.Action


class TestUsedLimit:
    """Most of a limit is used by a fleet of any size."""

    @pytest.mark.parametrize("count", [15, 100])
    def test_smaller_fleet_uses_a_small_limit(self, count):
        result = permitmodel.play(count, 1.6, permitmodel.Trouble.NONE)
        assert result.used >= 0.8


class TestRuleInAnyTrouble:
    """Any order of events keeps the rule, as in the model's own troubles."""

    @pytest.mark.parametrize("trouble", list(permitmodel.Trouble))
    @pytest.mark.parametrize("per_s", [0.0, 1.6, 4.0, 40.0])
    def test_status_spread_over_its_interval(self, per_s, trouble):
        result = permitmodel.play(
            40, per_s, trouble, 1, permitmodel.Sending.SPREAD
        )
        assert result.fullest <= result.allowed

    @settings(max_examples=120, deadline=None, derandomize=True)
    @given(st.data())
    def test_kills_freezes_cuts_and_starts(self, data):
        count = data.draw(st.sampled_from([2, 3, 5, 8, 15]))
        per_s = data.draw(st.sampled_from([0.0, 1.6, 4.0, 40.0]))
        events = data.draw(st.lists(_events(count), min_size=1, max_size=8))
        result = permitmodel.play_events(count, per_s, events)
        assert result.fullest <= result.allowed


def _events(count):
    # An instance without the list that hears no other regards itself as all.
    numbers = st.integers(0, count - 1)
    actions = [row for row in _ACTIONS if row is not _ACTIONS.START]
    return st.builds(
        permitmodel.Event,
        st.floats(0, 20),
        st.sampled_from(actions),
        st.none() | st.lists(numbers, unique=True, min_size=1),
    )
