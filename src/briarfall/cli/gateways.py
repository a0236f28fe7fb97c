"""`briarfall gateway-status`: what a running gateway instance says."""

import urllib3

from briarfall import exceptions

_TIMEOUT_S = 3.0
_METRICS_PATH = "/metrics"


def gateway_status(address: str) -> int:
    """Shows a gateway instance's beliefs and counters.

    Args:
        address: Host and port of its status listener.
    """
    url = f"http://{address}{_METRICS_PATH}"
    try:
        reply = urllib3.request("GET", url, timeout=_TIMEOUT_S, retries=False)
    except urllib3.exceptions.HTTPError as exc:
        raise exceptions.TargetUnreachableError(
            f"{address}: {exc}",
            remedy="check the address; metrics are at the status listener",
        ) from exc
    if reply.status != 200:
        raise exceptions.TargetError(f"{address}: status {reply.status}")
    for line in reply.data.decode().splitlines():
        if line.startswith("#") or "_bucket{" in line or "_created" in line:
            continue
        print(line.removeprefix("briarfall_"))
    return 0
