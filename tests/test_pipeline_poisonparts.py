"""Parts of prompts that crash engines, on briarfall's own path."""

import threading

import msgspec
import pytest

from briarfall import clock
from briarfall import exceptions
from briarfall.pipelines import partguard
from briarfall.pipelines import poison
from tests import enginefakes

HEADS = [f"h{number}" for number in range(12)]


class _OldSuspicion(msgspec.Struct, array_like=True):
    """A suspicion as releases know it that have no parts of prompts."""

    fingerprint: str
    crashes: int = 0
    trial_instance: str = ""
    cleared: bool = False


def _serve(inst, prompt, **changes):
    """Returns whether a request was answered whole, False if it was refused."""
    try:
        found = enginefakes.texts(inst.run(prompt, **changes))
    except exceptions.PoisonError:
        return False
    assert found == enginefakes.EXPECTED
    return True


def _pair(engines):
    """Returns two instances that tell each other all suspicions."""
    first = enginefakes.Instance(engines, heads=HEADS, name="i0")
    second = enginefakes.Instance(engines, 2, heads=HEADS, name="i1")
    first.guard.notify_peers = second.guard.merge
    second.guard.notify_peers = first.guard.merge
    return first, second


class TestSharedPart:
    @pytest.mark.parametrize(
        "prompt",
        [
            "a poison prompt, number {}",
            "number {} with poison at its end: poison",
            "{} poison",
        ],
    )
    def test_different_requests_with_it_crash_three_engines(self, prompt):
        engines = enginefakes.Engines()
        inst = enginefakes.Instance(engines, heads=HEADS)
        for number in range(8):
            assert not _serve(inst, prompt.format(number))
        assert len(engines.crashed) == 3

    def test_it_costs_no_more_at_several_instances(self):
        engines = enginefakes.Engines()
        pair = _pair(engines)
        for number in range(8):
            assert not _serve(pair[number % 2], f"a poison prompt {number}")
        assert len(engines.crashed) == 3

    def test_it_is_told_from_words_that_always_came_with_it(self):
        engines = enginefakes.Engines()
        inst = enginefakes.Instance(engines, heads=HEADS)
        for number in range(4):
            _serve(inst, f"a poison prompt, number {number}")
        for number in range(8):
            assert _serve(inst, f"a sound prompt, number {number}")
        assert not _serve(inst, "a poison prompt, number 9")
        assert not _serve(inst, "poison alone")
        assert len(engines.crashed) == 3

    def test_a_prefix_of_proven_words_is_refused_as_one_part(self):
        engines = enginefakes.Engines()
        inst = enginefakes.Instance(engines, heads=HEADS)
        engines.poison = lambda prompt: prompt.startswith("one two")
        for word in ["one", "two"]:
            assert _serve(inst, f"not {word}")
        for number in range(8):
            assert not _serve(inst, f"one two {number}", affinity=7)
        assert _serve(inst, "two one 3", affinity=8)
        assert len(engines.crashed) == 3

    def test_the_same_words_for_another_model_are_sound(self):
        engines = enginefakes.Engines()
        inst = enginefakes.Instance(engines, heads=HEADS)
        for number in range(4):
            _serve(inst, f"a poison prompt, number {number}")
        engines.poison = lambda prompt: False
        assert _serve(inst, "a poison prompt, number 9", model_name="other")

    def test_it_is_tried_again_after_ten_minutes(self):
        time = clock.ManualClock()
        engines = enginefakes.Engines()
        inst = enginefakes.Instance(engines, heads=HEADS, clock=time)
        for number in range(4):
            _serve(inst, f"poison {number}")
        time.advance(601.0)
        engines.dead.clear()
        engines.poison = lambda prompt: False
        assert _serve(inst, "poison 9")

    def test_a_request_waits_while_another_one_tries_its_part(self):
        engines = enginefakes.Engines()
        inst = enginefakes.Instance(engines, heads=HEADS)
        assert not _serve(inst, "poison 1")
        tried, waits = threading.Event(), threading.Event()
        inst.guard.parts.wait = lambda timeout_s: waits.set()

        def hold(call, index):
            engines.on_token = lambda call, index: None
            tried.set()
            assert waits.wait(20.0)

        engines.on_token = hold
        served = []
        threads = [
            threading.Thread(
                target=lambda: served.append(_serve(inst, "poison 2"))
            )
        ]
        threads[0].start()
        assert tried.wait(20.0)
        threads.append(
            threading.Thread(
                target=lambda: served.append(_serve(inst, "poison 3"))
            )
        )
        threads[1].start()
        for thread in threads:
            thread.join(20.0)
        assert served == [False, False]
        assert len(engines.crashed) == 3


class TestSoundRequests:
    def test_deaths_without_a_poison_part_refuse_nothing(self):
        engines = enginefakes.Engines()
        inst = enginefakes.Instance(engines, heads=HEADS)

        def kill(call, index):
            if call.attempt == 1:
                engines.dead.add(call.route[0].target)

        engines.on_token = kill
        for number in range(8):
            assert _serve(inst, f"a prompt, number {number}")

    def test_a_part_that_ran_lately_is_not_suspected(self):
        engines = enginefakes.Engines()
        inst = enginefakes.Instance(engines, heads=HEADS)
        assert _serve(inst, "a prompt")
        _serve(inst, "a poison")
        suspicion = inst.guard.lookup("a poison")
        assert len(suspicion.parts) == 1

    def test_engines_that_die_together_refuse_no_part(self):
        guard = partguard.PartGuard()
        for target in ["a", "b", "c", "d"]:
            death = guard.death_of(target, 0, is_trial=False)
            guard.record_death(death, ["part:x"])
        assert guard.suspected(["part:x"]) == ["part:x"]
        assert not guard.is_poison(["part:x"])

    def test_a_death_that_many_requests_met_counts_once(self):
        guard = partguard.PartGuard()
        for _ in range(4):
            death = guard.death_of("a", 0, is_trial=False)
            guard.record_death(death, ["part:x"])
        for _ in range(2):
            death = guard.death_of("b", 0, is_trial=True)
            guard.record_death(death, ["part:x"])
        assert not guard.is_poison(["part:x"])


class TestPeers:
    def test_a_part_that_ran_at_a_peer_is_sound(self):
        engines = enginefakes.Engines()
        first, second = _pair(engines)
        for number in range(4):
            _serve(first, f"a poison prompt, number {number}")
        assert _serve(first, "a sound prompt, number 1")
        parts = second.guard.parts
        (left,) = parts.suspected(second.parts_of("a poison prompt,"))
        assert [left] == second.parts_of("poison")

    def test_an_older_release_reads_suspicions_and_the_other_way(self):
        deaths = [partguard.Death("a", 1)]
        sent = poison.Suspicion("f", 1, "i1", parts=["part:x"], deaths=deaths)
        data = msgspec.json.encode(sent)
        old = msgspec.json.decode(data, type=_OldSuspicion)
        assert old == _OldSuspicion("f", 1, "i1")
        found = msgspec.json.decode(
            msgspec.json.encode(old), type=poison.Suspicion
        )
        assert found == poison.Suspicion("f", 1, "i1")

    def test_a_part_on_trial_at_a_peer_waits(self):
        guard = poison.PoisonGuard("i0")
        deaths = [partguard.Death("a", 1)]
        guard.merge(
            poison.Suspicion("f", 1, "i1", parts=["part:x"], deaths=deaths)
        )
        assert not guard.parts.start_trial(["part:x"], "s2")
        guard.merge(poison.Suspicion("f", 1, parts=["part:x"], deaths=deaths))
        assert guard.parts.start_trial(["part:x"], "s2")

    # Guards against a fourth crash: the other trial has ended with the third
    # one after this request had last asked whether the part is poison.
    def test_no_trial_starts_of_a_part_that_became_poison(self):
        guard = partguard.PartGuard()
        for number, is_trial in enumerate([False, False, True]):
            death = partguard.Death(f"h{number}", number * 10_000, is_trial)
            guard.record_death(death, ["part:x"])
        assert not guard.start_trial(["part:x"], "s2")
