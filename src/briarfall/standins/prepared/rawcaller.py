"""A caller that sends any bytes and judges the response byte by byte."""

import enum
import socket

import h11
import msgspec

from briarfall.gateway.instance import instance

_TIMEOUT_S = 20.0
_RECEIVE_BYTES = 65_536


class Ending(enum.Enum):
    """How the response to a request ended.

    Attributes:
        COMPLETE: It is well-formed and complete.
        CUT: Its head arrived and its body is recognizably incomplete.
        SILENT: The connection ended without any byte.
        MALFORMED: The bytes are no HTTP response.
    """

    COMPLETE = "complete"
    CUT = "cut"
    SILENT = "silent"
    MALFORMED = "malformed"


class RawAnswer(msgspec.Struct):
    """What a caller received for one request.

    Attributes:
        ending: How it ended.
        status: Its HTTP status, or 0 if there was no head.
        headers: Its headers, with names in lower case.
        body: The part of the body that arrived.
    """

    ending: Ending
    status: int = 0
    headers: dict[str, str] = {}
    body: bytes = b""


class RawCaller:
    """One connection of a caller.

    Args:
        address: IP address and port of the gateway's listener.
    """

    def __init__(self, address: tuple[str, int]):
        self.sock = socket.create_connection(address, _TIMEOUT_S)
        self._rest = b""
        self._is_closed = False

    def send(self, data: bytes) -> None:
        """Sends bytes unchanged."""
        self.sock.sendall(data)

    def read(self, method: bytes = b"GET") -> RawAnswer:
        """Returns the response to a request of the given method."""
        http = h11.Connection(h11.CLIENT)
        http.send(
            h11.Request(method=method, target=b"/", headers=[("Host", "-")])
        )
        http.send(h11.EndOfMessage())
        answer = RawAnswer(Ending.SILENT)
        has_bytes = bool(self._rest)
        if self._rest:
            http.receive_data(self._rest)
        while True:
            try:
                event = http.next_event()
            except h11.RemoteProtocolError:
                answer.ending = Ending.MALFORMED
                if answer.status:
                    answer.ending = Ending.CUT
                return answer
            if event is h11.NEED_DATA:
                data = self._receive()
                if not data and not has_bytes:
                    return answer
                if data is None:
                    answer.ending = Ending.CUT
                    return answer
                has_bytes = True
                http.receive_data(data)
            elif isinstance(event, h11.Response):
                answer.status = event.status_code
                for name, value in event.headers:
                    answer.headers[name.decode()] = value.decode("latin-1")
            elif isinstance(event, h11.Data):
                answer.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                answer.ending = Ending.COMPLETE
                self._rest = http.trailing_data[0]
                return answer
            elif not isinstance(event, h11.InformationalResponse):
                answer.ending = Ending.CUT if has_bytes else Ending.SILENT
                return answer

    def _receive(self) -> bytes | None:
        """Returns bytes, none at the end, or None after a reset."""
        try:
            return self.sock.recv(_RECEIVE_BYTES)
        except ConnectionResetError:
            return None

    @property
    def is_closed(self) -> bool:
        """Whether the gateway has closed the connection; waits for it."""
        return not self._rest and not self._receive()

    def close(self) -> None:
        """Closes the connection."""
        self.sock.close()


def request(
    path: str,
    *,
    method: str = "GET",
    body: bytes = b"",
    http: str = "1.1",
    headers: dict[str, str] | None = None,
) -> bytes:
    """Returns the bytes of a request with the headers that callers send."""
    fields = {
        "Host": "shop.example",
        "X-Request-Id": "r1",
        "X-Deadline-Ms": "3000",
        "X-Api-Key": "key-1",
    }
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    fields.update(headers or {})
    lines = [f"{method} {path} HTTP/{http}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def exchange(
    inst: instance.Instance, data: bytes, method: str = "GET"
) -> RawAnswer:
    """Sends bytes to an instance on a new connection; returns the response."""
    caller = RawCaller(inst.caller_address)
    try:
        caller.send(data)
        return caller.read(method.encode())
    finally:
        caller.close()
