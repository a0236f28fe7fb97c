"""Every code path to a target passes the dispatch gate."""

import ast
import pathlib
import threading

from hypothesis import given
from hypothesis import strategies as st
import pytest

import briarfall
from briarfall import exceptions
from briarfall.gateway import clocks
from briarfall.gateway.calls import budgets
from briarfall.gateway.crashes import crashes
from briarfall.gateway.forwarding import dispatchgate
from briarfall.gateway.ratelimits import permits
from briarfall.gateway.targets import targetbackoff
from briarfall.standins.prepared import testbed
from tests import test_gateway_decisions
from tests import test_gateway_streams

_GATEWAY = pathlib.Path(briarfall.__file__).parent / "gateway"
# Modules that open an exchange with a target, or with a peer that sends the
# request on. `connections` makes the instance's own calls: to the store, and to
# engines for commands and reports.
_SENDERS = {
    "exchanges/connections.py",
    "forwarding/plain.py",
    "forwarding/streams.py",
    "forwarding/relaying.py",
}


@pytest.fixture
def closed_gate(monkeypatch):
    """Returns a function that makes the gate refuse every request."""

    def refuse(*args):
        raise exceptions.PoisonError("closed")

    def close():
        monkeypatch.setattr(dispatchgate.DispatchGate, "check", refuse)

    return close


def _calls_of(tree, name):
    found = []
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call):
            continue
        func = node.func
        if isinstance(func, ast.Attribute) and func.attr == name:
            found.append(func)
    return found


def _takes_connection(tree):
    for func in _calls_of(tree, "acquire"):
        owner = ast.unparse(func.value)
        if owner in ("pool", "self._pool"):
            return True
    return False


class TestPathsToTargets:
    def test_only_known_modules_take_connections_to_targets(self):
        found = set()
        for path in _GATEWAY.rglob("*.py"):
            if _takes_connection(ast.parse(path.read_text())):
                found.add(path.relative_to(_GATEWAY).as_posix())
        assert found == _SENDERS

    @pytest.mark.parametrize("name", ["plain.py", "streams.py"])
    def test_forwarders_pass_the_gate(self, name):
        tree = ast.parse((_GATEWAY / "forwarding" / name).read_text())
        owners = [
            ast.unparse(f.value) for f in _calls_of(tree, "start_attempt")
        ]
        assert owners == ["self._gate"]

    def test_relayed_requests_pass_the_gate_before_a_peer_gets_them(self):
        tree = ast.parse((_GATEWAY / "forwarding" / "relaying.py").read_text())
        owners = [ast.unparse(f.value) for f in _calls_of(tree, "check")]
        assert owners == ["self._gate"]

    def test_rerouted_chains_pass_the_gate(self):
        tree = ast.parse((_GATEWAY / "forwarding" / "rerouting.py").read_text())
        owners = [ast.unparse(f.value) for f in _calls_of(tree, "check")]
        assert "self._gate" in owners


def _is_admitted(gate, call, target):
    try:
        gate.start_attempt(call, target)
    except dispatchgate.TargetAvoidedError:
        return False
    # Its target refuses it, so that it may be sent again.
    call.record_not_run()
    return True


class TestBackoff:
    @given(
        st.lists(
            st.tuples(
                st.floats(0.0, 3.0),
                st.one_of(st.none(), st.floats(0.01, 5.0)),
            ),
            max_size=30,
        )
    )
    def test_no_request_passes_before_the_end_of_the_backoff(self, steps):
        clock = [1000.0]
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(clocks, "boot_s", lambda: clock[0])
            table = crashes.CrashTable()
            budget = budgets.RetryBudget(0.2, 10.0, 1000.0, lambda: 1)
            gate = dispatchgate.DispatchGate(
                budget, table, test_gateway_decisions.Unlimited()
            )
            target = test_gateway_decisions.target("a")
            call = test_gateway_streams.a_call(clock[0])
            until_s = 0.0
            for pause_s, backoff_s in steps:
                clock[0] += pause_s
                if backoff_s is not None:
                    targetbackoff.start_backoff(target, backoff_s)
                    until_s = max(until_s, clock[0] + backoff_s)
                assert _is_admitted(gate, call, target) == (clock[0] >= until_s)


class TestClosedGate:
    @pytest.mark.parametrize("path", ["/views/x", "/orders/x"])
    def test_no_call_reaches_a_service(self, world, closed_gate, path):
        desk = world.service("d0")
        inst = world.instance()
        world.wait_for_targets(desk)
        closed_gate()
        assert testbed.call(inst, path, method="POST").status == 502
        assert desk.arrivals == []

    def test_no_stream_reaches_an_engine(self, world, closed_gate):
        engines = [world.engine(f"e{number}") for number in range(4)]
        inst = world.instance()
        world.wait_for_layers()
        closed_gate()
        answer = testbed.call(inst, "/drafts/x", method="POST")
        assert answer.status == 502
        assert all(engine.arrivals == [] for engine in engines)

    @pytest.mark.parametrize(
        "how", ["head resets", "stage becomes unresponsive"]
    )
    def test_no_stream_is_resumed_or_rerouted(self, world, closed_gate, how):
        engines = [world.engine(f"e{number}") for number in range(8)]
        inst = world.instance()
        world.wait_for_layers()
        held = threading.Event()
        for engine in engines:
            engine.on_event[5] = threading.Event()
            engine.resume_events[5] = held
            if how == "head resets":
                engine.reset_after_event = 5
        answers = []
        thread = threading.Thread(
            target=lambda: answers.append(
                testbed.call(inst, "/drafts/x", method="POST", deadline_ms=4000)
            )
        )
        thread.start()
        marks = [engine.on_event[5] for engine in engines]
        testbed.until(lambda: any(mark.is_set() for mark in marks), "event 5")
        head = next(e for e in engines if e.on_event[5].is_set())
        closed_gate()
        if how == "stage becomes unresponsive":
            world.fleet[head.paths["r1"][1][0]].become_unresponsive()
        held.set()
        thread.join(testbed.WAIT_S)
        assert answers[0].error is not None
        assert sum(len(engine.arrivals) for engine in engines) == 1
        assert [o for o in head.commands if o["op"] == "repath"] == []


class _NoPermits(permits.PermitSource):
    """Gives no permit."""

    def take(self, request_id, target):
        raise permits.TargetLimitedError("none is free")


class TestLimitedTarget:
    def gate(self, clock):
        return dispatchgate.DispatchGate(
            budgets.RetryBudget(0.2, 10.0, 100.0, lambda: 1),
            crashes.CrashTable(),
            _NoPermits(),
        )

    def test_request_without_a_permit_is_not_sent_and_not_counted(self, clock):
        call = test_gateway_streams.a_call(clock.now_s)
        target = test_gateway_decisions.target("a")
        with pytest.raises(permits.TargetLimitedError):
            self.gate(clock).start_attempt(call, target)
        assert call.attempt_count == 0

    def test_report_is_not_queried_without_a_permit(self, clock):
        call = test_gateway_streams.a_call(clock.now_s)
        target = test_gateway_decisions.target("a")
        assert not self.gate(clock).admits_query(call, target)

    def test_permit_lapses_while_the_instance_is_suspended(self, clock):
        permit = permits.Permit(clock.now_s + 0.25)
        permit.check()
        clock.now_s += 3
        with pytest.raises(permits.TargetLimitedError):
            permit.check()
