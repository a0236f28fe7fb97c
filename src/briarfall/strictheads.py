"""HTTP client connections that accept only whole and valid responses.

`http.client` takes the end of a connection for the end of the head, so that a
response cut within its head looks like a complete one with an empty body. At a
line that is no field it ends the fields, so that a length or coding that
follows is lost. A chunk size that is cut within leading zeros counts as the
last chunk. It also accepts statuses from 600 on, signed digits, and interim
responses as final ones or without end.
"""

import http.client

from urllib3 import connection

from briarfall import exceptions
from briarfall import responseheads
from briarfall import responsesockets
from briarfall import sockets
from briarfall import statuslines

_FIRST_FINAL_STATUS = 200
# Responses before the final one; each announces at most its progress.
_MAX_INTERIM_RESPONSES = 20
_MAX_TRAILER_BYTES = 65_536
_MAX_CHUNK_LINE_BYTES = 65_536
_LINE_END = b"\r\n"
_BLANK_LINES = (_LINE_END, b"\n")
# The fields of a trailer section are checked as those of a head that begins so.
_TRAILER_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"


def _check(head: bytearray) -> None:
    """Checks the lines of a head or of a trailer section.

    Raises:
        HTTPException: They are not valid.
    """
    try:
        responseheads.check(bytes(head))
    except exceptions.InvalidHeadError as exc:
        raise http.client.HTTPException(exc.message) from exc


class _HeadReader:
    """Reads the lines of heads, which end with a line feed each.

    Args:
        reader: Reads the bytes.

    Attributes:
        last_line: The line that was read last.
    """

    def __init__(self, reader):
        self.last_line = b""
        self._reader = reader
        self._has_read = False
        # Lines since the last blank one.
        self._head = bytearray()

    def __getattr__(self, name: str):
        return getattr(self._reader, name)

    def readline(self, limit: int = -1) -> bytes:
        """Returns the next line.

        Raises:
            IncompleteRead: The connection ended within the head.
            HTTPException: The head that ends with the line is not valid.
        """
        line = self._reader.readline(limit)
        is_cut = not line.endswith(b"\n") and (limit < 0 or len(line) < limit)
        if is_cut and (line or self._has_read):
            raise http.client.IncompleteRead(line)
        self._has_read = True
        self.last_line = line
        self._head += line
        if line in _BLANK_LINES:
            _check(self._head)
            self._head.clear()
        return line


class StrictResponse(http.client.HTTPResponse):
    """A response whose head has to be valid and to end with its blank line."""

    def begin(self) -> None:
        """Reads the head.

        Raises:
            IncompleteRead: The connection ended within the head.
            HTTPException: The head is not valid.
        """
        reader = self.fp
        self.fp = _HeadReader(reader)
        try:
            super().begin()
        finally:
            if self.fp is not None:
                self.fp = reader

    def _read_status(self) -> tuple[str, int, str]:
        """Returns version, status and reason of the final response.

        Raises:
            BadStatusLine: A status or its line is not valid.
        """
        for _ in range(_MAX_INTERIM_RESPONSES + 1):
            found = super()._read_status()
            line = self.fp.last_line
            try:
                statuslines.check_line(line)
            except exceptions.InvalidStatusError as exc:
                raise http.client.BadStatusLine(exc.message) from exc
            if found[1] >= _FIRST_FINAL_STATUS:
                return found
            if found[1] == http.HTTPStatus.SWITCHING_PROTOCOLS:
                raise http.client.BadStatusLine("no upgrade was asked for")
            http.client.parse_headers(self.fp)
        raise http.client.BadStatusLine("interim responses without end")

    def _get_chunk_left(self) -> int | None:
        """Returns the bytes left of a chunk, or None after the last one.

        Raises:
            IncompleteRead: The connection ended, or a line is no chunk size.
            HTTPException: A chunk does not end with its line end.
        """
        if self.chunk_left == 0:
            if self._safe_read(len(_LINE_END)) != _LINE_END:
                raise http.client.HTTPException(
                    "a chunk is longer than its size"
                )
            # The base class looks for a line end only after a chunk.
            self.chunk_left = None
        return super()._get_chunk_left()

    def _read_next_chunk_size(self) -> int:
        """Returns the size of the next chunk.

        Raises:
            ValueError: The line is cut or too long, or holds no size.
        """
        line = self.fp.readline(_MAX_CHUNK_LINE_BYTES)
        if not line.endswith(b"\n"):
            raise ValueError(f"line of a chunk size is cut: {line[:20]!r}")
        return sockets.parse_chunk_size(line.rstrip(_LINE_END))

    def _read_and_discard_trailer(self) -> None:
        """Reads the trailer section, whose end may be missing.

        All chunks have arrived before it.

        Raises:
            HTTPException: It is not valid, or too long.
        """
        lines = bytearray(_TRAILER_STATUS_LINE)
        while True:
            line = self.fp.readline(_MAX_TRAILER_BYTES)
            if len(lines) + len(line) > _MAX_TRAILER_BYTES:
                raise http.client.LineTooLong("trailer section")
            if not line.endswith(b"\n") or line in _BLANK_LINES:
                break
            lines += line
        _check(lines + _LINE_END)


class StrictConnection(http.client.HTTPConnection):
    """A connection of `http.client` that accepts only whole responses."""

    response_class = StrictResponse

    def connect(self) -> None:
        """Opens the connection."""
        super().connect()
        self.sock = responsesockets.adopt(self.sock)


class StrictPoolConnection(connection.HTTPConnection):
    """A connection of `urllib3` that accepts only whole responses.

    `urllib3` ignores a reset while it sends a request, and reads the response.
    """

    response_class = StrictResponse

    def connect(self) -> None:
        """Opens the connection."""
        super().connect()
        self.sock = responsesockets.adopt(self.sock)
