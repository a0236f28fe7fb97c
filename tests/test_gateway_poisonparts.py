"""Parts of prompts that crash engines: decisions, and the whole gateway."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway.calls import budgets
from briarfall.gateway.calls import promptparts
from briarfall.gateway.crashes import crashdetection
from briarfall.gateway.crashes import crashes
from briarfall.gateway.crashes import crashevidence
from briarfall.gateway.crashes import poisonlist
from briarfall.gateway.forwarding import dispatchgate
from briarfall.gateway.targets import liveness
from briarfall.gateway.targets import targets
from briarfall.standins.prepared import testbed
from tests import test_gateway_decisions
from tests import test_gateway_streams

DEADLY = "dead"
# Crashes after which at most `_MAX_LATE` more requests may reach engines.
MAX_CRASHES = 5
_MAX_LATE = 3
POISON_REQUESTS = 8
_FIRST = crashevidence.part_key(promptparts.PartId("first"))
_PART = crashevidence.part_key(promptparts.PartId(DEADLY))
_BYSTANDER = crashevidence.part_key(promptparts.PartId("bystander"))
# Longer than any hold, shorter than the time for which poison is refused.
_AFTER_HOLD_S = 8.0


def _crash(suspect, target="a", started_ms=1):
    return crashevidence.Crash(suspect, ids.TargetId(target), started_ms)


def _call(now_s, *parts):
    call = test_gateway_streams.a_call(now_s)
    call.parts = promptparts.PromptParts(parts, promptparts.PartId("own"))
    return call


class TestCrashEvidence:
    def test_crash_is_blamed_on_the_part_with_most_crashes(self):
        evidence = crashevidence.CrashEvidence()
        for target in "abef":
            evidence.add(_crash(_PART, target), 1.0)
        for target in "ab":
            evidence.add(_crash(_BYSTANDER, target), 1.0)
            evidence.add(_crash("request", target), 1.0)
        evidence.add(_crash("request", "d"), 1.0)
        assert evidence.blamed_count(_PART) == 4
        assert evidence.blamed_count(_BYSTANDER) == 0
        assert evidence.blamed_count("request") == 1

    def test_parts_with_equally_many_crashes_are_both_blamed(self):
        evidence = crashevidence.CrashEvidence()
        for target in "ab":
            evidence.add(_crash(_PART, target), 1.0)
            evidence.add(_crash(_BYSTANDER, target), 1.0)
        assert evidence.blamed_count(_PART) == 2
        assert evidence.blamed_count(_BYSTANDER) == 2

    @given(
        st.lists(
            st.tuples(
                st.sampled_from([_PART, _BYSTANDER, "r1", "r2"]),
                st.sampled_from("abcd"),
                st.sampled_from(["add", "remove", "clear"]),
            ),
            max_size=40,
        )
    )
    def test_counts_stay_true_over_additions_and_removals(self, steps):
        evidence = crashevidence.CrashEvidence()
        known = {}
        for number, (suspect, target, step) in enumerate(steps):
            crash = _crash(suspect, target)
            if step == "add":
                assert evidence.add(crash, number) == (crash not in known)
                known.setdefault(crash, number)
            elif step == "remove" and crash in known:
                evidence.remove(crash, known.pop(crash))
            elif step == "clear":
                evidence.clear(suspect)
                known = {c: s for c, s in known.items() if c.suspect != suspect}
            for key in (_PART, _BYSTANDER, "r1", "r2"):
                count = sum(c.suspect == key for c in known)
                assert evidence.count(key) == count
                assert 0 <= evidence.blamed_count(key) <= count
        assert evidence.is_empty == (not known)


class TestHolds:
    """Two crashes may be chance: one request is tried, others wait."""

    def table(self, crashed="ab"):
        table = crashes.CrashTable(random.Random(1))
        for target in crashed:
            table.record(_crash(_PART, target))
        return table

    def test_part_is_held_after_two_crashes_and_poison_after_three(self, clock):
        table = self.table("a")
        assert table.held_s(_PART) == 0
        table.record(_crash(_PART, "b"))
        assert table.held_s(_PART) > 0
        assert not table.is_poison(_PART)
        table.merge_crashes([_crash(_PART, "c")])
        assert table.is_poison(_PART)

    def test_one_trial_holds_back_the_others_everywhere(self, clock):
        table, peer = self.table(), self.table()
        clock.now_s += _AFTER_HOLD_S
        assert table.held_s(_PART) == peer.held_s(_PART) == 0
        assert table.start_trials([_PART]) == 0
        peer.merge_holds(table.holds_to_report())
        assert table.held_s(_PART) > 0
        assert peer.held_s(_PART) > 0

    def test_request_of_the_first_crash_is_tried_before_others(self, clock):
        table, peer = self.table("a"), self.table("a")
        assert table.start_trials([_PART]) == 0
        peer.merge_holds(table.holds_to_report())
        assert table.held_s(_PART) > 0
        assert peer.held_s(_PART) > 0
        clock.now_s += _AFTER_HOLD_S
        assert table.held_s(_PART) == peer.held_s(_PART) == 0

    def test_report_of_an_unknown_part_holds_back_nothing(self, clock):
        table, peer = self.table("a"), crashes.CrashTable()
        assert table.start_trials([_PART]) == 0
        peer.merge_holds(table.holds_to_report())
        assert peer.held_s(_PART) == 0
        assert peer.held_count == 0

    def test_part_that_is_proven_is_free_here_and_at_peers(self, clock):
        table, peer = self.table("abc"), self.table("abc")
        lifted = []
        table.add_listener(lifted.append)
        table.record_proven(_PART)
        peer.merge_survived(table.survived_to_report())
        # A report that is older than the proof changes nothing.
        peer.merge_poison([poisonlist.PoisonRow(_PART, 60_000)])
        assert lifted == [poisonlist.PoisonRow(_PART, 0)]
        for row in (table, peer):
            assert not row.is_poison(_PART)
            assert not row.is_suspected(_PART)

    def test_recently_proven_part_is_not_suspected(self, clock):
        table, peer = crashes.CrashTable(), self.table()
        table.record_proven(_PART)
        for target in "abc":
            table.record(_crash(_PART, target))
        table.merge_crashes([_crash(_PART, "d")])
        assert table.count(_PART) == 0
        peer.merge_survived(table.survived_to_report())
        assert not peer.is_suspected(_PART)

    def test_part_whose_last_proof_is_old_is_suspected(self, clock):
        table = crashes.CrashTable()
        table.record_proven(_PART)
        clock.now_s += 61
        for target in "abc":
            table.record(_crash(_PART, target))
        assert table.is_poison(_PART)

    def test_bystander_of_two_crashes_is_free_once_the_cause_shows(self, clock):
        table = self.table()
        for target in "ab":
            table.record(_crash(_BYSTANDER, target))
        assert table.is_suspected(_BYSTANDER)
        table.record(_crash(_PART, "c"))
        assert not table.is_suspected(_BYSTANDER)

    def test_holds_and_proofs_stay_bounded(self, clock):
        table = crashes.CrashTable()
        for number in range(6000):
            part = crashevidence.part_key(promptparts.PartId(f"p{number}"))
            table.record_proven(part)
            other = crashevidence.part_key(promptparts.PartId(f"q{number}"))
            for target in "ab":
                table.record(_crash(other, target))
        assert table.held_count <= 3000
        assert len(table.crashes_to_report()) <= 100
        assert len(table.holds_to_report()) <= 100


class TestGate:
    def gate(self, table):
        budget = budgets.RetryBudget(0.2, 10.0, 100.0, lambda: 1)
        return dispatchgate.DispatchGate(
            budget, table, test_gateway_decisions.Unlimited()
        )

    def test_second_request_with_a_held_part_is_refused_as_not_run(self, clock):
        table = TestHolds().table()
        clock.now_s += _AFTER_HOLD_S
        gate = self.gate(table)
        target = test_gateway_decisions.target("t")
        gate.start_attempt(_call(clock.now_s, DEADLY), target)
        with pytest.raises(exceptions.HeldRequestError) as caught:
            gate.start_attempt(_call(clock.now_s, DEADLY), target)
        assert caught.value.outcome is exceptions.Outcome.NOT_RUN
        assert caught.value.retry_after_s > 0
        gate.start_attempt(_call(clock.now_s, "first"), target)

    # Guards against two trials of a part: the second request was asked whether
    # the part is held back before the first one started its trial.
    def test_of_two_requests_at_once_only_one_is_tried(
        self, clock, monkeypatch
    ):
        table = TestHolds().table()
        clock.now_s += _AFTER_HOLD_S
        gate = self.gate(table)
        target = test_gateway_decisions.target("t")
        first = _call(clock.now_s, DEADLY)
        second = _call(clock.now_s, DEADLY)
        second.attempt_count = 1

        def start_first(budget):
            gate.start_attempt(first, target)
            return True

        monkeypatch.setattr(budgets.RetryBudget, "take_retry", start_first)
        with pytest.raises(exceptions.HeldRequestError):
            gate.start_attempt(second, target)
        assert first.attempt_count == second.attempt_count == 1

    def test_request_that_tells_two_suspects_apart_is_tried_at_once(
        self, clock
    ):
        table = TestHolds().table("abc")
        for target in "abc":
            table.record(_crash(_FIRST, target))
        assert table.is_poison(_FIRST)
        gate = self.gate(table)
        target = test_gateway_decisions.target("t")
        with pytest.raises(exceptions.PoisonError):
            gate.start_attempt(_call(clock.now_s, "first", DEADLY), target)
        gate.start_attempt(_call(clock.now_s, "first"), target)
        with pytest.raises(exceptions.HeldRequestError):
            gate.start_attempt(_call(clock.now_s, "first"), target)
        gate.record_proven(_call(clock.now_s, "first"))
        gate.start_attempt(_call(clock.now_s, "first"), target)
        with pytest.raises(exceptions.PoisonError):
            gate.start_attempt(_call(clock.now_s, "first", DEADLY), target)

    def test_bystander_part_does_not_free_a_poison_request(self, clock):
        table = crashes.CrashTable()
        call = _call(clock.now_s)
        for target in "abc":
            table.record(_crash(crashes.fingerprint(call), target))
            table.record(_crash(_BYSTANDER, target))
        with pytest.raises(exceptions.PoisonError):
            self.gate(table).check(call)

    def test_request_that_is_not_sent_uses_up_no_trial(self, clock):
        table = TestHolds().table()
        clock.now_s += _AFTER_HOLD_S
        gate = self.gate(table)
        draining = test_gateway_decisions.target("t")
        draining.is_draining = True
        with pytest.raises(dispatchgate.TargetAvoidedError):
            gate.start_attempt(_call(clock.now_s, DEADLY), draining)
        assert table.held_s(_PART) == 0


class TestDetector:
    def crash(self, table, call, **extra):
        detector = crashdetection.CrashDetector(table, targets.TargetTable())
        detector.record_interruption(
            call, "a", 1, liveness.Reachability.REFUSED, **extra
        )

    def test_own_part_of_a_request_is_never_suspected(self, clock):
        table = crashes.CrashTable()
        self.crash(table, _call(clock.now_s, "first", DEADLY))
        own = crashevidence.part_key(promptparts.PartId("own"))
        assert table.count(_PART) == table.count(_FIRST) == 1
        assert table.count(own) == 0

    def test_parts_of_an_answer_under_way_are_not_suspected(self, clock):
        table = crashes.CrashTable()
        call = _call(clock.now_s, DEADLY)
        self.crash(table, call, has_begun=True)
        assert table.count(_PART) == 0
        assert table.count(crashes.fingerprint(call)) == 1


class Pool:
    """Engines that crash on one part, and an instance before them."""

    def __init__(self, world, count=10):
        self.engines = []
        for number in range(count):
            engine = world.engine(f"e{number}")
            engine.crash_part = DEADLY
            self.engines.append(engine)
        self.world = world
        self.crashes = 0
        self.instance = world.instance()
        world.wait_for_layers()

    def draft(self, number, *parts, instance=None):
        """Sends a request whose body and last part no other has."""
        prompt = ",".join(f"{part}:40" for part in [*parts, f"own{number}"])
        return testbed.call(
            instance or self.instance,
            "/drafts/x",
            method="POST",
            body=b"draft %d" % number,
            request_id=f"r{number}",
            deadline_ms=8000,
            X_Prefix_Hash=prompt,
        )

    def restart_crashed(self):
        """Restarts crashed engines and waits until they hold layers again."""
        for engine in self.engines:
            if not engine.closing.is_set():
                continue
            self.crashes += 1
            engine.restart()
            testbed.until(
                lambda engine=engine: self._is_back(engine),
                f"{engine.id} holds layers again",
            )

    def _is_back(self, engine):
        for inst in self.world.instances:
            entry = inst.targets.get(engine.id).entry
            if entry.started_ms != engine.incarnation or entry.layers is None:
                return False
        return True

    def arrivals(self, prefix):
        """Returns the ids of requests that reached engines."""
        found = []
        for engine in self.engines:
            for row in engine.arrivals:
                if row.request_id.startswith(prefix):
                    found.append(row.request_id)
        return found


@pytest.fixture
def pool(world):
    return Pool(world)


class TestPoisonPart:
    """Requests with one part crash engines, whatever else they hold."""

    def test_new_requests_with_a_poison_part_stop_reaching_engines(self, pool):
        assert pool.draft(1, "first").status == 200
        late = 0
        for number in range(100, 100 + POISON_REQUESTS):
            before = len(pool.arrivals("r1"))
            is_late = pool.crashes >= MAX_CRASHES
            pool.draft(number, "first", DEADLY)
            late += is_late * (len(pool.arrivals("r1")) - before)
            pool.restart_crashed()
        assert pool.crashes <= MAX_CRASHES
        assert late <= _MAX_LATE

    def test_sound_requests_that_share_the_other_parts_are_served(self, pool):
        assert pool.draft(1, "first").status == 200
        served = 0
        for number in range(POISON_REQUESTS):
            pool.draft(100 + number, "first", DEADLY)
            answer = pool.draft(200 + number, "first")
            served += answer.status == 200 and answer.error is None
        assert served == POISON_REQUESTS

    def test_instances_tell_each_other_of_a_poison_part(self, pool):
        other = pool.world.instance("i2")
        pool.world.wait_for_layers()
        testbed.until(
            lambda: other.peers.instance_count == 2,
            "the instances know each other",
        )
        pool.draft(100, "first", DEADLY)
        testbed.until(lambda: other.crashes.count(_PART), "the crash is told")
        pool.draft(101, "first", DEADLY, instance=other)
        pool.restart_crashed()
        for number in range(102, 108):
            pool.draft(number, "first", DEADLY, instance=other)
        pool.restart_crashed()
        assert pool.crashes <= MAX_CRASHES
        assert pool.draft(1, "first", instance=other).status == 200

    def test_instances_that_were_all_killed_load_poison_parts(self, pool):
        for target in "abc":
            pool.instance.crashes.record(_crash(_PART, target))
        testbed.until(
            lambda: pool.world.store.keys("keyed.briarfall-poison"),
            "the part is stored as poison",
        )
        pool.instance.close()
        late = pool.world.instance("i2")
        pool.world.instances = [late]
        pool.world.wait_for_layers()
        answer = pool.draft(100, "first", DEADLY, instance=late)
        assert answer.body.startswith(b"[poison_request]")
        assert pool.arrivals("r") == []
