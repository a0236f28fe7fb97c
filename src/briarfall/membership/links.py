"""Authenticated links between instances: CBOR messages over WebSocket."""

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

from briarfall import decoding
from briarfall import exceptions
from briarfall import settings

_MAX_MESSAGE_BYTES = 4 << 20
_CONNECT_TIMEOUT_S = 1.0
_HANDSHAKE_TIMEOUT_S = 2.0
_NONCE_BYTES = 16
_CALL_THREADS = 64
# Errors of a peer's handler that the caller raises again. All other errors
# are raised as PeerError.
_ERRORS_BY_CODE = {
    error.code: error
    for error in (
        exceptions.LogUnavailableError,
        exceptions.NotReadyError,
        exceptions.BadRequestError,
        exceptions.LimitError,
    )
}


class Kind(enum.IntEnum):
    """Kinds of messages on a link. ONE_WAY messages get no reply."""

    CALL = 0
    REPLY = 1
    ERROR = 2
    ONE_WAY = 3


class Counters:
    """Counts of bytes and messages on all links of an instance."""

    def __init__(self):
        self.sent_bytes = 0
        self.received_bytes = 0
        self.messages = 0

    def record_sent(self, size: int) -> None:
        """Records a message that was sent."""
        self.sent_bytes += size
        self.messages += 1

    def record_received(self, size: int) -> None:
        """Records a message that was received."""
        self.received_bytes += size
        self.messages += 1


class Security:
    """Keys and certificates of links.

    Args:
        secrets: Accepted shared keys.
        tls: Certificate files, or None for links without TLS.
    """

    def __init__(self, secrets: list[str], tls: settings.Tls | None = None):
        self._keys = [b"peer:" + secret.encode() for secret in secrets]
        self._tls = tls

    @property
    def scheme(self) -> str:
        """URL scheme of links."""
        return "wss" if self._tls else "ws"

    def context(self, *, server: bool) -> ssl.SSLContext | None:
        """Returns a TLS context for mutual authentication, or None."""
        if self._tls is None:
            return None
        side = ssl.PROTOCOL_TLS_SERVER if server else ssl.PROTOCOL_TLS_CLIENT
        context = ssl.SSLContext(side)
        context.load_cert_chain(self._tls.certificate, self._tls.key)
        context.load_verify_locations(self._tls.authority)
        context.verify_mode = ssl.CERT_REQUIRED
        context.check_hostname = not server
        if server:
            # No link resumes a session. A ticket arrives after the handshake:
            # the client's thread would read it, and wait for more in the TLS
            # library, while another one sends the first request, which may
            # then hang.
            context.num_tickets = 0
        return context

    def proofs(self, role: bytes, nonces: bytes) -> list[bytes]:
        """Returns the valid proofs for one side of a handshake, by key."""
        return [hmac.digest(key, role + nonces, "sha256") for key in self._keys]

    def accepts(self, proof: bytes, role: bytes, nonces: bytes) -> bool:
        """Returns whether a peer's proof is valid."""
        valid = False
        for expected in self.proofs(role, nonces):
            valid |= hmac.compare_digest(expected, proof)
        return valid


class Handlers:
    """Functions that handle calls and one-way messages, by method name."""

    def __init__(self):
        self._by_method: dict[str, tuple] = {}

    def add(self, method: str, message_type, handler) -> None:
        """Registers the handler of a method.

        Args:
            method: Name of the method.
            message_type: Type of its message.
            handler: Called with the message; returns the result.
        """
        self._by_method[method] = (message_type, handler)

    def run(self, method: str, payload):
        """Runs the handler of a method and returns its result.

        Raises:
            BadRequestError: The method is unknown or the payload is not a
                message of its type.
        """
        found = self._by_method.get(method)
        if found is None:
            raise exceptions.BadRequestError(f"no method {method!r}")
        message_type, handler = found
        message = decoding.convert(
            payload,
            message_type,
            f"message {method}",
            exceptions.BadRequestError,
        )
        return handler(message)


class Connection:
    """One authenticated link. `run` reads its messages until it closes."""

    def __init__(self, socket, handlers: Handlers, pool, counters: Counters):
        self._socket = socket
        self._handlers = handlers
        self._pool = pool
        self._counters = counters
        self._call_ids = itertools.count(1)
        self._pending: dict[int, concurrent.futures.Future] = {}
        self._lock = threading.Lock()
        self.closed = threading.Event()

    def call(self, method: str, message, result_type, timeout_s: float):
        """Calls the peer and returns its answer as `result_type`.

        Raises:
            PeerError: No answer arrived. The peer may have run the call.
            BriarfallError: The peer's handler raised this error.
        """
        call_id = next(self._call_ids)
        fut: concurrent.futures.Future = concurrent.futures.Future()
        with self._lock:
            self._pending[call_id] = fut
        try:
            self._send(Kind.CALL, call_id, method, message)
            payload = fut.result(timeout_s)
        except concurrent.futures.TimeoutError as exc:
            raise exceptions.PeerError(
                f"{method}: no answer within {timeout_s:.2f} s"
            ) from exc
        finally:
            with self._lock:
                self._pending.pop(call_id, None)
        if result_type is None:
            return None
        return decoding.convert(
            payload, result_type, f"answer to {method}", exceptions.PeerError
        )

    def send_one_way(self, method: str, message) -> None:
        """Sends a one-way message."""
        self._send(Kind.ONE_WAY, 0, method, message)

    def run(self) -> None:
        """Reads messages until the link closes."""
        try:
            for data in self._socket:
                self._counters.record_received(len(data))
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
                fut.set_exception(
                    exceptions.PeerError(
                        "link closed before the answer arrived"
                    )
                )
        _close_socket(self._socket)

    def _send(self, kind: Kind, call_id: int, method: str, message) -> None:
        payload = msgspec.to_builtins(message, builtin_types=(bytes,))
        data = cbor2.dumps([int(kind), call_id, method, payload])
        self._counters.record_sent(len(data))
        try:
            self._socket.send(data)
        except (ws_exceptions.WebSocketException, OSError) as exc:
            self.close()
            raise exceptions.PeerError(
                f"link failed while sending: {exc}"
            ) from exc

    def _receive(self, data) -> None:
        try:
            kind, call_id, method, payload = cbor2.loads(data)
            kind = Kind(kind)
            if not isinstance(call_id, int) or not isinstance(method, str):
                raise TypeError("id is no number or method is no text")
        except Exception as exc:
            # The decoder raises various exceptions on malformed input.
            logging.warning(
                "malformed message from a peer, closing the link: %s", exc
            )
            raise exceptions.PeerError(
                "malformed message: expected [kind, id, method, payload]"
            ) from exc
        if kind is Kind.ONE_WAY:
            self._serve_cast(method, payload)
            return
        if kind is Kind.CALL:
            self._pool.submit(self._serve_call, call_id, method, payload)
            return
        with self._lock:
            fut = self._pending.get(call_id)
        if fut is None or fut.done():
            return
        if kind is Kind.ERROR:
            fut.set_exception(_decode_error(payload))
            return
        fut.set_result(payload)

    def _serve_cast(self, method: str, payload) -> None:
        try:
            self._handlers.run(method, payload)
        except exceptions.BriarfallError as exc:
            logging.warning("one-way message %s failed: %s", method, exc)

    def _serve_call(self, call_id: int, method: str, payload) -> None:
        try:
            result = self._handlers.run(method, payload)
            self._send(Kind.REPLY, call_id, "", result)
        except exceptions.PeerError:
            return
        except exceptions.BriarfallError as exc:
            self._send_error(call_id, exc)
        except Exception:
            logging.exception(
                "call %s: handler raised an unexpected error", method
            )
            self._send_error(
                call_id, exceptions.BriarfallError("unexpected error")
            )

    def _send_error(self, call_id: int, exc) -> None:
        try:
            self._send(
                Kind.ERROR,
                call_id,
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
        self._connections: set[Connection] = set()
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
        """Starts the thread that accepts links."""
        threading.Thread(
            target=self._server.serve_forever, name="peers", daemon=True
        ).start()

    def stop(self) -> None:
        """Closes the listener and all links."""
        self._server.shutdown()
        for conn in list(self._connections):
            conn.close()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _accept(self, socket) -> None:
        try:
            _handshake(socket, self._name, self._security, b"server")
        except exceptions.PeerError as exc:
            logging.warning("peer refused, link not opened: %s", exc)
            return
        conn = Connection(socket, self._handlers, self._pool, self._counters)
        self._connections.add(conn)
        try:
            conn.run()
        except exceptions.PeerError:
            pass
        finally:
            self._connections.discard(conn)


def connect(
    name: str,
    address: str,
    security: Security,
    handlers: Handlers,
    pool,
    counters: Counters,
) -> Connection:
    """Opens a link to `host:port` and starts the thread that reads it.

    Raises:
        PeerError: The peer cannot be reached or fails the handshake.
    """
    stack = contextlib.ExitStack()
    try:
        client = ws_client.connect(
            f"{security.scheme}://{address}",
            ssl=security.context(server=False),
            compression=None,
            max_size=_MAX_MESSAGE_BYTES,
            open_timeout=_CONNECT_TIMEOUT_S,
            ping_interval=None,
            close_timeout=0.2,
            proxy=None,
        )
        socket = stack.enter_context(client)
    except (OSError, TimeoutError, ws_exceptions.WebSocketException) as exc:
        raise exceptions.PeerError(
            f"cannot connect to {address}: {exc}"
        ) from exc
    try:
        _handshake(socket, name, security, b"client")
    except exceptions.PeerError:
        _close_socket(socket)
        raise
    conn = Connection(socket, handlers, pool, counters)
    threading.Thread(
        target=_run_until_closed,
        args=(conn,),
        name=f"link-{address}",
        daemon=True,
    ).start()
    return conn


def _run_until_closed(conn: Connection) -> None:
    try:
        conn.run()
    except exceptions.PeerError:
        pass


def _handshake(socket, name: str, security: Security, role: bytes) -> None:
    """Authenticates both sides by proof of a shared key.

    Each side sends its name and a nonce, then for each key that it accepts an
    HMAC of its role and both nonces. One matching proof is enough, so that
    instances can connect while the keys are being replaced.
    """
    own_nonce = os.urandom(_NONCE_BYTES)
    try:
        socket.send(cbor2.dumps([name, own_nonce]))
        _, peer_nonce = cbor2.loads(socket.recv(timeout=_HANDSHAKE_TIMEOUT_S))
        is_client = role == b"client"
        nonces = own_nonce + peer_nonce if is_client else peer_nonce + own_nonce
        socket.send(cbor2.dumps(security.proofs(role, nonces)))
        proofs = cbor2.loads(socket.recv(timeout=_HANDSHAKE_TIMEOUT_S))
        other = b"server" if is_client else b"client"
        if any(security.accepts(proof, other, nonces) for proof in proofs):
            return
    except Exception as exc:
        # An unauthenticated peer may send anything, so all errors are treated
        # as a failed handshake.
        raise exceptions.PeerError(f"handshake failed: {exc}") from exc
    raise exceptions.PeerError(
        "handshake failed: peer has none of the shared keys"
    )


def _decode_error(payload) -> exceptions.BriarfallError:
    try:
        code, message, outcome = payload
        error = _ERRORS_BY_CODE.get(code, exceptions.PeerError)
        return error(str(message), outcome=exceptions.Outcome(outcome))
    except (TypeError, ValueError) as exc:
        return decoding.failure("error of a peer", exc, exceptions.PeerError)


def _close_socket(conn) -> None:
    # The socket is shut down without the closing handshake, which would wait
    # for a peer that may be gone.
    try:
        conn.socket.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
