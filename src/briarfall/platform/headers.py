"""Header names of the platform."""

from briarfall.gateway import names
from briarfall.gateway import sources

HEADERS = names.HeaderNames(
    request_id=b"x-request-id",
    time_left=b"x-deadline-ms",
    account_key=b"x-api-key",
    account=b"x-tenant",
    expected_target=b"x-expect-instance",
    urgency=b"x-request-priority",
    chain=b"x-hop-count",
    faulty_target=b"at-server",
    signature=b"x-response-signature",
    not_run=b"x-not-executed",
    leaving=b"server-leaving",
    load=b"x-server-load",
    token_usage=b"x-token-usage",
    length_hint=b"x-length-hint",
    last_event=b"last-event-id",
)
READY_PATH = "/v1/ready"


def encode_chain(parts: list[tuple[str, sources.LayerRange]]) -> bytes:
    """Returns the header value for a chain of targets and layers."""
    rows = []
    for address, layers in parts:
        rows.append(f"{address}={layers.first}-{layers.end}")
    return ",".join(rows).encode()
