"""What instances tell each other about a request that one relays to another.

A relayed request and its response carry it in a private header, which neither
callers nor targets see.
"""

import enum

import msgspec

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway.exchanges import messages
from briarfall.gateway.targets import relaybackoffs

_HEADER = b"briarfall-relay"
_UNREAD = b"briarfall-relay-unread"
# Header of the refusal of a connection from which nothing was read.
UNREAD_HEADER = (_UNREAD, b"1")
# Added to the size limit of request heads for the private header.
MAX_HEADER_BYTES = 4096
_ENCODER = msgspec.json.Encoder()


class RelayOutcome(enum.Enum):
    """What a peer's response to a relayed request is.

    Attributes:
        TARGET: The response of a target.
        NOT_RUN: A refusal; the peer has caused no run of the request.
        UNKNOWN: An error after which the request may have run.
    """

    TARGET = "target"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class RelayedRequest(msgspec.Struct, frozen=True):
    """The state of a request when an instance relays it to a peer.

    Attributes:
        exchange: Id of this exchange, which the response repeats.
        sender: The instance that relays it.
        sends: How often it was sent to a target.
        runs: How often it may have run.
        max_runs: How often it may run at most, the earlier runs included.
        has_unknown_outcome: Whether the outcome of an attempt is unknown.
        heads: Engines that ran it as the head of a chain and may still live.
        backoffs: Backoffs that targets of its service asked the sender for,
            as `relaybackoffs` encodes them.
        is_single_run: Whether it may run only once by what the sender knows.
            Earlier releases don't tell it.
    """

    exchange: str
    sender: ids.InstanceId
    sends: int
    runs: int
    max_runs: int
    has_unknown_outcome: bool
    heads: list[ids.TargetId] = []
    backoffs: msgspec.Raw = relaybackoffs.NONE
    is_single_run: bool = True


class RelayedResponse(msgspec.Struct, frozen=True):
    """The state of a relayed request when the peer responds.

    Attributes:
        exchange: Id of the exchange.
        outcome: What the response is.
        sends: How often the request was sent to a target so far.
        runs: How often it may have run so far.
        backoffs: Backoffs that targets asked for in response to it, as
            `relaybackoffs` encodes them.
        is_single_run: Whether it may run only once by what the peer knows.
            Earlier releases don't tell it.
    """

    exchange: str
    outcome: RelayOutcome
    sends: int
    runs: int
    backoffs: msgspec.Raw = relaybackoffs.NONE
    is_single_run: bool = True


def without_private(headers: messages.Headers) -> messages.Headers:
    """Returns the headers without those that are private to instances."""
    kept = []
    for key, value in headers:
        if not key.lower().startswith(messages.PRIVATE_PREFIX):
            kept.append((key, value))
    return kept


def header_of(state: RelayedRequest | RelayedResponse) -> tuple[bytes, bytes]:
    """Returns the private header that carries a state."""
    return _HEADER, _ENCODER.encode(state)


def decode_request(headers: messages.Headers) -> RelayedRequest:
    """Returns the state that a relayed request carries.

    Raises:
        PeerError: It carries none, or one that can't be decoded.
    """
    return _decode(headers, RelayedRequest)


def decode_response(headers: messages.Headers) -> RelayedResponse:
    """Returns the state that a response to a relayed request carries.

    Raises:
        PeerError: It carries none, or one that can't be decoded.
    """
    return _decode(headers, RelayedResponse)


def says_unread(headers: messages.Headers) -> bool:
    """Whether a response says that nothing of its connection was read.

    It then belongs to no request, and carries the state of none.
    """
    if messages.find(headers, _HEADER) is not None:
        return False
    return messages.find(headers, _UNREAD) is not None


def _decode(headers: messages.Headers, kind):
    value = messages.find(headers, _HEADER)
    if value is None:
        raise exceptions.PeerError(f"no header {_HEADER.decode()}")
    try:
        return msgspec.json.decode(value, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise exceptions.PeerError(
            f"header {_HEADER.decode()} can't be decoded: {exc}"
        ) from exc
