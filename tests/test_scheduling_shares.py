"""Division of a capacity over classes of requests."""

import itertools

from hypothesis import given
from hypothesis import strategies as st
import pytest

from briarfall.gateway.scheduling import classes
from briarfall.gateway.scheduling import shares

_CLASSES = [
    classes.DemandClass(urgency, band)
    for urgency in (0, 1, 5, 9)
    for band in classes.Band
]
_DEMANDS = st.dictionaries(
    st.sampled_from(_CLASSES), st.floats(0.01, 1e5), min_size=1
)
# Capacity as a share of the demand.
_ROOM = st.floats(0.01, 1.5)
_TOLERANCE = 1e-9


def cls(urgency, band=classes.Band.USUAL):
    return classes.DemandClass(urgency, band)


class TestRatios:
    @given(demands=_DEMANDS, room=_ROOM)
    def test_sum_is_never_over_the_capacity_and_nothing_is_withheld(
        self, demands, room
    ):
        total = sum(demands.values())
        capacity = room * total
        found = sum(shares.divide(capacity, demands).values())
        assert found == pytest.approx(min(total, capacity), rel=1e-6)

    @given(demands=_DEMANDS, room=_ROOM)
    def test_every_class_gets_its_floor(self, demands, room):
        total = sum(demands.values())
        for ratio in shares.ratios(room * total, demands).values():
            together = min(1.0, room)
            assert ratio >= together * shares.FLOOR - _TOLERANCE
            assert ratio > together / 3
            assert ratio <= 1 + _TOLERANCE

    @given(demands=_DEMANDS, room=_ROOM)
    def test_more_urgent_class_never_has_the_smaller_share(self, demands, room):
        found = shares.ratios(room * sum(demands.values()), demands)
        for one, other in itertools.permutations(found, 2):
            if one.band == other.band and one.urgency < other.urgency:
                assert found[one] >= found[other] - _TOLERANCE

    @given(demands=_DEMANDS, room=_ROOM)
    def test_smaller_requests_go_first_but_large_ones_keep_a_share(
        self, demands, room
    ):
        found = shares.ratios(room * sum(demands.values()), demands)
        for one, other in itertools.permutations(found, 2):
            if one.urgency == other.urgency and one.band < other.band:
                assert found[one] >= found[other] - _TOLERANCE
                assert found[other] >= 0.6 * found[one] - _TOLERANCE

    @given(demands=_DEMANDS, room=_ROOM, more=st.floats(1.0, 2.0))
    def test_more_capacity_never_gives_a_class_less(self, demands, room, more):
        capacity = room * sum(demands.values())
        before = shares.ratios(capacity, demands)
        after = shares.ratios(capacity * more, demands)
        for one, ratio in before.items():
            assert after[one] >= ratio - 1e-6

    @given(demand=st.floats(0.01, 1e5), room=_ROOM)
    def test_one_class_gets_the_whole_capacity(self, demand, room):
        found = shares.ratios(room * demand, {cls(3): demand})
        assert found[cls(3)] == pytest.approx(min(1.0, room))

    def test_most_urgent_class_is_served_whole_if_the_floor_leaves_room(self):
        found = shares.ratios(60.0, {cls(0): 20.0, cls(5): 100.0})
        assert found[cls(0)] == 1.0
        assert found[cls(5)] == pytest.approx(0.4)

    @given(demands=_DEMANDS, room=_ROOM, unnamed=st.floats(0.01, 1e5))
    def test_earlier_releases_let_in_an_equal_share_of_all(
        self, demands, room, unnamed
    ):
        demands[classes.UNNAMED] = unnamed
        total = sum(demands.values())
        found = shares.divide(room * total, demands)
        assert sum(found.values()) == pytest.approx(
            min(total, room * total), rel=1e-6
        )
        assert found[classes.UNNAMED] == pytest.approx(unnamed * min(1, room))

    def test_no_capacity_serves_nobody(self):
        assert shares.divide(0.0, {cls(0): 1.0}) == {cls(0): 0.0}

    def test_no_demand_has_no_shares(self):
        assert shares.ratios(10.0, {}) == {}


class TestClasses:
    def test_bands_follow_the_mean_request(self):
        assert classes.band_of(40, 100) is classes.Band.SMALL
        assert classes.band_of(100, 100) is classes.Band.USUAL
        assert classes.band_of(201, 100) is classes.Band.LARGE

    def test_request_of_an_excessive_account_counts_as_one_band_larger(self):
        found = classes.class_of(2, 300, 100, is_excess=True)
        assert found == cls(2, classes.Band.EXCESS)

    @given(urgency=st.integers(-100, 1000), work=st.floats(0, 1e9))
    def test_key_is_one_byte_and_names_the_class(self, urgency, work):
        found = classes.class_of(urgency, work, 100.0)
        key = classes.key_of(found)
        assert 0 <= key < 128
        assert classes.from_key(key) == found

    @pytest.mark.parametrize("key", [-1, 128, 10**9])
    def test_unknown_key_names_no_class(self, key):
        assert classes.from_key(key) is None
