"""HTTP client connections that accept only whole heads with valid statuses.

`http.client` takes the end of a connection for the end of the head, so that a
response cut within its head looks like a complete one with an empty body. It
also accepts statuses from 600 on, signed digits, and interim responses as final
ones or without end.
"""

import http.client

from urllib3 import connection

from briarfall import exceptions
from briarfall import responsesockets
from briarfall import statuslines

_FIRST_FINAL_STATUS = 200
# Responses before the final one; each announces at most its progress.
_MAX_INTERIM_RESPONSES = 20


class _HeadReader:
    """Reads the lines of a head, which end with a line feed each.

    Attributes:
        last_line: The line that was read last.
    """

    def __init__(self, reader):
        self.last_line = b""
        self._reader = reader
        self._has_read = False

    def __getattr__(self, name: str):
        return getattr(self._reader, name)

    def readline(self, limit: int = -1) -> bytes:
        """Returns the next line.

        Raises:
            IncompleteRead: The connection ended within the head.
        """
        line = self._reader.readline(limit)
        is_cut = not line.endswith(b"\n") and (limit < 0 or len(line) < limit)
        if is_cut and (line or self._has_read):
            raise http.client.IncompleteRead(line)
        self._has_read = True
        self.last_line = line
        return line


class StrictResponse(http.client.HTTPResponse):
    """A response whose head has to end with its blank line."""

    def begin(self) -> None:
        """Reads the head.

        Raises:
            IncompleteRead: The connection ended within the head.
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


class StrictConnection(http.client.HTTPConnection):
    """A connection of `http.client` that accepts only whole responses."""

    response_class = StrictResponse

    def connect(self) -> None:
        """Opens the connection."""
        super().connect()
        self.sock = responsesockets.adopt(self.sock)


class StrictPoolConnection(connection.HTTPConnection):
    """A connection of `urllib3` that accepts only whole responses.

    `urllib3` reads the response also if the request could not be sent to its
    end.
    """

    response_class = StrictResponse

    def connect(self) -> None:
        """Opens the connection."""
        super().connect()
        self.sock = responsesockets.adopt(self.sock)
