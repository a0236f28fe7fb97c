"""Faults on the prepared platform, checked against the ledgers."""

import threading

from behave import given
from behave import then
from behave import when

from briarfall.standins.prepared import engines as engine_standins
from briarfall.standins.prepared import manifests
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import testbed

_EVENTS = 30
_LAYERS = 8


def _scene(context):
    if not hasattr(context, "scene"):
        context.scene = testbed.World()
        context.add_cleanup(context.scene.close)
    return context.scene


@given("a prepared platform with {count:d} services")
def given_services(context, count):
    scene = _scene(context)
    context.services = [scene.service(f"d{n}") for n in range(count)]


@given('a prepared platform with {count:d} services that "{fault}"')
def given_faulty_services(context, count, fault):
    given_services(context, count)
    for row in context.services:
        row.fault = registeredtarget.Fault(fault)


@given('the first service "{fault}"')
def given_one_faulty(context, fault):
    context.services[0].fault = registeredtarget.Fault(fault)


@given("a prepared platform with {count:d} engines")
def given_engines(context, count):
    scene = _scene(context)
    scene.publish(testbed.tiny_kind_manifest(2))
    kind = "tiny" if count > 6 else "small"
    context.engines = [scene.engine(f"e{n}", kind=kind) for n in range(count)]
    for engine in context.engines:
        engine.events = _EVENTS


@given("a prepared platform with {engines:d} engines and {count:d} services")
def given_both(context, engines, count):
    given_engines(context, engines)
    given_services(context, count)


@given("a gateway instance")
def given_instance(context):
    given_instances(context, 1)


@given("{count:d} gateway instances")
def given_instances(context, count):
    scene = _scene(context)
    context.instances = [scene.instance(f"i{n}") for n in range(count)]
    scene.wait_for_targets(*getattr(context, "services", []))
    scene.wait_for_layers()


@when("a caller places {count:d} orders")
def when_orders(context, count):
    _call_each(context, "order", count, "/orders/new", deadline_ms=800)


def _call_each(context, kind, count, path, **extra) -> None:
    """Sends requests with distinct bodies; stores the responses by name."""
    context.answers = {}
    for number in range(count):
        name = f"{kind}-{number}"
        context.answers[name] = testbed.call(
            context.instances[0],
            path,
            method="POST",
            body=name.encode(),
            request_id=name,
            **extra,
        )


def _runs(context, name) -> int:
    return sum(row.ran_ids().count(name) for row in context.services)


@then("no order ran more than once")
def then_at_most_once(context):
    for name in context.answers:
        assert _runs(context, name) <= 1, name


@then("no order that ran was reported as not run")
def then_truthful(context):
    for name, answer in context.answers.items():
        if answer.status in (408, 421, 429, 503):
            assert _runs(context, name) == 0, name


@then("every success is the complete answer of the service that ran it")
def then_whole(context):
    for name, answer in context.answers.items():
        if answer.status == 200:
            assert answer.body == b"ran:" + name.encode()
            assert answer.headers["X-Request-Id"] == name
            assert _runs(context, name) == 1


@when("a caller asks for {count:d} views")
def when_views(context, count):
    _call_each(context, "view", count, "/views/x")


@then("every view gets a complete answer")
def then_views(context):
    for name, answer in context.answers.items():
        assert answer.status == 200, (name, answer.status)
        assert answer.body == b"ran:" + name.encode()
        assert answer.headers["X-Request-Id"] == name


@given('"{fault}" waits for event {event:d}')
def given_stream_fault(context, fault, event):
    context.fault = fault
    context.resume = threading.Event()
    for engine in context.engines:
        if fault in ("head resets", "head truncates an event"):
            engine.reset_after_event = event
            engine.resets_mid_event = fault == "head truncates an event"
        engine.on_event[event] = threading.Event()
        if "resets" not in fault and "truncates" not in fault:
            engine.resume_events[event] = context.resume
    if fault in ("head resets", "head truncates an event"):
        heads = [row for row in context.engines if row.layers[0] == 0]
        # Only the first head resets; a run on another head completes.
        for engine in heads[1:]:
            engine.reset_after_event = 0
    context.event = event


def _inject_fault(context) -> None:
    """Injects the fault once the stream has reached its event."""
    testbed.until(
        lambda: any(
            engine.on_event[context.event].is_set()
            for engine in context.engines
        ),
        f"event {context.event}",
    )
    head = next(
        engine
        for engine in context.engines
        if engine.on_event[context.event].is_set()
    )
    path = head.paths["stream"]
    if context.fault == "stage becomes unresponsive":
        context.scene.fleet[path[1][0]].become_unresponsive()
    if context.fault == "two stages become unresponsive":
        for address, _, _ in path[1:3]:
            context.scene.fleet[address].become_unresponsive()
    if context.fault == "all but one head die":
        heads = [row for row in context.engines if row.layers[0] == 0]
        others = [row for row in heads if row is not head]
        for engine in [*others[1:], head]:
            engine.close()
    context.resume.set()


@when("a caller asks for a stream")
def when_stream(context):
    injector = threading.Thread(
        target=_inject_fault, args=(context,), daemon=True
    )
    if "head resets" not in context.fault and "truncates" not in context.fault:
        injector.start()
    context.answer = _ask_stream(context, "stream")


def _ask_stream(context, name):
    return testbed.call(
        context.instances[0],
        "/drafts/new",
        method="POST",
        body=b"notes",
        request_id=name,
        deadline_ms=20_000,
        X_Token_Usage="20,20",
    )


@then("the stream is complete")
def then_stream_whole(context):
    assert context.answer.status == 200
    assert context.answer.error is None
    ids = testbed.event_ids(context.answer.body)
    assert ids == list(range(1, _EVENTS + 1))


@then("every layer ran once and in order for each event")
def then_layers(context):
    made = set()
    for engine in context.engines:
        for name, number, path in engine.generated_events:
            assert engine_standins.runs_all_layers(path), path
            if name == "stream":
                made.add(number)
    assert made >= set(range(1, _EVENTS + 1))


@when('"{fault}"')
def when_store_fault(context, fault):
    scene = context.scene
    if fault == "the store refuses every call":
        scene.store.status = 503
    elif fault == "the store resets every call":
        scene.store.status = -1
    elif fault == "the store loses its records":
        scene.store.forget("keyed.op")
    elif fault == "a manifest cannot be read":
        scene.store.put("keyed.op", "config", b"\xff{no manifest")
    elif fault == "a lower version is published":
        scene.publish(testbed.manifest(9))
        testbed.until(
            lambda: context.instances[0].follower.view.version == 9,
            "version 9 is in force",
        )
        scene.publish(testbed.manifest(4))
    else:
        assert fault == "nothing is wrong"


@when("the operator revokes the key")
def when_key_is_taken(context):
    context.scene.publish(testbed.manifest(10, keys=("key-2",)))


@then("the key is refused on time and no later call runs")
def then_key_refused(context):
    inst = context.instances[0]
    # A view that no source has confirmed in time no longer accepts keys.
    testbed.until(
        lambda: testbed.call(inst, "/views/x").status in (401, 503),
        "the key is refused",
    )
    ran = sum(len(row.ran) for row in context.services)
    for number in range(3):
        answer = testbed.call(inst, "/views/x", request_id=f"late{number}")
        assert answer.status in (401, 503)
    assert sum(len(row.ran) for row in context.services) == ran
    assert inst.follower.view.version in (1, 10)


@when('"{fault}" happens to the placement')
def when_placement_fault(context, fault):
    scene = context.scene
    engine = context.engines[0]
    if fault == "a command's response is lost":
        engine.loses_command_responses = True
        _restart(engine)
    elif fault == "an engine restarts empty":
        _restart(engine)
    elif fault == "the placement controller ends":
        placers = [row for row in context.instances if row.lease.is_held]
        for inst in placers:
            inst.close()
        context.instances = [
            row for row in context.instances if row not in placers
        ]
        _restart(engine)
    else:
        assert fault == "the store is unavailable for a while"
        scene.store.status = 503
        testbed.until(
            lambda: all(
                row.follower.is_source_lost for row in context.instances
            ),
            "all instances have lost the store",
        )
        scene.store.status = 0
        _restart(engine)


def _restart(engine) -> None:
    """Restarts an engine without layers."""
    engine.layers = None
    engine.fence = 0
    engine.register(born=2)


@then("every layer is held again")
def then_layers_held(context):
    testbed.until(
        lambda: all(row.layers is not None for row in context.engines),
        "every engine has layers",
    )
    held = set()
    for engine in context.engines:
        held.update(range(*engine.layers))
    assert held == set(range(_LAYERS))


@then("no engine holds more layers than fit")
def then_fits(context):
    sizes = {
        row["name"]: row["mb"] / manifests.ENGINE["layer_mb"]
        for row in manifests.ENGINE["kinds"]
    }
    for engine in context.engines:
        for order in engine.commands:
            if order["op"] == "place":
                size = order["target"] - order["from"]
                assert size <= sizes[engine.kind]


@when('"{fault}" and an instance starts')
def when_start(context, fault):
    scene = context.scene
    if fault == "the store refuses calls":
        scene.store.status = 503
    elif fault == "the store resets calls":
        scene.store.status = -1
    else:
        scene.store.put("keyed.servers", "bad", b"\xff")
    context.instances = [scene.starting_instance("i0")]
    if scene.store.status:
        answer = testbed.call(context.instances[0], "/views/x")
        assert answer.status == 503
        assert float(answer.headers["Retry-After"]) > 0
        scene.store.status = 0


@then("it serves as soon as the fault has passed")
def then_serves(context):
    inst = context.instances[0]
    testbed.until(lambda: inst.is_ready, "the instance is ready")
    assert testbed.call(inst, "/views/x").status == 200


@given('"{work}" in progress')
def given_work(context, work):
    context.results = {}
    threads = []
    if work == "an order":
        for row in context.services:
            row.fault = registeredtarget.Fault.HANG
        threads.append(threading.Thread(target=_order, args=(context,)))
    else:
        count = 5 if work == "5 streams" else 1
        for number in range(count):
            name = f"stream-{number}"
            threads.append(
                threading.Thread(target=_keep_stream, args=(context, name))
            )
    for thread in threads:
        thread.start()
    context.work = threads
    inst = context.instances[0]
    testbed.until(
        lambda: inst.open_connections == len(threads), "all work is in flight"
    )


def _order(context) -> None:
    context.results["order"] = testbed.call(
        context.instances[0],
        "/orders/new",
        method="POST",
        body=b"x",
        deadline_ms=900,
    )


def _keep_stream(context, name) -> None:
    context.results[name] = _ask_stream(context, name)


@when("the instance is asked to stop")
def when_stop(context):
    inst = context.instances[0]
    inst.stop.request()
    context.stopper = threading.Thread(target=inst.wait_for_stop)
    context.stopper.start()
    assert not inst.is_ready


@then("the work completes")
def then_work_whole(context):
    for thread in context.work:
        thread.join(testbed.WAIT_S)
    assert len(context.results) == len(context.work)
    for name, answer in context.results.items():
        if name == "order":
            # The service never responds: an unknown outcome, reported in time.
            assert answer.status == 504
            continue
        assert answer.error is None
        ids = testbed.event_ids(answer.body)
        assert ids == list(range(1, _EVENTS + 1))


@then("the instance stops in time")
def then_ends(context):
    context.stopper.join(testbed.WAIT_S)
    assert not context.stopper.is_alive()
    assert context.instances[0].open_connections == 0
