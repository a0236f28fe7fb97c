"""The retry budget of all instances together while some of them restart."""

import collections
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from briarfall.gateway import clocks
from briarfall.gateway.calls import budgets

_RATIO = 0.2
_WINDOW_S = 10.0
_STEP_S = 0.5
_STEPS = 80
_PER_WINDOW = int(_WINDOW_S / _STEP_S)


class _Fleet:
    """Retry budgets of instances on a clock of their own."""

    def __init__(self, count, slack, *, discovery_steps=0):
        self.now_s = 1000.0
        self._slack = slack
        self._discovery_steps = discovery_steps
        self._alive = [True] * count
        self._born = [-_STEPS] * count
        self._step = 0
        self.rows = [self._start(number, True) for number in range(count)]
        # Retries and requests of each step.
        self.retries = []
        self.requests = []

    def _start(self, number, is_first_start):
        self._born[number] = self._step if not is_first_start else -_STEPS
        return budgets.RetryBudget(
            _RATIO,
            _WINDOW_S,
            self._slack,
            lambda: self._known(number),
            is_first_start=is_first_start,
        )

    def _known(self, number):
        """Instances that one knows; new ones and their peers know few."""
        if self._step - self._born[number] < self._discovery_steps:
            return 1
        known = 0
        for is_alive, born in zip(self._alive, self._born, strict=True):
            known += is_alive and self._step - born >= self._discovery_steps
        return max(1, known)

    def stop(self, numbers):
        for number in numbers:
            self._alive[number] = False

    def start(self, numbers):
        for number in numbers:
            self._alive[number] = True
            self.rows[number] = self._start(number, False)

    def run_step(self, per_instance, spends):
        """Counts requests; instances retry all they may if they spend."""
        self.requests.append(0)
        self.retries.append(0)
        for number, budget in enumerate(self.rows):
            if not self._alive[number]:
                continue
            for _ in range(per_instance):
                budget.record_request()
            self.requests[-1] += per_instance
            while spends and budget.take_retry():
                self.retries[-1] += 1
        self._step += 1
        self.now_s += _STEP_S

    def most_over_bound(self):
        """Returns by how much the fullest window exceeds its bound."""
        worst = float("-inf")
        for end in range(1, len(self.retries) + 1):
            asked = 0
            for back in (0, _PER_WINDOW // 2, _PER_WINDOW):
                last = max(0, end - back)
                begin = max(0, last - _PER_WINDOW)
                asked = max(asked, sum(self.requests[begin:last]))
            taken = sum(self.retries[max(0, end - _PER_WINDOW) : end])
            worst = max(worst, taken - _RATIO * asked - self._slack)
        return worst


def _play(fleet, monkeypatch, per_instance, restarts, spends):
    """Plays steps.

    Args:
        fleet: The instances.
        monkeypatch: Sets the clock.
        per_instance: Requests of each instance in a step.
        restarts: By step, the instances that stop and those that start.
        spends: Whether instances retry all they may, by step.
    """
    monkeypatch.setattr(clocks, "boot_s", lambda: fleet.now_s)
    for step in range(_STEPS):
        stopped, started = restarts.get(step, ((), ()))
        fleet.stop(stopped)
        fleet.start(started)
        fleet.run_step(per_instance, spends(step))


def _restart(step, numbers, down_steps, restarts):
    restarts[step][0].extend(numbers)
    restarts[step + down_steps][1].extend(numbers)


class TestRestarts:
    """The slack is well above the number of instances, as it is for users."""

    @pytest.mark.parametrize("down_steps", [0, 1, 6, 25])
    @pytest.mark.parametrize("share", [0.5, 1.0])
    @pytest.mark.parametrize("at_step", [25, 33, 44])
    @pytest.mark.parametrize("per_instance", [0, 2, 20])
    def test_of_many_at_once_keep_the_bound(
        self, monkeypatch, down_steps, share, at_step, per_instance
    ):
        fleet = self._fleet(monkeypatch, 2)
        restarts = collections.defaultdict(lambda: ([], []))
        _restart(at_step, range(int(20 * share)), down_steps, restarts)
        _play(
            fleet,
            monkeypatch,
            per_instance,
            restarts,
            lambda step: step >= at_step - 1,
        )
        assert fleet.most_over_bound() <= 0

    @pytest.mark.parametrize("gap_steps", [1, 2, 3])
    @pytest.mark.parametrize("per_instance", [0, 2, 20])
    def test_one_after_the_other_keep_the_bound(
        self, monkeypatch, gap_steps, per_instance
    ):
        fleet = self._fleet(monkeypatch, 2)
        restarts = collections.defaultdict(lambda: ([], []))
        for number in range(20):
            _restart(10 + number * gap_steps, [number], 1, restarts)
        _play(fleet, monkeypatch, per_instance, restarts, lambda step: True)
        assert fleet.most_over_bound() <= 0

    @given(seed=st.integers(0, 10**6), per_instance=st.integers(0, 20))
    @settings(max_examples=60, deadline=None, derandomize=True)
    def test_of_any_mix_keep_the_bound(self, seed, per_instance):
        rng = random.Random(seed)
        restarts = collections.defaultdict(lambda: ([], []))
        for _ in range(rng.randint(1, 3)):
            numbers = rng.sample(range(20), rng.randint(1, 20))
            down_steps = rng.randint(0, 24)
            _restart(rng.randrange(5, 60), numbers, down_steps, restarts)
        active = {step for step in range(_STEPS) if rng.random() < 0.5}
        with pytest.MonkeyPatch.context() as patch:
            fleet = self._fleet(patch, rng.randint(0, 3))
            _play(
                fleet,
                patch,
                per_instance,
                restarts,
                lambda step: step in active,
            )
        assert fleet.most_over_bound() <= 0

    def _fleet(self, monkeypatch, discovery_steps):
        monkeypatch.setattr(clocks, "boot_s", lambda: 1000.0)
        return _Fleet(20, 449, discovery_steps=discovery_steps)


class TestStartingInstance:
    def test_that_restarts_retries_its_first_requests(self, clock):
        budget = self._budget(is_first_start=False)
        budget.record_request()
        assert budget.take_retry()

    def test_that_restarts_gets_its_slack_after_a_window(self, clock):
        budget = self._budget(is_first_start=False)
        assert not budget.has_retry()
        clock.now_s += _WINDOW_S + 2.1
        assert budget.take_retry()

    def test_of_a_system_that_starts_first_has_its_slack(self, clock):
        assert self._budget(is_first_start=True).take_retry()

    def test_requests_earn_retries_while_the_slack_is_used_up(self, clock):
        budget = self._budget(is_first_start=True)
        while budget.take_retry():
            pass
        taken = 0
        for _ in range(100):
            budget.record_request()
            taken += budget.take_retry()
        assert taken >= 20

    def test_peers_that_vanish_leave_their_slack_only_after_a_window(
        self, clock
    ):
        count = 4
        budget = budgets.RetryBudget(0.0, _WINDOW_S, 40.0, lambda: count)
        before = _take_all(budget)
        count = 1
        assert _take_all(budget) == 0
        clock.now_s += _WINDOW_S + 0.1
        assert _take_all(budget) == pytest.approx(4 * before, abs=1)

    def _budget(self, *, is_first_start):
        return budgets.RetryBudget(
            _RATIO,
            _WINDOW_S,
            449.0,
            lambda: 20,
            is_first_start=is_first_start,
        )


def _take_all(budget):
    taken = 0
    while budget.take_retry():
        taken += 1
    return taken
