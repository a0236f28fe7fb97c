"""Relays requests to peers while this instance can't reach their targets."""

import uuid

from absl import logging

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway import metrics
from briarfall.gateway.calls import calls
from briarfall.gateway.calls import relaymessages
from briarfall.gateway.exchanges import connections
from briarfall.gateway.exchanges import headernames
from briarfall.gateway.exchanges import matching
from briarfall.gateway.exchanges import messages
from briarfall.gateway.exchanges import targetconnection
from briarfall.gateway.forwarding import dispatchgate
from briarfall.gateway.forwarding import relayexchanges
from briarfall.gateway.peers import peers
from briarfall.gateway.peers import relaypeers
from briarfall.gateway.targets import relaybackoffs
from briarfall.gateway.targets import targetbackoff
from briarfall.gateway.targets import targets

_MAX_PEERS = 3
# Time after which no further peer is asked for the same request.
_SEARCH_S = 1.0
_CONNECT_TIMEOUT_S = 0.3
# A peer may close an idle connection while a request is on its way. A request
# that may run only once therefore reuses only connections that were idle for at
# most this time.
_MAX_SINGLE_RUN_IDLE_S = 0.3
_MAX_IDLE_S = 10.0
# Interval of checks whether a silent peer still sends its status.
_PEER_CHECK_S = 0.5
_REFUSAL_TIMEOUT_S = 0.3
# Lowest HTTP status that counts as a failure of the target.
_FIRST_FAILURE_STATUS = 500


class PeerRefusedError(exceptions.PeerError):
    """A peer could not serve a relayed request; the request did not run."""

    code = "peer_refused"
    outcome = exceptions.Outcome.NOT_RUN


class PeerFailedError(targetconnection.BrokenExchangeError):
    """A peer says that a relayed request failed and may have run.

    Attributes:
        runs: Number of runs that the peer may have caused.
    """

    code = "peer_run_failed"

    def __init__(self, message: str, runs: int):
        super().__init__(message, saw_response=True)
        self.runs = runs


class Relay:
    """Relays requests to peers, which serve them like those of own callers.

    A peer does not relay such a request again.

    Args:
        header_names: Header names of the platform.
        instance: Name of this instance.
        table: Other instances.
        choice: Chooses among them.
        pool: Connections to them.
        gate: Dispatch gate, which refuses poison requests.
        target_table: Targets, with the backoffs that they asked for.
        counters: Metrics.
    """

    def __init__(
        self,
        header_names: headernames.HeaderNames,
        instance: ids.InstanceId,
        table: peers.PeerTable,
        choice: relaypeers.RelayPeers,
        pool: connections.ConnectionPool,
        gate: dispatchgate.DispatchGate,
        target_table: targets.TargetTable,
        counters: metrics.Metrics,
    ):
        self._names = header_names
        self._instance = instance
        self._table = table
        self._choice = choice
        self._pool = pool
        self._gate = gate
        self._targets = target_table
        self._metrics = counters
        # Number of requests sent to peers.
        self.sent = 0

    def forward(self, exchange: relayexchanges.Exchange) -> bool:
        """Relays a request and passes the response on.

        Returns:
            Whether the caller has a response; if not, no peer could serve the
            request.

        Raises:
            BriarfallError: The request may have run and may not run again.
        """
        call = exchange.call
        self._gate.check(call)
        asked: set[ids.InstanceId] = set()
        until_s = clocks.boot_s() + _SEARCH_S
        while len(asked) < _MAX_PEERS and clocks.boot_s() < until_s:
            peer = self._choice.choose(call.service.name, asked)
            if peer is None or call.left_s <= 0:
                break
            asked.add(peer.id)
            used_runs = exchange.used_runs
            if self._try_peer(exchange, peer, asked):
                return True
            if exchange.used_runs > used_runs:
                # The search for another peer starts only when a run breaks.
                until_s = clocks.boot_s() + _SEARCH_S
        call.has_no_peer = True
        return False

    def _try_peer(
        self,
        exchange: relayexchanges.Exchange,
        peer: peers.Peer,
        asked: set[ids.InstanceId],
    ) -> bool:
        """Relays a request to one peer; returns whether it was served.

        Raises:
            BriarfallError: The request may have run and may not run again.
        """
        call = exchange.call
        state = self._state(exchange)
        outcome = "answered"
        self._choice.start(peer)
        try:
            self._send(exchange, peer, state, asked)
            return True
        except (targetconnection.NotSentError, PeerRefusedError) as exc:
            outcome = exc.code
            self._choice.record_declined(peer, call.service.name)
            logging.info(
                "request not served by a peer, asking another request=%s "
                "peer=%s: %s",
                call.request_id,
                peer.id,
                exc.message,
            )
            return False
        except (
            targetconnection.BrokenExchangeError,
            targetconnection.ResponseTimeoutError,
        ) as exc:
            outcome = exc.code
            self._record_break(exchange, peer, state, exc)
            return False
        finally:
            self._choice.end(peer)
            self._metrics.count("briarfall_relays", outcome)

    def _state(
        self, exchange: relayexchanges.Exchange
    ) -> relaymessages.RelayedRequest:
        call = exchange.call
        rows = self._targets.of_service(call.service.name)
        return relaymessages.RelayedRequest(
            exchange=uuid.uuid4().hex,
            sender=self._instance,
            sends=call.attempt_count,
            runs=exchange.used_runs,
            max_runs=exchange.max_runs,
            has_unknown_outcome=call.has_unknown_outcome,
            heads=exchange.heads,
            backoffs=relaybackoffs.encode(targetbackoff.ends_of(rows)),
        )

    def _send(
        self,
        exchange: relayexchanges.Exchange,
        peer: peers.Peer,
        state: relaymessages.RelayedRequest,
        asked: set[ids.InstanceId],
    ) -> None:
        call = exchange.call
        conn = self._pool.acquire(
            "{}:{}".format(*peer.address),
            _MAX_IDLE_S if call.route.is_retryable else _MAX_SINGLE_RUN_IDLE_S,
            min(_CONNECT_TIMEOUT_S, call.left_s),
            # The private header tells which request a response answers.
            matching.RequestIdentity(),
        )
        head = None
        try:
            conn.watch(call.watch, exchange.suspended_connections)
            self.sent += 1
            conn.send(
                call.req.method,
                call.req.request_target,
                self._headers(exchange, state),
                call.req.body,
                call.deadline_s,
            )
            head = self._read_head(call, conn, peer, state, asked)
            self._apply_response(
                call, conn, state, head, bool(exchange.suspended_connections)
            )
            head.headers = messages.end_to_end(head.headers)
            call.relayed_to = peer.id
            exchange.receive(conn, head)
        finally:
            self._pool.return_to_pool(conn, head)
        # The response ends only now, so that the connection is free again
        # before the caller's next request can arrive.
        exchange.finish()

    def _headers(
        self,
        exchange: relayexchanges.Exchange,
        state: relaymessages.RelayedRequest,
    ) -> messages.Headers:
        call = exchange.call
        own = exchange.headers(self._names)
        replaced = {self._names.time_left, b"content-length"}
        replaced.update(key for key, _ in own)
        fields = []
        for key, value in messages.end_to_end(call.req.headers):
            if key.lower() not in replaced:
                fields.append((key, value))
        left_ms = max(1, int(call.left_s * 1000))
        fields.append((self._names.time_left, str(left_ms).encode()))
        if call.req.body or call.req.method not in (b"GET", b"HEAD"):
            length = str(len(call.req.body)).encode()
            fields.append((b"Content-Length", length))
        fields.extend(own)
        fields.append(relaymessages.header_of(state))
        return fields

    def _read_head(
        self,
        call: calls.Call,
        conn: targetconnection.TargetConnection,
        peer: peers.Peer,
        state: relaymessages.RelayedRequest,
        asked: set[ids.InstanceId],
    ) -> messages.ResponseHead:
        """Returns the head of a peer's response.

        The connection to a peer whose status is missing is still open: it may
        be slow, or its datagrams lost. It loses the request only to another
        peer.

        Raises:
            BrokenExchangeError: The peer sends no status, and another one can
                serve the request.
        """
        is_missed = False
        while True:
            now_s = clocks.boot_s()
            if conn.wait(min(call.deadline_s, now_s + _PEER_CHECK_S)):
                break
            if clocks.boot_s() >= call.deadline_s:
                raise targetconnection.ResponseTimeoutError(
                    f"{peer.id}: no response in time"
                )
            # A stopping peer still ends the requests that it has accepted.
            if peer.is_stopping or peer in self._table.alive():
                continue
            if self._can_move(call, state, asked):
                raise targetconnection.BrokenExchangeError(
                    f"{peer.id}: sends no status any more"
                )
            if not is_missed:
                is_missed = True
                logging.info(
                    "peer sends no status, waiting for its response "
                    "request=%s peer=%s left_s=%.1f",
                    call.request_id,
                    peer.id,
                    call.left_s,
                )
        return conn.read_head(call.deadline_s)

    def _can_move(
        self,
        call: calls.Call,
        state: relaymessages.RelayedRequest,
        asked: set[ids.InstanceId],
    ) -> bool:
        """Whether another peer could take a request that a peer may run."""
        if not call.route.is_retryable or len(asked) >= _MAX_PEERS:
            return False
        # All runs that the peer may have caused count.
        if state.max_runs >= call.max_runs:
            return False
        return self._choice.choose(call.service.name, asked) is not None

    def _apply_response(
        self,
        call: calls.Call,
        conn: targetconnection.TargetConnection,
        state: relaymessages.RelayedRequest,
        head: messages.ResponseHead,
        may_still_answer: bool,
    ) -> None:
        """Counts a peer's attempts; returns if the response is a target's.

        A target's failure is dropped while another exchange of the request is
        open, which may still answer.

        Raises:
            PeerRefusedError: The peer has caused no run of the request.
            PeerFailedError: The request failed at the peer and may have run.
            BrokenExchangeError: The response belongs to no such request.
        """
        try:
            answer = relaymessages.decode_response(head.headers)
        except exceptions.PeerError as exc:
            raise targetconnection.BrokenExchangeError(
                f"{conn.address}: {exc.message}", saw_response=True
            ) from exc
        if answer.exchange != state.exchange:
            raise targetconnection.BrokenExchangeError(
                f"{conn.address}: response of another request",
                saw_response=True,
            )
        call.attempt_count = max(call.attempt_count, answer.sends)
        targetbackoff.adopt(
            self._targets, relaybackoffs.decode(answer.backoffs)
        )
        runs = answer.runs - state.runs
        if answer.outcome is relaymessages.RelayOutcome.TARGET:
            if head.status < _FIRST_FAILURE_STATUS or not may_still_answer:
                return
            # The run that failed is not among those of unknown outcome.
            runs += 1
        conn.drain(min(call.deadline_s, clocks.boot_s() + _REFUSAL_TIMEOUT_S))
        text = f"{conn.address}: status {head.status}"
        if answer.outcome is relaymessages.RelayOutcome.NOT_RUN:
            raise PeerRefusedError(text)
        raise PeerFailedError(text, runs=runs)

    def _record_break(
        self,
        exchange: relayexchanges.Exchange,
        peer: peers.Peer,
        state: relaymessages.RelayedRequest,
        exc: exceptions.BriarfallError,
    ) -> None:
        """Records a failed relay; raises if the request may not run again."""
        call = exchange.call
        runs = state.max_runs - state.runs
        if isinstance(exc, PeerFailedError):
            runs = exc.runs
        exchange.record_runs(runs)
        call.attempt_count = max(call.attempt_count, state.sends + runs)
        logging.warning(
            "relayed request broken request=%s peer=%s sends=%d runs=%d: %s",
            call.request_id,
            peer.id,
            call.attempt_count,
            exchange.used_runs,
            exc.message,
        )
        if not call.route.is_retryable or call.left_s <= 0:
            raise exc
        if call.conn.has_sent_head and not exchange.may_resume:
            raise exc
        if exchange.used_runs >= call.max_runs:
            raise exc
