"""The execution of one stream: attempts, recovery and trials."""

import time

from absl import logging
import msgspec

from briarfall import exceptions
from briarfall import hashing
from briarfall import sockets
from briarfall.adapters import engine as engines
from briarfall.pipelines import acceptance
from briarfall.pipelines import crashjudge
from briarfall.pipelines import graph as graphs
from briarfall.pipelines import kvimports
from briarfall.pipelines import models
from briarfall.pipelines import policies
from briarfall.pipelines import pump as pumps
from briarfall.pipelines import streams
from briarfall.pipelines import suspecttrial

_PLAN_RETRY_S = 0.05
_BUDGET_RETRY_AFTER_S = 2.0
_SUCCESS_INTERVAL_S = 0.1

UNKNOWN_STREAM = "unknown_stream"


class StreamRun(pumps.PumpableStream):
    """Runs one stream over all its attempts.

    Iterate over it once, then close the iterator.

    Args:
        relay: The relay that the stream belongs to.
        req: The request.

    Attributes:
        is_nonblocking: Whether the steps must not wait for tokens. They
            then yield an empty list instead.
        route: Route of the current attempt.
    """

    def __init__(self, relay, req: models.StreamRequest):
        self._relay = relay
        self._req = req
        self._active = streams.ActiveStream(req)
        self._accepted = acceptance.AcceptedTokens(
            req.resume_index, req.resume_digest
        )
        self._attempt = req.resume_attempt
        self._last_attempt = req.resume_attempt + req.model.limits.max_attempts
        self._delivered = req.resume_index
        self._delivered_digest = req.resume_digest
        self._avoid: set[str] = set()
        self._previous_route: list[engines.Hop] = []
        self._previous_cause: models.Cause | None = None
        self._trial = suspecttrial.SuspectTrial(relay, req)
        self._judge = crashjudge.CrashJudge(relay, req, self._trial)
        self._has_met_death = False
        self._done = False
        self._started = False
        self._stream: engines.EngineStream | None = None
        self._may_block = False
        self.is_nonblocking = False
        self.route: list[engines.Hop] = []

    @property
    def digest(self) -> int:
        """Digest of the text that the caller has."""
        return self._delivered_digest

    @property
    def index(self) -> int:
        """Number of tokens that the caller has."""
        return self._delivered

    @property
    def attempt(self) -> int:
        """Number of the current attempt."""
        return self._attempt

    def fileno(self) -> int:
        """Returns the descriptor of the engine's stream.

        Returns:
            The descriptor, or -1 if no stream is open or a trial is running.
        """
        if self._stream is None or self._trial.is_open:
            return -1
        return self._stream.fileno()

    def may_block(self) -> bool:
        """Returns whether the next step may block."""
        return self._may_block

    def is_done(self) -> bool:
        """Returns whether the last token was accepted."""
        return self._done

    def __iter__(self):
        """Yields lists of accepted tokens until the last one."""
        relay = self._relay
        relay.watchdog.add(self._active)
        try:
            while not self._done:
                yield from self._run_attempt()
        finally:
            self._active.detach()
            relay.watchdog.remove(self._active)
            relay.dropped_tokens += self._accepted.dropped
            relay.guard.parts.end_trial(self._req.fingerprint)
            if not self._done:
                relay.guard.end_trial(self._req.fingerprint)
                if self.route:
                    relay.cancel(self.route, self._req.id, self._attempt)

    def _run_attempt(self):
        failed_s = time.monotonic()
        if self._attempt >= self._last_attempt:
            raise exceptions.StreamLostError(
                "all attempts failed", outcome=self._failure_outcome()
            )
        self._attempt += 1
        route = self._preferred_route()
        if route is None:
            self._restart_without_prefix()
            route = self._plan()
        planned_s = time.monotonic()
        names = [hop.target for hop in route]
        table = self._relay.table
        self._judge.start_attempt(names, self._accepted.index)
        rank = self._req.priority.rank
        table.add_in_flight(names, rank)
        try:
            yield from self._stream_route(route, failed_s, planned_s)
        finally:
            table.remove_in_flight(names, rank)
            self._trial.end()

    def _stream_route(self, route, failed_s: float, planned_s: float):
        stream = self._open(route)
        if stream is None:
            return
        self._started = True
        layers = graphs.layer_trace(route)
        names = [hop.target for hop in route]
        recovery_cause = self._previous_cause
        detect_s = failed_s - self._active.progress_s
        last_progress_s = self._active.progress_s
        planner, route_req = self._relay.planner, self._route_request()
        self._active.attach(
            stream,
            route,
            planner.expected_first_token_s(route_req, route),
            planner.expected_gap_s(route_req, route),
        )
        self._stream = stream
        self._may_block = False
        failure = ""
        success_recorded_s = float("-inf")
        try:
            while True:
                if self.is_nonblocking:
                    batches = stream.read_ready()
                else:
                    batches = stream.read()
                if batches is None:
                    break
                tokens, failure = self._accept(batches, layers)
                if not tokens:
                    if failure:
                        break
                    if self.is_nonblocking:
                        yield []
                    continue
                now = time.monotonic()
                self._active.record_tokens(now)
                if now - success_recorded_s > _SUCCESS_INTERVAL_S:
                    success_recorded_s = now
                    self._relay.table.record_route_success(names)
                if recovery_cause is not None:
                    self._record_recovery(
                        recovery_cause,
                        detect_s,
                        planned_s - failed_s,
                        now - last_progress_s,
                    )
                    recovery_cause = None
                if tokens[-1].finish:
                    self._done = True
                if not self._judge.is_proven:
                    self._judge.record_progress(
                        self._accepted.index, is_done=self._done
                    )
                if self._trial.is_open:
                    self._trial.record_progress(
                        self._accepted.index, is_done=self._done
                    )
                undelivered = self._deliver(tokens)
                if undelivered:
                    yield undelivered
                if self._done:
                    return
        except exceptions.TargetError as exc:
            logging.debug("attempt %d ended early: %s", self._attempt, exc)
        finally:
            cause = self._active.detach()
            self._stream = None
            if self._done:
                stream.release()
        if self.is_nonblocking:
            # Handling the end of the attempt may block, so it must run on the
            # stream's own thread.
            self._may_block = True
            yield []
        stream.release()
        self._handle_attempt_end(route, cause, failure)

    def _accept(self, batches, layers):
        tokens: list[engines.Token] = []
        failure = ""
        for batch in batches:
            tokens += self._accepted.accept(batch, self._attempt, layers)
            if batch.error:
                failure = batch.target or batch.error
        self._relay.tokens += len(tokens)
        return tokens, failure

    def _deliver(self, tokens: list[engines.Token]) -> list[engines.Token]:
        """Returns the tokens that the caller does not have yet."""
        accepted = self._accepted
        if accepted.index - len(tokens) == self._delivered:
            self._delivered = accepted.index
            self._delivered_digest = accepted.digest
            return tokens
        if accepted.index < self._delivered:
            return []
        # The answer was generated again from the beginning. It must start with
        # the text that the caller already has.
        digest = 0
        for text in accepted.texts[: self._delivered]:
            digest = hashing.digest64(text, digest)
        if digest != self._delivered_digest:
            raise exceptions.StreamLostError(
                "the engines did not repeat the answer so far",
                remedy="send the request again without Last-Event-ID",
                outcome=exceptions.Outcome.RAN,
            )
        new_count = accepted.index - self._delivered
        self._delivered = accepted.index
        self._delivered_digest = accepted.digest
        return tokens[len(tokens) - new_count :] if new_count else []

    def _preferred_route(self) -> list[engines.Hop] | None:
        """Returns the route that served the stream before, if it is usable.

        Its engines may still hold the earlier tokens of the stream, which
        this instance does not have.
        """
        req = self._req
        if not req.preferred or self._attempt > req.resume_attempt + 1:
            return None
        targets = [t for t in req.model.targets if t.id in req.preferred]
        model = msgspec.structs.replace(req.model, targets=targets)
        route_req = policies.RouteRequest(model, req.prompt_tokens)
        try:
            return self._relay.planner.plan(route_req)
        except exceptions.NoRouteError:
            return None

    def _restart_without_prefix(self) -> None:
        """Restarts the generation if this instance lacks the earlier tokens."""
        if self._accepted.start:
            dropped = self._accepted.dropped
            self._accepted = acceptance.AcceptedTokens()
            self._accepted.dropped = dropped

    def _open(self, route) -> engines.EngineStream | None:
        req = self._req
        call = engines.GenerateCall(
            stream=req.id,
            attempt=self._attempt,
            prompt=req.prompt,
            accepted=self._accepted.texts,
            resume_index=self._accepted.start or -1,
            max_tokens=req.max_tokens,
            seed=req.seed,
            priority=req.priority.rank,
            deadline_ms=max(1, int((req.deadline_s - time.monotonic()) * 1000)),
            route=route,
        )
        self.route = route
        adapter = self._relay.connect(route[0].url)
        try:
            return adapter.generate(call)
        except exceptions.LocalLimitError:
            raise
        except exceptions.TargetUnreachableError:
            self._judge.record_unreachable(route[0].target)
            self._handle_attempt_end(route, models.Cause.TARGET_DIED, "")
        except exceptions.TargetError:
            self._handle_attempt_end(
                route, models.Cause.STALLED, route[0].target
            )
        return None

    def _handle_attempt_end(self, route, cause, failure: str) -> None:
        """Records why an attempt ended and which targets to avoid next.

        Args:
            route: Route of the attempt.
            cause: Why the attempt ended, None if the engine ended it.
            failure: Target or error that the engine reported, or empty.
        """
        relay = self._relay
        failed_id = failure or self._active.failed_target
        self._active.failed_target = ""
        if cause is None:
            cause = models.Cause.TARGET_DIED
            failed_id = failed_id or route[0].target
        elif cause is models.Cause.TARGET_DIED:
            failed_id = failed_id or route[0].target
        relay.attempt_ends[cause] += 1
        self._previous_route, self._previous_cause = route, cause
        logging.info(
            "attempt ended request=%s client=%s entry=%s attempt=%d "
            "cause=%s target=%s tokens=%d",
            self._req.id,
            self._req.client,
            self._req.model_name,
            self._attempt,
            cause.value,
            failed_id,
            self.index,
        )
        if cause is models.Cause.CALLER_LEFT:
            raise exceptions.StreamLostError(
                "the caller left", outcome=self._failure_outcome()
            )
        if cause is models.Cause.DEADLINE:
            raise exceptions.DeadlineError(
                "the deadline passed", outcome=self._failure_outcome()
            )
        if not relay.budget.take():
            raise exceptions.StreamLostError(
                "too many streams recover at once",
                outcome=self._failure_outcome(),
                retry_after_s=_BUDGET_RETRY_AFTER_S,
            )
        if cause is models.Cause.MOVED:
            return
        relay.cancel(route, self._req.id, self._attempt)
        if failed_id == UNKNOWN_STREAM:
            return
        if failed_id:
            relay.table.record_failure(failed_id, is_silent=True)
            self._avoid.add(failed_id)
        else:
            self._avoid.update(hop.target for hop in route)
        if cause is models.Cause.TARGET_DIED:
            self._has_met_death = True
            self._judge.record_death(route, failed_id, self._accepted.index)

    def _route_request(self) -> policies.RouteRequest:
        req = self._req
        return policies.RouteRequest(
            req.model,
            req.prompt_tokens,
            avoid=frozenset(self._avoid),
            banned=self._banned(),
            affinity=req.affinity,
            rank=req.priority.rank,
        )

    def _banned(self) -> frozenset[str]:
        """Returns the targets that must not be planned.

        A planner that lacks targets falls back to ejected ones. A stream that
        has met a dead target waits for others instead, as attempts on targets
        that are still dead would be used up in no time.
        """
        if not self._has_met_death:
            return frozenset()
        table = self._relay.table
        targets = self._req.model.targets
        return frozenset(t.id for t in targets if table.is_ejected(t.id))

    def _plan(self) -> list[engines.Hop]:
        """Returns a route; waits until there is one or the deadline is near."""
        while True:
            try:
                if self._judge.needs_trial():
                    route = self._trial.plan(
                        self._route_request,
                        self._judge.crash_layer,
                        self._accepted.index,
                        self._failure_outcome(),
                    )
                    return self._with_kv_imports(route)
                route = self._relay.planner.plan(self._route_request())
                return self._with_kv_imports(route)
            except exceptions.NoRouteError:
                if time.monotonic() + _PLAN_RETRY_S > self._req.deadline_s:
                    raise
                if sockets.is_closed_by_remote(self._req.caller):
                    raise
                time.sleep(_PLAN_RETRY_S)

    def _with_kv_imports(self, route):
        """Adds KV imports from the previous route unless a target crashed."""
        if self._previous_cause not in (
            models.Cause.MOVED,
            models.Cause.STALLED,
        ):
            return route
        return kvimports.add_imports(
            self._req.model,
            route,
            self._previous_route,
            self._relay.links,
            self._req.prompt_tokens + self.index,
        )

    def _record_recovery(self, cause, detect_s, plan_s, resume_s) -> None:
        self._previous_cause = None
        self._relay.recoveries.append(
            models.RecoveryTiming(cause, detect_s, plan_s, resume_s)
        )

    def _failure_outcome(self) -> exceptions.Outcome:
        if self._started:
            return exceptions.Outcome.RAN
        return exceptions.Outcome.NOT_RUN
