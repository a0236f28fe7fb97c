"""Streams that try another chain while their own one is only silent."""

import threading

import pytest

from briarfall import exceptions
from briarfall.gateway.crashes import crashes
from briarfall.gateway.exchanges import targetconnection
from briarfall.gateway.forwarding import dispatchgate
from briarfall.standins.prepared import engines
from briarfall.standins.prepared import network
from briarfall.standins.prepared import testbed
from tests import test_gateway_silence as silence


class _Draft:
    """A stream in progress on the first of several engines."""

    def __init__(self, world, count=2, **options):
        self.pool = silence.Pool(world, count, **options)
        self.caller = self.pool.draft_in_progress()
        rows = self.pool.engines
        self.first = [engine for engine in rows if engine.ran][0]
        self.others = [engine for engine in rows if not engine.ran]

    def silence_first(self):
        self.first.fall_silent(refuses_connections=True)
        self.pool.release()

    def check_complete(self):
        answer = self.caller.finish()
        assert answer.error is None
        assert testbed.event_ids(answer.body) == silence.EVENTS


def wait(seconds=silence.SILENCE_S):
    threading.Event().wait(seconds)


class TestReplacement:
    def test_replacement_that_is_silent_keeps_the_stream(self, world):
        draft = _Draft(world)
        draft.others[0].fall_silent()
        draft.silence_first()
        wait()
        draft.others[0].speak()
        draft.check_complete()
        draft.first.speak()

    @pytest.mark.parametrize("resets", [False, True])
    def test_first_run_goes_on_if_its_replacement_sends_only_a_head(
        self, world, monkeypatch, resets
    ):
        draft = _Draft(world)
        held = threading.Event()
        generate = engines.EngineStandin._generate_events

        def fail(engine, conn, *args):
            if engine is draft.first:
                return generate(engine, conn, *args)
            if resets:
                conn.reset()
                return False
            held.wait(testbed.WAIT_S)
            return False

        monkeypatch.setattr(engines.EngineStandin, "_generate_events", fail)
        draft.silence_first()
        wait()
        draft.first.speak()
        try:
            draft.check_complete()
        finally:
            held.set()

    def test_events_of_the_first_run_pass_while_connects_hang(
        self, world, monkeypatch
    ):
        draft = _Draft(world, 6)
        tried = []
        asked = threading.Event()
        spoke = threading.Event()
        init = targetconnection.TargetConnection.__init__

        def hang(conn, address, timeout_s, *rest):
            if address == draft.first.address:
                init(conn, address, timeout_s, *rest)
                return
            tried.append(spoke.is_set())
            asked.set()
            wait(timeout_s)
            raise targetconnection.NotSentError(f"{address}: timed out")

        monkeypatch.setattr(targetconnection.TargetConnection, "__init__", hang)
        for engine in draft.others:
            draft.pool.inst.target_follower._pool.drop(engine.address)
        draft.silence_first()
        assert asked.wait(testbed.WAIT_S)
        draft.first.speak()
        spoke.set()
        draft.check_complete()
        # An attempt that is under way ends first; a second one may start
        # before the event arrives.
        assert tried.count(True) <= 1


class _Series:
    """A stream whose engines fall silent one after the other."""

    def __init__(self, world, monkeypatch, count=3):
        self.sent = []
        start = dispatchgate.DispatchGate.start_attempt

        def record(gate, call, target, *args):
            start(gate, call, target, *args)
            self.sent.append(target.id)

        monkeypatch.setattr(dispatchgate.DispatchGate, "start_attempt", record)
        self.draft = _Draft(world, count, attempts=4)
        for engine in self.draft.others:
            engine.fall_silent()
        self.draft.silence_first()
        testbed.until(lambda: len(self.sent) == count, "all engines are asked")
        by_id = {engine.id: engine for engine in self.draft.pool.engines}
        self.rows = [by_id[name] for name in self.sent]

    def finish(self):
        self.draft.check_complete()
        for engine in self.rows:
            engine.speak()
        testbed.until(
            lambda: not self.draft.pool.inst.loads.own(),
            "no engine has a load",
        )


class TestSeries:
    @pytest.mark.parametrize("index", [0, 1, 2])
    def test_stream_goes_on_with_any_of_three_silent_engines(
        self, world, monkeypatch, index
    ):
        series = _Series(world, monkeypatch)
        series.rows[index].speak()
        series.finish()

    @pytest.mark.parametrize("index", [0, 1])
    def test_stream_goes_on_though_the_newest_engine_crashes(
        self, world, monkeypatch, index
    ):
        series = _Series(world, monkeypatch)
        series.rows[2].close()
        wait(0.5)
        series.rows[index].speak()
        series.finish()

    @pytest.mark.parametrize("index", [0, 1])
    def test_stream_goes_on_though_a_suspended_run_breaks(
        self, world, monkeypatch, index
    ):
        series = _Series(world, monkeypatch)
        series.rows[1 - index].close()
        wait(0.5)
        series.rows[index].speak()
        series.finish()


class TestOvertakenRun:
    def test_stream_goes_on_with_it_if_the_other_sends_no_whole_event(
        self, world, monkeypatch
    ):
        pool = silence.Pool(world, 2)
        rows = []
        goes_on = [threading.Event(), threading.Event()]
        for event in goes_on:
            world.on_close(event.set)
        generate = engines.EngineStandin._generate_events

        def begin(engine, conn, *args):
            rows.append(engine)
            if len(rows) > 1:
                goes_on[1].wait(testbed.WAIT_S)
                return generate(engine, conn, *args)
            for number in (1, 2, 3):
                conn.send_chunk(b"id: %d\ndata: x\n\n" % number)
            engine.refuse_connections()
            goes_on[0].wait(testbed.WAIT_S)
            conn.send_chunk(b"id: 4\n")
            goes_on[1].wait(testbed.WAIT_S)
            wait()
            return False

        monkeypatch.setattr(engines.EngineStandin, "_generate_events", begin)
        pool.release()
        caller = silence.draft(pool.inst)
        testbed.until(lambda: len(rows) == 2, "the second engine is asked")
        goes_on[0].set()
        wait()
        goes_on[1].set()
        answer = caller.finish()
        assert answer.error is None
        assert testbed.event_ids(answer.body) == silence.EVENTS
        assert len(rows) == 2


class TestPeer:
    @pytest.fixture
    def draft(self, world):
        """A stream whose own engine and whose peer's engine are silent."""
        net = network.Network()
        world.on_close(net.close)
        draft = _Draft(world, attempts=4, dialer=net)
        peer = world.instance("i2")
        world.wait_for_layers()
        inst = draft.pool.inst
        testbed.until(lambda: inst.peers.uncut("pool"), "the peer is known")
        net.cut(network.Cut.REFUSE_NEW, draft.others)
        inst.target_follower._pool.drop(draft.others[0].address)
        draft.others[0].fall_silent()
        draft.silence_first()
        testbed.until(peer.loads.own, "the peer serves the stream")
        return draft

    def test_stream_goes_on_at_the_peer_though_its_engine_crashes(self, draft):
        draft.first.close()
        wait(0.3)
        draft.others[0].speak()
        draft.check_complete()

    def test_stream_goes_on_though_the_peers_engine_is_silent(self, draft):
        draft.first.speak()
        draft.check_complete()
        draft.others[0].speak()


class TestVerdict:
    def test_silence_of_a_head_is_no_crash(self, world, monkeypatch):
        found = []
        monkeypatch.setattr(
            crashes.CrashTable, "record", lambda table, crash: found.append(1)
        )
        draft = _Draft(world)
        draft.silence_first()
        wait()
        draft.first.speak()
        draft.check_complete()
        assert not found

    def test_poison_verdict_does_not_end_a_stream_whose_stage_is_silent(
        self, world, monkeypatch
    ):
        for number in range(2):
            world.engine(f"e{number}")
        inst = world.instance()
        world.wait_for_layers()
        reached = threading.Event()
        held = threading.Event()
        for engine in world.fleet.values():
            engine.on_event[3] = reached
            engine.resume_events[3] = held
        caller = silence.draft(inst)
        assert reached.wait(testbed.WAIT_S)
        stage = [row for row in world.fleet.values() if not row.ran][0]

        def check(gate, call):
            raise exceptions.PoisonError("a part is poison")

        monkeypatch.setattr(dispatchgate.DispatchGate, "check", check)
        stage.is_unresponsive = True
        stage.server.stop_listening()
        held.set()
        wait()
        stage.server.reopen()
        stage.is_unresponsive = False
        answer = caller.finish()
        assert answer.error is None
        assert testbed.event_ids(answer.body) == silence.EVENTS


class TestConnect:
    def test_connect_without_time_left_is_not_sent(self, world):
        desk = world.service("d1")
        with pytest.raises(targetconnection.NotSentError):
            targetconnection.TargetConnection(desk.address, -1.0)
