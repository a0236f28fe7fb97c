"""An instance without links to targets serves its callers through peers."""

import contextlib

import pytest

from briarfall.standins.prepared import network
from briarfall.standins.prepared import testbed

KINDS = pytest.mark.parametrize(
    "kind", list(network.Cut), ids=lambda cut: cut.value
)
_FIRST_ATTEMPTS = 8


@pytest.fixture
def links():
    """Returns a function that makes stand-in networks."""
    with contextlib.ExitStack() as stack:

        def make():
            return stack.enter_context(contextlib.closing(network.Network()))

        yield make


def _instances(world, links, count, zones=("z1",)):
    """Starts instances that know each other; returns them and networks."""
    rows = []
    for number in range(count):
        net = links()
        zone = zones[number % len(zones)]
        rows.append((world.instance(f"i{number}", zone, dialer=net), net))
    for inst, _ in rows:
        testbed.until(
            lambda inst=inst: inst.peers.instance_count == count,
            "instances know each other",
        )
    return rows


def _serves_again(inst, path="/views/x", **options):
    """Waits until a caller of an instance is served."""
    numbers = iter(range(10_000))

    def is_served():
        number = next(numbers)
        answer = testbed.call(inst, path, request_id=f"wait{number}", **options)
        return answer.status == 200 and answer.error is None

    testbed.until(is_served, f"{path} is served")


def _statuses(inst, count=_FIRST_ATTEMPTS, path="/orders/x", **options):
    found = []
    for number in range(count):
        answer = testbed.call(
            inst,
            path,
            method="POST",
            body=b"b%d" % number,
            request_id=f"r{number}",
            **options,
        )
        found.append(answer.status)
    return found


class TestPlainRequests:
    @pytest.mark.known_red
    @KINDS
    def test_are_served_while_all_links_are_cut(self, world, links, kind):
        desks = [world.service(f"d{number}") for number in range(3)]
        (cut, net), _ = _instances(world, links, 2)
        world.wait_for_targets(*desks)
        assert testbed.call(cut, "/views/x").status == 200
        net.cut(kind, desks)
        _serves_again(cut)
        assert _statuses(cut) == [200] * _FIRST_ATTEMPTS

    @pytest.mark.known_red
    @KINDS
    def test_of_one_service_are_served_while_its_links_are_cut(
        self, world, links, kind
    ):
        desks = [world.service(f"d{number}") for number in range(2)]
        other = world.service("o1", service="other")
        routes = [
            testbed.route("views", "/views/", "idempotent", "desk"),
            testbed.route("orders", "/orders/", "mutating", "desk"),
            testbed.route("others", "/others/", "mutating", "other"),
        ]
        world.publish(testbed.manifest(2, routes=routes))
        (cut, net), (peer, _) = _instances(world, links, 2)
        world.wait_for_targets(*desks, other)
        for inst in (cut, peer):
            testbed.until(
                lambda inst=inst: inst.follower.view.version == 2, "version 2"
            )
        net.cut(kind, desks)
        _serves_again(cut)
        assert _statuses(cut) == [200] * _FIRST_ATTEMPTS
        dialled = len(net.dialled)
        assert testbed.call(cut, "/others/x", method="POST").status == 200
        assert other.address in net.dialled[dialled:]


class TestFailedConnects:
    def test_use_up_no_attempts_and_no_retry_budget(self, world, links):
        desks = [world.service(f"d{number}") for number in range(6)]
        ((inst, net),) = _instances(world, links, 1)
        inst.budget.set_bounds(0.0, 10.0, 0.0)
        world.wait_for_targets(*desks)
        net.cut(network.Cut.REFUSE_NEW, desks[1:])
        answer = testbed.call(inst, "/orders/x", method="POST")
        assert answer.status == 200
        assert desks[0].ran_ids() == ["r1"]

    @pytest.mark.known_red
    @KINDS
    def test_of_a_cut_instance_block_no_targets_elsewhere(
        self, world, links, kind
    ):
        desks = [world.service(f"d{number}") for number in range(3)]
        (cut, net), (peer, _) = _instances(world, links, 2)
        world.wait_for_targets(*desks)
        failed = [inst_target.failed_s for inst_target in _rows(peer)]
        net.cut(kind, desks)
        _serves_again(cut)
        _statuses(cut)
        assert [row.failed_s for row in _rows(peer)] == failed

    def test_to_a_crashed_target_are_reported_to_peers(self, world, links):
        desks = [world.service(f"d{number}") for number in range(3)]
        (inst, _), (peer, _) = _instances(world, links, 2)
        world.wait_for_targets(*desks)
        desks[0].close()
        numbers = iter(range(10_000))

        def is_suspected():
            testbed.call(inst, "/views/x", request_id=f"r{next(numbers)}")
            return peer.targets.get("d0").failed_s > 0

        testbed.until(is_suspected, "the peer suspects the target")


def _rows(inst):
    return inst.targets.of_service("desk")


class TestStreams:
    def _start(self, world, links, count=3, engines=4):
        rows = [
            world.engine(f"e{number}", kind="large")
            for number in range(engines)
        ]
        instances = _instances(world, links, count)
        world.wait_for_layers()
        return rows, instances

    def _draft(self, inst, request_id="s1", **options):
        return testbed.call(
            inst,
            "/drafts/x",
            method="POST",
            request_id=request_id,
            deadline_ms=15_000,
            **options,
        )

    @pytest.mark.known_red
    @KINDS
    def test_are_served_while_all_links_are_cut(self, world, links, kind):
        engines, ((cut, net), *_) = self._start(world, links)
        assert self._draft(cut).error is None
        net.cut(kind, engines)
        _serves_again(cut, "/drafts/x", method="POST", deadline_ms=15_000)
        for number in range(_FIRST_ATTEMPTS):
            answer = self._draft(cut, f"s{number}")
            assert answer.error is None
            assert testbed.event_ids(answer.body) == list(range(1, 13))
