"""HTTP requests and responses as plain data."""

import msgspec

Headers = list[tuple[bytes, bytes]]

# Headers with this prefix are private to the instances.
PRIVATE_PREFIX = b"briarfall-relay"

# Headers that apply to a single connection (RFC 9110, section 7.6.1).
_CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"expect",
    )
)


def find(headers: Headers, name: bytes) -> bytes | None:
    """Returns the value of the first header with a lower-case name."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end(headers: Headers) -> Headers:
    """Returns the headers that a proxy forwards, without private ones.

    A length beside a transfer encoding is not the body's length, so it is
    dropped (RFC 9112, section 6.3).
    """
    named = set()
    for key, value in headers:
        if key.lower() == b"transfer-encoding":
            named.add(b"content-length")
        if key.lower() != b"connection":
            continue
        for token in value.split(b","):
            named.add(token.strip().lower())
    # Each request needs its host, whatever the sender names.
    named.discard(b"host")
    kept = []
    for key, value in headers:
        lower = key.lower()
        if lower in _CONNECTION_HEADERS or lower in named:
            continue
        if lower.startswith(PRIVATE_PREFIX):
            continue
        kept.append((key, value))
    return kept


class CallerRequest(msgspec.Struct):
    """One request as a caller sent it, with its complete body.

    Attributes:
        method: The HTTP method, such as b"GET".
        request_target: Path and query as the caller sent them.
        headers: All headers, spelt as the caller sent them.
        body: The body, without transfer encoding.
        received_s: Time of the first byte on the boot clock, in seconds.
    """

    method: bytes
    request_target: bytes
    headers: Headers
    body: bytes
    received_s: float

    def header(self, name: bytes) -> bytes | None:
        """Returns the value of a header given in lower case."""
        return find(self.headers, name)

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.request_target.partition(b"?")[0].decode("latin-1")

    @property
    def host(self) -> str:
        """The host without its port, in lower case."""
        value = self.header(b"host") or b""
        return value.decode("latin-1").partition(":")[0].lower()


class ResponseHead(msgspec.Struct):
    """Status and headers of a target's response."""

    status: int
    reason: bytes
    headers: Headers

    def header(self, name: bytes) -> bytes | None:
        """Returns the value of a header given in lower case."""
        return find(self.headers, name)

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body has no length and ends with the connection.

        Responses to HEAD, which have no body, are not told apart.
        """
        return (
            self.status not in (204, 304)
            and self.header(b"content-length") is None
            and self.header(b"transfer-encoding") is None
        )
