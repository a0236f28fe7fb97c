"""`briarfall gateway-status`: metrics of a running gateway instance."""

import urllib3

from briarfall import exceptions

_TIMEOUT_S = 3.0
_METRICS_PATH = "/metrics"


def gateway_status(address: str) -> int:
    """Shows the state and the counters of a gateway instance.

    Args:
        address: Host and port of its status listener.
    """
    url = f"http://{address}{_METRICS_PATH}"
    try:
        reply = urllib3.request("GET", url, timeout=_TIMEOUT_S, retries=False)
    except urllib3.exceptions.HTTPError as exc:
        raise exceptions.TargetUnreachableError(
            f"cannot read metrics of {address}: {exc}",
            remedy="check the address; the status listener serves the metrics",
        ) from exc
    if reply.status != 200:
        raise exceptions.TargetError(
            f"metrics of {address}: expected status 200, got {reply.status}"
        )
    for line in reply.data.decode().splitlines():
        if line.startswith("#") or "_bucket{" in line or "_created" in line:
            continue
        print(line.removeprefix("briarfall_"))
    return 0
