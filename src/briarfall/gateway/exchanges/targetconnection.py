"""One request and its response on a connection to a target."""

import collections.abc
import select
import socket

from absl import logging
import h11

from briarfall import addresses
from briarfall import decoding
from briarfall import exceptions
from briarfall import responsesockets
from briarfall import statuslines
from briarfall.gateway import clocks
from briarfall.gateway.exchanges import dialing
from briarfall.gateway.exchanges import inputbounds
from briarfall.gateway.exchanges import matching
from briarfall.gateway.exchanges import messages
from briarfall.gateway.exchanges import outgoing

_RECEIVE_BYTES = 65_536
# States of the parser after the end of a response.
_ENDED_STATES = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
# A target in the same region accepts a connection within milliseconds.
CONNECT_TIMEOUT_S = 0.4
# Used if a target does not announce when it closes idle connections.
_DEFAULT_KEEP_ALIVE_S = 4.0
_MAX_KEEP_ALIVE_S = 3600.0
# Margin to the target's own idle timeout, so that a request does not cross the
# target's close on the way.
_KEEP_ALIVE_MARGIN_S = 1.0
_MAX_MISMATCHED_RESPONSES = 4
_MAX_INTERIM_RESPONSES = 20
# Longest body that is read into memory; catalogues are the largest.
_MAX_BODY_BYTES = 8 * 2**20
# Longest body of a refusal that is read; refusals are short.
_MAX_DRAINED_BYTES = 65_536
# A throttled process still reads what arrived before its deadline; this many
# reads after the deadline are enough for that.
_MAX_LATE_READS = 8
# Pieces of a response that are still read after the deadline; one read may hold
# thousands of small ones.
_MAX_LATE_PIECES = 256


# Called with the headers of an interim response.
InterimListener = collections.abc.Callable[[messages.Headers], None]


class CallerGoneError(exceptions.BriarfallError, ConnectionError):
    """The caller closed its connection."""

    code = "caller_gone"
    remedy = "none; the caller no longer waits"


class NotSentError(exceptions.TargetUnreachableError):
    """No byte of the request can have reached the target."""

    code = "not_sent"


class BrokenExchangeError(exceptions.TargetError):
    """The request was sent, but the response is missing or damaged.

    Attributes:
        saw_response: Whether a part of a response had arrived.
    """

    code = "exchange_broken"

    def __init__(self, message: str, *, saw_response: bool = False, **kwargs):
        super().__init__(message, **kwargs)
        self.saw_response = saw_response


class InvalidResponseError(BrokenExchangeError):
    """The target sent bytes that are no response to the request."""

    code = "invalid_response"

    def __init__(self, message: str, **kwargs):
        super().__init__(message, saw_response=True, **kwargs)


class ResponseTimeoutError(exceptions.DeadlineError):
    """The response did not arrive before its deadline."""

    code = "time_up"


class OtherConnectionReadyError(exceptions.BriarfallError):
    """Another connection of the same request can be read first.

    Attributes:
        conn: That connection.
    """

    code = "other_connection_ready"
    outcome = exceptions.Outcome.UNKNOWN

    def __init__(self, message: str, conn: "TargetConnection"):
        super().__init__(message)
        self.conn = conn


class CallerWatch:
    """Detects that a caller has closed its connection.

    Args:
        sock: The caller's socket.
    """

    def __init__(self, sock: socket.socket):
        self.sock = sock
        self._events = select.POLLIN | select.POLLRDHUP

    @property
    def events(self) -> int:
        """Events to poll for."""
        return self._events

    def check(self) -> None:
        """Raises CallerGoneError if the caller has left."""
        poller = select.poll()
        poller.register(self.sock, select.POLLIN | select.POLLRDHUP)
        ready = dict(poller.poll(0)).get(self.sock.fileno(), 0)
        # A close counts even if bytes of a next request precede it.
        if ready & ~select.POLLIN:
            raise CallerGoneError("the caller closed its connection")
        if ready:
            # The next request has arrived already, so that the socket stays
            # readable; poll only for a close from now on.
            self._events = select.POLLRDHUP

    def pause(self, seconds: float) -> None:
        """Waits, and raises CallerGoneError if the caller disconnects.

        The wait ends early if the caller sends its next request.
        """
        poller = select.poll()
        poller.register(self.sock, self._events)
        if poller.poll(seconds * 1000):
            self.check()


def keep_alive_s(headers: messages.Headers) -> float:
    """Returns how long a target keeps an idle connection, in seconds."""
    value = messages.find(headers, b"keep-alive")
    if value is None:
        return _DEFAULT_KEEP_ALIVE_S
    for parameter in value.split(b","):
        name, _, number = parameter.strip().partition(b"=")
        if name.strip().lower() != b"timeout":
            continue
        timeout_s = decoding.parse_number(number) or 0.0
        return min(_MAX_KEEP_ALIVE_S, max(0.0, timeout_s))
    return _DEFAULT_KEEP_ALIVE_S


class TargetConnection:
    """A connection to one target; one thread uses it at a time.

    Args:
        address: IP address and port of the target.
        timeout_s: Bound on opening the connection.
        dialer: Opens the connection.
    """

    def __init__(
        self,
        address: str,
        timeout_s: float,
        dialer: dialing.Dialer = dialing.SYSTEM_DIALER,
    ):
        endpoint = addresses.parse(address, "connection", NotSentError)
        self.address = address
        self.is_fresh = True
        self.idle_since_s = 0.0
        self.idle_limit_s = _DEFAULT_KEEP_ALIVE_S
        self.history = matching.ExchangeHistory()
        self._http = h11.Connection(h11.CLIENT)
        # Event that `has_event` has found.
        self._found = None
        self._poller: select.poll | None = None
        self._watch: CallerWatch | None = None
        self._others: list[TargetConnection] = []
        self._heeds_ends = False
        self._saw_bytes = False
        self._late_reads = 0
        self._late_pieces = 0
        self._is_closed = False
        self._ends_answer = False
        self._interim_responses = 0
        self._on_interim: InterimListener | None = None
        if timeout_s <= 0:
            raise NotSentError(f"{address}: no time left to connect")
        try:
            sock = dialer.connect(endpoint, timeout_s)
        except OSError as exc:
            raise NotSentError(f"{address}: cannot connect: {exc}") from exc
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(None)
        # A send or a peek may receive the error that a later read would miss.
        self.sock = responsesockets.adopt(sock)
        self._outgoing = outgoing.OutgoingBytes(self.sock)

    @property
    def idle_s(self) -> float:
        """Seconds since its last response was finished."""
        return clocks.boot_s() - self.idle_since_s

    @property
    def is_expired(self) -> bool:
        """Whether its target may close it as idle at any moment."""
        return self.idle_s > self.idle_limit_s - _KEEP_ALIVE_MARGIN_S

    def is_usable(self, max_idle_s: float) -> bool:
        """Whether an idle connection may carry another request."""
        if self.is_expired or self.idle_s > max_idle_s:
            return False
        poller = select.poll()
        poller.register(self.sock, select.POLLIN | select.POLLRDHUP)
        return not poller.poll(0)

    @property
    def is_open(self) -> bool:
        """Whether neither side has closed or reset it; for any thread."""
        poller = select.poll()
        try:
            poller.register(self.sock, select.POLLRDHUP)
        except ValueError:
            # It has no descriptor any more.
            return False
        return not poller.poll(0)

    @property
    def was_cut(self) -> bool:
        """Whether the target ended it amid a response."""
        if not self._saw_bytes or self.has_whole_response:
            return False
        return not self.is_open

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: messages.Headers,
        body: bytes,
        deadline_s: float | None = None,
    ) -> None:
        """Sends a complete request.

        Without a deadline it does not wait: the rest is sent while a response
        is awaited, which `watch` has to follow. A failure then shows where the
        response is read, since a target may have answered before it closed.

        Args:
            method: HTTP method.
            target: Path and query.
            headers: All headers.
            body: Body, which may be empty.
            deadline_s: Time on the boot clock until which to wait for the
                target to read, or None.

        Raises:
            BrokenExchangeError: Sending failed; a part may have been sent.
        """
        data = self._encode(method, target, headers, body)
        if deadline_s is None:
            self._outgoing.put(data)
            return
        left_s = max(0.001, deadline_s - clocks.boot_s())
        self.sock.settimeout(left_s)
        try:
            self.sock.sendall(data)
        except OSError as exc:
            raise BrokenExchangeError(f"{self.address}: send: {exc}") from exc
        finally:
            self.sock.settimeout(None)

    def _encode(
        self,
        method: bytes,
        target: bytes,
        headers: messages.Headers,
        body: bytes,
    ) -> bytes:
        pieces = self._http.send_with_data_passthrough(
            h11.Request(method=method, target=target, headers=headers)
        )
        if body:
            pieces += self._http.send_with_data_passthrough(h11.Data(data=body))
        pieces += self._http.send_with_data_passthrough(h11.EndOfMessage())
        # Long bodies are copied only once.
        return b"".join(pieces)

    @property
    def last_sent_s(self) -> float:
        """Time on the boot clock of the last progress of a waitless `send`."""
        return self._outgoing.last_sent_s

    @property
    def has_data(self) -> bool:
        """Whether bytes have arrived that were not read yet."""
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return bool(self.sock.recv(1, flags))
        except OSError:
            return False

    def watch(
        self,
        watch: CallerWatch | None,
        others: "collections.abc.Sequence[TargetConnection]" = (),
        *,
        heeds_ends: bool = False,
    ) -> None:
        """Sets what else ends a wait for bytes.

        Args:
            watch: The caller, whose disconnection ends the exchange.
            others: Other connections of the same request. A wait ends if data
                can be read from one of them.
            heeds_ends: Whether a wait also ends if another connection has
                ended an answer without a length. Only for a caller that keeps
                this exchange, since a crash ends an answer in the same way.
        """
        self._watch = watch
        self._others = list(others)
        self._heeds_ends = heeds_ends
        self._poller = select.poll()
        self._poller.register(self.sock, self._poll_events)
        if watch is not None:
            self._poller.register(watch.sock, watch.events)
        for other in others:
            self._poller.register(other.sock, other._poll_events)

    def set_interim_listener(self, listener: InterimListener) -> None:
        """Calls `listener` for each interim response to the current request."""
        self._on_interim = listener

    @property
    def _poll_events(self) -> int:
        if self._outgoing.is_pending:
            return select.POLLIN | select.POLLOUT
        return select.POLLIN

    def _is_readable(self, conn: "TargetConnection", events: int) -> bool:
        """Sends more on a connection that was polled; whether it has bytes."""
        if events & select.POLLOUT:
            conn._outgoing.push()
            self._poller.modify(conn.sock, conn._poll_events)
        return bool(events & ~select.POLLOUT)

    def wait(self, until_s: float) -> bool:
        """Waits for bytes of the target until a time on the boot clock.

        What is still to be sent, also on the other connections, is sent
        meanwhile.

        Returns:
            Whether there are bytes to read.

        Raises:
            CallerGoneError: The caller has left.
            OtherConnectionReadyError: Another connection can be read.
        """
        while True:
            # Poll once even after the deadline: a throttled process may find
            # that bytes have arrived in the meantime.
            left_s = max(0.0, until_s - clocks.boot_s())
            ready = dict(self._poller.poll(left_s * 1000))
            if not ready and clocks.boot_s() >= until_s:
                return False
            watch = self._watch
            if watch is not None and watch.sock.fileno() in ready:
                watch.check()
                self._poller.modify(watch.sock, watch.events)
            if self._is_readable(self, ready.get(self.sock.fileno(), 0)):
                return True
            for other in list(self._others):
                if self._is_readable(other, ready.get(other.sock.fileno(), 0)):
                    self._check_other(other)

    def _check_other(self, other: "TargetConnection") -> None:
        """Raises if another connection has data, or has ended its answer.

        Other ends are ignored.
        """
        if other.has_data or (self._heeds_ends and other._ends_answer):
            raise OtherConnectionReadyError(
                f"{other.address}: can be read before {self.address}", other
            )
        self._others.remove(other)
        self._poller.unregister(other.sock)

    def receive(self) -> None:
        """Reads once from the socket into the parser."""
        try:
            data = self.sock.recv(_RECEIVE_BYTES)
        except OSError as exc:
            raise self._broken_error(f"receive: {exc}") from exc
        if data:
            self._saw_bytes = True
        elif not self._saw_bytes:
            raise self._broken_error("closed without a response")
        self._is_closed = not data
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as exc:
            raise self._broken_error(f"closed: {exc}") from exc

    def has_event(self) -> bool:
        """Whether the parser has a further event without more data.

        Raises:
            BrokenExchangeError: The response is damaged.
        """
        if self._found is None:
            self._found = self._parse_event()
        return self._found is not None

    def next_event(self):
        """Returns the parser's next event, or None if it needs data."""
        event, self._found = self._found, None
        return event or self._parse_event()

    def _parse_event(self):
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as exc:
            if self._is_closed:
                raise self._broken_error(f"bad response: {exc}") from exc
            raise self._invalid_error(f"bad response: {exc}") from exc
        if event is h11.NEED_DATA:
            return None
        if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
            raise self._broken_error("the response ended early")
        return event

    def _broken_error(self, text: str) -> BrokenExchangeError:
        return BrokenExchangeError(
            f"{self.address}: {text}", saw_response=self._saw_bytes
        )

    def _invalid_error(self, text: str) -> InvalidResponseError:
        return InvalidResponseError(f"{self.address}: {text}")

    def read_event(self, deadline_s: float):
        """Returns the parser's next event; waits for bytes if it needs any.

        Raises:
            ResponseTimeoutError: The deadline has passed.
            BrokenExchangeError: The response is damaged or missing.
            CallerGoneError: The caller has left.
        """
        while True:
            event = self.next_event()
            if event is not None:
                self.check_late_piece(deadline_s)
                return event
            if not self.wait(deadline_s):
                raise ResponseTimeoutError(
                    f"{self.address}: no response in time"
                )
            self.check_deadline(deadline_s)
            self.receive()

    def check_deadline(self, deadline_s: float) -> None:
        """Ends an exchange whose target keeps sending after the deadline.

        Raises:
            ResponseTimeoutError: Too many reads followed the deadline.
        """
        if clocks.boot_s() <= deadline_s:
            return
        self._late_reads += 1
        if self._late_reads > _MAX_LATE_READS:
            raise ResponseTimeoutError(
                f"{self.address}: no end of the response in time"
            )

    def check_late_piece(self, deadline_s: float) -> None:
        """Ends an exchange that has many pieces left after the deadline.

        Raises:
            ResponseTimeoutError: Too many pieces followed the deadline.
        """
        if clocks.boot_s() <= deadline_s:
            return
        self._late_pieces += 1
        if self._late_pieces > _MAX_LATE_PIECES:
            raise ResponseTimeoutError(
                f"{self.address}: no end of the response in time"
            )

    def read_head(self, deadline_s: float) -> messages.ResponseHead:
        """Returns the head of the response to the request that was sent.

        Responses to earlier requests are skipped.

        Raises:
            BrokenExchangeError: It can't be told which request a response
                answers.
        """
        for _ in range(_MAX_MISMATCHED_RESPONSES):
            head = self._read_next_head(deadline_s)
            match = self.history.match(head)
            if match is matching.Match.OWN:
                self._ends_answer = head.ends_with_connection
                return head
            if match is matching.Match.UNKNOWN:
                raise self._broken_error(
                    f"response with status {head.status} but no request id on "
                    "a reused connection; it may answer an earlier request"
                )
            self._skip_mismatched_body(deadline_s)
        raise self._broken_error("responses of other requests")

    def _read_next_head(self, deadline_s: float) -> messages.ResponseHead:
        while True:
            event = self._read_head_event(deadline_s)
            if not isinstance(event, (h11.InformationalResponse, h11.Response)):
                raise self._broken_error("no response head")
            try:
                statuslines.check(event.http_version, event.status_code)
            except exceptions.InvalidStatusError as exc:
                raise self._invalid_error(exc.message) from exc
            if isinstance(event, h11.Response):
                headers = list(event.headers.raw_items())
                return messages.ResponseHead(
                    event.status_code, event.reason, headers
                )
            self._interim_responses += 1
            if self._interim_responses > _MAX_INTERIM_RESPONSES:
                raise self._invalid_error("interim responses without end")
            if self._on_interim is not None:
                self._on_interim(list(event.headers.raw_items()))

    def _read_head_event(self, deadline_s: float):
        """Returns the next event; an interim response may not be the last."""
        try:
            return self.read_event(deadline_s)
        except BrokenExchangeError as exc:
            if not self._interim_responses or not self._is_closed:
                raise
            raise self._invalid_error(
                f"closed after {self._interim_responses} interim responses"
            ) from exc

    def _skip_mismatched_body(self, deadline_s: float) -> None:
        """Skips the body of a response that belongs to another request."""
        skipped = inputbounds.IdleInput()
        while True:
            event = self.read_event(deadline_s)
            if isinstance(event, h11.EndOfMessage):
                break
            skipped.add(len(event.data))
            if skipped.is_exceeded:
                raise self._invalid_error("another request's response, no end")
        rest, is_closed = self._http.trailing_data
        if is_closed or self._http.their_state is not h11.DONE:
            raise self._broken_error("closed after another request's response")
        # h11 now regards our request as answered. A new parser that is brought
        # to the same state accepts the next response.
        self._interim_responses = 0
        self._http = h11.Connection(h11.CLIENT)
        self._http.send(
            h11.Request(method=b"GET", target=b"/", headers=[(b"Host", b"-")])
        )
        self._http.send(h11.EndOfMessage())
        if rest:
            self._http.receive_data(rest)

    def read_body(
        self, deadline_s: float, max_bytes: int = _MAX_BODY_BYTES
    ) -> bytes:
        """Returns the complete body after a response head.

        Args:
            deadline_s: Time on the boot clock.
            max_bytes: Length above which the body is treated as endless.

        Raises:
            BrokenExchangeError: It is too long, damaged or incomplete.
        """
        body = bytearray()
        pieces = 0
        while True:
            event = self.read_event(deadline_s)
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            body += event.data
            pieces += 1
            if len(body) > max_bytes:
                raise self._broken_error("a body without end")
            if inputbounds.is_fragmented(len(body), pieces):
                raise self._invalid_error("a body in small pieces, no end")

    @property
    def has_whole_response(self) -> bool:
        """Whether the response was read to its end."""
        return self._http.their_state in _ENDED_STATES

    def drain(self, deadline_s: float) -> None:
        """Reads and discards the rest of a response, if it arrives in time.

        Raises:
            CallerGoneError: The caller has left.
        """
        try:
            self.read_body(deadline_s, _MAX_DRAINED_BYTES)
        except (BrokenExchangeError, ResponseTimeoutError) as exc:
            logging.debug("response not read completely: %s", exc)

    def prepare_for_reuse(self, head: messages.ResponseHead) -> bool:
        """Prepares the connection for reuse; returns whether it is reusable."""
        if self._http.their_state is not h11.DONE:
            return False
        if self._http.our_state is not h11.DONE:
            return False
        if not self._outgoing.is_complete:
            return False
        rest, is_closed = self._http.trailing_data
        if rest or is_closed or not self.history.is_reusable:
            return False
        self._http.start_next_cycle()
        self.idle_limit_s = keep_alive_s(head.headers)
        self.idle_since_s = clocks.boot_s()
        self.is_fresh = False
        self._saw_bytes = False
        self._late_reads = 0
        self._late_pieces = 0
        self._interim_responses = 0
        self._on_interim = None
        return True

    def close(self) -> None:
        """Closes the connection; most targets then abort the request."""
        try:
            self.sock.close()
        except OSError:
            pass
