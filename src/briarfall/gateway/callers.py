"""HTTP connection to one caller."""

import select
import socket

import h11

from briarfall import exceptions
from briarfall.gateway import clocks
from briarfall.gateway import messages
from briarfall.gateway import relaymessages
from briarfall.gateway import targetconnection
from briarfall.gateway import views

_RECEIVE_BYTES = 65_536
# The connection is closed if the caller reads nothing for this long.
_SEND_TIMEOUT_S = 10.0
# Timeout of each read while a closing connection lingers.
_LINGER_S = 0.5


class MessageRefusedError(Exception):
    """The bytes of the caller are not an acceptable request.

    Attributes:
        status: HTTP status of the response.
    """

    def __init__(self, status: int, text: str):
        super().__init__(text)
        self.status = status


class CallerConnection:
    """Reads requests of one caller and writes the responses.

    Args:
        sock: The accepted socket.
        limits: Limits on size and duration of the caller's requests.
    """

    def __init__(self, sock: socket.socket, limits: views.CallerLimits):
        self.sock = sock
        self.limits = limits
        self.closes_after_response = False
        self.has_sent_head = False
        self.head_sent_s = 0.0
        # State with which a peer relayed the current request, or None.
        self.relayed: relaymessages.RelayedRequest | None = None
        # Error that the response reports, or None.
        self.failure: exceptions.BriarfallError | None = None
        # HTTP status of the latest response.
        self.status = 0
        # Responses to HEAD have the headers of a body, but no body.
        self._is_head_request = False
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def wait_readable(self, timeout_s: float) -> bool:
        """Returns whether bytes of the next request arrive in time."""
        if self._http.trailing_data[0]:
            return True
        poller = select.poll()
        poller.register(self.sock, select.POLLIN)
        return bool(poller.poll(timeout_s * 1000))

    def read_request(self) -> messages.CallerRequest | None:
        """Returns the next complete request, or None if the caller is gone.

        Headers that are private to instances are removed.

        Raises:
            MessageRefusedError: The request is malformed, too large or slow.
        """
        req = self.read_message()
        if req is not None:
            req.headers = relaymessages.without_private(req.headers)
        return req

    def read_message(self) -> messages.CallerRequest | None:
        """Returns the next request with all headers; see `read_request`."""
        received_s = clocks.boot_s()
        deadline_s = received_s + self.limits.header_timeout_s
        head = None
        chunks = []
        size = 0
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                raise MessageRefusedError(
                    exc.error_status_hint, str(exc)
                ) from exc
            if event is h11.NEED_DATA:
                if not self._receive(deadline_s, head is not None):
                    return None
                continue
            if isinstance(event, h11.Request):
                head = event
                self._is_head_request = event.method == b"HEAD"
                # The body may take as long as a connection may stay idle.
                deadline_s = clocks.boot_s() + self.limits.idle_timeout_s
                if self._http.they_are_waiting_for_100_continue:
                    self._send(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
                continue
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > self.limits.max_body_bytes:
                    raise MessageRefusedError(
                        413,
                        "request body larger than "
                        f"{self.limits.max_body_bytes} bytes",
                    )
                chunks.append(bytes(event.data))
                continue
            if isinstance(event, h11.EndOfMessage) and head is not None:
                break
            return None
        return messages.CallerRequest(
            method=head.method,
            request_target=head.target,
            headers=list(head.headers.raw_items()),
            body=b"".join(chunks),
            received_s=received_s,
        )

    def _receive(self, deadline_s: float, has_head: bool) -> bool:
        left_s = deadline_s - clocks.boot_s()
        if left_s <= 0:
            raise MessageRefusedError(
                408, "request incomplete after the time for head or body"
            )
        self.sock.settimeout(left_s)
        try:
            data = self.sock.recv(_RECEIVE_BYTES)
        except TimeoutError as exc:
            raise MessageRefusedError(
                408, "request incomplete after the time for head or body"
            ) from exc
        except OSError:
            return False
        self._http.receive_data(data)
        return bool(data)

    def start_call(self, call) -> None:
        """Sets the call that the current request has become."""

    def send_head(self, status: int, headers: messages.Headers) -> None:
        """Sends status and headers of the response."""
        fields = list(headers)
        if self.closes_after_response:
            fields.append((b"Connection", b"close"))
        else:
            limit_s = int(self.limits.idle_timeout_s)
            fields.append((b"Keep-Alive", b"timeout=%d" % limit_s))
        self._record_head(status)
        self._send(h11.Response(status_code=status, headers=fields, reason=b""))

    def send_data(self, data: bytes) -> None:
        """Sends a piece of the response body."""
        if not self._is_head_request:
            self._send(h11.Data(data=data))

    def end(self) -> None:
        """Ends the response as complete."""
        self._send(h11.EndOfMessage())

    def answer(
        self, status: int, headers: messages.Headers, body: bytes
    ) -> None:
        """Sends a complete response with one write."""
        fields = []
        for key, value in headers:
            if self._is_head_request or key.lower() != b"content-length":
                fields.append((key, value))
        if status not in (204, 304) and not self._is_head_request:
            fields.append((b"Content-Length", str(len(body)).encode()))
        if self.closes_after_response:
            fields.append((b"Connection", b"close"))
        self._record_head(status)
        data = self._http.send(
            h11.Response(status_code=status, headers=fields, reason=b"")
        )
        if body and not self._is_head_request:
            data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage())
        self._write(data)

    def _record_head(self, status: int) -> None:
        self.has_sent_head = True
        self.head_sent_s = clocks.boot_s()
        self.status = status

    def _send(self, event) -> None:
        data = self._http.send(event)
        if data:
            self._write(data)

    def _write(self, data: bytes) -> None:
        self.sock.settimeout(_SEND_TIMEOUT_S)
        try:
            self.sock.sendall(data)
        except OSError as exc:
            raise targetconnection.CallerGoneError(
                f"response not accepted by the caller: {exc}"
            ) from exc

    def start_next(self) -> bool:
        """Prepares for the next request; returns whether one may follow."""
        if self.closes_after_response:
            return False
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        self.has_sent_head = False
        return True

    def close(self, *, linger: bool = False) -> None:
        """Closes the connection.

        Args:
            linger: Whether to read what the caller still sends. Unread bytes
                would turn the close into a reset, and the caller would lose
                the response.
        """
        try:
            if linger:
                self.sock.shutdown(socket.SHUT_WR)
                self.sock.settimeout(_LINGER_S)
                while self.sock.recv(_RECEIVE_BYTES):
                    continue
        except OSError:
            pass
        finally:
            self.sock.close()
