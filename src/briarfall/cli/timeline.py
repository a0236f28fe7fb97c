"""`briarfall timeline`: a day from the logs of instances, and its plot."""

import collections

import msgspec

from briarfall import exceptions
from briarfall.cli import logfiles

# What is counted, by how its line begins.
_COUNTED = {
    "request done": "done",
    "request failed": "failed",
    "stream broken": "broken",
    "stream refused": "refused",
    "stream silent": "silent",
    "stream paused": "paused",
    "repath": "repaths",
    "target blocked": "blocked",
    "target crashed": "crashes",
    "target wants no requests": "quiet",
    "peer silent": "peers",
}
# Changes of what instances believe; each is shown with how many saw it.
_SHOWN = (
    "started",
    "stopping",
    "stopped",
    "catalogue in force",
    "catalogue source",
    "target list",
    "target gone",
    "target leaving",
    "poison request",
    "lease taken",
    "lease lost",
    "settings",
    "log lines dropped",
)


class Interval(msgspec.Struct):
    """What happened in one interval.

    Attributes:
        start_s: Its start, in seconds of the day.
        counts: Lines by kind.
        changes: Changed beliefs, with the number of lines that tell them.
    """

    start_s: float
    counts: collections.Counter[str]
    changes: collections.Counter[str]


def intervals(lines: list[logfiles.LogLine], length_s: float) -> list[Interval]:
    """Returns the intervals from the first line to the last, in order."""
    found: dict[int, Interval] = {}
    for line in lines:
        number = int(line.second // length_s)
        row = found.get(number)
        if row is None:
            row = found[number] = Interval(
                number * length_s, collections.Counter(), collections.Counter()
            )
        for start, name in _COUNTED.items():
            if line.message.startswith(start):
                row.counts[name] += 1
        for start in _SHOWN:
            if line.message.startswith(start):
                row.changes[start] += 1
    return [found[number] for number in sorted(found)]


def draw(rows: list[Interval], out: str) -> None:
    """Writes the counts as a plot.

    Raises:
        SettingsError: The plotting library is not installed.
    """
    try:
        from matplotlib import pyplot
    except ImportError as exc:
        raise exceptions.SettingsError(
            "a plot needs matplotlib",
            remedy="install briarfall with the extra `bench`",
        ) from exc
    figure, axes = pyplot.subplots(figsize=(10, 5))
    start_s = rows[0].start_s
    times_s = [row.start_s - start_s for row in rows]
    for name in _COUNTED.values():
        axes.plot(times_s, [row.counts[name] for row in rows], label=name)
    axes.set_xlabel("seconds")
    axes.set_ylabel("lines")
    axes.legend()
    figure.savefig(out)


def timeline(*logs: str, interval: float = 2.0, out: str = "") -> int:
    """Shows what happened over time, from the logs of instances.

    Args:
        logs: Log files of any number of instances; standard input if none.
        interval: Seconds that a row covers.
        out: File for a plot.
    """
    if interval <= 0:
        raise exceptions.SettingsError("interval must be above 0")
    lines = logfiles.read_files(logs)
    rows = intervals(lines, interval)
    if not rows:
        raise exceptions.NotFoundError(
            "no log line was found", remedy="give logs of instances"
        )
    for row in rows:
        minutes, seconds = divmod(row.start_s, 60)
        hours, minutes = divmod(int(minutes), 60)
        words = [f"{name}={count}" for name, count in row.counts.items()]
        words += [f"[{name} x{count}]" for name, count in row.changes.items()]
        clock = f"{hours:02d}:{minutes:02d}:{seconds:04.1f}"
        print(f"{clock} {' '.join(words)}".rstrip())
    if out:
        draw(rows, out)
    return 0
