"""Settings of a gateway instance."""

import msgspec

from briarfall import exceptions
from briarfall import ids
from briarfall import settings


class GatewaySettings(msgspec.Struct, frozen=True):
    """Settings of one gateway instance.

    Attributes:
        instance: Unique name of the instance.
        zone: Availability zone of the instance.
        caller: Listener for callers.
        status: Listener for the balancer's questions and metrics.
        peer: Listener for other instances, TCP and UDP.
        store_address: IP number and port of the platform's store.
        cores: Processor cores that the instance may use.
        beat_s: Interval at which targets renew their entries.
        key_ttl_s: Age of the catalogue after which no key is accepted, or
            0 if keys need no confirmation.
        catalogue_bound_s: Time within which a new catalogue is in force.
        leaving_bound_s: Time after which a leaving target gets no work.
        drain_grace_s: Longest duration of a planned stop.
        retry_ratio: Share of requests that may be sent once more, over
            all instances.
        retry_window_s: Window of that share.
        retry_slack: Sends beyond the share that the window allows.
    """

    instance: ids.InstanceId
    zone: ids.ZoneId
    caller: settings.Listener
    status: settings.Listener
    peer: settings.Listener
    store_address: str
    cores: float = 1.0
    beat_s: float = 1.2
    key_ttl_s: float = 5.0
    catalogue_bound_s: float = 2.0
    leaving_bound_s: float = 2.0
    drain_grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 0.0


def check(cfg: GatewaySettings) -> None:
    """Checks values that have bounds.

    Raises:
        SettingsError: A value is out of its range.
    """
    if not cfg.instance:
        raise exceptions.SettingsError("instance is empty")
    if not cfg.zone:
        raise exceptions.SettingsError("zone is empty")
    for name in (
        "cores",
        "beat_s",
        "catalogue_bound_s",
        "leaving_bound_s",
        "drain_grace_s",
        "retry_window_s",
    ):
        if not getattr(cfg, name) > 0:
            raise exceptions.SettingsError(f"{name} must be above 0")
    for name in ("key_ttl_s", "retry_ratio", "retry_slack"):
        if getattr(cfg, name) < 0:
            raise exceptions.SettingsError(f"{name} is negative")
