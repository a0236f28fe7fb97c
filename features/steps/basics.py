import json
import threading

from behave import given
from behave import then
from behave import when
from features import world as worlds


@given("a platform with {count:d} instances")
def given_platform(context, count):
    context.world.start(count)


@given("callers that ask for drafts all the time")
def given_callers(context):
    context.stopping = threading.Event()
    w = context.world

    def ask(number):
        while not context.stopping.is_set():
            w.draft(first=number % 3).wait()

    context.callers = [
        threading.Thread(target=ask, args=(i,), daemon=True) for i in range(6)
    ]
    for thread in context.callers:
        thread.start()


@given("{drafts:d} drafts and {orders:d} orders in progress at instance 0")
def given_work(context, drafts, orders):
    w = context.world
    held = threading.Event()
    ran = threading.Semaphore(0)

    def hold(key):
        ran.release()
        held.wait(10)

    for target in w.platform.orders:
        target.on_run = hold
    context.order_threads = [
        threading.Thread(
            target=w.order, kwargs={"deadline_ms": 20_000}, daemon=True
        )
        for _ in range(orders)
    ]
    for thread in context.order_threads:
        thread.start()
    for number in range(orders):
        assert ran.acquire(timeout=10), (
            f"order {number + 1} of {orders} did not reach its application"
        )
    # Orders are held, drafts are not: started first, they could be over by now.
    for _ in range(drafts):
        w.draft(tokens=60)
    inst = w.platform.instances[0]
    counts = []

    def are_in_progress():
        counts.append(inst.in_flight_requests.count)
        return counts[-1] == drafts + orders

    assert worlds.wait_until(are_in_progress), (
        f"{inst.in_flight_requests.count} requests in progress, expected "
        f"{drafts} drafts and {orders} orders; most at once "
        f"{max(counts)}, ended drafts "
        f"{[draft.result for draft in w.drafts if draft.result]}"
    )
    context.held = held


@given("a long draft in progress")
def given_long_draft(context):
    w = context.world
    url = w.platform.instances[0].caller_url
    body = {
        "model": "draft",
        "prompt": "a long report",
        "max_tokens": 2000,
        "stream": True,
    }
    context.resp = w.http.request(
        "POST",
        f"{url}/v1/completions",
        body=json.dumps(body),
        headers={"Authorization": "Bearer tuvatu-key"},
        preload_content=False,
    )
    context.resp.read1(100)
    (context.stream,) = w.platform.fleet.ledger.streams()


@when("a caller asks for a draft")
def when_draft(context):
    context.world.draft().wait()


@when("{count:d} callers ask for drafts through all instances")
def when_drafts(context, count):
    w = context.world
    for number in range(count):
        client = ("tuvatu", "statens")[number % 2]
        w.draft(first=number % 3, client=client)


@when("an order is sent")
def when_order(context):
    context.world.order()


@when("an order is sent through every instance with the same key")
def when_order_everywhere(context):
    w = context.world
    key = None
    for number in range(len(w.platform.instances)):
        w.order(key, instance=number)
        key = w.keys[0]


@when("its key is sent with another body")
def when_other_body(context):
    w = context.world
    w.order(w.keys[0], body=b'{"other": 1}', instance=1)


@when("an order is sent without a key")
def when_no_key(context):
    context.world.order(key="", **{"Idempotency-Key": ""})


@when("an operator lowers the maximum answer length to {count:d} tokens")
def when_edit(context, count):
    w = context.world
    state = json.loads(w.admin("GET", "/catalogue/draft").data)
    state["value"]["limits"]["max_tokens"] = count
    body = {
        "if_version": state["version"],
        "reason": "test",
        "value": state["value"],
    }
    context.edit = w.admin("PUT", "/catalogue/draft", body, instance=1)


@when('target "{target}" is marked as draining in the catalogue')
def when_draining(context, target):
    context.world.drain_target(target)


@when("instance 0 is asked to stop")
def when_stop(context):
    resp = context.world.admin("POST", "/drain")
    assert resp.status == 200


@when("its caller closes the connection")
def when_caller_leaves(context):
    context.resp.close()


@then("every draft is complete")
def then_whole(context):
    if hasattr(context, "stopping"):
        context.stopping.set()
        for thread in context.callers:
            thread.join(30)
    for draft in context.world.drafts:
        result = draft.wait()
        assert draft.is_complete(), (
            f"{result.code} after {result.tokens} tokens"
        )


@then("every layer ran once per token and in order")
def then_layers(context):
    context.world.check_ledger()


@then("every reply is the same")
def then_same(context):
    bodies = {resp.data for _, resp in context.world.replies}
    assert len(bodies) == 1, bodies


@then("the order ran once")
def then_once(context):
    w = context.world
    assert w.platform.order_ledger.runs[w.keys[0]] == 1


@then('the last reply has code "{code}"')
def then_code(context, code):
    _, resp = context.world.replies[-1]
    assert json.loads(resp.data)["error"]["code"] == code, resp.data


@then("the edit is in force on {applied:d} of {count:d} instances")
def then_in_force(context, applied, count):
    assert context.edit.status == 200, context.edit.data
    result = json.loads(context.edit.data)
    assert (result["in_force"], result["instances"]) == (applied, count)


@then('a draft of {count:d} tokens is refused with "{code}" everywhere')
def then_refused(context, count, code):
    w = context.world
    for number in range(len(w.platform.instances)):
        result = w.draft(tokens=count, first=number).wait()
        assert result.code == code, result.code


@then('no instance that knows this gives new work to "{target}"')
def then_no_work(context, target):
    starts = context.world.platform.fleet.ledger.starts
    w = context.world
    assert worlds.wait_until(lambda: w.all_see_draining(target))
    # Streams planned before the instances knew may still be in flight.
    planned = {id(draft) for draft in w.drafts}
    assert worlds.wait_until(
        lambda: all(a.result for a in w.drafts if id(a) in planned)
    )
    before = len(starts[target])
    drafts = len(context.world.drafts)
    assert worlds.wait_until(lambda: len(context.world.drafts) > drafts + 20)
    assert len(starts[target]) == before


@then("instance 0 finishes its work")
def then_finishes(context):
    context.held.set()
    inst = context.world.platform.instances[0]
    assert inst.wait_stopped(30)


@then("every order was answered")
def then_answered(context):
    for thread in context.order_threads:
        thread.join(30)
    for _, resp in context.world.replies:
        assert resp is not None and resp.status == 201, resp


@then("no engine works on its draft any more")
def then_no_engine(context):
    fleet = context.world.platform.fleet
    assert worlds.wait_until(lambda: context.stream not in fleet.running())
    ran = len(fleet.ledger.generated_tokens(context.stream))
    assert ran < 2000, "the whole answer was generated"
