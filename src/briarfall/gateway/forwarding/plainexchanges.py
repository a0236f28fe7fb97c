"""The exchanges of one plain call with targets, several of which may be open.

A target that is silent may still answer while its connection is open. Its
exchange is suspended, and ends only once another target has answered.
"""

import abc
import select

from absl import logging

from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway.calls import calls
from briarfall.gateway.exchanges import connections
from briarfall.gateway.exchanges import messages
from briarfall.gateway.exchanges import targetconnection
from briarfall.gateway.forwarding import closedanswers
from briarfall.gateway.forwarding import plainresponses
from briarfall.gateway.targets import loads
from briarfall.gateway.targets import targetstate

# Requests as which an exchange counts in addition while its response is passed
# on. Of two equal targets, one that ends no response then gets a fifth of the
# requests in flight.
_FURTHER_LOADS = 3


class SilentTargetError(targetconnection.ResponseTimeoutError):
    """A target is silent for long, and another one can take the call."""

    code = "target_silent"


class TargetExchange:
    """A call at one target, which counts towards the target's load.

    Args:
        target: The target as it was when the exchange began.
        conn: Connection on which the call may be sent.
        load_table: Load that all instances put on targets.
        pool: Connections to targets.

    Attributes:
        target: The target.
        conn: The connection.
        sent_s: Time on the boot clock at which the call was sent, or None.
        head: Head of the response, or None if it has not arrived.
        body: Reads the body, or None while no head has arrived.
        completion: Checks the end of a response without a length, else None.
        is_counted: Whether it counts as a possible run of the call.
        in_flight: Requests at the target when the call was sent, this one
            included.
    """

    def __init__(
        self,
        target: targetstate.Target,
        conn: targetconnection.TargetConnection,
        load_table: loads.LoadTable,
        pool: connections.ConnectionPool,
    ):
        self.target = target
        self.conn = conn
        self.sent_s: float | None = None
        self.head: messages.ResponseHead | None = None
        self.body: plainresponses.BodyReader | None = None
        self.completion: closedanswers.CompletionCheck | None = None
        self.is_counted = False
        self.in_flight = 0
        self._loads = load_table
        self._pool = pool
        self._further_loads: list[ids.TargetId] = []
        self._loads.reserve([target.id], 0)

    def record_sent(self) -> None:
        """Records that the call is sent now."""
        self.sent_s = clocks.boot_s()
        self.in_flight = self._loads.of(self.target.id).streams

    def record_passing(self) -> None:
        """Records that its response is passed on before its end was read.

        Nobody knows when such a response ends. It counts as several requests
        in flight, so that a target that ends none gets few of them.
        """
        self._further_loads = [self.target.id] * _FURTHER_LOADS
        self._loads.reserve(self._further_loads, 0)

    def end(self) -> None:
        """Ends it; its connection is reused if the response is complete."""
        self._release()
        if self.target.is_draining:
            self._pool.discard(self.conn)
            return
        self._pool.return_to_pool(self.conn, self.head)

    def abandon(self) -> None:
        """Ends it with its connection, on which an answer may still come."""
        self._release()
        self.conn.close()

    def _release(self) -> None:
        self._loads.release([self.target.id], 0)
        self._loads.release(self._further_loads, 0)
        self._further_loads = []
        if self.completion is not None:
            self.completion.close()


class PeerExchanges(abc.ABC):
    """The exchanges with peers that may still answer the same request."""

    @property
    @abc.abstractmethod
    def connections(self) -> list[targetconnection.TargetConnection]:
        """Connections to these peers."""

    @abc.abstractmethod
    def close(self) -> None:
        """Ends them, since another answer has arrived."""


class CallSends:
    """A call, and the exchanges of it that are still open.

    Args:
        call: The call.

    Attributes:
        call: The call.
        peers: Exchanges with peers while a target is followed beside them.
        attempted: Targets that are not tried again.
    """

    def __init__(self, call: calls.Call):
        self.call = call
        self.peers: PeerExchanges | None = None
        self.attempted: set[ids.TargetId] = set()
        self._suspended: list[TargetExchange] = []

    @property
    def has_suspended(self) -> bool:
        """Whether a target that is silent, or a peer, may still answer."""
        return bool(self.connections)

    @property
    def connections(self) -> list[targetconnection.TargetConnection]:
        """Connections of the suspended exchanges, also with peers."""
        conns = [exchange.conn for exchange in self._suspended]
        if self.peers is not None:
            conns.extend(self.peers.connections)
        return conns

    def has(self, conn: targetconnection.TargetConnection) -> bool:
        """Whether a connection is that of a target's suspended exchange."""
        return any(exchange.conn is conn for exchange in self._suspended)

    @property
    def has_answering(self) -> bool:
        """Whether a suspended exchange has the head of its response."""
        return any(exchange.body is not None for exchange in self._suspended)

    def is_suspended(self, exchange: TargetExchange) -> bool:
        """Whether an exchange is suspended."""
        return exchange in self._suspended

    def may_run_again(self, exchange: TargetExchange | None = None) -> bool:
        """Whether the route allows a run beside the possible ones.

        Args:
            exchange: An exchange that counts as a run too.
        """
        runs = self.call.possible_runs
        if exchange is not None and not exchange.is_counted:
            runs += 1
        return self.call.may_repeat and runs < self.call.max_runs

    def count(self, exchange: TargetExchange) -> None:
        """Counts an exchange as a possible run, once."""
        self.call.has_unknown_outcome = True
        if not exchange.is_counted:
            exchange.is_counted = True
            self.call.possible_runs += 1

    def record_refusal(self, exchange: TargetExchange) -> None:
        """Takes back the count of an exchange whose target did not run it."""
        if exchange.is_counted:
            exchange.is_counted = False
            self.call.possible_runs -= 1

    def suspend(self, exchange: TargetExchange) -> None:
        """Keeps an exchange open while others are tried or followed."""
        self.count(exchange)
        self._suspended.append(exchange)

    def resume(
        self, conn: targetconnection.TargetConnection | None = None
    ) -> TargetExchange:
        """Returns a suspended exchange, which is the current one again.

        Args:
            conn: Its connection; None for the oldest exchange.
        """
        index = 0
        if conn is not None:
            index = self.connections.index(conn)
        exchange = self._suspended.pop(index)
        logging.info(
            "waiting for a suspended exchange request=%s target=%s "
            "suspended=%d left_s=%.1f",
            self.call.request_id,
            exchange.target.id,
            len(self._suspended),
            self.call.left_s,
        )
        return exchange

    def has_readable(self) -> bool:
        """Whether a suspended exchange can be read.

        Raises:
            CallerGoneError: The caller has left.
        """
        self.call.watch.pause(0.0)
        poller = select.poll()
        for conn in self.connections:
            poller.register(conn.sock, select.POLLIN)
        return bool(poller.poll(0))

    def close(self) -> None:
        """Abandons all suspended exchanges."""
        while self._suspended:
            self._suspended.pop().abandon()
        if self.peers is not None:
            self.peers.close()
