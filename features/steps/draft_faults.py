import threading

from behave import given
from behave import then
from behave import when
from features import world as worlds

from briarfall.standins import fleet


class Fault:
    """Injects faults into the route of the first draft at a step."""

    def __init__(self, context, name):
        self.world = context.world
        self.name = name
        self.happened = threading.Event()

    def act(self, call):
        for fault_name in self.name.split(" and "):
            getattr(self, "_" + fault_name.replace(" ", "_"))(call)
        self.happened.set()

    def _fleet(self):
        return self.world.platform.fleet

    def _background(self, action, *args):
        threading.Thread(target=action, args=args, daemon=True).start()

    def _head_dies(self, call):
        self._fleet().kill(call.route[0].target)

    def _last_stage_dies(self, call):
        self._fleet().kill(call.route[-1].target)

    def _other_stage_dies(self, call):
        self._fleet().kill(call.route[0].target)

    def _both_stages_die(self, call):
        self._head_dies(call)
        self._last_stage_dies(call)

    def _its_replacement(self, call):
        index = 0 if self.name.startswith("head") else -1
        self._fleet().add_step_hook(
            fleet.Step.LAST_TOKEN,
            lambda again: self._fleet().kill(again.route[index].target),
        )

    def _its_replacement_at_once(self, call):
        self._fleet().add_step_hook(
            fleet.Step.PREFILL,
            lambda again: self._fleet().kill(again.route[-1].target),
        )

    def _head_stalls(self, call):
        self._fleet().stall(call.route[0].target)

    def _last_stage_stalls(self, call):
        self._fleet().stall(call.route[-1].target)

    def _engine_answers_late(self, call):
        target = call.route[-1].target
        self._fleet().stall(target)
        self._fleet().add_step_hook(
            fleet.Step.LAST_TOKEN, lambda again: self._fleet().revive(target)
        )

    def _zones(self, call):
        engines = self._fleet().engines
        return [engines[hop.target].spec.zone for hop in call.route]

    def _link_is_cut(self, call):
        first, last = self._zones(call)[0], self._zones(call)[-1]
        self._fleet().links.cut(first, last)

    def _link_slows_tenfold(self, call):
        first, last = self._zones(call)[0], self._zones(call)[-1]
        self._fleet().links.degrade(first, last, 10.0)

    def _stale_tokens(self, call):
        self._fleet().stale_events = True

    def _log_is_down(self, call):
        self.world.platform.log.fault_injector.set(down=True)

    def _log_is_slow(self, call):
        self.world.platform.log.fault_injector.set(slow_s=0.5)

    def _list_is_down(self, call):
        self.world.platform.instance_list.fault_injector.set(down=True)

    def _instance_dies(self, call):
        self._background(self.world.platform.instances[0].kill)

    def _other_instance_dies(self, call):
        self._background(self.world.platform.instances[1].kill)

    def _instance_joins(self, call):
        self._background(self.world.platform.add_instance)

    def _entry_is_edited(self, call):
        self.world.put_model(default_class="batch")

    def _target_leaves(self, call):
        self.world.drain_target(call.route[-1].target)


def _planned_call(context):
    """Returns a call with the route that the next draft would take."""
    from briarfall.adapters import engine
    from briarfall.pipelines import policies

    inst = context.world.platform.instances[0]
    model = inst.view().values["draft"]
    route = inst.planner.plan(policies.RouteRequest(model))
    return engine.GenerateCall("", 1, "", [], 1, 0, 0, 0, route)


@given('the fault "{name}" waits for the step "{step}"')
def given_fault(context, name, step):
    context.fault = Fault(context, name)
    if step == "plan":
        context.fault.act(_planned_call(context))
        return
    context.world.platform.fleet.add_step_hook(
        fleet.Step(step), context.fault.act
    )


@given('engines that crash on the word "{word}" and restart')
def given_crashing(context, word):
    engine_fleet = context.world.platform.fleet
    engine_fleet.restart_s = 0.3
    for engine in engine_fleet.engines.values():
        engine.crash_on = word


@given("other drafts that share the engines")
def given_innocents(context):
    w = context.world
    for number in range(10):
        w.draft(tokens=100, first=number % 2)
    engine_fleet = w.platform.fleet
    assert worlds.wait_until(lambda: len(engine_fleet.ledger.streams()) == 10)


@when("a caller sends a poison request {way}")
def when_poison(context, way):
    w = context.world
    count = 1 if way == "once" else 4
    context.codes = []
    for number in range(count):
        first = number % 2 if "in turn" in way else 0
        draft = worlds.BackgroundDraft(
            w.session(first), "a poison prompt", 1, worlds.TOKENS
        )
        context.codes.append(draft.wait().code)


def _send_numbered(context, text, number, first=0):
    return worlds.BackgroundDraft(
        context.world.session(first),
        f"{text}, number {number}",
        1,
        worlds.TOKENS,
    )


@when("a caller sends {count:d} different requests with that word")
def when_different_poison(context, count):
    for number in range(count):
        _send_numbered(context, "a poison prompt", number).wait()


@when(
    "a caller sends {count:d} different requests with that word to instances "
    "in turn"
)
def when_different_poison_in_turn(context, count):
    for number in range(count):
        _send_numbered(context, "a poison prompt", number, number % 2).wait()


@when(
    "the caller sends {count:d} requests with all of their words but that one"
)
def when_sound_with_their_words(context, count):
    for number in range(count):
        draft = _send_numbered(context, "a sound prompt", number, number % 2)
        context.world.drafts.append(draft)


@then("the fault has happened")
def then_happened(context):
    assert context.fault.happened.wait(worlds.WAIT_S)


@then('the draft is complete or refused as "{code}"')
def then_whole_or_refused(context, code):
    (draft,) = context.world.drafts
    assert draft.is_complete() or draft.result.code == code


@then("it crashed at most {count:d} engines")
def then_cost(context, count):
    crashes = context.world.platform.fleet.ledger.crashes
    assert len(crashes) <= count, crashes


@then('the poison request is refused as "{code}"')
def then_refused_as(context, code):
    assert set(context.codes) == {code}, context.codes
