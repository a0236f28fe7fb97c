"""One target as an instance sees it."""

import msgspec

from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway import leaving
from briarfall.gateway import sources


class Target(msgspec.Struct):
    """One target and what this instance has seen of it.

    Attributes:
        entry: The newest entry.
        beat_s: Time on the boot clock at which its beat last rose.
        revision: Revision of the table at the entry's last change.
        suspected_until_s: Until when this instance warns others of it.
        blocked_until_s: Time until which it gets no new requests.
        failures: Failures in a row.
        failed_s: Time of the last failure, here or at a peer.
        worked_s: Time at which a stream of ours last saw it at work.
        is_leaving: Whether it said itself that it takes no new requests.
        quiet_until_s: Time until which it wants no requests from here.
        quiet_since_s: Time at which it said so first.
    """

    entry: sources.TargetEntry
    beat_s: float
    revision: int = 0
    blocked_until_s: float = 0.0
    suspected_until_s: float = 0.0
    failures: int = 0
    failed_s: float = 0.0
    worked_s: float = 0.0
    is_leaving: bool = False
    quiet_until_s: float = 0.0
    quiet_since_s: float = 0.0

    @property
    def takes_work(self) -> bool:
        """Whether it takes new requests, as far as it and its entry say."""
        return (
            self.entry.state is sources.TargetState.READY
            and not self.is_leaving
        )

    @property
    def is_quiet(self) -> bool:
        """Whether it wants no requests from this instance now."""
        return self.quiet_until_s > clocks.boot_s()

    @property
    def lifetime(self) -> leaving.Lifetime:
        """Its id and its start."""
        return leaving.Lifetime(self.entry.id, self.entry.started_ms)

    @property
    def id(self) -> ids.TargetId:
        """Unique id."""
        return self.entry.id
