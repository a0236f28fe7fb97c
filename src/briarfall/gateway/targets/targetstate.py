"""One target as this instance sees it."""

import enum

import msgspec

from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway.catalogue import sources
from briarfall.gateway.targets import incarnations
from briarfall.gateway.targets import relaybackoffs


class LinkFault(enum.Enum):
    """How connections from this instance to a target fail.

    Attributes:
        TIMEOUT: Attempts to connect get no answer.
        REFUSED: They are refused.
        RESET: They are reset, or closed as soon as they are open.
    """

    TIMEOUT = "timeout"
    REFUSED = "refused"
    RESET = "reset"


class Target(msgspec.Struct):
    """One incarnation of a target, with its state as this instance knows it.

    All times are in seconds on the boot clock.

    Attributes:
        entry: The newest entry of the instance list.
        beat_s: Time at which its heartbeat counter last rose.
        revision: Revision of the table at the entry's last change.
        suspected_until_s: Time until which this instance reports the target
            to its peers as failed.
        blocked_until_s: Time until which it gets no new requests, unless all
            targets of its service are blocked.
        failures: Consecutive failures.
        invalid_responses: Consecutive responses that were none.
        failed_s: Time of the last failure, here or at a peer.
        last_active_s: Time at which a stream of this instance last saw it
            make progress.
        is_draining: Whether it announced itself that it drains and takes no
            new requests.
        backoff_until_s: End of the backoff that it asked for (Retry-After);
            this instance sends it no requests until then. 0 if it asked for
            none since the last request was sent to it.
        backoff_since_s: Start of that backoff.
        limited_until_s: Time until which no permit is asked for, since none
            was free. 0 if one never was refused.
        limited_since_s: Time of that refusal.
        link_fault: How new connections from this instance to it fail, or None
            as far as is known.
        link_fault_since_s: Time of the first attempt that failed so.
        next_probe_s: Time from which it is probed again.
        reached_s: Time at which a new connection to it last worked.
        answered_s: Time of its last answer, on any connection.
    """

    entry: sources.TargetEntry
    beat_s: float
    revision: int = 0
    blocked_until_s: float = 0.0
    suspected_until_s: float = 0.0
    failures: int = 0
    invalid_responses: int = 0
    failed_s: float = 0.0
    last_active_s: float = 0.0
    is_draining: bool = False
    backoff_until_s: float = 0.0
    backoff_since_s: float = 0.0
    limited_until_s: float = 0.0
    limited_since_s: float = 0.0
    link_fault: LinkFault | None = None
    link_fault_since_s: float = 0.0
    next_probe_s: float = 0.0
    reached_s: float = 0.0
    answered_s: float = 0.0

    @property
    def accepts_requests(self) -> bool:
        """Whether neither its entry nor its own responses say it drains."""
        return (
            self.entry.state is sources.TargetState.READY
            and not self.is_draining
        )

    @property
    def is_in_backoff(self) -> bool:
        """Whether a backoff that the target asked for has not yet ended."""
        return self._backoff_end_s > clocks.boot_s()

    @property
    def is_held(self) -> bool:
        """Whether it gets no requests: in backoff, or no permit is free."""
        if (
            not self.backoff_until_s
            and not self.limited_until_s
            and relaybackoffs.current() is None
        ):
            return False
        return self.held_until_s > clocks.boot_s()

    @property
    def held_until_s(self) -> float:
        """Time until which it gets no requests, if that is in the future."""
        return max(self._backoff_end_s, self.limited_until_s)

    @property
    def held_since_s(self) -> float:
        """Start of the period that ends at `held_until_s`."""
        if self.limited_until_s > self._backoff_end_s:
            return self.limited_since_s
        if self._backoff_end_s > self.backoff_until_s:
            return relaybackoffs.current().received_s
        return self.backoff_since_s

    @property
    def _backoff_end_s(self) -> float:
        """End of its backoff towards the sender of the current request."""
        current = relaybackoffs.current()
        if current is None:
            return self.backoff_until_s
        return max(self.backoff_until_s, current.until_s(self.incarnation))

    @property
    def incarnation(self) -> incarnations.Incarnation:
        """The target's id and start time."""
        return incarnations.Incarnation(self.entry.id, self.entry.started_ms)

    @property
    def id(self) -> ids.TargetId:
        """The target's unique id."""
        return self.entry.id
