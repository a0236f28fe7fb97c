"""The settings file of the platform, decoded into the gateway's settings."""

import msgspec

from briarfall import exceptions
from briarfall import ids
from briarfall import settings
from briarfall.gateway import config


class _Listen(msgspec.Struct):
    front: str | None = None
    ready: str | None = None
    control: str | None = None


class _Bounds(msgspec.Struct):
    stability_ms: float = 3000
    drain_ms: float = 2000
    grace_s: float = 8
    config_ms: float = 2000
    strict_revoke: bool = True
    revoke_ms: float = 5000
    retry_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 0
    stall_ms: float = 3000


class _Limits(msgspec.Struct):
    cpu_share: float = 1.0
    # Speed of the core, not their number.
    cores: float = 1.0


class _Store(msgspec.Struct):
    address: str


class _File(msgspec.Struct):
    node: str
    zone: str
    ip: str
    listen: _Listen
    platform: _Store
    # The first port is the lowest of a free range; peers use it.
    port_range: tuple[int, int]
    heartbeat_ms: float = 1200
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


def parse(data: bytes) -> config.GatewaySettings:
    """Returns the gateway's settings from the platform's file.

    Raises:
        SettingsError: A field is missing or has the wrong type.
    """
    try:
        raw = msgspec.json.decode(data, type=_File)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise exceptions.SettingsError(f"platform settings: {exc}") from exc
    front = raw.listen.front
    ready = raw.listen.ready
    if front is None or ready is None:
        raise exceptions.SettingsError(
            "listen.front or listen.ready is missing"
        )
    bounds = raw.bounds
    cfg = config.GatewaySettings(
        instance=ids.InstanceId(raw.node),
        zone=ids.ZoneId(raw.zone),
        caller=_listener("listen.front", front),
        status=_listener("listen.ready", ready),
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
    )
    config.check(cfg)
    return cfg


def _listener(name: str, address: str) -> settings.Listener:
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise exceptions.SettingsError(
            f"{name} {address!r} is no address",
            remedy="use <IP number>:<port>",
        )
    return settings.Listener(host, int(port))
