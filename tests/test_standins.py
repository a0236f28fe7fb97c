import json
import time

import msgspec
import pytest
import urllib3

from briarfall import sessions
from briarfall.bench import checks
from briarfall.bench import load
from briarfall.catalogue import entries
from briarfall.pipelines import models
from briarfall.standins import engine
from briarfall.standins import fleet
from briarfall.standins import log
from briarfall.standins import platform


@pytest.fixture
def part():
    made = fleet.Fleet([engine.EngineSpec("a", "suva", 0, 4)])
    made.start()
    yield made
    made.stop()


class TestEngineControl:
    def _put(self, part, **body):
        return urllib3.request(
            "PUT",
            f"{part.url('a')}/control/state",
            body=json.dumps(body),
            retries=False,
        )

    def test_faults_over_http(self, part):
        faults = {"crash_on": "bad", "leaving": True, "slow_factor": 3.0}
        assert self._put(part, **faults).status == 200
        unit = part.engines["a"]
        assert (unit.crash_on, unit.leaving, unit.slow_factor) == (
            "bad",
            True,
            3.0,
        )
        load = urllib3.request("GET", f"{part.url('a')}/load")
        assert json.loads(load.data)["leaving"] is True

    def test_unknown_action(self, part):
        assert self._put(part, action="dance").status == 400


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


class TestMove:
    """A stream that leaves a target takes its KV cache along."""

    LAYERS = 8
    PROMPT = "word " * 200

    def _platform(self, kv_bytes_per_token):
        specs = [
            engine.EngineSpec(f"draft-{name}", "suva", start, start + 4)
            for name, start in (("a", 0), ("b1", 4), ("b2", 4))
        ]
        made = platform.Platform(specs)
        made.start()
        made.put_accounts()
        model = made.model(
            "draft",
            self.LAYERS,
            recovery=entries.Recovery(leave_grace_s=0.0),
        )
        kept = [
            msgspec.structs.replace(item, kv_bytes_per_token=kv_bytes_per_token)
            for item in model.targets
        ]
        model = msgspec.structs.replace(model, targets=kept)
        version = made.put("draft", model)
        inst = made.add_instance()
        assert made.wait_ready()
        return made, inst, model, version

    def _leave(self, made, model, version, call):
        """Marks the last target of a call's route as leaving."""
        leaving = entries.TargetState.LEAVING
        items = [
            msgspec.structs.replace(item, state=leaving)
            if item.id == call.route[-1].target
            else item
            for item in model.targets
        ]
        model = msgspec.structs.replace(model, targets=items)
        made.put("draft", model, if_version=version)

    @pytest.mark.parametrize(("kv_bytes", "imports"), [(64.0, 1), (0.0, 0)])
    def test_moves_with_or_without_import(self, kv_bytes, imports):
        made, inst, model, version = self._platform(kv_bytes)
        made.fleet.set_trap(
            fleet.Step.FIRST_TOKEN,
            lambda call: self._leave(made, model, version, call),
        )
        with sessions.Session(inst.caller_url, "tuvatu-key") as session:
            result = load.draft(
                session, "draft", self.PROMPT, max_tokens=200, seed=3
            )
        expected = checks.expected_text(self.PROMPT, 3, 200)
        assert (result.code, result.text) == ("ok", expected)
        assert inst.relay.attempt_ends[models.Cause.MOVED] == 1
        assert made.fleet.imports == imports
        made.stop()


class TestSeeds:
    def test_instances_find_each_other_without_a_list(self):
        made = platform.Platform([engine.EngineSpec("a", "suva", 0, 4)])
        made.start()
        first = made.add_instance(instance_list_url="")
        second = made.add_instance(
            instance_list_url="", seeds=["127.0.0.1:1", first.peer_address]
        )
        names = ["router-1", "router-2"]
        deadline = time.monotonic() + 20
        while [first.members.live(), second.members.live()] != [names] * 2:
            assert time.monotonic() < deadline
            first.pause(0.02)
        made.stop()
