"""Messages of the gossip between instances."""

import msgspec

from briarfall.membership import table as tables
from briarfall.pipelines import poison


class LoadDigest(msgspec.Struct, array_like=True):
    """Load of a target as gossip carries it; the age grows on the way."""

    target: str
    running: int
    age_ms: int


class LeavingNotice(msgspec.Struct, array_like=True):
    """A target that some instance has first-hand news of leaving."""

    target: str
    origin: str
    sequence: int


class Exchange(msgspec.Struct, array_like=True):
    """One heartbeat: what the receiver may not know yet.

    Attributes:
        sender: Name of the sending instance.
        applied: Catalogue offset that the sender has in force.
        is_complete: Whether the sender holds the whole catalogue.
        digest: Digest of the sender's member table.
        members: Members that changed.
        loads: Loads of targets that changed.
        leaving: Targets that leave.
        suspicions: Requests that crash targets.
    """

    sender: str
    applied: int
    is_complete: bool
    digest: int
    members: list[tables.Member] = []
    loads: list[LoadDigest] = []
    leaving: list[LeavingNotice] = []
    suspicions: list[poison.Suspicion] = []
