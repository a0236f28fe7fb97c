"""Exit codes, output and operator sessions, shared by all commands."""

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
    """Returns the exit code for an error."""
    for error_class, code in _EXIT_CODES:
        if isinstance(exc, error_class):
            return code
    return ExitCode.FAILED


def report_error(exc: exceptions.BriarfallError) -> None:
    """Writes an error to standard error as one line."""
    print(f"briarfall: {exc}".replace("\n", " "), file=sys.stderr)


def show(value, *, as_json: bool) -> None:
    """Prints a value as one line of JSON, as a table or as indented JSON."""
    data = msgspec.to_builtins(value)
    if as_json:
        print(json.dumps(data))
        return
    if isinstance(data, list):
        show_table(data)
        return
    print(json.dumps(data, indent=2))


def show_table(rows: list) -> None:
    """Prints records with the same fields as a table."""
    if not rows or not isinstance(rows[0], dict):
        for row in rows:
            print(row)
        return
    names = list(rows[0])
    lines = [names] + [[_cell(row.get(n)) for n in names] for row in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(names))]
    for line in lines:
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
    """Returns a session authenticated by the operator's key.

    Raises:
        SettingsError: No key was given, or the key file cannot be read.
    """
    key = os.environ.get(KEY_VARIABLE, "")
    if key_file:
        try:
            key = pathlib.Path(key_file).read_text().strip()
        except OSError as exc:
            raise exceptions.SettingsError(
                f"cannot read key file {key_file}: {exc.strerror}",
                remedy="give a readable key file",
            ) from exc
    if not key:
        raise exceptions.SettingsError(
            "no operator key was given",
            remedy=f"use --key-file or set {KEY_VARIABLE}",
        )
    return sessions.Session(admin_url, key)


def read_file(path: str) -> bytes:
    """Returns the contents of a file, or of standard input for `-`.

    Raises:
        SettingsError: The file cannot be read.
    """
    if path == "-":
        return sys.stdin.buffer.read()
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as exc:
        raise exceptions.SettingsError(
            f"cannot read {path}: {exc.strerror}", remedy="give a readable file"
        ) from exc
