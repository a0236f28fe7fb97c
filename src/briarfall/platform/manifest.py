"""Decodes the operator's manifest into the gateway's catalogue view."""

import typing

import msgspec

from briarfall import decoding
from briarfall import exceptions
from briarfall import ids
from briarfall.gateway.catalogue import recordchecks
from briarfall.gateway.catalogue import views

_ROUTE_KINDS = {
    "idempotent": views.RouteKind.IDEMPOTENT,
    "mutating": views.RouteKind.NON_IDEMPOTENT,
    "streaming": views.RouteKind.STREAM,
}

# The bounds are far above real values; they keep sums and products finite.
_Number = typing.Annotated[float, msgspec.Meta(ge=0, le=1e12)]
# Any finite number. A value that is out of its range has the effect of the
# nearest one within it, so that one odd value does not keep a whole manifest
# from coming into force.
_Finite = typing.Annotated[float, msgspec.Meta(ge=-1e300, le=1e300)]
_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=10**12)]
_MIN_DIVISOR = 1e-6
_MAX_WEIGHT = 1e12
_Version = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
_LayerCount = typing.Annotated[
    int, msgspec.Meta(ge=0, le=recordchecks.MAX_LAYERS)
]
# Longer times have the same effect, and overflow in the system's interfaces.
_MAX_TIME_S = 86_400.0
# Limits that hold where the manifest sets none.
_HEADER_TIMEOUT_MS = 3000.0
_IDLE_TIMEOUT_MS = 15_000.0


class _Backend(msgspec.Struct):
    service: str
    # Share of requests, relative to the other backends of the route.
    weight: _Finite = 1.0


class RouteRow(msgspec.Struct):
    """A route in the manifest."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: _Finite
    # Time to the first byte, in milliseconds, up to which a response counts as
    # on time.
    slo_ms: _Finite = 0.0
    # Rank of the route's requests; 0 is the most urgent.
    priority: _Count = 5
    # The only service of the route; ignored if `backends` is not empty.
    service: str | None = None
    backends: list[_Backend] | None = None
    # Largest number of targets that may run one request.
    attempts: _Count = 1
    # Whether callers need no key.
    public: bool = False
    # Whether a broken stream may continue at another target.
    resumable: bool = False
    # Longest gap between events of a stream that is on time, in milliseconds;
    # 0 if none is set.
    gap_aim_ms: _Finite = 0.0


class _HardwareKind(msgspec.Struct):
    name: str
    # Memory for weights and KV cache, in MB.
    mb: _Number
    # Factor on the time of a decode step.
    pace: _Number = 1.0
    # Factor on the time of prefill.
    read_x: _Number = 1.0


class _Model(msgspec.Struct):
    name: str
    # Time to load all layers, in seconds.
    load_s: _Number = 1.0


class _MeanTokens(msgspec.Struct):
    # Mean tokens of a prompt.
    prompt: _Number = 500.0
    # Mean tokens of a response.
    answer: _Number = 200.0


class _Engine(msgspec.Struct):
    # Requests that one engine accepts as the head of a chain, if known.
    slots: _Count | None = None
    # KV cache of one token over all layers, in bytes.
    kv_token_bytes: _Number = 1.0
    # Time of a decode step over all layers on the reference hardware, in
    # milliseconds.
    step_ms: _Number = 1.0
    # Milliseconds that each sequence in the batch adds to a step.
    per_seq_ms: _Number = 0.0
    # Milliseconds that each 1,000 tokens of context add to a step.
    context_per_k: _Number = 0.0
    # Prompt tokens that prefill processes per second, over all layers.
    read_per_s: _Number = 100_000.0
    # Weight loads that can run in parallel without slowing down.
    loads_at_once: _Count = 1
    layers: _LayerCount = 0
    # Size of the weights of one layer, in MB.
    layer_mb: _Number = 0.0
    # Bytes of activations per token that an engine sends to the next one.
    act_bytes: _Number = 0.0
    # Capacity of the inter-zone link in megabits per second, or 0 if unlimited.
    pipe_mbps: _Number = 0.0
    # Only the first model counts.
    models: list[_Model] = []
    kinds: list[_HardwareKind] = []
    usual: _MeanTokens = msgspec.field(default_factory=_MeanTokens)


class ServiceRow(msgspec.Struct):
    """A service in the manifest."""

    name: str
    # Limit of connections to a target; the gateway doesn't use it.
    max_conns: _Count = 0
    # Present if the service is a pool of model engines.
    engine: _Engine | None = None


class LimitsRow(msgspec.Struct):
    """Limits of callers' requests in the manifest."""

    max_header_bytes: _Count = 16_384
    max_body_bytes: _Count = 4_194_304
    header_timeout_ms: _Finite = _HEADER_TIMEOUT_MS
    idle_timeout_ms: _Finite = _IDLE_TIMEOUT_MS


class _Tenant(msgspec.Struct):
    """A client account; the wire calls it a tenant."""

    name: str
    api_keys: list[str] = []
    # Rank that takes precedence over the priority of the route.
    priority: _Count | None = None


class Manifest(msgspec.Struct):
    """A manifest as the operator writes it."""

    version: _Version
    routes: list[RouteRow]
    services: list[ServiceRow] = []
    limits: LimitsRow = msgspec.field(default_factory=LimitsRow)
    # Client accounts; without this field callers need no key.
    tenants: list[_Tenant] | None = None


_DECODER = msgspec.json.Decoder(Manifest, strict=False)


def parse(raw: bytes) -> views.CatalogueView:
    """Returns the catalogue view of a manifest.

    Raises:
        CatalogueError: The manifest can't be decoded, a route has an unknown
            kind, or a value is out of its range.
    """
    manifest = decode(raw)
    routes = []
    for row in manifest.routes:
        routes.append(convert_route(row))
    services = []
    for row in manifest.services:
        services.append(convert_service(row))
    keys = {}
    for tenant in manifest.tenants or []:
        account = views.ClientAccount(
            ids.ClientId(tenant.name), tenant.priority
        )
        for key in tenant.api_keys:
            keys[key] = account
    return views.build_view(
        manifest.version,
        routes,
        services,
        keys,
        has_accounts=manifest.tenants is not None,
        limits=convert_limits(manifest.limits),
    )


def decode(raw: bytes) -> Manifest:
    """Returns a manifest as it was written, before any conversion.

    Raises:
        CatalogueError: The manifest can't be decoded.
    """
    return decoding.decode(_DECODER, raw, "manifest")


def convert_limits(row: LimitsRow) -> views.CallerLimits:
    """Returns the limits of callers' requests."""
    return views.CallerLimits(
        max_header_bytes=row.max_header_bytes,
        max_body_bytes=row.max_body_bytes,
        header_timeout_s=_limit_s(row.header_timeout_ms, _HEADER_TIMEOUT_MS),
        idle_timeout_s=_limit_s(row.idle_timeout_ms, _IDLE_TIMEOUT_MS),
    )


def _limit_s(value_ms: float, default_ms: float) -> float:
    """Returns a time limit in seconds; one that is not positive is unset.

    No request could arrive within it.
    """
    if not value_ms > 0:
        value_ms = default_ms
    return _seconds(value_ms)


def _seconds(value_ms: float) -> float:
    return min(max(0.0, value_ms) / 1000, _MAX_TIME_S)


def convert_route(row: RouteRow) -> views.Route:
    """Returns the route of a row.

    Raises:
        CatalogueError: The row has an unknown kind.
    """
    kind = _ROUTE_KINDS.get(row.kind)
    if kind is None:
        raise exceptions.CatalogueError(
            f"route {decoding.excerpt(row.name)}: kind "
            f"{decoding.excerpt(row.kind)!r} is unknown; expected one of "
            "idempotent, mutating, streaming"
        )
    shares = []
    for backend in row.backends or []:
        shares.append(
            views.Share(
                views.ServiceName(backend.service),
                min(backend.weight, _MAX_WEIGHT),
            )
        )
    if not shares and row.service is not None:
        shares.append(views.Share(views.ServiceName(row.service), 1.0))
    return views.Route(
        name=row.name,
        host=row.host,
        prefix=row.path_prefix,
        kind=kind,
        shares=tuple(shares),
        timeout_s=_seconds(row.timeout_ms),
        first_byte_slo_s=_seconds(row.slo_ms),
        urgency=row.priority,
        max_runs=row.attempts,
        is_public=row.public,
        is_resumable=row.resumable,
        event_gap_slo_s=_seconds(row.gap_aim_ms),
    )


def convert_service(row: ServiceRow) -> views.Service:
    """Returns the service of a row.

    Raises:
        CatalogueError: A value by which the layout divides is too small.
    """
    name = views.ServiceName(row.name)
    engine = row.engine
    if engine is None or not engine.layers:
        return views.Service(name, row.max_conns)
    if min(engine.layer_mb, engine.read_per_s) < _MIN_DIVISOR:
        raise exceptions.CatalogueError(
            f"service {decoding.excerpt(row.name)}: layer_mb or read_per_s is "
            f"below {_MIN_DIVISOR}"
        )
    kinds = {}
    for kind in engine.kinds:
        kinds[kind.name] = views.HardwareKind(kind.mb, kind.pace, kind.read_x)
    load_s = engine.models[0].load_s if engine.models else 1.0
    layout = views.ModelLayout(
        layers=engine.layers,
        layer_mb=engine.layer_mb,
        kv_bytes=engine.kv_token_bytes,
        step_ms=engine.step_ms,
        sequence_ms=engine.per_seq_ms,
        context_ms=engine.context_per_k,
        prefill_tokens_per_s=engine.read_per_s,
        slots=engine.slots,
        mean_prompt_tokens=engine.usual.prompt,
        mean_answer_tokens=engine.usual.answer,
        activation_bytes=engine.act_bytes,
        inter_zone_mbps=engine.pipe_mbps,
        load_s=load_s,
        max_parallel_loads=engine.loads_at_once,
        kinds=kinds,
    )
    return views.Service(name, row.max_conns, layout)
