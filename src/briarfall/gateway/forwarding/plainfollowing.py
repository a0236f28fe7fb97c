"""Follows the exchange of a plain call with one target."""

from absl import logging

from briarfall.gateway import clocks
from briarfall.gateway.calls import calls
from briarfall.gateway.exchanges import connections
from briarfall.gateway.exchanges import headernames
from briarfall.gateway.exchanges import messages
from briarfall.gateway.exchanges import proofs
from briarfall.gateway.exchanges import targetconnection
from briarfall.gateway.forwarding import closedanswers
from briarfall.gateway.forwarding import dispatchgate
from briarfall.gateway.forwarding import plainexchanges
from briarfall.gateway.forwarding import plainresponses
from briarfall.gateway.forwarding import plaintargets
from briarfall.gateway.targets import linkmonitor
from briarfall.gateway.targets import targets
from briarfall.gateway.targets import targetsignals

# Share of the remaining time that an attempt may wait for the response head, if
# the call may be retried on another target.
_FIRST_ATTEMPT_SHARE = 0.5
# Least time left in which another target can still answer a failed call.
_MIN_RETRY_S = 0.05


class PlainFollower:
    """Sends calls to targets and reads the responses.

    Args:
        header_names: Header names of the platform.
        table: Targets.
        pool: Connections to targets.
        links: Targets that this instance reaches.
        gate: Dispatch gate, which records requests that ran.
        target_signals: Handles draining and backoff signals of targets.
        choice: Chooses further targets.
    """

    def __init__(
        self,
        header_names: headernames.HeaderNames,
        table: targets.TargetTable,
        pool: connections.ConnectionPool,
        links: linkmonitor.LinkMonitor,
        gate: dispatchgate.DispatchGate,
        target_signals: targetsignals.TargetSignals,
        choice: plaintargets.PlainTargetChoice,
    ):
        self._names = header_names
        self._targets = table
        self._pool = pool
        self._links = links
        self._gate = gate
        self._target_signals = target_signals
        self._choice = choice

    def receive(
        self,
        sends: plainexchanges.CallSends,
        exchange: plainexchanges.TargetExchange,
    ) -> plainresponses.Body:
        """Returns the body of a response; the exchange ends or is suspended.

        Args:
            sends: The call.
            exchange: The exchange, which is new or was suspended.

        Raises:
            RefusedByTargetError: The target did not run the call, or another
                one should be asked.
            BrokenExchangeError: The response is missing or damaged.
            SilentTargetError: Another target can be tried meanwhile.
            OtherConnectionReadyError: A suspended exchange can be read.
            ResponseTimeoutError: The call is out of time.
        """
        try:
            self._send(sends, exchange)
            if exchange.body is None:
                self._receive_head(sends, exchange)
            return self._receive_body(sends, exchange)
        except (
            plainexchanges.SilentTargetError,
            targetconnection.OtherConnectionReadyError,
        ):
            sends.suspend(exchange)
            raise
        finally:
            if not sends.is_suspended(exchange):
                exchange.end()

    def _send(
        self,
        sends: plainexchanges.CallSends,
        exchange: plainexchanges.TargetExchange,
    ) -> None:
        """Sends a call, unless the exchange was suspended and goes on.

        What the target does not read at once is sent during the waits.
        """
        call = sends.call
        if exchange.sent_s is None:
            exchange.record_sent()
            exchange.conn.send(
                call.req.method,
                call.req.request_target,
                calls.headers_for(call, self._names, exchange.target.entry),
                call.req.body,
            )
        exchange.conn.watch(call.watch, sends.connections, heeds_ends=True)

    def _receive_head(
        self,
        sends: plainexchanges.CallSends,
        exchange: plainexchanges.TargetExchange,
    ) -> None:
        """Waits for the head of a response.

        Raises:
            RefusedByTargetError: The target did not run the call.
            BrokenExchangeError: The target did not write the response.
            SilentTargetError: Another target can be tried meanwhile.
            OtherConnectionReadyError: A suspended exchange can be read.
        """
        call = sends.call
        conn = exchange.conn
        target = exchange.target
        head = self._read_head(sends, exchange)
        # The rest of a refusal is read without a look at other connections.
        conn.watch(call.watch)
        self._links.record_answer(target, is_new=conn.is_fresh)
        proofs.check_attributable(
            conn.address, head, self._names, call.request_id
        )
        exchange.head = head
        self._target_signals.handle(target, head, exchange.sent_s)
        try:
            calls.raise_if_refused(call, conn, head, self._names, target.id)
        except calls.RefusedByTargetError:
            if conn.has_whole_response:
                self._targets.record_response(target)
            sends.record_refusal(exchange)
            raise
        proofs.check_signed(conn.address, head, self._names)
        exchange.completion = closedanswers.check_of(
            call.req.method,
            head,
            target.entry,
            self._targets,
            conn,
            self._pool,
        )
        exchange.body = plainresponses.BodyReader(conn, head)
        conn.watch(call.watch, sends.connections, heeds_ends=True)

    def _receive_body(
        self,
        sends: plainexchanges.CallSends,
        exchange: plainexchanges.TargetExchange,
    ) -> plainresponses.Body:
        """Reads the response; passes a long one on directly.

        Suspended exchanges stay open until it is whole, or so long that the
        caller gets a part of it.

        Raises:
            RefusedByTargetError: The target failed the call, and another one
                should be asked.
            OtherConnectionReadyError: A suspended exchange can be read.
        """
        call = sends.call
        head = exchange.head

        def commit():
            sends.close()
            exchange.conn.watch(call.watch)
            exchange.record_passing()

        def may_leave():
            return sends.may_run_again(exchange) and self._can_move(sends)

        body = exchange.body.read(call, commit, may_leave)
        if not body.is_sent and _should_retry(sends, exchange):
            self._targets.record_response(exchange.target)
            sends.count(exchange)
            raise calls.RefusedByTargetError("target failed the request", head)
        if exchange.completion is not None:
            exchange.completion.run(call)
        self._targets.record_response(exchange.target)
        self._targets.record_success(exchange.target)
        if head.is_success:
            self._gate.record_survived(call)
        return body

    def _read_head(
        self,
        sends: plainexchanges.CallSends,
        exchange: plainexchanges.TargetExchange,
    ) -> messages.ResponseHead:
        """Waits for the head of a response.

        A target that is silent for long is left for another one, but may still
        answer. If there is no other one, it may use all the time of the call.
        """
        call = sends.call
        conn = exchange.conn
        start_s = clocks.boot_s()
        deadline_s = self._response_deadline_s(sends, exchange, start_s)
        slo_s = start_s + call.route.first_byte_slo_s
        if not conn.wait(min(deadline_s, slo_s)):
            self._links.record_doubt(exchange.target)
        try:
            return self._read_until_silent(sends, exchange, deadline_s)
        except targetconnection.ResponseTimeoutError as exc:
            if call.left_s <= 0:
                raise
            if self._can_move(sends):
                raise plainexchanges.SilentTargetError(exc.message) from exc
        logging.info(
            "target silent, no other target, waiting request=%s left_s=%.1f",
            call.request_id,
            call.left_s,
        )
        return conn.read_head(call.deadline_s)

    def _read_until_silent(
        self,
        sends: plainexchanges.CallSends,
        exchange: plainexchanges.TargetExchange,
        deadline_s: float,
    ) -> messages.ResponseHead:
        """Reads a head; a target that still reads the request is not silent.

        Raises:
            ResponseTimeoutError: The target neither read nor wrote for long.
        """
        conn = exchange.conn
        while True:
            try:
                return conn.read_head(deadline_s)
            except targetconnection.ResponseTimeoutError:
                deadline_s = self._response_deadline_s(
                    sends, exchange, conn.last_sent_s
                )
                if deadline_s <= clocks.boot_s():
                    raise

    def _can_move(self, sends: plainexchanges.CallSends) -> bool:
        """Whether another target could take a call now."""
        if not self._gate.may_retry(sends.call):
            return False
        if self._choice.choose(sends.call, sends.attempted) is not None:
            return True
        return self._choice.is_cut_off(sends.call)

    def _response_deadline_s(
        self,
        sends: plainexchanges.CallSends,
        exchange: plainexchanges.TargetExchange,
        since_s: float,
    ) -> float:
        """Returns the time on the boot clock until which to wait for a head.

        Args:
            sends: The call.
            exchange: The exchange.
            since_s: Time on the boot clock since which the target is silent.
        """
        call = sends.call
        if call.attempt_count >= plaintargets.MAX_ATTEMPTS:
            return call.deadline_s
        if not sends.may_run_again(exchange):
            return call.deadline_s
        left_s = max(0.0, call.deadline_s - since_s)
        return since_s + left_s * _FIRST_ATTEMPT_SHARE


def _should_retry(
    sends: plainexchanges.CallSends, exchange: plainexchanges.TargetExchange
) -> bool:
    """Whether an error response is given up for that of another target."""
    call = sends.call
    if exchange.head.status < 500 or call.left_s <= _MIN_RETRY_S:
        return False
    return sends.has_suspended or sends.may_run_again(exchange)
