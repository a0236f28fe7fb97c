"""What differs between relayed plain requests and relayed streams."""

import abc
import collections.abc

import h11

from briarfall import ids
from briarfall.gateway.calls import calls
from briarfall.gateway.exchanges import events
from briarfall.gateway.exchanges import headernames
from briarfall.gateway.exchanges import messages
from briarfall.gateway.exchanges import targetconnection
from briarfall.gateway.forwarding import plainexchanges
from briarfall.gateway.forwarding import plainresponses
from briarfall.gateway.forwarding import streamresponses
from briarfall.gateway.forwarding import streamstate

# Longest body of an error response to a stream that is passed on.
_MAX_ERROR_BODY_BYTES = 2**20
# Begin of the name that stands for a head whose name is unknown.
_UNNAMED_HEAD = "unnamed head "


Reader = plainresponses.BodyReader | events.EventSplitter
Follow = collections.abc.Callable[[targetconnection.TargetConnection], bool]


class Exchange(abc.ABC):
    """A request that is relayed, over all peers that are asked.

    Attributes:
        call: The request.
    """

    call: calls.Call

    @property
    @abc.abstractmethod
    def used_runs(self) -> int:
        """Runs that count towards the bound of the route."""

    @property
    def max_runs(self) -> int:
        """Greatest value of `used_runs` that the next peer may cause.

        One run is kept for another peer, if more than one is left.
        """
        if not self.call.may_repeat:
            # A peer of an earlier release knows no other bound.
            return self.used_runs + 1
        left = max(0, self.call.max_runs - self.used_runs)
        return self.used_runs + max(min(left, 1), left - 1)

    @property
    def suspended_connections(
        self,
    ) -> list[targetconnection.TargetConnection]:
        """Connections on which the request may still go on."""
        return []

    @property
    def heads(self) -> list[ids.TargetId]:
        """Engines that ran the request as heads and may still live."""
        return []

    def headers(self, names: headernames.HeaderNames) -> messages.Headers:
        """Returns the headers that a peer gets in place of the caller's."""
        return []

    @abc.abstractmethod
    def start_reading(
        self,
        conn: targetconnection.TargetConnection,
        head: messages.ResponseHead,
    ) -> Reader:
        """Returns what keeps a response from a peer that is partly read.

        Args:
            conn: Connection to the peer.
            head: Head of the response, with the headers for the caller.
        """

    @abc.abstractmethod
    def receive(
        self,
        conn: targetconnection.TargetConnection,
        head: messages.ResponseHead,
        reader: Reader,
        on_answer: collections.abc.Callable[[], None],
    ) -> None:
        """Reads a target's response from a peer, and passes it on.

        Args:
            conn: Connection to the peer.
            head: Head of the response, with the headers for the caller.
            reader: Keeps what was read if the exchange is suspended.
            on_answer: Called when a complete response has arrived, or a part
                that the caller gets, such as the first event of a stream; no
                other peer is needed from then on.
        """

    @abc.abstractmethod
    def follow_own(
        self,
        conn: targetconnection.TargetConnection,
        peers: plainexchanges.PeerExchanges,
    ) -> bool:
        """Follows a suspended exchange of this instance that can be read.

        Args:
            conn: Its connection.
            peers: Exchanges with peers, which end once it is answered.

        Returns:
            Whether the caller has a response. If not, the exchange failed, or
            that with a peer can be read.

        Raises:
            BriarfallError: The request can't be answered any more.
        """

    @abc.abstractmethod
    def finish(self) -> None:
        """Sends what the caller still lacks of the response."""

    @property
    def may_resume(self) -> bool:
        """Whether a response that has begun can be continued elsewhere."""
        return False

    def record_runs(self, count: int) -> None:
        """Counts runs whose outcome is unknown."""
        self.call.possible_runs += count
        self.call.has_unknown_outcome = True

    def release_runs(self, count: int) -> None:
        """Takes back runs that were counted and did not take place."""
        self.call.possible_runs -= count


class PlainExchange(Exchange):
    """A request to a plain service.

    Args:
        sends: The request, with its exchanges that are still open.
        follow: Follows one of them; returns as `follow_own` does.
    """

    def __init__(self, sends: plainexchanges.CallSends, follow: Follow):
        self.call = sends.call
        self._follow = follow
        self._sends = sends
        self._head: messages.ResponseHead | None = None
        self._body: plainresponses.Body | None = None

    @property
    def suspended_connections(
        self,
    ) -> list[targetconnection.TargetConnection]:
        """Connections to targets that may still answer."""
        return self._sends.connections

    @property
    def used_runs(self) -> int:
        """Runs that count towards the bound of the route."""
        return self.call.possible_runs

    def start_reading(
        self,
        conn: targetconnection.TargetConnection,
        head: messages.ResponseHead,
    ) -> Reader:
        """Returns the reader of the body."""
        return plainresponses.BodyReader(conn, head)

    def receive(
        self,
        conn: targetconnection.TargetConnection,
        head: messages.ResponseHead,
        reader: Reader,
        on_answer: collections.abc.Callable[[], None],
    ) -> None:
        """Reads a response; passes a long one on directly."""
        self._head = head

        def commit():
            conn.watch(self.call.watch)
            on_answer()
            self._sends.close()

        self._body = reader.read(self.call, commit)
        commit()

    def follow_own(
        self,
        conn: targetconnection.TargetConnection,
        peers: plainexchanges.PeerExchanges,
    ) -> bool:
        """Follows the exchange with a target that can be read."""
        self._sends.peers = peers
        try:
            return self._follow(conn)
        finally:
            self._sends.peers = None

    def finish(self) -> None:
        """Sends the response, or the end of a long one."""
        self._body.pass_on(self.call, self._head)


class StreamExchange(Exchange):
    """A stream, or the rest of one that has begun elsewhere.

    Args:
        stream: The stream.
        on_start: Called when the first event comes from a peer.
        follow: Follows a suspended run; returns as `follow_own` does.
    """

    def __init__(
        self,
        stream: streamstate.Stream,
        on_start: collections.abc.Callable[[], None],
        follow: Follow,
    ):
        self.call = stream.call
        self._stream = stream
        self._on_start = on_start
        self._follow = follow

    @property
    def suspended_connections(
        self,
    ) -> list[targetconnection.TargetConnection]:
        """Connections of the stream's suspended runs."""
        return self._stream.suspended_connections

    @property
    def used_runs(self) -> int:
        """Heads that count towards the bound of the route."""
        return len(self._stream.heads)

    @property
    def may_resume(self) -> bool:
        """Whether a response that has begun can be continued elsewhere."""
        return True

    @property
    def heads(self) -> list[ids.TargetId]:
        """Engines that ran the stream as heads and may still live."""
        return sorted(self._stream.heads)

    def headers(self, names: headernames.HeaderNames) -> messages.Headers:
        """Returns the id of the last event that the caller has."""
        last_id = self._stream.sequence.last_id
        if last_id is None:
            return []
        return [(names.last_event, str(last_id).encode())]

    def start_reading(
        self,
        conn: targetconnection.TargetConnection,
        head: messages.ResponseHead,
    ) -> Reader:
        """Returns the splitter of the events."""
        return events.EventSplitter()

    def receive(
        self,
        conn: targetconnection.TargetConnection,
        head: messages.ResponseHead,
        reader: Reader,
        on_answer: collections.abc.Callable[[], None],
    ) -> None:
        """Passes events on as they arrive, or a complete error response."""
        if not head.is_success:
            # What was read of it is not kept.
            conn.watch(self.call.watch)
            self._pass_on_error(conn, head)
            return
        is_resumed = self._stream.response_started
        streamresponses.check_head(conn.address, head, is_resumed=is_resumed)
        has_answered = False
        while True:
            event = conn.read_event(self.call.deadline_s)
            if isinstance(event, h11.EndOfMessage):
                break
            accepted = streamresponses.accept_events(
                conn.address,
                reader,
                self._stream.sequence,
                bytes(event.data),
                is_resumed=is_resumed,
            )
            if not accepted.data:
                continue
            if not has_answered:
                has_answered = True
                conn.watch(self.call.watch)
                on_answer()
                self._on_start()
            self._stream.start_response(head)
            self.call.conn.send_data(accepted.data)
        if reader.incomplete_event:
            raise targetconnection.BrokenExchangeError(
                f"{conn.address}: ended inside an event", saw_response=True
            )
        self._stream.start_response(head)

    def follow_own(
        self,
        conn: targetconnection.TargetConnection,
        peers: plainexchanges.PeerExchanges,
    ) -> bool:
        """Follows the run that can be read."""
        self._stream.peers = peers
        try:
            return self._follow(conn)
        finally:
            self._stream.peers = None

    def finish(self) -> None:
        """Ends the stream as complete."""
        if self._stream.response_started:
            self.call.conn.end()

    def record_runs(self, count: int) -> None:
        """Counts runs on heads whose names the peer did not tell."""
        super().record_runs(count)
        for _ in range(count):
            self._stream.heads.add(self._free_name())

    def release_runs(self, count: int) -> None:
        """Takes back heads whose names the peer did not tell."""
        super().release_runs(count)
        for head in self.heads:
            if count and head.startswith(_UNNAMED_HEAD):
                self._stream.heads.remove(head)
                count -= 1

    def _free_name(self) -> ids.TargetId:
        number = 0
        while True:
            name = ids.TargetId(f"{_UNNAMED_HEAD}{number}")
            if name not in self._stream.heads:
                return name
            number += 1

    def _pass_on_error(
        self,
        conn: targetconnection.TargetConnection,
        head: messages.ResponseHead,
    ) -> None:
        body = conn.read_body(self.call.deadline_s, _MAX_ERROR_BODY_BYTES)
        if self._stream.response_started:
            raise targetconnection.BrokenExchangeError(
                f"{conn.address}: resumed with status {head.status}",
                saw_response=True,
            )
        self.call.conn.answer(head.status, head.headers, body)
