"""A lease on the store for a duty that one instance has at a time."""

from absl import logging

from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway import sources

LEASE_TTL_S = 3.0
_STORE_TIMEOUT_S = 1.0


class Lease:
    """A lease on the store, held by at most one instance at a time.

    Args:
        source: Where grants are kept.
        instance: This instance.
    """

    def __init__(self, source: sources.LeaseSource, instance: ids.InstanceId):
        self._source = source
        self._instance = instance
        self._grant: sources.Grant | None = None
        self._held_until_s = 0.0
        # Times on the boot clock at which grants of others lapse, by fence.
        self._lapses: dict[int, float] = {}
        self._created_s = clocks.boot_s()
        self.fence = 0

    @property
    def is_held(self) -> bool:
        """Whether this instance holds the lease."""
        return clocks.boot_s() < self._held_until_s

    @property
    def left_s(self) -> float:
        """Seconds for which this instance still holds the lease."""
        return max(0.0, self._held_until_s - clocks.boot_s())

    @property
    def was_held_last(self) -> bool:
        """Whether no newer grant than our own is known."""
        return self.fence > 0

    def note_other(self, fence: int, until_s: float) -> None:
        """Takes in when another instance says that its grant lapses."""
        self._lapses = {fence: until_s}
        if fence > self.fence:
            self.lose()

    @property
    def is_held_elsewhere(self) -> bool:
        """Whether another instance has said that it holds the lease."""
        now_s = clocks.boot_s()
        return any(until_s > now_s for until_s in self._lapses.values())

    def lapsed_for_s(self, now_s: float) -> float:
        """Returns how long no holder is known, as far as others have said."""
        until_s = max(self._lapses.values(), default=self._created_s)
        return now_s - until_s

    def refresh(self) -> None:
        """Takes, renews or watches the lease.

        Raises:
            LogUnavailableError: The store did not answer.
        """
        sent_s = clocks.boot_s()
        if self.is_held and self._grant is not None:
            self._take(self._grant.end, sent_s)
            return
        if self.is_held_elsewhere:
            return
        grant = self._source.read_grant(_STORE_TIMEOUT_S)
        if grant.holder != self._instance and grant.fence > self.fence:
            self.lose()
        if grant.holder:
            lapse_s = self._lapses.get(grant.fence)
            if lapse_s is None:
                lapse_s = sent_s + grant.ttl_s
                self._lapses = {grant.fence: lapse_s}
            if clocks.boot_s() <= lapse_s:
                return
        self._take(grant.end, sent_s)

    def _take(self, end: int, sent_s: float) -> None:
        grant = self._source.take(
            self._instance, LEASE_TTL_S, end, _STORE_TIMEOUT_S
        )
        if grant is None:
            self.lose()
            return
        if not self.fence:
            logging.info("lease taken fence=%d", grant.fence)
        self._grant = grant
        self._held_until_s = sent_s + LEASE_TTL_S
        self.fence = grant.fence

    def lose(self) -> None:
        """Gives up all claim to the lease."""
        if self.fence:
            logging.info("lease lost fence=%d", self.fence)
        self.fence = 0
        self._grant = None
        self._held_until_s = 0.0
