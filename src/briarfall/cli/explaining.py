"""`briarfall explain`: one request's decisions from the logs of instances."""

from briarfall import exceptions
from briarfall.cli import logfiles

# Lines that changed what an instance believed shortly before the request.
_CONTEXT_S = 2.0
_BELIEFS = (
    "target blocked",
    "target suspected",
    "target gone",
    "target state",
    "target leaving",
    "target wants no requests",
    "target takes requests",
    "catalogue source",
    "catalogue in force",
    "target list",
    "targets not read",
    "lease",
    "stopping",
    "started",
)


def story(
    request: str, lines: list[logfiles.LogLine]
) -> list[logfiles.LogLine]:
    """Returns a request's lines and the beliefs in force around them.

    Crashes under a request that came more than once are told by its
    fingerprint, whichever of its ids they are logged with.
    """
    own = [line for line in lines if line.request == request]
    if not own:
        return []
    places = {line.instance for line in own}
    first = min(line.second for line in own) - _CONTEXT_S
    last = max(line.second for line in own)
    rows = list(own)
    fingerprints = {line.fingerprint for line in own} - {""}
    for line in lines:
        if line.request == request:
            continue
        if line.fingerprint in fingerprints:
            rows.append(line)
            continue
        if line.request or line.instance not in places:
            continue
        if not first <= line.second <= last:
            continue
        if line.message.startswith(_BELIEFS):
            rows.append(line)
    rows.sort(key=lambda line: line.time)
    return rows


def cause(request: str, rows: list[logfiles.LogLine]) -> str:
    """Returns the line that names why a request ended as it did."""
    own = [row for row in rows if row.request == request]
    for row in reversed(own):
        if row.message.startswith("request failed"):
            return f"{row.instance}: {row.message}"
    for row in reversed(own):
        status = int(row.status or 0)
        if row.message.startswith("request done") and status >= 500:
            return (
                f"{row.instance}: its target itself answered {status}: "
                f"{row.message}"
            )
    for start in ("caller gone", "stream paused", "stream broken"):
        for row in reversed(own):
            if row.message.startswith(start):
                return f"{row.instance}: {row.message}"
    return f"{own[-1].instance}: {own[-1].message}"


def explain(request: str, *logs: str) -> int:
    """Shows what happened to one request, over all instances.

    Args:
        request: Request id.
        logs: Log files of any number of instances; standard input if none.
    """
    lines = logfiles.read_files(logs)
    rows = story(request, lines)
    if not rows:
        raise exceptions.NotFoundError(
            f"no log line names request {request}",
            remedy="give the logs of all instances of that time; requests "
            "that went well are logged one in ten; one that found its instance "
            "down left no line (see `briarfall timeline`)",
        )
    for row in rows:
        mark = "*" if row.request == request else " "
        print(f"{mark} {row.time} {row.instance}: {row.message}")
    print(f"cause: {cause(request, rows)}")
    return 0
