"""Who is let in to plain services when their slots are taken."""

import collections
import copy
import heapq
import itertools
import random

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from briarfall.gateway.scheduling import answertimes
from briarfall.gateway.scheduling import slots

_WORK_S = 0.1
_SLOTS = 6


class _Caller(msgspec.Struct):
    arrives_s: float
    urgency: int = 5
    account: str = ""
    deadline_s: float = 1.0
    runs_once: bool = False


class _Outcome(msgspec.Struct):
    caller: _Caller
    verdict: slots.Verdict | None
    ended_s: float | None = None

    @property
    def is_served(self) -> bool:
        if self.ended_s is None:
            return False
        return self.ended_s <= self.caller.arrives_s + self.caller.deadline_s


class _Target:
    """Runs calls in slots, in the order of their arrival."""

    def __init__(self):
        self.free_s = [0.0] * _SLOTS
        self.ends_s: list[float] = []

    def in_flight(self, now_s: float) -> int:
        self.ends_s = [end_s for end_s in self.ends_s if end_s > now_s]
        return len(self.ends_s)

    def run(self, now_s: float) -> float:
        start_s = max(now_s, heapq.heappop(self.free_s))
        heapq.heappush(self.free_s, start_s + _WORK_S)
        self.ends_s.append(start_s + _WORK_S)
        return start_s + _WORK_S


def _rows(targets: list[_Target], now_s: float) -> list[slots.TargetSlots]:
    estimate = answertimes.Estimate(_WORK_S, 0.1)
    return [
        slots.TargetSlots(f"t{number}", _SLOTS, row.in_flight(now_s), estimate)
        for number, row in enumerate(targets)
    ]


def _play(
    callers: list[_Caller],
    *,
    decides: bool = True,
    targets_at=lambda now_s: 3,
) -> list[_Outcome]:
    """Plays callers on a service, with or without the decisions."""
    service = slots.ServiceSlots()
    targets = [_Target() for _ in range(3)]
    outcomes = []
    for caller in sorted(callers, key=lambda row: row.arrives_s):
        now_s = caller.arrives_s
        usable = targets[: targets_at(now_s)]
        rows = _rows(usable, now_s)
        verdict = None
        if decides:
            need = slots.SlotNeed(
                caller.account,
                caller.urgency,
                caller.deadline_s,
                caller.runs_once,
            )
            decision = service.decide(need, rows, now_s)
            verdict = decision.verdict
            if not decision.is_admitted:
                outcomes.append(_Outcome(caller, verdict))
                continue
        target = min(usable, key=lambda row: row.in_flight(now_s))
        outcomes.append(_Outcome(caller, verdict, target.run(now_s)))
    return outcomes


def _wave(rate_of, seconds: float, **fields) -> list[_Caller]:
    """Returns callers that arrive at a rate that changes with time."""
    rng = random.Random(7)
    callers = []
    now_s = 0.0
    while now_s < seconds:
        now_s += rng.expovariate(max(0.1, rate_of(now_s)))
        callers.append(_Caller(now_s, **fields))
    return callers


def _served(outcomes: list[_Outcome], **wanted) -> float:
    rows = [
        row
        for row in outcomes
        if all(getattr(row.caller, key) == wanted[key] for key in wanted)
    ]
    return sum(row.is_served for row in rows) / len(rows)


# Calls a second that three targets serve.
_CAPACITY = 3 * _SLOTS / _WORK_S


class TestWave:
    """A wave that peaks at twice the room."""

    def _callers(self) -> list[_Caller]:
        def peak(share):
            return lambda now_s: (
                share * _CAPACITY * (2.0 if 2 <= now_s < 6 else 0.3)
            )

        return [
            *_wave(peak(0.3), 10.0, urgency=1),
            *_wave(peak(0.7), 10.0, urgency=6),
        ]

    def test_more_urgent_calls_are_served_in_time(self):
        outcomes = _play(self._callers())
        assert _served(outcomes, urgency=1) > 0.99

    def test_as_many_are_served_as_there_is_room_for(self):
        outcomes = _play(self._callers())
        at_peak = [row for row in outcomes if 2.5 <= row.caller.arrives_s < 6]
        served = sum(row.is_served for row in at_peak)
        assert served / 3.5 > 0.95 * _CAPACITY

    def test_without_decisions_most_calls_of_the_peak_are_late(self):
        outcomes = _play(self._callers(), decides=False)
        at_peak = [row for row in outcomes if 4 <= row.caller.arrives_s < 6]
        assert sum(row.is_served for row in at_peak) / len(at_peak) < 0.1

    def test_less_urgent_calls_keep_a_share(self):
        outcomes = _play(self._callers())
        at_peak = [row for row in outcomes if 2 <= row.caller.arrives_s < 6]
        assert _served(at_peak, urgency=6) > 0.2

    def test_no_call_that_is_let_in_is_late(self):
        for row in _play(self._callers()):
            assert row.ended_s is None or row.is_served

    def test_nobody_is_refused_while_a_slot_is_free(self):
        callers = _wave(lambda _: 0.4 * _CAPACITY, 10.0)
        verdicts = {row.verdict for row in _play(callers)}
        assert verdicts <= {slots.Verdict.ROOM, slots.Verdict.QUEUED}


class TestLostTargets:
    """The loss of two of three targets amid a peak."""

    def _outcomes(self, **options) -> list[_Outcome]:
        callers = [
            *_wave(lambda _: 0.2 * _CAPACITY, 10.0, urgency=1),
            *_wave(lambda _: 0.7 * _CAPACITY, 10.0, urgency=6),
        ]
        return _play(
            callers,
            targets_at=lambda now_s: 1 if 3 <= now_s < 7 else 3,
            **options,
        )

    def test_more_urgent_calls_are_served_by_the_one_that_is_left(self):
        assert _served(self._outcomes(), urgency=1) > 0.99

    def test_without_decisions_they_are_late(self):
        assert _served(self._outcomes(decides=False), urgency=1) < 0.8

    def test_calls_are_served_again_once_the_targets_are_back(self):
        after = [row for row in self._outcomes() if row.caller.arrives_s >= 7.2]
        assert _served(after) > 0.99


class TestAccounts:
    """An account with ten times the requests of each other one."""

    def _outcomes(self, **options) -> list[_Outcome]:
        callers = _wave(lambda _: 1.6 * _CAPACITY, 8.0, account="many")
        for number in range(4):
            callers += _wave(
                lambda _: 0.16 * _CAPACITY, 8.0, account=f"few{number}"
            )
        return _play(callers, **options)

    def test_it_does_not_push_out_the_others(self):
        outcomes = self._outcomes()
        for number in range(4):
            assert _served(outcomes, account=f"few{number}") > 0.95

    def test_it_gets_the_rest_of_the_room(self):
        outcomes = self._outcomes()
        assert sum(row.is_served for row in outcomes) > 0.95 * 8 * _CAPACITY
        assert _served(outcomes, account="many") > 0.1

    def test_without_decisions_it_does(self):
        outcomes = self._outcomes(decides=False)
        assert _served(outcomes, account="few0") < 0.5


class TestShortDeadlines:
    def test_calls_with_more_time_leave_room_for_those_with_less(self):
        callers = [
            *_wave(lambda _: 1.8 * _CAPACITY, 8.0, deadline_s=5.0),
            *_wave(lambda _: 0.2 * _CAPACITY, 8.0, deadline_s=0.5),
        ]
        # The queue that the others form first takes a second to drain.
        late = [row for row in _play(callers) if row.caller.arrives_s > 5.0]
        assert _served(late, deadline_s=0.5) > 0.5

    def test_one_caller_without_patience_leaves_others_their_wait(self):
        service = slots.ServiceSlots()
        full = [
            slots.TargetSlots(
                "t", _SLOTS, 4 * _SLOTS, answertimes.Estimate(_WORK_S, 0.1)
            )
        ]
        for _ in range(3):
            hasty = service.decide(slots.SlotNeed("a", 5, 0.25), full, 0.0)
            assert hasty.verdict is slots.Verdict.TOO_LATE
        for number in range(12):
            need = slots.SlotNeed(f"b{number}", 5, 30.0)
            assert service.decide(need, full, 0.1).is_admitted


class TestOrders:
    def _decision(self, *, runs_once: bool, left_s: float) -> slots.Decision:
        service = slots.ServiceSlots()
        rows = [
            slots.TargetSlots(
                "a", _SLOTS, _SLOTS + 59, answertimes.Estimate(_WORK_S, 0.1)
            )
        ]
        service.decide(slots.SlotNeed("", 5, 0.2, True), rows, 0.0)
        return service.decide(
            slots.SlotNeed("", 5, left_s, runs_once), rows, 0.1
        )

    def test_order_goes_before_a_look_up_if_its_deadline_needs_it(self):
        assert self._decision(runs_once=True, left_s=1.11).is_admitted
        assert not self._decision(runs_once=False, left_s=1.11).is_admitted

    def test_order_with_more_time_stands_where_a_look_up_does(self):
        order = self._decision(runs_once=True, left_s=3.0)
        look_up = self._decision(runs_once=False, left_s=3.0)
        assert order == look_up


class TestUnknownTimes:
    def test_nobody_is_refused_while_the_time_of_answers_is_unknown(self):
        rows = [slots.TargetSlots("a", 1, 500)]
        decision = slots.ServiceSlots().decide(
            slots.SlotNeed("", 5, 0.01), rows, 0.0
        )
        assert decision.verdict is slots.Verdict.ROOM
        assert slots.are_full(rows)

    def test_no_target_is_no_reason_to_refuse_here(self):
        decision = slots.ServiceSlots().decide(
            slots.SlotNeed("", 5, 1.0), [], 0.0
        )
        assert decision.is_admitted

    def test_estimate_needs_several_answers_and_ages(self):
        times = answertimes.AnswerTimes()
        for _ in range(4):
            times.record("a", 0.2, 1, 4, 1.0)
        assert times.of("a", 1.0) is answertimes.UNKNOWN
        times.record("a", 0.2, 1, 4, 1.0)
        assert times.of("a", 2.0).work_s == pytest.approx(0.2)
        assert times.of("a", 2.0).age_s == 1.0
        assert times.of("a", 9.0).work_s == 0.0

    def test_pause_of_a_target_is_not_taken_for_slow_work(self):
        times = answertimes.AnswerTimes()
        for _ in range(20):
            times.record("a", 0.1, 1, 4, 1.0)
        for _ in range(8):
            times.record("a", 2.0, 8, 4, 1.0)
        assert times.of("a", 1.0).work_s < 0.2

    def test_target_that_has_become_slow_is_seen(self):
        times = answertimes.AnswerTimes()
        for _ in range(20):
            times.record("a", 0.1, 1, 4, 1.0)
        for _ in range(80):
            times.record("a", 1.0, 1, 4, 1.0)
        assert times.of("a", 1.0).work_s > 0.9

    def test_the_wait_in_a_queue_is_not_counted_as_work(self):
        times = answertimes.AnswerTimes()
        for _ in range(9):
            times.record("a", 0.6, 12, 4, 1.0)
        assert times.of("a", 1.0).work_s == pytest.approx(0.2)


_NEEDS = st.builds(
    slots.SlotNeed,
    st.sampled_from(["", "a", "b", "c"]),
    st.integers(0, 5),
    st.floats(0.05, 4.0),
    st.booleans(),
)
_LOADS = st.lists(st.integers(0, 200), min_size=1, max_size=4)
_STEPS = st.lists(st.tuples(_NEEDS, _LOADS, st.floats(0.0, 0.5)), max_size=40)


def _loaded(loads: list[int]) -> list[slots.TargetSlots]:
    estimate = answertimes.Estimate(_WORK_S, 0.1)
    return [
        slots.TargetSlots(f"t{number}", _SLOTS, load, estimate)
        for number, load in enumerate(loads)
    ]


def _after(steps) -> tuple[slots.ServiceSlots, float]:
    service = slots.ServiceSlots()
    now_s = 0.0
    for need, loads, pause_s in steps:
        now_s += pause_s
        service.decide(need, _loaded(loads), now_s)
    return service, now_s


class TestProperties:
    @given(_STEPS, _NEEDS, _LOADS)
    def test_no_more_are_let_in_than_can_be_served(self, steps, need, loads):
        service, now_s = _after(steps)
        rows = _loaded(loads)
        decision = service.decide(need, rows, now_s)
        wait_s = min(row.wait_s for row in rows)
        if wait_s > 0 and decision.is_admitted:
            assert wait_s + _WORK_S <= need.left_s + 1e-9
        if wait_s == 0:
            assert decision.is_admitted

    @given(_STEPS, _NEEDS, _LOADS, st.integers(0, 5))
    def test_more_urgent_call_is_not_refused_for_a_less_urgent_one(
        self, steps, need, loads, urgency
    ):
        service, now_s = _after(steps)
        low = msgspec.structs.replace(need, urgency=max(need.urgency, urgency))
        high = msgspec.structs.replace(need, urgency=min(need.urgency, urgency))
        rows = _loaded(loads)
        first = copy.deepcopy(service).decide(low, rows, now_s)
        second = copy.deepcopy(service).decide(high, rows, now_s)
        # A share lets in those who have waited for long, whoever presses.
        if first.is_admitted and first.verdict is not slots.Verdict.SHARE:
            assert second.is_admitted

    @given(
        st.lists(
            st.tuples(st.integers(0, 3), st.sampled_from("abcd")),
            min_size=1,
            max_size=8,
            unique=True,
        ),
        st.randoms(use_true_random=False),
    )
    def test_each_account_gets_one_in_within_its_bound(self, groups, rng):
        service = slots.ServiceSlots()
        wait_s = 0.9
        rows = _loaded([_SLOTS - 1 + round(wait_s * _SLOTS / _WORK_S)])
        since: collections.Counter = collections.Counter()
        now_s = 0.0
        for _ in range(600):
            now_s += 0.01
            for urgency, account in rng.sample(groups, len(groups)):
                need = slots.SlotNeed(account, urgency, 1.001 + _WORK_S)
                if not service.decide(need, rows, now_s).is_admitted:
                    since[urgency, account] += 1
                    continue
                since[urgency, account] = 0
            # While none is let in, nothing presses but the bound is not met.
            free = slots.SlotNeed("other", 0, 99.0)
            service.decide(free, rows, now_s)
        assert not since or max(since.values()) <= 8 * (len(groups) + 1) + 1


class TestCost:
    def test_state_is_bounded(self):
        service = slots.ServiceSlots()
        rows = _loaded([_SLOTS + 100])
        for number in itertools.islice(itertools.count(), 5000):
            service.decide(
                slots.SlotNeed(f"c{number}", number % 200, 1.85), rows, 0.0
            )
        assert len(service._waiting) <= 1024
        assert len(service._groups) <= 256
