"""What the gateway needs from a platform, as abstract base classes."""

import abc
import enum

import msgspec

from briarfall import ids
from briarfall.gateway import views


class TargetState(enum.Enum):
    """What a target says of itself in the instance list."""

    READY = "ready"
    LEAVING = "leaving"


class LayerRange(msgspec.Struct, frozen=True, order=True):
    """Layers from `first` up to but without `end`."""

    first: int
    end: int

    @property
    def size(self) -> int:
        """Number of layers."""
        return self.end - self.first

    def holds(self, other: "LayerRange") -> bool:
        """Whether all layers of another range are in this one."""
        return self.first <= other.first and other.end <= self.end


class TargetEntry(msgspec.Struct, frozen=True):
    """One target as the platform lists it.

    Attributes:
        id: Unique id, mostly new at each start.
        service: Service that the target belongs to.
        address: IP number and port.
        zone: Availability zone.
        state: Whether it takes new work.
        slots: Requests that it runs at once.
        kind: Kind of accelerator, or empty.
        layers: Layers that it holds, or None.
        beat: Counter that a living target raises.
        started_ms: Start of its lifetime in Unix milliseconds, or 0.
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


class CatalogueRead(msgspec.Struct, frozen=True):
    """A catalogue read: the position of the log and what is new.

    Attributes:
        position: Where the next read goes on.
        raw: The newest catalogue in the platform's format, or None if
            nothing changed.
    """

    position: int
    raw: bytes | None


class Grant(msgspec.Struct, frozen=True):
    """A lease as the log shows it.

    Attributes:
        holder: Instance that holds it; empty if nobody ever did.
        fence: Number that grows with each grant.
        ttl_s: Duration.
        end: Position of the log after the grant.
    """

    holder: ids.InstanceId
    fence: int
    ttl_s: float
    end: int


class EngineReport(msgspec.Struct, frozen=True):
    """What an engine says of itself.

    Attributes:
        order_count: Orders accepted since its start.
        is_busy: Whether an order is being carried out.
        layers: Layers that it holds, or None.
        kv_used: KV cache in use, tokens x layers.
        kv_total: KV cache in all, tokens x layers.
        stalled: Request ids whose chain waits, with the address of the
            engine that they wait for.
    """

    order_count: int
    is_busy: bool
    layers: LayerRange | None
    kv_used: int
    kv_total: int
    stalled: dict[str, str]


class OrderResult(enum.Enum):
    """How an engine answered an order."""

    BEGUN = "begun"
    HOLDS = "holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    GONE = "gone"
    UNKNOWN = "unknown"


class RepathResult(msgspec.Struct, frozen=True):
    """How the first engine of a chain answered a change of the chain.

    Attributes:
        result: `GONE` if the engine has no such request, `CONFLICT` if
            `address` can't take its part.
        address: Engine that refused, or empty.
    """

    result: OrderResult
    address: str = ""


class CatalogueSource(abc.ABC):
    """Where operators publish the catalogue."""

    @abc.abstractmethod
    def read_newest(self, timeout_s: float) -> CatalogueRead:
        """Returns the newest catalogue whole."""

    @abc.abstractmethod
    def wait_newer(
        self, position: int, wait_s: float, timeout_s: float
    ) -> CatalogueRead:
        """Waits for a change after `position`, at most `wait_s`."""

    @abc.abstractmethod
    def parse(self, raw: bytes) -> views.CatalogueView:
        """Returns the view of a catalogue in the platform's format."""


class TargetSource(abc.ABC):
    """Where targets register themselves."""

    @abc.abstractmethod
    def list_targets(self, timeout_s: float) -> list[TargetEntry]:
        """Returns all valid entries."""


class LeaseSource(abc.ABC):
    """Where a lease for one duty is kept."""

    @abc.abstractmethod
    def read_grant(self, timeout_s: float) -> Grant:
        """Returns the newest grant."""

    @abc.abstractmethod
    def take(
        self, holder: ids.InstanceId, ttl_s: float, end: int, timeout_s: float
    ) -> Grant | None:
        """Appends a grant if the log still ends at `end`."""


class InstanceRecord(msgspec.Struct, frozen=True):
    """An instance as it announces itself to the others.

    Attributes:
        id: Its name.
        address: Host and port for datagrams.
        zone: Its availability zone.
        cores: Processor cores that it may use.
    """

    id: ids.InstanceId
    address: str
    zone: ids.ZoneId
    cores: float = 1.0


class InstanceSource(abc.ABC):
    """Where instances announce themselves."""

    @abc.abstractmethod
    def announce(self, record: InstanceRecord, timeout_s: float) -> None:
        """Publishes where this instance listens for others."""

    @abc.abstractmethod
    def list_instances(self, timeout_s: float) -> list[InstanceRecord]:
        """Returns all that ever announced themselves and did not leave."""

    @abc.abstractmethod
    def retract(self, instance: ids.InstanceId, timeout_s: float) -> None:
        """Removes an instance that has gone."""


class PoisonRecord(msgspec.Struct, frozen=True):
    """A request that no instance may send to targets.

    Attributes:
        fingerprint: Hash of the request.
        until_s: Unix time at which it may be tried again.
    """

    fingerprint: str
    until_s: float


class PoisonSource(abc.ABC):
    """Where poison requests are kept while all instances are down."""

    @abc.abstractmethod
    def publish(self, record: PoisonRecord, timeout_s: float) -> None:
        """Keeps a record in place of an earlier one of the request."""

    @abc.abstractmethod
    def list_records(self, timeout_s: float) -> list[PoisonRecord]:
        """Returns all records."""

    @abc.abstractmethod
    def retract(self, fingerprint: str, timeout_s: float) -> None:
        """Removes a record."""


class EngineControl(abc.ABC):
    """Orders to and reports of engines."""

    @abc.abstractmethod
    def place(
        self,
        target: TargetEntry,
        layers: LayerRange,
        fence: int,
        order_count: int | None,
        timeout_s: float,
    ) -> OrderResult:
        """Orders an engine to hold a range of layers."""

    @abc.abstractmethod
    def repath(
        self, address: str, request_id: str, chain: bytes, timeout_s: float
    ) -> RepathResult:
        """Orders the first engine of a chain to use another chain."""

    @abc.abstractmethod
    def report(self, address: str, timeout_s: float) -> EngineReport:
        """Returns an engine's report."""

    @abc.abstractmethod
    def chain(self, parts: list[tuple[str, LayerRange]]) -> bytes:
        """Returns the header value that names a chain."""
