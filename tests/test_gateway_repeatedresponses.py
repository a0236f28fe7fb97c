"""Responses that a target writes once more on a kept connection."""

import msgspec
import pytest

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway.catalogue import sources
from briarfall.gateway.exchanges import connections
from briarfall.gateway.exchanges import matching
from briarfall.gateway.exchanges import messages
from briarfall.gateway.forwarding import plain
from briarfall.platform import engines
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import repeatedresponses
from briarfall.standins.prepared import testbed

_PROMISES = (408, 421, 429, 503)
_TIMEOUT_S = 5.0
_FIRST_RESPONSES = {
    "503": repeatedresponses.FirstResponse(503, True, True),
    "503-no-id": repeatedresponses.FirstResponse(503, False, True),
    "429": repeatedresponses.FirstResponse(429, True, True),
    "429-no-id": repeatedresponses.FirstResponse(429, False, True),
    "421": repeatedresponses.FirstResponse(421, True),
    "421-no-id": repeatedresponses.FirstResponse(421, False),
    "408-no-id": repeatedresponses.FirstResponse(408, False),
    "200": repeatedresponses.FirstResponse(200, True, body=b"ran:first"),
    "200-no-id": repeatedresponses.FirstResponse(200, False, body=b"ran:first"),
}
_TIMES = list(repeatedresponses.CopyTime)


@pytest.fixture(autouse=True)
def _long_idle_time(monkeypatch):
    monkeypatch.setattr(plain, "_MAX_SINGLE_RUN_IDLE_S", 10.0)


def _manifest():
    found = testbed.manifest(2)
    for route in found["routes"]:
        if route["name"] == "drafts":
            once = {**route, "name": "once", "path_prefix": "/once/"}
            once["resumable"] = False
    found["routes"].append(once)
    return found


def _engines(world, count=8):
    rows = []
    for number in range(count):
        row = repeatedresponses.RepeatingEngine(
            world.store, f"e{number}", world.fleet
        )
        world.on_close(row.close)
        rows.append(row)
    return rows


def _services(world, count):
    rows = []
    for number in range(count):
        row = repeatedresponses.RepeatingService(world.store, f"d{number}")
        world.on_close(row.close)
        rows.append(row)
    return rows


def _without_id(name):
    return msgspec.structs.replace(_FIRST_RESPONSES[name], has_id=False)


def _runs(rows, request_id):
    return sum(row.ran_ids().count(request_id) for row in rows)


# Engines are drawn at random; so many calls never miss a reused connection.
_MAX_CALLS = 40


@pytest.mark.parametrize("copy_time", _TIMES, ids=lambda row: row.value)
@pytest.mark.parametrize("first", _FIRST_RESPONSES)
class TestCopyBeforeAPlainCall:
    def test_order_runs_once_and_no_promise_is_broken(
        self, world, first, copy_time
    ):
        rows = _services(world, 2)
        inst = world.instance()
        world.wait_for_targets(*rows)
        for row in rows:
            row.first = _FIRST_RESPONSES[first]
            row.copy_time = copy_time
        for number in range(6):
            request_id = f"r{number}"
            answer = testbed.call(
                inst,
                "/orders/x",
                method="POST",
                body=request_id.encode(),
                request_id=request_id,
            )
            runs = _runs(rows, request_id)
            assert runs <= 1, f"{request_id} ran {runs} times"
            if answer.status in _PROMISES:
                assert not runs, f"{request_id} ran, status {answer.status}"
            if answer.status == 200 and answer.body != b"ran:first":
                assert answer.body == b"ran:" + request_id.encode()
        if _FIRST_RESPONSES[first].has_id:
            assert sum(row.copies_sent for row in rows)

    def test_view_gets_its_own_response(self, world, first, copy_time):
        rows = _services(world, 2)
        inst = world.instance()
        world.wait_for_targets(*rows)
        for row in rows:
            row.first = _FIRST_RESPONSES[first]
            row.copy_time = copy_time
        bodies = []
        for number in range(6):
            answer = testbed.call(inst, "/views/x", request_id=f"r{number}")
            if answer.status == 200:
                bodies.append(answer.body)
        originals = sum(1 for body in bodies if body == b"ran:first")
        expected = 2 if _FIRST_RESPONSES[first].status == 200 else 0
        assert originals <= expected
        assert bodies.count(b"ran:") + originals == len(bodies)


@pytest.mark.parametrize("copy_time", _TIMES, ids=lambda row: row.value)
@pytest.mark.parametrize("first", list(_FIRST_RESPONSES)[:-2])
@pytest.mark.parametrize("prefix", ["drafts", "once"])
class TestCopyBeforeAStream:
    def test_stream_is_not_refused_or_repeated_by_a_copy(
        self, world, prefix, first, copy_time
    ):
        world.publish(_manifest())
        rows = _engines(world)
        inst = world.instance()
        world.wait_for_layers()
        testbed.until(lambda: inst.follower.view.version == 2, "version 2")
        for row in rows:
            row.first = _FIRST_RESPONSES[first]
            row.copy_time = copy_time
        for number in range(_MAX_CALLS):
            request_id = f"r{number}"
            answer = testbed.call(
                inst,
                f"/{prefix}/x",
                method="POST",
                request_id=request_id,
                deadline_ms=8000,
            )
            runs = _runs(rows, request_id)
            if prefix == "once":
                assert runs <= 1, f"{request_id} ran {runs} times"
            if answer.status in _PROMISES:
                assert not runs, f"{request_id} ran, status {answer.status}"
            if answer.status == 200 and answer.error is None:
                assert testbed.event_ids(answer.body) == list(range(1, 13))
            copies = sum(row.copies_sent for row in rows)
            if number >= 3 and (copies or first not in ("503", "429")):
                break
        if first in ("503", "429"):
            assert copies


class TestResponseWithoutId:
    @pytest.mark.parametrize("stray", ["503", "429", "421", "408-no-id"])
    def test_on_a_kept_connection_it_promises_nothing(self, world, stray):
        rows = _services(world, 1)
        inst = world.instance()
        world.wait_for_targets(*rows)
        rows[0].first = _FIRST_RESPONSES["200"]
        rows[0].stray = _without_id(stray)
        for number in range(2):
            answer = testbed.call(
                inst, "/orders/x", method="POST", request_id=f"r{number}"
            )
        assert rows[0].copies_sent == 1
        assert _runs(rows, "r1") == 1
        assert answer.status == 502

    @pytest.mark.parametrize("stray", ["503", "429", "421"])
    def test_on_a_new_connection_a_refusal_is_heeded(self, world, stray):
        rows = _services(world, 2)
        inst = world.instance()
        world.wait_for_targets(*rows)
        for row in rows:
            row.first = _without_id(stray)
        request_ids = [f"r{number}" for number in range(3)]
        statuses = []
        for request_id in request_ids:
            answer = testbed.call(
                inst, "/orders/x", method="POST", request_id=request_id
            )
            statuses.append(answer.status)
            assert _runs(rows, request_id) == (answer.status == 200)
        assert 200 in statuses


def _entry(address):
    return sources.TargetEntry(
        id=ids.TargetId("e1"),
        service="pool",
        address=address,
        zone=ids.ZoneId("z1"),
        state=sources.TargetState.READY,
    )


class TestCopyBeforeAnOwnCallToAnEngine:
    def test_command_is_not_answered_by_the_copy_of_a_command(
        self, copy_server
    ):
        server = copy_server((202,), (409,))
        calls = engines.EngineCalls(connections.ConnectionPool())
        layers = sources.LayerRange(0, 8)
        results = []
        for _ in range(2):
            results.append(
                calls.place(_entry(server.address), layers, 1, None, _TIMEOUT_S)
            )
        assert results == [
            sources.CommandResult.STARTED,
            sources.CommandResult.CONFLICT,
        ]

    def test_command_is_not_answered_by_the_copy_of_a_report(self, copy_server):
        server = copy_server((200, b"{}"), (412,))
        calls = engines.EngineCalls(connections.ConnectionPool())
        calls.report(server.address, _TIMEOUT_S)
        result = calls.place(
            _entry(server.address),
            sources.LayerRange(0, 8),
            1,
            None,
            _TIMEOUT_S,
        )
        assert result is sources.CommandResult.FENCED

    def test_report_is_not_answered_by_the_copy_of_a_refusal(self, world):
        rows = _services(world, 1)
        inst = world.instance()
        world.wait_for_targets(*rows)
        rows[0].first = _FIRST_RESPONSES["503"]
        testbed.call(inst, "/orders/x", method="POST")
        calls = engines.EngineCalls(inst._pool)
        # A service has no report; it echoes the request's empty body.
        with pytest.raises(exceptions.TargetError, match="decoded"):
            calls.report(rows[0].address, _TIMEOUT_S)
        assert rows[0].copies_sent == 1


class TestPromiseThatTheTargetDidNotMake:
    """Only the header says that a request did not run; a status does not."""

    @pytest.mark.parametrize("status", [408, 429, 503])
    def test_order_that_ran_is_not_answered_with_a_promise(self, world, status):
        rows = _services(world, 1)
        inst = world.instance()
        world.wait_for_targets(*rows)
        rows[0].first = repeatedresponses.FirstResponse(
            status, True, has_run=True
        )
        answer = testbed.call(inst, "/orders/x", method="POST")
        assert rows[0].ran_ids() == ["r1"]
        assert answer.status == 502
        assert "X-Response-Signature" not in answer.headers

    @pytest.mark.parametrize("status", [408, 429, 503])
    def test_stream_that_ran_is_not_answered_with_a_promise(
        self, world, status
    ):
        world.publish(_manifest())
        rows = _engines(world)
        inst = world.instance()
        world.wait_for_layers()
        testbed.until(lambda: inst.follower.view.version == 2, "version 2")
        for row in rows:
            row.first = repeatedresponses.FirstResponse(
                status, True, has_run=True
            )
        answer = testbed.call(inst, "/once/x", method="POST")
        assert _runs(rows, "r1") == 1
        assert answer.status == 502

    def test_view_gets_the_status_of_its_target(self, world):
        rows = _services(world, 1)
        inst = world.instance()
        world.wait_for_targets(*rows)
        rows[0].first = repeatedresponses.FirstResponse(429, True)
        answer = testbed.call(inst, "/views/x")
        assert answer.status == 429
        assert answer.headers["X-Response-Signature"] == "first"


class TestConnectionChoice:
    def test_calls_in_turn_share_one_connection(self, world):
        rows = _services(world, 1)
        inst = world.instance()
        world.wait_for_targets(*rows)
        for number in range(20):
            answer = testbed.call(
                inst, "/orders/x", method="POST", request_id=f"r{number}"
            )
            assert answer.status == 200
        assert rows[0].server.opened == 1

    def test_refused_calls_keep_their_connection(self, world):
        rows = _services(world, 1)
        rows[0].fault = registeredtarget.Fault.REFUSE
        inst = world.instance()
        world.wait_for_targets(*rows)
        for number in range(20):
            answer = testbed.call(
                inst, "/orders/x", method="POST", request_id=f"r{number}"
            )
            assert answer.status == 503
        assert rows[0].server.opened == 1

    def test_id_is_not_sent_twice_over_one_connection(self, world):
        rows = _services(world, 1)
        inst = world.instance()
        world.wait_for_targets(*rows)
        for request_id in ("r1", "r2", "r1"):
            testbed.call(
                inst, "/orders/x", method="POST", request_id=request_id
            )
        assert rows[0].server.opened == 2

    def test_target_that_echoes_no_ids_is_served_on_new_connections(
        self, copy_server
    ):
        server = copy_server((200, b"1"), (200, b"2"))
        pool = connections.ConnectionPool()
        bodies = []
        for request_id in ("r1", "r2"):
            identity = matching.RequestIdentity(b"x-request-id", request_id)
            conn = pool.acquire(server.address, 10.0, _TIMEOUT_S, identity)
            conn.watch(None)
            deadline_s = clocks.boot_s() + _TIMEOUT_S
            conn.send(b"GET", b"/x", [(b"Host", b"x")], b"", deadline_s)
            head = conn.read_head(deadline_s)
            bodies.append(conn.read_body(deadline_s))
            pool.return_to_pool(conn, head)
        assert bodies == [b"1", b"2"]
        assert server.copies_sent == 0


class TestExchangeHistory:
    def test_connection_is_given_up_once_its_ids_fill_the_memory(
        self, monkeypatch
    ):
        monkeypatch.setattr(matching, "_MAX_REMEMBERED_IDS", 3)
        history = matching.ExchangeHistory()
        reusable = []
        for number in range(5):
            history.start(matching.RequestIdentity(b"x-id", f"r{number}"))
            reusable.append(history.is_reusable)
        assert reusable == [True, True, True, False, False]

    def test_id_that_the_target_chose_is_no_copy(self):
        history = matching.ExchangeHistory()
        history.start(matching.RequestIdentity(b"x-id", "r1"))
        history.start(matching.RequestIdentity(b"x-id"))
        own = messages.ResponseHead(200, b"", [(b"X-Id", b"chosen")])
        copy = messages.ResponseHead(503, b"", [(b"X-Id", b"r1")])
        assert history.match(copy) is matching.Match.OTHER
        assert history.match(own) is matching.Match.OWN
