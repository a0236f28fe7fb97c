"""The connection to one caller."""

import select
import socket

import h11

from briarfall.gateway import clocks
from briarfall.gateway import exchange
from briarfall.gateway import messages
from briarfall.gateway import views

_RECEIVE_BYTES = 65_536
# A caller that does not read for this long is given up.
_SEND_TIMEOUT_S = 10.0
_LINGER_S = 0.5


class MessageRefusedError(Exception):
    """The caller's bytes are no acceptable request.

    Attributes:
        status: HTTP status of the answer.
    """

    def __init__(self, status: int, text: str):
        super().__init__(text)
        self.status = status


class CallerConnection:
    """Reads requests of one caller and writes the answers.

    Args:
        sock: The accepted socket.
        limits: What the caller may send.
    """

    def __init__(self, sock: socket.socket, limits: views.CallerLimits):
        self.sock = sock
        self.limits = limits
        self.closes = False
        self.has_answered = False
        self.head_sent_s = 0.0
        # Status of the newest answer.
        self.status = 0
        # Answers to HEAD have the headers of a body, and none.
        self._is_head = False
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def wait_readable(self, timeout_s: float) -> bool:
        """Whether bytes of the next request arrive in time."""
        if self._http.trailing_data[0]:
            return True
        poller = select.poll()
        poller.register(self.sock, select.POLLIN)
        return bool(poller.poll(timeout_s * 1000))

    def read_request(self) -> messages.CallerRequest | None:
        """Returns the next request whole, or None if the caller left.

        Raises:
            MessageRefusedError: The request is malformed, too large or slow.
        """
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
                self._is_head = event.method == b"HEAD"
                # The body may take as long as the caller may stay idle.
                deadline_s = clocks.boot_s() + self.limits.idle_timeout_s
                if self._http.they_are_waiting_for_100_continue:
                    self._send(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
                continue
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > self.limits.max_body_bytes:
                    raise MessageRefusedError(413, "the body is too large")
                chunks.append(bytes(event.data))
                continue
            if isinstance(event, h11.EndOfMessage) and head is not None:
                break
            return None
        return messages.CallerRequest(
            method=head.method,
            target=head.target,
            headers=list(head.headers.raw_items()),
            body=b"".join(chunks),
            received_s=received_s,
        )

    def _receive(self, deadline_s: float, has_head: bool) -> bool:
        left_s = deadline_s - clocks.boot_s()
        if left_s <= 0:
            raise MessageRefusedError(408, "the request came too slowly")
        self.sock.settimeout(left_s)
        try:
            data = self.sock.recv(_RECEIVE_BYTES)
        except TimeoutError as exc:
            raise MessageRefusedError(
                408, "the request came too slowly"
            ) from exc
        except OSError:
            return False
        self._http.receive_data(data)
        return bool(data)

    def send_head(self, status: int, headers: messages.Headers) -> None:
        """Sends the head of the answer."""
        fields = list(headers)
        if self.closes:
            fields.append((b"Connection", b"close"))
        else:
            limit_s = int(self.limits.idle_timeout_s)
            fields.append((b"Keep-Alive", b"timeout=%d" % limit_s))
        self._note_head(status)
        self._send(h11.Response(status_code=status, headers=fields, reason=b""))

    def send_data(self, data: bytes) -> None:
        """Sends a part of the body."""
        if not self._is_head:
            self._send(h11.Data(data=data))

    def end(self) -> None:
        """Ends the answer as complete."""
        self._send(h11.EndOfMessage())

    def answer(
        self, status: int, headers: messages.Headers, body: bytes
    ) -> None:
        """Sends a whole answer with one write."""
        fields = []
        for key, value in headers:
            if self._is_head or key.lower() != b"content-length":
                fields.append((key, value))
        if status not in (204, 304) and not self._is_head:
            fields.append((b"Content-Length", str(len(body)).encode()))
        if self.closes:
            fields.append((b"Connection", b"close"))
        self._note_head(status)
        data = self._http.send(
            h11.Response(status_code=status, headers=fields, reason=b"")
        )
        if body and not self._is_head:
            data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage())
        self._write(data)

    def _note_head(self, status: int) -> None:
        self.has_answered = True
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
            raise exchange.CallerGoneError(f"answer not taken: {exc}") from exc

    def start_next(self) -> bool:
        """Whether the connection can take another request."""
        if self.closes:
            return False
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        self.has_answered = False
        return True

    def close(self, *, linger: bool = False) -> None:
        """Closes the connection.

        Args:
            linger: Read what the caller still sends, so that unread bytes
                do not turn the close into a reset that destroys the answer.
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
