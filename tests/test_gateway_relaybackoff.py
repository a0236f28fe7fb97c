"""Backoffs of targets hold for requests that are relayed through peers."""

import contextlib
import threading

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from briarfall.gateway.calls import relaymessages
from briarfall.gateway.targets import incarnations
from briarfall.gateway.targets import relaybackoffs
from briarfall.gateway.targets import targetbackoff
from briarfall.standins.prepared import network
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import testbed
from tests import test_gateway_decisions

_BACKOFF = "60"
_REQUESTS = 20
_FIRST = incarnations.Incarnation("t", 1)
_SECOND = incarnations.Incarnation("t", 2)


class _Fleet:
    """Instances with networks of their own; the first one gets cut off."""

    def __init__(self, world, stack, count, service="desk"):
        self._numbers = iter(range(10_000))
        self._service = service
        self.nets = []
        self.instances = []
        for number in range(count):
            net = stack.enter_context(contextlib.closing(network.Network()))
            self.nets.append(net)
            self.instances.append(world.instance(f"i{number}", dialer=net))
        for inst in self.instances:
            testbed.until(
                lambda inst=inst: len(inst.peers.uncut(service)) == count - 1,
                "peers accept requests",
            )
        self.cut = self.instances[0]

    def send(self, inst, path):
        return testbed.call(
            inst,
            path,
            method="POST",
            request_id=f"r{next(self._numbers)}",
            deadline_ms=15_000,
        )

    def hear_backoff(self, inst, target, path):
        """Sends requests until a target has told an instance to stay away."""
        target.retry_after = _BACKOFF
        target.fault = registeredtarget.Fault.REFUSE

        def is_told():
            self.send(inst, path)
            return inst.targets.get(target.id).is_in_backoff

        testbed.until(is_told, f"{target.id} is in backoff")
        target.fault = registeredtarget.Fault.NONE

    def cut_first(self, targets, path):
        """Cuts the first instance; returns when it relays its requests."""
        self.nets[0].cut(network.Cut.HANG, targets)

        def is_relayed():
            sent = self.cut.relay.sent
            answer = self.send(self.cut, path)
            return answer.status == 200 and self.cut.relay.sent > sent

        testbed.until(is_relayed, "requests are relayed")


@pytest.fixture
def fleet(world):
    """Returns a function that starts instances."""
    with contextlib.ExitStack() as stack:
        yield lambda count, service="desk": _Fleet(world, stack, count, service)


class TestPlainRequests:
    @pytest.mark.parametrize("path", ["/views/x", "/orders/x"])
    def test_do_not_reach_a_target_that_told_the_asking_instance_to_stay_away(
        self, world, fleet, path
    ):
        desks = [world.service(f"d{number}") for number in range(3)]
        scene = fleet(2)
        world.wait_for_targets(*desks)
        scene.hear_backoff(scene.cut, desks[0], path)
        arrived = len(desks[0].arrivals)
        scene.cut_first(desks, path)
        for _ in range(_REQUESTS):
            assert scene.send(scene.cut, path).status == 200
        assert len(desks[0].arrivals) == arrived

    def test_of_the_peers_own_callers_still_reach_that_target(
        self, world, fleet
    ):
        desks = [world.service(f"d{number}") for number in range(2)]
        scene = fleet(2)
        world.wait_for_targets(*desks)
        scene.hear_backoff(scene.cut, desks[0], "/views/x")
        scene.cut_first(desks, "/views/x")
        peer = scene.instances[1]
        assert not peer.targets.get("d0").is_in_backoff

        def is_reached():
            arrived = len(desks[0].arrivals)
            assert scene.send(peer, "/views/x").status == 200
            return len(desks[0].arrivals) > arrived

        testbed.until(is_reached, "the peer sends its own requests to d0")

    def test_reach_that_target_again_after_its_backoff(self, world, fleet):
        desks = [world.service(f"d{number}") for number in range(2)]
        scene = fleet(2)
        world.wait_for_targets(*desks)
        scene.hear_backoff(scene.cut, desks[0], "/views/x")
        scene.cut_first(desks, "/views/x")
        scene.cut.targets.get("d0").backoff_until_s = 0.0
        arrived = len(desks[0].arrivals)

        def is_reached():
            assert scene.send(scene.cut, "/views/x").status == 200
            return len(desks[0].arrivals) > arrived

        testbed.until(is_reached, "d0 gets relayed requests")

    def test_do_not_reach_a_target_that_told_a_peer_through_another_peer(
        self, world, fleet
    ):
        desks = [world.service(f"d{number}") for number in range(3)]
        scene = fleet(3)
        world.wait_for_targets(*desks)
        scene.cut_first(desks, "/views/x")
        desks[0].arrivals.clear()
        desks[0].retry_after = _BACKOFF
        desks[0].fault = registeredtarget.Fault.REFUSE

        def is_told():
            assert scene.send(scene.cut, "/views/x").status == 200
            return len(desks[0].arrivals) > 0

        testbed.until(is_told, "d0 tells a peer to stay away")
        for _ in range(_REQUESTS):
            assert scene.send(scene.cut, "/views/x").status == 200
        assert len(desks[0].arrivals) == 1


class TestStreams:
    def test_do_not_reach_a_head_that_told_the_asking_instance_to_stay_away(
        self, world, fleet
    ):
        engines = [
            world.engine(f"e{number}", kind="large") for number in range(4)
        ]
        scene = fleet(2, "pool")
        world.wait_for_layers()
        heads = [engine for engine in engines if engine.layers[0] == 0]
        assert len(heads) > 1
        scene.hear_backoff(scene.cut, heads[0], "/drafts/x")
        arrived = len(heads[0].arrivals)
        scene.cut_first(engines, "/drafts/x")
        for _ in range(_REQUESTS):
            answer = scene.send(scene.cut, "/drafts/x")
            assert testbed.event_ids(answer.body) == list(range(1, 13))
        assert len(heads[0].arrivals) == arrived


class TestRequestBackoffs:
    def test_hold_for_the_named_incarnation_only(self, clock):
        target = test_gateway_decisions.target("t")
        key = target.incarnation
        other = incarnations.Incarnation(key.target, key.started_ms + 1)
        for row, is_held in ((key, True), (other, False)):
            backoffs = relaybackoffs.RequestBackoffs({row: clock.now_s + 5.0})
            with _serving(backoffs):
                assert target.is_in_backoff is is_held
                assert target.is_held is is_held
        assert not target.is_held

    def test_end_by_themselves(self, clock):
        target = test_gateway_decisions.target("t")
        until_s = {target.incarnation: clock.now_s + 5.0}
        with _serving(relaybackoffs.RequestBackoffs(until_s)):
            clock.now_s += 5.0
            assert not target.is_held

    def test_shorten_no_backoff_of_this_instance(self, clock):
        target = test_gateway_decisions.target("t")
        targetbackoff.start_backoff(target, 9.0)
        until_s = {target.incarnation: clock.now_s + 5.0}
        with _serving(relaybackoffs.RequestBackoffs(until_s)):
            assert target.held_until_s == clock.now_s + 9.0

    def test_leave_the_start_of_a_backoff_of_this_instance(self, clock):
        target = test_gateway_decisions.target("t")
        until_s = {target.incarnation: clock.now_s + 5.0}
        with _serving(relaybackoffs.RequestBackoffs(until_s)):
            clock.now_s += 1.0
            targetbackoff.start_backoff(target, 2.0)
        assert target.backoff_since_s == clock.now_s
        assert target.is_in_backoff

    def test_hold_for_no_request_that_another_thread_serves(self, clock):
        target = test_gateway_decisions.target("t")
        until_s = {target.incarnation: clock.now_s + 5.0}
        found = []
        with _serving(relaybackoffs.RequestBackoffs(until_s)):
            thread = threading.Thread(
                target=lambda: found.append(target.is_held)
            )
            thread.start()
            thread.join(testbed.WAIT_S)
        assert found == [False]


@contextlib.contextmanager
def _serving(backoffs):
    relaybackoffs.set_current(backoffs)
    try:
        yield
    finally:
        relaybackoffs.set_current(None)


class TestMessages:
    def test_rows_are_read_back(self, clock):
        until_s = {_FIRST: clock.now_s + 2.0, _SECOND: clock.now_s + 60.0}
        assert relaybackoffs.decode(relaybackoffs.encode(until_s)) == until_s

    def test_ended_backoffs_are_not_sent(self, clock):
        until_s = {_FIRST: clock.now_s, _SECOND: clock.now_s - 1.0}
        assert bytes(relaybackoffs.encode(until_s)) == b"[]"

    @pytest.mark.parametrize(
        "odd",
        [
            "7",
            "null",
            '["t"]',
            '["t",1,"x"]',
            '["t",1,-5]',
            '["t",1,0]',
            "[9,1,5000]",
            '["t",1,1e400]',
        ],
    )
    def test_odd_row_costs_only_itself(self, clock, odd):
        data = msgspec.Raw(f'[{odd},["t",2,5000]]'.encode())
        assert relaybackoffs.decode(data) == {_SECOND: clock.now_s + 5.0}

    @pytest.mark.parametrize(
        "odd",
        ["7", "null", "{}", '"x"', '[["t",1,5]' * 9, "[" * 1000 + "]" * 1000],
    )
    def test_odd_value_counts_as_none(self, clock, odd):
        assert relaybackoffs.decode(msgspec.Raw(odd.encode())) == {}

    @pytest.mark.parametrize("left_ms", [60_001, 10**12, 10**30])
    def test_time_is_bounded(self, clock, left_ms):
        data = msgspec.Raw(f'[["t",1,{left_ms}]]'.encode())
        for end_s in relaybackoffs.decode(data).values():
            assert end_s == clock.now_s + relaybackoffs.MAX_BACKOFF_S

    @given(size=st.integers(1, 255), count=st.integers(1, 810))
    def test_header_stays_within_its_bound(self, size, count):
        now_s = relaybackoffs.clocks.boot_s()
        until_s = {}
        for number in range(count):
            name = f"{number}".rjust(size, "x")
            until_s[incarnations.Incarnation(name, 2**41)] = now_s + 50.0
        data = relaybackoffs.encode(until_s)
        assert len(data) <= relaybackoffs.MAX_BYTES
        assert len(relaybackoffs.decode(data)) >= min(count, 8)

    def test_state_of_an_earlier_release_is_read(self):
        old = (
            b'{"exchange":"x","sender":"i","sends":1,"runs":0,"max_runs":2,'
            b'"has_unknown_outcome":false,"heads":[]}'
        )
        state = relaymessages.decode_request([(b"briarfall-relay", old)])
        assert relaybackoffs.decode(state.backoffs) == {}

    @pytest.mark.parametrize("odd", ["7", "null", '"x"', '[["t",1]]', "{}"])
    def test_request_with_odd_backoffs_is_still_read(self, odd):
        data = (
            '{"exchange":"x","sender":"i","sends":1,"runs":0,"max_runs":2,'
            f'"has_unknown_outcome":false,"heads":[],"backoffs":{odd}}}'
        )
        headers = [(b"briarfall-relay", data.encode())]
        state = relaymessages.decode_request(headers)
        assert state.exchange == "x"
        assert relaybackoffs.decode(state.backoffs) == {}

    def test_earlier_release_reads_the_new_state(self, clock):
        state = relaymessages.RelayedRequest(
            "x",
            "i",
            1,
            0,
            2,
            False,
            [],
            relaybackoffs.encode({_FIRST: clock.now_s + 5.0}),
        )
        _, data = relaymessages.header_of(state)
        old = msgspec.json.decode(data, type=_EarlierRequest)
        assert (old.exchange, old.max_runs) == ("x", 2)


class _EarlierRequest(msgspec.Struct, frozen=True):
    exchange: str
    sender: str
    sends: int
    runs: int
    max_runs: int
    has_unknown_outcome: bool
    heads: list[str] = []
