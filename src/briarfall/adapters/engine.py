"""Model engines: token streams, load reports and commands."""

import abc
import http.client
import socket

import msgspec
import urllib3
from urllib3 import connection
from urllib3 import exceptions as urllib3_exceptions

from briarfall import decoding
from briarfall import exceptions
from briarfall import httpclient
from briarfall import ids
from briarfall import sockets

_CALL_TIMEOUT_S = 1.0
_STREAM_TIMEOUT_S = 300
_CHUNK_BYTES = 65_536
_EVENT_END = b"\n\n"
_EVENT_PREFIX = b"data: "


class Hop(msgspec.Struct, frozen=True):
    """One stage of a route: layers `[start, end)` on one engine.

    Attributes:
        target: Id of the engine.
        url: Base URL of the engine.
        start: First layer to run.
        end: Layer after the last one to run.
        kv_from: URL of an engine to import the stream's KV cache from.
    """

    target: ids.TargetId
    url: str
    start: int
    end: int
    kv_from: str = ""


class GenerateCall(msgspec.Struct):
    """The request for a stream, sent to the head engine of a route.

    Attributes:
        stream: Identifies the stream over all its attempts.
        attempt: Number of the attempt, from 1.
        prompt: The prompt.
        accepted: Tokens that the caller already has; the engine continues
            after them.
        max_tokens: Length of the complete answer, `accepted` included.
        seed: Seed of the sampler.
        priority: 0 is the most urgent.
        deadline_ms: Time that the caller will still wait, 0 for no limit.
        route: All stages in layer order.
        resume_index: Number of tokens to read from the engine's own state
            of the stream instead of from `accepted`, or -1.
    """

    stream: str
    attempt: int
    prompt: str
    accepted: list[str]
    max_tokens: int
    seed: int
    priority: int
    deadline_ms: int
    route: list[Hop]
    resume_index: int = -1


class Token(msgspec.Struct, array_like=True, gc=False):
    """One generated token and the layers that computed it.

    Attributes:
        index: Position in the answer, from 0.
        text: The token's text.
        attempt: Number of the attempt that computed it.
        layers: The layer ranges that ran, in order, as `(start, end)`.
        finish: Reason that the answer ends with this token, or empty.
    """

    index: int
    text: str
    attempt: int
    layers: list[tuple[int, int]]
    finish: str = ""


class TokenBatch(msgspec.Struct, gc=False):
    """Tokens that an engine sent together, or the reason a stream ended.

    Attributes:
        tokens: Tokens in the order of generation.
        error: Code of a failure that ended the attempt, or empty.
        target: The target that failed, or empty if it is unknown.
        running: Number of sequences at the head engine, as load information,
            or -1.
    """

    tokens: list[Token] = []
    error: str = ""
    target: str = ""
    running: int = -1


class LoadReport(msgspec.Struct):
    """Load of an engine at a time in the past.

    Attributes:
        running: Sequences in the current batch.
        waiting: Sequences that wait for a batch.
        age_s: Age of the figures, in seconds.
        leaving: Whether the engine is draining.
    """

    running: int
    waiting: int
    age_s: float = 0.0
    leaving: bool = False


class EngineCommand(msgspec.Struct):
    """A command to load a model; `fence` is the lease's fencing number."""

    fence: int
    model: str
    version: str
    adapter: str = ""
    role: str = "decode"


class EngineState(msgspec.Struct):
    """The model that an engine holds, and its highest fencing number."""

    model: str
    version: str
    adapter: str = ""
    role: str = "decode"
    fence: int = 0
    loading: bool = False


class CacheEvent(msgspec.Struct):
    """A prompt prefix that an engine's cache stored or evicted."""

    sequence: int
    prefix: str
    stored: bool


class EngineStream(abc.ABC):
    """An open stream of tokens."""

    @abc.abstractmethod
    def read(self) -> list[TokenBatch] | None:
        """Waits for batches and returns them, or None at the end.

        Raises:
            TargetError: The connection broke, or `close` was called.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the stream; may be called from another thread.

        A `read` that is blocked returns or raises at once.
        """

    def release(self) -> None:
        """Releases the connection after `read` has returned None."""
        self.close()

    def fileno(self) -> int:
        """Returns a descriptor that polls readable on new data, or -1."""
        return -1

    def read_ready(self) -> list[TokenBatch] | None:
        """Returns the batches that have arrived, or None at the end.

        Never blocks. Only for streams with a descriptor; raises as `read`
        does.
        """
        raise NotImplementedError


class EngineAdapter(abc.ABC):
    """One engine."""

    @abc.abstractmethod
    def generate(self, call: GenerateCall) -> EngineStream:
        """Starts a stream at this engine as the head of the route.

        Does not wait for the engine's response.

        Raises:
            TargetUnreachableError: No byte can have been sent.
            TargetError: The connection broke.
        """

    @abc.abstractmethod
    def cancel(self, stream: str, attempt: int) -> None:
        """Cancels the attempts of a stream up to number `attempt`.

        The number protects a later attempt, which may already run when the
        cancellation arrives.
        """

    @abc.abstractmethod
    def load(self, timeout_s: float) -> LoadReport:
        """Returns the engine's load report."""

    @abc.abstractmethod
    def cache_events(self, since: int) -> list[CacheEvent]:
        """Returns cache events after a sequence number; some may be missing."""

    @abc.abstractmethod
    def command(self, command: EngineCommand) -> EngineState:
        """Sends a command and returns the resulting state of the engine.

        Raises:
            FencedError: The engine has seen a higher fencing number.
            LimitError: The weight store refused the load for now.
        """

    @abc.abstractmethod
    def state(self) -> EngineState:
        """Returns the engine's state."""

    @abc.abstractmethod
    def close(self) -> None:
        """Releases connections."""


class HttpEngineStream(EngineStream):
    """A stream of server-sent events over HTTP."""

    def __init__(self, conn: connection.HTTPConnection):
        self._conn = conn
        self._sock: socket.socket = conn.sock
        self._resp: urllib3.BaseHTTPResponse | None = None
        self._body: sockets.ChunkedBody | None = None
        self._buffer = b""
        self._decoder = msgspec.json.Decoder(TokenBatch)

    def fileno(self) -> int:
        """Returns the socket's descriptor; see the base class."""
        return -1 if self._body is None else self._sock.fileno()

    def read(self) -> list[TokenBatch] | None:
        """Reads what has arrived; see the base class."""
        while True:
            data = self._receive()
            if not data:
                return None
            batches = self._parse(data)
            if batches:
                return batches

    def read_ready(self) -> list[TokenBatch] | None:
        """Reads without waiting; see the base class."""
        try:
            data = self._body.receive(socket.MSG_DONTWAIT)
        except BlockingIOError:
            return []
        except (OSError, ValueError) as exc:
            raise exceptions.TargetError(f"stream broke: {exc}") from exc
        if data is None:
            return None
        return self._parse(data)

    def _parse(self, data: bytes) -> list[TokenBatch]:
        self._buffer += data
        end = self._buffer.rfind(_EVENT_END)
        if end < 0:
            return []
        complete = self._buffer[:end]
        self._buffer = self._buffer[end + len(_EVENT_END) :]
        return self._decode(complete)

    def _read_head(self) -> None:
        """Reads the response's head, which may come with the first token."""
        self._resp = self._conn.getresponse()
        sockets.set_kernel_timeout(self._sock, _STREAM_TIMEOUT_S)
        if self._resp.status != 200:
            raise exceptions.TargetError(
                f"generate answered with status {self._resp.status}, not 200",
                outcome=exceptions.Outcome.NOT_RUN,
            )
        self._body = sockets.detach_chunked_body(self._resp, self._sock)

    def _receive(self) -> bytes | None:
        try:
            if self._resp is None:
                self._read_head()
            if self._body is not None:
                return self._body.receive_some()
            return self._resp.read1(_CHUNK_BYTES)
        except (
            urllib3_exceptions.HTTPError,
            http.client.HTTPException,
            OSError,
            ValueError,
            AttributeError,
        ) as exc:
            raise exceptions.TargetError(f"stream broke: {exc}") from exc

    def _decode(self, data: bytes) -> list[TokenBatch]:
        batches = []
        for event in data.split(_EVENT_END):
            batch = decoding.decode(
                self._decoder,
                event[len(_EVENT_PREFIX) :],
                "event of a stream",
                exceptions.TargetError,
            )
            batches.append(batch)
        return batches

    def close(self) -> None:
        """Shuts the connection down; the reading thread then releases it."""
        sockets.shut(self._sock)

    def release(self) -> None:
        """Closes the connection and its response."""
        self._conn.close()
        if self._resp is not None:
            self._resp.close()


class HttpEngineAdapter(EngineAdapter):
    """An engine over HTTP with JSON bodies."""

    def __init__(self, url: str):
        self._http = httpclient.HttpClient(url)

    def generate(self, call: GenerateCall) -> EngineStream:
        """Starts a stream; see the base class."""
        body = msgspec.json.encode(call)
        conn = self._http.start("POST", "/generate", body, _STREAM_TIMEOUT_S)
        return HttpEngineStream(conn)

    def cancel(self, stream: str, attempt: int) -> None:
        """Cancels a stream; see the base class."""
        self._http.send(
            "POST",
            f"/cancel/{stream}?attempt={attempt}",
            timeout_s=_CALL_TIMEOUT_S,
        )

    def load(self, timeout_s: float) -> LoadReport:
        """Reads the load report; see the base class."""
        reply = self._http.send("GET", "/load", timeout_s=timeout_s)
        return _decode_reply(reply, LoadReport)

    def cache_events(self, since: int) -> list[CacheEvent]:
        """Reads cache events; see the base class."""
        reply = self._http.send(
            "GET", f"/events?since={since}", timeout_s=_CALL_TIMEOUT_S
        )
        return _decode_reply(reply, list[CacheEvent])

    def command(self, command: EngineCommand) -> EngineState:
        """Sends a command; see the base class."""
        reply = self._http.send(
            "POST",
            "/orders",
            body=msgspec.json.encode(command),
            timeout_s=_CALL_TIMEOUT_S,
        )
        if reply.status == 409:
            raise exceptions.FencedError(
                f"{self._http.base_url} refused a command with fencing number "
                f"{command.fence}: it has seen a higher one"
            )
        if reply.status == 429:
            raise exceptions.LimitError(
                f"{self._http.base_url}: the weight store refused the load; "
                "retry later"
            )
        return _decode_reply(reply, EngineState)

    def state(self) -> EngineState:
        """Reads the engine's state; see the base class."""
        reply = self._http.send("GET", "/state", timeout_s=_CALL_TIMEOUT_S)
        return _decode_reply(reply, EngineState)

    def close(self) -> None:
        """Closes pooled connections."""
        self._http.close()


def _decode_reply(reply: httpclient.Reply, kind):
    if reply.status != 200:
        raise exceptions.TargetError(
            f"engine answered with status {reply.status}, not 200"
        )
    return decoding.decode_json(
        reply.body, kind, "response of an engine", exceptions.TargetError
    )
