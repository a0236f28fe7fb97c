"""Streams whose next engine answers with something else than their rest."""

import contextlib

import pytest

from briarfall.standins.prepared import engines
from briarfall.standins.prepared import network
from briarfall.standins.prepared import rawhttp
from briarfall.standins.prepared import testbed

_TEXT = b"error: out of memory\n\n"
_EVENTS = list(range(1, 13))


def _chunked(conn, headers, body):
    conn.send_chunked_head(headers)
    if body:
        conn.send_chunk(body)
    conn.send_chunk(b"")


def _signed(echo, **extra):
    return {**echo, **extra}


def _unsigned(echo, **extra):
    return {"X-Request-Id": echo["X-Request-Id"], **extra}


def _lines(headers):
    lines = [f"{name}: {value}\r\n" for name, value in headers.items()]
    return ("".join(lines) + "\r\n").encode()


# What an engine sends in response to a request that resumes a stream.
ANSWERS = {
    "500": lambda conn, echo: conn.respond(500, _TEXT, echo),
    "404": lambda conn, echo: conn.respond(404, _TEXT, echo),
    "503": lambda conn, echo: conn.respond(503, _TEXT, echo),
    "unsigned text": lambda conn, echo: _chunked(conn, _unsigned(echo), _TEXT),
    "unsigned end": lambda conn, echo: _chunked(conn, _unsigned(echo), b""),
    "unsigned length": lambda conn, echo: conn.respond(
        200, b"", _unsigned(echo)
    ),
    "signed text": lambda conn, echo: _chunked(conn, echo, _TEXT),
    "signed head": lambda conn, echo: _chunked(
        conn, echo, rawhttp.response(500, _TEXT, echo) + b"\r\n\r\n"
    ),
    "encoded": lambda conn, echo: _chunked(
        conn, _signed(echo, **{"Content-Encoding": "gzip"}), b"id: 5\n\n"
    ),
    "no content": lambda conn, echo: conn.send(
        b"HTTP/1.1 204 No Content\r\n" + _lines(echo)
    ),
}


@pytest.fixture
def world():
    with testbed.world() as scene:
        yield scene


@pytest.fixture
def links():
    with contextlib.closing(network.Network()) as net:
        yield net


def _answer_resumed(monkeypatch, answer, count):
    """Lets the first `count` requests that resume a stream get an answer."""
    given = []
    handle = engines.EngineStandin._handle_stream

    def respond(engine, conn, req):
        if "last-event-id" not in req.headers or len(given) >= count:
            return handle(engine, conn, req)
        given.append(engine.id)
        engine.record_arrival(req)
        request_id = req.headers["x-request-id"]
        echo = {"X-Request-Id": request_id, "X-Response-Signature": engine.id}
        answer(conn, echo)
        return True

    monkeypatch.setattr(engines.EngineStandin, "_handle_stream", respond)
    return given


def _pool(world, count=4):
    rows = [world.engine(f"e{number}") for number in range(count)]
    inst = world.instance()
    world.wait_for_targets(*rows)
    world.wait_for_layers()
    for engine in rows:
        engine.reset_after_event = 4
    return inst, rows


def _draft(inst):
    return testbed.call(inst, "/drafts/x", method="POST", deadline_ms=15_000)


def _check_no_foreign_bytes(answer):
    assert b"error" not in answer.body
    assert b"HTTP" not in answer.body
    found = testbed.event_ids(answer.body)
    assert found == _EVENTS[: len(found)]


class TestResumedStream:
    @pytest.mark.parametrize("name", ANSWERS)
    def test_odd_answer_is_skipped_and_the_stream_completed(
        self, world, monkeypatch, name
    ):
        inst, rows = _pool(world)
        given = _answer_resumed(monkeypatch, ANSWERS[name], 1)

        def stop_resets(*args):
            for engine in rows:
                engine.reset_after_event = 0

        monkeypatch.setattr(
            rawhttp.RawConnection, "reset", _resets(stop_resets)
        )
        answer = _draft(inst)
        assert given
        _check_no_foreign_bytes(answer)
        assert answer.error is None
        assert testbed.event_ids(answer.body) == _EVENTS

    @pytest.mark.parametrize("name", ANSWERS)
    def test_stream_that_cannot_go_on_does_not_end_as_complete(
        self, world, monkeypatch, name
    ):
        inst, _ = _pool(world)
        given = _answer_resumed(monkeypatch, ANSWERS[name], 100)
        answer = _draft(inst)
        assert given
        assert answer.error is not None
        _check_no_foreign_bytes(answer)


def _resets(listener):
    reset = rawhttp.RawConnection.reset

    def call(conn):
        listener()
        reset(conn)

    return call


class TestResumedThroughAPeer:
    @pytest.mark.parametrize("name", ANSWERS)
    def test_stream_that_cannot_go_on_does_not_end_as_complete(
        self, world, monkeypatch, links, name
    ):
        rows = [world.engine(f"e{number}") for number in range(4)]
        net = links
        cut = world.instance("i1", dialer=net)
        world.instance("i2")
        world.wait_for_targets(*rows)
        world.wait_for_layers()
        testbed.until(
            lambda: cut.peers.instance_count == 2, "the peer is known"
        )
        for engine in rows:
            engine.reset_after_event = 4
        given = _answer_resumed(monkeypatch, ANSWERS[name], 100)
        reset = rawhttp.RawConnection.reset

        def cut_off(conn):
            net.cut(network.Cut.REFUSE_NEW, rows)
            reset(conn)

        monkeypatch.setattr(rawhttp.RawConnection, "reset", cut_off)
        answer = _draft(cut)
        assert given
        assert answer.error is not None
        _check_no_foreign_bytes(answer)
