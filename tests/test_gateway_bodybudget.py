"""Which request bodies an instance holds, and which ones it refuses."""

import json

from hypothesis import given
from hypothesis import strategies
import pytest

from briarfall import exceptions
from briarfall.gateway.calls import bodybudget
from briarfall.gateway.instance import processlimits
from briarfall.platform import settings

_CAPACITY = 1_000_000
_LARGE = 300_000
_LARGE_SHARE = 0.75


@pytest.fixture
def budget(clock):
    return bodybudget.BodyBudget(_CAPACITY)


def open_with(budget, size):
    body = budget.open()
    body.append(b"a" * size)
    return body


class TestFullBudget:
    def test_refuses_the_body_without_progress(self, budget, clock):
        stalled = open_with(budget, _LARGE)
        clock.now_s += 5
        active = open_with(budget, _LARGE)
        open_with(budget, _LARGE)
        assert stalled.is_refused
        assert not active.is_refused

    def test_refuses_the_largest_of_those_that_stall_alike(self, budget, clock):
        small = open_with(budget, 10_000)
        medium = open_with(budget, 200_000)
        large = open_with(budget, 400_000)
        clock.now_s += 1
        last = open_with(budget, 300_000)
        refused = [row.is_refused for row in (small, medium, large, last)]
        assert refused == [False, False, True, False]

    def test_single_bytes_are_no_progress(self, budget, clock):
        dripping = open_with(budget, _LARGE)
        steady = open_with(budget, _LARGE)
        while not dripping.is_refused:
            clock.now_s += 1
            dripping.append(b"a")
            steady.append(b"a" * bodybudget.PROGRESS_BYTES)
        assert not steady.is_refused

    def test_complete_bodies_are_kept_and_the_new_one_is_refused(
        self, budget, clock
    ):
        kept = []
        for _ in range(2):
            kept.append(open_with(budget, _LARGE))
            assert len(kept[-1].complete()) == _LARGE
        clock.now_s += 60
        with pytest.raises(exceptions.BodyMemoryError):
            open_with(budget, _LARGE)
        assert not any(row.is_refused for row in kept)
        assert budget.refusals == 1

    def test_small_bodies_have_a_part_of_their_own(self, budget, clock):
        for _ in range(2):
            open_with(budget, 370_000).complete()
        for _ in range(3):
            open_with(budget, 60_000).complete()

    def test_refused_body_ends_with_the_next_step_of_its_reader(
        self, budget, clock
    ):
        stalled = open_with(budget, _LARGE)
        clock.now_s += 1
        for _ in range(2):
            open_with(budget, _LARGE)
        for step in (stalled.check, stalled.complete):
            with pytest.raises(exceptions.BodyMemoryError):
                step()

    def test_released_bodies_make_room(self, budget):
        for _ in range(10):
            body = open_with(budget, 700_000)
            body.complete()
            body.release()
            body.release()
        assert budget.held == 0
        assert budget.refusals == 0

    def test_single_body_may_exceed_a_small_budget(self, budget):
        assert len(open_with(budget, 3 * _CAPACITY).complete()) == 3 * _CAPACITY


class TestNewConnection:
    def test_refuses_the_request_that_stalls(self, budget, clock):
        stalled = budget.open()
        clock.now_s += 1
        budget.open()
        assert budget.refuse_slowest()
        assert stalled.is_refused
        assert not budget.refuse_slowest()

    def test_refuses_no_request_that_was_just_begun_or_is_complete(
        self, budget, clock
    ):
        complete = budget.open()
        complete.complete()
        clock.now_s += 60
        budget.open()
        assert not budget.refuse_slowest()


class TestAnyOrderOfSteps:
    @given(
        steps=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(("open", "grow", "complete", "end")),
                strategies.integers(0, 9),
                strategies.integers(1, 400_000),
            ),
            max_size=60,
        )
    )
    def test_budget_holds_and_no_complete_body_is_refused(self, steps):
        budget = bodybudget.BodyBudget(_CAPACITY)
        bodies = []
        for kind, index, size in steps:
            if kind == "open" or not bodies:
                bodies.append(budget.open())
                continue
            body = bodies[index % len(bodies)]
            was_complete = body.is_complete
            try:
                if kind == "end":
                    body.release()
                    bodies.remove(body)
                elif kind == "complete" and not was_complete:
                    assert len(body.complete()) == body.size
                elif kind == "grow" and not was_complete:
                    body.append(b"a" * size)
            except exceptions.BodyMemoryError:
                assert body.is_refused
            live = [row for row in bodies if not row.is_refused]
            assert budget.held == sum(row.size for row in live)
            assert not any(row.is_refused and row.is_complete for row in bodies)
            holders = [row for row in live if row.size]
            assert budget.held <= _CAPACITY or len(holders) == 1
            large = [row for row in live if row.large_size]
            used = sum(row.size for row in large)
            assert used <= _CAPACITY * _LARGE_SHARE or len(large) == 1


class TestProcessLimits:
    @given(
        memory_mb=strategies.floats(32, 4096),
        descriptors=strategies.integers(250, 65_536),
    )
    def test_parts_are_within_the_whole(self, memory_mb, descriptors):
        found = processlimits.of(memory_mb, descriptors)
        assert 0 < found.body_bytes <= memory_mb * 1_000_000 / 4
        sockets = found.caller_connections + found.peer_connections
        assert 0 < sockets <= descriptors - 200


class TestSettingsFile:
    _FILE = {
        "node": "i1",
        "zone": "z1",
        "ip": "127.0.0.1",
        "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
        "platform": {"address": "127.0.0.1:3"},
        "port_range": [7000, 7001],
    }

    def test_limits_of_the_process(self):
        limits = {"ram_mb": 152, "max_fds": 900}
        cfg = settings.parse(
            json.dumps({**self._FILE, "limits": limits}).encode()
        )
        assert (cfg.memory_mb, cfg.max_descriptors) == (152, 900)

    def test_file_without_them_gets_the_defaults(self):
        cfg = settings.parse(json.dumps(self._FILE).encode())
        assert (cfg.memory_mb, cfg.max_descriptors) == (250, 1535)
