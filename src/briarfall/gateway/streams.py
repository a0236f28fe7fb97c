"""Forwards streams over chains of engines, with failover."""

import random

from absl import logging
import h11

from briarfall import decoding
from briarfall import exceptions
from briarfall.gateway import calls
from briarfall.gateway import chainsearch
from briarfall.gateway import clocks
from briarfall.gateway import closedanswers
from briarfall.gateway import connections
from briarfall.gateway import crashdetection
from briarfall.gateway import crashes
from briarfall.gateway import dispatchgate
from briarfall.gateway import events
from briarfall.gateway import headernames
from briarfall.gateway import linkadmission
from briarfall.gateway import linkmonitor
from briarfall.gateway import liveness
from briarfall.gateway import loads
from briarfall.gateway import messages
from briarfall.gateway import metrics
from briarfall.gateway import paths
from briarfall.gateway import relayexchanges
from briarfall.gateway import relaying
from briarfall.gateway import rerouting
from briarfall.gateway import sources
from briarfall.gateway import streamfailures
from briarfall.gateway import streamstate
from briarfall.gateway import targetconnection
from briarfall.gateway import targets
from briarfall.gateway import targetsignals
from briarfall.gateway import targetstate

_MAX_IDLE_S = 30.0
# A request that states more tokens counts as one that states none.
_MAX_TOKENS = 10**9
# Time without a first event after which an engine may have failed, as a share
# of the route's objective for the time to the first byte.
_FIRST_STALL_SHARE = 0.4
_MAX_STALL_CHECKS = 8
# Longest body of an engine's error response that is passed on to the caller.
_MAX_ERROR_BODY_BYTES = 2**20


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
    ):
        self._metrics = counters
        self._names = header_names
        self._targets = table
        self._loads = load_table
        self._engines = engines
        self._pool = pool
        self._links = links
        self._relay = relay
        self._gate = gate
        self._target_signals = target_signals
        self._link = link
        self._search = chainsearch.ChainSearch(table, finder, link, rng)
        self._diagnosis = streamfailures.StreamDiagnosis(
            header_names, table, detector, links, pool.dialer
        )
        self._rerouter = rerouting.StreamRerouter(
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

    def forward(self, call: calls.Call) -> None:
        """Runs a stream to its end, on further chains if engines fail.

        Raises:
            BriarfallError: The caller got no response, or the stream ended
                early and the caller's connection has to be closed.
        """
        stream = streamstate.Stream(call, self._estimate_demand(call))
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
            self._close_suspended(stream)

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
            logging.info(
                "stream stays on its chain, no other takes it request=%s "
                "last_event=%s chain=%s",
                stream.call.request_id,
                stream.sequence.last_id,
                run.chain.describe(),
            )
        try:
            self._follow(stream, run)
            return True
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
            stream, lambda: self._close_suspended(stream)
        )
        try:
            return self._relay.forward(exchange)
        except targetconnection.CallerGoneError:
            raise
        except exceptions.BriarfallError:
            if stream.suspended is None:
                raise
        # The suspended run goes on.
        stream.call.has_no_peer = True
        return False

    def _choose_run(
        self, stream: streamstate.Stream
    ) -> streamstate.ChainRun | None:
        """Returns the next run; None if the suspended run has to go on.

        Raises:
            CutOffError: A peer may run the stream.
            BriarfallError: No chain may run the stream, and none is suspended.
        """
        while True:
            chain = self._choose_chain(stream)
            if chain is None:
                return None
            target = self._targets.get(chain.head.target)
            if target is None:
                continue
            try:
                return self._start_run(stream, chain, target)
            except dispatchgate.TargetAvoidedError as exc:
                logging.info(
                    "choosing another chain request=%s: %s",
                    stream.call.request_id,
                    exc,
                )
            except targetconnection.NotSentError as exc:
                self._links.record_failed(target, exc.__cause__)
                self._diagnosis.record_failure(
                    stream, chain.head.target, exc.message
                )
            except exceptions.BriarfallError as exc:
                if stream.suspended is not None:
                    return None
                if isinstance(exc, exceptions.RetryBudgetError):
                    raise stream.abandon_error(exc.message) from exc
                raise

    def _choose_chain(self, stream: streamstate.Stream) -> paths.Chain | None:
        """Returns the next chain; None if the suspended run has to go on."""
        if stream.suspended is None:
            return self._search.wait_for_chain(stream)
        chain = self._search.find_replacement(stream)
        if chain is None and self._search.needs_peer(stream):
            raise chainsearch.CutOffError("another head is not reached")
        return chain

    def _estimate_demand(self, call: calls.Call) -> paths.Demand:
        model = call.service.model
        prompt = model.mean_prompt_tokens
        answer = model.mean_answer_tokens
        usage = call.req.header(self._names.token_usage)
        if usage is not None:
            prompt_text, _, answer_text = usage.partition(b",")
            prompt = _parse_tokens(prompt_text, prompt)
            answer = min(answer, _parse_tokens(answer_text, answer))
        hint = call.req.header(self._names.length_hint)
        if hint is not None:
            answer = _parse_tokens(hint, answer)
        return paths.Demand(int(prompt), int(answer))

    def _handle_break(
        self,
        stream: streamstate.Stream,
        chain: paths.Chain,
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
        if not call.route.is_retryable or call.left_s <= 0:
            raise exc

    def _start_run(
        self,
        stream: streamstate.Stream,
        chain: paths.Chain,
        target: targetstate.Target,
    ) -> streamstate.ChainRun:
        """Connects to the head of a chain, to send a stream there.

        Raises:
            NotSentError: The head can't be reached.
            TargetAvoidedError: The head takes no requests now.
            BriarfallError: The request may not be sent to any engine.
        """
        call = stream.call
        conn = self._pool.acquire(
            chain.head.address,
            _MAX_IDLE_S,
            call.left_s,
            call.identity(self._names),
        )
        try:
            self._gate.start_attempt(call, target)
        except exceptions.BriarfallError:
            self._pool.return_unused(conn)
            raise
        run = streamstate.ChainRun(chain, target, conn)
        self._loads.reserve(chain.target_ids(), stream.demand.tokens)
        if call.attempt_count > 1:
            # The link admission already counted the first attempt.
            self._link.record(
                call.service.model,
                linkadmission.count_cross_zone_hops(chain),
                stream.demand.tokens,
            )
        return run

    def _follow(
        self, stream: streamstate.Stream, run: streamstate.ChainRun
    ) -> None:
        """Follows a run until the stream ends or the chain fails."""
        try:
            if run.sent_s is None:
                self._send(stream, run)
            if run.response is None:
                self._receive_head(stream, run)
            if run.response.is_success:
                self._close_suspended(stream)
                self._relay_events(stream, run)
            else:
                self._relay_error(stream, run.conn, run.response)
            self._targets.record_success(run.target)
            if stream.chain_first_event_s:
                self._gate.record_survived(stream.call)
        except rerouting.UnresponsiveEngineError:
            if stream.suspended is None:
                stream.suspend(run)
            raise
        finally:
            if stream.suspended is not run:
                self._close_run(stream, run)

    def _send(
        self, stream: streamstate.Stream, run: streamstate.ChainRun
    ) -> None:
        call = stream.call
        run.conn.watch(call.watch)
        run.conn.send(
            call.req.method,
            call.req.request_target,
            self._headers(stream, run.target.entry, run.chain),
            call.req.body,
            call.deadline_s,
        )
        run.sent_s = clocks.boot_s()
        stream.last_event_s = run.sent_s
        stream.start_chain()
        first_stall_s = call.route.first_byte_slo_s * _FIRST_STALL_SHARE
        run.next_check_s = run.sent_s + first_stall_s

    def _receive_head(
        self, stream: streamstate.Stream, run: streamstate.ChainRun
    ) -> None:
        """Waits for the head of the response.

        Raises:
            RefusedByTargetError: The engine did not run the request.
        """
        call = stream.call
        self._await_bytes(stream, run)
        head = run.conn.read_head(call.deadline_s)
        run.response = head
        self._links.record_answer(run.target, is_new=run.conn.is_fresh)
        self._target_signals.handle(run.target, head)
        calls.raise_if_refused(call, run.conn, head, self._names, run.target.id)

    def _close_suspended(self, stream: streamstate.Stream) -> None:
        """Closes the suspended run, which another one has replaced."""
        run = stream.suspended
        if run is None:
            return
        stream.suspended = None
        self._close_run(stream, run)

    def _close_run(
        self, stream: streamstate.Stream, run: streamstate.ChainRun
    ) -> None:
        self._loads.release(run.chain.target_ids(), stream.demand.tokens)
        if run.target.is_draining:
            run.conn.close()
        else:
            self._pool.return_to_pool(run.conn, run.response)

    def _headers(
        self,
        stream: streamstate.Stream,
        target: sources.TargetEntry,
        chain: paths.Chain,
    ) -> messages.Headers:
        stages = [(stage.address, stage.layers) for stage in chain.stages]
        extra = [(self._names.chain, self._engines.chain_header(stages))]
        last_id = stream.sequence.last_id
        if last_id is not None:
            number = str(last_id).encode()
            extra.append((self._names.last_event, number))
        return calls.headers_for(stream.call, self._names, target, extra)

    def _relay_error(
        self,
        stream: streamstate.Stream,
        conn: targetconnection.TargetConnection,
        response: messages.ResponseHead,
    ) -> None:
        """Passes an engine's error response on to the caller."""
        body = conn.read_body(stream.call.deadline_s, _MAX_ERROR_BODY_BYTES)
        if stream.response_started or stream.suspended is not None:
            raise targetconnection.BrokenExchangeError(
                f"{conn.address}: resumed with status {response.status}",
                saw_response=True,
            )
        stream.call.conn.answer(
            response.status,
            messages.end_to_end(response.headers),
            body,
        )

    def _relay_events(
        self,
        stream: streamstate.Stream,
        run: streamstate.ChainRun,
    ) -> None:
        """Passes events on to the caller until the stream is complete."""
        call = stream.call
        response = run.response
        while True:
            event = run.conn.next_event()
            if event is None:
                self._await_bytes(stream, run)
                run.conn.receive()
                continue
            if isinstance(event, h11.EndOfMessage):
                break
            data = self._accept_events(stream, run, bytes(event.data))
            if not data:
                continue
            stream.start_response(response)
            call.conn.send_data(data)
        if run.splitter.incomplete_event:
            raise targetconnection.BrokenExchangeError(
                f"{run.conn.address}: ended inside an event", saw_response=True
            )
        if response.ends_with_connection:
            self._check_complete(stream, run)
        stream.start_response(response)
        call.conn.end()

    def _check_complete(
        self, stream: streamstate.Stream, run: streamstate.ChainRun
    ) -> None:
        """Checks that a stream without a length was not cut by a crash.

        Raises:
            BrokenExchangeError: It was, or it ended before its first event.
        """
        if stream.sequence.last_id is None and not stream.chain_first_event_s:
            raise targetconnection.BrokenExchangeError(
                f"{run.conn.address}: ended before the first event",
                saw_response=True,
            )
        head = run.chain.head
        closedanswers.check_complete(
            self._targets,
            head.target,
            head.address,
            head.started_ms,
            self._pool.dialer,
        )

    def _accept_events(
        self,
        stream: streamstate.Stream,
        run: streamstate.ChainRun,
        received: bytes,
    ) -> bytes:
        """Returns the bytes of complete events that the caller lacks.

        Raises:
            BrokenExchangeError: An event is missing or too long.
        """
        try:
            data = stream.sequence.take(run.splitter.feed(received))
        except (events.EventGapError, events.EventTooLongError) as exc:
            raise targetconnection.BrokenExchangeError(
                f"{run.conn.address}: {exc.message}", saw_response=True
            ) from exc
        if data:
            self._record_progress(stream, run)
        return data

    def _record_progress(
        self, stream: streamstate.Stream, run: streamstate.ChainRun
    ) -> None:
        now_s = clocks.boot_s()
        interval_s = stream.record_event(now_s)
        if not stream.has_recorded_proof and stream.has_begun:
            stream.has_recorded_proof = True
            self._gate.record_proven(stream.call)
        if (
            stream.response_started
            and interval_s > stream.call.route.event_gap_slo_s
        ):
            logging.info(
                "stream paused request=%s pause_ms=%d last_event=%s sends=%d "
                "repaths=%d chain=%s",
                stream.call.request_id,
                interval_s * 1000,
                stream.sequence.last_id,
                stream.call.attempt_count,
                run.reroute_attempts,
                run.chain.describe(),
            )
        self._rerouter.record_progress(run.chain, now_s)
        if stream.excluded:
            self._rerouter.clear_suspicion(stream, run.chain)
        run.stall_checks = 0
        run.postponed = 0
        run.next_check_s = now_s + stream.stall_timeout_s

    def _await_bytes(
        self, stream: streamstate.Stream, run: streamstate.ChainRun
    ) -> None:
        """Waits for bytes; reroutes the stream if it is stalled."""
        deadline_s = stream.call.deadline_s
        while True:
            until_s = min(deadline_s, run.next_check_s)
            if run.conn.wait(until_s):
                run.conn.check_deadline(deadline_s)
                return
            if clocks.boot_s() >= deadline_s:
                raise targetconnection.ResponseTimeoutError(
                    "the stream is out of time"
                )
            if self._rerouter.postpone_check(run):
                continue
            run.stall_checks += 1
            wait_s = stream.stall_timeout_s * 2 ** min(3, run.stall_checks - 1)
            run.next_check_s = clocks.boot_s() + wait_s
            if run.stall_checks <= _MAX_STALL_CHECKS:
                self._rerouter.reroute(stream, run)


def _parse_tokens(text: bytes, default: float) -> float:
    """Returns a number of tokens; `default` if the text is none."""
    count = decoding.parse_count(text.strip(), _MAX_TOKENS)
    return default if count is None else count
