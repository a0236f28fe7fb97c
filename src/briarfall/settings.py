"""Settings of an instance, read from JSON and validated."""

import ipaddress
import pathlib

import msgspec

from briarfall import decoding
from briarfall import exceptions
from briarfall import ids

_MIN_SECRET_LENGTH = 16


class Listener(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An address to listen on; port 0 binds any free port."""

    host: str = "127.0.0.1"
    port: int = 0


class Tls(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """PEM files for mutual TLS between instances."""

    certificate: str
    key: str
    authority: str


class Membership(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Timing of the links between instances.

    Attributes:
        max_links: Number of peers that an instance keeps a link to.
        heartbeat_s: Interval of heartbeats on each link, in seconds.
        suspect_s: Time in seconds without a response after which a peer is
            suspected, and time as a suspect after which it is considered dead.
        poll_s: Interval at which the instance list is read, in seconds.
    """

    max_links: int = 4
    heartbeat_s: float = 1.0
    suspect_s: float = 4.0
    poll_s: float = 1.0


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of an instance.

    Attributes:
        instance: Unique name of the instance.
        zone: Availability zone of the instance.
        log_url: Base URL of the platform's log.
        instance_list_url: Base URL of the instance list, or empty.
        weight_store_url: Base URL of the weight store, or empty.
        log_adapter: Protocol of the log; only `http` is known.
        secret: Secret shared by all instances, which authenticates peers and
            cursors.
        previous_secret: Former secret, still accepted during its replacement.
        caller: Listener for callers.
        admin: Listener for operators and metrics.
        peer: Listener for other instances.
        seeds: `host:port` of peers to contact before the instance list has
            been read.
        tls: Certificates for links between instances, or null.
        drain_grace_s: Longest duration of a planned stop.
        drain_notice_s: Time for the load balancer to detect that the
            instance is not ready; it still accepts requests meanwhile.
        snapshot_s: Interval at which catalogue snapshots are written.
        lease_s: Duration of leases.
        reconcile_s: Interval at which the state of engines is compared with
            their desired state in the catalogue.
        clock_skew_s: Largest difference between the clocks of any two
            machines.
        cursor_ttl_s: Age after which a Last-Event-ID is refused.
        max_body_bytes: Largest request body in bytes.
        json_logs: Whether logs are written as JSON lines.
    """

    instance: ids.InstanceId
    zone: ids.ZoneId
    log_url: str
    secret: str
    instance_list_url: str = ""
    weight_store_url: str = ""
    log_adapter: str = "http"
    previous_secret: str = ""
    caller: Listener = Listener()
    admin: Listener = Listener()
    peer: Listener = Listener()
    seeds: list[str] = []
    tls: Tls | None = None
    membership: Membership = Membership()
    drain_grace_s: float = 60.0
    drain_notice_s: float = 2.0
    snapshot_s: float = 300.0
    lease_s: float = 10.0
    reconcile_s: float = 2.0
    clock_skew_s: float = 5.0
    cursor_ttl_s: float = 3600.0
    max_body_bytes: int = 1 << 20
    json_logs: bool = False


def load(path: str) -> Settings:
    """Reads and validates a settings file.

    Raises:
        SettingsError: The file is unreadable or a value is invalid.
    """
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as exc:
        raise exceptions.SettingsError(
            f"{path}: {exc.strerror}", remedy="name a readable JSON file"
        ) from exc
    return parse(data)


def parse(data: bytes) -> Settings:
    """Decodes and validates settings in JSON.

    Raises:
        SettingsError: The JSON is malformed or a value is invalid.
    """
    cfg = decoding.decode_json(
        data, Settings, "settings", exceptions.SettingsError
    )
    _check(cfg)
    return cfg


def _check(cfg: Settings) -> None:
    if not cfg.instance:
        raise exceptions.SettingsError("instance is empty")
    if not cfg.zone:
        raise exceptions.SettingsError("zone is empty")
    if len(cfg.secret) < _MIN_SECRET_LENGTH:
        raise exceptions.SettingsError(
            f"secret is shorter than {_MIN_SECRET_LENGTH} characters",
            remedy="use the output of `briarfall key new`",
        )
    if cfg.log_adapter not in ("http",):
        raise exceptions.SettingsError(
            f"log_adapter {cfg.log_adapter!r} is unknown",
            remedy="use one of: http",
        )
    _check_url("log_url", cfg.log_url, required=True)
    _check_url("instance_list_url", cfg.instance_list_url)
    _check_url("weight_store_url", cfg.weight_store_url)
    for name in ("caller", "admin", "peer"):
        _check_listener(name, getattr(cfg, name))
    _check_ports(cfg)
    for name in (
        "drain_grace_s",
        "snapshot_s",
        "lease_s",
        "reconcile_s",
        "cursor_ttl_s",
    ):
        _check_positive(name, getattr(cfg, name))
    _check_positive("max_body_bytes", cfg.max_body_bytes)
    if not 0 <= cfg.drain_notice_s <= cfg.drain_grace_s:
        raise exceptions.SettingsError(
            f"drain_notice_s {cfg.drain_notice_s} is not within [0, "
            f"drain_grace_s {cfg.drain_grace_s}]",
            remedy="lower drain_notice_s or raise drain_grace_s (seconds)",
        )
    if cfg.clock_skew_s < 0:
        raise exceptions.SettingsError(
            f"clock_skew_s {cfg.clock_skew_s} is negative"
        )
    _check_membership(cfg.membership)


def _check_url(name: str, url: str, *, required: bool = False) -> None:
    if not url and not required:
        return
    if not url.startswith(("http://", "https://")):
        raise exceptions.SettingsError(
            f"{name} {url!r} is not an HTTP URL",
            remedy="use http://<IP number>:<port>",
        )


def _check_listener(name: str, listener: Listener) -> None:
    try:
        ipaddress.ip_address(listener.host)
    except ValueError as exc:
        raise exceptions.SettingsError(
            f"{name}.host {listener.host!r} is not an IP number",
            remedy="use an IP number of this instance",
        ) from exc
    if not 0 <= listener.port <= 65_535:
        raise exceptions.SettingsError(
            f"{name}.port {listener.port} is not within [0, 65535]"
        )


def _check_ports(cfg: Settings) -> None:
    names_by_address: dict[tuple[str, int], str] = {}
    for name in ("caller", "admin", "peer"):
        listener = getattr(cfg, name)
        if listener.port == 0:
            continue
        address = (listener.host, listener.port)
        if address in names_by_address:
            raise exceptions.SettingsError(
                f"{name} and {names_by_address[address]} use the same address",
                remedy="give each listener a port of its own",
            )
        names_by_address[address] = name


def _check_membership(membership: Membership) -> None:
    _check_positive("membership.max_links", membership.max_links)
    _check_positive("membership.heartbeat_s", membership.heartbeat_s)
    _check_positive("membership.poll_s", membership.poll_s)
    if membership.suspect_s < 2 * membership.heartbeat_s:
        raise exceptions.SettingsError(
            f"membership.suspect_s {membership.suspect_s} is below two "
            f"heartbeats of {membership.heartbeat_s} s",
            remedy="raise suspect_s or lower heartbeat_s (seconds)",
        )


def _check_positive(name: str, value: float) -> None:
    if not value > 0:
        raise exceptions.SettingsError(f"{name} must be above 0, not {value}")
