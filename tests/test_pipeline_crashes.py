"""Which deaths of targets count against the request that they ran."""

import pytest

from briarfall import clock
from briarfall import exceptions
from briarfall.pipelines import poison
from briarfall.pipelines import targets
from tests import enginefakes


class TestDeathsTogether:
    """Deaths at one moment, of which some are found out about later."""

    @pytest.mark.parametrize("seed", range(8))
    def test_engines_that_died_with_the_first_one_are_no_evidence(self, seed):
        engines = enginefakes.Engines()

        def kill(call, index):
            engines.on_token = lambda call, index: None
            engines.dead = {call.route[0].target, "l1", "l2"}

        engines.on_token = kill
        assert (
            enginefakes.texts(enginefakes.Instance(engines, seed).run())
            == enginefakes.EXPECTED
        )

    @pytest.mark.parametrize("seed", range(8))
    def test_a_death_that_another_instance_saw_counts_once(self, seed):
        self._check_resumed(12, seed)

    def test_a_suspect_whose_instance_died_goes_on_elsewhere(self):
        self._check_resumed(1, 1)

    def _check_resumed(self, kill_index, seed):
        """Checks a stream whose instance and last stage die together."""
        engines = enginefakes.Engines()
        first, second = (
            enginefakes.Instance(engines, seed),
            enginefakes.Instance(engines, seed + 1),
        )
        first.guard.notify_peers = second.guard.merge

        def kill(call, index):
            if index == kill_index:
                engines.on_token = lambda call, index: None
                engines.dead = {call.route[-1].target}

        engines.on_token = kill
        run = first.run()
        tokens = iter(run)
        for _ in range(kill_index):
            next(tokens)
        route = [hop.target for hop in run.route]
        next(tokens)
        position = {
            "resume_index": run.index,
            "resume_digest": run.digest,
            "resume_attempt": run.attempt + 8,
            "preferred": route,
        }
        assert (
            enginefakes.texts(second.run(**position))
            == enginefakes.EXPECTED[run.index :]
        )


class TestAnswersThatHadBegun:
    def test_a_replacement_that_dies_too_is_no_evidence(self):
        engines = enginefakes.Engines()

        def kill(call, index):
            if index != 12 or call.attempt > 2:
                return
            engines.dead.add(call.route[-1].target)

        engines.on_token = kill
        assert (
            enginefakes.texts(enginefakes.Instance(engines).run())
            == enginefakes.EXPECTED
        )

    def test_innocents_need_no_trial(self):
        engines = enginefakes.Engines()

        def kill(call, index):
            if index == 12:
                engines.on_token = lambda call, index: None
                engines.dead = {call.route[-1].target}

        engines.on_token = kill
        inst = enginefakes.Instance(engines)
        assert enginefakes.texts(inst.run()) == enginefakes.EXPECTED
        assert inst.guard.lookup("a prompt") is None

    def test_they_wait_for_engines_once_all_known_ones_are_ejected(self):
        engines = enginefakes.Engines()
        time = clock.ManualClock()
        inst = enginefakes.Instance(engines, clock=time)

        def kill(call, index):
            if index == 12:
                engines.on_token = lambda call, index: None
                engines.dead = set(enginefakes.HEADS)

        engines.on_token = kill
        plan = inst.relay.planner.plan

        def plan_or_restart(req):
            try:
                return plan(req)
            except exceptions.NoRouteError:
                engines.dead.clear()
                time.advance(targets.EJECT_S + 0.1)
                raise

        inst.relay.planner.plan = plan_or_restart
        assert enginefakes.texts(inst.run()) == enginefakes.EXPECTED


class TestPoisonRequest:
    def test_costs_two_engines(self):
        engines = enginefakes.Engines()
        inst = enginefakes.Instance(engines)
        with pytest.raises(exceptions.PoisonError):
            enginefakes.texts(inst.run("poison"))
        with pytest.raises(exceptions.PoisonError):
            inst.run("poison")
        assert len(engines.crashed) == 2

    def test_costs_two_crashes_of_the_only_engine(self):
        engines = enginefakes.Engines()
        engines.restarts = True
        inst = enginefakes.Instance(engines, heads=["h1"], lasts=["l1"])
        with pytest.raises(exceptions.PoisonError):
            enginefakes.texts(inst.run("poison"))
        assert engines.crashed == ["h1", "h1"]

    def test_that_crashes_in_mid_answer_costs_three_engines(self):
        engines = enginefakes.Engines()
        engines.crash_index = 12
        inst = enginefakes.Instance(engines)
        with pytest.raises(exceptions.PoisonError):
            enginefakes.texts(inst.run("poison"))
        assert len(engines.crashed) == 3

    def test_is_refused_in_mid_recovery_once_a_peer_has_refused_it(self):
        engines = enginefakes.Engines()
        inst = enginefakes.Instance(engines)

        def crash(call, index):
            inst.guard.merge(poison.Suspicion("poison", 2, "i1"))

        engines.on_token = crash
        with pytest.raises(exceptions.PoisonError):
            enginefakes.texts(inst.run("poison"))
        assert len(engines.crashed) == 1
