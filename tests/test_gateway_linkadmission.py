"""Admission to the inter-zone link, which all instances share."""

import contextlib
import copy
import random
from unittest import mock

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest

from briarfall import ids
from briarfall.bench import fulllink
from briarfall.bench import placements
from briarfall.gateway import clocks
from briarfall.gateway.catalogue import sources
from briarfall.gateway.catalogue import views
from briarfall.gateway.placement import chains
from briarfall.gateway.placement import linkadmission
from briarfall.gateway.placement import paths
from briarfall.gateway.scheduling import classes
from briarfall.gateway.targets import loads
from briarfall.gateway.targets import targetstate
from briarfall.standins.prepared import testbed

MODEL = placements.layout()
TOKENS = MODEL.mean_prompt_tokens + MODEL.mean_answer_tokens
REQUEST_MB = TOKENS * MODEL.activation_bytes * 8 / 1e6


def stage(name, zone, first, end):
    return chains.Stage(
        ids.TargetId(name),
        f"{name}:1",
        ids.ZoneId(zone),
        sources.LayerRange(first, end),
    )


def chain(*stages):
    return chains.Chain(tuple(stages), 0.0)


class _Clock:
    """A boot clock for one example of a property."""

    def __init__(self):
        self.now_s = 1000.0


@contextlib.contextmanager
def _clock():
    found = _Clock()
    with mock.patch.object(clocks, "boot_s", lambda: found.now_s):
        yield found


def _without_link():
    return msgspec.structs.replace(MODEL, inter_zone_mbps=0.0)


def _target(name, zone, first, end):
    entry = sources.TargetEntry(
        id=ids.TargetId(name),
        service=views.ServiceName("pool"),
        address=f"{name}:1",
        zone=ids.ZoneId(zone),
        state=sources.TargetState.READY,
        kind="large",
        layers=sources.LayerRange(first, end),
    )
    return targetstate.Target(entry, 0.0)


class TestLinkAdmission:
    def test_all_requests_are_admitted_below_the_capacity_of_the_link(
        self, clock
    ):
        link = linkadmission.LinkAdmission(lambda: 0.3 * MODEL.inter_zone_mbps)
        for _ in range(100):
            clock.now_s += 4 * REQUEST_MB / MODEL.inter_zone_mbps
            assert link.admit(MODEL, 1, TOKENS)

    def test_idle_instance_admits_its_first_request(self, clock):
        link = linkadmission.LinkAdmission(lambda: 0.0)
        assert link.admit(MODEL, 3, TOKENS)

    @given(share=st.floats(0.05, 0.95))
    @settings(max_examples=30, deadline=None, derandomize=True)
    def test_admitted_share_is_what_the_link_carries(self, share):
        with _clock():
            others = MODEL.inter_zone_mbps * 0.8 / share
            link = linkadmission.LinkAdmission(lambda: others)
            admitted = 0
            for _ in range(400):
                # Its own demand is small beside that of the others.
                admitted += link.admit(MODEL, 1, 0.001)
            assert abs(admitted / 400 - share) < 0.02

    def test_demand_expires(self, clock):
        link = linkadmission.LinkAdmission(lambda: 0.0)
        link.record(MODEL, 2, TOKENS)
        assert link.demand_mbps == pytest.approx(2 * REQUEST_MB, rel=0.01)
        clock.now_s += 10.0
        assert link.demand_mbps == 0.0

    def test_started_streams_are_admitted_before_new_ones(self, clock):
        others = 0.0
        link = linkadmission.LinkAdmission(lambda: others)
        others = MODEL.inter_zone_mbps * 1.2
        assert link.admitted_share(MODEL) < 1
        assert link.admits_started(MODEL)
        others = MODEL.inter_zone_mbps * 5
        assert not link.admits_started(MODEL)

    # Instances that are new or gone count for new requests only: to cut a
    # stream that its caller reads costs more.
    def test_started_streams_depend_on_what_was_reported(self, clock):
        mbps = MODEL.inter_zone_mbps
        link = linkadmission.LinkAdmission(
            lambda: mbps * 1.2,
            others_by_class=lambda: {classes.DEFAULT_CLASS: mbps * 2.4},
        )
        assert link.class_share(MODEL, classes.DEFAULT_CLASS) < 0.5
        assert link.admits_started(MODEL)

    def test_model_without_a_link_is_not_limited(self, clock):
        model = _without_link()
        link = linkadmission.LinkAdmission(lambda: 1e9)
        for _ in range(10):
            assert link.admit(model, 3, TOKENS)


class TestLoadOnTheLink:
    """Service of callers while demand exceeds the capacity of the link."""

    @pytest.mark.parametrize("instances", [20, 195])
    def test_full_link_keeps_serving(self, instances):
        rows = fulllink.run(instances, [0.5, 1.5, 3.0], 30.0, 1)
        found = {(row.admission, row.load): row for row in rows}
        assert found["told", 0.5].in_aim > 0.98
        for load in (1.5, 3.0):
            ours = found["told", load]
            unbounded = found["open", load]
            assert ours.in_aim + ours.late > 2 * unbounded.in_aim
            assert ours.of_link > 3 * unbounded.of_link
            assert ours.left < 0.01

    def test_same_seed_gives_the_same_report(self):
        first = fulllink.run(20, [1.5], 10.0, 7)
        assert fulllink.run(20, [1.5], 10.0, 7) == first


class TestHopCount:
    def test_only_hops_between_zones_count(self):
        row = chain(
            stage("a", "z2", 0, 8),
            stage("b", "z2", 8, 16),
            stage("c", "z1", 16, 24),
            stage("d", "z2", 24, 32),
        )
        assert linkadmission.count_cross_zone_hops(row) == 2

    def test_only_hops_of_replaced_engines_count_after_a_reroute(self):
        a = stage("a", "z1", 0, 8)
        b = stage("b", "z2", 8, 16)
        c = stage("c", "z1", 16, 24)
        d = stage("d", "z1", 16, 24)
        before = chain(a, b, c)
        assert linkadmission.count_cross_zone_hops(chain(a, b, d), before) == 1
        assert linkadmission.count_cross_zone_hops(before, before) == 0


class TestChainSearch:
    def engines(self):
        rows = []
        for name, zone, first, end in (
            ("a1", "z1", 0, 40),
            ("b1", "z2", 40, 80),
        ):
            rows.append(_target(name, zone, first, end))
        return rows

    def test_no_chain_has_cross_zone_hops_if_they_are_excluded(self):
        finder = paths.ChainFinder(
            loads.LoadTable(), ids.ZoneId("z1"), random.Random(1)
        )
        demand = chains.Demand(700, 200)
        rows = self.engines()
        assert finder.find(MODEL, rows, demand) is not None
        assert finder.find(MODEL, rows, demand, may_cross=False) is None
        rows.append(_target("b0", "z2", 0, 40))
        found = finder.find(MODEL, rows, demand, may_cross=False)
        assert found.target_ids() == ["b0", "b1"]


class TestFullLink:
    def test_request_that_needs_the_full_link_is_refused_at_once(self, world):
        narrow = copy.deepcopy(testbed.manifest(2))
        for service in narrow["services"]:
            if "engine" in service:
                service["engine"]["act_bytes"] = 1e6
                service["engine"]["pipe_mbps"] = 1.0
        world.publish(narrow)
        engines = [world.engine("a", zone="z1"), world.engine("b", zone="z2")]
        inst = world.instance()
        world.wait_for_layers()
        answers = []
        for number in range(3):
            answers.append(
                testbed.call(
                    inst,
                    "/drafts/x",
                    method="POST",
                    request_id=f"r{number}",
                    deadline_ms=20000,
                )
            )
        assert [row.status for row in answers] == [503, 503, 503]
        for row in answers:
            assert float(row.headers["Retry-After"]) > 0
        ran = {row for engine in engines for row in engine.ran_ids()}
        assert ran == set()
        assert inst.link.refusals == 3
