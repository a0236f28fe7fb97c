"""`briarfall timeline`: counts events over time from logs of instances."""

import collections

import msgspec

from briarfall import exceptions
from briarfall.cli import logfiles

# Names of counted events, by the beginning of their log messages.
_COUNTED_PREFIXES = {
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
# State changes; each is shown with the number of lines that report it.
_CHANGE_PREFIXES = (
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
    """Events and state changes in one interval.

    Attributes:
        start_s: Start of the interval, in seconds since midnight.
        counts: Number of events by name.
        changes: State changes, with the number of lines that report them.
    """

    start_s: float
    counts: collections.Counter[str]
    changes: collections.Counter[str]


def intervals(lines: list[logfiles.LogLine], length_s: float) -> list[Interval]:
    """Returns the intervals from the first line to the last, in order."""
    by_number: dict[int, Interval] = {}
    for line in lines:
        number = int(line.time_of_day_s // length_s)
        row = by_number.get(number)
        if row is None:
            row = by_number[number] = Interval(
                number * length_s, collections.Counter(), collections.Counter()
            )
        for prefix, name in _COUNTED_PREFIXES.items():
            if line.message.startswith(prefix):
                row.counts[name] += 1
        for prefix in _CHANGE_PREFIXES:
            if line.message.startswith(prefix):
                row.changes[prefix] += 1
    return [by_number[number] for number in sorted(by_number)]


def draw(rows: list[Interval], out: str) -> None:
    """Writes a plot of the counts to a file.

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
    for name in _COUNTED_PREFIXES.values():
        axes.plot(times_s, [row.counts[name] for row in rows], label=name)
    axes.set_xlabel("seconds")
    axes.set_ylabel("lines")
    axes.legend()
    figure.savefig(out)


def timeline(*logs: str, interval: float = 2.0, out: str = "") -> int:
    """Shows events over time, from the logs of instances.

    Args:
        logs: Log files of any number of instances; standard input if none.
        interval: Length of the interval of each row, in seconds.
        out: File to write a plot to.
    """
    if interval <= 0:
        raise exceptions.SettingsError(
            f"interval is {interval}, must be above 0"
        )
    lines = logfiles.read_files(logs)
    rows = intervals(lines, interval)
    if not rows:
        raise exceptions.NotFoundError(
            "no log line was found", remedy="give the log files of instances"
        )
    for row in rows:
        minutes, seconds = divmod(row.start_s, 60)
        hours, minutes = divmod(int(minutes), 60)
        fields = [f"{name}={count}" for name, count in row.counts.items()]
        fields += [f"[{name} x{count}]" for name, count in row.changes.items()]
        clock = f"{hours:02d}:{minutes:02d}:{seconds:04.1f}"
        print(f"{clock} {' '.join(fields)}".rstrip())
    if out:
        draw(rows, out)
    return 0
