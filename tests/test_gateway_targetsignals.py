"""Targets that drain or ask for a backoff in their responses."""

import collections
import random
import threading

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from briarfall.gateway import clocks
from briarfall.gateway import metrics
from briarfall.gateway import retryafter
from briarfall.gateway.catalogue import sources
from briarfall.gateway.exchanges import messages
from briarfall.gateway.targets import incarnations
from briarfall.gateway.targets import ratelimits
from briarfall.gateway.targets import targetbackoff
from briarfall.gateway.targets import targets
from briarfall.gateway.targets import targetsignals
from briarfall.platform import headers
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import testbed
from tests import test_gateway_decisions

# Requests that may reach a target during its backoff, and the time after its
# response from which they are counted.
_MAX_IN_BACKOFF = 2
_BACKOFF_GRACE_S = 0.5
_DRAFT_MS = 8000


def _refusal(value):
    return messages.ResponseHead(503, b"", [(b"Retry-After", value)])


# Targets are drawn at random; so many calls never miss one of two.
_MAX_CALLS = 60


class TestRequestedBackoff:
    @pytest.mark.parametrize(
        ("value", "seconds"),
        [
            (b"2", 2.0),
            (b"0.25", 0.25),
            (b" 1.5 ", 1.5),
            (b"-3", 0.0),
            (b"0", 0.0),
            (b"", 0.0),
            (b"soon", 0.0),
            (b"Wed, 21 Oct 2026 07:28:00 GMT", 0.0),
            (b"nan", 0.0),
            (b"inf", 0.0),
            (b"3600", targetsignals.MAX_BACKOFF_S),
        ],
    )
    def test_value_is_parsed_within_bounds(self, value, seconds):
        assert targetsignals.requested_backoff_s(_refusal(value)) == seconds

    @given(st.binary(max_size=40))
    def test_any_bytes_are_parsed_within_bounds(self, value):
        assert (
            0
            <= targetsignals.requested_backoff_s(_refusal(value))
            <= targetsignals.MAX_BACKOFF_S
        )

    def test_only_a_503_counts(self):
        head = messages.ResponseHead(500, b"", [(b"Retry-After", b"2")])
        assert targetsignals.requested_backoff_s(head) == 0.0


class TestRetryAfter:
    @given(
        st.floats(0.0, 60.0),
        st.floats(0.0, 60.0),
        st.randoms(use_true_random=False),
    )
    def test_no_caller_is_told_to_retry_before_the_end(
        self, left_s, more_s, rng
    ):
        pause = retryafter.UnavailablePeriod(left_s, left_s + more_s)
        told_s = retryafter.retry_after_s(pause, rng)
        assert left_s <= told_s <= left_s + 5.0

    def test_callers_of_one_pause_are_told_to_retry_spread_out(self):
        rng = random.Random(3)
        slices = collections.Counter()
        for number in range(2000):
            left_s = 2.0 * number / 2000
            told_s = retryafter.retry_after_s(
                retryafter.UnavailablePeriod(left_s, 2.0), rng
            )
            slices[int((told_s - left_s) / 0.1)] += 1
        assert max(slices.values()) < 1.5 * 2000 / 20


class TestDrainingIncarnation:
    def table(self, **extra):
        table = targets.TargetTable()
        row = test_gateway_decisions.entry("a", started_ms=3, **extra)
        table.update([row], clocks.boot_s())
        return table, row

    def usable(self, table):
        return [row.id for row in table.usable("pool")]

    def test_late_entry_in_state_ready_does_not_undo_draining(self, clock):
        table, row = self.table()
        table.record_draining(incarnations.Incarnation("a", 3))
        table.update([row], clock.now_s + 1)
        assert self.usable(table) == []
        # The entry is missing from one read and listed again by the next.
        table.update([], clock.now_s + 2)
        table.update([row], clock.now_s + 3)
        assert self.usable(table) == []

    def test_new_incarnation_starts_without_signals(self, clock):
        table, _ = self.table()
        table.record_draining(incarnations.Incarnation("a", 3))
        targetbackoff.start_backoff(table.get("a"), 5.0)
        new = test_gateway_decisions.entry("a", started_ms=4)
        table.update([new], clock.now_s + 1)
        assert self.usable(table) == ["a"]
        assert not table.get("a").is_in_backoff

    def test_response_of_an_earlier_incarnation_does_not_affect_the_new_one(
        self, clock
    ):
        table, _ = self.table()
        old = table.get("a")
        new = test_gateway_decisions.entry("a", started_ms=4)
        table.update([new], clock.now_s + 1)
        table.record_draining(old.incarnation)
        targetbackoff.start_backoff(old, 5.0)
        assert self.usable(table) == ["a"]
        assert not table.get("a").is_in_backoff

    def test_peers_learn_of_draining_before_they_have_the_entry(self, clock):
        table, row = self.table()
        table.record_draining(incarnations.Incarnation("a", 3))
        peer = targets.TargetTable()
        peer.merge_draining(table.recent_draining(10.0))
        peer.update([row], clock.now_s + 1)
        assert self.usable(peer) == []

    @settings(max_examples=50)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["listed", "lapsed", "says", "reborn"]),
                st.sampled_from(list(sources.TargetState)),
            ),
            max_size=20,
        )
    )
    def test_draining_incarnation_never_gets_requests_again(self, steps):
        table = targets.TargetTable()
        started_ms = 1
        said = set()
        read_s = clocks.boot_s()
        for step, state in steps:
            read_s += 3.0
            if step == "reborn":
                started_ms += 1
            if step == "says":
                table.record_draining(incarnations.Incarnation("a", started_ms))
                said.add(started_ms)
            elif step == "lapsed":
                table.update([], read_s)
            else:
                row = test_gateway_decisions.entry(
                    "a", started_ms=started_ms, state=state
                )
                table.update([row], read_s)
            known = table.get("a")
            if known is not None and known.entry.started_ms in said:
                assert self.usable(table) == []


class TestSignalOfARefusal:
    """A refusal doesn't say for certain which of two engines drains."""

    def handle_refusal(self, clock, address):
        table = targets.TargetTable()
        row = test_gateway_decisions.entry("a", started_ms=3)
        table.update([row], clock.now_s)
        signals = targetsignals.TargetSignals(
            headers.HEADERS,
            table,
            metrics.Metrics(),
            ratelimits.RateLimitTable(table),
        )
        fields = [(headers.HEADERS.leaving, b"1")]
        if address:
            fields.append((headers.HEADERS.faulty_target, address.encode()))
        head = messages.ResponseHead(503, b"", fields)
        signals.handle(table.get("a"), head, clock.now_s)
        return table.get("a")

    def test_signal_about_the_sender_marks_it_as_draining(self, clock):
        assert self.handle_refusal(clock, "").is_draining
        own = test_gateway_decisions.entry("a").address
        assert self.handle_refusal(clock, own).is_draining

    def test_signal_about_another_target_blocks_the_sender_for_a_while(
        self, clock
    ):
        target = self.handle_refusal(clock, "10.0.0.9:1")
        assert not target.is_draining
        assert (
            target.blocked_until_s
            == clock.now_s + targetsignals.UNCERTAIN_BLOCK_S
        )


def _make_store_unavailable(world, inst):
    """Makes the store unavailable and waits until the instance knows it."""
    world.store.status = 503
    testbed.until(
        lambda: not inst.peers.reaches_store,
        "the store is known to be unreachable",
    )


class TestDrainingTarget:
    @pytest.mark.parametrize("is_cut_off", [False, True])
    @pytest.mark.parametrize(
        ("path", "method"), [("/views/x", "GET"), ("/orders/x", "POST")]
    )
    def test_later_calls_go_to_another_target(
        self, world, path, method, is_cut_off
    ):
        desks = [world.service(f"d{number}") for number in range(2)]
        inst = world.instance()
        world.wait_for_targets(*desks)
        desks[0].signals_draining = True
        if is_cut_off:
            _make_store_unavailable(world, inst)
        answers = []
        for number in range(12):
            answers.append(
                testbed.call(inst, path, method=method, request_id=f"r{number}")
            )
        assert [row.status for row in answers] == [200] * 12
        assert len(desks[0].arrivals) <= 1
        assert desks[0].server.opened <= 1

    def test_other_instances_learn_of_draining(self, world):
        desks = [world.service(f"d{number}") for number in range(2)]
        rows = [world.instance(f"i{number}") for number in range(2)]
        world.wait_for_targets(*desks)
        for inst in rows:
            testbed.until(
                lambda inst=inst: inst.peers.instance_count == 2,
                "the instances know each other",
            )
        desks[0].signals_draining = True
        for number in range(_MAX_CALLS):
            testbed.call(rows[0], "/views/x", request_id=f"r{number}")
            if number >= 7 and desks[0].arrivals:
                break
        assert len(desks[0].arrivals) == 1
        testbed.until(
            lambda: rows[1].targets.get("d0").is_draining, "the peer knows"
        )

    def test_request_is_refused_at_once_if_all_targets_drain(self, world):
        desk = world.service("d0")
        desk.signals_draining = True
        inst = world.instance()
        world.wait_for_targets(desk)
        assert testbed.call(inst, "/views/x", request_id="r0").status == 200
        answer = testbed.call(inst, "/views/x", request_id="r1")
        assert answer.status == 503
        assert len(desk.arrivals) == 1

    def test_new_stream_starts_elsewhere_and_the_running_one_completes(
        self, world
    ):
        engines = [world.engine(f"e{number}") for number in range(6)]
        inst = world.instance()
        world.wait_for_layers()
        for engine in engines:
            engine.signals_draining = engine.layers[0] == 0
        draining = [engine for engine in engines if engine.signals_draining]
        for number in range(len(draining)):
            answer = _draft(inst, f"r{number}")
            assert testbed.event_ids(answer.body) == list(range(1, 13))
        assert [len(engine.arrivals) for engine in draining] == [1] * len(
            draining
        )


def _draft(inst, request_id):
    return testbed.call(
        inst,
        "/drafts/x",
        method="POST",
        request_id=request_id,
        deadline_ms=_DRAFT_MS,
    )


class TestTargetBackoff:
    @pytest.mark.parametrize("count", [1, 2, 3])
    @pytest.mark.parametrize(
        ("path", "method"), [("/views/x", "GET"), ("/orders/x", "POST")]
    )
    def test_calls_honour_the_backoff(self, world, path, method, count):
        desks = [world.service(f"d{number}") for number in range(3)]
        inst = world.instance()
        world.wait_for_targets(*desks)
        for desk in desks[:count]:
            desk.fault = registeredtarget.Fault.REFUSE
            desk.retry_after = "60"
        answers = []
        for number in range(20):
            answers.append(
                testbed.call(inst, path, method=method, request_id=f"r{number}")
            )
        for desk in desks[:count]:
            assert len(desk.arrivals) <= 1
            assert len(desk.arrivals_in_backoff(0.0)) <= _MAX_IN_BACKOFF
        if count < 3:
            assert [row.status for row in answers] == [200] * 20
            return
        for row in answers[1:]:
            assert row.status == 503
            assert float(row.headers["Retry-After"]) > 50

    def test_streams_honour_the_backoff(self, world):
        engines = [world.engine(f"e{number}") for number in range(6)]
        inst = world.instance()
        world.wait_for_layers()
        heads = [engine for engine in engines if engine.layers[0] == 0]
        for engine in heads[:-1]:
            engine.fault = registeredtarget.Fault.REFUSE
            engine.retry_after = "60"
        for number in range(8):
            answer = _draft(inst, f"r{number}")
            assert testbed.event_ids(answer.body) == list(range(1, 13))
        for engine in heads[:-1]:
            assert len(engine.arrivals) <= 1

    def test_stream_is_refused_at_once_if_all_engines_are_in_backoff(
        self, world
    ):
        engines = [world.engine(f"e{number}") for number in range(4)]
        inst = world.instance()
        world.wait_for_layers()
        for engine in engines:
            engine.fault = registeredtarget.Fault.REFUSE
            engine.retry_after = "60"
        for number in range(6):
            answer = _draft(inst, f"r{number}")
            assert answer.status == 503
            assert float(answer.headers["Retry-After"]) > 0
        assert all(len(engine.arrivals) <= 1 for engine in engines)
        assert float(answer.headers["Retry-After"]) > 50

    def test_waiting_requests_honour_the_backoff(self, world):
        desks = [world.service(f"d{number}") for number in range(2)]
        inst = world.instance()
        world.wait_for_targets(*desks)
        for desk in desks:
            desk.fault = registeredtarget.Fault.REFUSE
            desk.retry_after = "60"
        answers = []
        threads = []
        for number in range(30):
            thread = threading.Thread(
                target=lambda number=number: answers.append(
                    testbed.call(inst, "/views/x", request_id=f"r{number}")
                )
            )
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join(testbed.WAIT_S)
        assert [row.status for row in answers] == [503] * 30
        for desk in desks:
            in_backoff = desk.arrivals_in_backoff(_BACKOFF_GRACE_S)
            assert len(in_backoff) <= _MAX_IN_BACKOFF

    def test_target_gets_requests_again_after_the_backoff(self, world):
        desk = world.service("d0")
        desk.fault = registeredtarget.Fault.REFUSE
        desk.retry_after = "0.3"
        inst = world.instance()
        world.wait_for_targets(desk)
        assert testbed.call(inst, "/views/x", request_id="r0").status == 503
        desk.fault = registeredtarget.Fault.NONE
        testbed.until(
            lambda: not inst.targets.get("d0").is_in_backoff,
            "the backoff is over",
        )
        assert testbed.call(inst, "/views/x", request_id="r1").status == 200
