"""Serves `POST /v1/completions`, streamed or as one response."""

import random
import time
import uuid

from absl import logging
import msgspec

from briarfall import decoding
from briarfall import exceptions
from briarfall import hashing
from briarfall import httpserver
from briarfall import ids
from briarfall.catalogue import entries
from briarfall.daemon import accounts
from briarfall.daemon import responsebodies
from briarfall.pipelines import cursors
from briarfall.pipelines import models
from briarfall.pipelines import pump as pumps
from briarfall.pipelines import relay as relays
from briarfall.pipelines import runs

DEFAULT_DEADLINE_S = 120.0
MAX_DEADLINE_S = 3600.0
_MAX_DEADLINE_MS = 10**12
_SKIPPED_ATTEMPTS = 1000


class CompletionHandler:
    """Serves completions.

    Args:
        services: The instance, whose components completions use.
    """

    def __init__(self, services):
        self._view = services.view
        self._relay: relays.Relay = services.relay
        self._limiter = services.limiter
        self._admission_gates = services.admission_gates
        self._estimator = services.estimator
        self._cursor_codec: cursors.CursorCodec = services.cursor_codec
        self._metrics = services.metrics
        self._in_flight_requests = services.in_flight_requests
        self._pump: pumps.Pump = services.pump

    def handle(self, req: httpserver.Request) -> httpserver.Response:
        """Serves one request."""
        view = self._view()
        client, account = accounts.authenticate_client(req, view)
        body = models.parse_body(req.body)
        model = view.get(body.model, entries.Model)
        stream_req = self._prepare(req, client, account, body, model)
        task = _CompletionTask(self, stream_req, body.stream)
        task.is_chunked = req.environ.get(httpserver.IS_CHUNKED_KEY, False)
        try:
            return task.respond()
        except BaseException as exc:
            task.finish(exc)
            raise

    def _prepare(
        self,
        req: httpserver.Request,
        client: ids.ClientId,
        account: entries.Client,
        body: models.CompletionBody,
        model: entries.Model,
    ) -> models.StreamRequest:
        """Validates a request and converts it for the relay.

        With a Last-Event-ID, the request continues the stream that the cursor
        names.
        """
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
            cursor = self._cursor_codec.decode(position, client, fingerprint)
            stream_req.id = ids.RequestId(cursor.stream)
            stream_req.seed = cursor.seed
            stream_req.resume_index = cursor.index
            stream_req.resume_digest = cursor.digest
            stream_req.preferred = cursor.targets
            # The previous instance may have made further attempts after it
            # issued the cursor; the skipped numbers keep new ones distinct.
            stream_req.resume_attempt = cursor.attempt + _SKIPPED_ATTEMPTS
        return stream_req


class _CompletionTask:
    """One request, from its admission to the end of its response.

    Attributes:
        is_chunked: Whether the response uses chunked transfer coding.
    """

    def __init__(self, handler: CompletionHandler, req, is_streamed: bool):
        self._handler = handler
        self._req: models.StreamRequest = req
        self._is_streamed = is_streamed
        self._started_s = time.monotonic()
        self._created_s = int(time.time())
        self._releases: list = []
        self._run: runs.StreamRun | None = None
        self._tokens = None
        self._finished = False
        self._is_pending = False
        self.is_chunked = False

    def respond(self) -> httpserver.Response:
        """Admits the request and returns its response after the first token."""
        self._admit()
        req = self._req
        if req.resume_index >= req.max_tokens:
            return self._respond_finished()
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
            return httpserver.Response(200, self._pump_events(first), headers)
        return self._respond_unstreamed(first)

    def finish(self, exc: BaseException | None) -> None:
        """Releases what the request holds and records how it ended.

        Only the first call has an effect.
        """
        if self._finished:
            return
        self._finished = True
        self._end_pending()
        if self._tokens is not None:
            self._tokens.close()
        handler, req = self._handler, self._req
        count = self._run.index if self._run else 0
        for release in reversed(self._releases):
            release(count)
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
        """Applies all limits; raises if one of them refuses the request."""
        handler, req = self._handler, self._req
        handler._in_flight_requests.enter()
        self._releases.append(lambda count: handler._in_flight_requests.leave())
        handler._limiter.enter(req.client)
        self._releases.append(
            lambda count: handler._limiter.leave(req.client, count)
        )
        handler._estimator.check(req)
        self._is_pending = True
        gate = handler._admission_gates.get(req.model_name, req.model)
        gate.enter(req.priority, req.deadline_s)
        self._releases.append(lambda count: gate.leave())

    def _respond_finished(self) -> httpserver.Response:
        """Responds to a caller that has received every token already."""
        headers = [("Content-Type", "text/event-stream")]
        self.finish(None)
        return httpserver.Response(200, b"data: [DONE]\n\n", headers)

    def _respond_unstreamed(self, first) -> httpserver.Response:
        accepted = list(first)
        steps = self._collect(accepted)
        for _ in steps:
            self._hand_to_pump(steps, None)
        self.finish(None)
        text = "".join([token.text for token in accepted])
        choice = responsebodies.Choice(text, finish_reason=accepted[-1].finish)
        return httpserver.json_response(
            self._completion([choice], self._usage())
        )

    def _collect(self, accepted: list):
        """Appends tokens to `accepted`; yields an empty event per batch."""
        for tokens in self._tokens:
            accepted += tokens
            yield b""

    def _pump_events(self, first):
        """Yields events on the connection's own thread.

        Between tokens the pump writes events to the caller directly.
        """
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
                    self._hand_to_pump(steps, sink)
        finally:
            steps.close()

    def _hand_to_pump(self, steps, sink: pumps.Sink | None) -> None:
        """Lets the pump advance `steps` until the next step may block."""
        run = self._run
        if run.may_block() or run.is_done():
            return
        run.is_nonblocking = run.fileno() >= 0
        if run.is_nonblocking:
            self._handler._pump.drive(steps, run, sink)
        run.is_nonblocking = False

    def _usage(self) -> responsebodies.Usage:
        prompt, answer = self._req.prompt_tokens, self._run.index
        return responsebodies.Usage(prompt, answer, prompt + answer)

    def _completion(self, choices, usage=None) -> responsebodies.Completion:
        return responsebodies.Completion(
            self._req.id,
            self._req.model_name,
            self._created_s,
            choices,
            usage,
        )

    def _events(self, first):
        """Yields server-sent events.

        The last event is always either `[DONE]` or an error event, unless
        the caller has disconnected.
        """
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
            logging.exception("stream %s: unexpected error", self._req.id)
            yield _error_event(exceptions.StreamLostError("unexpected error"))
        finally:
            self.finish(error)

    def _token_events(self, first):
        run = self._run
        cursor_codec = self._handler._cursor_codec
        route = run.route
        prefix = self._cursor_prefix(route)
        frame_head, frame_tail = self._event_frame()
        encode = msgspec.json.encode
        tokens = first
        while tokens is not None:
            if run.route is not route:
                route = run.route
                prefix = self._cursor_prefix(route)
            text = "".join([token.text for token in tokens])
            event_id = cursor_codec.encode(prefix, run.index, run.digest)
            yield b"id: %b\ndata: %b%b%b\n\n" % (
                event_id,
                frame_head,
                encode(text),
                frame_tail,
            )
            tokens = next(self._tokens, None)
            while tokens == []:
                yield b""
                tokens = next(self._tokens, None)

    def _cursor_prefix(self, route) -> bytes:
        req = self._req
        return self._handler._cursor_codec.prefix(
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
        """Returns the JSON before and after the text of an event.

        Both are the same for all events of a stream, so that only the text
        has to be encoded for each token.
        """
        placeholder = "\x00"
        frame = msgspec.json.encode(
            self._completion([responsebodies.Choice(placeholder)])
        )
        frame_head, frame_tail = frame.split(msgspec.json.encode(placeholder))
        return frame_head, frame_tail

    def _final_event(self) -> bytes:
        choice = responsebodies.Choice("", finish_reason="length")
        final = self._completion([choice], self._usage())
        return b"data: %b\n\ndata: [DONE]\n\n" % msgspec.json.encode(final)


def deadline_s(req: httpserver.Request) -> float:
    """Returns the seconds that the caller will still wait.

    Raises:
        BadRequestError: X-Deadline-Ms is not a positive number.
    """
    text = req.header("X-Deadline-Ms")
    if not text:
        return DEFAULT_DEADLINE_S
    time_ms = decoding.parse_count(text, _MAX_DEADLINE_MS)
    if not time_ms:
        raise exceptions.BadRequestError(
            f"X-Deadline-Ms {decoding.excerpt(text)!r} is no number of "
            f"milliseconds from 1 to {_MAX_DEADLINE_MS}"
        )
    return min(time_ms / 1000, MAX_DEADLINE_S)


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
        priority = model.default_class
        return priority if priority in account.classes else account.classes[-1]
    try:
        priority = entries.Priority(text)
    except ValueError as exc:
        names = ", ".join(item.value for item in entries.Priority)
        raise exceptions.BadRequestError(
            f"X-Priority {text!r} is unknown", remedy=f"use one of: {names}"
        ) from exc
    if priority not in account.classes:
        raise exceptions.ForbiddenError(
            f"the client may not use class {text}",
            remedy="use a class of the client's entry",
        )
    return priority


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
