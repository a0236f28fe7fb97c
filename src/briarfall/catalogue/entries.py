"""Types of catalogue entries and the checks of their values."""

import enum
import fnmatch
import hashlib
import hmac
import re

import msgspec

from briarfall import decoding
from briarfall import exceptions
from briarfall import ids

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}\Z")
_URL = re.compile(r"https?://[0-9a-fA-F.:\[\]]+:\d+\Z")


class Priority(enum.Enum):
    """Priority classes of requests, most urgent first."""

    INTERACTIVE = "interactive"
    STANDARD = "standard"
    BATCH = "batch"

    @property
    def rank(self) -> int:
        """Position among the classes, 0 for the most urgent."""
        return list(Priority).index(self)


class TargetState(enum.Enum):
    """State of a target as set in the catalogue."""

    ACTIVE = "active"
    DRAINING = "leaving"


class Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fields that every entry has."""

    owner: str


class EngineTarget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One engine of a model.

    Attributes:
        id: Unique name of the target.
        url: Base URL with an IP address.
        zone: Availability zone.
        start: First layer that the engine holds.
        end: Layer after the last one that the engine holds.
        tokens_per_s: Decode throughput over the whole range at full batch.
        step_s: Duration of a decode step over the whole range, in seconds.
        state: Whether the target takes new work or is draining.
        prefill_tokens_per_s: Prefill throughput over the whole range, in
            prompt tokens a second.
        kv_bytes_per_token: Size of the KV cache for one token, 0 if the
            engine cannot export it.
    """

    id: ids.TargetId
    url: str
    zone: ids.ZoneId
    start: int
    end: int
    tokens_per_s: float = 1000.0
    step_s: float = 0.02
    state: TargetState = TargetState.ACTIVE
    prefill_tokens_per_s: float = 20_000.0
    kv_bytes_per_token: float = 0.0


class Recovery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """When a stream counts as stalled.

    Attributes:
        gap_factor: Multiple of a stream's recent token gap after which its
            targets are probed.
        probe_after_s: Least time without a token before targets are probed, in
            seconds.
        stall_after_s: Time without a token that ends an attempt, whatever
            the results of the probes, in seconds.
        first_token_s: The same before the first token of an attempt, added
            to a multiple of the expected time.
        leave_grace_s: Time that streams may continue on a draining target
            before they are rerouted, in seconds.
    """

    gap_factor: float = 6.0
    probe_after_s: float = 0.25
    stall_after_s: float = 1.0
    first_token_s: float = 1.2
    leave_grace_s: float = 20.0


class ModelLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of a model entry.

    Attributes:
        max_tokens: Longest answer, in tokens.
        max_prompt_bytes: Longest prompt, in bytes.
        max_attempts: Most attempts for one stream, the first included.
        max_concurrent: Most streams at a time on one instance.
    """

    max_tokens: int = 4096
    max_prompt_bytes: int = 262_144
    max_attempts: int = 6
    max_concurrent: int = 512


class Model(Entry, frozen=True, tag="model", tag_field="kind"):
    """A model whose layers are spread over engines."""

    layers: int
    targets: list[EngineTarget]
    limits: ModelLimits = ModelLimits()
    recovery: Recovery = Recovery()
    default_class: Priority = Priority.STANDARD
    policy: str = "flow"


class IdempotentRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Calls that may be retried: a method and a path pattern (glob)."""

    method: str
    path: str


class ServiceTarget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One target of a plain service."""

    id: ids.TargetId
    url: str
    zone: ids.ZoneId
    state: TargetState = TargetState.ACTIVE


class Service(Entry, frozen=True, tag="service", tag_field="kind"):
    """A plain service.

    Attributes:
        targets: Targets that offer the service.
        idempotent: Calls that may be retried.
        partitions: Number of streams of claims; fixed after creation.
        window_s: Deduplication window of idempotency keys, in seconds.
        lookup: Path template, with `{key}`, of an idempotent lookup that
            answers 200 if the call ran and 404 if it did not.
        timeout_s: Longest duration of one call, in seconds.
        max_replay_bytes: Largest answer body that is kept for replay.
    """

    targets: list[ServiceTarget]
    idempotent: list[IdempotentRule] = []
    partitions: int = 4
    window_s: float = 86_400.0
    lookup: str = ""
    timeout_s: float = 10.0
    max_replay_bytes: int = 65_536

    def is_idempotent(self, method: str, path: str) -> bool:
        """Returns whether a call may be retried."""
        for rule in self.idempotent:
            if rule.method not in ("*", method):
                continue
            if fnmatch.fnmatchcase(path, rule.path):
                return True
        return False


class ClientLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of a client account over all instances."""

    requests_per_s: float = 100.0
    tokens_per_s: float = 100_000.0
    concurrency: int = 1000


class Client(Entry, frozen=True, tag="client", tag_field="kind"):
    """A client account; `key_sha256` holds hex digests of its keys."""

    key_sha256: list[str]
    limits: ClientLimits = ClientLimits()
    classes: list[Priority] = msgspec.field(
        default_factory=lambda: list(Priority)
    )


class Role(enum.Enum):
    """Role of an operator, which decides what its keys may edit."""

    OPERATOR = "operator"
    ADMINISTRATOR = "administrator"


class Operator(Entry, frozen=True, tag="operator", tag_field="kind"):
    """An operator account."""

    key_sha256: list[str]
    role: Role = Role.OPERATOR


class ZoneLink(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Delay (seconds) and throughput (bytes a second) between two zones."""

    a: ids.ZoneId
    b: ids.ZoneId
    delay_s: float
    bytes_per_s: float


class Topology(Entry, frozen=True, tag="topology", tag_field="kind"):
    """Links between availability zones."""

    links: list[ZoneLink]


class EngineOrder(Entry, frozen=True, tag="engine_order", tag_field="kind"):
    """Desired state of one engine.

    Attributes:
        url: Base URL of the engine.
        model: Model that the engine should hold.
        version: Version of the model.
        adapter: Adapter to load, or empty.
        role: Role of the engine, such as `decode` or `prefill`.
        weight_bytes: Bytes to load from the weight store.
    """

    url: str
    model: str
    version: str
    adapter: str = ""
    role: str = "decode"
    weight_bytes: int = 0


AnyEntry = Model | Service | Client | Operator | Topology | EngineOrder


def parse(raw: bytes) -> AnyEntry:
    """Returns the checked value of an entry.

    Raises:
        CatalogueError: The value is malformed; the message names the field.
    """
    value = decoding.decode_json(raw, AnyEntry, "value")
    check(value)
    return value


def check_name(name: str) -> None:
    """Raises CatalogueError if an entry name is malformed."""
    if not _NAME.match(name):
        raise exceptions.CatalogueError(
            f"entry name {name!r} is malformed",
            remedy="use 1 to 63 of a-z, 0-9, dot, dash and underscore",
        )


def check(value: AnyEntry) -> None:
    """Raises CatalogueError if a decoded value is inconsistent."""
    if not value.owner:
        raise exceptions.CatalogueError("owner is empty")
    if isinstance(value, Model):
        _check_model(value)
    if isinstance(value, Service):
        _check_service(value)
    if isinstance(value, Client | Operator):
        _check_keys(value.key_sha256)
    if isinstance(value, Client):
        _check_limits(value.limits)
    if isinstance(value, Topology):
        _check_links(value.links)


def _check_model(value: Model) -> None:
    _check_positive("layers", value.layers)
    _check_targets(value.targets)
    for field in ("max_tokens", "max_prompt_bytes", "max_attempts"):
        _check_positive(f"limits.{field}", getattr(value.limits, field))
    for target in value.targets:
        if not 0 <= target.start < target.end <= value.layers:
            raise exceptions.CatalogueError(
                f"targets[{target.id}]: layers [{target.start}, "
                f"{target.end}) are not within [0, {value.layers})"
            )
        _check_positive(
            f"targets[{target.id}].tokens_per_s", target.tokens_per_s
        )
        _check_positive(f"targets[{target.id}].step_s", target.step_s)


def _check_service(value: Service) -> None:
    _check_targets(value.targets)
    _check_positive("partitions", value.partitions)
    _check_positive("window_s", value.window_s)
    _check_positive("timeout_s", value.timeout_s)
    if value.lookup and "{key}" not in value.lookup:
        raise exceptions.CatalogueError("lookup has no {key}")


def _check_targets(targets) -> None:
    seen = set()
    for target in targets:
        if target.id in seen:
            raise exceptions.CatalogueError(f"targets[{target.id}] is twice")
        seen.add(target.id)
        if not _URL.match(target.url):
            raise exceptions.CatalogueError(
                f"targets[{target.id}].url {target.url!r} is no URL",
                remedy="use http://<IP number>:<port>",
            )


def _check_keys(digests: list[str]) -> None:
    for digest in digests:
        if not re.fullmatch(r"[0-9a-f]{64}", digest):
            raise exceptions.CatalogueError(
                "key_sha256 has a value that is no SHA-256 in hex",
                remedy="use the output of `briarfall key hash`",
            )


def _check_limits(limits: ClientLimits) -> None:
    _check_positive("limits.requests_per_s", limits.requests_per_s)
    _check_positive("limits.tokens_per_s", limits.tokens_per_s)
    _check_positive("limits.concurrency", limits.concurrency)


def _check_links(links: list[ZoneLink]) -> None:
    for link in links:
        name = f"links[{link.a}-{link.b}]"
        if link.delay_s < 0:
            raise exceptions.CatalogueError(f"{name}.delay_s is negative")
        _check_positive(f"{name}.bytes_per_s", link.bytes_per_s)


def _check_positive(field: str, value: float) -> None:
    if not value > 0:
        raise exceptions.CatalogueError(f"{field} must be above 0")


def hash_key(key: str) -> str:
    """Returns the digest of a key, as stored in `key_sha256`."""
    return hashlib.sha256(key.encode()).hexdigest()


def has_key(value: Client | Operator, digest: str) -> bool:
    """Returns whether `digest` is one of the account's keys.

    All digests are compared in constant time, so that the duration
    reveals nothing about the keys.
    """
    found = False
    for known in value.key_sha256:
        found |= hmac.compare_digest(known, digest)
    return found
