"""Targets that are silent for about a second and then go on."""

import threading

import pytest

from briarfall.gateway.forwarding import rerouting
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import testbed

# Longer than the first five liveness checks of a silent stream.
SILENCE_S = 1.5
EVENTS = list(range(1, 13))
REFUSES = pytest.mark.parametrize("refuses", [False, True])
RESUMABLE = pytest.mark.parametrize("resumable", [False, True])


class Caller(threading.Thread):
    """A caller that waits for the response to one request."""

    def __init__(self, inst, path, **extra):
        super().__init__(daemon=True)
        self._inst = inst
        self._path = path
        self._extra = extra
        self.answer = None
        self.start()

    def run(self):
        self.answer = testbed.call(self._inst, self._path, **self._extra)

    def finish(self):
        self.join(testbed.WAIT_S)
        assert self.answer is not None, "no response"
        return self.answer


def draft(inst, **extra):
    """Starts a stream."""
    return Caller(
        inst,
        "/drafts/new",
        method="POST",
        body=b"notes",
        deadline_ms=20000,
        X_Token_Usage="20,20",
        **extra,
    )


class Pool:
    """Engines of which each holds the whole model, and one instance."""

    def __init__(self, world, count, *, resumable=True, attempts=2, **options):
        rows = [
            testbed.route(
                "drafts",
                "/drafts/",
                "streaming",
                "pool",
                resumable=resumable,
                gap_aim_ms=200,
                timeout_ms=20000,
                attempts=attempts,
            )
        ]
        world.publish(testbed.manifest(2, routes=rows))
        self.engines = [
            world.engine(f"e{number}", kind="large") for number in range(count)
        ]
        self.inst = world.instance(**options)
        world.wait_for_layers()
        self.reached = threading.Event()
        self._held = threading.Event()
        for engine in self.engines:
            engine.on_event[3] = self.reached
            engine.resume_events[3] = self._held

    def draft_in_progress(self):
        """Starts a stream and waits until an engine has sent some events."""
        caller = draft(self.inst)
        assert self.reached.wait(testbed.WAIT_S)
        return caller

    def release(self):
        """Lets engines go on after the events at which they are held."""
        self._held.set()

    def stay_silent(self, rows, *, refuses):
        """Lets engines be silent for a while."""
        for engine in rows:
            engine.fall_silent(refuses_connections=refuses)
        self.release()
        threading.Event().wait(SILENCE_S)
        for engine in rows:
            engine.speak()

    def runs(self):
        """Returns how often engines ran the request."""
        return sum(len(engine.ran) for engine in self.engines)


class TestStream:
    @REFUSES
    @RESUMABLE
    def test_stream_is_not_closed_while_its_only_engine_is_silent(
        self, world, refuses, resumable
    ):
        pool = Pool(world, 1, resumable=resumable)
        caller = pool.draft_in_progress()
        pool.stay_silent(pool.engines, refuses=refuses)
        answer = caller.finish()
        assert answer.status == 200
        assert answer.error is None
        assert testbed.event_ids(answer.body) == EVENTS
        assert pool.runs() == 1

    @REFUSES
    def test_stream_that_runs_once_waits_for_its_silent_engine(
        self, world, refuses
    ):
        pool = Pool(world, 3, resumable=False)
        caller = pool.draft_in_progress()
        pool.stay_silent(pool.engines, refuses=refuses)
        answer = caller.finish()
        assert answer.error is None
        assert testbed.event_ids(answer.body) == EVENTS
        assert pool.runs() == 1

    @REFUSES
    def test_stream_is_not_closed_while_all_engines_are_silent(
        self, world, refuses
    ):
        pool = Pool(world, 3)
        caller = pool.draft_in_progress()
        pool.stay_silent(pool.engines, refuses=refuses)
        answer = caller.finish()
        assert answer.error is None
        assert testbed.event_ids(answer.body) == EVENTS
        assert pool.runs() <= 2

    @REFUSES
    def test_stream_is_not_closed_if_no_retry_is_left(self, world, refuses):
        pool = Pool(world, 2)
        pool.inst.budget.set_bounds(0.0, 10.0, 0.0)
        caller = pool.draft_in_progress()
        pool.stay_silent(pool.engines, refuses=refuses)
        answer = caller.finish()
        assert answer.error is None
        assert testbed.event_ids(answer.body) == EVENTS
        assert pool.runs() == 1

    @REFUSES
    def test_stream_goes_on_if_the_engines_that_replace_its_own_refuse_it(
        self, world, refuses
    ):
        pool = Pool(world, 3)
        caller = pool.draft_in_progress()
        running = [engine for engine in pool.engines if engine.ran]
        for engine in pool.engines:
            if engine not in running:
                engine.fault = registeredtarget.Fault.REFUSE
        pool.stay_silent(running, refuses=refuses)
        answer = caller.finish()
        assert answer.error is None
        assert testbed.event_ids(answer.body) == EVENTS

    @REFUSES
    def test_stream_goes_on_if_the_engine_that_replaces_its_own_fails(
        self, world, refuses
    ):
        pool = Pool(world, 3)
        caller = pool.draft_in_progress()
        running = [engine for engine in pool.engines if engine.ran]
        for engine in pool.engines:
            if engine not in running:
                engine.crashes_as_head = True
        pool.stay_silent(running, refuses=refuses)
        answer = caller.finish()
        assert answer.error is None
        assert testbed.event_ids(answer.body) == EVENTS

    @RESUMABLE
    def test_silence_before_the_first_event_is_no_failure(
        self, world, resumable
    ):
        pool = Pool(world, 1, resumable=resumable)
        engine = pool.engines[0]
        engine.fall_silent()
        caller = draft(pool.inst)
        threading.Event().wait(SILENCE_S)
        engine.speak()
        pool.release()
        answer = caller.finish()
        assert answer.status == 200
        assert testbed.event_ids(answer.body) == EVENTS


class TestLeftEntry:
    @pytest.mark.parametrize("leaves", [False, True])
    def test_engine_that_goes_on_after_a_check_causes_no_second_run(
        self, world, monkeypatch, leaves
    ):
        pool = Pool(world, 2)
        caller = pool.draft_in_progress()
        engine = [row for row in pool.engines if row.ran][0]
        reroute = rerouting.StreamRerouter.reroute

        def check(rerouter, stream, run):
            is_listed = rerouter._targets.get(engine.id) is not None
            try:
                reroute(rerouter, stream, run)
            finally:
                if is_listed is not leaves:
                    pool.release()

        monkeypatch.setattr(rerouting.StreamRerouter, "reroute", check)
        if leaves:
            engine.remove()
        answer = caller.finish()
        assert answer.error is None
        assert testbed.event_ids(answer.body) == EVENTS
        assert pool.runs() == 1


class TestPlainCall:
    @pytest.mark.parametrize("kind", ["orders", "views"])
    def test_call_waits_for_its_only_target_until_its_time_is_over(
        self, world, kind
    ):
        desk = world.service("d1")
        inst = world.instance()
        world.wait_for_targets(desk)
        desk.fall_silent()
        caller = Caller(inst, f"/{kind}/x", method="POST", deadline_ms=2500)
        threading.Event().wait(SILENCE_S)
        desk.speak()
        answer = caller.finish()
        assert answer.status == 200
        assert len(desk.ran) == 1
