"""Idempotency keys: UUIDv7 values, which contain their creation time."""

import os
import time
import uuid

from briarfall import exceptions
from briarfall import ids

_VERSION = 7
_TIMESTAMP_SHIFT = 80


def new_key(now_s: float | None = None) -> ids.IdempotencyKey:
    """Returns a new key created at the given epoch time, by default now."""
    millis = int((time.time() if now_s is None else now_s) * 1000)
    value = (millis & (1 << 48) - 1) << _TIMESTAMP_SHIFT
    value |= int.from_bytes(os.urandom(10), "big")
    value &= ~(0xF << 76)
    value |= _VERSION << 76
    value &= ~(0x3 << 62)
    value |= 0x2 << 62
    return ids.IdempotencyKey(str(uuid.UUID(int=value)))


def key_time(key: str) -> float:
    """Returns the creation time of a key in epoch seconds.

    Raises:
        KeyRequiredError: The key is missing or is not a UUIDv7.
    """
    if not key:
        raise exceptions.KeyRequiredError("Idempotency-Key is missing")
    try:
        value = uuid.UUID(key)
    except ValueError as exc:
        raise exceptions.KeyRequiredError("Idempotency-Key is no UUID") from exc
    if value.version != _VERSION:
        raise exceptions.KeyRequiredError(
            f"Idempotency-Key is a UUID of version {value.version}, not 7"
        )
    return (value.int >> _TIMESTAMP_SHIFT) / 1000


def check_age(
    key: str, *, now_s: float, window_s: float, skew_s: float
) -> None:
    """Checks that a key was created within the deduplication window.

    Raises:
        KeyExpiredError: The key is so old that an earlier use of it may no
            longer be known.
        KeyRequiredError: The key is malformed or was created in the future.
    """
    created_s = key_time(key)
    if created_s > now_s + skew_s:
        raise exceptions.KeyRequiredError(
            "Idempotency-Key was made in the future",
            remedy="correct the caller's clock and make a new key",
        )
    if now_s - created_s > window_s - skew_s:
        raise exceptions.KeyExpiredError(
            f"Idempotency-Key is older than {window_s - skew_s:.0f} s"
        )
