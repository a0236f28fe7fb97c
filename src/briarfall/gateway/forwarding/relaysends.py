"""The exchanges of a relayed request with peers; several may be open.

A peer whose status is missing may still answer while its connection is open.
Its exchange is suspended, and ends only once another peer has answered.
"""

import select

from absl import logging

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway import metrics
from briarfall.gateway.calls import relaymessages
from briarfall.gateway.exchanges import connections
from briarfall.gateway.exchanges import messages
from briarfall.gateway.exchanges import targetconnection
from briarfall.gateway.forwarding import plainexchanges
from briarfall.gateway.forwarding import relayexchanges
from briarfall.gateway.peers import peers
from briarfall.gateway.peers import relaypeers

_MAX_PEERS = 3
# Time after which no further peer is asked for the same request.
_SEARCH_S = 1.0


class PeerMissingError(exceptions.PeerError):
    """A peer sends no status, and another one can take the request."""

    code = "peer_missing"


class RelaySend:
    """A request at one peer, until whose end it counts as the peer's load.

    Args:
        peer: The peer.
        state: What the peer is told about the request.
        conn: Connection on which the request may be sent.
        choice: Counts the requests at each peer, this one included.
        pool: Connections to peers.
        counters: Metrics.

    Attributes:
        peer: The peer.
        state: What the peer is told about the request.
        conn: The connection.
        is_sent: Whether the request was sent.
        head: Head of the response, or None if it has not arrived.
        reader: Keeps what was read of a target's response, or None while no
            head of one has arrived.
        counted_runs: Runs of it that count towards the bound of the route.
        outcome: How it ended, for the metrics.
    """

    def __init__(
        self,
        peer: peers.Peer,
        state: relaymessages.RelayedRequest,
        conn: targetconnection.TargetConnection,
        choice: relaypeers.RelayPeers,
        pool: connections.ConnectionPool,
        counters: metrics.Metrics,
    ):
        self.peer = peer
        self.state = state
        self.conn = conn
        self.is_sent = False
        self.head: messages.ResponseHead | None = None
        self.reader: relayexchanges.Reader | None = None
        self.counted_runs = 0
        self.outcome = "answered"
        self._choice = choice
        self._pool = pool
        self._metrics = counters

    @property
    def max_runs(self) -> int:
        """Number of runs that the peer may have caused."""
        return self.state.max_runs - self.state.runs

    def start_reading(self, exchange: relayexchanges.Exchange) -> None:
        """Begins with the body of a target's response."""
        self.head.headers = messages.end_to_end(self.head.headers)
        self.reader = exchange.start_reading(self.conn, self.head)

    def read(self, sends: "RelaySends") -> None:
        """Reads the body of a target's response, and passes it on.

        Raises:
            OtherConnectionReadyError: Another exchange can be read.
            BriarfallError: The response is missing or damaged.
        """
        exchange = sends.exchange
        exchange.call.relayed_to = self.peer.id
        self.conn.watch(exchange.call.watch, sends.other_connections)
        exchange.receive(self.conn, self.head, self.reader, sends.close)

    def end(self) -> None:
        """Ends it; its connection is reused if the response is complete."""
        self._choice.end(self.peer)
        self._pool.return_to_pool(self.conn, self.head)
        self._metrics.count("briarfall_relays", self.outcome)


class RelaySends(plainexchanges.PeerExchanges):
    """A relayed request, and the peers at which it is still open.

    Args:
        exchange: The request.

    Attributes:
        exchange: The request.
        asked: Peers that were asked.
        missing_s: Time on the boot clock since which the peer is missing that
            was suspended last, or 0.
    """

    def __init__(self, exchange: relayexchanges.Exchange):
        self.exchange = exchange
        self.asked: set[ids.InstanceId] = set()
        self.missing_s = 0.0
        self._until_s = clocks.boot_s() + _SEARCH_S
        self._suspended: list[RelaySend] = []

    @property
    def has_suspended(self) -> bool:
        """Whether a peer whose status is missing may still answer."""
        return bool(self._suspended)

    @property
    def connections(self) -> list[targetconnection.TargetConnection]:
        """Connections to these peers."""
        return [send.conn for send in self._suspended]

    @property
    def other_connections(self) -> list[targetconnection.TargetConnection]:
        """All other connections on which the request may still go on."""
        return [*self.connections, *self.exchange.suspended_connections]

    def is_suspended(self, send: RelaySend) -> bool:
        """Whether an exchange is suspended."""
        return send in self._suspended

    @property
    def may_ask(self) -> bool:
        """Whether a further peer may be asked."""
        call = self.exchange.call
        if len(self.asked) >= _MAX_PEERS or clocks.boot_s() >= self._until_s:
            return False
        if any(send.reader is not None for send in self._suspended):
            # A target's response is on its way.
            return False
        if self.has_suspended and self.exchange.used_runs >= call.max_runs:
            return False
        return call.left_s > 0

    @property
    def heard_after_s(self) -> float:
        """Time on the boot clock after which the next peer must be heard."""
        return self.missing_s if self.has_suspended else 0.0

    def may_ask_beside(self, send: RelaySend) -> bool:
        """Whether another peer may run a request that a peer may run."""
        call = self.exchange.call
        if not call.may_repeat or len(self.asked) >= _MAX_PEERS:
            return False
        # All runs that the peer may have caused count.
        uncounted = send.max_runs - send.counted_runs
        return self.exchange.used_runs + uncounted < call.max_runs

    def count_runs(self, send: RelaySend, count: int) -> None:
        """Sets the number of runs that a peer may have caused.

        The search for another peer starts again if there are more than before.
        """
        call = self.exchange.call
        more = count - send.counted_runs
        self.exchange.record_runs(max(0, more))
        self.exchange.release_runs(max(0, -more))
        send.counted_runs = count
        sends = send.state.sends + count
        call.attempt_count = max(call.attempt_count, sends)
        if more > 0:
            self._until_s = clocks.boot_s() + _SEARCH_S

    def record_refusal(self, send: RelaySend) -> None:
        """Takes back the runs of a peer that has caused none."""
        self.exchange.call.record_not_run()
        self.exchange.release_runs(send.counted_runs)
        send.counted_runs = 0

    def suspend(self, send: RelaySend) -> None:
        """Keeps an exchange open while other peers are asked."""
        self.count_runs(send, send.max_runs)
        self._until_s = clocks.boot_s() + _SEARCH_S
        self._suspended.append(send)

    def has_readable(self) -> bool:
        """Whether a suspended exchange can be read.

        Raises:
            CallerGoneError: The caller has left.
        """
        if not self._suspended:
            return False
        self.exchange.call.watch.pause(0.0)
        return any(_is_readable(send) for send in self._suspended)

    def resume(self) -> RelaySend | None:
        """Returns a suspended exchange, which is the current one again.

        It is the first that can be read, or else the oldest; None if none is
        suspended.
        """
        if not self._suspended:
            return None
        index = 0
        for position, send in enumerate(self._suspended):
            if _is_readable(send):
                index = position
                break
        send = self._suspended.pop(index)
        send.outcome = "answered"
        logging.info(
            "waiting for a suspended peer request=%s peer=%s suspended=%d "
            "left_s=%.1f",
            self.exchange.call.request_id,
            send.peer.id,
            len(self._suspended),
            self.exchange.call.left_s,
        )
        return send

    def close(self) -> None:
        """Ends all suspended exchanges; the peers then end their runs."""
        while self._suspended:
            send = self._suspended.pop()
            send.outcome = "overtaken"
            send.end()


def _is_readable(send: RelaySend) -> bool:
    poller = select.poll()
    poller.register(send.conn.sock, select.POLLIN)
    return bool(poller.poll(0))
