"""Decodes the platform's settings file into the gateway's settings."""

import typing

import msgspec

from briarfall import addresses
from briarfall import decoding
from briarfall import exceptions
from briarfall import ids
from briarfall import settings
from briarfall.gateway.instance import config


class _Listen(msgspec.Struct):
    # Listener for callers.
    front: str | None = None
    # Listener for the balancer's readiness checks and for metrics.
    ready: str | None = None
    control: str | None = None


class _Bounds(msgspec.Struct):
    # Accepted, but not used by the gateway.
    stability_ms: float = 3000
    # Milliseconds after which a draining target gets no more requests.
    drain_ms: float = 2000
    # Longest duration of a planned stop, in seconds.
    grace_s: float = 8
    # Milliseconds within which a new catalogue has to be applied. The gateway
    # validates the value, but doesn't use it otherwise.
    config_ms: float = 2000
    # Whether client keys are refused when the catalogue is too old.
    strict_revoke: bool = True
    # Age of the catalogue, in milliseconds, at which client keys are refused at
    # the latest.
    revoke_ms: float = 5000
    # Share of requests that may be retried, over all instances.
    retry_ratio: float = 0.2
    # Window over which that share is measured, in seconds.
    retry_window_s: float = 10
    # Retries beyond the share that the window allows.
    retry_slack: float = 0
    # Accepted, but not used by the gateway.
    stall_ms: float = 3000


class _Limits(msgspec.Struct):
    # Number of cores that the instance may use.
    cpu_share: float = 1.0
    # Speed of a core, not the number of cores.
    cores: float = 1.0
    # Memory and descriptors of each process. Files without them get the
    # defaults of the gateway.
    ram_mb: float | None = None
    max_fds: int | None = None


class _StoreAddress(msgspec.Struct):
    # IP number and port.
    address: str


class _SettingsFile(msgspec.Struct):
    # Unique name of the instance.
    node: str
    zone: str
    # IP number at which other instances reach this one.
    ip: str
    listen: _Listen
    platform: _StoreAddress
    # First and last port of a free range; peers use the first port.
    port_range: tuple[int, int]
    # Interval at which targets renew their entries in the store, in
    # milliseconds.
    heartbeat_ms: float = 1200
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # False once the whole system has started before. Files without a truth
    # value count as a first start.
    bootstrap: typing.Any = True


def parse(data: bytes) -> config.GatewaySettings:
    """Returns the gateway's settings from the platform's file.

    Raises:
        SettingsError: A field is missing, has the wrong type or is out of
            range.
    """
    raw = decoding.decode_json(
        data, _SettingsFile, "platform settings", exceptions.SettingsError
    )
    front = raw.listen.front
    ready = raw.listen.ready
    if front is None or ready is None:
        raise exceptions.SettingsError(
            "listen.front or listen.ready is missing; both need an address"
        )
    bounds = raw.bounds
    addresses.parse(
        raw.platform.address, "platform.address", exceptions.SettingsError
    )
    addresses.parse(
        f"{raw.ip}:{raw.port_range[0]}",
        "ip and port_range",
        exceptions.SettingsError,
    )
    cfg = config.GatewaySettings(
        instance=ids.InstanceId(raw.node),
        zone=ids.ZoneId(raw.zone),
        caller=_parse_listener("listen.front", front),
        status=_parse_listener("listen.ready", ready),
        peer=settings.Listener(raw.ip, raw.port_range[0]),
        store_address=raw.platform.address,
        cores=raw.limits.cpu_share * raw.limits.cores,
        beat_s=raw.heartbeat_ms / 1000,
        key_ttl_s=bounds.revoke_ms / 1000 if bounds.strict_revoke else 0.0,
        catalogue_bound_s=bounds.config_ms / 1000,
        leaving_bound_s=bounds.drain_ms / 1000,
        drain_grace_s=bounds.grace_s,
        retry_ratio=bounds.retry_ratio,
        retry_window_s=bounds.retry_window_s,
        retry_slack=bounds.retry_slack,
        is_first_start=raw.bootstrap is not False,
        **_process_limits(raw.limits),
    )
    config.check(cfg)
    return cfg


def _process_limits(limits: _Limits) -> dict[str, float]:
    """Returns the limits of the process that the file sets."""
    found = {}
    if limits.ram_mb is not None:
        found["memory_mb"] = limits.ram_mb
    if limits.max_fds is not None:
        found["max_descriptors"] = limits.max_fds
    return found


def _parse_listener(name: str, address: str) -> settings.Listener:
    endpoint = addresses.parse(address, name, exceptions.SettingsError)
    return settings.Listener(endpoint.host, endpoint.port)
