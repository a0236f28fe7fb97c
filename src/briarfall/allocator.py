"""Makes the C allocator give the memory of freed bodies back.

By default it keeps freed blocks of many megabytes, in a heap of each thread.
A process that has held many bodies in turn would then keep more than it ever
held at once.
"""

import ctypes
import enum

# Size in bytes from which each block has a mapping of its own.
_MAPPED_BYTES = 131_072
# Free bytes that the end of a heap may keep.
_KEPT_BYTES = 1_048_576
_MAX_HEAPS = 2


class _Option(enum.IntEnum):
    """Options of `mallopt` (malloc.h)."""

    TRIM_THRESHOLD = -1
    MMAP_THRESHOLD = -3
    ARENA_MAX = -8


def configure() -> None:
    """Configures the allocator of this process.

    Has no effect with C libraries that don't have these options.
    """
    try:
        set_option = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return
    set_option(_Option.MMAP_THRESHOLD, _MAPPED_BYTES)
    set_option(_Option.TRIM_THRESHOLD, _KEPT_BYTES)
    set_option(_Option.ARENA_MAX, _MAX_HEAPS)
