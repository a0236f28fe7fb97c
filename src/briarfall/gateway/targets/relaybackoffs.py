"""Backoffs of targets that hold for one relayed request only.

A target asks the instance that sent a request to stay away (Retry-After). A
peer that serves a request of that instance leaves the target out for this
request, and still sends it the requests of its own callers. The instances tell
each other such backoffs with the request and its response.
"""

import collections.abc
import contextvars

import msgspec

from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway.targets import incarnations

# A target that asks for a longer backoff than this is assumed to be mistaken;
# its backoff is cut to this length.
MAX_BACKOFF_S = 60.0
# Length of the encoded backoffs in one message. The private header has room for
# more than them.
MAX_BYTES = 2_500
NONE = msgspec.Raw(b"[]")
_ENCODER = msgspec.json.Encoder()


class BackoffRow(msgspec.Struct, array_like=True, frozen=True):
    """Backoff of a target as an instance tells it to another one.

    Attributes:
        target: Id of the target.
        started_ms: Start of its incarnation in Unix milliseconds.
        left_ms: Milliseconds until the end of the backoff.
    """

    target: ids.TargetId
    started_ms: int
    left_ms: int


EndTimes = collections.abc.Mapping[incarnations.Incarnation, float]


class RequestBackoffs:
    """Backoffs that hold for one request of a peer.

    Args:
        until_s: Ends of the backoffs on the boot clock.

    Attributes:
        received_s: Time at which the request arrived.
        asked_until_s: Ends of the backoffs that targets asked for in response
            to the request, on the boot clock.
    """

    def __init__(self, until_s: EndTimes):
        self._until_s = until_s
        self.received_s = clocks.boot_s()
        self.asked_until_s: dict[incarnations.Incarnation, float] = {}

    def until_s(self, incarnation: incarnations.Incarnation) -> float:
        """Returns the end of a target's backoff, or 0 if there is none."""
        return self._until_s.get(incarnation, 0.0)


_current: contextvars.ContextVar[RequestBackoffs | None] = (
    contextvars.ContextVar("relayed_request_backoffs", default=None)
)


def current() -> RequestBackoffs | None:
    """Returns the backoffs of the request that this thread serves.

    They are None unless the request is a peer's.
    """
    return _current.get()


def set_current(backoffs: RequestBackoffs | None) -> None:
    """Sets the backoffs of the request that this thread serves."""
    _current.set(backoffs)


def encode(until_s: EndTimes) -> msgspec.Raw:
    """Returns the encoded backoffs that have not ended, longest first.

    Those that would exceed `MAX_BYTES` are left out.
    """
    if not until_s:
        return NONE
    now_s = clocks.boot_s()
    encoded = []
    size = len(NONE)
    for key in sorted(until_s, key=until_s.__getitem__, reverse=True):
        left_ms = int((until_s[key] - now_s) * 1000)
        if left_ms <= 0:
            break
        row = _ENCODER.encode(BackoffRow(key.target, key.started_ms, left_ms))
        size += len(row) + 1
        if size > MAX_BYTES:
            break
        encoded.append(row)
    return msgspec.Raw(b"[" + b",".join(encoded) + b"]")


def decode(data: msgspec.Raw) -> dict[incarnations.Incarnation, float]:
    """Returns the ends of encoded backoffs on the boot clock.

    A row that can't be decoded, or whose time has passed, is left out; a time
    above `MAX_BACKOFF_S` is cut to it.
    """
    if len(data) > MAX_BYTES:
        return {}
    until_s = {}
    now_s = clocks.boot_s()
    for raw in _rows(data):
        try:
            row = msgspec.json.decode(raw, type=BackoffRow)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            continue
        if row.left_ms <= 0:
            continue
        key = incarnations.Incarnation(row.target, row.started_ms)
        left_s = min(MAX_BACKOFF_S, min(row.left_ms, 10**9) / 1000)
        until_s[key] = now_s + left_s
    return until_s


def _rows(data: msgspec.Raw) -> list[msgspec.Raw]:
    try:
        return msgspec.json.decode(data, type=list[msgspec.Raw])
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return []
