"""Log lines of instances, read back from files."""

import collections.abc
import pathlib
import sys

import msgspec


class LogLine(msgspec.Struct):
    """One line of an instance's log."""

    time: str = ""
    level: str = ""
    instance: str = ""
    message: str = ""
    request: str = ""
    code: str = ""
    outcome: str = ""
    status: str = ""
    fingerprint: str = ""

    @property
    def time_of_day_s(self) -> float:
        """The time in seconds since midnight, or 0 if it is malformed.

        Lines of different days can't be compared by it.
        """
        clock, _, milliseconds = self.time.rpartition(" ")[2].partition(",")
        try:
            hours, minutes, seconds = clock.split(":")
            whole_seconds = int(hours) * 3600 + int(minutes) * 60 + int(seconds)
            return whole_seconds + int(milliseconds or 0) / 1000
        except ValueError:
            return 0.0


def read_files(names: collections.abc.Sequence[str]) -> list[LogLine]:
    """Returns the log lines of the files; of standard input if none."""
    texts = [pathlib.Path(name).read_text(errors="replace") for name in names]
    if not names:
        texts = [sys.stdin.read()]
    lines = []
    for text in texts:
        lines.extend(read_lines(text))
    return lines


def read_lines(text: str) -> list[LogLine]:
    """Returns the log lines of a text; skips lines that are not JSON."""
    lines = []
    for line in text.splitlines():
        start = line.find("{")
        if start < 0:
            continue
        try:
            lines.append(msgspec.json.decode(line[start:], type=LogLine))
        except (msgspec.DecodeError, UnicodeDecodeError):
            continue
    return lines
