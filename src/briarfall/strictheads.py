"""HTTP client connections that accept no response head without its end.

`http.client` takes the end of a connection for the end of the head, so that a
response cut within its head looks like a complete one with an empty body.
"""

import http.client

from urllib3 import connection


class _HeadReader:
    """Reads the lines of a head, which end with a line feed each."""

    def __init__(self, reader):
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


class StrictConnection(http.client.HTTPConnection):
    """A connection of `http.client` with strict heads."""

    response_class = StrictResponse


class StrictPoolConnection(connection.HTTPConnection):
    """A connection of `urllib3` with strict heads."""

    response_class = StrictResponse
