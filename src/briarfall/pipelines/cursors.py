"""Authenticated positions in a stream, carried as event ids."""

import base64
import binascii
import hashlib
import hmac
import struct
import time

import msgspec

from briarfall import exceptions

_TAG_BYTES = 16
_POSITION = struct.Struct(">IQI")


class Cursor(msgspec.Struct, array_like=True):
    """What another instance needs to continue a stream.

    Attributes:
        client: The client account that the stream belongs to.
        stream: The stream's id.
        seed: Seed of the sampler.
        fingerprint: Fingerprint of the request's body.
        targets: Targets of the route, in layer order.
        attempt: Number of the attempt.
        index: Tokens that the caller has.
        digest: Digest of their text.
        issued_s: Epoch seconds of issue.
    """

    client: str
    stream: str
    seed: int
    fingerprint: str
    targets: list[str]
    attempt: int = 0
    index: int = 0
    digest: int = 0
    issued_s: int = 0


class CursorCodec:
    """Signs and checks cursors.

    Args:
        secrets: Accepted keys; the first one signs.
        ttl_s: Age after which a cursor is refused, in seconds.
    """

    def __init__(self, secrets: list[str], ttl_s: float):
        self._keys = [
            hashlib.sha256(b"cursor:" + secret.encode()).digest()
            for secret in secrets
        ]
        self._ttl_s = ttl_s

    def prefix(self, cursor: Cursor) -> bytes:
        """Returns the part that is the same for all events of a stream."""
        fixed = (
            cursor.client,
            cursor.stream,
            cursor.seed,
            cursor.fingerprint,
            cursor.targets,
            cursor.attempt,
        )
        return msgspec.msgpack.encode(fixed)

    def encode(self, prefix: bytes, index: int, digest: int) -> bytes:
        """Returns the event id for a position."""
        position = _POSITION.pack(index, digest, int(time.time()))
        payload = position + prefix
        tag = _tag(self._keys[0], payload)
        return base64.urlsafe_b64encode(tag + payload)

    def decode(self, text: str, client: str, fingerprint: str) -> Cursor:
        """Returns the cursor in an event id.

        Raises:
            CursorError: The id is forged, foreign or expired.
        """
        try:
            data = base64.urlsafe_b64decode(text.encode("ascii"))
        except (binascii.Error, ValueError) as exc:
            raise exceptions.CursorError("Last-Event-ID is garbled") from exc
        if base64.urlsafe_b64encode(data).decode() != text:
            raise exceptions.CursorError("Last-Event-ID is not canonical")
        tag, payload = data[:_TAG_BYTES], data[_TAG_BYTES:]
        if not self._is_signed(tag, payload):
            raise exceptions.CursorError("Last-Event-ID is not ours")
        index, digest, issued_s = _POSITION.unpack_from(payload)
        fixed = msgspec.msgpack.decode(payload[_POSITION.size :])
        cursor = Cursor(*fixed, index, digest, issued_s)
        if cursor.client != client:
            raise exceptions.CursorError(
                "Last-Event-ID belongs to another client"
            )
        if cursor.fingerprint != fingerprint:
            raise exceptions.CursorError(
                "Last-Event-ID belongs to another request body",
                remedy="send the same body as with the first request",
            )
        if time.time() - issued_s > self._ttl_s:
            raise exceptions.CursorError("Last-Event-ID has expired")
        return cursor

    def _is_signed(self, tag: bytes, payload: bytes) -> bool:
        if len(tag) != _TAG_BYTES or len(payload) < _POSITION.size:
            return False
        signed = False
        for key in self._keys:
            signed |= hmac.compare_digest(_tag(key, payload), tag)
        return signed


def _tag(key: bytes, payload: bytes) -> bytes:
    # Keyed BLAKE2 of short data keeps the interpreter lock, which costs a
    # token less than the switch between threads that HMAC would cause.
    return hashlib.blake2b(payload, key=key, digest_size=_TAG_BYTES).digest()
