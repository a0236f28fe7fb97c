"""`POST /v1/completions`: drafts, whole or streamed."""

import random
import time
import uuid

from absl import logging
import msgspec

from briarfall import exceptions
from briarfall import hashing
from briarfall import httpserver
from briarfall import ids
from briarfall.catalogue import entries
from briarfall.daemon import accounts
from briarfall.daemon import bodies
from briarfall.pipelines import cursors
from briarfall.pipelines import models
from briarfall.pipelines import pump as pumps
from briarfall.pipelines import relay as relays
from briarfall.pipelines import runs

DEFAULT_DEADLINE_S = 120.0
MAX_DEADLINE_S = 3600.0
_ATTEMPTS_SKIPPED = 1000


class CompletionHandler:
    """Serves completions.

    Args:
        services: Parts of the instance that completions need.
    """

    def __init__(self, services):
        self._view = services.view
        self._relay: relays.Relay = services.relay
        self._limiter = services.limiter
        self._gates = services.gates
        self._estimator = services.estimator
        self._codec: cursors.CursorCodec = services.codec
        self._metrics = services.metrics
        self._ongoing = services.ongoing
        self._pump: pumps.Pump = services.pump

    def handle(self, req: httpserver.Request) -> httpserver.Response:
        """Serves one request."""
        view = self._view()
        client, account = accounts.client_of(req, view)
        body = models.parse_body(req.body)
        model = view.get(body.model, entries.Model)
        stream_req = self._prepare(req, client, account, body, model)
        exchange = _Exchange(self, stream_req, body.stream)
        exchange.is_chunked = req.environ.get(httpserver.IS_CHUNKED_KEY, False)
        try:
            return exchange.respond()
        except BaseException as exc:
            exchange.finish(exc)
            raise

    def _prepare(
        self,
        req: httpserver.Request,
        client: ids.ClientId,
        account: entries.Client,
        body: models.CompletionBody,
        model: entries.Model,
    ) -> models.StreamRequest:
        """Returns the request as the relay takes it."""
        _check_limits(body, model)
        priority = _priority(req, account, model)
        fingerprint = _fingerprint(client, body)
        stream_req = models.StreamRequest(
            id=ids.RequestId(f"cmpl-{uuid.uuid4().hex}"),
            client=client,
            model_name=ids.EntryName(body.model),
            model=model,
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            seed=random.randrange(models.MAX_SEED),
            priority=priority,
            deadline_s=time.monotonic() + deadline_s(req),
            fingerprint=fingerprint,
            affinity=models.prefix_hash(body.prompt),
            caller=req.environ.get(httpserver.SOCKET_KEY),
        )
        if body.seed is not None:
            stream_req.seed = body.seed
        position = req.header("Last-Event-ID")
        if position:
            cursor = self._codec.decode(position, client, fingerprint)
            stream_req.id = ids.RequestId(cursor.stream)
            stream_req.seed = cursor.seed
            stream_req.resume_index = cursor.index
            stream_req.resume_digest = cursor.digest
            stream_req.preferred = cursor.targets
            # The instance that died may have gone on for a few attempts.
            stream_req.resume_attempt = cursor.attempt + _ATTEMPTS_SKIPPED
        return stream_req


class _Exchange:
    """One request on its way through limits, relay and response."""

    def __init__(self, handler: CompletionHandler, req, is_streamed: bool):
        self._handler = handler
        self._req: models.StreamRequest = req
        self._is_streamed = is_streamed
        self._started_s = time.monotonic()
        self._created_s = int(time.time())
        self._entered: list = []
        self._run: runs.StreamRun | None = None
        self._tokens = None
        self._finished = False
        self._is_pending = False
        self.is_chunked = False

    def respond(self) -> httpserver.Response:
        """Returns the response once the first token is there."""
        self._admit()
        req = self._req
        if req.resume_index >= req.max_tokens:
            return self._respond_complete()
        self._run = self._handler._relay.run(req)
        self._tokens = iter(self._run)
        first = next(self._tokens)
        self._end_pending()
        self._handler._metrics.first_token.labels(req.model_name).observe(
            time.monotonic() - self._started_s
        )
        if self._is_streamed:
            headers = [
                ("Content-Type", "text/event-stream"),
                ("Cache-Control", "no-store"),
                ("Briarfall-Request", req.id),
            ]
            return httpserver.Response(200, self._driven(first), headers)
        return self._respond_whole(first)

    def finish(self, exc: BaseException | None) -> None:
        """Gives back what the request holds; only the first call counts."""
        if self._finished:
            return
        self._finished = True
        self._end_pending()
        if self._tokens is not None:
            self._tokens.close()
        handler, req = self._handler, self._req
        count = self._run.index if self._run else 0
        for leave in reversed(self._entered):
            leave(count)
        code = getattr(exc, "code", "internal") if exc else "ok"
        if isinstance(exc, GeneratorExit):
            code = "caller_left"
        handler._metrics.requests.labels(req.client, req.model_name, code).inc()
        handler._metrics.tokens.labels(req.model_name).inc(count)
        logging.info(
            "completion request=%s client=%s entry=%s code=%s tokens=%d "
            "seconds=%.3f",
            req.id,
            req.client,
            req.model_name,
            code,
            count,
            time.monotonic() - self._started_s,
        )

    def _end_pending(self) -> None:
        if self._is_pending:
            self._is_pending = False
            self._handler._estimator.end_pending(self._req)

    def _admit(self) -> None:
        """Passes the limits, or refuses at once."""
        handler, req = self._handler, self._req
        handler._ongoing.enter()
        self._entered.append(lambda count: handler._ongoing.leave())
        handler._limiter.enter(req.client)
        self._entered.append(
            lambda count: handler._limiter.leave(req.client, count)
        )
        handler._estimator.check(req)
        self._is_pending = True
        gate = handler._gates.get(req.model_name, req.model)
        gate.enter(req.priority, req.deadline_s)
        self._entered.append(lambda count: gate.leave())

    def _respond_complete(self) -> httpserver.Response:
        """Answers a caller that already has every token."""
        headers = [("Content-Type", "text/event-stream")]
        self.finish(None)
        return httpserver.Response(200, b"data: [DONE]\n\n", headers)

    def _respond_whole(self, first) -> httpserver.Response:
        accepted = list(first)
        steps = self._collect(accepted)
        for _ in steps:
            self._lend(steps, None)
        self.finish(None)
        text = "".join([token.text for token in accepted])
        choice = bodies.Choice(text, finish_reason=accepted[-1].finish)
        return httpserver.json_response(
            self._completion([choice], self._usage())
        )

    def _collect(self, accepted: list):
        """Yields nothing but pauses while tokens gather in `accepted`."""
        for tokens in self._tokens:
            accepted += tokens
            yield b""

    def _driven(self, first):
        """Yields events from this thread; between tokens the pump sends."""
        steps = self._events(first)
        sock = self._req.caller
        sink = None
        try:
            for data in steps:
                if data:
                    yield data
                if sink is None and sock is not None:
                    sink = pumps.Sink(sock, self.is_chunked)
                if sink is not None:
                    self._lend(steps, sink)
        finally:
            steps.close()

    def _lend(self, steps, sink: pumps.Sink | None) -> None:
        """Lends the stream to the pump until it may block."""
        run = self._run
        if run.may_block() or run.is_done():
            return
        run.is_nonblocking = run.fileno() >= 0
        if run.is_nonblocking:
            self._handler._pump.drive(steps, run, sink)
        run.is_nonblocking = False

    def _usage(self) -> bodies.Usage:
        prompt, answer = self._req.prompt_tokens, self._run.index
        return bodies.Usage(prompt, answer, prompt + answer)

    def _completion(self, choices, usage=None) -> bodies.Completion:
        return bodies.Completion(
            self._req.id,
            self._req.model_name,
            self._created_s,
            choices,
            usage,
        )

    def _events(self, first):
        """Yields server-sent events; always ends with a verdict."""
        error: BaseException | None = None
        try:
            yield from self._token_events(first)
            yield self._final_event()
        except exceptions.BriarfallError as exc:
            error = exc
            yield _error_event(exc)
        except GeneratorExit as exc:
            error = exc
            raise
        except Exception as exc:
            error = exc
            logging.exception("stream %s", self._req.id)
            yield _error_event(exceptions.StreamLostError("unexpected error"))
        finally:
            self.finish(error)

    def _token_events(self, first):
        run = self._run
        codec = self._handler._codec
        route = run.route
        prefix = self._cursor_prefix(route)
        head, tail = self._event_frame()
        encode = msgspec.json.encode
        tokens = first
        while tokens is not None:
            if run.route is not route:
                route = run.route
                prefix = self._cursor_prefix(route)
            text = "".join([token.text for token in tokens])
            event_id = codec.encode(prefix, run.index, run.digest)
            yield b"id: %b\ndata: %b%b%b\n\n" % (
                event_id,
                head,
                encode(text),
                tail,
            )
            tokens = next(self._tokens, None)
            while tokens == []:
                yield b""
                tokens = next(self._tokens, None)

    def _cursor_prefix(self, route) -> bytes:
        req = self._req
        return self._handler._codec.prefix(
            cursors.Cursor(
                req.client,
                req.id,
                req.seed,
                req.fingerprint,
                [hop.target for hop in route],
                self._run.attempt,
            )
        )

    def _event_frame(self) -> tuple[bytes, bytes]:
        """Returns what stands before and after the text of an event.

        The frame is the same for all events of a stream; encoding only the
        text keeps the cost of a token low.
        """
        mark = "\x00"
        whole = msgspec.json.encode(self._completion([bodies.Choice(mark)]))
        head, tail = whole.split(msgspec.json.encode(mark))
        return head, tail

    def _final_event(self) -> bytes:
        choice = bodies.Choice("", finish_reason="length")
        final = self._completion([choice], self._usage())
        return b"data: %b\n\ndata: [DONE]\n\n" % msgspec.json.encode(final)


def deadline_s(req: httpserver.Request) -> float:
    """Returns the seconds that the caller will still wait.

    Raises:
        BadRequestError: X-Deadline-Ms is no positive number.
    """
    text = req.header("X-Deadline-Ms")
    if not text:
        return DEFAULT_DEADLINE_S
    if not text.isdigit() or int(text) == 0:
        raise exceptions.BadRequestError(
            f"X-Deadline-Ms {text!r} is no number of milliseconds"
        )
    return min(int(text) / 1000, MAX_DEADLINE_S)


def _check_limits(body: models.CompletionBody, model: entries.Model) -> None:
    limits = model.limits
    if body.max_tokens > limits.max_tokens:
        raise exceptions.TooLargeError(
            f"max_tokens {body.max_tokens} exceeds {limits.max_tokens}"
        )
    if len(body.prompt.encode()) > limits.max_prompt_bytes:
        raise exceptions.TooLargeError(
            f"prompt exceeds {limits.max_prompt_bytes} bytes"
        )


def _priority(
    req: httpserver.Request, account: entries.Client, model: entries.Model
) -> entries.Priority:
    text = req.header("X-Priority")
    if not text:
        wanted = model.default_class
        return wanted if wanted in account.classes else account.classes[-1]
    try:
        wanted = entries.Priority(text)
    except ValueError as exc:
        names = ", ".join(item.value for item in entries.Priority)
        raise exceptions.BadRequestError(
            f"X-Priority {text!r} is unknown", remedy=f"use one of: {names}"
        ) from exc
    if wanted not in account.classes:
        raise exceptions.ForbiddenError(
            f"the client may not use class {text}",
            remedy="use a class of the client's entry",
        )
    return wanted


def _fingerprint(
    client: ids.ClientId, body: models.CompletionBody
) -> ids.Fingerprint:
    canonical = msgspec.json.encode(
        [client, body.model, body.prompt, body.max_tokens, body.seed],
    )
    return ids.Fingerprint(hashing.digest128_hex(canonical))


def _error_event(exc: exceptions.BriarfallError) -> bytes:
    body = httpserver.ErrorBody(httpserver.error_detail(exc))
    return b"event: error\ndata: %b\n\n" % msgspec.json.encode(body)
