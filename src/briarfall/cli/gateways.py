"""`briarfall gateway-status`: metrics of a running gateway instance."""

import urllib3

from briarfall import exceptions
from briarfall import httpclient

_TIMEOUT_S = 3.0
_METRICS_PATH = "/metrics"


def gateway_status(address: str) -> int:
    """Shows the state and the counters of a gateway instance.

    Args:
        address: Host and port of its status listener.
    """
    try:
        client = httpclient.HttpClient(f"http://{address}", keep_alive=False)
        reply = client.send("GET", _METRICS_PATH, timeout_s=_TIMEOUT_S)
    except (exceptions.TargetError, urllib3.exceptions.HTTPError) as exc:
        raise exceptions.TargetUnreachableError(
            f"cannot read metrics of {address}: {exc}",
            remedy="check the address; the status listener serves the metrics",
        ) from exc
    if reply.status != 200:
        raise exceptions.TargetError(
            f"metrics of {address}: expected status 200, got {reply.status}"
        )
    for line in reply.body.decode().splitlines():
        if line.startswith("#") or "_bucket{" in line or "_created" in line:
            continue
        print(line.removeprefix("briarfall_"))
    return 0
