"""HTTP connection to one caller."""

import contextlib
import select
import socket
import struct

import h11
import msgspec

from briarfall import exceptions
from briarfall.gateway import clocks
from briarfall.gateway.calls import bodybudget
from briarfall.gateway.calls import bodyreading
from briarfall.gateway.calls import relaymessages
from briarfall.gateway.catalogue import views
from briarfall.gateway.exchanges import messages
from briarfall.gateway.exchanges import targetconnection

_RECEIVE_BYTES = 65_536
# Read at once of a head, of a body in chunks as long as little of it has come,
# and of one in small chunks. The parser keeps what it has not got to yet.
_FIRST_RECEIVE_BYTES = 16_384
_SMALL_CHUNKS_RECEIVE_BYTES = 4096
# Bytes of a body in small chunks that may wait in the system's buffer.
_SMALL_CHUNKS_BUFFER_BYTES = 16_384
# Interval of looks whether an unfinished request was refused meanwhile.
_REFUSAL_POLL_S = 1.0
# Retry-After of a request that was refused for lack of memory.
_REFUSED_RETRY_S = 1.0
# The connection is closed if the caller reads nothing for this long.
_SEND_TIMEOUT_S = 10.0
# Longest time for one piece of a response, however the caller reads it.
_MAX_SEND_S = 60.0
# Timeout of each read while a closing connection lingers.
_LINGER_S = 0.5
_MAX_LINGER_S = 5.0
_MAX_LINGER_BYTES = 8 * 1024 * 1024
# Closes a connection with a reset.
_RESET = struct.pack("ii", 1, 0)
_UNEXPECTED_ERROR = b"[internal] unexpected error; remedy: report the request\n"


class MessageRefusedError(Exception):
    """The bytes of the caller are not an acceptable request.

    Attributes:
        status: HTTP status of the response.
        retry_after_s: Retry-After of the response, or None.
    """

    def __init__(
        self, status: int, text: str, retry_after_s: float | None = None
    ):
        super().__init__(text)
        self.status = status
        self.retry_after_s = retry_after_s


def _late_error() -> MessageRefusedError:
    return MessageRefusedError(
        408, "request incomplete after the time for head or body"
    )


def _new_parser(limits: views.CallerLimits) -> h11.Connection:
    return h11.Connection(
        h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
    )


class CallerConnection:
    """Reads requests of one caller and writes the responses.

    Args:
        sock: The accepted socket.
        limits: Limits on size and duration of the caller's requests.
        bodies: Bodies of the listener's requests, or None for no bound.
    """

    def __init__(
        self,
        sock: socket.socket,
        limits: views.CallerLimits,
        bodies: bodybudget.BodyGroup | None = None,
    ):
        self.sock = sock
        # Memory of the bodies on all connections of the same listener.
        self.bodies = bodies or bodybudget.unbounded()
        self._body: bodybudget.HeldBody | None = None
        self.limits = limits
        self._set_limits = limits
        self._announced_idle_s = 0.0
        self.closes_after_response = False
        # The request that is being answered, once it was read completely.
        self.request: messages.CallerRequest | None = None
        # Headers of the current request, once its head was read.
        self.head_headers: messages.Headers | None = None
        # Whether bytes of a request have arrived that is not answered yet.
        self._is_response_due = False
        # Whether bytes of the response may have been sent.
        self.has_sent_head = False
        # Whether a response is being sent whose end is the connection's end.
        self._ends_with_connection = False
        self.head_sent_s = 0.0
        # State with which a peer relayed the current request, or None.
        self.relayed: relaymessages.RelayedRequest | None = None
        # Error that the response reports, or None.
        self.failure: exceptions.BriarfallError | None = None
        # HTTP status of the latest response.
        self.status = 0
        # Responses to HEAD have the headers of a body, but no body.
        self._is_head_request = False
        # Whether the head of the current request announces its body's length.
        self._has_length = False
        self._receive_bytes = _FIRST_RECEIVE_BYTES
        self._is_buffer_bounded = False
        self._http = _new_parser(limits)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def set_limits(self, limits: views.CallerLimits) -> None:
        """Sets the limits of the next request.

        The idle time never falls below the one that the last response
        announced, since the caller relies on that.
        """
        if limits == self._set_limits:
            return
        self._set_limits = limits
        idle_s = max(limits.idle_timeout_s, self._announced_idle_s)
        self.limits = msgspec.structs.replace(limits, idle_timeout_s=idle_s)
        received, is_closed = self._http.trailing_data
        self._http = _new_parser(limits)
        if received:
            self._http.receive_data(received)
        if is_closed:
            self._http.receive_data(b"")

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
        self._is_response_due = True
        self.head_headers = None
        self._has_length = False
        self._body = self.bodies.open()
        reader = bodyreading.BodyReader(self._body, self.limits.max_body_bytes)
        try:
            with contextlib.closing(reader):
                return self._read_message(self._body, reader)
        except exceptions.BodyMemoryError as exc:
            raise MessageRefusedError(
                503, exc.message, _REFUSED_RETRY_S
            ) from exc

    def _read_message(
        self, held: bodybudget.HeldBody, body: bodyreading.BodyReader
    ) -> messages.CallerRequest | None:
        received_s = clocks.boot_s()
        deadline_s = received_s + self.limits.header_timeout_s
        head = None
        while True:
            event = self._next_event()
            if event is h11.NEED_DATA:
                held.check()
                self._set_receive_bytes(body)
                if not self._receive(deadline_s, held):
                    return None
                continue
            if isinstance(event, h11.Request):
                head = event
                # The body may take as long as a connection may stay idle.
                deadline_s = clocks.boot_s() + self.limits.idle_timeout_s
                self._begin_body(event)
                continue
            if isinstance(event, h11.Data):
                if body.is_too_long(len(event.data)):
                    raise self._too_long_error()
                body.add(event.data, deadline_s)
                if body.is_late:
                    raise _late_error()
                if body.is_fragmented:
                    self._bound_buffer()
                continue
            if isinstance(event, h11.EndOfMessage) and head is not None:
                break
            return None
        body.flush()
        self.request = messages.CallerRequest(
            method=head.method,
            request_target=head.target,
            headers=list(head.headers.raw_items()),
            body=held.complete(),
            received_s=received_s,
        )
        return self.request

    def _bound_buffer(self) -> None:
        """Keeps the system's buffer from growing with what it is sent."""
        if not self._is_buffer_bounded:
            self._is_buffer_bounded = True
            self.sock.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_RCVBUF,
                _SMALL_CHUNKS_BUFFER_BYTES,
            )

    def _next_event(self):
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as exc:
            raise MessageRefusedError(exc.error_status_hint, str(exc)) from exc

    def _begin_body(self, head: h11.Request) -> None:
        self._is_head_request = head.method == b"HEAD"
        self.head_headers = list(head.headers.raw_items())
        length = messages.find(self.head_headers, b"content-length")
        is_chunked = messages.find(self.head_headers, b"transfer-encoding")
        self._has_length = length is not None and not is_chunked
        if self._has_length:
            if int(length) > self.limits.max_body_bytes:
                raise self._too_long_error()
        if self._http.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))

    def _too_long_error(self) -> MessageRefusedError:
        return MessageRefusedError(
            413, f"request body larger than {self.limits.max_body_bytes} bytes"
        )

    def _set_receive_bytes(self, body: bodyreading.BodyReader) -> None:
        """Sets how many bytes are read at once."""
        self._receive_bytes = _RECEIVE_BYTES
        if body.is_fragmented:
            self._receive_bytes = _SMALL_CHUNKS_RECEIVE_BYTES
        elif body.size < _RECEIVE_BYTES and not self._has_length:
            self._receive_bytes = _FIRST_RECEIVE_BYTES

    def _receive(self, deadline_s: float, held: bodybudget.HeldBody) -> bool:
        """Receives once; returns False if the caller is gone."""
        while True:
            left_s = deadline_s - clocks.boot_s()
            if left_s <= 0:
                raise _late_error()
            self.sock.settimeout(min(left_s, _REFUSAL_POLL_S))
            try:
                data = self.sock.recv(self._receive_bytes)
                break
            except TimeoutError:
                held.check()
            except OSError:
                return False
        self._http.receive_data(data)
        return bool(data)

    def release_body(self) -> None:
        """Gives the memory of the current request's body back."""
        self.request = None
        if self._body is not None:
            self._body.release()
            self._body = None

    def start_call(self, call) -> None:
        """Sets the call that the current request has become."""

    def announce_single_run(self) -> None:
        """Tells a peer, before a run, that the request may run only once."""

    def send_head(self, status: int, headers: messages.Headers) -> None:
        """Sends status and headers of the response."""
        fields = list(headers)
        if self.closes_after_response:
            fields.append((b"Connection", b"close"))
        else:
            limit_s = int(self.limits.idle_timeout_s)
            self._announced_idle_s = self.limits.idle_timeout_s
            fields.append((b"Keep-Alive", b"timeout=%d" % limit_s))
        data = self._http.send(
            h11.Response(status_code=status, headers=fields, reason=b"")
        )
        self._ends_with_connection = (
            self._http.their_http_version < b"1.1"
            and messages.find(fields, b"content-length") is None
        )
        self._record_head(status)
        self._write(data)

    def send_data(self, data: bytes) -> None:
        """Sends a piece of the response body."""
        if not self._is_head_request:
            self._send(h11.Data(data=data))

    def end(self) -> None:
        """Ends the response as complete."""
        self._send(h11.EndOfMessage())
        self._ends_with_connection = False

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
        data = self._http.send(
            h11.Response(status_code=status, headers=fields, reason=b"")
        )
        if body and not self._is_head_request:
            data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage())
        self._record_head(status)
        self._write(data)

    def answer_unexpected_error(self) -> None:
        """Answers the current request with status 500, if still possible.

        The response does not pass the parser, whose state the error may have
        damaged. The connection has to be closed afterwards.
        """
        if not self._is_response_due or self.has_sent_head:
            return
        lines = (
            b"HTTP/1.1 500 Internal Server Error",
            b"Content-Type: text/plain",
            b"Content-Length: %d" % len(_UNEXPECTED_ERROR),
            b"Connection: close",
            b"",
            b"" if self._is_head_request else _UNEXPECTED_ERROR,
        )
        self._record_head(500)
        self._write(b"\r\n".join(lines))

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
            # The timeout of sendall would bound the whole transfer.
            rest = memoryview(data)
            until_s = clocks.boot_s() + _MAX_SEND_S
            while rest:
                rest = rest[self.sock.send(rest) :]
                if rest and clocks.boot_s() > until_s:
                    raise TimeoutError(f"not read within {_MAX_SEND_S:.0f} s")
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
        self.release_body()
        self._is_response_due = False
        self._is_head_request = False
        self.has_sent_head = False
        return True

    def close(self, *, linger: bool = False) -> None:
        """Closes the connection; a second call has no effect.

        Unread bytes, such as a next request, would turn the close into a
        reset, and the caller could lose the response. They are read first. A
        response whose end is the connection's end is cut with a reset, so
        that it does not look complete.

        Args:
            linger: Whether to read what the caller still sends, although no
                unread bytes have arrived yet.
        """
        self.release_body()
        if self.sock.fileno() < 0:
            return
        try:
            if self._ends_with_connection:
                self.sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET
                )
            elif linger or self._has_unread_bytes():
                self.sock.shutdown(socket.SHUT_WR)
                # What was received and not parsed is not kept meanwhile.
                self._http = _new_parser(self.limits)
                self._discard_received()
        except OSError:
            pass
        finally:
            self.sock.close()

    def _has_unread_bytes(self) -> bool:
        poller = select.poll()
        poller.register(self.sock, select.POLLIN)
        return bool(poller.poll(0))

    def _discard_received(self) -> None:
        """Reads until the caller closes or pauses, for a limited time."""
        until_s = clocks.boot_s() + _MAX_LINGER_S
        left = _MAX_LINGER_BYTES
        self.sock.settimeout(_LINGER_S)
        while clocks.boot_s() < until_s and left > 0:
            count = len(self.sock.recv(_RECEIVE_BYTES))
            if not count:
                return
            left -= count
