"""Gossip messages that instances exchange."""

import msgspec

from briarfall.membership import table as tables
from briarfall.pipelines import poison


class LoadDigest(msgspec.Struct, array_like=True):
    """Load of a target, measured by one instance and forwarded by others.

    Attributes:
        target: Name of the target.
        running: Requests that run or wait on the target.
        age_ms: Time since the measurement. Each forwarding instance adds the
            time for which it held the load.
    """

    target: str
    running: int
    age_ms: int


class DrainNotice(msgspec.Struct, array_like=True):
    """Reports that a target is draining.

    Attributes:
        target: Name of the target.
        origin: Instance that learned it from the target or the instance list.
        sequence: Number of the notice at its origin; grows with each notice.
    """

    target: str
    origin: str
    sequence: int


class Heartbeat(msgspec.Struct, array_like=True):
    """One heartbeat, with updates that the receiver may not have yet.

    Attributes:
        sender: Name of the sending instance.
        applied: Catalogue offset up to which the sender has applied records.
        is_complete: Whether the sender holds the whole catalogue.
        digest: Digest of the sender's member table.
        members: Members that changed.
        loads: Loads of targets that changed.
        draining: Targets that are draining.
        suspicions: Requests that crash targets.
    """

    sender: str
    applied: int
    is_complete: bool
    digest: int
    members: list[tables.Member] = []
    loads: list[LoadDigest] = []
    draining: list[DrainNotice] = []
    suspicions: list[poison.Suspicion] = []
