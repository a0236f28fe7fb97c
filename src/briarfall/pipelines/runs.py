"""One stream on its way: attempts, recovery and trials."""

import time

from absl import logging
import msgspec

from briarfall import exceptions
from briarfall import hashing
from briarfall import sockets
from briarfall.adapters import engine as engines
from briarfall.pipelines import acceptance
from briarfall.pipelines import graph as graphs
from briarfall.pipelines import kvimports
from briarfall.pipelines import models
from briarfall.pipelines import poison as poisons
from briarfall.pipelines import policies
from briarfall.pipelines import pump as pumps
from briarfall.pipelines import streams
from briarfall.pipelines import suspects

_PLAN_RETRY_S = 0.05
_BUDGET_RETRY_S = 2.0
_PROOF_INTERVAL_S = 0.1

UNKNOWN_STREAM = "unknown_stream"


class Run(pumps.Pumped):
    """One stream on its way; iterate over it once, then close it.

    Args:
        relay: The relay that it belongs to.
        req: The request.

    Attributes:
        is_lent: Whether the steps must not wait for tokens. They then yield
            an empty list instead.
        route: Route of the current attempt.
    """

    def __init__(self, relay, req: models.StreamRequest):
        self._relay = relay
        self._req = req
        self._active = streams.ActiveStream(req)
        self._accepted = acceptance.Accepted(
            req.resume_index, req.resume_digest
        )
        self._attempt = req.resume_attempt
        self._last_attempt = req.resume_attempt + req.model.limits.max_attempts
        self._delivered = req.resume_index
        self._delivered_digest = req.resume_digest
        self._avoid: set[str] = set()
        self._old_route: list[engines.Hop] = []
        self._old_cause: models.Cause | None = None
        self._dead_before: set[str] = set()
        self._death_route: set[str] = set()
        self._trial = suspects.SuspectTrial(relay, req)
        self._suspect_layer = 0
        self._done = False
        self._started = False
        self._stream: engines.EngineStream | None = None
        self._may_block = False
        self.is_lent = False
        self.route: list[engines.Hop] = []

    @property
    def digest(self) -> int:
        """Digest of the text that the caller has."""
        return self._delivered_digest

    @property
    def index(self) -> int:
        """Tokens that the caller has."""
        return self._delivered

    @property
    def attempt(self) -> int:
        """Number of the current attempt."""
        return self._attempt

    def fileno(self) -> int:
        """Returns the descriptor of the engine's stream, or -1."""
        if self._stream is None or self._trial.is_open:
            return -1
        return self._stream.fileno()

    def needs_thread(self) -> bool:
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
            relay.dropped += self._accepted.dropped
            if not self._done:
                relay.guard.note_left(self._req.fingerprint)
                if self.route:
                    relay.cancel(self.route, self._req.id, self._attempt)

    def _run_attempt(self):
        failed_s = time.monotonic()
        if self._attempt >= self._last_attempt:
            raise exceptions.StreamLostError(
                "all attempts failed", outcome=self._outcome()
            )
        self._attempt += 1
        route = self._preferred_route()
        if route is None:
            self._restart_partial()
            route = self._plan()
        planned_s = time.monotonic()
        names = [hop.target for hop in route]
        table = self._relay.table
        self._dead_before = {name for name in names if table.is_ejected(name)}
        rank = self._req.priority.rank
        table.begin(names, rank)
        try:
            yield from self._stream_route(route, failed_s, planned_s)
        finally:
            table.end(names, rank)
            self._trial.end()

    def _stream_route(self, route, failed_s: float, planned_s: float):
        stream = self._open(route)
        if stream is None:
            return
        self._started = True
        layers = graphs.spans(route)
        names = [hop.target for hop in route]
        recovering = self._old_cause
        detect_s = failed_s - self._active.progress_s
        last_s = self._active.progress_s
        planner, route_req = self._relay.planner, self._route_request()
        self._active.attach(
            stream,
            route,
            planner.first_token_s(route_req, route),
            planner.gap_s(route_req, route),
        )
        self._stream = stream
        self._may_block = False
        failure = ""
        proved_s = float("-inf")
        try:
            while True:
                if self.is_lent:
                    batches = stream.read_ready()
                else:
                    batches = stream.read()
                if batches is None:
                    break
                tokens, failure = self._take(batches, layers)
                if not tokens:
                    if failure:
                        break
                    if self.is_lent:
                        yield []
                    continue
                now = time.monotonic()
                self._active.note_tokens(now)
                if now - proved_s > _PROOF_INTERVAL_S:
                    proved_s = now
                    self._relay.table.note_route_ok(names)
                if recovering is not None:
                    self._note_recovery(
                        recovering, detect_s, planned_s - failed_s, now - last_s
                    )
                    recovering = None
                if tokens[-1].finish:
                    self._done = True
                if self._trial.is_open:
                    self._trial.note_progress(
                        self._accepted.index, is_done=self._done
                    )
                visible = self._deliver(tokens)
                if visible:
                    yield visible
                if self._done:
                    return
        except exceptions.TargetError as exc:
            logging.debug("attempt %d: %s", self._attempt, exc)
        finally:
            cause = self._active.detach()
            self._stream = None
            if self._done:
                stream.release()
        if self.is_lent:
            # What follows may block, so the stream's own thread must do it.
            self._may_block = True
            yield []
        stream.release()
        self._judge(route, cause, failure)

    def _take(self, batches, layers):
        tokens: list[engines.Token] = []
        failure = ""
        for batch in batches:
            tokens += self._accepted.take(batch, self._attempt, layers)
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
        # An answer that was generated again must repeat what the caller has.
        digest = 0
        for text in accepted.texts[: self._delivered]:
            digest = hashing.digest64(text, digest)
        if digest != self._delivered_digest:
            raise exceptions.StreamLostError(
                "the engines did not repeat the answer so far",
                remedy="send the request again without Last-Event-ID",
                outcome=exceptions.Outcome.RAN,
            )
        fresh = accepted.index - self._delivered
        self._delivered = accepted.index
        self._delivered_digest = accepted.digest
        return tokens[len(tokens) - fresh :] if fresh else []

    def _preferred_route(self) -> list[engines.Hop] | None:
        """Returns the route whose engines remember the stream, if usable."""
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

    def _restart_partial(self) -> None:
        """Generates from the beginning if earlier tokens are not known."""
        if self._accepted.start:
            dropped = self._accepted.dropped
            self._accepted = acceptance.Accepted()
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
            self._dead_before.add(route[0].target)
            self._judge(route, models.Cause.TARGET_DIED, "")
        except exceptions.TargetError:
            self._judge(route, models.Cause.STALLED, route[0].target)
        return None

    def _judge(self, route, cause, failure: str) -> None:
        """Decides what the end of an attempt says about its targets."""
        relay = self._relay
        dead = failure or self._active.dead_target
        self._active.dead_target = ""
        if cause is None:
            cause = models.Cause.TARGET_DIED
            dead = dead or route[0].target
        elif cause is models.Cause.TARGET_DIED:
            dead = dead or route[0].target
        relay.causes[cause] += 1
        self._old_route, self._old_cause = route, cause
        logging.info(
            "attempt ended request=%s client=%s entry=%s attempt=%d "
            "cause=%s target=%s tokens=%d",
            self._req.id,
            self._req.client,
            self._req.model_name,
            self._attempt,
            cause.value,
            dead,
            self.index,
        )
        if cause is models.Cause.CALLER_LEFT:
            raise exceptions.StreamLostError(
                "the caller left", outcome=self._outcome()
            )
        if cause is models.Cause.DEADLINE:
            raise exceptions.DeadlineError(
                "the deadline passed", outcome=self._outcome()
            )
        if not relay.budget.take():
            raise exceptions.StreamLostError(
                "too many streams recover at once",
                outcome=self._outcome(),
                retry_after_s=_BUDGET_RETRY_S,
            )
        if cause is models.Cause.MOVED:
            return
        relay.cancel(route, self._req.id, self._attempt)
        if dead == UNKNOWN_STREAM:
            return
        if dead:
            relay.table.note_failure(dead, is_silent=True)
            self._avoid.add(dead)
        else:
            self._avoid.update(hop.target for hop in route)
        if cause is models.Cause.TARGET_DIED and self._is_new_death(dead):
            self._suspect_layer = _start_of(route, dead)
            self._death_route = {hop.target for hop in route}
            self._note_death()

    def _is_new_death(self, dead: str) -> bool:
        """Returns whether the request may be to blame for a death.

        Two targets of one route that die together, as with a rack, count
        as one death.
        """
        if dead in self._dead_before:
            return False
        return dead not in self._death_route

    def _note_death(self) -> None:
        standing = self._relay.guard.note_death(self._req.fingerprint)
        if standing is poisons.Standing.POISON:
            raise exceptions.PoisonError(
                "targets died twice while they ran this request",
                outcome=exceptions.Outcome.RAN,
            )

    def _route_request(self) -> policies.RouteRequest:
        req = self._req
        return policies.RouteRequest(
            req.model,
            req.prompt_tokens,
            avoid=frozenset(self._avoid),
            affinity=req.affinity,
            rank=req.priority.rank,
        )

    def _plan(self) -> list[engines.Hop]:
        """Returns a route, waiting for one while the deadline allows."""
        standing = self._relay.guard.standing(self._req.fingerprint)
        is_suspect = standing is poisons.Standing.SUSPECT
        while True:
            try:
                if is_suspect:
                    route = self._trial.plan(
                        self._route_request,
                        self._suspect_layer,
                        self._accepted.index,
                        self._outcome(),
                    )
                    return self._with_imports(route)
                route = self._relay.planner.plan(self._route_request())
                return self._with_imports(route)
            except exceptions.NoRouteError:
                if time.monotonic() + _PLAN_RETRY_S > self._req.deadline_s:
                    raise
                if sockets.has_left(self._req.caller):
                    raise
                time.sleep(_PLAN_RETRY_S)

    def _with_imports(self, route):
        """Adds KV imports where an old target still answers."""
        if self._old_cause not in (models.Cause.MOVED, models.Cause.STALLED):
            return route
        return kvimports.add_imports(
            self._req.model,
            route,
            self._old_route,
            self._relay.links,
            self._req.prompt_tokens + self.index,
        )

    def _note_recovery(self, cause, detect_s, plan_s, resume_s) -> None:
        self._old_cause = None
        self._relay.recoveries.append(
            models.Recovered(cause, detect_s, plan_s, resume_s)
        )

    def _outcome(self) -> exceptions.Outcome:
        if self._started:
            return exceptions.Outcome.RAN
        return exceptions.Outcome.NOT_RUN


def _start_of(route: list[engines.Hop], target: str) -> int:
    """Returns the first layer that a target runs on a route."""
    for hop in route:
        if hop.target == target:
            return hop.start
    return 0
