"""Requests whose handling ends with an error that nobody expects."""

import logging

import pytest

from briarfall.gateway.exchanges import messages
from briarfall.gateway.forwarding import plain
from briarfall.standins.prepared import engines
from briarfall.standins.prepared import rawcaller
from briarfall.standins.prepared import testbed

COMPLETE = rawcaller.Ending.COMPLETE


def _fail(*_):
    raise RuntimeError("unexpected")


@pytest.fixture
def inst(world):
    desk = world.service("d1")
    found = world.instance()
    world.wait_for_targets(desk)
    return found


class TestUnexpectedError:
    """Errors in a caller's thread that are no `BriarfallError`."""

    def test_request_is_answered_and_its_connection_closed(
        self, inst, monkeypatch
    ):
        monkeypatch.setattr(plain.PlainForwarder, "forward", _fail)
        caller = rawcaller.RawCaller(inst.caller_address)
        caller.send(rawcaller.request("/orders/x", method="POST", body=b"a"))
        answer = caller.read(b"POST")
        assert (answer.ending, answer.status) == (COMPLETE, 500)
        assert answer.headers["connection"] == "close"
        assert caller.is_closed
        caller.close()

    def test_answer_to_head_has_no_body(self, inst, monkeypatch):
        monkeypatch.setattr(plain.PlainForwarder, "forward", _fail)
        caller = rawcaller.RawCaller(inst.caller_address)
        caller.send(rawcaller.request("/views/x", method="HEAD"))
        answer = caller.read(b"HEAD")
        assert (answer.ending, answer.status) == (COMPLETE, 500)
        assert caller.is_closed
        caller.close()

    def test_request_after_an_answered_one_is_answered(self, inst, monkeypatch):
        caller = rawcaller.RawCaller(inst.caller_address)
        caller.send(rawcaller.request("/views/x"))
        assert caller.read().status == 200
        monkeypatch.setattr(plain.PlainForwarder, "forward", _fail)
        caller.send(rawcaller.request("/views/x"))
        assert caller.read().status == 500
        caller.close()

    def test_error_after_an_answer_adds_no_second_one(self, inst, monkeypatch):
        def answer_and_fail(_, call):
            call.conn.answer(200, [], b"whole")
            _fail()

        monkeypatch.setattr(plain.PlainForwarder, "forward", answer_and_fail)
        caller = rawcaller.RawCaller(inst.caller_address)
        caller.send(rawcaller.request("/views/x"))
        assert caller.read().body == b"whole"
        assert caller.is_closed
        caller.close()

    def test_answer_with_unwritable_header_is_replaced(self, inst, monkeypatch):
        def answer(_, call):
            call.conn.answer(200, [(b"X-Odd", b"a\r\nb")], b"whole")

        monkeypatch.setattr(plain.PlainForwarder, "forward", answer)
        answer = rawcaller.exchange(inst, rawcaller.request("/views/x"))
        assert (answer.ending, answer.status) == (COMPLETE, 500)

    @pytest.mark.parametrize("http", ["1.0", "1.1"])
    @pytest.mark.parametrize("headers", [[], [(b"Content-Length", b"9")]])
    def test_answer_that_has_begun_does_not_look_complete(
        self, inst, monkeypatch, http, headers
    ):
        def begin_and_fail(_, call):
            call.conn.send_head(200, headers)
            call.conn.send_data(b"begun")
            _fail()

        monkeypatch.setattr(plain.PlainForwarder, "forward", begin_and_fail)
        answer = rawcaller.exchange(
            inst, rawcaller.request("/views/x", http=http)
        )
        assert answer.ending is rawcaller.Ending.CUT

    def test_log_names_the_request_and_the_error(
        self, inst, monkeypatch, caplog
    ):
        monkeypatch.setattr(logging.getLogger("absl"), "propagate", True)
        monkeypatch.setattr(plain.PlainForwarder, "forward", _fail)
        rawcaller.exchange(
            inst, rawcaller.request("/views/x", headers={"X-Request-Id": "odd"})
        )
        rows = [row for row in caplog.records if row.exc_info]
        assert "request=odd" in rows[0].getMessage()
        assert rows[0].exc_info[0] is RuntimeError

    def test_errors_are_counted(self, inst, monkeypatch):
        monkeypatch.setattr(plain.PlainForwarder, "forward", _fail)
        rawcaller.exchange(inst, rawcaller.request("/views/x"))
        monkeypatch.undo()
        text = inst.metrics.expose()
        assert b'briarfall_unexpected_errors_total{listener="callers"} 1' in (
            text
        )
        assert b'outcome="unexpected_error"' in text

    def test_readiness_check_is_answered(self, inst, monkeypatch):
        monkeypatch.setattr(
            messages.CallerRequest, "path", property(_fail), raising=True
        )
        caller = rawcaller.RawCaller(inst.status_address)
        caller.send(rawcaller.request("/v1/ready"))
        answer = caller.read()
        assert (answer.ending, answer.status) == (COMPLETE, 500)
        caller.close()


class TestOddNumbersInRequests:
    """Numbers that can't be used in calculations."""

    @pytest.mark.parametrize(
        "deadline",
        ["nan", "inf", "-inf", "1e400", "-5", "0", "1e300", "9" * 5000],
    )
    def test_call_with_an_odd_deadline_is_answered(self, inst, deadline):
        answer = rawcaller.exchange(
            inst,
            rawcaller.request("/views/x", headers={"X-Deadline-Ms": deadline}),
        )
        assert answer.ending is COMPLETE

    @pytest.mark.parametrize(
        "headers",
        [
            {"X-Token-Usage": "9" * 400 + ",9"},
            {"X-Token-Usage": "9," + "9" * 400},
            {"X-Token-Usage": "9" * 5000},
            {"X-Token-Usage": "\xb2,\xb2"},
            {"X-Length-Hint": "9" * 400},
            {"Last-Event-Id": "9" * 5000},
        ],
        ids=lambda row: f"{next(iter(row))}-{len(next(iter(row.values())))}",
    )
    def test_stream_with_an_odd_number_is_answered(self, world, headers):
        for number in range(2):
            world.engine(f"e{number}", kind="large")
        inst = world.instance()
        world.wait_for_layers()
        answer = rawcaller.exchange(
            inst,
            rawcaller.request("/drafts/x", method="POST", headers=headers),
            "POST",
        )
        assert answer.ending is COMPLETE


class TestOddEventNumber:
    """Event numbers of an engine that can't be converted."""

    def test_stream_is_answered_without_an_unexpected_error(
        self, world, monkeypatch
    ):
        def respond(self, conn, *_):
            conn.send_chunk(b"id: %s\ndata: x\n\n" % (b"9" * 5000))
            conn.send_chunk(b"")
            return True

        monkeypatch.setattr(engines.EngineStandin, "_generate_events", respond)
        world.engine("e1", kind="large")
        inst = world.instance()
        world.wait_for_layers()
        answer = rawcaller.exchange(
            inst, rawcaller.request("/drafts/x", method="POST"), "POST"
        )
        assert (answer.ending, answer.status) == (COMPLETE, 502)
        assert (
            b"briarfall_unexpected_errors_total{" not in inst.metrics.expose()
        )


class TestOddNamesInTheCatalogue:
    """Names that can't be written into a header."""

    @pytest.mark.parametrize("name", ["a\r\nb", "a\0b", "", " crew "])
    def test_call_of_an_account_is_answered(self, world, name):
        desk = world.service("d1")
        inst = world.instance()
        world.wait_for_targets(desk)
        value = testbed.manifest(2)
        value["tenants"][0]["name"] = name
        world.publish(value)
        testbed.until(lambda: inst.follower.view.version == 2, "version 2")
        answer = rawcaller.exchange(inst, rawcaller.request("/views/x"))
        assert answer.ending is COMPLETE
