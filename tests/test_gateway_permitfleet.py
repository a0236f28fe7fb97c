"""Permits for a limited target among many instances."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from briarfall import ids
from briarfall.bench import permitmodel
from briarfall.gateway.ratelimits import permithomes
from briarfall.gateway.targets import incarnations

_ACTIONS = permitmodel.Action
_A = incarnations.Incarnation(ids.TargetId("a"), 1)
_EVERY_SENDING = pytest.mark.parametrize("sending", list(permitmodel.Sending))
_LIMITS = pytest.mark.parametrize("per_s", [1.6, 4.0])


class TestUsedLimit:
    """Most of a limit is used by a fleet of any size."""

    @_EVERY_SENDING
    @_LIMITS
    def test_home_settles_soon_in_calm(self, per_s, sending):
        calm = permitmodel.Trouble.NONE
        result = permitmodel.play(330, per_s, calm, 1, sending)
        assert result.used >= 0.8
        assert result.fullest <= result.allowed

    @_EVERY_SENDING
    @_LIMITS
    def test_home_settles_soon_after_a_restart_of_all(self, per_s, sending):
        restart = permitmodel.Trouble.RESTART_ALL
        result = permitmodel.play(330, per_s, restart, 1, sending)
        assert result.used >= 0.5
        assert result.fullest <= result.allowed

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


class _View:
    """The members as a test sets them."""

    def __init__(self, live, known, interval_s):
        self.live = tuple(live)
        self.known = known
        self.interval_s = interval_s

    def read(self):
        return permithomes.Members(self.live, self.known, self.interval_s)


def _pass(clock, homes, seconds):
    for _ in range(round(seconds / 0.25)):
        clock.now_s += 0.25
        homes.refresh()


class TestNewHome:
    """What an instance gives out after a change of the members."""

    @pytest.fixture
    def names(self):
        return [ids.InstanceId(f"i{number:02}") for number in range(20)]

    @pytest.fixture
    def home(self, names, clock):
        view = _View(names, 20, 6.6)
        homes = permithomes.PermitHomes(names[0], view.read)
        homes.refresh()
        return homes.home_of(_A)

    def test_stays_within_the_rule_beside_an_earlier_home(
        self, clock, names, home
    ):
        view = _View(names, 20, 6.6)
        homes = permithomes.PermitHomes(home, view.read)
        homes.refresh()
        assert homes.rate(_A, 10.0) is None
        _pass(clock, homes, 1.0)
        assert 0 < homes.rate(_A, 10.0) <= 5.0
        _pass(clock, homes, 5.5)
        assert homes.rate(_A, 10.0) <= 5.0
        _pass(clock, homes, 1.0)
        assert homes.rate(_A, 10.0) == 10.0

    def test_change_that_leaves_the_home_changes_nothing(
        self, clock, names, home
    ):
        view = _View(names, 20, 6.6)
        homes = permithomes.PermitHomes(home, view.read)
        homes.refresh()
        _pass(clock, homes, 10)
        other = next(name for name in names if name != home)
        view.live = tuple(name for name in names if name != other)
        _pass(clock, homes, 0.25)
        assert homes.rate(_A, 10.0) == 10.0

    def test_halves_that_hear_each_other_again_do_not_both_give_out_all(
        self, clock, names, home
    ):
        rows = [name for name in names if name != home][:9]
        view = _View([home, *rows], 20, 6.6)
        homes = permithomes.PermitHomes(home, view.read)
        homes.refresh()
        _pass(clock, homes, 10)
        assert homes.rate(_A, 10.0) == pytest.approx(6.25)
        view.live = tuple(names)
        _pass(clock, homes, 5)
        assert homes.rate(_A, 10.0) == pytest.approx(6.25)
        _pass(clock, homes, 3)
        assert homes.rate(_A, 10.0) == 10.0

    def test_instance_that_has_just_started_waits_for_the_others(
        self, clock, names, home
    ):
        view = _View([home], 1, 6.6)
        homes = permithomes.PermitHomes(home, view.read)
        homes.refresh()
        _pass(clock, homes, 5)
        assert homes.rate(_A, 10.0) is None
