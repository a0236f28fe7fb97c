"""Datagrams between gateway instances."""

import zlib

from absl import logging
import msgspec

from briarfall import decoding
from briarfall import exceptions
from briarfall import ids
from briarfall.gateway.catalogue import recordchecks
from briarfall.gateway.catalogue import sources
from briarfall.gateway.catalogue import views
from briarfall.gateway.crashes import crashevidence
from briarfall.gateway.crashes import partholds
from briarfall.gateway.crashes import poisonlist
from briarfall.gateway.scheduling import demands
from briarfall.gateway.targets import incarnations
from briarfall.gateway.targets import ratelimits


class LoadRow(msgspec.Struct, array_like=True, frozen=True):
    """Requests in flight of the sender on one target.

    Attributes:
        target: Id of the target.
        streams: Number of requests in flight.
        tokens: Tokens that they reserve in the KV cache of the target.
        heads: Number of them that the target received as the head of their
            chain, or -1 if the sender doesn't tell.
    """

    target: ids.TargetId
    streams: int
    tokens: int
    heads: int = -1


class Suspicion(msgspec.Struct, array_like=True, frozen=True):
    """Suspected target, with the time for which it is avoided.

    Attributes:
        target: Id of the target.
        started_ms: Start of its incarnation in Unix milliseconds.
        left_ms: Milliseconds for which the target is still avoided.
    """

    target: ids.TargetId
    started_ms: int
    left_ms: int


class Status(
    msgspec.Struct, array_like=True, frozen=True, tag="s", tag_field="type"
):
    """Status that an instance sends to its peers at short intervals.

    Attributes:
        sender: Name of the sending instance.
        address: Address at which the sender listens for other instances.
        zone: Availability zone of the sender.
        version: Version of the sender's catalogue, or -1.
        is_stopping: Whether the sender is stopping.
        reaches_store: Whether the sender's last read of the store succeeded.
        loads: Requests in flight of the sender, by target.
        suspicions: Targets that failed for requests of the sender.
        crashes: Targets that recently crashed while they ran a request of the
            sender.
        lease_fence: Fencing number of the sender's placement lease, or 0.
        lease_left_ms: Milliseconds for which the sender still holds the
            lease, or 0.
        cores: Processor cores that the sender may use.
        poison: Poison suspects, which must not be sent to targets.
        survived: Suspects that ran without a crash after earlier crashes.
        draining_targets: Incarnations of targets that are draining.
        link_mbps: Demand of the sender's requests on the inter-zone link.
        holds: Parts of prompts that the sender tries with one request.
        accepts_relays: Whether the sender serves relayed requests.
        cut_services: Services of which the sender reaches no target.
        limits: Rate limits of targets that the sender knows.
        gives_permits: Whether the sender gives out permits for limited
            targets and sends them no request without one.
        class_demands: What each class of requests asks for at the sender.
    """

    sender: ids.InstanceId
    address: str
    zone: ids.ZoneId
    version: int
    is_stopping: bool
    reaches_store: bool
    loads: list[LoadRow]
    suspicions: list[Suspicion]
    crashes: list[crashevidence.Crash]
    lease_fence: int = 0
    lease_left_ms: int = 0
    cores: float = 1.0
    poison: list[poisonlist.PoisonRow] = []
    survived: list[crashevidence.SuspectKey] = []
    draining_targets: list[incarnations.Incarnation] = []
    link_mbps: float = 0.0
    holds: list[partholds.HoldRow] = []
    accepts_relays: bool = False
    cut_services: list[views.ServiceName] = []
    limits: list[ratelimits.LimitRow] = []
    gives_permits: bool = False
    class_demands: list[demands.DemandRow] = []


class FreshnessRequest(
    msgspec.Struct, array_like=True, frozen=True, tag="q", tag_field="type"
):
    """Asks a peer how old its catalogue and target list are.

    Attributes:
        number: Number of the request, which the response repeats.
        incarnation: Incarnation of the peer that `revision` belongs to.
        revision: Last known revision of the peer's target table.
    """

    number: int
    incarnation: int
    revision: int


class TargetChanges(msgspec.Struct, array_like=True, frozen=True):
    """Changes of a peer's target table after some revision.

    Attributes:
        revision: Revision of the table after the changes.
        changed: Entries that are new or changed.
        gone: Ids of the targets that were removed.
    """

    revision: int
    changed: list[sources.TargetEntry]
    gone: list[ids.TargetId]


class FreshnessResponse(
    msgspec.Struct, array_like=True, frozen=True, tag="a", tag_field="type"
):
    """Ages of a peer's catalogue and target list, with the target changes.

    Attributes:
        number: Number of the request.
        incarnation: Incarnation of the responding peer.
        version: Version of the peer's catalogue, or -1.
        catalogue_age_ms: Milliseconds since the read that confirmed it, or -1.
        targets_age_ms: Age of the peer's target list in milliseconds, or -1.
        changes: Packed `TargetChanges`, or their first part.
        parts: Number of parts; the further ones are requested one by one.
        since: Revision of the table after which the changes start.
        revision: Revision of the table with which the changes end.
        epoch: Epoch of the store that the peer's target list is of, or -1.
        reads_to_end: Whether the peer confirms its catalogue only by reads that
            reached the end of the log, which earlier releases don't.
    """

    number: int
    incarnation: int
    version: int
    catalogue_age_ms: int
    targets_age_ms: int
    changes: bytes
    parts: int = 1
    since: int = -1
    revision: int = -1
    epoch: int = -1
    reads_to_end: bool = False


class PartRequest(
    msgspec.Struct, array_like=True, frozen=True, tag="c", tag_field="type"
):
    """Requests a part of the compressed catalogue or of target changes.

    Attributes:
        number: Number of the request, which the response repeats.
        part: Index of the part, from 0.
        since: Revision after which the changes start; None for the catalogue.
        revision: Revision with which the changes end.
    """

    number: int
    part: int
    since: int | None = None
    revision: int = -1


class PartResponse(
    msgspec.Struct, array_like=True, frozen=True, tag="p", tag_field="type"
):
    """A part of the compressed catalogue or of target changes.

    Attributes:
        number: Number of the request.
        version: Version of the catalogue, or revision of the changes; -1 if
            the peer does not hold the requested data.
        count: Number of parts.
        data: Bytes of the part.
    """

    number: int
    version: int
    count: int
    data: bytes


class PermitRequest(
    msgspec.Struct, array_like=True, frozen=True, tag="l", tag_field="type"
):
    """Asks the home instance of a target for a permit to send one request.

    It is sent only to peers whose status says that they give out permits:
    earlier releases can't decode it.

    Attributes:
        number: Number of the request, which the response repeats.
        sender: Name of the asking instance.
        limit: The limit as the asking instance knows it.
    """

    number: int
    sender: ids.InstanceId
    limit: ratelimits.LimitRow


class PermitResponse(
    msgspec.Struct, array_like=True, frozen=True, tag="g", tag_field="type"
):
    """Answer to a request for a permit.

    Attributes:
        number: Number of the request.
        is_granted: Whether one request may be sent now.
        wait_ms: Milliseconds after which the instance may ask again if not.
    """

    number: int
    is_granted: bool
    wait_ms: int


class _RawChanges(msgspec.Struct, array_like=True, frozen=True):
    """`TargetChanges` whose entries are decoded one by one."""

    revision: int
    changed: list[msgspec.Raw]
    gone: list[ids.TargetId]


Message = (
    Status
    | FreshnessRequest
    | FreshnessResponse
    | PartRequest
    | PartResponse
    | PermitRequest
    | PermitResponse
)


# First byte of each datagram. A release whose messages differ uses another
# byte, and ignores datagrams with this one.
_FORMAT = b"\x02"
_COMPRESSED_FORMAT = b"\x03"
_MIN_COMPRESSED_BYTES = 1_000
_ZIP_LEVEL = 1
_ENCODER = msgspec.msgpack.Encoder()
# Longest catalogue or list of changes once decompressed.
MAX_INFLATED_BYTES = 16 * 2**20
_LOG_INTERVAL_S = 10
_MESSAGE_DECODER = msgspec.msgpack.Decoder(Message)
_CHANGES_DECODER = msgspec.msgpack.Decoder(_RawChanges)
_ENTRY_DECODER = msgspec.msgpack.Decoder(sources.TargetEntry)


def encode(message: Message) -> bytes:
    """Returns the datagram for a message."""
    return _FORMAT + _ENCODER.encode(message)


def decode(data: bytes) -> Message:
    """Returns the message of a datagram.

    Raises:
        PeerError: The datagram can't be decoded.
    """
    return _decode(data, _MESSAGE_DECODER)


def pack_changes(changes: TargetChanges) -> bytes:
    """Returns the encoded changes, compressed if they are long."""
    data = _ENCODER.encode(changes)
    if len(data) < _MIN_COMPRESSED_BYTES:
        return _FORMAT + data
    return _COMPRESSED_FORMAT + zlib.compress(data, _ZIP_LEVEL)


def unpack_changes(data: bytes) -> TargetChanges:
    """Returns the changes that an answer carries, without invalid entries.

    Raises:
        PeerError: The changes can't be decoded.
    """
    if data[:1] == _COMPRESSED_FORMAT:
        data = _FORMAT + inflate(memoryview(data)[1:], "target changes")
    raw = _decode(data, _CHANGES_DECODER)
    entries = []
    for row in raw.changed:
        try:
            entry = decoding.decode(_ENTRY_DECODER, row, "target entry")
            recordchecks.check_entry(entry)
        except exceptions.CatalogueError as exc:
            logging.log_every_n_seconds(
                logging.WARNING,
                "target entry of a peer ignored, the others stay in use: %s",
                _LOG_INTERVAL_S,
                exc,
            )
            continue
        entries.append(entry)
    return TargetChanges(raw.revision, entries, raw.gone)


def inflate(data: bytes | memoryview, subject: str) -> bytes:
    """Returns the decompressed data of a peer.

    Raises:
        PeerError: The data is damaged or too long.
    """
    return decoding.inflate(
        data, MAX_INFLATED_BYTES, subject, exceptions.PeerError
    )


def _decode(data: bytes, decoder: msgspec.msgpack.Decoder):
    if data[:1] != _FORMAT:
        raise exceptions.PeerError(
            f"datagram starts with {data[:1]!r}, expected {_FORMAT!r}: "
            "the sender runs another release"
        )
    return decoding.decode(
        decoder, memoryview(data)[1:], "datagram", exceptions.PeerError
    )
