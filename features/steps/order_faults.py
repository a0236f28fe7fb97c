import threading
import time

from behave import given
from behave import then
from behave import when
from features import world as worlds
import msgspec

from briarfall.membership import links
from briarfall.orders import claims
from briarfall.orders import keys


class OrderFault:
    """Injects faults when an order reaches a step."""

    def __init__(self, context, name, step):
        self.world = context.world
        self.name = name
        self.happened = threading.Event()
        self._lock = threading.Lock()
        self._arm(step)

    def _arm(self, step):
        plat = self.world.platform
        if step == "before":
            self.act(None)
        if step == "claim":
            plat.log.on_append = lambda s, d: self._on_append(d, claims.Claim)
        if step == "done":
            plat.log.on_append = lambda s, d: self._on_append(d, claims.Done)
        if step == "send":
            for target in plat.orders:
                target.on_run = self.act

    def _on_append(self, data, kind):
        try:
            operations = claims.decode(data)
        except msgspec.DecodeError:
            return
        if any(isinstance(item, kind) for item in operations):
            self.act(data)

    def act(self, what):
        with self._lock:
            if self.happened.is_set():
                return
            self.happened.set()
        for fault_name in self.name.split(" and "):
            getattr(self, "_" + fault_name.replace(" ", "_"))(what)

    def _background(self, action, *args):
        threading.Thread(target=action, args=args, daemon=True).start()

    def _log_answer_lost(self, what):
        self.world.platform.log.fault_injector.set(lose_answers=1)

    def _log_down_for_a_while(self, what):
        fault_injector = self.world.platform.log.fault_injector
        fault_injector.set(down=True)
        threading.Timer(0.6, lambda: fault_injector.set(down=False)).start()

    def _log_slow(self, what):
        self.world.platform.log.fault_injector.set(slow_s=0.3)

    def _one_target_down(self, what):
        self._background(self.world.platform.orders[0].stop)

    def _all_targets_down(self, what):
        for target in self.world.platform.orders:
            target.abort()

    def _target_answer_lost(self, what):
        for target in self.world.platform.orders:
            target.fault_injector.set(lose_answers=1)

    def _target_slow(self, what):
        for target in self.world.platform.orders:
            target.fault_injector.set(slow_s=0.5)

    def _instance_dies(self, what):
        self._background(self.world.platform.instances[0].kill)

    def _owner_dies(self, what):
        first = self.world.platform.instances[0]
        key = f"tuvatu/{self.world.keys[0]}"
        service = first.view().values["booking"]
        number = first.claim_router.partition_of(service, key)
        owner = first.claim_router.owner("booking", number)
        for inst in self.world.platform.instances:
            if inst.cfg.instance == owner and inst is not first:
                self._background(inst.kill)

    def _links_are_cut(self, what):
        for inst in self.world.platform.instances:
            inst.peers.close()
            inst.peers._security = links.Security(["a wrong secret"])

    def _instance_joins(self, what):
        self._background(self.world.platform.add_instance)

    def _list_is_down(self, what):
        self.world.platform.instance_list.fault_injector.set(down=True)

    def _entry_is_edited(self, what):
        plat = self.world.platform
        plat.put(
            "booking",
            plat.service(timeout_s=7.0),
            if_version=self.world.versions["booking"],
        )

    def _records_are_repeated(self, what):
        log = self.world.platform.log
        for stream in log.streams():
            if stream.startswith("orders."):
                log.put(stream, what)

    def _garbage_on_the_log(self, what):
        log = self.world.platform.log
        for number in range(4):
            log.put(f"orders.booking.{number}", b"\xff garbage")
            log.put(f"orders.booking.{number}", b'[{"op":"claim"}]')


@given("a platform with {count:d} instances without a look-up")
def given_without_lookup(context, count):
    context.world.start(count, lookup="")


@given('the fault "{name}" waits for the step "{step}" of an order')
def given_order_fault(context, name, step):
    context.world.keys.append(keys.new_key())
    context.fault = OrderFault(context, name, step)


@given("instance 0 pauses when its claim is on the log")
def given_pause(context):
    w = context.world
    context.resumed = threading.Event()
    context.paused = threading.Event()
    dispatcher = w.platform.instances[0].dispatcher
    run = dispatcher._send_claimed

    def paused_run(req, claim):
        context.paused.set()
        context.resumed.wait(20)
        return run(req, claim)

    dispatcher._send_claimed = paused_run


@given("the log no longer has the claims of the last hour")
def given_forgotten(context):
    log = context.world.platform.log
    for number in range(4):
        stream = f"orders.booking.{number}"
        log.put(stream, b"[]")
        log.put(stream, b"[]")
        log.forget(stream, 1)


@when("an order is sent and then sent again through the other instances")
def when_sent_again(context):
    w = context.world
    key = w.keys[0]
    w.order(key)
    for number in (1, 2):
        w.order(key, instance=number)


@when("an order is sent through instance 0 in the background")
def when_background(context):
    w = context.world
    w.keys.append(keys.new_key())
    threading.Thread(
        target=w.order,
        args=(w.keys[0],),
        kwargs={"deadline_ms": 20_000},
        daemon=True,
    ).start()
    assert context.paused.wait(worlds.WAIT_S)


@when("the same order is sent through instance 1")
def when_same(context):
    context.world.order(context.world.keys[0], instance=1, deadline_ms=1500)


@when("the paused instance resumes")
def when_goes_on(context):
    context.resumed.set()
    runs = context.world.platform.order_ledger.runs
    assert worlds.wait_until(lambda: sum(runs.values()) == 1)


@when("an order is sent with a key that is {count:d} {unit} old")
def when_old_key(context, count, unit):
    seconds = 3600 if unit.startswith("hour") else 86_400
    key = keys.new_key(time.time() - count * seconds)
    context.world.order(key)


@then("the order's fault has happened")
def then_order_fault(context):
    assert context.fault.happened.wait(worlds.WAIT_S)


@then("no order ran twice")
def then_not_twice(context):
    context.world.check_ledger()


@then("no order that was reported as not run ran")
def then_not_run(context):
    context.world.check_not_run()


@then("no order ran")
def then_none(context):
    assert not context.world.platform.order_ledger.runs


@then("the order is eventually answered")
def then_in_the_end(context):
    """Retries the key until it is answered, then checks the ledger."""
    w = context.world
    plat = w.platform
    plat.log.on_append = None
    plat.log.fault_injector.set(down=False, slow_s=0.0, lose_answers=0)
    for target in plat.orders:
        target.on_run = None
    if "all targets down" in context.fault.name:
        plat.restart_order_targets()
    live = [i for i in range(1, 3) if not plat.instances[i].wait_stopped(0)]

    def is_answered():
        resp = w.order(w.keys[0], instance=live[0])
        return w.outcome_of(resp) == "answered"

    assert worlds.wait_until(is_answered), w.replies[-1][1].data
    w.check_ledger()
    assert plat.order_ledger.runs[w.keys[0]] == 1


@then('the last reply has outcome "{outcome}"')
def then_outcome(context, outcome):
    w = context.world
    assert w.outcome_of(w.replies[-1][1]) == outcome, w.replies[-1][1].data


@then('every reply has outcome "{outcome}"')
def then_every_outcome(context, outcome):
    w = context.world
    outcomes = [w.outcome_of(resp) for _, resp in w.replies]
    assert set(outcomes) == {outcome}, outcomes
