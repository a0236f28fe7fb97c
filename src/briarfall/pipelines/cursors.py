"""Signed stream positions, sent to callers as event ids."""

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
    """The data that any instance needs to resume a stream.

    Attributes:
        client: The client account that the stream belongs to.
        stream: The stream's id.
        seed: Seed of the sampler.
        fingerprint: Fingerprint of the request.
        targets: Targets of the route, in layer order.
        attempt: Number of the attempt.
        index: Number of tokens that the caller has.
        digest: Digest of their text.
        issued_s: Time of issue, in seconds since the epoch.
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
    """Signs and verifies cursors.

    Args:
        secrets: Secrets whose signatures are accepted; the first one signs.
        ttl_s: Age after which a cursor is refused, in seconds.
    """

    def __init__(self, secrets: list[str], ttl_s: float):
        self._keys = [
            hashlib.sha256(b"cursor:" + secret.encode()).digest()
            for secret in secrets
        ]
        self._ttl_s = ttl_s

    def prefix(self, cursor: Cursor) -> bytes:
        """Returns the encoded fields that all events of an attempt share."""
        stream_fields = (
            cursor.client,
            cursor.stream,
            cursor.seed,
            cursor.fingerprint,
            cursor.targets,
            cursor.attempt,
        )
        return msgspec.msgpack.encode(stream_fields)

    def encode(self, prefix: bytes, index: int, digest: int) -> bytes:
        """Returns the signed event id of a position, issued now."""
        position = _POSITION.pack(index, digest, int(time.time()))
        payload = position + prefix
        tag = _tag(self._keys[0], payload)
        return base64.urlsafe_b64encode(tag + payload)

    def decode(self, text: str, client: str, fingerprint: str) -> Cursor:
        """Verifies an event id and returns its cursor.

        Raises:
            CursorError: The id is malformed, forged or expired, or belongs to
                another client or request body.
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
        stream_fields = msgspec.msgpack.decode(payload[_POSITION.size :])
        cursor = Cursor(*stream_fields, index, digest, issued_s)
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
    # Keyed BLAKE2 does not release the interpreter lock for short data. HMAC
    # does, and the resulting thread switch costs more time for each token.
    return hashlib.blake2b(payload, key=key, digest_size=_TAG_BYTES).digest()
