"""Relays requests to peers while this instance can't reach their targets."""

import collections.abc
import functools
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
from briarfall.gateway.exchanges import proofs
from briarfall.gateway.exchanges import targetconnection
from briarfall.gateway.forwarding import dispatchgate
from briarfall.gateway.forwarding import relayexchanges
from briarfall.gateway.forwarding import relayresponses
from briarfall.gateway.forwarding import relaysends
from briarfall.gateway.peers import peers
from briarfall.gateway.peers import relaypeers
from briarfall.gateway.targets import relaybackoffs
from briarfall.gateway.targets import targetbackoff
from briarfall.gateway.targets import targets

_CONNECT_TIMEOUT_S = 0.3
# Longest wait for a connection while an exchange with a peer is suspended. Its
# bytes and the caller are not looked at meanwhile.
_MOVE_CONNECT_TIMEOUT_S = 0.1
# A peer may close an idle connection while a request is on its way. A request
# that may run only once therefore reuses only connections that were idle for at
# most this time.
_MAX_SINGLE_RUN_IDLE_S = 0.3
_MAX_IDLE_S = 10.0
# Interval of checks whether a silent peer still sends its status.
_PEER_CHECK_S = 0.5


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
        own_version: Returns the version of this instance's catalogue.
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
        own_version: collections.abc.Callable[[], int],
    ):
        self._names = header_names
        self._instance = instance
        self._table = table
        self._choice = choice
        self._pool = pool
        self._gate = gate
        self._targets = target_table
        self._metrics = counters
        self._own_version = own_version
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
        sends = relaysends.RelaySends(exchange)
        try:
            while True:
                send = self._next(sends)
                if send is None:
                    break
                if self._follow(sends, send):
                    return True
        finally:
            sends.close()
        call.has_no_peer = True
        return False

    def _next(
        self, sends: relaysends.RelaySends
    ) -> relaysends.RelaySend | None:
        """Returns an exchange with a further peer, or a suspended one.

        A further peer is asked only as long as no suspended exchange can be
        read. None if no peer can serve the request.
        """
        service = sends.exchange.call.service.name
        while sends.may_ask and not sends.has_readable():
            peer = self._choice.choose(
                service, sends.asked, sends.heard_after_s
            )
            if peer is None:
                break
            sends.asked.add(peer.id)
            send = self._connect(sends, peer)
            if send is not None:
                return send
        return sends.resume()

    def _connect(
        self, sends: relaysends.RelaySends, peer: peers.Peer
    ) -> relaysends.RelaySend | None:
        """Connects to a peer; returns None if it can't be reached."""
        call = sends.exchange.call
        max_idle_s = _MAX_SINGLE_RUN_IDLE_S
        if call.may_repeat:
            max_idle_s = _MAX_IDLE_S
        timeout_s = _CONNECT_TIMEOUT_S
        if sends.has_suspended:
            timeout_s = _MOVE_CONNECT_TIMEOUT_S
        self._choice.start(peer)
        try:
            conn = self._pool.acquire(
                "{}:{}".format(*peer.address),
                max_idle_s,
                min(timeout_s, call.left_s),
                # The private header tells which request a response answers.
                matching.RequestIdentity(),
            )
        except targetconnection.NotSentError as exc:
            self._choice.end(peer)
            self._record_declined(call, peer, exc)
            self._metrics.count("briarfall_relays", exc.code)
            return None
        return relaysends.RelaySend(
            peer,
            self._state(sends.exchange),
            conn,
            self._choice,
            self._pool,
            self._metrics,
        )

    def _record_declined(
        self,
        call: calls.Call,
        peer: peers.Peer,
        exc: exceptions.BriarfallError,
    ) -> None:
        self._choice.record_declined(peer, call.service.name)
        logging.info(
            "request not served by a peer, asking another request=%s "
            "peer=%s: %s",
            call.request_id,
            peer.id,
            exc.message,
        )

    def _follow(
        self, sends: relaysends.RelaySends, send: relaysends.RelaySend
    ) -> bool:
        """Follows an exchange; returns whether the caller has a response.

        Raises:
            BriarfallError: The request may have run and may not run again.
        """
        call = sends.exchange.call
        try:
            self._receive(sends, send)
            return True
        except relaysends.PeerMissingError as exc:
            logging.warning(
                "peer sends no status, asking another beside it request=%s "
                "peer=%s runs=%d: %s",
                call.request_id,
                send.peer.id,
                sends.exchange.used_runs,
                exc.message,
            )
        except targetconnection.OtherConnectionReadyError as exc:
            if exc.conn not in sends.connections:
                return sends.exchange.follow_own(exc.conn, sends)
        except relayresponses.PeerRefusedError as exc:
            sends.record_refusal(send)
            self._record_declined(call, send.peer, exc)
        except (
            targetconnection.BrokenExchangeError,
            targetconnection.ResponseTimeoutError,
        ) as exc:
            self._record_break(sends, send, exc)
        return False

    def _receive(
        self, sends: relaysends.RelaySends, send: relaysends.RelaySend
    ) -> None:
        """Passes a response on; the exchange ends or is suspended.

        Raises:
            PeerMissingError: Another peer can be asked beside it.
            OtherConnectionReadyError: Another exchange can be read.
            PeerRefusedError: The peer has caused no run of the request.
            BriarfallError: The response is missing or damaged, or a failure.
        """
        exchange = sends.exchange
        try:
            self._send(sends, send)
            if send.reader is None:
                head = self._read_head(sends, send)
                relayresponses.validate(
                    exchange.call,
                    send,
                    head,
                    self._targets,
                    has_others=bool(sends.other_connections),
                )
                # A peer of an earlier release passes on what nobody signed.
                proofs.check_signed(send.conn.address, head, self._names)
                send.start_reading(exchange)
            send.read(sends)
        except relaysends.PeerMissingError:
            sends.suspend(send)
            raise
        except targetconnection.OtherConnectionReadyError as exc:
            send.outcome = exc.code
            sends.suspend(send)
            raise
        except exceptions.BriarfallError as exc:
            send.outcome = exc.code
            raise
        finally:
            if not sends.is_suspended(send):
                send.end()
        # The response ends only now, so that the connection is free again
        # before the caller's next request can arrive.
        exchange.finish()

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
            is_single_run=not call.may_repeat,
        )

    def _send(
        self, sends: relaysends.RelaySends, send: relaysends.RelaySend
    ) -> None:
        """Sends a request, unless its exchange was suspended and goes on.

        What the peer does not take at once is sent while its response is
        awaited, since it may refuse the request without reading it.
        """
        call = sends.exchange.call
        if not send.is_sent:
            call.record_send()
            send.is_sent = True
            send.conn.set_interim_listener(
                functools.partial(relayresponses.heed_interim, call, send)
            )
            self.sent += 1
            send.conn.send(
                call.req.method,
                call.req.request_target,
                self._headers(sends.exchange, send.state),
                call.req.body,
            )
        send.conn.watch(call.watch, sends.other_connections)

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
        self, sends: relaysends.RelaySends, send: relaysends.RelaySend
    ) -> messages.ResponseHead:
        """Returns the head of a peer's response.

        The connection to a peer whose status is missing is still open: it may
        be slow, or its datagrams lost. It loses the request only to another
        peer that has answered.

        Raises:
            PeerMissingError: Another peer can be asked beside it.
            OtherConnectionReadyError: Another exchange can be read.
        """
        call = sends.exchange.call
        conn = send.conn
        is_missed = False
        while True:
            now_s = clocks.boot_s()
            if conn.wait(min(call.deadline_s, now_s + _PEER_CHECK_S)):
                break
            if clocks.boot_s() >= call.deadline_s:
                raise targetconnection.ResponseTimeoutError(
                    f"{send.peer.id}: no response in time"
                )
            if self._table.is_present(send.peer):
                continue
            self._check_missing(sends, send)
            if not is_missed:
                is_missed = True
                logging.info(
                    "peer sends no status, waiting for its response "
                    "request=%s peer=%s left_s=%.1f",
                    call.request_id,
                    send.peer.id,
                    call.left_s,
                )
        head = conn.read_head(call.deadline_s)
        # From here on the response is read to its end.
        conn.watch(call.watch)
        send.head = head
        return head

    def _check_missing(
        self, sends: relaysends.RelaySends, send: relaysends.RelaySend
    ) -> None:
        """Raises PeerMissingError if another peer can take a request.

        The other peer must have sent its status since the first one counted as
        missing. Otherwise this instance may receive no status at all, which
        says nothing about the first peer.
        """
        if not sends.may_ask_beside(send) or self._is_newer(send.peer):
            return
        missing_s = self._table.missing_since_s(send.peer)
        service = sends.exchange.call.service.name
        if self._choice.choose(service, sends.asked, missing_s) is None:
            return
        sends.missing_s = missing_s
        raise relaysends.PeerMissingError(
            f"{send.peer.id}: sends no status any more"
        )

    def _is_newer(self, peer: peers.Peer) -> bool:
        """Whether a peer has a newer version of the catalogue."""
        return peer.version > self._own_version()

    def _record_break(
        self,
        sends: relaysends.RelaySends,
        send: relaysends.RelaySend,
        exc: exceptions.BriarfallError,
    ) -> None:
        """Records a failed relay; raises if the request can't be answered."""
        exchange = sends.exchange
        call = exchange.call
        runs = send.max_runs
        if isinstance(exc, relayresponses.PeerFailedError):
            runs = exc.runs
        elif self._is_newer(send.peer):
            # An earlier release tells nothing before its response, and may
            # know that the request may run only once.
            call.is_single_run = True
        sends.count_runs(send, runs)
        logging.warning(
            "relayed request broken request=%s peer=%s sends=%d runs=%d: %s",
            call.request_id,
            send.peer.id,
            call.attempt_count,
            exchange.used_runs,
            exc.message,
        )
        if call.left_s <= 0:
            raise exc
        if call.conn.has_sent_head and not exchange.may_resume:
            raise exc
        if sends.has_suspended:
            return
        if not call.may_repeat or exchange.used_runs >= call.max_runs:
            raise exc
