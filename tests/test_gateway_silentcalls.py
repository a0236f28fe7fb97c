"""Plain calls whose target is silent for over half of their time."""

import threading

import pytest

from briarfall.standins.prepared import network
from briarfall.standins.prepared import rawcaller
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import testbed
from tests import test_gateway_silence as silence

Fault = registeredtarget.Fault
FAULTS = pytest.mark.parametrize(
    "fault",
    [
        Fault.REFUSE,
        Fault.RESET_AFTER_RUN,
        Fault.CRASH,
        Fault.FAIL,
        Fault.CUT_BODY,
        Fault.GARBAGE,
        Fault.MISDIRECTED,
    ],
    ids=lambda fault: fault.value,
)
_DEADLINE_MS = 4000


class _Desk:
    """A plain service that holds back its answers while it is silent."""

    def __init__(self, world, name):
        self.target = world.service(name)
        self._spoke = threading.Event()
        world.on_close(self._spoke.set)
        before_answer = self.target.exchange.before_answer

        def wait(conn):
            self._spoke.wait(testbed.WAIT_S)
            before_answer(conn)

        self.target.exchange.before_answer = wait

    @property
    def id(self):
        return self.target.id

    @property
    def is_asked(self):
        return any(row.request_id == "r1" for row in self.target.arrivals)

    @property
    def open_count(self):
        return len(self.target.server._open)

    def speak(self):
        self._spoke.set()

    def hush(self):
        self._spoke.clear()


class _Scene:
    """A call in progress at the first of several silent targets."""

    def __init__(self, world, count=2, *, attempts=2, kind="views", **extra):
        rows = [
            testbed.route(
                kind,
                f"/{kind}/",
                "mutating" if kind == "orders" else "idempotent",
                "desk",
                timeout_ms=20000,
                attempts=attempts,
            )
        ]
        world.publish(testbed.manifest(2, routes=rows))
        self.desks = [_Desk(world, f"d{number}") for number in range(count)]
        self.inst = world.instance(**extra)
        world.wait_for_targets(*[desk.target for desk in self.desks])
        self.path = f"/{kind}/x"
        self.asked = []

    def start(self, request_id="r1", body=b"first"):
        self.caller = silence.Caller(
            self.inst,
            self.path,
            method="POST",
            body=body,
            request_id=request_id,
            deadline_ms=_DEADLINE_MS,
        )
        return self.next_asked()

    def next_asked(self):
        """Waits until another target has got the call, and returns it."""

        def others():
            return [
                desk
                for desk in self.desks
                if desk.is_asked and desk not in self.asked
            ]

        testbed.until(others, "another target has got the call")
        self.asked.append(others()[0])
        return self.asked[-1]

    def idle(self):
        return [desk for desk in self.desks if desk not in self.asked]

    def check_answered_by(self, desk, body=b"ran:first"):
        answer = self.caller.finish()
        assert answer.error is None
        assert answer.status == 200
        assert answer.body == body
        assert answer.headers["X-Response-Signature"] == desk.id
        self.check_released()

    def check_released(self):
        testbed.until(lambda: not self.inst.loads.own(), "no target has a load")


class TestSecondTarget:
    @FAULTS
    def test_first_target_answers_though_the_second_fails(self, world, fault):
        scene = _Scene(world)
        first = scene.start()
        second = scene.idle()[0]
        second.target.fault = fault
        second.speak()
        scene.next_asked()
        first.speak()
        scene.check_answered_by(first)
        assert len(first.target.ran) == 1

    @FAULTS
    def test_first_target_that_speaks_late_answers(self, world, fault):
        scene = _Scene(world)
        first = scene.start()
        second = scene.idle()[0]
        second.target.fault = fault
        second.speak()
        scene.next_asked()
        # The second one has failed by then.
        threading.Event().wait(0.5)
        first.speak()
        scene.check_answered_by(first)

    def test_first_target_answers_though_the_second_is_silent_too(self, world):
        scene = _Scene(world)
        first = scene.start()
        scene.next_asked()
        first.speak()
        scene.check_answered_by(first)

    def test_first_of_three_silent_targets_answers(self, world):
        scene = _Scene(world, 3, attempts=3)
        first = scene.start()
        scene.next_asked()
        scene.next_asked()
        first.speak()
        scene.check_answered_by(first)

    def test_first_target_answers_though_the_second_accepts_no_connection(
        self, world
    ):
        scene = _Scene(world)
        first = scene.start()
        second = scene.idle()[0]
        second.target.refuse_connections()
        row = scene.inst.targets.get(second.id)
        testbed.until(lambda: row.link_fault is not None, "it was tried")
        first.speak()
        scene.check_answered_by(first)

    def test_first_target_answers_though_no_retry_is_left(self, world):
        scene = _Scene(world)
        first = scene.start()
        budget = scene.inst.budget
        asked = threading.Event()

        def take_retry():
            asked.set()
            return False

        budget.take_retry = take_retry
        assert asked.wait(testbed.WAIT_S)
        first.speak()
        scene.check_answered_by(first)

    def test_second_target_answers_though_the_first_fails_then(self, world):
        scene = _Scene(world)
        first = scene.start()
        first.target.fault = Fault.RESET_AFTER_RUN
        second = scene.next_asked()
        first.speak()
        threading.Event().wait(0.2)
        second.speak()
        scene.check_answered_by(second)

    def test_second_target_answers_a_call_whose_first_stays_silent(self, world):
        scene = _Scene(world)
        scene.start()
        second = scene.next_asked()
        second.speak()
        scene.check_answered_by(second)


class TestPeer:
    @pytest.fixture
    def scene(self, world):
        """A call whose first target is silent and whose second is cut off."""
        net = network.Network()
        world.on_close(net.close)
        scene = _Scene(world, attempts=4, dialer=net)
        self.peer = world.instance("i2")
        world.wait_for_targets(*[desk.target for desk in scene.desks])
        testbed.until(
            lambda: scene.inst.peers.uncut("desk"), "the peer is known"
        )
        for desk in scene.desks:
            desk.speak()
        cut = scene.desks[1]
        net.cut(network.Cut.REFUSE_NEW, [cut.target])
        numbers = iter(range(1000))

        def is_known():
            testbed.call(
                scene.inst, scene.path, request_id=f"warm{next(numbers)}"
            )
            return scene.inst.targets.get(cut.id).link_fault is not None

        scene.inst.target_follower._pool.drop(cut.target.address)
        testbed.until(is_known, "the cut is known")
        for desk in scene.desks:
            desk.hush()
        assert scene.start() is scene.desks[0]
        return scene

    def test_peer_answers_though_the_first_target_crashes_meanwhile(
        self, scene
    ):
        second = scene.next_asked()
        scene.asked[0].target.close()
        threading.Event().wait(0.3)
        second.speak()
        scene.check_answered_by(second)

    @pytest.mark.parametrize("fault", [Fault.REFUSE, Fault.RESET_AFTER_RUN])
    def test_first_target_answers_though_the_peers_run_fails(
        self, scene, fault
    ):
        second = scene.idle()[0]
        second.target.fault = fault
        second.speak()
        scene.next_asked()
        threading.Event().wait(0.3)
        scene.asked[0].speak()
        scene.check_answered_by(scene.asked[0])

    def test_first_target_answers_though_the_peers_run_is_silent(self, scene):
        scene.next_asked()
        scene.asked[0].speak()
        scene.check_answered_by(scene.asked[0])


class TestBounds:
    def test_two_silent_targets_use_up_a_route_of_two_runs(self, world):
        scene = _Scene(world, 3)
        scene.start()
        scene.next_asked()
        assert scene.caller.finish().status == 504
        assert sum(desk.is_asked for desk in scene.desks) == 2
        scene.check_released()

    def test_failed_second_run_leaves_no_third_one(self, world):
        scene = _Scene(world, 3)
        first = scene.start()
        for desk in scene.idle():
            desk.target.fault = Fault.RESET_AFTER_RUN
            desk.speak()
        scene.next_asked()
        threading.Event().wait(0.5)
        first.speak()
        scene.check_answered_by(first)
        assert sum(desk.is_asked for desk in scene.desks) == 2

    def test_order_stays_with_its_silent_target(self, world):
        scene = _Scene(world, kind="orders")
        first = scene.start()
        threading.Event().wait(_DEADLINE_MS * 0.75 / 1000)
        first.speak()
        scene.check_answered_by(first)
        assert not scene.idle()[0].is_asked


class TestConnections:
    def test_caller_that_leaves_ends_both_exchanges(self, world):
        scene = _Scene(world)
        caller = rawcaller.RawCaller(scene.inst.caller_address)
        caller.send(
            rawcaller.request(
                scene.path,
                method="POST",
                headers={"X-Deadline-Ms": str(_DEADLINE_MS)},
            )
        )
        scene.next_asked()
        scene.next_asked()
        assert len(scene.inst.loads.own()) == 2
        caller.close()
        scene.check_released()
        for desk in scene.desks:
            desk.speak()
        testbed.until(
            lambda: not any(desk.open_count for desk in scene.desks),
            "both connections are closed",
        )

    @pytest.mark.parametrize("winner", [0, 1])
    def test_late_answer_reaches_no_later_call(self, world, winner):
        scene = _Scene(world)
        scene.start()
        scene.next_asked()
        fast = scene.asked[winner]
        slow = scene.asked[1 - winner]
        fast.speak()
        scene.check_answered_by(fast)
        slow.speak()
        for number in range(20):
            body = b"call %d" % number
            answer = testbed.call(
                scene.inst,
                scene.path,
                method="POST",
                body=body,
                request_id=f"later{number}",
            )
            assert answer.status == 200
            assert answer.body == b"ran:" + body
