"""Decisions about streams that lack engines, without a network."""

import random

import msgspec
import pytest

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway import metrics
from briarfall.gateway.calls import budgets
from briarfall.gateway.calls import calls
from briarfall.gateway.catalogue import views
from briarfall.gateway.crashes import crashdetection
from briarfall.gateway.crashes import crashes
from briarfall.gateway.exchanges import connections
from briarfall.gateway.exchanges import messages
from briarfall.gateway.forwarding import dispatchgate
from briarfall.gateway.forwarding import rerouting
from briarfall.gateway.forwarding import streamfailures
from briarfall.gateway.forwarding import streams
from briarfall.gateway.forwarding import streamstate
from briarfall.gateway.placement import chains
from briarfall.gateway.placement import linkadmission
from briarfall.gateway.targets import linkmonitor
from briarfall.gateway.targets import liveness
from briarfall.gateway.targets import loads
from briarfall.gateway.targets import targets
from briarfall.platform import headers
from tests import test_gateway_decisions

AIM_S = 0.5


def a_call(now_s, watch=None):
    """Returns a request for a stream."""
    route = views.Route(
        "drafts",
        "shop.example",
        "/drafts/",
        views.RouteKind.STREAM,
        (),
        timeout_s=20.0,
        first_byte_slo_s=AIM_S,
    )
    return calls.Call(
        req=messages.CallerRequest(b"POST", b"/drafts/x", [], b"", now_s),
        conn=None,
        watch=watch,
        request_id="r1",
        route=route,
        service=views.Service(
            ids.EntryName("pool"), model=test_gateway_decisions.MODEL
        ),
        account=None,
        urgency=1,
        deadline_s=now_s + 20.0,
    )


def a_link_monitor():
    """Returns a monitor whose thread does not run."""
    pool = connections.ConnectionPool()
    return linkmonitor.LinkMonitor(
        targets.TargetTable(), pool, pool, random.Random(1)
    )


class _Watch:
    """A caller whose waits advance the clock."""

    def __init__(self, clock):
        self._clock = clock

    def pause(self, seconds):
        self._clock.now_s += seconds


class _FullFinder:
    """Finds no chain and counts the searches."""

    def __init__(self):
        self.searches = 0

    def find(self, *args, **kwargs):
        self.searches += 1


class TestStreamsWithoutCapacity:
    def refuse(self, clock):
        finder = _FullFinder()
        table = crashes.CrashTable()
        forwarder = streams.StreamForwarder(
            headers.HEADERS,
            targets.TargetTable(),
            loads.LoadTable(),
            finder,
            linkadmission.LinkAdmission(lambda: 0.0),
            None,
            connections.ConnectionPool(),
            a_link_monitor(),
            None,
            dispatchgate.DispatchGate(
                budgets.RetryBudget(0.2, 10.0, 100.0, lambda: 1),
                table,
                test_gateway_decisions.Unlimited(),
            ),
            crashdetection.CrashDetector(table, targets.TargetTable()),
            None,
            metrics.Metrics(),
            liveness.ReceiveActivity(),
            random.Random(1),
        )
        call = a_call(clock.now_s, watch=_Watch(clock))
        started_s = clock.now_s
        with pytest.raises(exceptions.OverloadError) as caught:
            forwarder.forward(call)
        return finder.searches, clock.now_s - started_s, caught.value

    def test_refusal_comes_while_the_caller_can_still_be_on_time(self, clock):
        _, waited_s, exc = self.refuse(clock)
        assert 0 < waited_s < AIM_S
        assert exc.outcome is exceptions.Outcome.NOT_RUN
        assert exc.retry_after_s > 0

    def test_waiting_takes_few_searches(self, clock):
        searches, _, _ = self.refuse(clock)
        assert searches <= 6


class TestStarvedProcess:
    """A process that receives nothing does not suspect engines at once."""

    def rerouter(self, activity):
        return rerouting.StreamRerouter(
            targets.TargetTable(),
            loads.LoadTable(),
            _FullFinder(),
            None,
            linkadmission.LinkAdmission(lambda: 0.0),
            None,
            None,
            None,
            metrics.Metrics(),
            activity,
            a_link_monitor(),
        )

    def test_check_is_postponed_while_nothing_is_received(self, clock):
        activity = liveness.ReceiveActivity()
        rerouter = self.rerouter(activity)
        run = streamstate.ChainRun(chains.Chain((), 0.0), None, None)
        for _ in range(100):
            activity.record()
            clock.now_s += 0.01
        clock.now_s += 0.08
        postponed_checks = 0
        while rerouter.postpone_check(run):
            postponed_checks += 1
            assert run.next_check_s > clock.now_s
            clock.now_s = run.next_check_s
        assert 0 < postponed_checks * 0.03 <= 0.1

    def test_instance_that_usually_receives_little_checks_at_once(self, clock):
        activity = liveness.ReceiveActivity()
        rerouter = self.rerouter(activity)
        run = streamstate.ChainRun(chains.Chain((), 0.0), None, None)
        for _ in range(10):
            activity.record()
            clock.now_s += 0.1
        assert not rerouter.postpone_check(run)

    def test_check_starts_at_once_if_messages_arrive(self, clock):
        activity = liveness.ReceiveActivity()
        rerouter = self.rerouter(activity)
        run = streamstate.ChainRun(chains.Chain((), 0.0), None, None)
        clock.now_s += 0.09
        activity.record()
        assert not rerouter.postpone_check(run)


class TestReusedAddress:
    def test_target_whose_address_a_newer_target_has_gets_no_requests(
        self, clock
    ):
        table = targets.TargetTable()
        old = test_gateway_decisions.entry("old", layers=(0, 8), started_ms=3)
        new = msgspec.structs.replace(
            old,
            id=ids.TargetId("new"),
            service=views.ServiceName("desk"),
            started_ms=5,
        )
        table.update([old], clock.now_s)
        assert [row.id for row in table.usable("pool")] == ["old"]
        table.update([new, old], clock.now_s + 1)
        assert table.usable("pool") == []
        assert [row.id for row in table.usable("desk")] == ["new"]


class TestRefusedStream:
    def test_engine_is_avoided_though_a_new_target_has_its_address(self, clock):
        table = targets.TargetTable()
        old = test_gateway_decisions.entry("old", layers=(0, 8))
        new = msgspec.structs.replace(
            old, id=ids.TargetId("new"), layers=None, started_ms=5
        )
        table.update([old, new], clock.now_s)
        head = chains.Stage(old.id, old.address, old.zone, old.layers)
        stream_diagnosis = streamfailures.StreamDiagnosis(
            headers.HEADERS,
            table,
            crashdetection.CrashDetector(crashes.CrashTable(), table),
            None,
        )
        stream = streamstate.Stream(
            a_call(clock.now_s), chains.Demand(700, 200)
        )
        refusal = messages.ResponseHead(
            421,
            b"",
            [(headers.HEADERS.faulty_target, old.address.encode())],
        )
        stream_diagnosis.handle_refusal(
            stream,
            chains.Chain((head,), 0.0),
            calls.RefusedByTargetError("refused", refusal),
        )
        assert stream.excluded == {"old"}
        assert table.get("old").blocked_until_s > clock.now_s
        assert table.get("new").blocked_until_s == 0
