"""Which status lines begin a response (RFC 9110, sections 2.5 and 15)."""

import re

from briarfall import exceptions

_FIRST_STATUS = 100
_LAST_STATUS = 599
# A higher minor version is read like 1.1.
_MAJOR_VERSION = b"1"
# The space before an empty reason is often left out.
_STATUS_LINE = re.compile(
    rb"HTTP/([0-9]\.[0-9]) ([0-9]{3})(?: [^\x00\r\n]*)?\r?\n"
)
_MAX_SHOWN_BYTES = 80


def check(version: bytes, status: int) -> None:
    """Checks the parts of a well-formed status line.

    Args:
        version: HTTP version, as in b"1.1".
        status: The status.

    Raises:
        InvalidStatusError: The response is none of HTTP/1.
    """
    if version.partition(b".")[0] != _MAJOR_VERSION:
        raise exceptions.InvalidStatusError(
            f"status {status} of HTTP/{version.decode('latin-1')}, expected "
            "HTTP/1.1 or HTTP/1.0"
        )
    if not _FIRST_STATUS <= status <= _LAST_STATUS:
        raise exceptions.InvalidStatusError(
            f"status {status:03}, expected {_FIRST_STATUS} to {_LAST_STATUS}"
        )


def check_line(line: bytes) -> None:
    """Checks a status line with its line feed.

    Raises:
        InvalidStatusError: It begins no response of HTTP/1.
    """
    match = _STATUS_LINE.fullmatch(line)
    if match is None:
        raise exceptions.InvalidStatusError(
            f"status line {line[:_MAX_SHOWN_BYTES]!r}, expected one like "
            "'HTTP/1.1 200 OK'"
        )
    check(match[1], int(match[2]))
