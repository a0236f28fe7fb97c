"""An instance without links to targets serves its callers through peers."""

from concurrent import futures
import contextlib
import http.client
import threading

import pytest

from briarfall.gateway.callers import plannedstop
from briarfall.gateway.exchanges import proofs
from briarfall.gateway.targets import targetstate
from briarfall.standins.prepared import network
from briarfall.standins.prepared import registeredtarget
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


def _instances(world, links, count, zones=("z1",), **options):
    """Starts instances that know each other; returns them and networks.

    Options are those of the first instance.
    """
    rows = []
    for number in range(count):
        net = links()
        zone = zones[number % len(zones)]
        inst = world.instance(f"i{number}", zone, dialer=net, **options)
        options = {}
        rows.append((inst, net))
    for inst, _ in rows:
        _wait_for_peers(inst, count - 1)
    return rows


def _wait_for_peers(inst, count):
    testbed.until(
        lambda: len(inst.peers.uncut("desk")) == count,
        f"{count} peers accept requests",
    )


def _address(inst):
    return "{}:{}".format(*inst.peer_address)


def _serves_again(inst, path="/views/x", **options):
    """Waits until a caller of an instance is served."""
    numbers = iter(range(10_000))

    def is_served():
        number = next(numbers)
        answer = testbed.call(inst, path, request_id=f"wait{number}", **options)
        return answer.status == 200 and answer.error is None

    testbed.until(is_served, f"{path} is served")


def _find_cut(inst, service="desk", path="/views/x", **options):
    """Sends requests until an instance knows that it reaches no target."""

    def is_known():
        for answer in _answers(inst, path=path, **options):
            if answer.status != 200 or answer.error is not None:
                return False
        return service in inst.links.cut_services

    testbed.until(is_known, "the cut is known and callers are served")


def _answers(inst, count=_FIRST_ATTEMPTS, path="/orders/x", **options):
    """Returns the responses to requests that are sent at once."""

    def send(number):
        return testbed.call(
            inst, path, method="POST", request_id=f"r{number}", **options
        )

    with futures.ThreadPoolExecutor(count) as pool:
        return list(pool.map(send, range(count)))


def _statuses(inst, count=_FIRST_ATTEMPTS):
    return [answer.status for answer in _answers(inst, count)]


class TestPlainRequests:
    @KINDS
    def test_are_served_while_all_links_are_cut(self, world, links, kind):
        desks = [world.service(f"d{number}") for number in range(3)]
        (cut, net), _ = _instances(world, links, 2)
        world.wait_for_targets(*desks)
        assert testbed.call(cut, "/views/x").status == 200
        for desk in desks:
            desk.processing_s = 0.05
        net.cut(kind, desks)
        _find_cut(cut)
        assert _statuses(cut) == [200] * _FIRST_ATTEMPTS

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
        _find_cut(cut)
        assert _statuses(cut) == [200] * _FIRST_ATTEMPTS
        dialled = len(net.dialled)
        assert testbed.call(cut, "/others/x", method="POST").status == 200
        assert other.address in net.dialled[dialled:]

    @KINDS
    def test_are_served_while_all_links_but_one_are_cut(
        self, world, links, kind
    ):
        desks = [world.service(f"d{number}") for number in range(4)]
        (cut, net), _ = _instances(world, links, 2)
        world.wait_for_targets(*desks)
        net.cut(kind, desks[1:])

        def finds_all():
            testbed.call(cut, "/views/x")
            return _count_unreachable(cut) == 3

        testbed.until(finds_all, "three are unreachable")
        assert _statuses(cut) == [200] * _FIRST_ATTEMPTS
        assert len(desks[0].ran) >= _FIRST_ATTEMPTS

    def test_reach_targets_unchanged(self, world, links):
        desk = world.service("d1")
        (cut, net), _ = _instances(world, links, 2)
        world.wait_for_targets(desk)
        net.cut(network.Cut.HANG, [desk])
        _serves_again(cut)
        answer = testbed.call(
            cut,
            "/orders/x?a=%41&b=",
            method="PUT",
            body=b"body",
            request_id="own",
            X_Model="m",
            X_Token_Usage="10,20",
            X_Prefix_Hash="1a:8,2b:2",
            Briarfall_Relay_Sends="7",
        )
        assert (answer.status, answer.body) == (200, b"ran:body")
        assert answer.headers["X-Response-Signature"] == "d1"
        ran = desk.ran[-1]
        assert (ran.method, ran.target) == ("PUT", "/orders/x?a=%41&b=")
        assert ran.headers["x-request-id"] == "own"
        assert ran.headers["x-tenant"] == "crew"
        assert ran.headers["x-model"] == "m"
        assert ran.headers["x-token-usage"] == "10,20"
        assert ran.headers["x-prefix-hash"] == "1a:8,2b:2"
        assert "x-api-key" not in ran.headers
        assert 0 < int(ran.headers["x-deadline-ms"]) <= 3000
        private = "briarfall-relay"
        assert not [n for n in ran.headers if n.startswith(private)]
        names = [name.lower() for name in answer.headers]
        assert not [name for name in names if name.startswith(private)]

    def test_failures_of_targets_are_passed_on(self, world, links):
        desk = world.service("d1")
        (cut, net), _ = _instances(world, links, 2)
        world.wait_for_targets(desk)
        net.cut(network.Cut.HANG, [desk])
        _serves_again(cut)
        desk.fault = registeredtarget.Fault.FAIL
        answer = testbed.call(cut, "/orders/x", method="POST")
        assert (answer.status, answer.body) == (500, b"failed")
        assert answer.headers["X-Response-Signature"] == "d1"

    def test_with_unknown_keys_and_paths_are_refused(self, world, links):
        desk = world.service("d1")
        (cut, net), _ = _instances(world, links, 2)
        world.wait_for_targets(desk)
        net.cut(network.Cut.HANG, [desk])
        _serves_again(cut)
        assert testbed.call(cut, "/views/x", key="other").status == 401
        assert testbed.call(cut, "/none/x").status == 404

    def test_go_to_targets_again_after_the_cut(self, world, links):
        desks = [world.service(f"d{number}") for number in range(3)]
        (cut, net), (peer, _) = _instances(world, links, 2)
        world.wait_for_targets(*desks)
        net.cut(network.Cut.HANG, desks)
        _serves_again(cut)
        assert _count_unreachable(cut) == 3
        net.heal()
        testbed.until(lambda: not _count_unreachable(cut), "links are back")
        relayed = cut.relay.sent
        assert _statuses(cut) == [200] * _FIRST_ATTEMPTS
        assert cut.relay.sent == relayed

    def test_are_not_relayed_and_targets_not_probed_on_a_calm_day(
        self, world, links
    ):
        desks = [world.service(f"d{number}") for number in range(3)]
        rows = _instances(world, links, 2)
        world.wait_for_targets(*desks)
        inst, net = rows[0]
        assert _statuses(inst, 20) == [200] * 20
        assert inst.relay.sent == 0
        assert len(net.dialled) <= 20
        assert rows[1][1].dialled == []
        assert inst.links.cut_services == []


class TestSoundLinks:
    """What must not look like a fault of this instance's links."""

    def _check_sound(self, inst):
        assert inst.relay.sent == 0
        assert inst.links.cut_services == []

    def test_targets_that_are_silent_for_a_second(self, world, links):
        desks = [world.service(f"d{number}") for number in range(2)]
        (inst, _), _ = _instances(world, links, 2)
        world.wait_for_targets(*desks)
        for desk in desks:
            desk.processing_s = 1.0
        assert _statuses(inst) == [200] * _FIRST_ATTEMPTS
        self._check_sound(inst)
        assert _count_unreachable(inst) == 0

    def test_one_target_that_crashed(self, world, links):
        desks = [world.service(f"d{number}") for number in range(3)]
        (inst, _), _ = _instances(world, links, 2)
        world.wait_for_targets(*desks)
        desks[0].close()

        def is_noticed():
            assert testbed.call(inst, "/views/x").status == 200
            return _count_unreachable(inst) == 1

        testbed.until(is_noticed, "the crashed target is noticed")
        self._check_sound(inst)

    def test_connection_that_its_target_closed_while_idle(self, world, links):
        desk = world.service("d0")
        (inst, _), _ = _instances(world, links, 2)
        world.wait_for_targets(desk)
        assert testbed.call(inst, "/views/x").status == 200
        desk.server.close()
        desk.server.reopen()
        assert testbed.call(inst, "/views/x").status == 200
        self._check_sound(inst)
        assert _count_unreachable(inst) == 0

    def test_target_at_its_connection_limit(self, world, links):
        desk = world.service("d0")
        (inst, net), _ = _instances(world, links, 2)
        world.wait_for_targets(desk)
        assert testbed.call(inst, "/views/x").status == 200
        # The target resets further connections, but serves the open one.
        target = inst.targets.get("d0")
        inst.links.record_fault(target, targetstate.LinkFault.RESET)
        assert _count_unreachable(inst) == 0
        self._check_sound(inst)


def _count_unreachable(inst):
    return sum(
        row.link_fault is not None for row in inst.targets.of_service("desk")
    )


class TestRefusals:
    @KINDS
    def test_all_instances_cut_reject_at_once(self, world, links, kind):
        desks = [world.service(f"d{number}") for number in range(3)]
        rows = _instances(world, links, 3)
        world.wait_for_targets(*desks)
        for _, net in rows:
            net.cut(kind, desks)
        for inst, _ in rows:
            assert testbed.call(inst, "/views/x").status in (502, 503)
        for inst, _ in rows:
            _wait_for_peers(inst, 0)
        cut, net = rows[0]
        relayed = cut.relay.sent
        answer = testbed.call(cut, "/orders/x", method="POST")
        assert answer.status == 503
        assert 0 < float(answer.headers["Retry-After"]) <= 1
        assert cut.relay.sent == relayed
        assert not any(desk.ran for desk in desks)

    def test_relayed_requests_are_not_relayed_again(self, world, links):
        desk = world.service("d1")
        rows = _instances(world, links, 3)
        world.wait_for_targets(desk)
        for _, net in rows[:2]:
            net.cut(network.Cut.HANG, [desk])
        (first, _), (second, _), (third, _) = rows
        # The first instance knows only the second as a peer, which is cut too.
        # A status that is still on its way would add the third again.
        third.gossip.close()
        testbed.until(
            lambda: "i2" not in [peer.id for peer in first.peers.alive()],
            "the first has not heard of the third lately",
        )
        answer = testbed.call(first, "/orders/x", method="POST")
        assert answer.status == 503
        assert (first.relay.sent, second.relay.sent) == (1, 0)
        assert desk.ran == []

    def test_stopping_peers_are_not_asked(self, world, links):
        desk = world.service("d1")
        (cut, net), (peer, _), (spare, _) = _instances(world, links, 3)
        world.wait_for_targets(desk)
        net.cut(network.Cut.HANG, [desk])
        _serves_again(cut)
        # The peer declines what was sent before its stop is known.
        peer.stop.request()
        assert _statuses(cut) == [200] * _FIRST_ATTEMPTS

    def test_instances_without_peers_answer_503(self, world, links):
        desk = world.service("d1")
        ((cut, net),) = _instances(world, links, 1)
        world.wait_for_targets(desk)
        net.cut(network.Cut.HANG, [desk])
        answer = testbed.call(cut, "/orders/x", method="POST")
        assert answer.status == 503
        assert float(answer.headers["Retry-After"]) > 0


class TestBudgets:
    def test_request_that_may_run_once_runs_once_if_a_peer_breaks_off(
        self, world, links
    ):
        desk = world.service("d1")
        desk.fault = registeredtarget.Fault.RESET_AFTER_RUN
        (cut, net), *_ = _instances(world, links, 3)
        world.wait_for_targets(desk)
        net.cut(network.Cut.HANG, [desk])
        answer = testbed.call(cut, "/orders/x", method="POST", deadline_ms=9000)
        assert answer.status == 502
        assert len(desk.ran) == 1

    def test_request_that_may_run_once_is_sent_to_one_peer_that_breaks_off(
        self, world, links
    ):
        desk = world.service("d1")
        peer_net = links()
        (cut, net), *others = _instances(world, links, 3, peer_dialer=peer_net)
        world.wait_for_targets(desk)
        net.cut(network.Cut.HANG, [desk])
        _serves_again(cut)
        desk.processing_s = 0.5
        ran = len(desk.ran)
        with futures.ThreadPoolExecutor(1) as pool:
            fut = pool.submit(testbed.call, cut, "/orders/x", method="POST")
            testbed.until(lambda: len(desk.ran) > ran, "the target runs it")
            peer_net.cut_addresses(
                network.Cut.RESET, [_address(inst) for inst, _ in others]
            )
            answer = fut.result(testbed.WAIT_S)
        assert answer.status == 502
        assert len(desk.ran) == ran + 1

    def test_request_runs_at_most_as_often_as_its_route_allows(
        self, world, links
    ):
        desks = [world.service(f"d{number}") for number in range(4)]
        (cut, net), *_ = _instances(world, links, 3)
        world.wait_for_targets(*desks)
        net.cut(network.Cut.HANG, desks)
        _serves_again(cut)
        for desk in desks:
            desk.ran.clear()
            desk.fault = registeredtarget.Fault.RESET_AFTER_RUN
        answer = testbed.call(cut, "/views/x", deadline_ms=9000)
        assert answer.status == 502
        assert sum(len(desk.ran) for desk in desks) == 2

    def test_relays_count_as_one_request_of_the_retry_budget(
        self, world, links
    ):
        desk = world.service("d1")
        (cut, net), (peer, _) = _instances(world, links, 2)
        world.wait_for_targets(desk)
        net.cut(network.Cut.HANG, [desk])
        _serves_again(cut)
        assert _statuses(cut) == [200] * _FIRST_ATTEMPTS
        assert peer.budget.requests == 0
        assert cut.budget.requests >= _FIRST_ATTEMPTS


class TestPeerWithoutStatus:
    """Its datagrams are lost while it serves a relayed request."""

    def _answer(self, world, links, path, count):
        rows = []
        for name, kind in (("orders", "mutating"), ("views", "idempotent")):
            rows.append(
                testbed.route(name, f"/{name}/", kind, "desk", timeout_ms=9000)
            )
        world.publish(testbed.manifest(2, routes=rows))
        desk = world.service("d1")
        (cut, net), *others = _instances(world, links, count)
        world.wait_for_targets(desk)
        net.cut(network.Cut.HANG, [desk])
        _serves_again(cut)
        desk.processing_s = 3.0
        ran = len(desk.ran)
        with futures.ThreadPoolExecutor(1) as pool:
            fut = pool.submit(
                testbed.call, cut, path, method="POST", deadline_ms=9000
            )
            testbed.until(lambda: len(desk.ran) > ran, "the target runs it")
            for inst, _ in others:
                inst.gossip.close()
            _wait_for_peers(cut, 0)
            answer = fut.result(testbed.WAIT_S)
        return answer, len(desk.ran) - ran

    @pytest.mark.parametrize("path", ["/orders/x", "/views/x"])
    @pytest.mark.parametrize("count", [2, 3])
    def test_still_answers_the_request(self, world, links, path, count):
        answer, runs = self._answer(world, links, path, count)
        assert answer.status == 200
        assert answer.error is None
        assert runs == 1


class TestFailedConnects:
    def test_use_up_no_attempts_and_no_retry_budget(self, world, links):
        desks = [world.service(f"d{number}") for number in range(6)]
        # Targets of other zones are chosen last.
        remote = world.service("remote", zone="z2")
        ((inst, net),) = _instances(world, links, 1)
        inst.budget.set_bounds(0.0, 10.0, 0.0)
        world.wait_for_targets(*desks, remote)
        net.cut(network.Cut.REFUSE_NEW, desks)
        answer = testbed.call(inst, "/orders/x", method="POST")
        assert answer.status == 200
        assert remote.ran_ids() == ["r1"]

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
        self.peer_net = links()
        instances = _instances(world, links, count, peer_dialer=self.peer_net)
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

    @KINDS
    def test_are_served_while_all_links_are_cut(self, world, links, kind):
        engines, ((cut, net), *_) = self._start(world, links)
        assert self._draft(cut).error is None
        net.cut(kind, engines)
        options = {"path": "/drafts/x", "deadline_ms": 15_000}
        _find_cut(cut, "pool", **options)
        for answer in _answers(cut, **options):
            assert (answer.status, answer.error) == (200, None)
            assert testbed.event_ids(answer.body) == list(range(1, 13))

    # Guards against a check of the same head in two places, of which one is
    # changed without the other.
    def test_have_their_signature_checked_once_an_instance(
        self, world, links, monkeypatch
    ):
        engines, ((cut, net), *_) = self._start(world, links, 2)
        net.cut(network.Cut.HANG, engines)
        _find_cut(cut, "pool", "/drafts/x", deadline_ms=15_000)
        checked = []
        check_signed = proofs.check_signed

        def record(address, head, names):
            checked.append(address)
            check_signed(address, head, names)

        monkeypatch.setattr(proofs, "check_signed", record)
        answer = self._draft(cut)
        assert (answer.status, answer.error) == (200, None)
        assert len(checked) == len(set(checked)) == 2

    def test_resume_through_a_second_peer(self, world, links):
        engines, ((cut, net), *others) = self._start(world, links)
        net.cut(network.Cut.HANG, engines)
        _serves_again(cut, "/drafts/x", method="POST", deadline_ms=15_000)
        # Until then a run may start over a link that hangs, and count as one.
        testbed.until(
            lambda: "pool" in cut.links.cut_services,
            "no engine is reached",
        )
        holds = _Holds(engines, 5)
        with futures.ThreadPoolExecutor(1) as pool:
            fut = pool.submit(self._draft, cut, "long")
            testbed.until(holds.is_reached, "event 5 is sent")
            serving = [inst for inst, _ in others if inst.loads.own()]
            assert len(serving) == 1
            self.peer_net.cut_addresses(
                network.Cut.RESET, [_address(serving[0])]
            )
            holds.release()
            answer = fut.result(testbed.WAIT_S)
        assert answer.error is None
        assert testbed.event_ids(answer.body) == list(range(1, 13))

    def test_resume_with_the_event_that_the_caller_lacks(self, world, links):
        engines, ((cut, net), *_) = self._start(world, links)
        net.cut(network.Cut.HANG, engines)
        _serves_again(cut, "/drafts/x", method="POST", deadline_ms=15_000)
        answer = self._draft(cut, "later", Last_Event_Id="7")
        assert testbed.event_ids(answer.body) == list(range(8, 13))

    def test_of_callers_that_leave_end_at_the_engine(self, world, links):
        engines, ((cut, net), *_) = self._start(world, links)
        net.cut(network.Cut.HANG, engines)
        _serves_again(cut, "/drafts/x", method="POST", deadline_ms=15_000)
        for engine in engines:
            engine.events = 1_000_000
        host, port = cut.caller_address
        conn = http.client.HTTPConnection(host, port, timeout=testbed.WAIT_S)
        fields = {
            "Host": testbed.HOST,
            "X-Request-Id": "gone",
            "X-Deadline-Ms": "15000",
            "X-Api-Key": testbed.KEY,
        }
        conn.request("POST", "/drafts/x", headers=fields)
        resp = conn.getresponse()
        resp.read(20)
        conn.sock.close()
        resp.close()
        testbed.until(
            lambda: not any("gone" in engine.paths for engine in engines),
            "the engine has stopped",
        )

    def test_of_a_stopping_peer_are_not_cut_off(self, world, links):
        engines, ((cut, net), (peer, _)) = self._start(world, links, count=2)
        net.cut(network.Cut.HANG, engines)
        _serves_again(cut, "/drafts/x", method="POST", deadline_ms=15_000)
        holds = _Holds(engines, 5)
        stopper = threading.Thread(target=peer.wait_for_stop)
        with futures.ThreadPoolExecutor(1) as pool:
            fut = pool.submit(self._draft, cut, "long")
            testbed.until(holds.is_reached, "event 5 is sent")
            peer.stop.request()
            stopper.start()
            testbed.until(
                lambda: peer.stop.phase is plannedstop.StopPhase.ENDING,
                "the peer waits for its requests",
            )
            assert stopper.is_alive()
            holds.release()
            answer = fut.result(testbed.WAIT_S)
        stopper.join(testbed.WAIT_S)
        assert not stopper.is_alive()
        assert answer.error is None
        assert testbed.event_ids(answer.body) == list(range(1, 13))


class _Holds:
    """Streams of engines that wait after an event."""

    def __init__(self, engines, number):
        self._sent = []
        self._resume = []
        for engine in engines:
            engine.on_event[number] = threading.Event()
            engine.resume_events[number] = threading.Event()
            self._sent.append(engine.on_event[number])
            self._resume.append(engine.resume_events[number])

    def is_reached(self):
        return any(event.is_set() for event in self._sent)

    def release(self):
        for event in self._resume:
            event.set()


class TestZones:
    def test_cut_zone_is_served_by_other_zones(self, world, links):
        desks = [world.service(f"d{number}") for number in range(3)]
        rows = _instances(world, links, 4, zones=("z1", "z2"))
        world.wait_for_targets(*desks)
        cut = rows[::2]
        for _, net in cut:
            net.cut(network.Cut.HANG, desks)
        for inst, _ in cut:
            _serves_again(inst)
        for inst, _ in cut:
            _wait_for_peers(inst, 2)
        for inst, _ in cut:
            assert _statuses(inst) == [200] * _FIRST_ATTEMPTS
