"""What all commands share: exit codes, output and the operator's session."""

import enum
import json
import os
import pathlib
import sys

import msgspec

from briarfall import exceptions
from briarfall import sessions

KEY_VARIABLE = "BRIARFALL_KEY"


class ExitCode(enum.IntEnum):
    """Exit codes of the command line."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    REFUSED = 4
    NOT_FOUND = 5
    CONFLICT = 6
    UNAVAILABLE = 7


_EXIT_CODES = (
    (exceptions.SettingsError, ExitCode.INVALID),
    (exceptions.CatalogueError, ExitCode.INVALID),
    (exceptions.BadRequestError, ExitCode.INVALID),
    (exceptions.AuthenticationError, ExitCode.REFUSED),
    (exceptions.ForbiddenError, ExitCode.REFUSED),
    (exceptions.NotFoundError, ExitCode.NOT_FOUND),
    (exceptions.ConflictError, ExitCode.CONFLICT),
    (exceptions.LogUnavailableError, ExitCode.UNAVAILABLE),
    (exceptions.NotReadyError, ExitCode.UNAVAILABLE),
    (exceptions.TargetError, ExitCode.UNAVAILABLE),
)


def exit_code(exc: exceptions.BriarfallError) -> ExitCode:
    """Returns the exit code that reports an error."""
    for kind, code in _EXIT_CODES:
        if isinstance(exc, kind):
            return code
    return ExitCode.FAILED


def report_error(exc: exceptions.BriarfallError) -> None:
    """Writes an error as one line on standard error."""
    print(f"briarfall: {exc}".replace("\n", " "), file=sys.stderr)


def show(value, *, as_json: bool) -> None:
    """Prints a value as JSON, or as indented lines."""
    plain = msgspec.to_builtins(value)
    if as_json:
        print(json.dumps(plain))
        return
    if isinstance(plain, list):
        show_table(plain)
        return
    print(json.dumps(plain, indent=2))


def show_table(rows: list) -> None:
    """Prints records of the same shape as a table."""
    if not rows or not isinstance(rows[0], dict):
        for row in rows:
            print(row)
        return
    names = list(rows[0])
    cells = [names] + [[_cell(row.get(n)) for n in names] for row in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(names))]
    for line in cells:
        padded = [
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ]
        print("  ".join(padded).rstrip())


def _cell(value) -> str:
    if isinstance(value, float):
        return f"{value:.3f}"
    if isinstance(value, dict | list):
        return json.dumps(value)[:60]
    return "" if value is None else str(value)


def operator_session(admin_url: str, key_file: str) -> sessions.Session:
    """Returns a session with the operator's key.

    Raises:
        SettingsError: There is no key.
    """
    key = os.environ.get(KEY_VARIABLE, "")
    if key_file:
        try:
            key = pathlib.Path(key_file).read_text().strip()
        except OSError as exc:
            raise exceptions.SettingsError(
                f"{key_file}: {exc.strerror}", remedy="name a key file"
            ) from exc
    if not key:
        raise exceptions.SettingsError(
            "no operator key",
            remedy=f"use --key-file or set {KEY_VARIABLE}",
        )
    return sessions.Session(admin_url, key)


def read_file(path: str) -> bytes:
    """Returns the bytes of a file, or of standard input for `-`.

    Raises:
        SettingsError: The file cannot be read.
    """
    if path == "-":
        return sys.stdin.buffer.read()
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as exc:
        raise exceptions.SettingsError(
            f"{path}: {exc.strerror}", remedy="name a readable file"
        ) from exc
