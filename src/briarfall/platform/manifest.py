"""The operator's manifest, decoded into a view of the catalogue."""

import msgspec

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway import views

_KINDS = {
    "idempotent": views.RouteKind.IDEMPOTENT,
    "mutating": views.RouteKind.NON_IDEMPOTENT,
    "streaming": views.RouteKind.STREAM,
}


class _Backend(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    # Time within which an answer earns its full worth.
    slo_ms: float = 0.0
    priority: int = 5
    service: str | None = None
    backends: list[_Backend] | None = None
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0.0


class _Kind(msgspec.Struct):
    name: str
    mb: float
    pace: float = 1.0
    read_x: float = 1.0


class _Model(msgspec.Struct):
    name: str
    load_s: float = 1.0


class _Usual(msgspec.Struct):
    prompt: float = 500.0
    answer: float = 200.0


class _Engine(msgspec.Struct):
    slots: int = 1
    kv_token_bytes: float = 1.0
    step_ms: float = 1.0
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    read_per_s: float = 100_000.0
    loads_at_once: int = 1
    layers: int = 0
    layer_mb: float = 0.0
    act_bytes: float = 0.0
    pipe_mbps: float = 0.0
    models: list[_Model] = []
    kinds: list[_Kind] = []
    usual: _Usual = msgspec.field(default_factory=_Usual)


class _Service(msgspec.Struct):
    name: str
    max_conns: int = 0
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Manifest(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


def parse(raw: bytes) -> views.CatalogueView:
    """Returns the view of a manifest.

    Raises:
        CatalogueError: The manifest can't be read.
    """
    try:
        manifest = msgspec.json.decode(raw, type=_Manifest, strict=False)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise exceptions.CatalogueError(f"manifest: {exc}") from exc
    routes = []
    for row in manifest.routes:
        routes.append(_route(row))
    services = []
    for row in manifest.services:
        services.append(_service(row))
    keys = {}
    for tenant in manifest.tenants or []:
        account = views.ClientAccount(
            ids.ClientId(tenant.name), tenant.priority
        )
        for key in tenant.api_keys:
            keys[key] = account
    limits = manifest.limits
    return views.build_view(
        manifest.version,
        routes,
        services,
        keys,
        has_accounts=manifest.tenants is not None,
        limits=views.CallerLimits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_ms / 1000,
            idle_timeout_s=limits.idle_timeout_ms / 1000,
        ),
    )


def _route(row: _Route) -> views.Route:
    kind = _KINDS.get(row.kind)
    if kind is None:
        raise exceptions.CatalogueError(
            f"route {row.name}: kind {row.kind!r} is unknown"
        )
    shares = []
    for backend in row.backends or []:
        shares.append(
            views.Share(views.ServiceName(backend.service), backend.weight)
        )
    if not shares and row.service is not None:
        shares.append(views.Share(views.ServiceName(row.service), 1.0))
    return views.Route(
        name=row.name,
        host=row.host,
        prefix=row.path_prefix,
        kind=kind,
        shares=tuple(shares),
        timeout_s=row.timeout_ms / 1000,
        first_byte_slo_s=row.slo_ms / 1000,
        urgency=row.priority,
        max_runs=row.attempts,
        is_public=row.public,
        is_resumable=row.resumable,
        event_gap_slo_s=row.gap_aim_ms / 1000,
    )


def _service(row: _Service) -> views.Service:
    name = views.ServiceName(row.name)
    engine = row.engine
    if engine is None or not engine.layers:
        return views.Service(name, row.max_conns)
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
