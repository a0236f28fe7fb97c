"""Divides the memory and the descriptors of a process among its parts."""

import msgspec

_MEGABYTE = 1_000_000
# Part of the memory for the bodies of all requests.
_BODY_SHARE = 0.2
# Part of the memory for the threads and buffers of callers' connections.
_CONNECTION_SHARE = 0.25
# Memory of one connection with its thread.
_CONNECTION_BYTES = 98_304
# Descriptors for files.
_FILE_DESCRIPTORS = 200
# Parts of the further descriptors for connections of callers and of peers. The
# rest is for connections to targets, peers and the store.
_CALLER_SHARE = 0.5
_PEER_SHARE = 0.15


class ProcessLimits(msgspec.Struct, frozen=True):
    """Limits of the parts of a process.

    Attributes:
        body_bytes: Bytes that the bodies of all requests may hold.
        caller_connections: Most open connections of callers.
        peer_connections: Most open connections on which peers relay.
    """

    body_bytes: int
    caller_connections: int
    peer_connections: int


def of(memory_mb: float, max_descriptors: int) -> ProcessLimits:
    """Returns the limits for a process.

    Args:
        memory_mb: Its memory, in megabytes.
        max_descriptors: Descriptors that it may have open.
    """
    memory = memory_mb * _MEGABYTE
    sockets = max(1, max_descriptors - _FILE_DESCRIPTORS)
    threads = int(memory * _CONNECTION_SHARE / _CONNECTION_BYTES)
    return ProcessLimits(
        body_bytes=int(memory * _BODY_SHARE),
        caller_connections=max(1, min(threads, int(sockets * _CALLER_SHARE))),
        peer_connections=max(1, int(sockets * _PEER_SHARE)),
    )
