"""A lease in the store for a responsibility of one instance at a time."""

from absl import logging

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway.catalogue import sources

LEASE_TTL_S = 3.0
# Longest duration that a grant of another instance may have.
MAX_TTL_S = 60.0
_STORE_TIMEOUT_S = 1.0


class Lease:
    """A lease in the store that at most one instance holds at a time.

    Attributes:
        fence: Fencing number of this instance's last grant; 0 if another
            instance has a newer grant, or there was none.

    Args:
        source: The store's log of grants.
        instance: Id of this instance.
    """

    def __init__(self, source: sources.LeaseSource, instance: ids.InstanceId):
        self._source = source
        self._instance = instance
        self._grant: sources.LeaseGrant | None = None
        self._held_until_s = 0.0
        # Times on the boot clock at which grants of other instances lapse, by
        # fencing number.
        self._expiry_by_fence: dict[int, float] = {}
        self._created_s = clocks.boot_s()
        self.fence = 0

    @property
    def is_held(self) -> bool:
        """Whether this instance holds the lease."""
        return clocks.boot_s() < self._held_until_s

    @property
    def left_s(self) -> float:
        """Seconds until this instance's lease lapses, or 0."""
        return max(0.0, self._held_until_s - clocks.boot_s())

    @property
    def has_newest_grant(self) -> bool:
        """Whether this instance's grant is the newest one known to it.

        Its lease may have lapsed since.
        """
        return self.fence > 0

    def record_other_holder(self, fence: int, until_s: float) -> None:
        """Records a grant that another instance has reported.

        Args:
            fence: Fencing number of the grant.
            until_s: Time on the boot clock at which it lapses.
        """
        self._source.record_reported_fence(fence)
        longest_s = clocks.boot_s() + MAX_TTL_S
        self._expiry_by_fence = {fence: min(until_s, longest_s)}
        if fence > self.fence:
            self.lose()

    @property
    def is_held_elsewhere(self) -> bool:
        """Whether a grant of another instance is known that is in force."""
        now_s = clocks.boot_s()
        return any(
            until_s > now_s for until_s in self._expiry_by_fence.values()
        )

    def lapsed_for_s(self, now_s: float) -> float:
        """Returns the seconds since the last known grant of others lapsed.

        Without one they count from the creation of this object. A negative
        value says that the lease is held elsewhere.
        """
        until_s = max(self._expiry_by_fence.values(), default=self._created_s)
        return now_s - until_s

    def refresh(self) -> None:
        """Renews the lease, or acquires it if no instance holds it.

        The lease is renewed if this instance holds it. If the log refuses the
        renewal, it may have lost the grant's record; the lease is acquired
        again unless another instance has a newer grant. Nothing is done while
        a grant of another instance is known to be in force. Otherwise the
        newest grant is read from the store, and the lease is acquired if that
        grant has lapsed.

        Raises:
            LogUnavailableError: The store did not answer.
        """
        try:
            self._refresh(clocks.boot_s())
        except exceptions.LogGapError as exc:
            logging.info("lease not acquired, retrying once it lapses: %s", exc)
            self.lose()

    def _refresh(self, sent_s: float) -> None:
        if self.is_held and self._grant is not None:
            if not self._acquire(self._grant.end, sent_s):
                self._reacquire()
            return
        if self.is_held_elsewhere:
            return
        grant = self._source.read_grant(_STORE_TIMEOUT_S)
        if grant.holder != self._instance and grant.fence > self.fence:
            self.lose()
        if grant.holder:
            lapse_s = self._expiry_by_fence.get(grant.fence)
            if lapse_s is None:
                lapse_s = sent_s + grant.ttl_s
                self._expiry_by_fence = {grant.fence: lapse_s}
            if clocks.boot_s() <= lapse_s:
                return
        self._acquire(grant.end, sent_s)

    def _reacquire(self) -> None:
        """Acquires a lease whose renewal was refused, if it is still ours.

        Nobody else was granted the lease if the newest grant is this
        instance's own, or if there is none: others wait until it lapses.
        """
        sent_s = clocks.boot_s()
        grant = self._source.read_grant(_STORE_TIMEOUT_S)
        if grant.holder and grant.holder != self._instance:
            self._expiry_by_fence = {grant.fence: sent_s + grant.ttl_s}
            logging.info(
                "lease not acquired again: newest grant holder=%s fence=%d",
                grant.holder,
                grant.fence,
            )
            return
        self._acquire(grant.end, sent_s)

    def _acquire(self, end: sources.LogPosition, sent_s: float) -> bool:
        """Appends a grant at `end`; returns whether this was granted."""
        grant = self._source.try_acquire(
            self._instance, LEASE_TTL_S, end, _STORE_TIMEOUT_S
        )
        if grant is None:
            self.lose()
            return False
        if not self.fence:
            logging.info("lease taken fence=%d", grant.fence)
        self._grant = grant
        self._held_until_s = sent_s + LEASE_TTL_S
        self.fence = grant.fence
        return True

    def lose(self) -> None:
        """Drops the lease after a newer grant, or after the log lost it."""
        if self.fence:
            logging.info("lease lost fence=%d", self.fence)
        self.fence = 0
        self._grant = None
        self._held_until_s = 0.0
