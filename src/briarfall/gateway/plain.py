"""Calls to plain services: one target at a time, sent again if allowed."""

import random

from absl import logging
import h11

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway import calls
from briarfall.gateway import clocks
from briarfall.gateway import connections
from briarfall.gateway import crashdetection
from briarfall.gateway import crashes
from briarfall.gateway import evidence
from briarfall.gateway import exchange
from briarfall.gateway import loads
from briarfall.gateway import messages
from briarfall.gateway import names
from briarfall.gateway import notices
from briarfall.gateway import pauses
from briarfall.gateway import quiet
from briarfall.gateway import sendgate
from briarfall.gateway import sources
from briarfall.gateway import targets
from briarfall.gateway import targetstate

_MAX_SENDS = 4
# A kept connection may be closed by its target while a request is on its
# way; a request that may run once takes only one that was used just now.
_ONCE_IDLE_S = 0.3
_IDLE_S = 30.0
# Part of the time left after which an idempotent call is tried elsewhere.
_FIRST_TRY_SHARE = 0.5
_REMOTE_COST = 0.15
_NOISE = 0.1
_SHED_BLOCK_S = 0.1
# Responses up to this size are checked whole before the caller gets a byte.
_BUFFER_BYTES = 262_144
_RETRY_AFTER_S = 0.3


class PlainForwarder:
    """Forwards calls to plain services."""

    def __init__(
        self,
        header_names: names.HeaderNames,
        zone: ids.ZoneId,
        table: targets.TargetTable,
        load_table: loads.LoadTable,
        pool: connections.ConnectionPool,
        gate: sendgate.SendGate,
        detector: crashdetection.CrashDetector,
        target_notices: notices.TargetNotices,
        rng: random.Random,
    ):
        self._names = header_names
        self._zone = zone
        self._targets = table
        self._loads = load_table
        self._pool = pool
        self._gate = gate
        self._detector = detector
        self._notices = target_notices
        self._rng = rng

    def forward(self, call: calls.Call) -> None:
        """Sends the call until a target answers it, and passes that on.

        Raises:
            BriarfallError: Nothing was answered to the caller.
        """
        tried: set[ids.TargetId] = set()
        while True:
            target = self._pick(call, tried)
            if target is None:
                raise self._no_target(call)
            try:
                self._gate.take_send(call, target)
            except sendgate.TargetAvoidedError as exc:
                logging.info("chosen anew request=%s: %s", call.request_id, exc)
                continue
            tried.add(target.id)
            entry = target.entry
            try:
                self._send(call, target)
                return
            except exchange.NotSentError as exc:
                self._targets.note_failure(target, exc.message)
            except calls.RefusedByTargetError as exc:
                self._note_refusal(target, exc)
            except exchange.BrokenExchangeError as exc:
                # A target that lost one response still serves the others.
                reach = evidence.reach(target.entry.address)
                if reach is not evidence.Reach.OPEN:
                    self._targets.note_failure(target, exc.message)
                self._detector.note_cut(call, entry.id, entry.started_ms, reach)
                self._allow_repeat(call, entry, reach, exc)
            except exchange.TimeUpError as exc:
                self._targets.block(target, _SHED_BLOCK_S)
                reach = evidence.Reach.UNKNOWN
                self._detector.note_cut(call, entry.id, entry.started_ms, reach)
                self._allow_repeat(call, entry, reach, exc)

    def _no_target(self, call: calls.Call) -> exceptions.BriarfallError:
        rows = self._targets.of_service(call.service.name)
        pause = quiet.first_pause(rows)
        if pause is not None:
            return exceptions.OverloadError(
                f"targets of {call.service.name} want no requests",
                outcome=call.outcome,
                retry_after_s=pauses.retry_after_s(pause, self._rng),
            )
        return exceptions.NoRouteError(
            f"no target of {call.service.name} is free",
            outcome=call.outcome,
            retry_after_s=_RETRY_AFTER_S,
        )

    def _pick(
        self, call: calls.Call, tried: set[ids.TargetId]
    ) -> targetstate.Target | None:
        if call.sends >= _MAX_SENDS or call.left_s <= 0:
            return None
        best = None
        for row in self._targets.usable(call.service.name):
            if row.id in tried:
                continue
            if row.quiet_until_s and row.is_quiet:
                continue
            load = self._loads.of(row.id)
            cost = load.streams / max(1, row.entry.slots)
            if row.entry.zone != self._zone:
                cost += _REMOTE_COST
            cost += _NOISE * self._rng.random()
            if best is None or cost < best[0]:
                best = (cost, row)
        return best[1] if best else None

    def _note_refusal(
        self, target: targetstate.Target, exc: calls.RefusedByTargetError
    ) -> None:
        logging.info("refused target=%s status=%d", target.id, exc.head.status)
        if exc.head.status == 421:
            self._targets.note_failure(target, "another target's address")
            return
        self._targets.block(target, _SHED_BLOCK_S)

    def _allow_repeat(
        self,
        call: calls.Call,
        target: sources.TargetEntry,
        reach: evidence.Reach,
        exc: exceptions.BriarfallError,
    ) -> None:
        """Raises the error if the call may not run once more."""
        call.was_cut = True
        call.runs += 1
        logging.warning(
            "send failed request=%s sends=%d target=%s lifetime=%d reach=%s "
            "fingerprint=%s: %s",
            call.request_id,
            call.sends,
            target.id,
            target.started_ms,
            reach.value,
            crashes.fingerprint(call),
            exc,
        )
        if not call.route.is_repeatable or call.runs >= call.route.attempts:
            raise exc
        if call.left_s <= 0:
            raise exc

    def _send(self, call: calls.Call, target: targetstate.Target) -> None:
        is_once = not call.route.is_repeatable
        entry = target.entry
        conn = self._pool.take(
            entry.address, _ONCE_IDLE_S if is_once else _IDLE_S, call.left_s
        )
        head = None
        body = None
        self._loads.reserve([target.id], 0)
        try:
            conn.watch(call.watch)
            conn.send(
                call.req.method,
                call.req.target,
                calls.headers_for(call, self._names, entry),
                call.req.body,
                call.deadline_s,
            )
            head = conn.read_head(
                self._patience_s(call),
                lambda head: call.is_own(self._names.request_id, head),
            )
            self._notices.take(target, head)
            calls.raise_if_refused(
                conn, head, self._names, target.id, call.deadline_s
            )
            body = self._relay(call, conn, head)
            self._targets.note_success(target)
            self._gate.note_survived(call)
        finally:
            self._loads.release([target.id], 0)
            if target.is_leaving:
                conn.close()
            else:
                self._pool.give_back(conn, head)
        # The target and its connection are free before the caller's next
        # request can come.
        if body is not None:
            call.conn.answer(
                head.status, messages.end_to_end(head.headers), body
            )

    def _patience_s(self, call: calls.Call) -> float:
        """Returns the time on the boot clock until which to wait."""
        may_repeat = (
            call.route.is_repeatable
            and call.runs + 1 < call.route.attempts
            and call.sends < _MAX_SENDS
        )
        if not may_repeat:
            return call.deadline_s
        return clocks.boot_s() + call.left_s * _FIRST_TRY_SHARE

    def _relay(
        self,
        call: calls.Call,
        conn: exchange.TargetConnection,
        head: messages.ResponseHead,
    ) -> bytes | None:
        """Returns the body of a response, or passes a long one on."""
        headers = messages.end_to_end(head.headers)
        chunks = []
        size = 0
        has_begun = False
        while True:
            event = conn.read_event(call.deadline_s)
            if isinstance(event, h11.EndOfMessage):
                break
            if has_begun:
                call.conn.send_data(bytes(event.data))
                continue
            chunks.append(bytes(event.data))
            size += len(event.data)
            if size > _BUFFER_BYTES:
                call.conn.send_head(head.status, headers)
                call.conn.send_data(b"".join(chunks))
                has_begun = True
        if has_begun:
            call.conn.end()
            return None
        if self._should_repeat(call, head):
            call.runs += 1
            raise calls.RefusedByTargetError("failed by its target", head)
        return b"".join(chunks)

    def _should_repeat(
        self, call: calls.Call, head: messages.ResponseHead
    ) -> bool:
        """Whether a target's own failure is worth another target."""
        if head.status < 500 or not call.route.is_repeatable:
            return False
        return call.runs + 1 < call.route.attempts and call.left_s > 0.05
