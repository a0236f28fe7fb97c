"""Header names and header values of the platform."""

from briarfall.gateway.catalogue import sources
from briarfall.gateway.exchanges import headernames

HEADERS = headernames.HeaderNames(
    request_id=b"x-request-id",
    # Holds the remaining time in milliseconds, not a point in time.
    time_left=b"x-deadline-ms",
    account_key=b"x-api-key",
    # Holds the name of the client account.
    account=b"x-tenant",
    # Holds a target id; "instance" here isn't an instance of the gateway.
    expected_target=b"x-expect-instance",
    urgency=b"x-request-priority",
    # Holds the addresses and layer ranges of a chain, not a number.
    chain=b"x-hop-count",
    # Holds the address of the target that a refusal is about.
    faulty_target=b"at-server",
    signature=b"x-response-signature",
    not_run=b"x-not-executed",
    # Present if the target is draining.
    leaving=b"server-leaving",
    # Requests per second; not a limit of the memory for layers.
    rate_limit=b"server-limit",
    load=b"x-server-load",
    token_usage=b"x-token-usage",
    length_hint=b"x-length-hint",
    # Holds parts as id and tokens; not a hash of the prompt.
    prompt_parts=b"x-prefix-hash",
    last_event=b"last-event-id",
)
READY_PATH = "/v1/ready"


def encode_chain(stages: list[tuple[str, sources.LayerRange]]) -> bytes:
    """Returns the header value for a chain.

    Args:
        stages: Address and layer range of each engine, in layer order.
    """
    fields = []
    for address, layers in stages:
        fields.append(f"{address}={layers.first}-{layers.end}")
    return ",".join(fields).encode()
