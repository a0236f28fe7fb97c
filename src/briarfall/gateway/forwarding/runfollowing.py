"""Follows the run of a stream on one chain and passes its events on."""

from absl import logging
import h11

from briarfall.gateway import clocks
from briarfall.gateway.calls import calls
from briarfall.gateway.catalogue import sources
from briarfall.gateway.exchanges import connections
from briarfall.gateway.exchanges import headernames
from briarfall.gateway.exchanges import messages
from briarfall.gateway.exchanges import proofs
from briarfall.gateway.exchanges import targetconnection
from briarfall.gateway.forwarding import closedanswers
from briarfall.gateway.forwarding import dispatchgate
from briarfall.gateway.forwarding import rerouting
from briarfall.gateway.forwarding import streamresponses
from briarfall.gateway.forwarding import streamstate
from briarfall.gateway.placement import chains
from briarfall.gateway.targets import linkmonitor
from briarfall.gateway.targets import loads
from briarfall.gateway.targets import targets
from briarfall.gateway.targets import targetsignals

# Time without a first event after which an engine may have failed, as a share
# of the route's objective for the time to the first byte.
_FIRST_STALL_SHARE = 0.4
_MAX_STALL_CHECKS = 8
# Longest body of an engine's error response that is passed on to the caller.
_MAX_ERROR_BODY_BYTES = 2**20


class RunFollower:
    """Sends a stream to the head of a chain and follows its events.

    Args:
        header_names: Header names of the platform.
        table: Targets.
        load_table: Load that all instances put on targets.
        engines: Queries engines and sends commands to them.
        pool: Connections to targets.
        links: Targets that this instance reaches.
        gate: Dispatch gate, which records requests that ran.
        target_signals: Handles draining and backoff signals of targets.
        rerouter: Reroutes streams around failed engines.
    """

    def __init__(
        self,
        header_names: headernames.HeaderNames,
        table: targets.TargetTable,
        load_table: loads.LoadTable,
        engines: sources.EngineControl,
        pool: connections.ConnectionPool,
        links: linkmonitor.LinkMonitor,
        gate: dispatchgate.DispatchGate,
        target_signals: targetsignals.TargetSignals,
        rerouter: rerouting.StreamRerouter,
    ):
        self._names = header_names
        self._targets = table
        self._loads = load_table
        self._engines = engines
        self._pool = pool
        self._links = links
        self._gate = gate
        self._target_signals = target_signals
        self._rerouter = rerouter

    def follow(
        self, stream: streamstate.Stream, run: streamstate.ChainRun
    ) -> None:
        """Follows a run until the stream ends or the chain fails."""
        try:
            if run.sent_s is None:
                self._send(stream, run)
            if run.response is None:
                self._receive_head(stream, run)
            if run.response.is_success:
                self._relay_events(stream, run)
            else:
                self._relay_error(stream, run)
            self._targets.record_response(run.target)
            self._targets.record_success(run.target)
            if stream.chain_first_event_s:
                self._gate.record_survived(stream.call)
        except rerouting.UnresponsiveEngineError:
            stream.suspend(run)
            raise
        except targetconnection.OtherConnectionReadyError:
            stream.suspend(run, is_overtaken=True)
            raise
        finally:
            if not stream.is_suspended(run):
                self._close_run(stream, run)

    def _send(
        self, stream: streamstate.Stream, run: streamstate.ChainRun
    ) -> None:
        call = stream.call
        run.conn.watch(call.watch, stream.suspended_connections)
        run.sent_s = clocks.boot_s()
        run.conn.send(
            call.req.method,
            call.req.request_target,
            self._headers(stream, run.target.entry, run.chain),
            call.req.body,
            call.deadline_s,
        )
        stream.last_event_s = clocks.boot_s()
        stream.start_chain()
        first_stall_s = call.route.first_byte_slo_s * _FIRST_STALL_SHARE
        run.next_check_s = stream.last_event_s + first_stall_s

    def _receive_head(
        self, stream: streamstate.Stream, run: streamstate.ChainRun
    ) -> None:
        """Waits for the head of the response.

        Raises:
            RefusedByTargetError: The engine did not run the request.
            BrokenExchangeError: The response can't be a part of the stream.
        """
        call = stream.call
        self._await_bytes(stream, run)
        head = run.conn.read_head(call.deadline_s)
        self._links.record_answer(run.target, is_new=run.conn.is_fresh)
        proofs.check_attributable(
            run.conn.address, head, self._names, call.request_id
        )
        run.response = head
        self._target_signals.handle(run.target, head, run.sent_s)
        try:
            calls.raise_if_refused(
                call, run.conn, head, self._names, run.target.id
            )
        except calls.RefusedByTargetError:
            if run.conn.has_whole_response:
                self._targets.record_response(run.target)
            raise
        proofs.check_signed(run.conn.address, head, self._names)
        run.is_resumed = stream.response_started
        if head.is_success:
            streamresponses.check_head(
                run.conn.address, head, is_resumed=run.is_resumed
            )
        run.completion = closedanswers.check_of(
            call.req.method,
            head,
            run.target.entry,
            self._targets,
            run.conn,
            self._pool,
        )

    def close_suspended(self, stream: streamstate.Stream) -> None:
        """Closes the suspended runs, which another one has replaced."""
        while stream.suspended:
            self._close_run(stream, stream.suspended.pop())
        if stream.peers is not None:
            stream.peers.close()

    def _drop_suspended(
        self, stream: streamstate.Stream, run: streamstate.ChainRun
    ) -> None:
        """Closes the suspended runs; only the current one is followed."""
        self.close_suspended(stream)
        run.conn.watch(stream.call.watch)

    def _close_run(
        self, stream: streamstate.Stream, run: streamstate.ChainRun
    ) -> None:
        self._loads.release(run.chain.target_ids(), stream.demand.tokens)
        if run.completion is not None:
            run.completion.close()
        if run.target.is_draining:
            self._pool.discard(run.conn)
        else:
            self._pool.return_to_pool(run.conn, run.response)

    def _headers(
        self,
        stream: streamstate.Stream,
        target: sources.TargetEntry,
        chain: chains.Chain,
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
        run: streamstate.ChainRun,
    ) -> None:
        """Passes an engine's error response on to the caller.

        Raises:
            BrokenExchangeError: It was cut, or can't follow what the caller
                has of the stream.
        """
        response = run.response
        body = run.conn.read_body(stream.call.deadline_s, _MAX_ERROR_BODY_BYTES)
        if stream.response_started or stream.suspended_connections:
            raise targetconnection.BrokenExchangeError(
                f"{run.conn.address}: resumed with status {response.status}",
                saw_response=True,
            )
        if run.completion is not None:
            run.completion.run(stream.call)
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
            run.conn.check_late_piece(call.deadline_s)
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
        if run.completion is not None:
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
        run.completion.run(stream.call, lambda: self._can_continue(stream, run))

    def _can_continue(
        self, stream: streamstate.Stream, run: streamstate.ChainRun
    ) -> bool:
        """Whether another chain can go on where a run has ended."""
        return stream.call.may_repeat and self._rerouter.can_move(stream, run)

    def _accept_events(
        self,
        stream: streamstate.Stream,
        run: streamstate.ChainRun,
        received: bytes,
    ) -> bytes:
        """Returns the bytes of complete events that the caller lacks.

        Raises:
            InvalidResponseError: An event is too long, or none came for many
                bytes or pieces.
            BrokenExchangeError: An event is missing, or none of this stream.
        """
        accepted = streamresponses.accept_events(
            run.conn.address,
            run.splitter,
            stream.sequence,
            received,
            is_resumed=run.is_resumed,
        )
        if accepted.has_event:
            run.idle_input.reset()
            self._record_progress(stream, run)
            return accepted.data
        run.idle_input.add(len(received), max(1, accepted.count))
        if run.idle_input.is_exceeded:
            raise _no_event_error(run)
        return accepted.data

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
        if stream.suspended_connections:
            self._drop_suspended(stream, run)
        if run.completion is not None:
            run.completion.record_progress()
        self._rerouter.record_progress(run.chain, now_s)
        if stream.excluded:
            self._rerouter.clear_suspicion(stream, run.chain)
        run.stall_checks = 0
        run.postponed = 0
        run.next_check_s = now_s + stream.stall_timeout_s

    def _await_bytes(
        self, stream: streamstate.Stream, run: streamstate.ChainRun
    ) -> None:
        """Waits for bytes; reroutes the stream if it is stalled.

        Raises:
            InvalidResponseError: It is stalled, though many bytes arrive.
        """
        deadline_s = stream.call.deadline_s
        while True:
            until_s = min(deadline_s, run.next_check_s)
            if run.conn.wait(until_s):
                run.conn.check_deadline(deadline_s)
                is_stalled = clocks.boot_s() > run.next_check_s
                if is_stalled and run.idle_input.is_flood:
                    raise _no_event_error(run)
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


def _no_event_error(
    run: streamstate.ChainRun,
) -> targetconnection.InvalidResponseError:
    return targetconnection.InvalidResponseError(
        f"{run.conn.address}: {run.idle_input.size} bytes in "
        f"{run.idle_input.pieces} pieces without an event for the caller"
    )
