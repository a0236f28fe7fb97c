"""Forwards calls to plain services, with retries where they are allowed."""

import random

from absl import logging

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway import metrics
from briarfall.gateway.calls import calls
from briarfall.gateway.crashes import crashdetection
from briarfall.gateway.crashes import crashes
from briarfall.gateway.exchanges import connections
from briarfall.gateway.exchanges import headernames
from briarfall.gateway.exchanges import targetconnection
from briarfall.gateway.forwarding import dispatchgate
from briarfall.gateway.forwarding import plainadmission
from briarfall.gateway.forwarding import plainexchanges
from briarfall.gateway.forwarding import plainfollowing
from briarfall.gateway.forwarding import plaintargets
from briarfall.gateway.forwarding import relayexchanges
from briarfall.gateway.forwarding import relaying
from briarfall.gateway.ratelimits import permits
from briarfall.gateway.scheduling import returns
from briarfall.gateway.targets import linkmonitor
from briarfall.gateway.targets import liveness
from briarfall.gateway.targets import loads
from briarfall.gateway.targets import targets
from briarfall.gateway.targets import targetsignals
from briarfall.gateway.targets import targetstate

# A target may close an idle connection while a request is on its way. A request
# that may run only once therefore reuses only connections that were idle for at
# most this time.
_MAX_SINGLE_RUN_IDLE_S = 0.3
_MAX_IDLE_S = 30.0
_REFUSAL_BLOCK_S = 0.1
# Longest wait for a connection while an exchange is suspended, whose bytes and
# whose caller are not looked at meanwhile.
_MOVE_CONNECT_TIMEOUT_S = 0.1


class PlainForwarder:
    """Forwards calls to plain services."""

    def __init__(
        self,
        header_names: headernames.HeaderNames,
        zone: ids.ZoneId,
        table: targets.TargetTable,
        load_table: loads.LoadTable,
        pool: connections.ConnectionPool,
        links: linkmonitor.LinkMonitor,
        relay: relaying.Relay,
        gate: dispatchgate.DispatchGate,
        detector: crashdetection.CrashDetector,
        target_signals: targetsignals.TargetSignals,
        rng: random.Random,
        counters: metrics.Metrics | None = None,
    ):
        self._names = header_names
        self._targets = table
        self._loads = load_table
        self._pool = pool
        self._links = links
        self._relay = relay
        self._gate = gate
        self._detector = detector
        return_times = returns.ReturnTimes(rng)
        self._admission = plainadmission.PlainAdmission(
            table, load_table, return_times, counters
        )
        self._choice = plaintargets.PlainTargetChoice(
            zone,
            table,
            load_table,
            rng,
            return_times,
            self._admission.wait_s,
        )
        self._follower = plainfollowing.PlainFollower(
            header_names,
            table,
            pool,
            links,
            gate,
            target_signals,
            self._choice,
        )

    def forward(self, call: calls.Call) -> None:
        """Sends the call until a target responds, and passes the response on.

        Raises:
            BriarfallError: The caller got no response.
        """
        self._admission.check(call)
        sends = plainexchanges.CallSends(call)
        try:
            while not self._run_next(sends):
                continue
        finally:
            sends.close()

    def _run_next(self, sends: plainexchanges.CallSends) -> bool:
        """Sends a call once more, or waits for an exchange that is open.

        Returns:
            Whether the caller has a response.

        Raises:
            BriarfallError: The caller gets no response.
        """
        try:
            exchange = self._start_exchange(sends)
        except plaintargets.CutOffError:
            return self._relay_to_peer(sends)
        if exchange is None:
            exchange = sends.resume()
        return self._follow_any(sends, exchange)

    def _follow_any(
        self,
        sends: plainexchanges.CallSends,
        exchange: plainexchanges.TargetExchange,
    ) -> bool:
        """Follows an exchange, or the suspended one that can be read.

        Returns:
            Whether the caller has its response. If not, an exchange failed, or
            that with a peer can be read.

        Raises:
            BriarfallError: An exchange failed, and the call may not be sent
                again.
        """
        while True:
            try:
                return self._follow(sends, exchange)
            except targetconnection.OtherConnectionReadyError as exc:
                if not sends.has(exc.conn):
                    return False
                exchange = sends.resume(exc.conn)

    def _start_exchange(
        self, sends: plainexchanges.CallSends
    ) -> plainexchanges.TargetExchange | None:
        """Opens an exchange with a further target.

        Returns:
            The exchange; None if a suspended one has to go on.

        Raises:
            CutOffError: A peer may reach further targets.
            BriarfallError: No target may get the call, and no exchange is
                suspended.
        """
        call = sends.call
        if sends.has_answering:
            return None
        while not sends.has_suspended or sends.may_run_again():
            target = self._choice.choose(call, sends.attempted)
            if target is None and self._choice.is_cut_off(call):
                raise plaintargets.CutOffError("other targets are not reached")
            if target is None and not sends.has_suspended:
                target = self._choice.choose_refusing(call, sends.attempted)
            if target is None:
                break
            try:
                return self._connect(sends, target)
            except (
                dispatchgate.TargetAvoidedError,
                permits.TargetLimitedError,
            ) as exc:
                logging.info(
                    "choosing another target request=%s: %s",
                    call.request_id,
                    exc,
                )
            except targetconnection.NotSentError as exc:
                logging.info(
                    "request not sent, choosing another target request=%s "
                    "target=%s: %s",
                    call.request_id,
                    target.id,
                    exc.message,
                )
                sends.attempted.add(target.id)
                self._links.record_failed(target, exc.__cause__)
                self._targets.record_failure(target, exc.message)
            except exceptions.BriarfallError as exc:
                if not sends.has_suspended:
                    raise
                logging.info(
                    "no other target is tried request=%s: %s",
                    call.request_id,
                    exc,
                )
                return None
            if sends.has_suspended and sends.has_readable():
                return None
        if not sends.has_suspended:
            raise self._admission.record_refusal(call, self._choice.error(call))
        return None

    def _relay_to_peer(self, sends: plainexchanges.CallSends) -> bool:
        """Relays a call; returns whether the caller has a response.

        Raises:
            BriarfallError: It may not run again, and no exchange is suspended.
        """
        exchange = relayexchanges.PlainExchange(
            sends,
            lambda conn: self._follow_any(sends, sends.resume(conn)),
        )
        try:
            return self._relay.forward(exchange)
        except targetconnection.CallerGoneError:
            raise
        except exceptions.BriarfallError:
            if not sends.has_suspended or sends.call.conn.has_sent_head:
                raise
        sends.call.has_no_peer = True
        return False

    def _follow(
        self,
        sends: plainexchanges.CallSends,
        exchange: plainexchanges.TargetExchange,
    ) -> bool:
        """Follows an exchange; returns whether the caller has its response.

        Raises:
            OtherConnectionReadyError: A suspended exchange can be read, so
                that this one is suspended.
            BriarfallError: It failed, and the call may not be sent again.
        """
        target = exchange.target
        try:
            body = self._follower.receive(sends, exchange)
        except calls.RefusedByTargetError as exc:
            self._handle_refusal(sends.call, target, exc)
            return False
        except targetconnection.BrokenExchangeError as exc:
            self._handle_break(sends, exchange, exc)
            return False
        except plainexchanges.SilentTargetError as exc:
            self._handle_silence(sends, exchange, exc)
            return False
        except targetconnection.ResponseTimeoutError as exc:
            self._handle_silence(sends, exchange, exc)
            self._check_retry(sends, exc)
            return False
        # The response is sent only now, so that the target and its connection
        # are free again before the caller's next request can arrive.
        sends.close()
        if not body.is_sent:
            self._admission.record_answer(exchange)
        body.pass_on(sends.call, exchange.head)
        return True

    def _handle_refusal(
        self,
        call: calls.Call,
        target: targetstate.Target,
        exc: calls.RefusedByTargetError,
    ) -> None:
        logging.info(
            "request refused request=%s target=%s status=%d not_run=%s",
            call.request_id,
            target.id,
            exc.head.status,
            exc.head.header(self._names.not_run) is not None,
        )
        if exc.head.status == 421:
            self._targets.record_failure(target, "another target's address")
            return
        self._targets.block(target, _REFUSAL_BLOCK_S)

    def _handle_break(
        self,
        sends: plainexchanges.CallSends,
        exchange: plainexchanges.TargetExchange,
        exc: targetconnection.BrokenExchangeError,
    ) -> None:
        """Records a broken exchange; raises if the call may not run again."""
        target = exchange.target
        # A reachable target lost only this response and stays usable.
        reachability = liveness.probe_target(
            target.entry.address, dialer=self._pool.dialer
        )
        if reachability is not liveness.Reachability.OPEN:
            self._links.record_unreachable(target, reachability)
            self._targets.record_failure(target, exc.message)
        elif isinstance(exc, targetconnection.InvalidResponseError):
            self._targets.record_invalid_response(target, exc.message)
        elif not exc.saw_response:
            self._links.record_reset(target)
        self._record_failed(sends, exchange, reachability, exc)
        self._check_retry(sends, exc)

    def _handle_silence(
        self,
        sends: plainexchanges.CallSends,
        exchange: plainexchanges.TargetExchange,
        exc: targetconnection.ResponseTimeoutError,
    ) -> None:
        """Records that a target did not answer in time."""
        self._targets.block(exchange.target, _REFUSAL_BLOCK_S)
        self._record_failed(sends, exchange, liveness.Reachability.UNKNOWN, exc)

    def _record_failed(
        self,
        sends: plainexchanges.CallSends,
        exchange: plainexchanges.TargetExchange,
        reachability: liveness.Reachability,
        exc: exceptions.BriarfallError,
    ) -> None:
        call = sends.call
        entry = exchange.target.entry
        self._detector.record_interruption(
            call, entry.id, entry.started_ms, reachability
        )
        sends.count(exchange)
        logging.warning(
            "send failed request=%s sends=%d target=%s lifetime=%d reach=%s "
            "suspended=%s fingerprint=%s: %s",
            call.request_id,
            call.attempt_count,
            entry.id,
            entry.started_ms,
            reachability.value,
            sends.is_suspended(exchange),
            crashes.fingerprint(call),
            exc,
        )

    def _check_retry(
        self,
        sends: plainexchanges.CallSends,
        exc: exceptions.BriarfallError,
    ) -> None:
        """Raises if a call whose exchange has failed can't be answered.

        A call whose response has begun is not retried: the caller already has
        a head, and a part of a body that another target may not repeat.
        """
        call = sends.call
        if call.left_s <= 0 or call.conn.has_sent_head:
            raise exc
        if not sends.has_suspended and not sends.may_run_again():
            raise exc

    def _connect(
        self, sends: plainexchanges.CallSends, target: targetstate.Target
    ) -> plainexchanges.TargetExchange:
        """Returns an exchange in which the call may be sent.

        Raises:
            NotSentError: The target can't be reached.
            TargetAvoidedError: The target takes no requests now.
            BriarfallError: The request may not be sent to any target.
        """
        call = sends.call
        permit = self._gate.admit(call, target)
        runs_once = not call.may_repeat
        timeout_s = call.left_s
        if sends.has_suspended:
            timeout_s = min(timeout_s, _MOVE_CONNECT_TIMEOUT_S)
        conn = self._pool.acquire(
            target.entry.address,
            _MAX_SINGLE_RUN_IDLE_S if runs_once else _MAX_IDLE_S,
            timeout_s,
            call.identity(self._names),
        )
        try:
            self._gate.start_attempt(call, target, permit)
        except exceptions.BriarfallError:
            self._pool.return_unused(conn)
            raise
        sends.attempted.add(target.id)
        self._targets.record_attempt(target)
        return plainexchanges.TargetExchange(
            target, conn, self._loads, self._pool
        )
