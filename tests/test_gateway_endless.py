"""Targets that send endless responses."""

import pytest

from briarfall.gateway import clocks
from briarfall.gateway.exchanges import events
from briarfall.gateway.exchanges import targetconnection
from briarfall.standins.prepared import registeredtarget
from briarfall.standins.prepared import testbed

ENDLESS = [
    row for row in registeredtarget.Fault if row.value.startswith("endless")
]
# Far below what a target could send before the deadline of a request.
_MAX_BYTES = 64 * 2**20
# Targets are drawn at random; so many calls never miss one of two.
_MAX_CALLS = 60


class TestEndlessAnswer:
    @pytest.mark.parametrize("fault", ENDLESS[:-1], ids=lambda row: row.value)
    def test_call_is_answered_by_another_target(self, world, fault):
        desks = [world.service(f"d{number}") for number in range(2)]
        inst = world.instance()
        world.wait_for_targets(*desks)
        desks[0].fault = fault
        for number in range(_MAX_CALLS):
            answer = testbed.call(inst, "/views/x", request_id=f"r{number}")
            assert (answer.status, answer.body) == (200, b"ran:")
            if number >= 5 and desks[0].arrivals:
                break
        assert desks[0].arrivals
        assert desks[0].sent_bytes < _MAX_BYTES

    @pytest.mark.parametrize("fault", ENDLESS[:-1], ids=lambda row: row.value)
    def test_call_that_may_run_once_ends_with_unknown_outcome(
        self, world, fault
    ):
        desk = world.service("d0")
        desk.fault = fault
        inst = world.instance()
        world.wait_for_targets(desk)
        answer = testbed.call(inst, "/orders/x", method="POST")
        assert answer.status == 502
        assert desk.sent_bytes < _MAX_BYTES

    @pytest.mark.parametrize("fault", ENDLESS, ids=lambda row: row.value)
    def test_endless_stream_ends_before_its_deadline(self, world, fault):
        engines = [world.engine(f"e{number}") for number in range(8)]
        inst = world.instance()
        world.wait_for_layers()
        heads = [engine for engine in engines if engine.layers[0] == 0]
        for engine in heads:
            engine.fault = fault
        testbed.call(
            inst,
            "/drafts/x",
            method="POST",
            request_id="r1",
            deadline_ms=60_000,
        )
        assert any(engine.arrivals for engine in heads)
        assert sum(engine.sent_bytes for engine in heads) < _MAX_BYTES


class TestEndlessEvent:
    def test_event_without_end_is_an_error(self):
        splitter = events.EventSplitter()
        with pytest.raises(events.EventTooLongError):
            for _ in range(1000):
                splitter.feed(b"data: " + b"a" * 10_000)


class TestLateResponse:
    """A throttled process still reads what arrived while it did not run."""

    def test_complete_response_is_read_long_after_the_deadline(self, world):
        desk = world.service("d0")
        conn = targetconnection.TargetConnection(desk.address, 1.0)
        conn.watch(None)
        fields = [
            (b"Host", b"x"),
            (b"X-Request-Id", b"r1"),
            (b"Content-Length", b"0"),
        ]
        deadline_s = clocks.boot_s() + 5.0
        conn.send(b"GET", b"/views/x", fields, b"", deadline_s)
        assert conn.wait(deadline_s)
        late_s = clocks.boot_s() - 60.0
        head = conn.read_head(late_s)
        assert head.status == 200
        assert conn.read_body(late_s) == b"ran:"
        conn.close()
