"""The order in which requests of one instance get room."""

import heapq
import itertools
import random

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from briarfall import exceptions
from briarfall import ids
from briarfall.bench import placements
from briarfall.gateway import metrics
from briarfall.gateway.calls import promptparts
from briarfall.gateway.catalogue import sources
from briarfall.gateway.catalogue import views
from briarfall.gateway.forwarding import chainsearch
from briarfall.gateway.forwarding import roomreports
from briarfall.gateway.forwarding import roomwaits
from briarfall.gateway.forwarding import streamstate
from briarfall.gateway.placement import chains
from briarfall.gateway.placement import enginecosts
from briarfall.gateway.placement import linkadmission
from briarfall.gateway.placement import paths
from briarfall.gateway.scheduling import classes
from briarfall.gateway.scheduling import kvreserve
from briarfall.gateway.scheduling import waiting
from briarfall.gateway.targets import loads
from briarfall.gateway.targets import targetstate
from tests import test_gateway_streams

_LAYERS = sources.LayerRange(0, 30)
MODEL = msgspec.structs.replace(placements.layout(), layers=_LAYERS.size)
_WAIT_S = 1.0


def a_waiter(now_s, urgency=5, band=classes.Band.USUAL, **fields):
    """Returns a request that may wait for a second."""
    fields.setdefault("aim_s", now_s + 2.0)
    fields.setdefault("until_s", now_s + _WAIT_S)
    fields.setdefault("work", 100.0)
    return waiting.Waiter(classes.DemandClass(urgency, band), **fields)


class TestOrder:
    def test_request_may_look_at_once_if_none_waits(self, clock):
        room = waiting.WaitingRoom()
        waiter = a_waiter(clock.now_s)
        assert room.pause_before_look(waiter) == 0.0
        room.leave(waiter, is_admitted=True)
        assert len(room) == 0

    def test_arrival_does_not_overtake_a_more_urgent_one(self, clock):
        room = waiting.WaitingRoom()
        urgent = a_waiter(clock.now_s, 0)
        other = a_waiter(clock.now_s, 9, work=50.0)
        due_s = clock.now_s + room.record_look(urgent)
        clock.now_s += 0.01
        assert room.pause_before_look(other) > 0.0
        clock.now_s = due_s
        assert room.pause_before_look(urgent) == 0.0
        room.record_look(urgent)
        assert room.pause_before_look(other) == 0.0

    def test_request_that_needs_no_less_does_not_look_in_vain(self, clock):
        room = waiting.WaitingRoom()
        rows = [a_waiter(clock.now_s, 0), a_waiter(clock.now_s, 9)]
        for row in rows:
            room.record_look(row)
        clock.now_s += 0.04
        assert room.pause_before_look(rows[1]) > 0.0
        assert room.pause_before_look(rows[0]) == 0.0
        room.record_look(rows[0])
        assert room.pause_before_look(rows[1]) > 0.0
        clock.now_s += 0.1
        room.leave(rows[0], is_admitted=True)
        assert room.pause_before_look(rows[1]) == 0.0

    def test_more_urgent_arrival_looks_at_once(self, clock):
        room = waiting.WaitingRoom()
        other = a_waiter(clock.now_s, 9)
        room.record_look(other)
        urgent = a_waiter(clock.now_s, 0)
        assert room.pause_before_look(urgent) == 0.0

    def test_order_is_started_urgency_on_time_size_and_aim(self, clock):
        now_s = clock.now_s
        rows = [
            a_waiter(now_s, 9, has_started=True),
            a_waiter(now_s, 0),
            a_waiter(now_s, 3, classes.Band.SMALL),
            a_waiter(now_s, 3, aim_s=now_s + 1.0),
            a_waiter(now_s, 3, aim_s=now_s + 2.0),
            a_waiter(now_s, 3, classes.Band.SMALL, aim_s=now_s - 1.0),
        ]
        for mixed in itertools.permutations(rows):
            room = waiting.WaitingRoom()
            for row in mixed:
                room.record_look(row)
            assert [room.count_before(row) for row in rows] == [*range(6)]

    def test_request_goes_behind_others_once_it_is_late(self, clock):
        room = waiting.WaitingRoom()
        first = a_waiter(clock.now_s, aim_s=clock.now_s + 0.2)
        second = a_waiter(clock.now_s, aim_s=clock.now_s + 2.0)
        room.record_look(first)
        room.record_look(second)
        assert room.count_before(second) == 1
        clock.now_s += 0.3
        room.record_look(first)
        assert room.count_before(first) == 1

    def test_nobody_waits_for_a_request_that_may_not_use_all_engines(
        self, clock
    ):
        room = waiting.WaitingRoom()
        room.record_look(a_waiter(clock.now_s, 0, is_restricted=True))
        other = a_waiter(clock.now_s, 9)
        assert room.pause_before_look(other) == 0.0

    def test_nobody_waits_for_a_request_that_looks_no_more(self, clock):
        room = waiting.WaitingRoom()
        room.record_look(a_waiter(clock.now_s, 0))
        clock.now_s += 1.0
        other = a_waiter(clock.now_s, 9)
        assert room.pause_before_look(other) == 0.0

    def test_wait_is_expected_by_the_latest_admissions(self, clock):
        room = waiting.WaitingRoom()
        last = a_waiter(clock.now_s, 9)
        for _ in range(3):
            room.record_look(a_waiter(clock.now_s, 9))
        assert room.expected_wait_s(last) == 0.0
        for _ in range(3):
            room.record_look(a_waiter(clock.now_s, 9))
        assert room.expected_wait_s(last) == 0.0
        for _ in range(12):
            clock.now_s += 0.05
            room.leave(a_waiter(clock.now_s, 9), is_admitted=True)
        assert room.expected_wait_s(last) == pytest.approx(7 * 0.55 / 12)
        urgent = a_waiter(clock.now_s, 0)
        assert room.expected_wait_s(urgent) == 0.0
        clock.now_s += 5.0
        assert room.expected_wait_s(last) == 0.0

    def test_no_room_is_expected_if_only_more_urgent_ones_get_some(self, clock):
        room = waiting.WaitingRoom()
        for _ in range(4):
            room.record_look(a_waiter(clock.now_s, 5))
        for _ in range(8):
            room.leave(a_waiter(clock.now_s, 0), is_admitted=True)
        last = a_waiter(clock.now_s, 9)
        assert room.expected_wait_s(last) == float("inf")


class _Scene:
    """Requests of one instance that look for room, in simulated time."""

    def __init__(self, clock_s):
        self.clock_s = clock_s
        self.room = waiting.WaitingRoom(lambda: self.clock_s[0])
        self.free = 0
        self.sequence = itertools.count()
        self.events = []
        self.got = []
        self.refused = []
        self.looks = 0

    def at(self, when_s, action, *values):
        heapq.heappush(
            self.events, (when_s, next(self.sequence), action, values)
        )

    def play(self):
        while self.events:
            self.clock_s[0], _, action, values = heapq.heappop(self.events)
            action(*values)

    def add_room(self, count):
        self.free += count

    def arrive(self, waiter):
        self.look(waiter)

    def look(self, waiter):
        now_s = self.clock_s[0]
        left_s = waiter.until_s - now_s
        is_vain = self.room.expected_wait_s(waiter) > left_s
        if left_s > 0 and not (is_vain and waiter.had_turn):
            pause_s = self.room.pause_before_look(waiter)
            if pause_s and not (is_vain and waiter.had_turn):
                self.at(now_s + min(pause_s, left_s), self.look, waiter)
                return
        may_look = left_s > 0 and not is_vain
        may_look = may_look or self.room.may_look_last(waiter)
        self.looks += may_look
        if self.free and may_look:
            self.free -= 1
            self.got.append((now_s, waiter))
            self.room.leave(waiter, is_admitted=True)
            return
        if now_s >= waiter.until_s or is_vain:
            self.refused.append((now_s, waiter))
            self.room.leave(waiter, is_admitted=False)
            return
        pause_s = self.room.record_look(waiter)
        left_s = waiter.until_s - now_s
        self.at(now_s + min(pause_s, left_s), self.look, waiter)


class TestRoomThatBecomesFree:
    @given(seed=st.integers(0, 1000))
    def test_it_goes_to_the_most_urgent(self, seed):
        rng = random.Random(seed)
        scene = _Scene([0.0])
        waiters = []
        for _ in range(12):
            when_s = rng.uniform(0.0, 0.2)
            waiters.append(a_waiter(when_s, rng.choice([0, 4, 9])))
            scene.at(when_s, scene.arrive, waiters[-1])
        for number in range(6):
            scene.at(0.35 + number * 0.1, scene.add_room, 1)
        scene.play()
        got = [waiter.demand_class.urgency for _, waiter in scene.got]
        refused = [waiter.demand_class.urgency for _, waiter in scene.refused]
        assert len(got) + len(refused) == 12
        # All wait before the first room is free, and the aims are alike.
        assert max(got) <= min(refused)

    @given(seed=st.integers(0, 1000))
    def test_it_goes_to_the_most_urgent_in_a_lasting_peak(self, seed):
        rng = random.Random(seed)
        scene = _Scene([0.0])
        for number in range(200):
            when_s = number * 0.025 + rng.uniform(0.0, 0.02)
            urgency = 0 if number % 4 == 0 else 9
            scene.at(when_s, scene.arrive, a_waiter(when_s, urgency))
        for number in range(50):
            scene.at(number * 0.1, scene.add_room, 1)
        scene.play()
        got = [
            row.demand_class.urgency
            for when_s, row in scene.got
            if when_s > 1.0
        ]
        # There is room for the urgent ones, of which 10 arrive each second.
        assert got.count(0) >= 0.9 * len(got)

    @given(seed=st.integers(0, 1000))
    def test_nobody_waits_longer_than_its_bound(self, seed):
        rng = random.Random(seed)
        scene = _Scene([0.0])
        for _ in range(40):
            when_s = rng.uniform(0.0, 3.0)
            waiter = a_waiter(when_s, rng.choice([0, 4, 9]))
            scene.at(when_s, scene.arrive, waiter)
        for _ in range(15):
            scene.at(rng.uniform(0.0, 4.0), scene.add_room, 1)
        scene.play()
        assert len(scene.got) + len(scene.refused) == 40
        for when_s, waiter in scene.refused:
            assert when_s <= waiter.until_s + 1e-6
        assert not len(scene.room)

    def test_many_waiting_requests_look_seldom(self):
        scene = _Scene([0.0])
        for number in range(100):
            scene.at(number * 0.001, scene.arrive, a_waiter(0.0, number % 3))
        scene.play()
        assert len(scene.refused) == 100
        assert scene.looks < 100 * 6

    def test_request_at_the_end_of_its_wait_leaves_it_to_those_before(
        self, clock
    ):
        room = waiting.WaitingRoom()
        urgent = a_waiter(clock.now_s, 0)
        other = a_waiter(clock.now_s, 9)
        assert room.may_look_last(other)
        room.record_look(other)
        assert room.may_look_last(other)
        room.record_look(urgent)
        assert not room.may_look_last(other)
        other.has_started = True
        assert room.may_look_last(other)


class _Watch:
    """A caller whose waits advance the clock and may change the load."""

    def __init__(self, clock, on_pause=None):
        self._clock = clock
        self._on_pause = on_pause

    def pause(self, seconds):
        self._clock.now_s += seconds
        if self._on_pause is not None:
            self._on_pause()


class TestChainSearch:
    """The decisions about one stream, over a table of engines."""

    @pytest.fixture
    def scene(self, clock):
        return _SearchScene(clock)

    def test_request_that_its_caller_leaves_too_early_is_refused_at_once(
        self, clock, scene
    ):
        stream = scene.stream(prompt=1_000_000, left_s=1.0)
        started_s = clock.now_s
        with pytest.raises(exceptions.OverloadError):
            scene.search.wait_for_chain(stream)
        assert clock.now_s == started_s
        assert scene.counts("refused") == 1

    def test_prompt_that_engines_may_have_read_in_part_is_not_refused(
        self, clock, scene
    ):
        stream = scene.stream(prompt=1_000_000, left_s=1.0)
        stream.call.parts = promptparts.PromptParts(("shared",), "own")
        with pytest.raises(exceptions.OverloadError) as caught:
            scene.search.wait_for_chain(stream)
        assert "before the prompt is read" not in caught.value.message

    def test_room_is_kept_from_less_urgent_requests(self, clock, scene):
        scene.others = {classes.DemandClass(0, classes.Band.USUAL): 100.0}
        scene.fill(0.8)
        with pytest.raises(exceptions.OverloadError):
            scene.search.wait_for_chain(scene.stream(urgency=9))
        assert scene.search.wait_for_chain(scene.stream(urgency=0))
        started = scene.stream(urgency=9)
        started.response_started = True
        assert scene.search.wait_for_chain(started)

    def test_single_urgency_may_fill_the_cache(self, clock, scene):
        scene.others = {classes.DemandClass(9, classes.Band.USUAL): 100.0}
        scene.fill(0.8)
        assert scene.search.wait_for_chain(scene.stream(urgency=9))
        assert scene.counts("held") == 0

    def test_class_that_was_held_often_gets_one_in(self, clock, scene):
        scene.others = {classes.DemandClass(0, classes.Band.USUAL): 10_000.0}
        scene.fill(0.8)
        outcomes = []
        for _ in range(8):
            try:
                scene.search.wait_for_chain(scene.stream(urgency=9))
                outcomes.append(True)
            except exceptions.OverloadError:
                outcomes.append(False)
        assert sum(outcomes) >= 1
        assert scene.counts("held") >= 4

    def test_request_that_was_held_is_served_once_there_is_room(
        self, clock, scene
    ):
        scene.fill(0.999)
        watch = _Watch(clock, lambda: scene.fill(0.1))
        assert scene.search.wait_for_chain(scene.stream(watch=watch))
        assert scene.counts("held") == 1
        assert scene.counts("served_after_hold") == 1

    def test_request_that_would_wait_in_vain_overtakes_nobody(
        self, clock, scene
    ):
        room = scene.search._rooms["pool"]
        for _ in range(8):
            room.leave(a_waiter(clock.now_s), is_admitted=True)
            clock.now_s += 0.1
        for _ in range(100):
            room.record_look(a_waiter(clock.now_s, 0, work=1.0))
        # The engine has room, which the first of those before it takes.
        watch = _Watch(clock, lambda: scene.fill(0.999))
        stream = scene.stream(urgency=9, watch=watch)
        started_s = clock.now_s
        with pytest.raises(exceptions.OverloadError):
            scene.search.wait_for_chain(stream)
        # Two rounds at most, as a late refusal costs its caller.
        assert 0.0 < clock.now_s - started_s < 0.2

    def test_request_whose_wait_ends_leaves_room_to_those_before_it(
        self, clock, scene
    ):
        scene.fill(0.999)
        room = scene.search._rooms["pool"]
        urgent = a_waiter(clock.now_s, 0, work=1.0)
        stream = scene.stream(urgency=9)

        def on_pause():
            if room.pause_before_look(urgent) == 0.0:
                room.record_look(urgent)
            wait_s = stream.call.route.first_byte_slo_s * 0.6
            if clock.now_s - started_s >= wait_s - 1e-6:
                scene.fill(0.1)

        stream.call.watch = _Watch(clock, on_pause)
        started_s = clock.now_s
        with pytest.raises(exceptions.OverloadError):
            scene.search.wait_for_chain(stream)

    def test_class_that_may_use_the_reserve_looks_behind_one_that_may_not(
        self, clock, scene
    ):
        scene.others = {classes.DemandClass(0, classes.Band.USUAL): 10_000.0}
        scene.fill(0.8)
        for _ in range(4):
            scene.reserve.record_held(
                classes.DemandClass(9, classes.Band.USUAL)
            )
        room = scene.search._rooms["pool"]
        before = a_waiter(clock.now_s, 3, work=1.0, max_fill=0.72)
        room.record_look(before)

        def on_pause():
            if room.pause_before_look(before) == 0.0:
                room.record_look(before)

        stream = scene.stream(urgency=9, watch=_Watch(clock, on_pause))
        assert scene.search.wait_for_chain(stream)

    def test_request_that_no_peer_can_serve_holds_up_nobody(self, clock, scene):
        room = scene.search._rooms["pool"]
        reports = roomreports.RoomReports(scene.metrics, scene.loads)
        cut_off = scene.stream(urgency=0)
        cut_off.call.has_no_peer = True
        roomwaits.RoomWait(cut_off, room, reports).pause_after_look()
        wait = roomwaits.RoomWait(scene.stream(urgency=9), room, reports)
        assert not wait.pause_for_order(has_time=True, max_fill=0.92)

    def test_prompt_of_unknown_length_is_not_refused_for_it(self, clock, scene):
        stream = scene.stream(prompt=1_000_000, left_s=1.0)
        stream.demand = chains.Demand(1_000_000, 10, is_prompt_stated=False)
        with pytest.raises(exceptions.OverloadError) as caught:
            scene.search.wait_for_chain(stream)
        assert "before the prompt is read" not in caught.value.message


class _SearchScene:
    """One engine that holds all layers."""

    def __init__(self, clock):
        self.clock = clock
        self.others = {}
        self.loads = loads.LoadTable()
        self.metrics = metrics.Metrics()
        self.reserve = kvreserve.KvReserve(lambda: self.others)
        self.search = chainsearch.ChainSearch(
            _Table(),
            paths.ChainFinder(self.loads, ids.ZoneId("z1"), random.Random(1)),
            linkadmission.LinkAdmission(lambda: 0.0),
            random.Random(1),
            self.reserve,
            roomreports.RoomReports(self.metrics, self.loads),
        )

    def fill(self, share):
        tokens = int(share * enginecosts.kv_capacity(MODEL, "large", _LAYERS))
        row = {ids.TargetId("a"): loads.Load(1, tokens)}
        self.loads.merge(ids.InstanceId("other"), row, 1000.0)

    def stream(self, urgency=5, prompt=100, left_s=20.0, watch=None):
        call = test_gateway_streams.a_call(
            self.clock.now_s, watch=watch or _Watch(self.clock)
        )
        call.urgency = urgency
        call.deadline_s = self.clock.now_s + left_s
        call.service = views.Service(ids.EntryName("pool"), model=MODEL)
        cls = classes.DemandClass(urgency, classes.Band.USUAL)
        self.reserve.record(cls, prompt)
        return streamstate.Stream(
            call, chains.Demand(prompt, 10), demand_class=cls
        )

    def counts(self, outcome):
        total = 0
        for family in self.metrics.collect():
            if family.name != "briarfall_room_decisions":
                continue
            for sample in family.samples:
                if sample.labels["outcome"] == outcome:
                    total += int(sample.value)
        return total


class _SlowEngines:
    """Admits one request at intervals, however many wait."""

    def __init__(self, scene, interval_s):
        self._scene = scene
        self._interval_s = interval_s

    def start(self, seconds):
        for number in range(int(seconds / self._interval_s)):
            self._scene.at(number * self._interval_s, self._scene.add_room, 1)


class TestRefusalOnArrival:
    def test_request_that_would_wait_in_vain_is_refused_early(self):
        scene = _Scene([0.0])
        _SlowEngines(scene, 0.1).start(6.0)
        for number in range(240):
            when_s = number * 0.025
            waiter = a_waiter(when_s, work=100.0)
            scene.at(when_s, scene.arrive, waiter)
        scene.play()
        held_s = []
        for when_s, waiter in scene.refused:
            held_s.append(_WAIT_S - (waiter.until_s - when_s))
        held_s.sort()
        # An eighth of the aim of 2 s; beyond it a refusal costs the caller.
        assert held_s[len(held_s) // 2] < 0.25
        # As many as there was room for are served.
        assert len(scene.got) >= 55


class _Table:
    """A table with one engine."""

    def __init__(self):
        entry = sources.TargetEntry(
            id=ids.TargetId("a"),
            service=views.ServiceName("pool"),
            address="a:1",
            zone=ids.ZoneId("z1"),
            state=sources.TargetState.READY,
            kind="large",
            layers=_LAYERS,
        )
        self._rows = [targetstate.Target(entry, 0.0)]

    def usable(self, service):
        return self._rows

    def of_service(self, service):
        return self._rows


class TestPace:
    def load_at(self, streams):
        return loads.Load(streams, streams * 500)

    def test_engine_is_overloaded_once_its_step_exceeds_the_gap(self):
        gap_s = 2 * enginecosts.step_time_ms(
            MODEL, "large", MODEL.layers, self.load_at(1)
        )
        gap_s /= 1000
        assert not enginecosts.is_overloaded(
            MODEL, "large", self.load_at(1), 500, gap_s
        )
        streams = 1
        while not enginecosts.is_overloaded(
            MODEL, "large", self.load_at(streams), 500, gap_s
        ):
            streams += 1
        step_ms = enginecosts.step_time_ms(
            MODEL, "large", MODEL.layers, self.load_at(streams)
        )
        assert step_ms < gap_s * 1000

    def test_engine_that_never_keeps_the_pace_is_not_overloaded(self):
        assert not enginecosts.is_overloaded(
            MODEL, "large", self.load_at(50), 500, 1e-6
        )

    # The link has room for few requests, and those of a zone without some
    # layers have no other way.
    def test_slow_engine_of_the_zone_goes_before_one_over_the_link(self, clock):
        table = loads.LoadTable()
        rows = []
        for name, zone, first, end in (
            ("a", "z1", 0, 15),
            ("b", "z1", 15, 30),
            ("c", "z2", 15, 30),
        ):
            entry = sources.TargetEntry(
                id=ids.TargetId(name),
                service=views.ServiceName("pool"),
                address=f"{name}:1",
                zone=ids.ZoneId(zone),
                state=sources.TargetState.READY,
                kind="large",
                layers=sources.LayerRange(first, end),
            )
            rows.append(targetstate.Target(entry, 0.0))
        slow = {ids.TargetId("b"): loads.Load(40, 100)}
        table.merge(ids.InstanceId("other"), slow, 1000.0)
        alone_ms, more_ms = (
            enginecosts.step_time_ms(MODEL, "large", 30, load)
            for load in (loads.Load(1, 2_000), loads.Load(41, 2_100))
        )
        gap_s = (alone_ms + more_ms) / 2 / 0.8 / 1000
        finder = paths.ChainFinder(table, ids.ZoneId("z1"), random.Random(1))
        demand = chains.Demand(1_000, 1_000)
        for gap in (0.0, gap_s):
            chain = finder.find(MODEL, rows, demand, gap_s=gap, noise=0.0)
            assert chain.target_ids() == ["a", "b"]
        # The zone has no other way, so that the link is used.
        chain = finder.find(
            MODEL,
            rows,
            demand,
            frozenset([ids.TargetId("b")]),
            gap_s=gap_s,
            noise=0.0,
        )
        assert chain.target_ids() == ["a", "c"]
