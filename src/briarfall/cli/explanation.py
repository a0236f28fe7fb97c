"""`briarfall explain`: explains one request from the logs of instances."""

from briarfall import exceptions
from briarfall.cli import logfiles

# Changes of an instance's state are shown from this long before the request.
_CONTEXT_S = 2.0
_STATE_CHANGES = (
    "target blocked",
    "target suspected",
    "target gone",
    "target state",
    "target leaving",
    "target wants no requests",
    "target takes requests",
    "target limit changed",
    "catalogue source",
    "catalogue in force",
    "target list",
    "targets not read",
    "lease",
    "stopping",
    "started",
)


def related_lines(
    request: str, lines: list[logfiles.LogLine]
) -> list[logfiles.LogLine]:
    """Returns a request's lines, and state changes of its instances.

    State changes are included from shortly before the request until its last
    line. When a request was sent several times under different ids, the
    crashes that it caused are found by its fingerprint.
    """
    own = [line for line in lines if line.request == request]
    if not own:
        return []
    instances = {line.instance for line in own}
    start_s = min(line.time_of_day_s for line in own) - _CONTEXT_S
    end_s = max(line.time_of_day_s for line in own)
    rows = list(own)
    fingerprints = {line.fingerprint for line in own} - {""}
    for line in lines:
        if line.request == request:
            continue
        if line.fingerprint in fingerprints:
            rows.append(line)
            continue
        if line.request or line.instance not in instances:
            continue
        if not start_s <= line.time_of_day_s <= end_s:
            continue
        if line.message.startswith(_STATE_CHANGES):
            rows.append(line)
    rows.sort(key=lambda line: line.time)
    return rows


def cause(request: str, rows: list[logfiles.LogLine]) -> str:
    """Returns the line that best explains how a request ended."""
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
    for prefix in ("caller gone", "stream paused", "stream broken"):
        for row in reversed(own):
            if row.message.startswith(prefix):
                return f"{row.instance}: {row.message}"
    return f"{own[-1].instance}: {own[-1].message}"


def explain(request: str, *logs: str) -> int:
    """Shows what happened to one request on all instances.

    Args:
        request: Request id.
        logs: Log files of any number of instances; standard input if none.
    """
    lines = logfiles.read_files(logs)
    rows = related_lines(request, lines)
    if not rows:
        raise exceptions.NotFoundError(
            f"no log line names request {request}",
            remedy="give the logs of all instances of that time; only one in "
            "ten successful requests is logged, and a request to an instance "
            "that was down leaves no line (see `briarfall timeline`)",
        )
    for row in rows:
        mark = "*" if row.request == request else " "
        print(f"{mark} {row.time} {row.instance}: {row.message}")
    print(f"cause: {cause(request, rows)}")
    return 0
