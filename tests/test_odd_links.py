"""Tests that an odd message on a link between instances raises PeerError."""

import concurrent.futures

import cbor2
import pytest

from briarfall import exceptions
from briarfall.membership import links
from briarfall.membership import messages

_CALL_ID = 1


class _Socket:
    """Socket that delivers given messages once and keeps what is sent."""

    def __init__(self, received):
        self._received = received
        self.socket = self
        self.sent = []

    def __iter__(self):
        return iter(self._received)

    def send(self, data):
        self.sent.append(data)

    def shutdown(self, how):
        pass


def open_link(*received) -> links.Connection:
    handlers = links.Handlers()
    handlers.add("beat", messages.Heartbeat, lambda message: None)
    pool = concurrent.futures.ThreadPoolExecutor(1)
    return links.Connection(_Socket(received), handlers, pool, links.Counters())


def _message(*fields) -> bytes:
    return cbor2.dumps(list(fields))


_ERROR = int(links.Kind.ERROR)
_CAST = int(links.Kind.ONE_WAY)
_CALL = int(links.Kind.CALL)
_ODD = {
    "empty": b"",
    "nested": b"\x81" * 100_000,
    "too_long": b"\x9a\xff\xff\xff\xff",
    "number": cbor2.dumps(1),
    "few_fields": _message(_CAST, 1),
    "kind_unknown": _message(99, 1, "beat", None),
    "kind_list": _message([], 1, "beat", None),
    "method_list": _message(_CAST, 1, [], None),
    "id_list": _message(_ERROR, [], "", None),
    "id_map": _message(_CALL, {}, "beat", None),
}


@pytest.mark.parametrize("name", _ODD)
def test_odd_message_raises_peer_error(name):
    with pytest.raises(exceptions.PeerError):
        open_link(_ODD[name]).run()


@pytest.mark.parametrize(
    "payload", [None, 3, [], [1, 2], [[], "x", "not_run"], ["x", "y", "odd"]]
)
def test_odd_error_answer_fails_its_call_with_peer_error(payload):
    link = open_link(_message(_ERROR, _CALL_ID, "", payload))
    fut = concurrent.futures.Future()
    link._pending[_CALL_ID] = fut
    link.run()
    assert isinstance(fut.exception(0), exceptions.PeerError)


@pytest.mark.parametrize(
    "payload", [None, 3, [], ["i2", 10**400, True, 1], ["i2", -1, "x", 1]]
)
def test_odd_payload_costs_only_its_message(payload):
    odd = _message(_CAST, 1, "beat", payload)
    link = open_link(odd, odd)
    link.run()
    assert link.closed.is_set()
