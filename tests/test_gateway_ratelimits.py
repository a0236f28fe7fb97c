"""Targets that name a rate limit in their responses."""

import concurrent.futures
import math
import time

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from briarfall import ids
from briarfall.bench import permitmodel
from briarfall.gateway import metrics
from briarfall.gateway.exchanges import messages
from briarfall.gateway.gossip import peermessages
from briarfall.gateway.ratelimits import permitgrants
from briarfall.gateway.targets import incarnations
from briarfall.gateway.targets import ratelimits
from briarfall.gateway.targets import targets
from briarfall.gateway.targets import targetsignals
from briarfall.platform import headers
from briarfall.standins.prepared import testbed
from tests import test_gateway_decisions
from tests import test_odd_datagrams

# The rule: in any 4 s at most one and a half times what the limit allows, and 5
# requests more.
_WINDOW_S = 4.0
_DRAFT_MS = 8000


def _allowed(per_s):
    return 1.5 * per_s * _WINDOW_S + 5


@pytest.fixture
def world():
    with testbed.world() as scene:
        yield scene


def _send_all(rows, path, count, **extra):
    """Sends requests to all instances at once; returns the responses."""
    with concurrent.futures.ThreadPoolExecutor(len(rows) * 4) as pool:
        futs = []
        for number in range(count):
            inst = rows[number % len(rows)]
            futs.append(
                pool.submit(
                    testbed.call,
                    inst,
                    path,
                    request_id=f"r{number}",
                    **extra,
                )
            )
        return [fut.result() for fut in futs]


def _instances(world, count):
    rows = [world.instance(f"i{number}") for number in range(count)]
    for inst in rows:
        testbed.until(
            lambda inst=inst: inst.peers.instance_count == count,
            "the instances know each other",
        )
    return rows


def _tell(rows, path, **extra):
    """Lets each instance pass on a response that names a limit."""
    for number, inst in enumerate(rows):
        testbed.call(inst, path, request_id=f"told{number}", **extra)
        testbed.until(inst.rate_limits.limited, "a limit is known")


_A = incarnations.Incarnation(ids.TargetId("a"), 1)


def _target_table(clock):
    table = targets.TargetTable()
    table.update([test_gateway_decisions.entry("a", started_ms=1)], clock.now_s)
    return table


@pytest.fixture
def table(clock):
    return ratelimits.RateLimitTable(_target_table(clock))


class TestParsedRate:
    @pytest.mark.parametrize(
        ("value", "rate"),
        [
            (b"6.7", 6.7),
            (b"0", 0.0),
            (b" 2 ", 2.0),
            (b"1e300", 1e300),
            (b"-1", None),
            (b"nan", None),
            (b"inf", None),
            (b"many", None),
            (b"", None),
            (b"4, 5", None),
        ],
    )
    def test_only_a_finite_number_from_zero_is_a_rate(self, value, rate):
        assert ratelimits.parse_rate(value) == rate

    @given(st.binary(max_size=40))
    def test_any_bytes_are_parsed(self, value):
        rate = ratelimits.parse_rate(value)
        assert rate is None or (rate >= 0 and math.isfinite(rate))


class TestLimitOfATarget:
    def test_lasts_until_a_response_to_a_later_request_names_none(
        self, clock, table
    ):
        table.record(_A, b"4", clock.now_s - 0.1)
        assert table.get(_A).per_s == 4
        clock.now_s += 60
        assert table.get(_A).per_s == 4
        table.record(_A, None, clock.now_s)
        assert table.get(_A) is None

    def test_older_response_that_arrives_late_neither_ends_nor_raises_it(
        self, clock, table
    ):
        sent_s = clock.now_s
        clock.now_s += 1
        table.record(_A, b"4", clock.now_s - 0.1)
        table.record(_A, None, sent_s)
        assert table.get(_A).per_s == 4
        table.record(_A, b"9", sent_s)
        assert table.get(_A).per_s == 4
        table.record(_A, b"2", sent_s)
        assert table.get(_A).per_s == 2

    @pytest.mark.parametrize("value", [None, b"9"])
    def test_ends_and_rises_under_requests_that_overlap(
        self, clock, table, value
    ):
        table.record(_A, b"4", clock.now_s)
        # Each request is sent before the response to the one before arrives.
        for _ in range(20):
            clock.now_s += 0.05
            table.record(_A, value, clock.now_s - 0.2)
        limit = table.get(_A)
        assert (limit.per_s if limit else None) == (9 if value else None)

    def test_changes_both_ways(self, clock, table):
        for value, rate in ((b"4", 4), (b"9", 9), (b"0", 0)):
            clock.now_s += 1
            table.record(_A, value, clock.now_s - 0.1)
            assert table.get(_A).per_s == rate

    @pytest.mark.parametrize("value", [b"nan", b"-3", b"soon"])
    def test_value_that_is_no_rate_changes_nothing(self, clock, table, value):
        table.record(_A, value, clock.now_s)
        assert table.get(_A) is None
        table.record(_A, b"4", clock.now_s)
        clock.now_s += 1
        table.record(_A, value, clock.now_s)
        assert table.get(_A).per_s == 4

    def test_rate_beyond_what_all_instances_send_is_no_limit(
        self, clock, table
    ):
        table.record(_A, b"4", clock.now_s - 0.1)
        clock.now_s += 1
        table.record(_A, b"1e300", clock.now_s)
        assert table.get(_A) is None

    def test_new_incarnation_has_none(self, clock):
        rows = _target_table(clock)
        table = ratelimits.RateLimitTable(rows)
        rows.add_incarnation_end_listener(table.remove_ended)
        table.record(_A, b"4", clock.now_s)
        rows.update(
            [test_gateway_decisions.entry("a", started_ms=2)], clock.now_s + 1
        )
        assert table.limited() == []
        table.merge([ratelimits.LimitRow("a", 1, 4.0, 0)], ids.InstanceId("i"))
        assert table.limited() == []

    @pytest.mark.parametrize("status", [200, 500, 503])
    def test_is_read_from_each_response_of_the_target_itself(
        self, clock, status
    ):
        rows = _target_table(clock)
        table = ratelimits.RateLimitTable(rows)
        signals = targetsignals.TargetSignals(
            headers.HEADERS, rows, metrics.Metrics(), table
        )
        fields = [(b"Server-Limit", b"4")]
        other = [*fields, (headers.HEADERS.faulty_target, b"10.0.0.9:1")]
        target = rows.get("a")
        for head in (
            messages.ResponseHead(status, b"", other),
            messages.ResponseHead(421, b"", fields),
        ):
            signals.handle(target, head, clock.now_s)
            assert table.get(_A) is None
        head = messages.ResponseHead(status, b"", fields)
        signals.handle(target, head, clock.now_s)
        assert table.get(_A).per_s == 4


class TestReports:
    def test_limit_and_its_end_reach_instances_that_were_not_told(
        self, clock, table
    ):
        peer = ratelimits.RateLimitTable(_target_table(clock))
        table.record(_A, b"4", clock.now_s)
        peer.merge(table.to_report(), ids.InstanceId("i1"))
        assert peer.get(_A).per_s == 4
        clock.now_s += 1
        table.record(_A, None, clock.now_s)
        peer.merge(table.to_report(), ids.InstanceId("i1"))
        assert peer.get(_A) is None

    def test_report_that_circulates_does_not_renew_itself(self, clock, table):
        peer = ratelimits.RateLimitTable(_target_table(clock))
        table.record(_A, b"4", clock.now_s)
        heard_s = clock.now_s
        for _ in range(100):
            rows = table.to_report()
            clock.now_s += 0.2
            peer.merge(rows, ids.InstanceId("i1"))
            rows = peer.to_report()
            clock.now_s += 0.2
            table.merge(rows, ids.InstanceId("i2"))
        assert table.get(_A).heard_s == heard_s

    @pytest.mark.parametrize(
        "row",
        [
            ratelimits.LimitRow("a", 1, -1.0, 0),
            ratelimits.LimitRow("a", 1, math.nan, 0),
            ratelimits.LimitRow("a", 1, math.inf, 0),
            ratelimits.LimitRow("a", 1, 4.0, -5),
            ratelimits.LimitRow("a", 1, 4.0, 10**15),
            ratelimits.LimitRow("other", 1, 4.0, 0),
            ratelimits.LimitRow("a", 7, 4.0, 0),
        ],
    )
    def test_odd_report_is_ignored(self, table, row):
        table.merge([row], ids.InstanceId("i1"))
        assert table.limited() == []

    def test_status_with_many_limits_fits_a_datagram(self, clock):
        rows = targets.TargetTable()
        entries = []
        for number in range(810):
            entries.append(
                test_gateway_decisions.entry(
                    f"engine-{number:04}", started_ms=1
                )
            )
        rows.update(entries, clock.now_s)
        table = ratelimits.RateLimitTable(rows)
        for entry in entries:
            key = incarnations.Incarnation(entry.id, 1)
            table.record(key, b"1.5", clock.now_s)
        status = test_odd_datagrams.status(limits=table.to_report())
        assert len(peermessages.encode(status)) < 20_000


class _OldStatus(
    msgspec.Struct, array_like=True, frozen=True, tag="s", tag_field="type"
):
    """The fields of a status as an earlier release knows them."""

    sender: str
    address: str
    zone: str
    version: int
    is_stopping: bool
    reaches_store: bool
    loads: list
    suspicions: list
    crashes: list
    lease_fence: int = 0
    lease_left_ms: int = 0
    cores: float = 1.0
    poison: list = []
    survived: list = []
    draining_targets: list = []
    link_mbps: float = 0.0
    holds: list = []
    accepts_relays: bool = False
    cut_services: list = []


class TestOtherRelease:
    def test_earlier_release_reads_the_status(self, clock, table):
        table.record(_A, b"4", clock.now_s)
        status = test_odd_datagrams.status(
            limits=table.to_report(), gives_permits=True
        )
        data = peermessages.encode(status)
        old = msgspec.msgpack.decode(data[1:], type=_OldStatus)
        assert old.sender == status.sender

    def test_status_of_an_earlier_release_is_read(self):
        row = _OldStatus("i1", "127.0.0.1:1", "z", 1, False, True, [], [], [])
        data = peermessages.encode(row)
        status = peermessages.decode(data)
        assert status.limits == []
        assert not status.gives_permits

    def test_no_permit_is_asked_of_an_earlier_release(self, world, monkeypatch):
        inst = world.instance()
        old = test_odd_datagrams.status(sender="old", address="127.0.0.1:9")
        inst.peer_status.apply(old)
        inst.permits.refresh()
        members = inst.permits._members()
        assert members.live == (ids.InstanceId("i1"),)
        assert members.known == 2


class TestHome:
    def test_home_that_does_not_know_the_target_keeps_the_limit(self, world):
        inst = world.instance()
        testbed.until(
            lambda: inst.permits._homes.is_settled(_A), "it is the home"
        )
        row = ratelimits.LimitRow("a", 1, 2.0, 0)
        granted = 0
        for number in range(50):
            request = peermessages.PermitRequest(number, "i2", row)
            granted += inst.permits.answer(request).is_granted
        assert granted <= 1

    def test_limit_that_is_no_rate_gets_no_permit(self, world):
        inst = world.instance()
        row = ratelimits.LimitRow("a", 1, math.nan, 0)
        request = peermessages.PermitRequest(1, "i2", row)
        assert not inst.permits.answer(request).is_granted


class TestPermitBook:
    def test_starts_empty_and_is_paced(self, clock):
        book = permitgrants.PermitBook()
        sent_s = []
        for _ in range(400):
            if book.request(_A, 4.0).is_granted:
                sent_s.append(clock.now_s)
            clock.now_s += 0.05
        for first_s in sent_s:
            window = [row for row in sent_s if 0 <= row - first_s <= 4.0]
            assert len(window) <= 4 * 4 + 2
        assert len(sent_s) >= 0.9 * 20 * 4

    def test_no_burst_after_a_quiet_time(self, clock):
        book = permitgrants.PermitBook()
        book.request(_A, 4.0)
        clock.now_s += 3600
        granted = sum(book.request(_A, 4.0).is_granted for _ in range(50))
        assert granted <= 2

    def test_limit_of_zero_leaves_trials_that_can_find_its_end(self, clock):
        book = permitgrants.PermitBook()
        granted = 0
        for _ in range(800):
            granted += book.request(_A, 0.0).is_granted
            clock.now_s += 0.05
        # The rule allows 5 requests in any 4 s.
        assert 5 <= granted <= 11

    def test_refused_instances_are_told_to_come_back_one_by_one(self, clock):
        book = permitgrants.PermitBook()
        waits = [book.request(_A, 4.0).wait_s for _ in range(12)]
        assert waits == sorted(waits)
        assert waits[0] == pytest.approx(0.25)
        assert waits[-1] - waits[0] == pytest.approx(11 * 0.25)

    def test_requests_of_instances_without_permits_count(self, clock):
        book = permitgrants.PermitBook()
        book.request(_A, 4.0)
        clock.now_s += 0.5
        book.record_use(_A, 6)
        assert not book.request(_A, 4.0).is_granted
        clock.now_s += 1.1
        assert not book.request(_A, 4.0).is_granted
        clock.now_s += 0.5
        assert book.request(_A, 4.0).is_granted


class TestModel:
    """Any number of instances under any trouble keeps the rule."""

    @pytest.mark.parametrize("trouble", list(permitmodel.Trouble))
    @pytest.mark.parametrize("count", [2, 15, 100])
    @pytest.mark.parametrize("per_s", [0.0, 1.6, 40.0])
    def test_all_instances_together_keep_the_limit(self, count, per_s, trouble):
        result = permitmodel.play(count, per_s, trouble)
        assert result.fullest <= result.allowed

    @pytest.mark.parametrize(
        "trouble",
        [permitmodel.Trouble.NONE, permitmodel.Trouble.RESTART_ALL],
    )
    def test_330_instances_keep_the_limit(self, trouble):
        result = permitmodel.play(330, 4.0, trouble)
        assert result.fullest <= result.allowed

    @pytest.mark.parametrize("count", [15, 100])
    def test_most_of_the_limit_is_used_in_calm(self, count):
        result = permitmodel.play(count, 4.0, permitmodel.Trouble.NONE)
        assert result.used > 0.8


class TestFleet:
    """What all instances together send to a limited target."""

    def test_many_instances_together_keep_the_limit_of_a_plain_target(
        self, world
    ):
        desk = world.service("d0")
        rows = _instances(world, 3)
        world.wait_for_targets(desk)
        desk.rate_limit = "2"
        _tell(rows, "/views/x")
        since_s = time.monotonic()
        answers = _send_all(rows, "/views/x", 90)
        assert desk.most_arrivals(_WINDOW_S, since_s) <= _allowed(2)
        for answer in answers:
            assert answer.status in (200, 503)
            assert answer.status == 200 or "Retry-After" in answer.headers

    def test_many_instances_together_keep_the_limit_of_an_engine(self, world):
        engines = [world.engine(f"e{number}") for number in range(4)]
        rows = _instances(world, 3)
        world.wait_for_targets(*engines)
        world.wait_for_layers()
        for engine in engines:
            engine.rate_limit = "2"
        _tell(rows, "/drafts/x", deadline_ms=_DRAFT_MS)
        since_s = time.monotonic()
        _send_all(rows, "/drafts/x", 90, deadline_ms=_DRAFT_MS)
        for engine in engines:
            assert engine.most_arrivals(_WINDOW_S, since_s) <= _allowed(2)
