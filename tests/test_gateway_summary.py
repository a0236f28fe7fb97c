"""Tests of the summary log line and of the metrics of store calls."""

import urllib.request

from briarfall.gateway.instance import summary
from briarfall.standins.prepared import testbed


class TestSummary:
    def test_line_names_gauges_and_calls(self):
        counts = summary.CallCounts()
        counts.record("target_reads")
        counts.record("target_reads")
        counts.record("lease_writes")
        logger = summary.SummaryLogger({"instances": lambda: 3}, counts)
        assert logger.describe() == (
            "summary instances=3 store_calls=3 lease_writes=1 target_reads=2"
        )

    def test_calls_to_the_store_are_metrics(self):
        with testbed.world() as world:
            inst = world.instance()
            host, port = inst.status_address
            with urllib.request.urlopen(f"http://{host}:{port}/metrics") as got:
                text = got.read().decode()
        assert 'briarfall_store_calls_total{call="target_reads"}' in text
