"""HTTP client of briarfall for callers and operators."""

import collections.abc
import typing

import msgspec
from urllib3 import exceptions as urllib3_exceptions

from briarfall import decoding
from briarfall import exceptions
from briarfall import httpclient
from briarfall import httpserver
from briarfall.orders import keys

DEFAULT_TIMEOUT_S = 30.0
_MAX_RECONNECTS = 5
_MAX_RETRY_AFTER_S = 86_400
_OUTCOMES = {outcome.value: outcome for outcome in exceptions.Outcome}
_ERROR_TYPES: dict[str, type[exceptions.BriarfallError]] = {}


class _Choice(msgspec.Struct):
    text: str


_Choices = typing.Annotated[list[_Choice], msgspec.Meta(min_length=1)]


class _Chunk(msgspec.Struct):
    choices: _Choices


class _Usage(msgspec.Struct):
    completion_tokens: int


class _Completion(msgspec.Struct):
    id: str
    choices: _Choices
    usage: _Usage


_CHUNK_DECODER = msgspec.json.Decoder(_Chunk)
_COMPLETION_DECODER = msgspec.json.Decoder(_Completion)


class Draft(msgspec.Struct):
    """A complete answer.

    Attributes:
        text: The generated text.
        request: Id of the request.
        tokens: Number of generated tokens.
    """

    text: str
    request: str = ""
    tokens: int = 0


class Event(msgspec.Struct):
    """Text of a streamed answer; `id` is the position to resume after it."""

    id: str
    text: str


class Session:
    """Sends requests to one or more instances with the key of one account.

    Args:
        urls: Base URLs of instances, or of the load balancer before them.
        key: The account's key.
        timeout_s: Longest wait for a response or between two events.
    """

    def __init__(
        self,
        urls: str | list[str],
        key: str = "",
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ):
        urls = [urls] if isinstance(urls, str) else urls
        self._clients = [httpclient.HttpClient(url) for url in urls]
        self._headers = {"Authorization": f"Bearer {key}"} if key else {}
        self._timeout_s = timeout_s

    def __enter__(self) -> "Session":
        return self

    def __exit__(self, *exc_info) -> None:
        self.close()

    def close(self) -> None:
        """Closes pooled connections."""
        for client in self._clients:
            client.close()

    def complete(self, model: str, prompt: str, **options) -> Draft:
        """Returns the complete answer to a prompt.

        Args:
            model: Name of the model's entry.
            prompt: The prompt.
            **options: `max_tokens`, `seed`, `deadline_ms`, `priority`.
        """
        body, headers = _encode_completion(model, prompt, False, options)
        reply = self.send("POST", "/v1/completions", body, headers)
        data = decoding.decode(
            _COMPLETION_DECODER, reply.body, "answer", exceptions.TargetError
        )
        return Draft(
            data.choices[0].text, data.id, data.usage.completion_tokens
        )

    def stream(
        self, model: str, prompt: str, *, last_event_id: str = "", **options
    ) -> collections.abc.Iterator[Event]:
        """Yields an answer while it is generated.

        If the connection breaks or an instance reports the stream as lost, the
        next instance continues it after the last event that was received.

        Args:
            model: Name of the model's entry.
            prompt: The prompt.
            last_event_id: `id` of the event to resume after, or empty.
            **options: As for `complete`.

        Raises:
            BriarfallError: An instance refused the request, or the stream
                was lost on every attempt.
        """
        body, headers = _encode_completion(model, prompt, True, options)
        position = last_event_id
        for attempt in range(_MAX_RECONNECTS + 1):
            client = self._clients[attempt % len(self._clients)]
            if position:
                headers["Last-Event-ID"] = position
            try:
                for event in self._open_events(client, body, headers):
                    position = event.id or position
                    yield event
                return
            except exceptions.TargetError as exc:
                failure = exc
            except exceptions.StreamLostError as exc:
                failure = exc
        raise failure

    def call(
        self,
        service: str,
        path: str,
        body: bytes = b"",
        *,
        method: str = "POST",
        key: str = "",
    ) -> httpclient.Reply:
        """Calls a plain service; creates an idempotency key if none is given.

        If the connection to an instance is lost, the call is sent to the next
        instance with the same key, which prevents a second execution.
        """
        headers = {"Idempotency-Key": key or keys.new_key()}
        path = f"/services/{service}/{path.lstrip('/')}"
        return self.send(method, path, body, headers)

    def send(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> httpclient.Reply:
        """Sends a request to the instances in turn until one responds.

        Raises:
            BriarfallError: The error that the instance reported, or the last
                failure if no instance responded.
        """
        failure: exceptions.BriarfallError | None = None
        for client in self._clients:
            try:
                reply = client.send(
                    method,
                    path,
                    body=body,
                    headers={**self._headers, **(headers or {})},
                    timeout_s=self._timeout_s,
                )
            except exceptions.TargetError as exc:
                failure = exc
                continue
            if reply.status >= 400:
                raise error_of(reply)
            return reply
        assert failure is not None
        raise failure

    def _open_events(self, client, body, headers):
        resp = client.open(
            "POST",
            "/v1/completions",
            body=body,
            headers={**self._headers, **headers},
            timeout_s=self._timeout_s,
        )
        try:
            if resp.status >= 400:
                raise error_of(client.read(resp))
            yield from _parse_events(_read_lines(resp))
        finally:
            resp.close()


def _encode_completion(
    model: str, prompt: str, is_streamed: bool, options: dict
):
    options = dict(options)
    headers = {}
    deadline_ms = options.pop("deadline_ms", None)
    priority = options.pop("priority", None)
    if deadline_ms:
        headers["X-Deadline-Ms"] = str(deadline_ms)
    if priority:
        headers["X-Priority"] = priority
    body = {
        "model": model,
        "prompt": prompt,
        "stream": is_streamed,
        **options,
    }
    return msgspec.json.encode(body), headers


def _read_lines(resp):
    buffer = b""
    while True:
        try:
            data = resp.read1(65_536)
        except (urllib3_exceptions.HTTPError, OSError) as exc:
            raise exceptions.TargetError(f"stream broke: {exc}") from exc
        if not data:
            return
        buffer += data
        *lines, buffer = buffer.split(b"\n")
        yield from lines


def _parse_events(lines):
    """Yields events; raises if the stream ends without its final event."""
    event_id = ""
    event_type = ""
    for line in lines:
        if line.startswith(b"id: "):
            event_id = _decode_text(line[4:])
        elif line.startswith(b"event: "):
            event_type = _decode_text(line[7:])
        elif line == b"data: [DONE]":
            return
        elif line.startswith(b"data: ") and event_type == "error":
            raise _error_from(line[6:], 0)
        elif line.startswith(b"data: "):
            chunk = decoding.decode(
                _CHUNK_DECODER, line[6:], "event", exceptions.TargetError
            )
            text = chunk.choices[0].text
            if text:
                yield Event(event_id, text)
    raise exceptions.TargetError(
        "stream ended without [DONE] or an error event"
    )


def _decode_text(data: bytes) -> str:
    try:
        return data.decode()
    except UnicodeDecodeError as exc:
        raise decoding.failure(
            "field of an event", exc, exceptions.TargetError
        ) from exc


def error_of(reply: httpclient.Reply) -> exceptions.BriarfallError:
    """Returns the error that an error response reports."""
    exc = _error_from(reply.body, reply.status)
    retry_after = reply.headers.get("Retry-After", "")
    retry_after_s = decoding.parse_count(retry_after, _MAX_RETRY_AFTER_S)
    if retry_after_s is not None:
        exc.retry_after_s = float(retry_after_s)
    exc.response = reply
    return exc


def _error_from(data: bytes, status: int) -> exceptions.BriarfallError:
    try:
        detail = decoding.decode_json(
            data, httpserver.ErrorBody, "error body"
        ).error
    except exceptions.CatalogueError:
        return exceptions.TargetError(
            f"status {status} without an error body: {data[:200]!r}"
        )
    error_type = _error_types().get(detail.code, exceptions.BriarfallError)
    exc = error_type.__new__(error_type)
    exceptions.BriarfallError.__init__(
        exc,
        detail.message,
        remedy=detail.remedy,
        outcome=_OUTCOMES.get(detail.outcome, exceptions.Outcome.UNKNOWN),
    )
    exc.code = detail.code
    return exc


def _error_types() -> dict[str, type[exceptions.BriarfallError]]:
    if not _ERROR_TYPES:
        pending = [exceptions.BriarfallError]
        while pending:
            error_type = pending.pop()
            _ERROR_TYPES[error_type.code] = error_type
            pending += error_type.__subclasses__()
    return _ERROR_TYPES
