"""Demand by class: windows, rows of statuses, sums over instances."""

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from briarfall import ids
from briarfall.gateway.forwarding import streamdemands
from briarfall.gateway.gossip import peermessages
from briarfall.gateway.scheduling import accountshares
from briarfall.gateway.scheduling import classes
from briarfall.gateway.scheduling import demands
from briarfall.gateway.scheduling import kvreserve
from briarfall.platform import headers
from tests import test_gateway_streams

_CLASSES = st.builds(
    classes.DemandClass, st.integers(0, 31), st.sampled_from(classes.Band)
)
_AMOUNTS = st.dictionaries(_CLASSES, st.floats(0, 1e6), max_size=20)
URGENT = classes.DemandClass(0, classes.Band.SMALL)
# Bytes that a status may grow by.
_MAX_ADDED_BYTES = 64


class TestDemandWindow:
    def test_demand_is_kept_by_class_and_expires(self, clock):
        window = demands.DemandWindow(2.0)
        window.add(URGENT, 10.0)
        window.add(classes.DEFAULT_CLASS, 4.0)
        assert window.rates() == {URGENT: 5.0, classes.DEFAULT_CLASS: 2.0}
        clock.now_s += 1.0
        window.add(URGENT, 2.0)
        clock.now_s += 1.5
        assert window.rates() == {URGENT: 1.0}
        clock.now_s += 10.0
        assert window.rates() == {}
        assert window.total() == 0.0

    def test_requests_of_no_tokens_count_nothing(self, clock):
        window = demands.DemandWindow(2.0)
        window.add(URGENT, 10.0)
        for _ in range(3):
            window.add(URGENT, 0.0)
            clock.now_s += 0.5
        clock.now_s += 1.0
        assert window.rates() == {}

    def test_small_request_counts_beside_a_huge_one(self, clock):
        window = demands.DemandWindow(2.0)
        window.add(URGENT, 4e9)
        clock.now_s += 1.0
        window.add(URGENT, 2.0)
        clock.now_s += 1.5
        assert window.rates() == {URGENT: 1.0}
        clock.now_s += 1.0
        assert window.rates() == {}


class TestRows:
    @given(link=_AMOUNTS, kv=_AMOUNTS)
    def test_rows_add_few_bytes_to_a_status(self, link, kv):
        rows = demands.to_rows(link, kv)
        assert len(rows) <= demands.MAX_ROWS
        assert len(msgspec.msgpack.encode(rows)) <= _MAX_ADDED_BYTES

    @given(
        link=st.dictionaries(_CLASSES, st.floats(0, 3000.0), max_size=20),
    )
    def test_rows_hold_the_whole_demand(self, link):
        rows = demands.to_rows(link, {})
        found = sum(row.link_mbps for row in rows)
        assert found == pytest.approx(
            sum(link.values()), abs=demands.MAX_ROWS / 2
        )

    def test_classes_beyond_the_rows_count_with_the_nearest_urgency(self):
        link = {}
        for urgency in range(demands.MAX_ROWS):
            link[classes.DemandClass(urgency, classes.Band.USUAL)] = 100.0
        link[classes.DemandClass(3, classes.Band.LARGE)] = 50.0
        rows = {row.key: row.link_mbps for row in demands.to_rows(link, {})}
        key = classes.key_of(classes.DemandClass(3, classes.Band.USUAL))
        assert rows[key] == 150


class TestDemandTable:
    def test_last_report_of_each_instance_counts(self, clock):
        table = demands.DemandTable()
        key = classes.key_of(URGENT)
        for name, mbps in (("i1", 10), ("i2", 5), ("i1", 20)):
            row = demands.DemandRow(key, mbps, mbps * 2)
            table.merge(ids.InstanceId(name), [row], mbps)
        assert table.link_mbps() == {URGENT: 25.0}
        assert table.kv_tokens() == {URGENT: 50.0}
        table.remove(ids.InstanceId("i1"))
        assert table.link_mbps() == {URGENT: 5.0}

    def test_demand_of_an_earlier_release_has_no_class(self, clock):
        table = demands.DemandTable()
        table.merge(ids.InstanceId("old"), [], 12.0)
        row = demands.DemandRow(classes.key_of(URGENT), 10)
        table.merge(ids.InstanceId("new"), [row], 10.3)
        assert table.link_mbps() == {URGENT: 10.0, classes.UNNAMED: 12.0}

    def test_report_of_a_silent_instance_expires(self, clock):
        table = demands.DemandTable()
        table.merge(ids.InstanceId("i1"), [], 12.0)
        clock.now_s += 1.0
        table.merge(ids.InstanceId("i2"), [], 3.0, interval_s=4.0)
        clock.now_s += 2.0
        assert sum(table.link_mbps().values()) == pytest.approx(3.0)
        clock.now_s += 50.0
        assert table.link_mbps() == {}

    def test_instance_that_is_cut_off_keeps_to_the_last_reports(self, clock):
        table = demands.DemandTable()
        for number in range(10):
            table.merge(ids.InstanceId(f"i{number}"), [], 10.0)
        clock.now_s += 5.0
        assert sum(table.link_mbps().values()) == pytest.approx(100.0)
        for number in range(6):
            table.merge(ids.InstanceId(f"i{number}"), [], 10.0)
        clock.now_s += 2.6
        for number in range(6):
            table.merge(ids.InstanceId(f"i{number}"), [], 10.0)
        assert sum(table.link_mbps().values()) == pytest.approx(60.0)
        clock.now_s += 40.0
        assert table.link_mbps() == {}

    def test_instances_that_have_not_reported_count_as_the_mean(self, clock):
        unheard = 0
        table = demands.DemandTable(count_unheard=lambda: unheard)
        unheard = 5
        assert table.link_mbps() == {}
        row = demands.DemandRow(classes.key_of(URGENT), 10)
        for number in range(10):
            table.merge(ids.InstanceId(f"i{number}"), [row], 10.0)
        clock.now_s += 0.3
        assert table.link_mbps() == {URGENT: pytest.approx(150.0)}
        unheard = 50
        clock.now_s += 0.3
        assert table.link_mbps() == {URGENT: pytest.approx(200.0)}
        unheard = 0
        clock.now_s += 0.3
        assert table.link_mbps() == {URGENT: pytest.approx(100.0)}

    def test_odd_rows_are_ignored_or_bounded(self, clock):
        table = demands.DemandTable()
        rows = [
            demands.DemandRow(-4, 7, 7),
            demands.DemandRow(999, 7, 7),
            demands.DemandRow(classes.key_of(URGENT), -5, 10**15),
        ]
        table.merge(ids.InstanceId("i1"), rows, 0.0)
        assert table.link_mbps() == {}
        assert table.kv_tokens()[URGENT] <= 65_535

    @given(
        reports=st.lists(
            st.tuples(
                st.integers(0, 3), st.integers(0, 127), st.integers(0, 70_000)
            ),
            max_size=30,
        )
    )
    def test_sums_are_those_of_the_last_reports(self, reports):
        table = demands.DemandTable(lambda: 5.0)
        last = {}
        for number, key, mbps in reports:
            row = demands.DemandRow(key, mbps)
            table.merge(ids.InstanceId(f"i{number}"), [row], 0.0)
            last[number] = min(mbps, 65_535)
        found = sum(table.link_mbps().values())
        assert found == pytest.approx(sum(last.values()))


class TestStatus:
    """Statuses pass between releases with and without rows."""

    def status(self, **fields):
        return peermessages.Status(
            sender=ids.InstanceId("i1"),
            address="127.0.0.1:1",
            zone=ids.ZoneId("z1"),
            version=1,
            is_stopping=False,
            reaches_store=True,
            loads=[],
            suspicions=[],
            crashes=[],
            **fields,
        )

    def test_rows_pass(self):
        rows = [demands.DemandRow(3, 70, 900)]
        sent = peermessages.encode(self.status(class_demands=rows))
        assert peermessages.decode(sent).class_demands == rows

    def test_status_of_an_earlier_release_has_no_rows(self):
        values = msgspec.msgpack.decode(msgspec.msgpack.encode(self.status()))
        older = msgspec.msgpack.encode(values[:-1])
        found = msgspec.msgpack.decode(older, type=peermessages.Status)
        assert found.class_demands == []

    def test_added_bytes_are_few(self):
        rows = []
        for urgency in range(20):
            rows.append(classes.DemandClass(urgency, classes.Band.LARGE))
        amounts = dict.fromkeys(rows, 1e9)
        full = self.status(class_demands=demands.to_rows(amounts, amounts))
        values = msgspec.msgpack.decode(msgspec.msgpack.encode(full))
        without = msgspec.msgpack.encode(values[:-1])
        added = len(msgspec.msgpack.encode(full)) - len(without)
        assert 0 < added <= _MAX_ADDED_BYTES


class TestAccountShares:
    def test_account_with_ten_times_the_requests_is_above_its_share(
        self, clock
    ):
        table = accountshares.AccountShares()
        found = {"many": 0, "few": 0, "other": 0}
        for _ in range(30):
            clock.now_s += 0.3
            for _ in range(10):
                found["many"] += table.record(ids.ClientId("many"), 100)
            found["few"] += table.record(ids.ClientId("few"), 100)
            found["other"] += table.record(ids.ClientId("other"), 100)
        assert found["few"] == found["other"] == 0
        assert found["many"] > 280

    def test_only_account_is_never_above_its_share(self, clock):
        table = accountshares.AccountShares()
        for _ in range(50):
            assert not table.record(ids.ClientId("one"), 100)
        clock.now_s += 60.0
        assert not table.record(ids.ClientId("two"), 100)


class TestStreamDemands:
    """What one request adds to the demand of its class."""

    def stream_demands(self, reserve):
        return streamdemands.StreamDemands(headers.HEADERS, reserve)

    def call(self, clock, urgency, usage):
        call = test_gateway_streams.a_call(clock.now_s)
        call.urgency = urgency
        call.req.headers.append((headers.HEADERS.token_usage, usage))
        return call

    def test_one_request_of_many_tokens_does_not_hide_the_others(self, clock):
        reserve = kvreserve.KvReserve()
        stream_demands = self.stream_demands(reserve)
        for _ in range(20):
            stream_demands.of(self.call(clock, 0, b"750,200"))
        _, cls = stream_demands.of(self.call(clock, 9, b"1000000000,200"))
        assert cls == classes.DemandClass(9, classes.Band.LARGE)
        # More than half of what is kept while all demand is more urgent.
        assert kvreserve.MAX_FILL - reserve.max_fill(cls) > 0.1

    def test_no_tokens_are_bounded_if_the_mean_request_is_unknown(self, clock):
        reserve = kvreserve.KvReserve()
        call = self.call(clock, 0, b"750,200")
        model = msgspec.structs.replace(
            call.service.model, mean_prompt_tokens=0.0, mean_answer_tokens=0.0
        )
        call.service = msgspec.structs.replace(call.service, model=model)
        self.stream_demands(reserve).of(call)
        assert sum(reserve.own_demand.values()) == 375.0
