"""The gateway's view of the catalogue: routes, services, client accounts."""

import enum
import random

import msgspec

from briarfall import exceptions
from briarfall import ids

ServiceName = ids.EntryName


class RouteKind(enum.Enum):
    """Which requests of a route may be retried, and how."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Share(msgspec.Struct, frozen=True):
    """A service of a route and its weight in the traffic split."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """One rule that sends requests of a host and path to services.

    Attributes:
        name: Unique name.
        host: Host of the request.
        prefix: Prefix of the path; begins and ends with a slash.
        kind: Which requests may be retried.
        shares: Services with weights; the weights need not add up to one.
        timeout_s: Longest time that a caller is kept waiting.
        first_byte_slo_s: Longest time to the first byte of an answer that is
            on time.
        urgency: Priority; 0 is served first.
        max_runs: Maximum number of targets that may run one request.
        is_public: Whether requests need no key.
        is_resumable: Whether a broken stream may be resumed at another
            target.
        event_gap_slo_s: Longest gap between two events of a stream that is on
            time; 0 if none is set.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    timeout_s: float
    first_byte_slo_s: float
    urgency: int = 5
    max_runs: int = 1
    is_public: bool = False
    is_resumable: bool = False
    event_gap_slo_s: float = 0.0

    @property
    def is_retryable(self) -> bool:
        """Whether a request may be retried after an unknown outcome."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT

    def pick_service(self, rng: random.Random) -> ServiceName:
        """Returns a service, chosen at random by weight.

        Raises:
            NoRouteError: No service has a weight above zero.
        """
        if len(self.shares) == 1:
            return self.shares[0].service
        shares = [share for share in self.shares if share.weight > 0]
        if not shares:
            raise exceptions.NoRouteError(
                f"route {self.name} sends requests to no service"
            )
        weights = [share.weight for share in shares]
        return rng.choices(shares, weights)[0].service


class HardwareKind(msgspec.Struct, frozen=True):
    """A kind of accelerator.

    Attributes:
        memory_mb: Memory for weights and KV cache, in megabytes.
        step_factor: Time of a decoding step relative to the reference kind.
        prefill_factor: Time of prefill relative to the reference kind.
    """

    memory_mb: float
    step_factor: float
    prefill_factor: float


class ModelLayout(msgspec.Struct, frozen=True):
    """A model whose layers are spread over the engines of a service.

    Attributes:
        layers: Number of layers.
        layer_mb: Size of the weights of one layer, in megabytes.
        kv_bytes: Bytes of KV cache of one token over all layers.
        step_ms: Time of one decoding step over all layers on the reference
            kind.
        sequence_ms: Additional step time for each request that decodes.
        context_ms: Additional step time for each 1,000 tokens of context.
        prefill_tokens_per_s: Prompt tokens that prefill processes per second
            over all layers, on the reference kind.
        slots: Requests that one engine runs at once as the head of a chain;
            None if that is not known.
        mean_prompt_tokens: Mean number of prompt tokens.
        mean_answer_tokens: Mean number of output tokens.
        activation_bytes: Bytes of activations per token between two engines.
        inter_zone_mbps: Capacity of the inter-zone link in megabits per
            second; 0 if unlimited.
        load_s: Time to load all layers.
        max_parallel_loads: Loads of layers that can run in parallel without
            slowing each other.
        kinds: Kinds of accelerators by name.
    """

    layers: int
    layer_mb: float
    kv_bytes: float
    step_ms: float
    sequence_ms: float
    context_ms: float
    prefill_tokens_per_s: float
    slots: int | None
    mean_prompt_tokens: float
    mean_answer_tokens: float
    activation_bytes: float
    inter_zone_mbps: float
    load_s: float
    max_parallel_loads: int
    kinds: dict[str, HardwareKind]


class Service(msgspec.Struct, frozen=True):
    """A pool of interchangeable targets, or the engines of a model.

    Attributes:
        name: Unique name.
        max_connections: Connection limit in the platform's manifest; 0 if
            there is none. The gateway doesn't apply it.
        model: Layout of the model, or None for a pool.
    """

    name: ServiceName
    max_connections: int = 0
    model: ModelLayout | None = None


class ClientAccount(msgspec.Struct, frozen=True):
    """A client account; its urgency overrides the route's."""

    name: ids.ClientId
    urgency: int | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the size of callers' requests and the time to send them."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class CatalogueView(msgspec.Struct, frozen=True):
    """One version of the complete catalogue, indexed for look-ups."""

    version: int
    routes: dict[str, list[Route]]
    services: dict[ServiceName, Service]
    accounts: dict[str, ClientAccount]
    has_accounts: bool
    limits: CallerLimits

    def match(self, host: str, path: str) -> Route:
        """Returns the host's route with the longest matching prefix.

        Raises:
            NotFoundError: No route matches.
        """
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        raise exceptions.NotFoundError(f"no route for {host}{path}")

    def account_of(self, route: Route, key: str) -> ClientAccount | None:
        """Returns the client account of a key.

        Returns None if the catalogue has no accounts, or if the key is unknown
        and the route is public.

        Raises:
            AuthenticationError: The key is unknown and the route needs one.
        """
        if not self.has_accounts:
            return None
        account = self.accounts.get(key)
        if account is None and not route.is_public:
            raise exceptions.AuthenticationError("the key is unknown")
        return account


def build_view(
    version: int,
    routes: list[Route],
    services: list[Service],
    keys: dict[str, ClientAccount],
    *,
    has_accounts: bool,
    limits: CallerLimits,
) -> CatalogueView:
    """Returns a view with each host's routes sorted longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    for rows in by_host.values():
        rows.sort(key=lambda route: len(route.prefix), reverse=True)
    return CatalogueView(
        version=version,
        routes=by_host,
        services={service.name: service for service in services},
        accounts=keys,
        has_accounts=has_accounts,
        limits=limits,
    )
