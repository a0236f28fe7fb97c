"""Answers whose connection is reset, as the product's own path reads them."""

import pytest

from briarfall import exceptions
from briarfall import httpclient
from briarfall import sessions
from briarfall.adapters import engine
from briarfall.adapters import log
from briarfall.adapters import service
from briarfall.adapters import weightstore
from tests import earlyanswers

Ending = earlyanswers.Ending
Framing = earlyanswers.Framing
Reading = earlyanswers.Reading
_TIMEOUT_S = 10.0
_BODY = b"x" * earlyanswers.LONG_BYTES


@pytest.fixture
def serve():
    """Returns a function that serves early answers; it returns the URL."""
    with earlyanswers.servers() as start:
        yield lambda early: f"http://{start(early)}"


@pytest.fixture(params=[True, False], ids=["kept", "new"])
def client(request):
    """Returns a client of a URL that keeps its connections, or does not."""

    def start(url):
        return httpclient.HttpClient(url, keep_alive=request.param)

    return start


class TestHttpClient:
    # Guards against a part of an answer that passes as the whole one, since
    # the send of the request has received the error.
    @earlyanswers.EACH_STATUS
    @earlyanswers.EACH_READING
    def test_takes_no_answer_that_is_reset(
        self, serve, client, reading, status
    ):
        early = earlyanswers.EarlyAnswer(reading=reading)
        early.status = status
        with pytest.raises(exceptions.TargetError) as caught:
            client(serve(early)).send(
                "POST", "/x", timeout_s=_TIMEOUT_S, body=_BODY
            )
        assert caught.value.outcome is exceptions.Outcome.UNKNOWN

    @pytest.mark.parametrize("size", [0, 600])
    def test_takes_none_after_a_short_request(self, serve, client, size):
        with pytest.raises(exceptions.TargetError):
            client(serve(earlyanswers.EarlyAnswer())).send(
                "POST", "/x", timeout_s=_TIMEOUT_S, body=b"x" * size
            )

    # Guards against whole answers that count as cut.
    @earlyanswers.EACH_STATUS
    @earlyanswers.EACH_READING
    @earlyanswers.EACH_ORDERLY_ENDING
    def test_takes_one_that_ends_in_order(
        self, serve, client, ending, reading, status
    ):
        early = earlyanswers.EarlyAnswer(ending, reading)
        early.status = status
        reply = client(serve(early)).send(
            "POST", "/x", timeout_s=_TIMEOUT_S, body=_BODY
        )
        assert (reply.status, reply.body) == (status, earlyanswers.WHOLE)

    @earlyanswers.EACH_READING
    @earlyanswers.EACH_TOLD_FRAMING
    def test_takes_one_that_is_as_long_as_it_says(
        self, serve, client, framing, reading
    ):
        early = earlyanswers.EarlyAnswer(Ending.RESET_WHOLE, reading)
        early.framing = framing
        reply = client(serve(early)).send(
            "POST", "/x", timeout_s=_TIMEOUT_S, body=_BODY
        )
        assert (reply.status, reply.body) == (200, earlyanswers.WHOLE)

    def test_reads_a_part_only_once(self, serve, client):
        resp = client(serve(earlyanswers.EarlyAnswer())).open(
            "POST", "/x", timeout_s=_TIMEOUT_S, body=_BODY
        )
        received = 0
        with pytest.raises(Exception, match="[Rr]eset"):
            while data := resp.read1(100):
                received += len(data)
        assert received <= len(earlyanswers.HALF)


def _append(url):
    log.HttpLogAdapter(url).append("stream", _BODY)


def _read_log(url):
    log.HttpLogAdapter(url).read("stream", 0, limit=10, wait_s=1.0)


def _order(url):
    call = service.ServiceCall("POST", "/orders", _BODY, {})
    service.HttpServiceAdapter(url).send(call, _TIMEOUT_S)


def _command(url):
    command = engine.EngineCommand(1, "m" * len(_BODY), "v1")
    engine.HttpEngineAdapter(url).command(command)


def _generate(url):
    call = engine.GenerateCall("s", 1, "p" * len(_BODY), [], 4, 0, 0, 0, [])
    stream = engine.HttpEngineAdapter(url).generate(call)
    try:
        while stream.read() is not None:
            continue
    finally:
        stream.release()


def _read_load(url):
    engine.HttpEngineAdapter(url).load(_TIMEOUT_S)


def _read_rate(url):
    weightstore.HttpWeightStoreAdapter(url).rate()


def _call_service(url):
    with sessions.Session(url, timeout_s=_TIMEOUT_S) as session:
        session.call("booking", "orders", _BODY)


def _complete(url):
    with sessions.Session(url, timeout_s=_TIMEOUT_S) as session:
        session.complete("draft", "p" * len(_BODY))


def _stream(url):
    with sessions.Session(url, timeout_s=_TIMEOUT_S) as session:
        for _ in session.stream("draft", "p" * len(_BODY)):
            continue


def _read_status(url):
    with sessions.Session(url, timeout_s=_TIMEOUT_S) as session:
        session.send("GET", "/status")


# What reads an answer, and bytes that are a whole one for it.
_READERS = {
    _append: b'{"offset":1}',
    _read_log: b'{"records":[],"first":0,"end":0}',
    _order: b"done",
    _command: b'{"model":"m","version":"v1"}',
    _generate: b'data: {"tokens":[[0,"t",1,[[0,1]],"stop"]]}',
    _read_load: b'{"running":1,"waiting":0}',
    _read_rate: b'{"bytes_per_s":1.0}',
    _call_service: b"done",
    _complete: b'{"id":"r1","choices":[{"text":"t"}],'
    b'"usage":{"completion_tokens":1}}',
    _stream: b'id: 1\ndata: {"choices":[{"text":"t"}]}\n\n',
    _read_status: b"{}",
}


class TestReader:
    """What reads answers through the client."""

    @pytest.mark.parametrize("read", _READERS, ids=lambda read: read.__name__)
    @earlyanswers.EACH_STATUS
    @earlyanswers.EACH_READING
    def test_takes_no_answer_that_is_reset(self, serve, read, reading, status):
        early = earlyanswers.EarlyAnswer(reading=reading)
        early.status = status
        part = _READERS[read]
        early.body, early.sent = part + b" " * 100, len(part)
        with pytest.raises(exceptions.BriarfallError):
            read(serve(early))
