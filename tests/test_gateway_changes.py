"""Changes of the catalogue, targets and settings beside running requests."""

import socket
import threading

import pytest

from briarfall import ids
from briarfall import settings
from briarfall.gateway.calls import callers
from briarfall.gateway.exchanges import targetconnection
from briarfall.gateway.instance import config
from briarfall.standins.prepared import rawcaller
from briarfall.standins.prepared import testbed

COMPLETE = rawcaller.Ending.COMPLETE


def _move_routes(value: dict) -> None:
    for route in value["routes"]:
        route["service"] = "other"


def _split_routes(value: dict) -> None:
    for route in value["routes"]:
        route["backends"] = [
            {"service": "other", "weight": 1},
            {"service": route["service"], "weight": 0},
        ]


def _set_timeouts(value: dict, timeout_ms: float) -> None:
    for route in value["routes"]:
        route["timeout_ms"] = timeout_ms


def _set_priority(value: dict) -> None:
    value["tenants"][0]["priority"] = 9


def _remove_keys(value: dict) -> None:
    value["tenants"] = []


def _shrink_limits(value: dict) -> None:
    for name in value["limits"]:
        value["limits"][name] = 1


CHANGES = {
    "routes_moved": _move_routes,
    "routes_split": _split_routes,
    "routes_removed": lambda value: value.update(routes=[]),
    "services_removed": lambda value: value.update(services=[]),
    "timeouts_shortened": lambda value: _set_timeouts(value, 1),
    "timeouts_lengthened": lambda value: _set_timeouts(value, 60_000),
    "priority": _set_priority,
    "keys_removed": _remove_keys,
    "limits_shrunk": _shrink_limits,
}


def _publish(world, inst, version: int, *changes) -> None:
    value = testbed.manifest(version)
    for change in changes:
        change(value)
    world.publish(value)
    testbed.until(
        lambda: inst.follower.view.version == version, f"version {version}"
    )


def _drain(_, target) -> None:
    target.start_draining()


def _remove(_, target) -> None:
    target.remove()


def _replace(world, target) -> None:
    """Lists a target of another service at the address of this one."""
    target.remove()
    target.service = "other"
    target.id = "d9"
    target.register()


def _restart_entry(_, target) -> None:
    target.incarnation += 1
    target.register()


TARGET_CHANGES = (_drain, _remove, _replace, _restart_entry)


def _wait_for_change(inst, target_id: str) -> None:
    """Waits until the entry is gone or no longer the first one."""

    def is_changed() -> bool:
        row = inst.targets.get(target_id)
        if row is None or not row.accepts_requests:
            return True
        return row.entry.started_ms != 1

    testbed.until(is_changed, f"{target_id} has changed")


@pytest.fixture
def desk(world):
    return world.scripted("d1")


@pytest.fixture
def inst(world, desk):
    found = world.instance()
    world.wait_for_targets(desk)
    return found


@pytest.fixture(params=["/views/x", "/orders/x"])
def waiting(inst, desk, request):
    """A caller whose request waits for the head of a target's response."""
    desk.resume.clear()
    caller = rawcaller.RawCaller(inst.caller_address)
    caller.send(
        rawcaller.request(
            request.param, method="POST", headers={"X-Deadline-Ms": "20000"}
        )
    )
    testbed.until(lambda: desk.arrivals, "the request has arrived")
    yield caller
    desk.resume.set()
    caller.close()


class TestCallThatWaitsForItsHead:
    """A request keeps the route, the service and the limits of its start."""

    @pytest.mark.parametrize("name", CHANGES)
    def test_change_of_the_catalogue_leaves_it_alone(
        self, world, inst, desk, waiting, name
    ):
        _publish(world, inst, 2, CHANGES[name])
        desk.resume.set()
        answer = waiting.read(b"POST")
        assert (answer.ending, answer.body) == (COMPLETE, b"ran")

    def test_quick_changes_leave_it_alone(self, world, inst, desk, waiting):
        for version, name in enumerate(CHANGES, 2):
            _publish(world, inst, version, CHANGES[name])
        desk.resume.set()
        answer = waiting.read(b"POST")
        assert (answer.ending, answer.body) == (COMPLETE, b"ran")

    @pytest.mark.parametrize("change", TARGET_CHANGES)
    def test_change_of_its_target_leaves_it_alone(
        self, world, inst, desk, waiting, change
    ):
        change(world, desk)
        _wait_for_change(inst, "d1")
        desk.resume.set()
        answer = waiting.read(b"POST")
        assert (answer.ending, answer.body) == (COMPLETE, b"ran")

    def test_changed_settings_leave_it_alone(self, world, inst, desk, waiting):
        local = settings.Listener("127.0.0.1", 0)
        inst.reload(
            config.GatewaySettings(
                instance=ids.InstanceId("i1"),
                zone=ids.ZoneId("z1"),
                caller=local,
                status=local,
                peer=local,
                store_address=world.store.address,
                key_ttl_s=0.001,
                leaving_bound_s=0.1,
                drain_grace_s=0.0,
            )
        )
        desk.resume.set()
        answer = waiting.read(b"POST")
        assert (answer.ending, answer.body) == (COMPLETE, b"ran")


class TestCallBeforeAndBetweenTargets:
    """Changes during an upload, and between two attempts."""

    @pytest.mark.parametrize("name", CHANGES)
    def test_upload_that_a_change_meets_is_answered(
        self, world, inst, desk, name, monkeypatch
    ):
        has_read_head = threading.Event()
        receive = callers.CallerConnection._receive

        def record(conn, deadline_s, has_head):
            if has_head:
                has_read_head.set()
            return receive(conn, deadline_s, has_head)

        monkeypatch.setattr(callers.CallerConnection, "_receive", record)
        data = rawcaller.request("/views/x", method="POST", body=b"a" * 40_000)
        caller = rawcaller.RawCaller(inst.caller_address)
        caller.send(data[:-20_000])
        # The limits of the request are those under which its head is read.
        assert has_read_head.wait(testbed.WAIT_S)
        _publish(world, inst, 2, CHANGES[name])
        caller.send(data[-20_000:])
        answer = caller.read(b"POST")
        caller.close()
        assert answer.ending is COMPLETE
        if name in ("limits_shrunk", "priority", "timeouts_lengthened"):
            assert (answer.status, answer.body) == (200, b"ran")

    @pytest.mark.parametrize("name", CHANGES)
    def test_call_whose_first_target_breaks_off_is_served_by_the_second(
        self, world, inst, desk, name
    ):
        other = world.scripted("d2")
        world.wait_for_targets(other)
        rows = [desk, other]
        for row in rows:
            row.resume.clear()
        caller = rawcaller.RawCaller(inst.caller_address)
        caller.send(
            rawcaller.request("/views/x", headers={"X-Deadline-Ms": "20000"})
        )
        testbed.until(
            lambda: any(row.arrivals for row in rows), "it has arrived"
        )
        first = desk if desk.arrivals else other
        first.script = b""
        _publish(world, inst, 2, CHANGES[name])
        for row in rows:
            row.resume.set()
        answer = caller.read()
        caller.close()
        assert (answer.ending, answer.body) == (COMPLETE, b"ran")
        assert [len(row.ran) for row in rows] == [1, 1]


class TestStreamThatWaitsForAChain:
    @pytest.mark.parametrize("name", CHANGES)
    def test_stream_is_served_once_an_engine_appears(
        self, world, monkeypatch, name
    ):
        waiting = threading.Event()
        pause = targetconnection.CallerWatch.pause

        def record(self, seconds):
            waiting.set()
            pause(self, seconds)

        monkeypatch.setattr(targetconnection.CallerWatch, "pause", record)
        inst = world.instance()

        def wait_long(value: dict) -> None:
            value["routes"][2]["slo_ms"] = 100_000

        _publish(world, inst, 2, wait_long)
        caller = rawcaller.RawCaller(inst.caller_address)
        caller.send(
            rawcaller.request(
                "/drafts/x", method="POST", headers={"X-Deadline-Ms": "20000"}
            )
        )
        assert waiting.wait(testbed.WAIT_S)
        _publish(world, inst, 3, CHANGES[name])
        engine = world.engine("e1", kind="large")
        engine.layers = (0, 8)
        engine.register()
        answer = caller.read(b"POST")
        caller.close()
        assert (answer.ending, answer.status) == (COMPLETE, 200)


@pytest.fixture
def engine(world):
    found = world.engine("e1", kind="large")
    found.events = 8
    found.on_event[3] = threading.Event()
    found.resume_events[3] = threading.Event()
    return found


@pytest.fixture
def streaming(world, engine):
    """An instance and a caller in the middle of a stream, after event 3."""
    inst = world.instance("i2")
    world.wait_for_layers()
    caller = rawcaller.RawCaller(inst.caller_address)
    caller.send(
        rawcaller.request(
            "/drafts/x", method="POST", headers={"X-Deadline-Ms": "20000"}
        )
    )
    assert engine.on_event[3].wait(testbed.WAIT_S)
    yield inst, caller
    engine.resume_events[3].set()
    caller.close()


class TestStreamBetweenTwoEvents:
    """A stream keeps the route, the service and the limits of its start."""

    @pytest.mark.parametrize("name", CHANGES)
    def test_change_of_the_catalogue_leaves_it_alone(
        self, world, engine, streaming, name
    ):
        inst, caller = streaming
        _publish(world, inst, 2, CHANGES[name])
        engine.resume_events[3].set()
        answer = caller.read(b"POST")
        assert answer.ending is COMPLETE
        assert testbed.event_ids(answer.body) == list(range(1, 9))

    @pytest.mark.parametrize("change", TARGET_CHANGES)
    def test_change_of_its_engine_leaves_it_alone(
        self, world, engine, streaming, change
    ):
        inst, caller = streaming
        change(world, engine)
        _wait_for_change(inst, "e1")
        engine.resume_events[3].set()
        answer = caller.read(b"POST")
        assert answer.ending is COMPLETE
        assert testbed.event_ids(answer.body) == list(range(1, 9))


class TestOddCatalogue:
    """Valid catalogues with odd values."""

    @pytest.mark.parametrize(
        "backends",
        [
            None,
            [
                {"service": "desk", "weight": 0},
                {"service": "other", "weight": 0},
            ],
            [
                {"service": "desk", "weight": -1},
                {"service": "other", "weight": 0},
            ],
        ],
        ids=["none", "zero", "negative"],
    )
    def test_route_without_a_service_refuses_its_requests(
        self, world, inst, backends
    ):
        routes = [testbed.route("views", "/views/", "idempotent", "desk")]
        routes[0]["backends"] = backends
        del routes[0]["service"]
        _publish(world, inst, 2, lambda value: value.update(routes=routes))
        answer = rawcaller.exchange(inst, rawcaller.request("/views/x"))
        assert (answer.ending, answer.status) == (COMPLETE, 503)

    @pytest.mark.parametrize("timeout_ms", [0, -1, 3e9, 1e15, 1e300])
    def test_odd_timeout_of_a_route(self, world, inst, timeout_ms):
        _publish(world, inst, 2, lambda value: _set_timeouts(value, timeout_ms))
        for path in ("/views/x", "/orders/x"):
            answer = rawcaller.exchange(
                inst,
                rawcaller.request(path, headers={"X-Deadline-Ms": "1e300"}),
            )
            assert answer.ending is COMPLETE
            assert answer.status == (200 if timeout_ms > 1 else 503)

    @pytest.mark.parametrize("value", [0, -1, 1e15])
    @pytest.mark.parametrize("name", ["header_timeout_ms", "idle_timeout_ms"])
    def test_odd_limit_of_a_time_leaves_requests_served(
        self, world, inst, name, value
    ):
        _publish(
            world, inst, 2, lambda found: found["limits"].update({name: value})
        )
        answer = rawcaller.exchange(inst, rawcaller.request("/views/x"))
        assert (answer.ending, answer.status) == (COMPLETE, 200)

    def test_empty_catalogue_answers(self, world, inst):
        world.publish({"version": 2, "routes": []})
        testbed.until(lambda: inst.follower.view.version == 2, "version 2")
        answer = rawcaller.exchange(inst, rawcaller.request("/views/x"))
        assert (answer.ending, answer.status) == (COMPLETE, 404)


class TestKeptConnection:
    """Connections of callers that stay open over several requests."""

    def test_larger_limits_hold_for_its_next_request(self, world, inst, desk):
        caller = rawcaller.RawCaller(inst.caller_address)
        caller.send(rawcaller.request("/views/x"))
        assert caller.read().status == 200
        _publish(
            world,
            inst,
            2,
            lambda value: value["limits"].update(
                max_body_bytes=200_000, max_header_bytes=40_000
            ),
        )
        body = b"a" * 100_000
        caller.send(rawcaller.request("/views/x", method="POST", body=body))
        assert caller.read(b"POST").status == 200
        assert desk.ran[-1].body == body
        headers = {"X-Odd": "a" * 20_000}
        caller.send(rawcaller.request("/views/x", headers=headers))
        assert caller.read().status == 200
        caller.close()

    def test_pipelined_request_outlives_a_change(self, world, inst, desk):
        desk.resume.clear()
        caller = rawcaller.RawCaller(inst.caller_address)
        caller.send(rawcaller.request("/views/x") * 2)
        testbed.until(lambda: desk.arrivals, "the request has arrived")
        _publish(world, inst, 2, _shrink_limits)
        desk.resume.set()
        assert caller.read().body == b"ran"
        assert caller.read().ending is COMPLETE
        caller.close()

    @pytest.mark.parametrize("sent", [1, 40, 180], ids=lambda n: f"sent{n}")
    @pytest.mark.parametrize("limits", ["larger", "smaller"])
    def test_request_that_has_half_arrived_outlives_new_limits(
        self, world, inst, desk, limits, sent
    ):
        first = rawcaller.request("/views/x")
        second = rawcaller.request(
            "/orders/x",
            method="POST",
            body=b"a" * 60,
            headers={"X-Request-Id": "r2"},
        )
        caller = rawcaller.RawCaller(inst.caller_address)
        desk.resume.clear()
        caller.send(first + second[:sent])
        testbed.until(lambda: desk.ran, "the first request runs")
        value = testbed.manifest(2)
        size = 200_000 if limits == "larger" else 4096
        value["limits"]["max_header_bytes"] = size
        value["limits"]["max_body_bytes"] = size
        world.publish(value)
        testbed.until(lambda: inst.follower.view.version == 2, "version 2")
        desk.resume.set()
        assert caller.read().status == 200
        world.publish({**value, "version": 3})
        testbed.until(lambda: inst.follower.view.version == 3, "version 3")
        caller.send(second[sent:])
        answer = caller.read(b"POST")
        caller.close()
        assert answer.ending is COMPLETE
        assert (answer.status, answer.body) == (200, b"ran")
        assert desk.ran[-1].body == b"a" * 60

    def test_answer_arrives_though_a_request_follows_the_last_one(
        self, inst, desk
    ):
        desk.resume.clear()
        caller = rawcaller.RawCaller(inst.caller_address)
        data = rawcaller.request("/views/x", headers={"Connection": "close"})
        caller.send(data)
        testbed.until(lambda: desk.arrivals, "the request has arrived")
        caller.send(data)
        desk.resume.set()
        answer = caller.read()
        assert (answer.ending, answer.body) == (COMPLETE, b"ran")
        assert caller.sock.recv(1) == b""
        caller.close()


class TestCallerWatch:
    """Detection of callers that close their connection."""

    @pytest.fixture
    def pair(self):
        listener = socket.create_server(("127.0.0.1", 0))
        caller = socket.create_connection(listener.getsockname())
        served, _ = listener.accept()
        yield caller, served
        for sock in (listener, caller, served):
            sock.close()

    def test_next_request_is_no_close(self, pair):
        caller, served = pair
        watch = targetconnection.CallerWatch(served)
        caller.sendall(b"GET")
        for _ in range(3):
            watch.pause(0.01)

    def test_close_after_the_next_request_is_seen(self, pair):
        caller, served = pair
        watch = targetconnection.CallerWatch(served)
        caller.sendall(b"GET")
        watch.pause(testbed.WAIT_S)
        caller.close()
        with pytest.raises(targetconnection.CallerGoneError):
            watch.pause(testbed.WAIT_S)
