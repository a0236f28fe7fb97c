import json
import time

import msgspec
import pytest
import urllib3

from briarfall import sessions
from briarfall.bench import checks
from briarfall.bench import workload
from briarfall.catalogue import entries
from briarfall.pipelines import models
from briarfall.standins import engine
from briarfall.standins import fleet
from briarfall.standins import log
from briarfall.standins import platform


@pytest.fixture
def engine_fleet():
    created = fleet.Fleet([engine.EngineSpec("a", "suva", 0, 4)])
    created.start()
    yield created
    created.stop()


class TestEngineControl:
    def _put(self, engine_fleet, **body):
        return urllib3.request(
            "PUT",
            f"{engine_fleet.url('a')}/control/state",
            body=json.dumps(body),
            retries=False,
        )

    def test_faults_over_http(self, engine_fleet):
        faults = {"crash_on": "bad", "leaving": True, "slow_factor": 3.0}
        assert self._put(engine_fleet, **faults).status == 200
        eng = engine_fleet.engines["a"]
        assert (eng.crash_on, eng.draining, eng.slow_factor) == (
            "bad",
            True,
            3.0,
        )
        load = urllib3.request("GET", f"{engine_fleet.url('a')}/load")
        assert json.loads(load.data)["leaving"] is True

    def test_unknown_action(self, engine_fleet):
        assert self._put(engine_fleet, action="dance").status == 400


class TestLogStandin:
    def test_retention_drops_old_records(self):
        standin = log.LogStandin(retention_s=100.0)
        standin.start()
        standin.put("s", b"old", time_s=1.0)
        standin.put("s", b"new")
        url = f"{standin.url}/streams/s/records"
        assert urllib3.request("GET", f"{url}?from=0").status == 410
        batch = json.loads(urllib3.request("GET", f"{url}?from=1").data)
        assert [record["offset"] for record in batch["records"]] == [1]
        standin.stop()


class TestKvImport:
    """A stream that is rerouted from a draining target imports its KV cache."""

    LAYERS = 8
    PROMPT = "word " * 200

    def _platform(self, kv_bytes_per_token):
        specs = [
            engine.EngineSpec(f"draft-{name}", "suva", start, start + 4)
            for name, start in (("a", 0), ("b1", 4), ("b2", 4))
        ]
        plat = platform.Platform(specs)
        plat.start()
        plat.put_accounts()
        model = plat.model(
            "draft",
            self.LAYERS,
            recovery=entries.Recovery(leave_grace_s=0.0),
        )
        engine_targets = [
            msgspec.structs.replace(item, kv_bytes_per_token=kv_bytes_per_token)
            for item in model.targets
        ]
        model = msgspec.structs.replace(model, targets=engine_targets)
        version = plat.put("draft", model)
        inst = plat.add_instance()
        assert plat.wait_ready()
        return plat, inst, model, version

    def _drain_last_target(self, plat, model, version, call):
        """Marks the last target of a call's route as draining."""
        draining = entries.TargetState.DRAINING
        items = [
            msgspec.structs.replace(item, state=draining)
            if item.id == call.route[-1].target
            else item
            for item in model.targets
        ]
        model = msgspec.structs.replace(model, targets=items)
        plat.put("draft", model, if_version=version)

    @pytest.mark.parametrize(("kv_bytes", "imports"), [(64.0, 1), (0.0, 0)])
    def test_reroute_with_or_without_kv_import(self, kv_bytes, imports):
        plat, inst, model, version = self._platform(kv_bytes)
        plat.fleet.add_step_hook(
            fleet.Step.FIRST_TOKEN,
            lambda call: self._drain_last_target(plat, model, version, call),
        )
        with sessions.Session(inst.caller_url, "tuvatu-key") as session:
            result = workload.stream_draft(
                session, "draft", self.PROMPT, max_tokens=200, seed=3
            )
        expected = checks.expected_text(self.PROMPT, 3, 200)
        assert (result.code, result.text) == ("ok", expected)
        assert inst.relay.attempt_ends[models.Cause.MOVED] == 1
        assert plat.fleet.kv_imports == imports
        plat.stop()


class TestSeeds:
    def test_instances_find_each_other_without_a_list(self):
        plat = platform.Platform([engine.EngineSpec("a", "suva", 0, 4)])
        plat.start()
        first = plat.add_instance(instance_list_url="")
        second = plat.add_instance(
            instance_list_url="", seeds=["127.0.0.1:1", first.peer_address]
        )
        names = ["router-1", "router-2"]
        deadline = time.monotonic() + 20
        while [first.members.live(), second.members.live()] != [names] * 2:
            assert time.monotonic() < deadline
            first.pause(0.02)
        plat.stop()
