"""Loads of targets summed over many instances."""

import collections
import sys

import hypothesis
from hypothesis import strategies

from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway.targets import loads

TARGETS = [ids.TargetId(f"e{n}") for n in range(4)]
INSTANCES = [ids.InstanceId(f"i{n}") for n in range(5)]


def report(size: int) -> dict[ids.TargetId, loads.Load]:
    """Returns a report of an instance on some targets."""
    return {ids.TargetId(f"e{n}"): loads.Load(1, 700) for n in range(size)}


def lines_run(function) -> int:
    """Returns how many lines of Python a call executes."""
    count = 0

    def trace(frame, event, arg):
        nonlocal count
        count += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        function()
    finally:
        sys.settrace(before)
    return count


class TestLoadTable:
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=80)
    @hypothesis.given(
        reports=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(INSTANCES),
                strategies.dictionaries(
                    strategies.sampled_from(TARGETS),
                    strategies.tuples(
                        strategies.integers(0, 9), strategies.integers(0, 9000)
                    ),
                ),
            ),
            max_size=20,
        )
    )
    def test_total_is_the_sum_of_the_newest_reports(self, reports):
        table = loads.LoadTable()
        newest = {}
        for instance, rows in reports:
            newest[instance] = rows
            table.merge(
                instance, {key: loads.Load(*row) for key, row in rows.items()}
            )
        total = collections.defaultdict(lambda: (0, 0))
        for rows in newest.values():
            for target, (streams, tokens) in rows.items():
                known = total[target]
                total[target] = (known[0] + streams, known[1] + tokens)
        for target in TARGETS:
            load = table.of(target)
            assert (load.streams, load.tokens) == total[target]

    def test_report_counts_until_the_next_ones_are_overdue(self, monkeypatch):
        now_s = 100.0
        monkeypatch.setattr(clocks, "boot_s", lambda: now_s)
        table = loads.LoadTable()
        table.merge(INSTANCES[0], report(1), interval_s=8.5)
        now_s = 116.0
        table.expire()
        assert table.of(TARGETS[0]) == loads.Load(1, 700)
        now_s = 118.0
        table.expire()
        assert table.of(TARGETS[0]) == loads.Load()

    def test_empty_row_of_a_report_changes_nothing(self):
        table = loads.LoadTable()
        table.merge(INSTANCES[0], {TARGETS[0]: loads.Load()})
        table.merge(INSTANCES[1], report(1))
        table.merge(INSTANCES[1], {})
        table.merge(INSTANCES[0], {})
        assert table.of(TARGETS[0]) == loads.Load()

    def test_unresponsive_instances_no_longer_count(self, monkeypatch):
        now_s = 100.0
        monkeypatch.setattr(clocks, "boot_s", lambda: now_s)
        table = loads.LoadTable()
        table.merge(INSTANCES[0], report(2))
        now_s = 101.5
        table.merge(INSTANCES[1], report(1))
        now_s = 102.5
        table.expire()
        assert table.of(TARGETS[0]) == loads.Load(1, 700)
        assert table.of(TARGETS[1]) == loads.Load()

    def test_cost_of_a_report_does_not_grow_with_the_instances(self):
        work = []
        for count in (3, 330):
            table = loads.LoadTable()
            for number in range(count):
                table.merge(ids.InstanceId(f"i{number}"), report(10))
            work.append(
                lines_run(
                    lambda table=table: table.merge(INSTANCES[1], report(10))
                )
            )
        assert work[0] == work[1]
