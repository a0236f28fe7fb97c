"""Status signals of targets, and requests that crash targets."""

from behave import given
from behave import then
from behave import when

from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import testbed

_RETRY_AFTER_S = "60"
_CRASHES = 3
# The platform's limit on attempts after the third crash.
_MAX_LATER = 3
_DRAFT_MS = 8000


@given("{count:d} services signal that they are draining")
def given_draining(context, count):
    context.concerned = context.services[:count]
    for row in context.concerned:
        row.signals_draining = True


@given("{count:d} services ask for a backoff of 60 s")
def given_backoff(context, count):
    context.concerned = context.services[:count]
    for row in context.concerned:
        _request_backoff(row)


def _request_backoff(row) -> None:
    row.fault = registeredtarget.Fault.REFUSE
    row.retry_after = _RETRY_AFTER_S


@given('all but one head engine signal "{notice}"')
def given_signal_of_heads(context, notice):
    heads = [row for row in context.engines if row.layers[0] == 0]
    context.concerned = heads[:-1]
    for row in context.concerned:
        if notice == "draining":
            row.signals_draining = True
        else:
            _request_backoff(row)


@given('the store "{state}"')
def given_store(context, state):
    if state == "answers":
        return
    context.scene.store.status = 503
    for inst in context.instances:
        testbed.until(
            lambda inst=inst: not inst.peers.reaches_store,
            "the store is known to be unreachable",
        )


@given("the services crash and restart when they run a call")
def given_crashing(context):
    for row in context.services:
        row.fault = registeredtarget.Fault.CRASH_AND_RESTART


@when("a caller sends {count:d} calls by {method}")
def when_calls(context, count, method):
    context.answers = []
    for number in range(count):
        context.answers.append(_call(context.instances[0], method, number))


def _call(inst, method, number):
    path = "/views/x" if method == "GET" else "/orders/x"
    return testbed.call(inst, path, method=method, request_id=f"r{number}")


@when("a caller asks for {count:d} streams in turn")
def when_streams(context, count):
    context.answers = []
    for number in range(count):
        answer = testbed.call(
            context.instances[0],
            "/drafts/x",
            method="POST",
            request_id=f"r{number}",
            deadline_ms=_DRAFT_MS,
        )
        context.answers.append(answer)


@when("a caller sends the same call by {method} {count:d} times to each")
def when_poison(context, method, count):
    context.method = method
    number = 0
    for _ in range(count):
        for inst in context.instances:
            _call(inst, method, number)
            number += 1
            _wait_until_reported(context)


def _wait_until_reported(context) -> None:
    """Waits until all instances know the newest incarnations and crashes."""
    crashed = sum(len(row.crashed_s) for row in context.services)
    for inst in context.instances:
        for row in context.services:
            testbed.until(
                lambda inst=inst, row=row: (
                    inst.targets.get(row.id).entry.started_ms == row.incarnation
                ),
                f"the new incarnation of {row.id} is known",
            )
        testbed.until(
            lambda inst=inst: (
                sum(inst.crashes.origins().values()) >= min(crashed, _CRASHES)
            ),
            "the crashes are known",
        )


@then("no service got a request after it signalled that it is draining")
@then("each of these services got one request at most")
@then("each of these engines got one request at most")
def then_one_at_most(context):
    for row in context.concerned:
        assert len(row.arrivals) <= 1, (row.id, len(row.arrivals))


@then("with {count:d} of 3 services draining, calls fail only if none is left")
@then(
    "with {count:d} of 3 services in backoff, calls fail only if none is left"
)
def then_served(context, count):
    statuses = [row.status for row in context.answers]
    if count < 3:
        assert statuses == [200] * len(statuses), statuses
        return
    assert statuses[-1] == 503, statuses


@then("a refusal gives the remaining backoff")
def then_truthful(context):
    for row in context.answers:
        if row.status != 503:
            continue
        if sum(len(desk.arrivals) for desk in context.concerned) == 3:
            assert float(row.headers["Retry-After"]) > 0
    last = context.answers[-1]
    if last.status == 503:
        assert float(last.headers["Retry-After"]) > 50


@then("all streams are complete")
def then_whole_streams(context):
    for row in context.answers:
        assert testbed.event_ids(row.body) == list(range(1, 31))


@then("no more than 3 attempts followed the third crash")
def then_few_sends(context):
    crashed = sum(len(row.crashed_s) for row in context.services)
    assert crashed <= _CRASHES + _MAX_LATER, crashed


@then("the call is refused from then on")
def then_refused(context):
    before = sum(len(row.arrivals) for row in context.services)
    for number, inst in enumerate(context.instances):
        answer = _call(inst, context.method, f"late-{number}")
        assert answer.status == 502
        assert answer.body.startswith(b"[poison_request]")
    assert sum(len(row.arrivals) for row in context.services) == before
