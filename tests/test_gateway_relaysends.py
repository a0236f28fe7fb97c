"""A relayed request keeps the peer that it has until another has answered."""

import contextlib
import random
import threading

import pytest

from briarfall import ids
from briarfall.gateway.forwarding import relayexchanges
from briarfall.gateway.forwarding import streamstate
from briarfall.gateway.peers import peers
from briarfall.gateway.peers import relaypeers
from briarfall.gateway.placement import chains
from briarfall.standins.prepared import network
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import testbed
from tests import test_gateway_decisions as decisions
from tests import test_gateway_silence as silence
from tests import test_gateway_streams as streams

_DEADLINE_MS = 15_000
_ATTEMPTS = 2


class _Target:
    """A target whose responses wait until it may speak."""

    def __init__(self, world, target):
        self.id = target.id
        self.target = target
        self._spoke = threading.Event()
        world.on_close(self._spoke.set)
        self.target.exchange.before_answer = self._wait

    def _wait(self, conn):
        self._spoke.wait(testbed.WAIT_S)

    def speak(self):
        self._spoke.set()

    @property
    def ran(self):
        return self.target.ran


def _route(name, kind, service, **extra):
    return testbed.route(
        name,
        f"/{name}/",
        kind,
        service,
        timeout_ms=_DEADLINE_MS,
        attempts=_ATTEMPTS,
        **extra,
    )


_ROUTES = [
    _route("orders", "mutating", "desk"),
    _route("views", "idempotent", "desk"),
    _route("drafts", "streaming", "pool", resumable=True, gap_aim_ms=200),
]


class _Scene:
    """A request that a peer runs for an instance that reaches no target.

    Each of two peers reaches one target, and both targets are silent.

    Attributes:
        cut: The instance that is asked.
        peer: The peer that it has asked.
        spare: The other peer.
        first: The target that runs the request for `peer`.
        second: The target that `spare` reaches.
        caller: The caller.
    """

    def __init__(self, world, stack, path):
        world.publish(testbed.manifest(2, routes=_ROUTES))
        self._is_stream = path.startswith("/drafts/")
        service = "pool" if self._is_stream else "desk"
        rows = {}
        for number in ("2", "3"):
            rows[number] = _Target(world, self._start(world, f"t{number}"))
        targets = [row.target for row in rows.values()]
        net = stack.enter_context(contextlib.closing(network.Network()))
        self.cut = world.instance("i1", dialer=net)
        instances = {}
        nets = {}
        for number in rows:
            links = network.Network()
            nets[number] = stack.enter_context(contextlib.closing(links))
            instances[number] = world.instance(f"i{number}", dialer=links)
        world.wait_for_targets(*targets)
        world.wait_for_layers()
        for inst in world.instances:
            testbed.until(
                lambda inst=inst: (
                    inst.follower.view.version == 2
                    and len(inst.peers.uncut(service)) == 2
                ),
                "version 2 and the peers are known",
            )
        net.cut(network.Cut.HANG, targets)
        nets["2"].cut(network.Cut.REFUSE_NEW, [rows["3"].target])
        nets["3"].cut(network.Cut.REFUSE_NEW, [rows["2"].target])
        for inst in world.instances:
            for target in targets:
                inst.target_follower._pool.drop(target.address)
        self.caller = silence.Caller(
            self.cut, path, method="POST", deadline_ms=_DEADLINE_MS
        )
        testbed.until(lambda: self._ran(rows), "a target runs it")
        (number,) = self._ran(rows)
        self.first = rows.pop(number)
        self.peer = instances.pop(number)
        self.peer_id = f"i{number}"
        ((number, self.second),) = rows.items()
        self.spare = instances[number]
        self.spare_id = f"i{number}"

    def _start(self, world, name):
        if self._is_stream:
            return world.engine(name, kind="large")
        return world.service(name)

    def _ran(self, rows):
        return [number for number, row in rows.items() if row.ran]

    def runs(self):
        return len(self.first.ran) + len(self.second.ran)

    def lose_status(self):
        """Ends the status of the peer; returns once it counts as missing."""
        self.peer.gossip.close()
        testbed.until(
            lambda: self.peer_id not in self._alive(), "no status of the peer"
        )

    def _alive(self):
        return [peer.id for peer in self.cut.peers.alive()]

    def check_answered_by(self, row):
        answer = self.caller.finish()
        assert (answer.status, answer.error) == (200, None)
        assert answer.headers["X-Response-Signature"] == row.id
        if self._is_stream:
            assert testbed.event_ids(answer.body) == silence.EVENTS


_PATHS = pytest.mark.parametrize("path", ["/views/x", "/drafts/x"])


@pytest.fixture
def scene(world):
    """Returns a function that starts the request."""
    with contextlib.ExitStack() as stack:
        yield lambda path="/views/x": _Scene(world, stack, path)


class TestPeerWhoseStatusIsMissing:
    """Another peer is asked beside it; whichever answers first serves."""

    def _ask_spare(self, scene):
        scene.lose_status()
        testbed.until(lambda: scene.second.ran, "the other peer runs it")

    @_PATHS
    def test_still_answers_though_another_peer_runs_the_request(
        self, scene, path
    ):
        row = scene(path)
        self._ask_spare(row)
        row.first.speak()
        row.check_answered_by(row.first)
        assert row.runs() == _ATTEMPTS

    @_PATHS
    def test_loses_the_request_to_the_peer_that_answers_first(
        self, scene, path
    ):
        row = scene(path)
        self._ask_spare(row)
        row.second.speak()
        row.check_answered_by(row.second)
        assert row.runs() == _ATTEMPTS

    @pytest.mark.parametrize(
        "fault",
        [
            registeredtarget.Fault.FAIL,
            registeredtarget.Fault.RESET_AFTER_RUN,
            registeredtarget.Fault.REFUSE,
        ],
        ids=lambda fault: fault.value,
    )
    def test_still_answers_though_the_other_peer_fails(self, scene, fault):
        row = scene()
        row.second.target.fault = fault
        row.second.speak()
        row.lose_status()
        testbed.until(lambda: row.second.target.arrivals, "the other peer asks")
        testbed.until(
            lambda: not row.spare.loads.own(), "the other peer has failed"
        )
        row.first.speak()
        row.check_answered_by(row.first)
        assert row.runs() <= _ATTEMPTS

    def test_that_fails_leaves_the_request_to_the_other_peer(self, scene):
        row = scene()
        row.first.target.fault = registeredtarget.Fault.FAIL
        self._ask_spare(row)
        row.first.speak()
        testbed.until(lambda: not row.peer.loads.own(), "the peer has failed")
        row.second.speak()
        row.check_answered_by(row.second)
        assert row.runs() == _ATTEMPTS

    def test_runs_a_request_that_may_run_once_alone(self, scene):
        row = scene("/orders/x")
        row.lose_status()
        row.first.speak()
        row.check_answered_by(row.first)
        assert row.runs() == 1

    def test_causes_no_run_if_no_status_of_others_arrives_either(self, scene):
        row = scene()
        # What this instance receives may be lost, which says nothing about the
        # peer. The last status of the other one is 2 s younger.
        row.cut.gossip.close()
        heard_s = row.cut.peers.get(row.peer_id).heard_s

        def is_peer_missing():
            row.cut.peers.get(row.spare_id).heard_s = heard_s + 2.0
            return row._alive() == [row.spare_id]

        testbed.until(is_peer_missing, "no status of the peer")
        testbed.until(lambda: not row._alive(), "no status of any peer")
        row.first.speak()
        row.check_answered_by(row.first)
        assert row.runs() == 1


class TestChoiceBesideAMissingPeer:
    def test_takes_peers_heard_since_it_counts_as_missing(self, clock):
        table = peers.PeerTable(ids.InstanceId("own"), ids.ZoneId("z1"))
        rows = []
        for name in ("i2", "i3"):
            record = decisions.sources.InstanceRecord(
                ids.InstanceId(name), "127.0.0.1:1", ids.ZoneId("z1"), 1.0
            )
            rows.append(table.add(record))
        missing, other = rows
        missing.heard_s = clock.now_s
        other.accepts_relays = True
        choice = relaypeers.RelayPeers(
            table, ids.ZoneId("z1"), random.Random(1)
        )
        missing_s = table.missing_since_s(missing)
        clock.now_s = missing_s + 0.2
        assert not table.is_present(missing)
        other.heard_s = missing_s - 0.1
        assert choice.choose("desk", {"i2"}) is other
        assert choice.choose("desk", {"i2"}, missing_s) is None
        other.heard_s = missing_s + 0.1
        assert choice.choose("desk", {"i2"}, missing_s) is other


class TestUnnamedHeads:
    """Each run at a peer that named no head counts as one more head."""

    def _exchange(self, *heads):
        call = streams.a_call(1000.0)
        stream = streamstate.Stream(call, chains.Demand(700, 200))
        stream.heads.update(heads)
        exchange = relayexchanges.StreamExchange(
            stream, lambda: None, lambda conn: False
        )
        return exchange, stream

    def test_count_after_a_named_head_has_died(self):
        exchange, stream = self._exchange("e1")
        exchange.record_runs(1)
        stream.heads.discard("e1")
        exchange.record_runs(1)
        assert exchange.used_runs == 2

    def test_are_taken_back_without_the_named_ones(self):
        exchange, stream = self._exchange("e1")
        exchange.record_runs(3)
        exchange.release_runs(2)
        assert exchange.used_runs == 2
        assert "e1" in stream.heads
        exchange.record_runs(1)
        assert exchange.used_runs == 3
