"""Settings of a gateway instance."""

import msgspec

from briarfall import exceptions
from briarfall import ids
from briarfall import settings

# Names are keys of records in the store.
_MAX_NAME_BYTES = 255


class GatewaySettings(msgspec.Struct, frozen=True):
    """Settings of one gateway instance.

    Attributes:
        instance: Unique name of the instance.
        zone: Availability zone of the instance.
        caller: Address of the listener for callers.
        status: Address of the listener for the load balancer's health checks
            and for metrics.
        peer: Address of the listener for other instances, TCP and UDP.
        store_address: IP address and port of the platform's store.
        cores: Processor cores that the instance may use.
        beat_s: Interval at which targets renew their entries.
        key_ttl_s: Age of the catalogue from which keys are no longer
            accepted, less a safety margin; 0 if keys are accepted at any age.
        catalogue_bound_s: Time within which a new catalogue is in force.
        leaving_bound_s: Time after which a draining target gets no new work.
        drain_grace_s: Longest duration of a planned stop.
        retry_ratio: Share of requests that may be retried, over all
            instances.
        retry_window_s: Time window over which that share is counted.
        retry_slack: Retries per window that are allowed beyond the share.
        memory_mb: Memory of the machine, in megabytes.
        max_descriptors: Descriptors that the process may have open.
        is_first_start: Whether the whole system starts for the first time.
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
    memory_mb: float = 250.0
    max_descriptors: int = 1535
    is_first_start: bool = True


def check(cfg: GatewaySettings) -> None:
    """Checks the values that have a valid range.

    Raises:
        SettingsError: A value is out of its range.
    """
    for name in ("instance", "zone"):
        value = getattr(cfg, name)
        if not value or not value.isprintable():
            raise exceptions.SettingsError(f"{name} is empty or not printable")
        if len(value.encode()) > _MAX_NAME_BYTES:
            raise exceptions.SettingsError(
                f"{name} is longer than {_MAX_NAME_BYTES} bytes"
            )
    for name in (
        "cores",
        "beat_s",
        "catalogue_bound_s",
        "leaving_bound_s",
        "drain_grace_s",
        "retry_window_s",
        "memory_mb",
        "max_descriptors",
    ):
        if not getattr(cfg, name) > 0:
            raise exceptions.SettingsError(f"{name} must be above 0")
    for name in ("key_ttl_s", "retry_ratio", "retry_slack"):
        if getattr(cfg, name) < 0:
            raise exceptions.SettingsError(f"{name} is negative")
