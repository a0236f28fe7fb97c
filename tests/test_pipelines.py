import time

import hypothesis
from hypothesis import strategies as st
import pytest

from briarfall import clock
from briarfall import exceptions
from briarfall.adapters import engine
from briarfall.catalogue import entries
from briarfall.pipelines import acceptance
from briarfall.pipelines import cursors
from briarfall.pipelines import graph
from briarfall.pipelines import kvimports
from briarfall.pipelines import maxflow
from briarfall.pipelines import models
from briarfall.pipelines import planning
from briarfall.pipelines import poison
from briarfall.pipelines import policies
from briarfall.pipelines import streams
from briarfall.pipelines import targets
from briarfall.pipelines import trialreservations

URL = "http://127.0.0.1:1"


def target(name, start, end, rate=100.0, **changes):
    return entries.EngineTarget(
        name, URL, "suva", start, end, tokens_per_s=rate, **changes
    )


def model(items, layers=24, **changes):
    return entries.Model("tuvatu", layers, items, **changes)


class TestLayerGraph:
    def test_targets_may_start_inside_their_range(self):
        made = graph.LayerGraph(24, [target("a", 0, 10), target("b", 8, 24)])
        path = made.shortest(lambda last, edge: 1.0)
        assert graph.layer_trace(graph.to_route(path)) == [(0, 10), (10, 24)]

    def test_uncovered_layers_are_not_routable(self):
        made = graph.LayerGraph(24, [target("a", 0, 10), target("b", 12, 24)])
        assert not made.is_routable()

    @hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
    @hypothesis.given(
        st.lists(
            st.tuples(st.integers(0, 11), st.integers(1, 12)).filter(
                lambda pair: pair[0] < pair[1]
            ),
            max_size=8,
        ),
        st.sampled_from(list(policies.POLICIES)),
    )
    def test_every_policy_covers_all_layers_once(self, ranges, name):
        items = [target(f"t{i}", a, b) for i, (a, b) in enumerate(ranges)]
        planner = planning.Planner(targets.TargetTable(), seed=1)
        req = policies.RouteRequest(model(items, 12, policy=name))
        try:
            route = planner.plan(req)
        except exceptions.NoRouteError:
            assert not graph.LayerGraph(12, items).is_routable()
            return
        assert graph.covers(graph.layer_trace(route), 12)


class TestMaxFlow:
    def test_total_is_limited_by_the_bottleneck_stage(self):
        items = [
            target("a", 0, 12, 100.0),
            target("b", 0, 12, 50.0),
            target("c", 12, 24, 120.0),
        ]
        result = maxflow.FlowResult(graph.LayerGraph(24, items))
        assert result.total == pytest.approx(120.0)

    def test_flow_is_conserved(self):
        items = [
            target("a", 0, 8, 70.0),
            target("b", 0, 12, 40.0),
            target("c", 8, 24, 60.0),
            target("d", 12, 24, 90.0),
        ]
        result = maxflow.FlowResult(graph.LayerGraph(24, items))
        assert result.total == pytest.approx(100.0)
        from_source = sum(f for (b, _), f in result.weights.items() if b == 0)
        assert from_source == pytest.approx(result.total)


class TestFlowPolicy:
    def test_streams_split_in_proportion_to_the_flow(self):
        items = [target("fast", 0, 24, 300.0), target("slow", 0, 24, 100.0)]
        table = targets.TargetTable()
        planner = planning.Planner(table, seed=3)
        chosen = []
        for _ in range(80):
            route = planner.plan(policies.RouteRequest(model(items)))
            chosen.append(route[0].target)
            table.add_in_flight([route[0].target])
        assert 56 <= chosen.count("fast") <= 64


class TestTargetTable:
    def test_ejection_never_empties_a_pool(self):
        table = targets.TargetTable(clock.ManualClock())
        items = [target(f"t{i}", 0, 24) for i in range(4)]
        for item in items:
            table.record_failure(item.id)
        assert len(table.usable(items)) == 2

    def test_any_source_marks_a_target_as_draining(self):
        table = targets.TargetTable()
        item = target("t", 0, 24)
        table.set_draining("t", "list", True)
        table.set_draining("t", "engine", False)
        assert table.health(item) is targets.Health.DRAINING
        table.set_draining("t", "list", False)
        assert table.health(item) is targets.Health.UP

    def test_ejection_ends(self):
        time = clock.ManualClock()
        table = targets.TargetTable(time)
        table.record_failure("t")
        assert table.is_ejected("t")
        time.advance(targets.EJECT_S + 0.1)
        assert not table.is_ejected("t")

    def test_report_after_failure_of_unresponsive_target_ends_ejection(self):
        time = clock.ManualClock()
        table = targets.TargetTable(time)
        table.record_failure("t", is_silent=True)
        table.apply_load_report("t", engine.LoadReport(1, 0, age_s=0.5))
        assert table.is_ejected("t"), "the report is older than the failure"
        time.advance(1.0)
        table.apply_load_report("t", engine.LoadReport(1, 0, age_s=0.5))
        assert not table.is_ejected("t")


class TestAcceptedTokens:
    LAYERS = [(0, 12), (12, 24)]

    def _token(self, index, attempt=2, layers=None):
        return engine.Token(index, "x ", attempt, layers or self.LAYERS)

    def test_accepts_each_index_once_from_the_current_attempt(self):
        accepted = acceptance.AcceptedTokens()
        batch = engine.TokenBatch(
            [
                self._token(0),
                self._token(0),
                self._token(1, attempt=1),
                self._token(1, layers=[(12, 24)]),
                self._token(1, layers=[(12, 24), (0, 12)]),
                self._token(2),
                self._token(1),
            ]
        )
        tokens = accepted.accept(batch, 2, self.LAYERS)
        assert [token.index for token in tokens] == [0, 1]
        assert accepted.dropped == 5


class TestCursorCodec:
    def _codec(self, *secrets, ttl_s=60.0):
        return cursors.CursorCodec(list(secrets or ["secret"]), ttl_s)

    def _encode(self, codec):
        cursor = cursors.Cursor("crew", "s1", 7, "f", ["a", "b"])
        return codec.encode(codec.prefix(cursor), 5, 99).decode()

    def test_round_trip(self):
        codec = self._codec()
        cursor = codec.decode(self._encode(codec), "crew", "f")
        assert (cursor.index, cursor.digest, cursor.seed) == (5, 99, 7)

    def test_previous_secret_is_accepted(self):
        text = self._encode(self._codec("old"))
        assert self._codec("new", "old").decode(text, "crew", "f").index == 5

    @pytest.mark.parametrize(
        ("client", "fingerprint", "ttl_s"),
        [("other", "f", 60.0), ("crew", "g", 60.0), ("crew", "f", -1.0)],
    )
    def test_cursors_of_others_and_expired_ones_are_refused(
        self, client, fingerprint, ttl_s
    ):
        codec = self._codec(ttl_s=ttl_s)
        with pytest.raises(exceptions.CursorError):
            codec.decode(self._encode(codec), client, fingerprint)

    @hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
    @hypothesis.given(st.integers(0, 400), st.text(max_size=40))
    def test_forged_cursors_are_refused(self, position, text):
        codec = self._codec()
        genuine = self._encode(codec)
        at = position % len(genuine)
        changed = "A" if genuine[at] != "A" else "B"
        forged = genuine[:at] + changed + genuine[at + 1 :]
        for value in (forged, text):
            with pytest.raises(exceptions.CursorError):
                codec.decode(value, "crew", "f")


class TestPoisonGuard:
    def test_second_crash_is_poison(self):
        guard = poison.PoisonGuard("r1")
        assert guard.record_crash("f") is poison.FingerprintStatus.SUSPECT
        assert guard.record_crash("f") is poison.FingerprintStatus.POISON
        with pytest.raises(exceptions.PoisonError):
            guard.check("f")

    def test_request_beyond_the_crash_is_cleared(self):
        guard = poison.PoisonGuard("r1")
        guard.record_crash("f")
        guard.clear("f")
        assert guard.status("f") is poison.FingerprintStatus.CLEAR
        assert guard.record_crash("f") is poison.FingerprintStatus.SUSPECT

    def test_poison_expires(self):
        time = clock.ManualClock()
        guard = poison.PoisonGuard("r1", time)
        guard.record_crash("f")
        guard.record_crash("f")
        time.advance(601.0)
        guard.check("f")

    def test_newer_suspicions_are_merged_once(self):
        guard = poison.PoisonGuard("r1")
        suspicion = poison.Suspicion("f", 2, "r2")
        assert guard.merge(suspicion)
        assert not guard.merge(suspicion)
        assert not guard.merge(poison.Suspicion("f", 1, "r2"))
        assert guard.status("f") is poison.FingerprintStatus.POISON

    def test_waits_for_the_trial_at_another_instance(self):
        guard = poison.PoisonGuard("r1")
        guard.query_peer = lambda peer, name: poison.Suspicion(name, 2, "r2")
        guard.merge(poison.Suspicion("f", 1, "r2"))
        with pytest.raises(exceptions.PoisonError):
            guard.check("f")


class TestReservationTable:
    def test_a_target_is_reserved_for_one_suspect(self):
        table = trialreservations.ReservationTable()
        assert (
            table.reserve(trialreservations.ReserveCall("f", ["a", "b"])) == []
        )
        assert table.reserve(trialreservations.ReserveCall("g", ["b"])) == [
            "a",
            "b",
        ]
        assert table.reserve(trialreservations.ReserveCall("g", ["c"])) == []
        table.release(trialreservations.ReleaseCall("f"))
        assert table.reserve(trialreservations.ReserveCall("g", ["b"])) == []

    def test_unreleased_reservation_expires(self):
        time = clock.ManualClock()
        table = trialreservations.ReservationTable(time)
        table.reserve(trialreservations.ReserveCall("f", ["a"]))
        time.advance(trialreservations.TRIAL_TTL_S + 1)
        assert table.reserve(trialreservations.ReserveCall("g", ["a"])) == []


class TestImportDecision:
    @pytest.mark.parametrize(
        ("bytes_per_s", "cheaper"), [(1e9, True), (1e6, False)]
    )
    def test_import_is_cheaper_over_a_fast_link(self, bytes_per_s, cheaper):
        source = target("a", 0, 12, kv_bytes_per_token=32_768.0)
        link = policies.LinkCost(0.001, bytes_per_s)
        found = kvimports.is_import_cheaper(source, source, link, 2000)
        assert found is cheaper

    def test_no_import_from_an_engine_without_kv_export(self):
        source = target("a", 0, 12)
        link = policies.LinkCost()
        assert not kvimports.is_import_cheaper(source, source, link, 2000)


class TestTieBreaks:
    def test_instances_break_ties_differently(self):
        items = [target(f"t{i}", 0, 24) for i in range(8)]
        first = set()
        for seed in range(16):
            planner = planning.Planner(targets.TargetTable(), seed=seed)
            route = planner.plan(policies.RouteRequest(model(items)))
            first.add(route[0].target)
        assert len(first) > 3


class TestProbe:
    class _LimitReached(engine.HttpEngineAdapter):
        def load(self, timeout_s):
            raise exceptions.LocalLimitError("no descriptor left")

    def test_lack_of_descriptors_is_not_a_target_failure(self):
        table = targets.TargetTable()
        watchdog = streams.Watchdog(table, lambda url: self._LimitReached(URL))
        watchdog._probe(engine.Hop("t", URL, 0, 24))
        assert not table.is_ejected("t")


class _StreamStub(engine.EngineStream):
    closed = False

    def read(self):
        return None

    def close(self):
        self.closed = True


class TestStall:
    NAMES = ["a", "b"]

    def _idle_stream(self, idle_s):
        """Returns a watchdog and a stream without tokens for `idle_s`."""
        table = targets.TargetTable()
        watchdog = streams.Watchdog(table, None)
        watchdog._start_probe = lambda hop: None
        req = models.StreamRequest(
            "s", "crew", "m", model([]), "p", 8, 1, "batch", 1e12
        )
        stream = streams.ActiveStream(req)
        stub = _StreamStub()
        route = [engine.Hop(name, URL, 0, 1) for name in self.NAMES]
        stream.attach(stub, route, 0.1, 0.02)
        stream.awaits_first_token = False
        stream.progress_s = time.monotonic() - idle_s
        return table, watchdog, stream, stub

    def test_success_before_a_cut_does_not_count(self):
        table, watchdog, stream, stub = self._idle_stream(1.5)
        table.record_route_success(self.NAMES)
        watchdog._check_progress(stream, time.monotonic() + 1.5)
        assert stub.closed and stream.cause is models.Cause.STALLED

    def test_progress_of_other_streams_means_queueing(self):
        table, watchdog, stream, stub = self._idle_stream(1.5)
        table.record_route_success(self.NAMES)
        watchdog._check_progress(stream, time.monotonic())
        assert not stub.closed

    def test_idle_stream_without_success_is_a_stall(self):
        _, watchdog, stream, stub = self._idle_stream(1.5)
        watchdog._check_progress(stream, time.monotonic())
        assert stub.closed


class TestCatalogueTargets:
    def test_removed_target_is_draining_for_running_streams(self):
        table = targets.TargetTable()
        item = target("t", 0, 24)
        table.apply_catalogue({"t": False})
        assert table.health(item) is targets.Health.UP
        table.apply_catalogue({})
        assert table.health(item) is targets.Health.DRAINING
        table.apply_catalogue({"t": False})
        assert table.health(item) is targets.Health.UP


class TestLoad:
    def test_less_urgent_streams_do_not_count(self):
        time_source = clock.ManualClock()
        table = targets.TargetTable(time_source, lambda: 2)
        table.add_in_flight(["t"], 0)
        table.add_in_flight(["t"], 2)
        assert table.load("t", 0) == 2.0
        assert table.load("t") == 4.0
        table.apply_load_report("t", engine.LoadReport(10, 0))
        assert table.load("t", 0) == pytest.approx(5.0)
        table.remove_in_flight(["t"], 2)
        assert table.load("t") == pytest.approx(10.0)
