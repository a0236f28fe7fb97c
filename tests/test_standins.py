import json

import pytest
import urllib3

from briarfall.standins import engine
from briarfall.standins import fleet
from briarfall.standins import log


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
