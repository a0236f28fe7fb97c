"""Authenticated links between instances: websockets that carry CBOR."""

import concurrent.futures
import contextlib
import enum
import hmac
import itertools
import os
import socket
import ssl
import threading

from absl import logging
import cbor2
import msgspec
from websockets import exceptions as ws_exceptions
from websockets.sync import client as ws_client
from websockets.sync import server as ws_server

from briarfall import exceptions
from briarfall import settings

_MAX_MESSAGE_BYTES = 4 << 20
_CONNECT_TIMEOUT_S = 1.0
_HANDSHAKE_TIMEOUT_S = 2.0
_NONCE_BYTES = 16
_CALL_THREADS = 64
_ERRORS = {
    kind.code: kind
    for kind in (
        exceptions.LogUnavailableError,
        exceptions.NotReadyError,
        exceptions.BadRequestError,
        exceptions.LimitError,
    )
}


class Kind(enum.IntEnum):
    """Kinds of messages on a link."""

    CALL = 0
    REPLY = 1
    ERROR = 2
    CAST = 3


class Counters:
    """Bytes and messages on all links of an instance."""

    def __init__(self):
        self.sent_bytes = 0
        self.received_bytes = 0
        self.messages = 0

    def note_sent(self, size: int) -> None:
        """Counts a message that was sent."""
        self.sent_bytes += size
        self.messages += 1

    def note_received(self, size: int) -> None:
        """Counts a message that was received."""
        self.received_bytes += size
        self.messages += 1


class Security:
    """Keys and certificates of links.

    Args:
        secrets: Accepted shared keys; the first one is used to answer.
        tls: Certificate files, or None.
    """

    def __init__(self, secrets: list[str], tls: settings.Tls | None = None):
        self._keys = [b"peer:" + secret.encode() for secret in secrets]
        self._tls = tls

    @property
    def scheme(self) -> str:
        """The scheme of link URLs."""
        return "wss" if self._tls else "ws"

    def context(self, *, server: bool) -> ssl.SSLContext | None:
        """Returns a context that requires certificates on both sides."""
        if self._tls is None:
            return None
        side = ssl.PROTOCOL_TLS_SERVER if server else ssl.PROTOCOL_TLS_CLIENT
        context = ssl.SSLContext(side)
        context.load_cert_chain(self._tls.certificate, self._tls.key)
        context.load_verify_locations(self._tls.authority)
        context.verify_mode = ssl.CERT_REQUIRED
        context.check_hostname = not server
        return context

    def proofs(self, role: bytes, nonces: bytes) -> list[bytes]:
        """Returns the proofs that are valid for a side of a handshake."""
        return [hmac.digest(key, role + nonces, "sha256") for key in self._keys]

    def accepts(self, proof: bytes, role: bytes, nonces: bytes) -> bool:
        """Returns whether a peer's proof is valid."""
        valid = False
        for expected in self.proofs(role, nonces):
            valid |= hmac.compare_digest(expected, proof)
        return valid


class Handlers:
    """Functions that serve calls and casts of peers, by method."""

    def __init__(self):
        self._by_method: dict[str, tuple] = {}

    def add(self, method: str, kind, handler) -> None:
        """Serves `method` with a message of type `kind`."""
        self._by_method[method] = (kind, handler)

    def run(self, method: str, payload):
        """Runs the handler of a method and returns its result."""
        found = self._by_method.get(method)
        if found is None:
            raise exceptions.BadRequestError(f"no method {method!r}")
        kind, handler = found
        try:
            message = msgspec.convert(payload, kind, strict=False)
        except msgspec.ValidationError as exc:
            raise exceptions.BadRequestError(f"{method}: {exc}") from exc
        return handler(message)


class Connection:
    """One authenticated link; `run` reads it until it closes."""

    def __init__(self, socket, handlers: Handlers, pool, counters: Counters):
        self._socket = socket
        self._handlers = handlers
        self._pool = pool
        self._counters = counters
        self._serial = itertools.count(1)
        self._pending: dict[int, concurrent.futures.Future] = {}
        self._lock = threading.Lock()
        self.closed = threading.Event()

    def call(self, method: str, message, kind, timeout_s: float):
        """Calls the peer and returns its answer as `kind`.

        Raises:
            PeerError: No answer came; the call may have been served.
            BriarfallError: The peer's handler raised it.
        """
        number = next(self._serial)
        fut: concurrent.futures.Future = concurrent.futures.Future()
        with self._lock:
            self._pending[number] = fut
        try:
            self._send(Kind.CALL, number, method, message)
            payload = fut.result(timeout_s)
        except concurrent.futures.TimeoutError as exc:
            raise exceptions.PeerError(f"{method}: no answer") from exc
        finally:
            with self._lock:
                self._pending.pop(number, None)
        if kind is None:
            return None
        return msgspec.convert(payload, kind, strict=False)

    def cast(self, method: str, message) -> None:
        """Sends a message that needs no answer."""
        self._send(Kind.CAST, 0, method, message)

    def run(self) -> None:
        """Reads messages until the link closes."""
        try:
            for data in self._socket:
                self._counters.note_received(len(data))
                self._receive(data)
        except ws_exceptions.ConnectionClosed:
            pass
        finally:
            self.close()

    def close(self) -> None:
        """Closes the link and fails its pending calls."""
        self.closed.set()
        with self._lock:
            pending = list(self._pending.values())
        for fut in pending:
            if not fut.done():
                fut.set_exception(exceptions.PeerError("link closed"))
        _close_socket(self._socket)

    def _send(self, kind: Kind, number: int, method: str, message) -> None:
        payload = msgspec.to_builtins(message, builtin_types=(bytes,))
        data = cbor2.dumps([int(kind), number, method, payload])
        self._counters.note_sent(len(data))
        try:
            self._socket.send(data)
        except (ws_exceptions.WebSocketException, OSError) as exc:
            self.close()
            raise exceptions.PeerError(f"link broke: {exc}") from exc

    def _receive(self, data) -> None:
        try:
            kind, number, method, payload = cbor2.loads(data)
            kind = Kind(kind)
        except Exception as exc:
            # The decoder raises many types on garbage; all mean the same.
            logging.warning("malformed message on a link: %s", exc)
            raise exceptions.PeerError("malformed message") from exc
        if kind is Kind.CAST:
            self._serve_cast(method, payload)
            return
        if kind is Kind.CALL:
            self._pool.submit(self._serve_call, number, method, payload)
            return
        with self._lock:
            fut = self._pending.get(number)
        if fut is None or fut.done():
            return
        if kind is Kind.ERROR:
            fut.set_exception(_error_of(payload))
            return
        fut.set_result(payload)

    def _serve_cast(self, method: str, payload) -> None:
        try:
            self._handlers.run(method, payload)
        except exceptions.BriarfallError as exc:
            logging.warning("cast %s: %s", method, exc)

    def _serve_call(self, number: int, method: str, payload) -> None:
        try:
            result = self._handlers.run(method, payload)
            self._send(Kind.REPLY, number, "", result)
        except exceptions.PeerError:
            return
        except exceptions.BriarfallError as exc:
            self._send_error(number, exc)
        except Exception:
            logging.exception("call %s", method)
            self._send_error(
                number, exceptions.BriarfallError("unexpected error")
            )

    def _send_error(self, number: int, exc) -> None:
        try:
            self._send(
                Kind.ERROR,
                number,
                "",
                [exc.code, exc.message, exc.outcome.value],
            )
        except exceptions.PeerError:
            return


class LinkListener:
    """Accepts links from other instances."""

    def __init__(
        self,
        name: str,
        listener: settings.Listener,
        security: Security,
        handlers: Handlers,
        counters: Counters,
    ):
        self._name = name
        self._security = security
        self._handlers = handlers
        self._counters = counters
        self._pool = concurrent.futures.ThreadPoolExecutor(
            _CALL_THREADS, thread_name_prefix="peer-call"
        )
        self._open: set[Connection] = set()
        self._server = ws_server.serve(
            self._accept,
            listener.host,
            listener.port,
            ssl=security.context(server=True),
            compression=None,
            max_size=_MAX_MESSAGE_BYTES,
            ping_interval=None,
            close_timeout=0.2,
        )

    @property
    def address(self) -> str:
        """The bound `host:port`."""
        host, port = self._server.socket.getsockname()[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Starts accepting on a thread of its own."""
        threading.Thread(
            target=self._server.serve_forever, name="peers", daemon=True
        ).start()

    def stop(self) -> None:
        """Closes the listener and all links."""
        self._server.shutdown()
        for conn in list(self._open):
            conn.close()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _accept(self, socket) -> None:
        try:
            _handshake(socket, self._name, self._security, b"server")
        except exceptions.PeerError as exc:
            logging.warning("peer refused: %s", exc)
            return
        conn = Connection(socket, self._handlers, self._pool, self._counters)
        self._open.add(conn)
        try:
            conn.run()
        except exceptions.PeerError:
            pass
        finally:
            self._open.discard(conn)


def connect(
    name: str,
    address: str,
    security: Security,
    handlers: Handlers,
    pool,
    counters: Counters,
) -> Connection:
    """Opens a link to `host:port` and starts reading it.

    Raises:
        PeerError: The peer cannot be reached or is not one of ours.
    """
    stack = contextlib.ExitStack()
    try:
        opening = ws_client.connect(
            f"{security.scheme}://{address}",
            ssl=security.context(server=False),
            compression=None,
            max_size=_MAX_MESSAGE_BYTES,
            open_timeout=_CONNECT_TIMEOUT_S,
            ping_interval=None,
            close_timeout=0.2,
            proxy=None,
        )
        socket = stack.enter_context(opening)
    except (OSError, TimeoutError, ws_exceptions.WebSocketException) as exc:
        raise exceptions.PeerError(f"{address}: {exc}") from exc
    try:
        _handshake(socket, name, security, b"client")
    except exceptions.PeerError:
        _close_socket(socket)
        raise
    conn = Connection(socket, handlers, pool, counters)
    threading.Thread(
        target=_run_quietly, args=(conn,), name=f"link-{address}", daemon=True
    ).start()
    return conn


def _run_quietly(conn: Connection) -> None:
    try:
        conn.run()
    except exceptions.PeerError:
        pass


def _handshake(socket, name: str, security: Security, role: bytes) -> None:
    """Proves knowledge of the shared key in both directions."""
    mine = os.urandom(_NONCE_BYTES)
    try:
        socket.send(cbor2.dumps([name, mine]))
        _, theirs = cbor2.loads(socket.recv(timeout=_HANDSHAKE_TIMEOUT_S))
        is_client = role == b"client"
        nonces = mine + theirs if is_client else theirs + mine
        socket.send(cbor2.dumps(security.proofs(role, nonces)))
        proofs = cbor2.loads(socket.recv(timeout=_HANDSHAKE_TIMEOUT_S))
        other = b"server" if is_client else b"client"
        if any(security.accepts(proof, other, nonces) for proof in proofs):
            return
    except Exception as exc:
        # Whatever a stranger sends, the link is refused in the same way.
        raise exceptions.PeerError(f"handshake failed: {exc}") from exc
    raise exceptions.PeerError("peer does not know the shared key")


def _error_of(payload) -> exceptions.BriarfallError:
    code, message, outcome = payload
    kind = _ERRORS.get(code, exceptions.PeerError)
    return kind(message, outcome=exceptions.Outcome(outcome))


def _close_socket(conn) -> None:
    # The closing handshake would wait for a peer that may be gone.
    try:
        conn.socket.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
