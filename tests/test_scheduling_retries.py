"""Whose retries get the last part of the retry budget."""

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from briarfall import exceptions
from briarfall.gateway.calls import budgets
from briarfall.gateway.crashes import crashes
from briarfall.gateway.forwarding import dispatchgate
from briarfall.gateway.scheduling import retries
from tests import test_gateway_decisions
from tests import test_gateway_streams

_URGENT = retries.RetryNeed(1)
_LEAST = retries.RetryNeed(8)


def _reserve(*urgencies: int) -> retries.RetryReserve:
    reserve = retries.RetryReserve()
    for urgency in urgencies:
        reserve.record(urgency, 0.0)
    return reserve


class TestReserve:
    def test_one_urgency_is_served_as_before(self):
        reserve = _reserve(5, 5, 5)
        for need in (
            retries.RetryNeed(5),
            retries.RetryNeed(5, is_started=True),
            retries.RetryNeed(5, is_in_time=False),
        ):
            assert reserve.kept(need, 100.0, 1.0) == 0

    def test_a_quarter_is_kept_from_the_least_urgent(self):
        reserve = _reserve(1, 8)
        assert reserve.kept(_URGENT, 100.0, 1.0) == 0
        assert reserve.kept(_LEAST, 100.0, 1.0) == 25

    def test_urgencies_between_get_a_part(self):
        reserve = _reserve(1, 4, 8)
        assert reserve.kept(retries.RetryNeed(4), 100.0, 1.0) == 12

    def test_started_streams_get_all(self):
        need = retries.RetryNeed(8, is_started=True, is_in_time=False)
        assert _reserve(1, 8).kept(need, 100.0, 1.0) == 0

    def test_late_answer_stands_behind_the_others(self):
        need = retries.RetryNeed(1, is_in_time=False)
        assert _reserve(1, 8).kept(need, 100.0, 1.0) == 25

    def test_urgencies_of_long_ago_do_not_count(self):
        reserve = _reserve(1, 8)
        reserve.record(8, 20.0)
        assert reserve.kept(_LEAST, 100.0, 21.0) == 0

    def test_nothing_is_kept_of_a_small_budget(self):
        assert _reserve(1, 8).kept(_LEAST, 3.0, 1.0) == 0

    def test_every_eighth_in_a_row_passes(self):
        reserve = _reserve(1, 8)
        passed = [reserve.passes() for _ in range(24)]
        assert passed == ([False] * 7 + [True]) * 3

    @given(
        st.lists(st.integers(0, 9)),
        st.integers(0, 9),
        st.integers(0, 9),
        st.booleans(),
        st.booleans(),
        st.floats(0, 500),
    )
    def test_no_more_is_kept_from_a_more_urgent_request(
        self, seen, one, other, is_started, is_in_time, most
    ):
        reserve = _reserve(*seen)
        high = retries.RetryNeed(min(one, other), is_started, is_in_time)
        low = retries.RetryNeed(max(one, other), is_started, is_in_time)
        kept = reserve.kept(low, most, 1.0)
        assert reserve.kept(high, most, 1.0) <= kept <= most / 4


class TestBudget:
    @given(
        st.lists(
            st.tuples(st.sampled_from("rkt"), st.integers(0, 30)),
            max_size=200,
        )
    )
    def test_kept_part_stays_and_the_bound_does_not_move(self, steps):
        plain = budgets.RetryBudget(0.2, 10.0, 40.0, lambda: 1)
        budget = budgets.RetryBudget(0.2, 10.0, 40.0, lambda: 1)
        spent = 0
        spent_plain = 0
        for kind, kept in steps:
            if kind == "r":
                plain.record_request()
                budget.record_request()
                continue
            left = budget.left()
            kept = kept if kind == "k" else 0
            is_taken = budget.take_unkept(kept)
            assert is_taken == (left > kept)
            assert not is_taken or budget.left() >= kept
            spent += is_taken
            spent_plain += plain.take_retry()
            assert spent <= spent_plain

    def test_most_is_what_a_budget_starts_with_at_least(self, clock):
        budget = budgets.RetryBudget(0.2, 10.0, 100.0, lambda: 4)
        assert budget.left() <= budget.most()

    def test_new_process_of_a_running_system_has_no_slack(self, clock):
        budget = budgets.RetryBudget(
            0.2, 10.0, 100.0, lambda: 1, is_first_start=False
        )
        assert budget.left() == 0
        assert budget.most() == 25.0


class _Conn:
    def __init__(self, *, has_sent_head: bool):
        self.has_sent_head = has_sent_head


class TestLossAtThePeak:
    """Two of three targets are lost: more retries are wanted than are left."""

    @pytest.fixture
    def gate(self, clock):
        # 100 requests of one instance: 20 + 60 + 25 retries at most.
        self.budget = budgets.RetryBudget(0.2, 10.0, 100.0, lambda: 1)
        return dispatchgate.DispatchGate(
            self.budget,
            crashes.CrashTable(),
            test_gateway_decisions.Unlimited(),
        )

    def _send(self, gate, clock, urgency, *, is_started=False):
        """Sends a request that fails; returns whether it gets its retry."""
        call = test_gateway_streams.a_call(clock.now_s)
        call.route = msgspec.structs.replace(call.route, is_resumable=True)
        call.urgency = urgency
        call.conn = _Conn(has_sent_head=is_started)
        target = test_gateway_decisions.target("t")
        self.budget.record_request()
        gate.start_attempt(call, target)
        call.has_unknown_outcome = True
        try:
            gate.admit(call, target)
            gate.start_attempt(call, target)
        except exceptions.RetryBudgetError:
            return False
        return True

    def test_urgent_and_started_ones_are_retried_first(self, gate, clock):
        got = {}
        for number in range(200):
            for key, urgency, is_started in (
                ("low", 8, False),
                ("low2", 8, False),
                ("low3", 8, False),
            ):
                ok = self._send(gate, clock, urgency, is_started=is_started)
                got.setdefault(key, []).append(ok)
            if number % 10 == 0:
                for key, urgency, is_started in (
                    ("high", 1, False),
                    ("started", 8, True),
                ):
                    ok = self._send(gate, clock, urgency, is_started=is_started)
                    got.setdefault(key, []).append(ok)
        assert all(got["high"])
        assert all(got["started"])
        # The least urgent are not left without any.
        assert (
            sum(got["low"][100:])
            + sum(got["low2"][100:])
            + sum(got["low3"][100:])
            > 20
        )

    def test_refusal_says_that_the_rest_is_kept(self, gate, clock, caplog):
        self._send(gate, clock, 1)
        errors = []
        while self._send(gate, clock, 8):
            errors.append(True)
        assert self.budget.left() > 0
        assert self._send(gate, clock, 1)
