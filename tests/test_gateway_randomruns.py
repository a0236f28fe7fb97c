"""Random series of orders: no second run, and no promise after a run."""

import itertools

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from briarfall.standins.prepared import network
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import testbed
from tests import test_gateway_secondruns as secondruns

_DEADLINE_MS = 350
# Longer than that.
_LATE_S = 0.5
_EXAMPLES = 60
_ECHO = b"X-Request-Id: {id}\r\nX-Response-Signature: s\r\n"
_SUCCESS = b"HTTP/1.1 200 X\r\n" + _ECHO + b"Content-Length: 0\r\n\r\n"
_FAILURE = b"HTTP/1.1 500 X\r\n" + _ECHO + b"Content-Length: 0\r\n\r\n"


class _Reaction(msgspec.Struct, frozen=True):
    """What a target does with a request.

    Attributes:
        does_run: Whether it runs it.
        data: What it sends.
        keeps: Whether the connection stays open.
        resets: Whether it is reset otherwise.
        delay_s: Seconds before that.
        runs_late: Whether it runs only after them.
    """

    does_run: bool
    data: bytes
    keeps: bool
    resets: bool
    delay_s: float
    runs_late: bool


_RAN = [*secondruns.RUNS.values(), _SUCCESS, _SUCCESS * 2, _FAILURE]
_DENIED = list(secondruns.DENIALS.values())
_REACTIONS = st.builds(
    lambda says, **rest: _Reaction(says[0], says[1], **rest),
    st.one_of(
        st.tuples(st.just(False), st.sampled_from(_DENIED)),
        st.tuples(st.just(True), st.sampled_from(_RAN)),
    ),
    keeps=st.booleans(),
    resets=st.booleans(),
    delay_s=st.sampled_from([0.0, 0.0, 0.0, 0.02, _LATE_S]),
    runs_late=st.booleans(),
)


class _Order(msgspec.Struct, frozen=True):
    """One order of a caller.

    Attributes:
        is_relayed: Whether the instance reaches targets through peers only.
        reactions: Those of the targets that it reaches, in order.
    """

    is_relayed: bool
    reactions: list[_Reaction]


_SERIES = st.lists(
    st.builds(
        _Order, st.booleans(), st.lists(_REACTIONS, min_size=1, max_size=4)
    ),
    min_size=1,
    max_size=3,
)


class _Target(registeredtarget.RegisteredTarget):
    """Reacts to each arrival of a request as its order says."""

    def __init__(self, platform, target_id, reactions):
        super().__init__(platform, target_id, "desk", "z1")
        self._reactions = reactions
        self.busy = 0
        self.register()

    def handle(self, conn, req) -> bool:
        """Handles a request; returns whether the connection stays open."""
        with self.lock:
            self.busy += 1
        try:
            return self._react(conn, req)
        finally:
            with self.lock:
                self.busy -= 1

    def _react(self, conn, req) -> bool:
        request_id = req.headers["x-request-id"]
        self.record_arrival(req)
        row = next(self._reactions[request_id])
        if row.does_run and not row.runs_late:
            self.record_run(req)
        self.closing.wait(row.delay_s)
        if row.does_run and row.runs_late:
            self.record_run(req)
        conn.send(row.data.replace(b"{id}", request_id.encode()))
        if not row.keeps and row.resets:
            conn.reset()
        return row.keeps


class _Fleet:
    """Targets, an instance that reaches them, and one that asks two peers."""

    def __init__(self, world):
        routes = secondruns.routes(orders="idempotent")
        world.publish(testbed.manifest(2, routes=routes))
        self._reactions = {}
        self.rows = []
        for number in range(4):
            row = _Target(world.store, f"d{number}", self._reactions)
            world.on_close(row.close)
            self.rows.append(row)
        net = network.Network()
        world.on_close(net.close)
        self.cut = world.instance("i0", dialer=net)
        self.own = world.instance("i1")
        older = world.instance("i2")
        world.wait_for_targets(*self.rows)
        secondruns.wait_for_version(2, *world.instances)
        # By the view of one peer, orders may be repeated.
        older.follower.apply = lambda *_: None
        routes = secondruns.routes()
        world.publish(testbed.manifest(3, routes=routes))
        secondruns.wait_for_version(3, self.cut, self.own)
        testbed.until(
            lambda: len(self.cut.peers.uncut("desk")) == 2, "the peers"
        )
        net.cut(network.Cut.REFUSE_NEW, self.rows)
        for row in self.rows:
            self.cut.target_follower._pool.drop(row.address)
        self._numbers = itertools.count()
        self.statuses = []

    def play(self, series):
        """Sends the orders of a series; checks each of them at its end."""
        found = {}
        for order in series:
            request_id = f"r{next(self._numbers)}"
            last = _Reaction(True, _SUCCESS, True, False, 0.0, False)
            self._reactions[request_id] = itertools.chain(
                order.reactions, itertools.repeat(last)
            )
            inst = self.cut if order.is_relayed else self.own
            found[request_id] = self._status(inst, request_id)
        testbed.until(self._is_idle, "the targets are idle")
        for request_id, status in found.items():
            secondruns.assert_ran_once(self.rows, status, request_id)
            self.statuses.append(status)

    def _status(self, inst, request_id):
        inst.relay._choice._declined_until_s.clear()
        for target in inst.targets.of_service("desk"):
            target.blocked_until_s = 0.0
        try:
            answer = secondruns.send_order(
                inst,
                f"/orders/{request_id}",
                request_id=request_id,
                deadline_ms=_DEADLINE_MS,
            )
        except OSError:
            return 0
        return answer.status

    def _is_idle(self):
        return not any(row.busy for row in self.rows)


@pytest.fixture(scope="module")
def fleet():
    with testbed.world() as world:
        yield _Fleet(world)


class TestSeriesOfOrders:
    # Guards against any order of refusals, failures, copies, silence and ends
    # of connections in which an order runs twice or after a promise.
    @hypothesis.settings(
        max_examples=_EXAMPLES,
        derandomize=True,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(series=_SERIES)
    def test_each_runs_once_at_most_and_never_after_a_promise(
        self, fleet, series
    ):
        fleet.play(series)

    # Guards against a series in which nothing is refused, fails or succeeds.
    def test_have_all_kinds_of_ends(self, fleet):
        self.test_each_runs_once_at_most_and_never_after_a_promise(fleet)
        assert {200, 502, 503, 504} <= set(fleet.statuses)
