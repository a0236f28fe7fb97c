"""When refused callers return."""

import collections
import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway import metrics
from briarfall.gateway import retryafter
from briarfall.gateway.calls import calls
from briarfall.gateway.catalogue import views
from briarfall.gateway.exchanges import messages
from briarfall.gateway.forwarding import plainadmission
from briarfall.gateway.forwarding import plainexchanges
from briarfall.gateway.forwarding import plaintargets
from briarfall.gateway.scheduling import returns
from briarfall.gateway.targets import loads
from briarfall.gateway.targets import targetbackoff
from briarfall.gateway.targets import targets
from tests import test_gateway_decisions
from tests import test_gateway_streams

_PERIODS = st.builds(
    retryafter.UnavailablePeriod, st.floats(0, 20), st.floats(0, 20)
)
_NEEDS = st.builds(
    returns.ReturnNeed,
    st.sampled_from(["a", "b"]),
    st.integers(0, 9),
    st.floats(0.01, 30),
)


class TestReturnTimes:
    @given(
        st.lists(st.tuples(_PERIODS, _NEEDS), min_size=1, max_size=30),
        st.randoms(use_true_random=False),
    )
    def test_told_times_are_honoured_or_past_the_deadline(self, rows, rng):
        times = returns.ReturnTimes(rng)
        for period, need in rows:
            told_s = times.told_s(period, need, 0.0)
            most_s = need.left_s / 3
            if period.remaining_s >= need.left_s:
                assert told_s >= period.remaining_s
                continue
            assert told_s <= most_s + 1e-9
            assert told_s >= min(period.remaining_s, 0.74 * most_s)

    def _wave(self, needs) -> list[float]:
        times = returns.ReturnTimes(random.Random(5))
        period = retryafter.UnavailablePeriod(1.0, 2.0)
        return [times.told_s(period, need, 0.0) for need in needs]

    def test_a_wave_returns_spread_out(self):
        needs = [returns.ReturnNeed("s", 5, 30.0)] * 2000
        slices = collections.Counter(
            int((told_s - 1.0) / 0.1) for told_s in self._wave(needs)
        )
        assert max(slices.values()) < 1.5 * 2000 / 20

    def test_the_urgent_return_first(self):
        rng = random.Random(2)
        needs = [
            returns.ReturnNeed("s", rng.choice([1, 8]), 30.0)
            for _ in range(400)
        ]
        told = self._wave(needs)
        urgent = []
        others = []
        for need, told_s in zip(needs[50:], told[50:], strict=True):
            (urgent if need.urgency == 1 else others).append(told_s)
        urgent.sort()
        others.sort()
        assert urgent[len(urgent) * 95 // 100] < 2.2
        assert others[len(others) * 5 // 100] > 1.8

    def test_those_with_less_time_return_first(self):
        rng = random.Random(2)
        needs = [
            returns.ReturnNeed("s", 5, rng.choice([10.0, 30.0]))
            for _ in range(400)
        ]
        told = self._wave(needs)
        short = [
            told_s
            for need, told_s in zip(needs[50:], told[50:], strict=True)
            if need.left_s == 10.0
        ]
        assert sorted(short)[len(short) * 95 // 100] < 2.2

    def test_state_is_bounded(self):
        times = returns.ReturnTimes(random.Random(1))
        period = retryafter.UnavailablePeriod(1.0, 2.0)
        for number in range(2000):
            times.told_s(period, returns.ReturnNeed(f"s{number}", 5, 9.0), 0.0)
        assert len(times._groups) <= 256


class TestFixedPauses:
    def test_pause_of_a_kind_of_error_is_spread(self):
        rng = random.Random(1)
        told = [
            returns.told_s(exceptions.OverloadError("x"), 30.0, rng)
            for _ in range(200)
        ]
        assert max(told) - min(told) > 0.9
        assert min(told) >= 0.5
        assert max(told) <= 1.5

    def test_pause_of_one_error_stays(self):
        exc = exceptions.OverloadError("x", retry_after_s=0.05)
        assert returns.told_s(exc, 30.0, random.Random(1)) == 0.05

    def test_error_without_a_pause_tells_none(self):
        exc = exceptions.BadRequestError("x")
        assert returns.told_s(exc, 30.0, random.Random(1)) is None

    @given(
        st.floats(0, 60), st.floats(0, 60), st.randoms(use_true_random=False)
    )
    def test_pause_is_honoured_or_past_the_deadline(self, retry_s, left_s, rng):
        told_s = returns.within_honoured_s(retry_s, left_s, rng)
        assert told_s <= retry_s
        assert told_s <= left_s / 3 or told_s == retry_s >= left_s


class TestRefusedRequests:
    def test_repeats_are_told_the_rest(self):
        table = returns.RefusedRequests()
        table.record("a", 1.0, 10.0)
        assert table.rest_s("a", 10.25) == pytest.approx(0.75)
        assert table.rest_s("b", 10.25) == 0.0
        assert table.rest_s("a", 11.0) == 0.0

    def test_a_repeat_does_not_extend_the_time(self):
        table = returns.RefusedRequests()
        table.record("a", 1.0, 10.0)
        table.record("a", 1.0, 10.5)
        assert table.rest_s("a", 11.0) == 0.0

    def test_state_is_bounded(self):
        table = returns.RefusedRequests()
        for number in range(9000):
            table.record(f"{number}", 1.0, 10.0)
        assert len(table._until_s) <= 4096


def _call(now_s: float, **fields) -> calls.Call:
    call = test_gateway_streams.a_call(now_s)
    call.req = messages.CallerRequest(
        b"POST", b"/orders/x", [], fields.pop("body", b"one"), now_s
    )
    call.account = views.ClientAccount(ids.ClientId("a"))
    call.deadline_s = now_s + fields.pop("left_s", 2.0)
    call.caller_until_s = now_s + fields.pop("caller_left_s", 2.0)
    for key, value in fields.items():
        setattr(call, key, value)
    return call


class _Pool:
    def return_to_pool(self, conn, head):
        """Takes a connection back."""


class _Service:
    """A service with two targets of four slots, and who is let in."""

    def __init__(self, clock):
        self.clock = clock
        self.table = targets.TargetTable()
        self.loads = loads.LoadTable()
        rows = [
            test_gateway_decisions.entry(name, slots=4) for name in ("a", "b")
        ]
        self.table.update(rows, clocks.boot_s())
        self.metrics = metrics.Metrics()
        rng = random.Random(1)
        self.admission = plainadmission.PlainAdmission(
            self.table, self.loads, returns.ReturnTimes(rng), self.metrics
        )
        self.choice = plaintargets.PlainTargetChoice(
            "z1", self.table, self.loads, rng, None, self.admission.wait_s
        )

    def learn(self, work_s: float = 0.2) -> None:
        """Lets each target answer some calls."""
        for name in ("a", "b"):
            for _ in range(6):
                exchange = plainexchanges.TargetExchange(
                    self.table.get(name), None, self.loads, _Pool()
                )
                exchange.record_sent()
                exchange.head = messages.ResponseHead(200, b"", [])
                self.clock.now_s += work_s
                self.admission.record_answer(exchange)
                exchange.end()

    def fill(self, a: int, b: int) -> None:
        """Sets the requests in flight, as another instance reports them."""
        self.loads.merge("i9", {"a": loads.Load(a), "b": loads.Load(b)})

    def refusal(self, call) -> exceptions.BriarfallError | None:
        try:
            self.admission.check(call)
        except exceptions.OverloadError as exc:
            return exc
        return None


class TestPlainAdmission:
    @pytest.fixture
    def service(self, clock):
        return _Service(clock)

    def test_call_without_time_for_its_slot_is_refused_as_not_sent(
        self, service, clock
    ):
        service.learn()
        service.fill(60, 60)
        exc = service.refusal(_call(clock.now_s, left_s=1.0))
        assert exc.outcome is exceptions.Outcome.NOT_RUN
        assert int(exc.status) == 503
        assert exc.retry_after_s > 0

    def test_call_with_time_for_its_slot_is_let_in(self, service, clock):
        service.learn()
        service.fill(60, 60)
        # A slot is free in 2.85 s.
        assert service.refusal(_call(clock.now_s, left_s=4)) is None

    def test_nobody_is_refused_while_a_slot_is_free(self, service, clock):
        service.learn()
        service.fill(60, 3)
        for number in range(20):
            call = _call(clock.now_s, body=b"%d" % number, left_s=0.01)
            assert service.refusal(call) is None

    def test_nobody_is_refused_without_known_times(self, service, clock):
        service.fill(60, 60)
        assert service.refusal(_call(clock.now_s, left_s=0.5)) is None

    def test_repeat_before_its_time_gains_nothing_while_room_is_short(
        self, service, clock
    ):
        service.learn()
        service.fill(60, 60)
        first = service.refusal(_call(clock.now_s, left_s=1.0))
        told_s = first.retry_after_s
        clock.now_s += told_s / 2
        service.fill(8, 8)
        again = service.refusal(_call(clock.now_s, left_s=1.0))
        assert again.retry_after_s == pytest.approx(told_s / 2)
        other = _call(clock.now_s, body=b"other", left_s=1.0)
        assert service.refusal(other) is None
        clock.now_s += told_s / 2 + 0.001
        assert service.refusal(_call(clock.now_s, left_s=1.0)) is None

    def test_repeat_is_let_in_when_there_is_room(self, service, clock):
        service.learn()
        service.fill(60, 60)
        assert service.refusal(_call(clock.now_s, left_s=1.0))
        service.fill(8, 2)
        assert service.refusal(_call(clock.now_s, left_s=1.0)) is None

    def test_callers_that_cannot_be_told_apart_are_not_held_as_repeats(
        self, service, clock
    ):
        service.learn()
        service.fill(60, 60)
        assert service.refusal(
            _call(clock.now_s, account=None, body=b"", left_s=1.0)
        )
        service.fill(8, 8)
        call = _call(clock.now_s, account=None, body=b"", left_s=1.0)
        assert service.refusal(call) is None

    def test_pause_fits_the_callers_time_not_the_timeout_of_the_route(
        self, service, clock
    ):
        service.learn()
        service.fill(60, 60)
        for name in ("a", "b"):
            targetbackoff.start_backoff(service.table.get(name), 2.0)
        call = _call(clock.now_s, left_s=4.0, caller_left_s=20.0)
        assert 2.0 <= service.choice.error(call).retry_after_s < 20 / 3

    def test_relayed_call_was_decided_on_where_it_arrived(self, service, clock):
        service.learn()
        service.fill(60, 60)
        call = _call(clock.now_s, left_s=0.1, relayed=object())
        assert service.refusal(call) is None

    def test_retry_goes_to_the_target_with_the_soonest_free_slot(
        self, service, clock
    ):
        service.learn()
        service.fill(9, 5)
        call = _call(clock.now_s, attempt_count=1)
        assert {service.choice.choose(call, set()).id for _ in range(30)} == {
            "b"
        }

    def test_no_target_is_free_is_told_spread_out(self, service, clock):
        told = []
        for number in range(100):
            call = _call(clock.now_s, body=b"%d" % number, caller_left_s=9.0)
            told.append(service.choice.error(call).retry_after_s)
        assert max(told) - min(told) > 0.2
        assert 0.1 < min(told) < max(told) < 0.5

    def test_refusals_are_counted_by_route_and_outcome(
        self, service, clock, caplog
    ):
        caplog.set_level("INFO", logger="absl")
        service.learn()
        service.fill(60, 60)
        service.refusal(_call(clock.now_s, left_s=1.0))
        service.refusal(_call(clock.now_s, left_s=1.0))
        counters = service.metrics._counters["briarfall_admissions"].counters
        assert counters == {
            ("drafts", "too_late"): 1,
            ("drafts", "early"): 1,
        }
        line = next(
            row.getMessage()
            for row in caplog.records
            if "call refused" in row.getMessage()
        )
        for word in ("request=", "slots=8", "in_flight=120", "needs=wait<="):
            assert word in line


class TestCallersThatRepeatAtOnce:
    """Half of the callers wait as told, half repeat every 20 ms."""

    def test_they_gain_nothing_over_those_that_wait(self, clock):
        service = _Service(clock)
        service.learn()
        start_s = clock.now_s
        served = collections.Counter()
        tries = collections.Counter()
        ends_s: list[float] = []
        # (time, number, whether it repeats at once, its deadline)
        rows = []
        for number in range(400):
            due_s = start_s + 4.0 * number / 400
            rows.append((due_s, number, number % 2 == 0, due_s + 3.0))
        while rows:
            rows.sort()
            now_s, number, is_hasty, until_s = rows.pop(0)
            clock.now_s = max(clock.now_s, now_s)
            now_s = clock.now_s
            # An answer takes 0.2 s.
            if now_s >= until_s - 0.2:
                continue
            ends_s = [end_s for end_s in ends_s if end_s > now_s]
            half = len(ends_s) // 2
            service.fill(len(ends_s) - half, half)
            tries[is_hasty] += 1
            call = _call(
                now_s,
                body=b"%d" % number,
                left_s=min(1.0, until_s - now_s),
                caller_left_s=until_s - now_s,
            )
            exc = service.refusal(call)
            if exc is None:
                # Eight slots, 0.2 s each.
                ahead = sorted(ends_s)[-8:]
                start = ahead[0] if len(ahead) == 8 else now_s
                ends_s.append(max(now_s, start) + 0.2)
                served[is_hasty] += ends_s[-1] <= now_s + 1.0
                continue
            pause_s = 0.02
            if not is_hasty:
                pause_s = min(exc.retry_after_s, (until_s - now_s) / 3)
            rows.append((now_s + pause_s, number, is_hasty, until_s))
        assert tries[True] > 3 * tries[False]
        assert served[True] <= 1.1 * served[False]
        # Eight slots serve 40 a second.
        assert served[True] + served[False] > 0.9 * 40 * 4
