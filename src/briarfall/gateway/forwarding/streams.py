"""Forwards streams over chains of engines, with failover."""

import random

from absl import logging

from briarfall import decoding
from briarfall import exceptions
from briarfall.gateway import metrics
from briarfall.gateway.calls import calls
from briarfall.gateway.catalogue import sources
from briarfall.gateway.crashes import crashdetection
from briarfall.gateway.crashes import crashes
from briarfall.gateway.exchanges import connections
from briarfall.gateway.exchanges import events
from briarfall.gateway.exchanges import headernames
from briarfall.gateway.exchanges import targetconnection
from briarfall.gateway.forwarding import chainsearch
from briarfall.gateway.forwarding import dispatchgate
from briarfall.gateway.forwarding import relayexchanges
from briarfall.gateway.forwarding import relaying
from briarfall.gateway.forwarding import rerouting
from briarfall.gateway.forwarding import roomreports
from briarfall.gateway.forwarding import runfollowing
from briarfall.gateway.forwarding import streamdemands
from briarfall.gateway.forwarding import streamfailures
from briarfall.gateway.forwarding import streamstate
from briarfall.gateway.placement import chains
from briarfall.gateway.placement import linkadmission
from briarfall.gateway.placement import paths
from briarfall.gateway.ratelimits import permits
from briarfall.gateway.scheduling import kvreserve
from briarfall.gateway.targets import linkmonitor
from briarfall.gateway.targets import liveness
from briarfall.gateway.targets import loads
from briarfall.gateway.targets import targets
from briarfall.gateway.targets import targetsignals
from briarfall.gateway.targets import targetstate

_MAX_IDLE_S = 30.0
# Longest wait for a connection while the stream has suspended runs, whose bytes
# and whose caller are not looked at meanwhile.
_MOVE_CONNECT_TIMEOUT_S = 0.1


class StreamForwarder:
    """Forwards streams to engines.

    Args:
        header_names: Header names of the platform.
        table: Targets.
        load_table: Load that all instances put on targets.
        finder: Chooses chains.
        link: Admits chains with cross-zone hops.
        engines: Queries engines and sends commands to them.
        pool: Connections to targets.
        links: Targets that this instance reaches.
        relay: Relays streams to peers.
        gate: Dispatch gate, which every attempt has to pass.
        detector: Distinguishes crashes from lost responses.
        target_signals: Handles draining and backoff signals of targets.
        counters: Metrics.
        activity: When this process last received anything.
        rng: Spreads the retries of refused callers over time.
        reserve: Keeps room in KV caches for more urgent requests.
    """

    def __init__(
        self,
        header_names: headernames.HeaderNames,
        table: targets.TargetTable,
        load_table: loads.LoadTable,
        finder: paths.ChainFinder,
        link: linkadmission.LinkAdmission,
        engines: sources.EngineControl,
        pool: connections.ConnectionPool,
        links: linkmonitor.LinkMonitor,
        relay: relaying.Relay,
        gate: dispatchgate.DispatchGate,
        detector: crashdetection.CrashDetector,
        target_signals: targetsignals.TargetSignals,
        counters: metrics.Metrics,
        activity: liveness.ReceiveActivity,
        rng: random.Random,
        reserve: kvreserve.KvReserve | None = None,
    ):
        self._names = header_names
        self._targets = table
        self._loads = load_table
        self._pool = pool
        self._links = links
        self._relay = relay
        self._gate = gate
        self._link = link
        reserve = reserve or kvreserve.KvReserve()
        self._demands = streamdemands.StreamDemands(header_names, reserve)
        self._search = chainsearch.ChainSearch(
            table,
            finder,
            link,
            rng,
            reserve,
            roomreports.RoomReports(counters, load_table),
        )
        self._diagnosis = streamfailures.StreamDiagnosis(
            header_names, table, detector, links, pool.dialer
        )
        rerouter = rerouting.StreamRerouter(
            table,
            load_table,
            finder,
            self._search,
            link,
            engines,
            gate,
            detector,
            counters,
            activity,
            links,
            pool.dialer,
        )
        self._follower = runfollowing.RunFollower(
            header_names,
            table,
            load_table,
            engines,
            pool,
            links,
            gate,
            target_signals,
            rerouter,
        )

    def forward(self, call: calls.Call) -> None:
        """Runs a stream to its end, on further chains if engines fail.

        Raises:
            BriarfallError: The caller got no response, or the stream ended
                early and the caller's connection has to be closed.
        """
        demand, demand_class = self._demands.of(call)
        stream = streamstate.Stream(call, demand, demand_class=demand_class)
        if call.relayed is not None:
            stream.heads.update(call.relayed.heads)
        last_event_id = call.req.header(self._names.last_event)
        if last_event_id is not None:
            stream.sequence.last_id = decoding.parse_count(
                last_event_id, events.MAX_ID
            )
        try:
            while not self._run_next(stream):
                continue
        finally:
            self._follower.close_suspended(stream)

    def _run_next(self, stream: streamstate.Stream) -> bool:
        """Runs a stream on one chain; returns whether it is complete.

        Raises:
            BriarfallError: The stream ends without a complete response.
        """
        try:
            run = self._choose_run(stream)
        except chainsearch.CutOffError:
            return self._relay_to_peer(stream)
        if run is None:
            run = stream.resume()
            run.conn.watch(stream.call.watch, stream.suspended_connections)
            logging.info(
                "stream stays on its chain, no other takes it request=%s "
                "last_event=%s chain=%s",
                stream.call.request_id,
                stream.sequence.last_id,
                run.chain.describe(),
            )
        return self._follow(stream, run)

    def _follow_beside_peer(
        self,
        stream: streamstate.Stream,
        conn: targetconnection.TargetConnection,
    ) -> bool:
        """Follows a suspended run that can be read while a peer has a run.

        Returns:
            Whether the stream is complete.

        Raises:
            BriarfallError: The stream ends without a complete response.
        """
        run = stream.resume(conn)
        run.conn.watch(stream.call.watch, stream.suspended_connections)
        return self._follow(stream, run)

    def _follow(
        self, stream: streamstate.Stream, run: streamstate.ChainRun
    ) -> bool:
        """Follows a run; returns whether the stream is complete.

        Raises:
            BriarfallError: The stream ends without a complete response.
        """
        try:
            self._follower.follow(stream, run)
            return True
        except targetconnection.OtherConnectionReadyError as exc:
            logging.info(
                "suspended run goes on request=%s: %s",
                stream.call.request_id,
                exc.message,
            )
        except calls.RefusedByTargetError as exc:
            self._diagnosis.handle_refusal(stream, run.chain, exc)
        except (
            targetconnection.BrokenExchangeError,
            targetconnection.ResponseTimeoutError,
        ) as exc:
            self._handle_break(stream, run.chain, exc)
        return False

    def _relay_to_peer(self, stream: streamstate.Stream) -> bool:
        """Relays a stream; returns whether it is complete.

        Raises:
            BriarfallError: It may not run again, and no run is suspended.
        """
        exchange = relayexchanges.StreamExchange(
            stream,
            lambda: self._follower.close_suspended(stream),
            lambda conn: self._follow_beside_peer(stream, conn),
        )
        try:
            return self._relay.forward(exchange)
        except targetconnection.CallerGoneError:
            raise
        except exceptions.BriarfallError:
            if not stream.suspended:
                raise
        # A suspended run goes on.
        stream.call.has_no_peer = True
        return False

    def _choose_run(
        self, stream: streamstate.Stream
    ) -> streamstate.ChainRun | None:
        """Returns the next run; None if a suspended run has to go on.

        Raises:
            CutOffError: A peer may run the stream.
            BriarfallError: No chain may run the stream, and none is suspended.
        """
        while True:
            if stream.suspended:
                stream.call.watch.pause(0.0)
                if stream.has_live_run:
                    return None
            chain = self._choose_chain(stream)
            if chain is None:
                return None
            target = self._targets.get(chain.head.target)
            if target is None:
                continue
            try:
                return self._start_run(stream, chain, target)
            except (
                dispatchgate.TargetAvoidedError,
                permits.TargetLimitedError,
            ) as exc:
                logging.info(
                    "choosing another chain request=%s: %s",
                    stream.call.request_id,
                    exc,
                )
            except targetconnection.NotSentError as exc:
                logging.info(
                    "stream not sent, choosing another chain request=%s "
                    "target=%s: %s",
                    stream.call.request_id,
                    target.id,
                    exc.message,
                )
                self._links.record_failed(target, exc.__cause__)
                self._diagnosis.record_failure(
                    stream, chain.head.target, exc.message
                )
            except exceptions.BriarfallError as exc:
                if stream.suspended:
                    return None
                if isinstance(exc, exceptions.RetryBudgetError):
                    raise stream.abandon_error(exc.message) from exc
                raise

    def _choose_chain(self, stream: streamstate.Stream) -> chains.Chain | None:
        """Returns the next chain; None if a suspended run has to go on."""
        if not stream.suspended:
            return self._search.wait_for_chain(stream)
        chain = self._search.find_replacement(stream)
        if chain is None and self._search.needs_peer(stream):
            raise chainsearch.CutOffError("another head is not reached")
        return chain

    def _handle_break(
        self,
        stream: streamstate.Stream,
        chain: chains.Chain,
        exc: exceptions.BriarfallError,
    ) -> None:
        """Records a broken run; raises if the stream may not be retried."""
        call = stream.call
        call.has_unknown_outcome = True
        call.possible_runs += 1
        logging.warning(
            "stream broken request=%s last_event=%s sends=%d age_ms=%d "
            "run_ms=%d fingerprint=%s parts=%s chain=%s: %s",
            call.request_id,
            stream.sequence.last_id,
            call.attempt_count,
            call.age_s * 1000,
            stream.run_s * 1000,
            crashes.fingerprint(call),
            call.parts.describe(),
            chain.describe(),
            exc,
        )
        if isinstance(exc, targetconnection.BrokenExchangeError):
            self._diagnosis.handle_broken_head(stream, chain.head, exc)
        if not call.may_repeat or call.left_s <= 0:
            raise exc

    def _start_run(
        self,
        stream: streamstate.Stream,
        chain: chains.Chain,
        target: targetstate.Target,
    ) -> streamstate.ChainRun:
        """Connects to the head of a chain, to send a stream there.

        Raises:
            NotSentError: The head can't be reached.
            TargetAvoidedError: The head takes no requests now.
            BriarfallError: The request may not be sent to any engine.
        """
        call = stream.call
        permit = self._gate.admit(call, target)
        timeout_s = call.left_s
        if stream.suspended:
            timeout_s = min(timeout_s, _MOVE_CONNECT_TIMEOUT_S)
        conn = self._pool.acquire(
            chain.head.address,
            _MAX_IDLE_S,
            timeout_s,
            call.identity(self._names),
        )
        try:
            self._gate.start_attempt(call, target, permit)
        except exceptions.BriarfallError:
            self._pool.return_unused(conn)
            raise
        self._targets.record_attempt(target)
        run = streamstate.ChainRun(chain, target, conn)
        self._loads.reserve(chain.target_ids(), stream.demand.tokens)
        if call.attempt_count > 1:
            # The link admission already counted the first attempt.
            self._link.record(
                call.service.model,
                linkadmission.count_cross_zone_hops(chain),
                stream.demand.tokens,
                stream.demand_class,
            )
        return run
