"""The catalogue as the gateway uses it: routes, services, accounts."""

import enum
import random

import msgspec

from briarfall import exceptions
from briarfall import ids

ServiceName = ids.EntryName


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Share(msgspec.Struct, frozen=True):
    """One service of a route and its weight."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """One rule that sends requests of a host and path to services.

    Attributes:
        name: Unique name.
        host: Host of the request.
        prefix: Beginning of the path, from slash to slash.
        kind: What may be repeated.
        shares: Services with weights; the weights need not add up to one.
        timeout_s: Longest time that a caller is kept waiting.
        aim_s: Time to the first byte at which an answer is on time.
        urgency: Rank, 0 first.
        attempts: Most targets that may run one request.
        is_public: Whether no key is needed.
        is_resumable: Whether a stream may go on at another target.
        gap_aim_s: Longest pause of a stream that is on time, or 0.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    timeout_s: float
    aim_s: float
    urgency: int = 5
    attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    gap_aim_s: float = 0.0

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may be sent again after an unknown outcome."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT

    def pick_service(self, rng: random.Random) -> ServiceName:
        """Returns a service by weight."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return rng.choices(self.shares, weights)[0].service


class HardwareKind(msgspec.Struct, frozen=True):
    """A kind of accelerator.

    Attributes:
        memory_mb: Memory for weights and KV cache.
        step_factor: Factor on the time of steps.
        read_factor: Factor on the time of reading prompts.
    """

    memory_mb: float
    step_factor: float
    read_factor: float


class ModelLayout(msgspec.Struct, frozen=True):
    """A model that is spread over the engines of a service.

    Attributes:
        layers: Number of layers.
        layer_mb: Weights of a layer.
        kv_bytes: KV cache of one token over all layers.
        step_ms: Time of one step over all layers on the reference kind.
        sequence_ms: More time for each writing request in the step.
        context_ms: More time for each 1,000 tokens of context.
        read_per_s: Prompt tokens read per second over all layers.
        slots: Requests that one engine takes as the first of a chain.
        usual_prompt: Mean tokens of a prompt.
        usual_answer: Mean tokens of an answer.
        activation_bytes: Bytes that one token moves between two engines.
        pipe_mbps: Rate of the links between availability zones.
        load_s: Time to load all layers.
        loads_at_once: Loads that run together without slowing.
        kinds: Kinds of accelerators by name.
    """

    layers: int
    layer_mb: float
    kv_bytes: float
    step_ms: float
    sequence_ms: float
    context_ms: float
    read_per_s: float
    slots: int
    usual_prompt: float
    usual_answer: float
    activation_bytes: float
    pipe_mbps: float
    load_s: float
    loads_at_once: int
    kinds: dict[str, HardwareKind]


class Service(msgspec.Struct, frozen=True):
    """A pool of interchangeable targets, or the engines of a model."""

    name: ServiceName
    max_connections: int = 0
    model: ModelLayout | None = None


class ClientAccount(msgspec.Struct, frozen=True):
    """A client account; its urgency goes before the route's."""

    name: ids.ClientId
    urgency: int | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """What a caller may send, and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class CatalogueView(msgspec.Struct, frozen=True):
    """One version of the whole catalogue, prepared for look-ups."""

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
        """Returns the account of a key, or None on a public route.

        Raises:
            AuthenticationError: The route needs a key and this is none.
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
    """Returns a view with the routes of each host, longest prefix first."""
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
