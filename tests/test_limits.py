import threading
import time

import pytest

from briarfall import clock
from briarfall import exceptions
from briarfall.catalogue import entries
from briarfall.limits import admission
from briarfall.limits import buckets
from briarfall.limits import clients
from briarfall.limits import demand
from briarfall.limits import retries
from briarfall.limits import shares
from briarfall.orders import claimrouting


class TestTokenBucket:
    def test_refills_at_its_rate(self):
        bucket = buckets.TokenBucket(2.0, 0.0)
        assert bucket.take(2.0, 0.0)
        assert not bucket.take(1.0, 0.4)
        assert bucket.take(1.0, 0.5)

    def test_debt_is_paid_back(self):
        bucket = buckets.TokenBucket(10.0, 0.0)
        bucket.charge(30.0, 0.0)
        assert not bucket.is_positive(1.9)
        assert bucket.is_positive(2.1)

    def test_slow_rates_still_permit_one(self):
        bucket = buckets.TokenBucket(0.1, 0.0)
        assert bucket.take(1.0, 0.0)
        assert bucket.wait_s(1.0, 0.0) == pytest.approx(10.0)


class TestFairShares:
    @pytest.mark.parametrize(
        ("wants", "expected"),
        [
            ({"a": 1.0, "b": 100.0}, {"a": 1.0, "b": 9.0}),
            ({"a": 50.0, "b": 100.0}, {"a": 5.0, "b": 5.0}),
            ({"a": 2.0, "b": 4.0}, {"a": 4.0, "b": 6.0}),
        ],
    )
    def test_max_min(self, wants, expected):
        assert shares.fair_shares(wants, 10.0) == expected


class TestShareAllocator:
    def _allocator(self, instances=4):
        limits = shares.Amounts(100.0, 1000.0, 20.0)
        return shares.ShareAllocator(lambda name: limits, lambda: instances)

    def _ask(self, allocator, name, wanted, now=0.0):
        demand = shares.Demand("crew", shares.Amounts(wanted, 0, 0))
        call = shares.DemandCall(name, [demand])
        return allocator.grant(call, now)[0].amounts.requests

    def test_single_reporting_instance_gets_the_unreserved_limit(self):
        allocator = self._allocator()
        reserved = 3 / 4 * shares.UNREPORTED_SHARE * 100.0
        assert self._ask(allocator, "r1", 500.0) == pytest.approx(
            100.0 - reserved
        )

    def test_grants_never_exceed_the_limit(self):
        allocator = self._allocator()
        for _ in range(2):
            total = sum(self._ask(allocator, f"r{i}", 500.0) for i in range(4))
        assert total == pytest.approx(100.0)

    def test_old_demands_expire(self):
        allocator = self._allocator(2)
        self._ask(allocator, "r1", 500.0)
        later = shares.GRANT_TTL_S + 1
        assert self._ask(allocator, "r2", 500.0, later) == pytest.approx(75.0)


class TestClientLimiter:
    def _limiter(self, time, known=2, **limits):
        value = entries.ClientLimits(**limits)
        return clients.ClientLimiter(
            "r1",
            lambda name: value,
            lambda: ["r1"],
            lambda: known,
            claimrouting.StandaloneDirectory("r1"),
            time,
        )

    def test_even_share_without_grants(self):
        limiter = self._limiter(clock.ManualClock(), requests_per_s=4.0)
        limiter.enter("crew")
        limiter.enter("crew")
        with pytest.raises(exceptions.LimitError) as info:
            limiter.enter("crew")
        assert info.value.retry_after_s == pytest.approx(0.5)

    def test_concurrency(self):
        limiter = self._limiter(clock.ManualClock(), concurrency=2)
        limiter.enter("crew")
        with pytest.raises(exceptions.LimitError):
            limiter.enter("crew")
        limiter.leave("crew", 1)
        limiter.enter("crew")

    def test_tokens_are_charged_afterwards(self):
        time = clock.ManualClock()
        limiter = self._limiter(time, tokens_per_s=20.0)
        limiter.enter("crew")
        limiter.leave("crew", 40)
        with pytest.raises(exceptions.LimitError):
            limiter.enter("crew")
        time.advance(4.0)
        limiter.enter("crew")

    def test_demand_is_granted(self):
        time = clock.ManualClock()
        limiter = self._limiter(time, requests_per_s=100.0)
        assert self._admitted(limiter) == 50
        limiter.report()
        time.advance(1.0)
        assert self._admitted(limiter) == 75

    def _admitted(self, limiter):
        """Returns how many of 300 requests are admitted at once."""
        count = 0
        for _ in range(300):
            try:
                limiter.enter("crew")
                limiter.leave("crew", 0)
                count += 1
            except exceptions.LimitError:
                pass
        return count


class TestGate:
    def _wait(self, gate, priority, done):
        def run():
            try:
                gate.enter(priority, time.monotonic() + 30)
                done.append(priority)
            except exceptions.OverloadError:
                done.append("shed")

        thread = threading.Thread(target=run, daemon=True)
        rank = priority.rank
        thread.start()
        while not any(item.rank == rank for item in gate._waiting):
            thread.join(0.005)
        return thread

    def test_urgent_requests_are_admitted_first(self):
        gate = admission.Gate(1)
        gate.enter(entries.Priority.BATCH, time.monotonic() + 1)
        done = []
        threads = [
            self._wait(gate, entries.Priority.BATCH, done),
            self._wait(gate, entries.Priority.INTERACTIVE, done),
        ]
        for thread in reversed(threads):
            gate.leave()
            thread.join(5)
        assert done == [entries.Priority.INTERACTIVE, entries.Priority.BATCH]

    def test_full_queue_sheds_the_least_urgent(self):
        gate = admission.Gate(1, max_waiting=1)
        gate.enter(entries.Priority.BATCH, time.monotonic() + 1)
        done = []
        batch = self._wait(gate, entries.Priority.BATCH, done)
        urgent = self._wait(gate, entries.Priority.INTERACTIVE, done)
        batch.join(5)
        assert done == ["shed"]
        gate.leave()
        urgent.join(5)
        assert done[-1] is entries.Priority.INTERACTIVE

    def test_deadline(self):
        gate = admission.Gate(1)
        gate.enter(entries.Priority.BATCH, time.monotonic() + 1)
        with pytest.raises(exceptions.OverloadError):
            gate.enter(entries.Priority.BATCH, time.monotonic() + 0.01)


class TestRetryBudget:
    def test_share_of_first_attempts(self):
        budget = retries.RetryBudget(share=0.1, reserve=2.0)
        assert budget.take() and budget.take()
        assert not budget.take()
        for _ in range(10):
            budget.record_first_attempt()
        assert budget.take()


class TestClassDemand:
    def test_class_is_limited_to_what_urgent_demand_leaves(self):
        classes = demand.ClassDemand(0.0)
        urgent, batch = entries.Priority.INTERACTIVE, entries.Priority.BATCH
        classes.record(urgent, 180.0, 0.0)
        taken = [classes.take(batch, 16.0, 100.0, 0.0) for _ in range(5)]
        assert taken == [True, True, False, False, False]
        assert classes.take(urgent, 16.0, 100.0, 0.0)
        classes.record(urgent, 40.0, 0.0)
        assert not classes.take(batch, 16.0, 100.0, 0.0)

    def test_without_urgent_demand_no_class_is_throttled(self):
        classes = demand.ClassDemand(0.0)
        for _ in range(50):
            assert classes.take(entries.Priority.BATCH, 60.0, 100.0, 0.0)

    def test_demand_decays(self):
        classes = demand.ClassDemand(0.0)
        classes.record(entries.Priority.INTERACTIVE, 500.0, 0.0)
        assert not classes.take(entries.Priority.BATCH, 16.0, 100.0, 0.0)
        assert classes.take(entries.Priority.BATCH, 16.0, 100.0, 5.0)
