"""Tests that a client gets typed errors for odd answers of a router."""

import json

import pytest

from briarfall import exceptions
from briarfall import httpclient
from briarfall import sessions
from tests import test_odd_records

_ODD = {
    **test_odd_records.NO_JSON,
    "no_choices": b'{"id": "1", "choices": [], "usage": {}}',
    "choice_number": b'{"id": "1", "choices": [3]}',
    "text_number": b'{"id": "1", "choices": [{"text": 3}]}',
}


def parse(*lines):
    return list(sessions._parse_events(lines))


@pytest.mark.parametrize("name", _ODD)
def test_odd_event_raises_target_error(name):
    with pytest.raises(exceptions.TargetError):
        parse(b"data: " + _ODD[name])


@pytest.mark.parametrize("name", _ODD)
def test_odd_error_event_raises_typed_error(name):
    with pytest.raises(exceptions.BriarfallError):
        parse(b"event: error", b"data: " + _ODD[name])


def test_event_id_that_is_no_text_raises_target_error():
    with pytest.raises(exceptions.TargetError):
        parse(b"id: \xff")


@pytest.mark.parametrize("name", _ODD)
def test_odd_completion_raises_target_error(name, monkeypatch):
    session = sessions.Session.__new__(sessions.Session)
    reply = httpclient.Reply(200, _ODD[name])
    monkeypatch.setattr(session, "send", lambda *args: reply)
    with pytest.raises(exceptions.TargetError):
        session.complete("m", "p")


@pytest.mark.parametrize(
    "value", ["\u00b2", "9" * 5000, "-1", "nan", "soon", ""]
)
def test_odd_retry_after_is_ignored(value):
    reply = httpclient.Reply(503, b"", {"Retry-After": value})
    assert sessions.error_of(reply).retry_after_s is None


@pytest.mark.parametrize("code", ["log_gap", "bad_request", "odd"])
def test_odd_outcome_counts_as_unknown(code):
    detail = {"code": code, "message": "m", "remedy": "r", "outcome": "odd"}
    body = json.dumps({"error": detail}).encode()
    exc = sessions.error_of(httpclient.Reply(400, body))
    assert exc.outcome is exceptions.Outcome.UNKNOWN
