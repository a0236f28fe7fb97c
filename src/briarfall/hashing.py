"""Fast hashes for placement and comparison; not cryptographically secure."""

import xxhash


def digest64(text: str, seed: int = 0) -> int:
    """Returns a 64-bit hash of a text."""
    return xxhash.xxh64_intdigest(text.encode(), seed)


def digest128_hex(data: bytes) -> str:
    """Returns a 128-bit hash of bytes, in hex."""
    return xxhash.xxh128_hexdigest(data)
