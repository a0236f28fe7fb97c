import json
import threading
import time

from behave import given
from behave import then
from behave import when
from features import world as worlds
import msgspec

from briarfall.adapters import instancelist
from briarfall.adapters import log as logs
from briarfall.catalogue import entries
from briarfall.catalogue import records
from briarfall.engineorders import reconciler
from briarfall.membership import links
from briarfall.standins import weightstore

WAIT_S = worlds.WAIT_S


class Condition:
    """Faults that last while the following steps run."""

    def __init__(self, context, name):
        self.context = context
        self.world = context.world
        self.plat = context.world.platform
        for item in name.split(" and "):
            getattr(self, "_" + item.replace(" ", "_"))()

    def _nothing_is_wrong(self):
        pass

    def _the_log_loses_an_answer(self):
        self.plat.log.fault_injector.set(lose_answers=1)

    def _the_log_is_slow(self):
        self.plat.log.fault_injector.set(slow_s=0.2)

    def _the_log_is_down_for_a_while(self):
        fault_injector = self.plat.log.fault_injector
        fault_injector.set(down=True)
        threading.Timer(0.6, lambda: fault_injector.set(down=False)).start()

    def _the_list_is_down(self):
        self.plat.instance_list.fault_injector.set(down=True)

    def _the_links_are_cut(self):
        for inst in self.plat.instances:
            inst.peers.close()
            inst.peers._security = links.Security(["a wrong secret"])

    def _another_operator_races(self):
        """Appends a competing edit of the same version."""
        model = self.world.model(default_class=entries.Priority.BATCH)
        version = self.world.versions["draft"]
        self.plat.put("draft", model, if_version=version)

    def _garbage_is_on_the_log(self):
        for data in (b"\xff", b"{}", b'{"record":"edit"}', b""):
            self.plat.log.put(records.CONFIG_STREAM, data)

    def _an_old_snapshot_is_on_the_log(self):
        snapshot = self.plat.instances[0].follower.snapshot()
        old = msgspec.structs.replace(snapshot, covered=1)
        digest = records.digest_state(1, old.entries, old.edit_ids)
        old = msgspec.structs.replace(old, digest=digest)
        self.plat.log.put(records.CONFIG_STREAM, records.encode(old))

    def _a_forged_snapshot_is_on_the_log(self):
        forged = records.Snapshot(10**6, [], [], "0" * 64)
        self.plat.log.put(records.CONFIG_STREAM, records.encode(forged))

    def _an_instance_dies(self):
        threading.Thread(
            target=self.plat.instances[2].kill, daemon=True
        ).start()

    def _an_instance_joins(self):
        self.plat.add_instance()

    def _an_engine_dies(self):
        self.plat.fleet.kill("draft-suva-b")


def running(context):
    return [
        inst
        for inst in context.world.platform.instances
        if not inst._stopping.is_set()
    ]


@given('the condition "{name}"')
def given_condition(context, name):
    context.condition = Condition(context, name)


@when("an operator edits the entry through instance 1")
def when_edit(context):
    w = context.world
    value = msgspec.to_builtins(w.model())
    value["limits"]["max_tokens"] = 77
    body = {"if_version": w.versions["draft"], "value": value}
    context.edit = w.admin("PUT", "/catalogue/draft", body, instance=1)


@when("the condition ends")
def when_ends(context):
    plat = context.world.platform
    plat.log.fault_injector.set(down=False, slow_s=0.0, lose_answers=0)


@then("the edit is decided the same on every instance")
def then_same_verdict(context):
    log = context.world.platform.log
    end = len(log.records(records.CONFIG_STREAM))
    verdicts = set()
    for inst in running(context):
        assert inst.follower.wait_offset(end, WAIT_S)
        edits = inst.queries.history("draft")
        verdicts.add(tuple((i.offset, i.verdict) for i in edits))
    # An instance that joined from a snapshot has a shorter history.
    longest = max(verdicts, key=len)
    for shorter in verdicts:
        assert shorter == longest[len(longest) - len(shorter) :], verdicts


@then("an accepted edit is in force on every instance")
def then_in_force(context):
    status = context.edit.status
    assert status in (200, 409), context.edit.data
    if status != 200:
        return
    version = json.loads(context.edit.data)["version"]
    for inst in running(context):
        assert worlds.wait_until(lambda i=inst: _is_in_force(i, version))


def _is_in_force(inst, version):
    value = inst.view().values["draft"]
    is_new = inst.queries.entry("draft").version >= version
    return is_new and value.limits.max_tokens == 77


@then("every instance holds the same catalogue")
def then_same_catalogue(context):
    assert worlds.wait_until(
        lambda: (
            len({i.follower.snapshot().digest for i in running(context)}) == 1
        )
    )


class _FailingLog(logs.LogAdapter):
    """A log adapter whose calls all fail."""

    def append(self, stream, data):
        raise worlds.log_down()

    def read(self, stream, start, *, limit, wait_s):
        time.sleep(0.02)
        raise worlds.log_down()

    def close(self):
        pass


@given("the log answers instance 1 only")
def given_log_for_one_instance(context):
    for number in (0, 2):
        inst = context.world.platform.instances[number]
        inst.follower._log = _FailingLog()


@given("the catalogue was edited {count:d} times")
def given_edits(context, count):
    w = context.world
    for number in range(count):
        w.put_model(limits=entries.ModelLimits(max_tokens=100 + number))
    assert w.platform.wait_ready()


@given('the join case "{case}"')
def given_join_case(context, case):
    w, plat = context.world, context.world.platform
    inst = plat.instances[0]
    context.replace_all = False
    if case == "the log is slow":
        plat.log.fault_injector.set(slow_s=0.2)
    if case == "the log is down and peers answer":
        plat.log.fault_injector.set(down=True)
    if "snapshot is kept" in case:
        inst.snapshots.write()
        plat.log.forget(records.CONFIG_STREAM, inst.follower.next_offset - 1)
    if "stale and a fresh" in case:
        data = records.encode(inst.follower.snapshot())
        w.put_model(limits=entries.ModelLimits(max_tokens=300))
        assert plat.wait_ready()
        plat.log.forget(records.CONFIG_STREAM, inst.follower.next_offset)
        plat.log.put(records.CONFIG_STREAM, data)
        inst.snapshots.write()
        plat.log.put(records.CONFIG_STREAM, data)
    if "only peers" in case:
        plat.log.forget(records.CONFIG_STREAM, inst.follower.next_offset)
    if case == "all instances are replaced at once":
        inst.snapshots.write()
        plat.log.forget(records.CONFIG_STREAM, 4)
        context.replace_all = True
    context.digest = inst.follower.snapshot().digest


@when("a new instance starts")
def when_new_instance(context):
    plat = context.world.platform
    if getattr(context, "replace_all", False):
        for inst in plat.instances:
            inst.kill()
    context.new = plat.add_instance()


@then("the new instance becomes ready with the same catalogue")
def then_ready(context):
    assert context.new.wait_ready(WAIT_S)
    plat = context.world.platform
    if context.replace_all:
        state = context.new.queries.entry("draft")
        value = json.loads(bytes(state.value))
        assert value["limits"]["max_tokens"] == 104
        return
    others = plat.instances[0]
    assert worlds.wait_until(
        lambda: (
            context.new.follower.snapshot().digest
            == others.follower.snapshot().digest
        )
    )
    assert context.new.view().values == others.view().values


@given("the log is down and the peers are gone")
def given_nothing(context):
    plat = context.world.platform
    plat.log.fault_injector.set(down=True)
    for inst in plat.instances:
        inst.kill()


@then("the new instance is not ready")
def then_not_ready(context):
    url = context.new.admin_url
    resp = context.world.http.request("GET", f"{url}/readyz")
    assert resp.status == 503
    assert not context.new.follower.caught_up.is_set()


@given(
    "a platform with {count:d} instances whose engines {kind} stale commands"
)
def given_platform_with_engines(context, count, kind):
    context.world.start(
        count,
        fencing=kind == "refuse",
        settings={"lease_s": 1.5, "reconcile_s": 0.1},
    )


def _order(url, version):
    return entries.EngineOrder(
        owner="platform", url=url, model="draft", version=version
    )


@given("an engine order for a version")
def given_order(context):
    plat = context.world.platform
    context.url = plat.fleet.url("draft-suva-a")
    context.version = plat.put("engine-a", _order(context.url, "v1"))
    context.engine = plat.fleet.engines["draft-suva-a"]
    assert worlds.wait_until(lambda: context.engine.deployed.version == "v1")
    context.newest = "v1"


def _holder(context):
    name = reconciler.lease_name(reconciler.shard_of(context.url))
    for inst in running(context):
        if inst.leases.remaining_s(name) > 0:
            return inst
    return None


@when('the fault "{fault}" hits the lease holder')
def when_lease_fault(context, fault):
    plat = context.world.platform
    holder = _holder(context)
    assert holder is not None
    if fault == "the holder dies":
        holder.kill()
    if fault == "the log loses an answer":
        plat.log.fault_injector.set(lose_answers=1)
    if fault == "the log is down for a while":
        plat.log.fault_injector.set(down=True)
        threading.Timer(
            0.6, lambda: plat.log.fault_injector.set(down=False)
        ).start()
    late = fault == "the holder sends a command late"
    if late:
        # As if the holder paused between its lease check and its command.
        name = reconciler.lease_name(reconciler.shard_of(context.url))
        old = holder.leases.current(name)
        holder.reconciler.stop()
        holder.members.announce(state=type(holder.members.me.state).LEAVING)
    plat.put("engine-a", _order(context.url, "v2"), if_version=context.version)
    context.newest = "v2"
    if late:
        assert worlds.wait_until(
            lambda: context.engine.deployed.version == "v2"
        ), "no other instance took over"
        command = msgspec.json.encode(
            {"fence": old.fence, "model": "draft", "version": "v1"}
        )
        resp = context.world.http.request(
            "POST", f"{context.url}/orders", body=command
        )
        expected = 409 if context.engine.spec.fencing else 200
        assert resp.status == expected
        context.late_inst = True


@then("the engine reaches the newest ordered version")
def then_newest(context):
    assert worlds.wait_until(
        lambda: context.engine.deployed.version == context.newest
    )
    if getattr(context, "late_inst", False) and not context.engine.spec.fencing:
        assert sum(i.reconciler.counts.undone for i in running(context)) == 1


@then("no two instances hold the lease for the same fencing number")
def then_fences(context):
    fences = {}
    for inst in context.world.platform.instances:
        for lease in inst.leases._lease_table.leases.values():
            key = (lease.name, lease.fence)
            assert fences.setdefault(key, lease.holder) == lease.holder


@given("the log is down")
def given_log_down(context):
    context.world.platform.log.fault_injector.set(down=True)


@given("an engine order for a version is due")
def given_due_order(context):
    plat = context.world.platform
    context.engine = plat.fleet.engines["draft-suva-a"]
    order = _order(plat.fleet.url("draft-suva-a"), "v9")
    for inst in plat.instances:
        inst.reconciler._view = lambda: _OneOrder(order)
        inst.reconciler.reconcile_all()


class _OneOrder:
    def __init__(self, order):
        self._order = order

    def of_kind(self, kind):
        return {"engine-a": self._order}


@then("the engine was sent no command")
def then_no_order(context):
    assert context.engine.deployed.version == ""


@given("a platform with {count:d} instances and a slow weight store")
def given_slow_store(context, count):
    store = weightstore.WeightStoreStandin(8e6, burst_s=0.25)
    store.start()
    context.world.store = store
    context.world.start(
        count,
        settings={
            "weight_store_url": store.url,
            "reconcile_s": 0.05,
            "lease_s": 3.0,
        },
    )
    context.world.platform.fleet.weight_store = store


@given("engine orders to load weights on every engine")
def given_loads(context):
    plat = context.world.platform
    for target in plat.fleet.targets():
        order = msgspec.structs.replace(
            _order(target.url, "v1"), weight_bytes=1_000_000
        )
        plat.put(f"order-{target.id}", order)


@then("the store refuses no load and every engine is loaded")
def then_loaded(context):
    all_engines = context.world.platform.fleet.engines.values()
    assert worlds.wait_until(
        lambda: all(engine.deployed.version == "v1" for engine in all_engines)
    )
    assert context.world.store.refused == 0
    assert len(context.world.store.fetched) == len(list(all_engines))


@when('the list reports that target "{target}" is draining')
def when_list_says(context, target):
    context.world.platform.instance_list.put(
        instancelist.ListedInstance(
            target, "", "suva", instancelist.ListedState.LEAVING
        )
    )


@when('the engine reports that target "{target}" is draining')
def when_engine_says(context, target):
    context.world.platform.fleet.engines[target].draining = True


@when("instance 2 dies and starts again under its name")
def when_restart(context):
    plat = context.world.platform
    old = plat.instances[2]
    old.kill()
    first = plat.instances[0]
    name = old.cfg.instance
    assert worlds.wait_until(lambda: name not in first.members.live())
    plat.add_instance(instance=name)


@then("every instance knows {count:d} live instances")
def then_live(context, count):
    assert worlds.wait_until(
        lambda: all(len(i.members.live()) == count for i in running(context))
    )
