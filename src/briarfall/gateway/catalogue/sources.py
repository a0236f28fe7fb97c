"""Interfaces that a platform implements for the gateway, and their data."""

import abc
import collections.abc
import enum
import typing

import msgspec

from briarfall import ids
from briarfall.gateway.catalogue import views


class TargetState(enum.Enum):
    """State that a target reports in the platform's list of targets."""

    READY = "ready"
    DRAINING = "leaving"


class LayerRange(msgspec.Struct, frozen=True, order=True):
    """Range of layers from `first` to `end`, with `end` excluded."""

    first: int
    end: int

    @property
    def size(self) -> int:
        """Number of layers."""
        return self.end - self.first

    def contains(self, other: "LayerRange") -> bool:
        """Returns whether all layers of another range are in this one."""
        return self.first <= other.first and other.end <= self.end


class TargetEntry(msgspec.Struct, frozen=True):
    """One target as the platform lists it.

    Attributes:
        id: Unique id, usually a new one at each start.
        service: Service that the target belongs to.
        address: IP address and port.
        zone: Availability zone.
        state: Whether the target accepts new requests.
        slots: Requests that the target runs concurrently.
        kind: Kind of accelerator, or empty.
        layers: Layers that the target holds, or None.
        beat: Heartbeat counter, which a live target increments.
        started_ms: Start of its incarnation in Unix milliseconds, or 0.
    """

    id: ids.TargetId
    service: views.ServiceName
    address: str
    zone: ids.ZoneId
    state: TargetState
    slots: int = 1
    kind: str = ""
    layers: LayerRange | None = None
    beat: int = 0
    started_ms: int = 0


# Rises each time the platform's store comes back from an older copy.
StoreEpoch = typing.NewType("StoreEpoch", int)
# Epoch of a store that was never restored; 0 if it tells none.
FIRST_EPOCH = StoreEpoch(1)


class LogPosition(msgspec.Struct, frozen=True):
    """Position in a log of the store.

    Positions have no order, since a restored store gives out offsets again: an
    offset says nothing about records of another epoch.

    Attributes:
        epoch: Epoch of the store that gave out the offset.
        offset: Number of records before the position.
    """

    epoch: StoreEpoch
    offset: int


class CatalogueRead(msgspec.Struct, frozen=True):
    """Result of a read of the catalogue log up to its end.

    Attributes:
        position: Position of the log at which the next read continues.
        raw: The newest catalogue in the platform's format, or None if
            nothing changed.
    """

    position: LogPosition
    raw: bytes | None


class LeaseGrant(msgspec.Struct, frozen=True):
    """Grant of a lease as recorded in the log.

    Attributes:
        holder: Instance that holds the lease; empty if none ever held it.
        fence: Fencing number, which grows with each grant, also if the store
            has lost earlier grants.
        ttl_s: Duration of the lease.
        end: Position of the log after the grant.
    """

    holder: ids.InstanceId
    fence: int
    ttl_s: float
    end: LogPosition


class EngineReport(msgspec.Struct, frozen=True):
    """State that an engine reports.

    Attributes:
        command_count: Commands accepted since the engine started.
        is_busy: Whether a command is being carried out.
        layers: Layers that the engine holds, or None.
        kv_used: KV cache in use, in tokens x layers.
        kv_total: Size of the KV cache, in tokens x layers.
        stalled: Ids of the requests whose chain is stalled, each with the
            address of the engine that the chain waits for.
    """

    command_count: int
    is_busy: bool
    layers: LayerRange | None
    kv_used: int
    kv_total: int
    stalled: dict[str, str]


class CommandResult(enum.Enum):
    """Response of an engine to a command.

    Attributes:
        STARTED: The engine accepted the command and is carrying it out.
        HOLDS: The engine is already in the commanded state.
        CONFLICT: The command does not fit the state of the engine.
        FENCED: The fencing number is older than one that the engine knows.
        GONE: The engine doesn't know the request that the command names, or
            is not the engine that the command is addressed to.
        UNKNOWN: The engine responded with an unexpected status.
    """

    STARTED = "begun"
    HOLDS = "holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    GONE = "gone"
    UNKNOWN = "unknown"


class RepathResult(msgspec.Struct, frozen=True):
    """Response of the head of a chain to a change of the chain.

    Attributes:
        result: `GONE` if the head has no such request, `CONFLICT` if the
            engine at `address` can't run its stage.
        address: Address of the engine that refused, or empty.
    """

    result: CommandResult
    address: str = ""


class CatalogueSource(abc.ABC):
    """Source to which operators publish the catalogue."""

    @property
    def epoch(self) -> StoreEpoch:
        """Epoch of the store; rises when it may have lost versions."""
        return FIRST_EPOCH

    @abc.abstractmethod
    def read_newest(self, timeout_s: float) -> CatalogueRead:
        """Returns the newest complete catalogue."""

    @abc.abstractmethod
    def wait_newer(
        self, position: LogPosition, wait_s: float, timeout_s: float
    ) -> CatalogueRead:
        """Waits up to `wait_s` for a change after `position`.

        Raises:
            LogGapError: Records after `position` are no longer kept or are
                more than one read returns, or the position belongs to an
                earlier epoch of the store.
        """

    @abc.abstractmethod
    def parse(self, raw: bytes) -> views.CatalogueView:
        """Returns the view of a catalogue in the platform's format."""


class TargetSource(abc.ABC):
    """Source in which targets register."""

    @property
    def epoch(self) -> StoreEpoch:
        """Epoch of the store that the latest list is of."""
        return FIRST_EPOCH

    @abc.abstractmethod
    def list_targets(self, timeout_s: float) -> list[TargetEntry]:
        """Returns all valid entries."""


class LeaseSource(abc.ABC):
    """Store of the lease for one responsibility."""

    def record_reported_fence(self, fence: int) -> None:
        """Records the fencing number of a grant that a peer has reported.

        A source whose store has no epochs ignores it.
        """
        del fence

    @abc.abstractmethod
    def read_grant(self, timeout_s: float) -> LeaseGrant:
        """Returns the newest grant."""

    @abc.abstractmethod
    def try_acquire(
        self,
        holder: ids.InstanceId,
        ttl_s: float,
        end: LogPosition,
        timeout_s: float,
    ) -> LeaseGrant | None:
        """Appends a grant; returns None if the log no longer ends at `end`.

        Raises:
            LogGapError: The record was appended in a later epoch of the store,
                after grants that are not known here. It grants nothing.
        """


class InstanceRecord(msgspec.Struct, frozen=True):
    """Record with which an instance announces itself to the others.

    Attributes:
        id: Name of the instance.
        address: Host and port for datagrams.
        zone: Availability zone of the instance.
        cores: Processor cores that the instance may use.
    """

    id: ids.InstanceId
    address: str
    zone: ids.ZoneId
    cores: float = 1.0


class InstanceSource(abc.ABC):
    """Source in which instances announce themselves."""

    def set_listener(
        self,
        listener: collections.abc.Callable[[list["InstanceRecord"]], None],
    ) -> None:
        """Calls `listener` with all records after records may have been lost.

        An instance that started meanwhile has not found those whose records
        were lost. A source that loses none ignores it.
        """
        del listener

    @abc.abstractmethod
    def announce(self, record: InstanceRecord, timeout_s: float) -> None:
        """Publishes the address at which this instance listens for others."""

    @abc.abstractmethod
    def list_instances(self, timeout_s: float) -> list[InstanceRecord]:
        """Returns all instances that were announced and not retracted."""

    @abc.abstractmethod
    def retract(self, instance: ids.InstanceId, timeout_s: float) -> None:
        """Removes the record of an instance that no longer runs."""


class PoisonRecord(msgspec.Struct, frozen=True):
    """Poison request, which no instance may send to targets.

    Attributes:
        fingerprint: Hash of the request.
        until_s: Unix time in seconds from which the request may be sent again.
    """

    fingerprint: str
    until_s: float


class PoisonSource(abc.ABC):
    """Store that keeps poison requests while all instances are down."""

    @property
    def epoch(self) -> StoreEpoch:
        """Epoch of the store; rises when it may have lost records."""
        return StoreEpoch(0)

    @abc.abstractmethod
    def publish(self, record: PoisonRecord, timeout_s: float) -> None:
        """Stores a record, replacing an earlier one of the same request."""

    @abc.abstractmethod
    def list_records(self, timeout_s: float) -> list[PoisonRecord]:
        """Returns all records."""

    @abc.abstractmethod
    def retract(self, fingerprint: str, timeout_s: float) -> None:
        """Removes a record."""


class EngineControl(abc.ABC):
    """Commands to engines and their reports."""

    @abc.abstractmethod
    def place(
        self,
        target: TargetEntry,
        layers: LayerRange,
        fence: int,
        command_count: int | None,
        timeout_s: float,
    ) -> CommandResult:
        """Commands an engine to hold a range of layers.

        Args:
            target: The engine.
            layers: The layers that it shall hold.
            fence: Fencing number of the placement lease.
            command_count: Number of commands that the engine must have
                accepted so far, or None if any number is accepted.
            timeout_s: Time limit of the exchange in seconds.
        """

    @abc.abstractmethod
    def repath(
        self, address: str, request_id: str, chain: bytes, timeout_s: float
    ) -> RepathResult:
        """Commands the head of a chain to use another chain."""

    @abc.abstractmethod
    def report(self, address: str, timeout_s: float) -> EngineReport:
        """Returns an engine's report."""

    @abc.abstractmethod
    def chain_header(self, stages: list[tuple[str, LayerRange]]) -> bytes:
        """Returns the header value that lists the stages of a chain."""
