"""Writes what happened in a soak test, for the tracing of failures."""

import pathlib
import time

import msgspec

from briarfall.standins.prepared.faultsoak import callers
from briarfall.standins.prepared.faultsoak import scenes


def _wall_time(time_s: float) -> str:
    """Returns the wall time of a monotonic time, as the logs write it."""
    wall_s = time.time() - time.monotonic() + time_s
    text = time.strftime("%H:%M:%S", time.localtime(wall_s))
    return f"{text},{int(wall_s % 1 * 1000):03}"


def write(
    folder: pathlib.Path,
    scene: scenes.Scene,
    outcomes: list[callers.RequestOutcome],
    broken: list[str],
) -> None:
    """Writes the faults, the arrivals at targets and the requests.

    Args:
        folder: Folder for the files.
        scene: What was run.
        outcomes: Request outcomes that callers recorded.
        broken: Violated guarantees.
    """
    (folder / "broken.txt").write_text("".join(f"{row}\n" for row in broken))
    lines = []
    for row in sorted(scene.records.played, key=lambda row: row.start_s):
        lines.append(
            f"{_wall_time(row.start_s)} to {_wall_time(row.end_s)} "
            f"{row.kind}: {row.detail}\n"
        )
    (folder / "faults.txt").write_text("".join(lines))
    lines = []
    for target in scene.targets:
        ran = set(target.ran_ids())
        for row in target.arrivals:
            state = "ran" if row.request_id in ran else "-"
            lines.append(
                f"{_wall_time(row.time_s)} {target.id} {row.request_id} "
                f"{state} {row.path}\n"
            )
    (folder / "arrivals.txt").write_text("".join(sorted(lines)))
    with (folder / "requests.jsonl").open("wb") as file:
        for row in outcomes:
            fields = {
                "sent": _wall_time(row.sent_s),
                "ended": _wall_time(row.ended_s),
                **msgspec.structs.asdict(row),
                "body": repr(row.body[-60:]),
            }
            file.write(msgspec.json.encode(fields) + b"\n")
