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
    def second(self) -> float:
        """The time of day in seconds, for distances within a day."""
        clock, _, millis = self.time.rpartition(" ")[2].partition(",")
        try:
            hours, minutes, seconds = clock.split(":")
            whole = int(hours) * 3600 + int(minutes) * 60 + int(seconds)
            return whole + int(millis or 0) / 1000
        except ValueError:
            return 0.0


def read_files(names: collections.abc.Sequence[str]) -> list[LogLine]:
    """Returns the log lines of some files; of standard input if none."""
    texts = [pathlib.Path(name).read_text(errors="replace") for name in names]
    if not names:
        texts = [sys.stdin.read()]
    found = []
    for text in texts:
        found.extend(read_lines(text))
    return found


def read_lines(text: str) -> list[LogLine]:
    """Returns the log lines of a text; other lines are left out."""
    found = []
    for line in text.splitlines():
        start = line.find("{")
        if start < 0:
            continue
        try:
            found.append(msgspec.json.decode(line[start:], type=LogLine))
        except (msgspec.DecodeError, UnicodeDecodeError):
            continue
    return found
