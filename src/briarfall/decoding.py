"""Decodes what other writers wrote; odd input raises one typed error.

The libraries raise several kinds of errors for odd input, some of which are
no `ValueError`, such as `RecursionError`.
"""

import base64
import math
import typing
import zlib

import msgspec

from briarfall import exceptions

_MAX_EXCERPT = 80
_MAX_REASON = 160
_REMEDY = "correct what was written; until then it is ignored"
_FAILURES = (ValueError, TypeError, OverflowError, RecursionError)

ErrorType = type[exceptions.BriarfallError]


class Decoder(typing.Protocol):
    """Decoder of one type in JSON or MessagePack."""

    def decode(self, data):
        """Returns the decoded value."""


def decode(
    decoder: Decoder,
    data: bytes | memoryview,
    subject: str,
    error: ErrorType = exceptions.CatalogueError,
):
    """Returns the value that a decoder finds in bytes of another writer.

    Args:
        decoder: Decoder of the expected type.
        data: The bytes.
        subject: What the bytes are, for the error message.
        error: Class of the error.

    Raises:
        BriarfallError: The bytes don't hold a value of the type; the error is
            of the class `error`.
    """
    try:
        return decoder.decode(data)
    except _FAILURES as exc:
        raise failure(subject, exc, error) from exc


def decode_json(
    data: bytes,
    kind: type,
    subject: str,
    error: ErrorType = exceptions.CatalogueError,
    *,
    strict: bool = True,
):
    """Returns the value of a type that JSON of another writer holds.

    Raises:
        BriarfallError: The bytes don't hold a value of the type; the error is
            of the class `error`.
    """
    return decode(
        msgspec.json.Decoder(kind, strict=strict), data, subject, error
    )


def convert(value, kind: type, subject: str, error: ErrorType):
    """Returns decoded fields of another writer as a value of a type.

    Raises:
        BriarfallError: The fields don't fit the type; the error is of the
            class `error`.
    """
    try:
        return msgspec.convert(value, kind, strict=False)
    except _FAILURES as exc:
        raise failure(subject, exc, error) from exc


def decode_base64(text: str, subject: str, error: ErrorType) -> bytes:
    """Returns the bytes that Base64 of another writer holds.

    Raises:
        BriarfallError: The text is no Base64; the error is of the class
            `error`.
    """
    try:
        return base64.b64decode(text)
    except ValueError as exc:
        raise failure(subject, exc, error) from exc


def inflate(
    data: bytes | memoryview, max_bytes: int, subject: str, error: ErrorType
) -> bytes:
    """Returns decompressed bytes of another writer.

    Raises:
        BriarfallError: The data is damaged, incomplete or longer than
            `max_bytes` once decompressed; the error is of the class `error`.
    """
    inflater = zlib.decompressobj()
    try:
        found = inflater.decompress(data, max_bytes + 1)
    except zlib.error as exc:
        raise failure(subject, exc, error) from exc
    if len(found) > max_bytes:
        raise error(
            f"{subject} holds more than {max_bytes} bytes once decompressed",
            remedy=_REMEDY,
        )
    if not inflater.eof:
        raise error(f"{subject} is incomplete", remedy=_REMEDY)
    return found


def failure(
    subject: str, exc: Exception, error: ErrorType
) -> exceptions.BriarfallError:
    """Returns the typed error for a library's error."""
    reason = str(exc)
    if isinstance(exc, RecursionError):
        reason = "it is nested too deeply"
    return error(
        f"{subject} can't be decoded: {excerpt(reason, _MAX_REASON)}",
        remedy=_REMEDY,
    )


def excerpt(text: str, max_chars: int = _MAX_EXCERPT) -> str:
    """Returns the printable start of a text, for messages."""
    start = text[:max_chars]
    if not start.isprintable():
        start = ascii(start)[1:-1]
    if len(text) <= max_chars:
        return start
    return f"{start}... ({len(text)} characters)"


def parse_count(text: bytes | str, largest: int) -> int | None:
    """Returns a number of ASCII digits up to `largest`; None if it is none."""
    if not text.isascii() or not text.isdigit():
        return None
    # Longer texts are not converted, since `int` rejects very long ones.
    if len(text) > len(str(largest)):
        return None
    number = int(text)
    return number if number <= largest else None


def parse_number(text: bytes | str) -> float | None:
    """Returns a finite number, or None if the text is none."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) else None
