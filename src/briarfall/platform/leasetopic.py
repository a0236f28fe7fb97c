"""Implements the placement lease on a topic of the store."""

from absl import logging
import msgspec

from briarfall import decoding
from briarfall import exceptions
from briarfall import ids
from briarfall.gateway.catalogue import recordchecks
from briarfall.gateway.catalogue import sources
from briarfall.gateway.instance import summary
from briarfall.gateway.placement import leasing
from briarfall.platform import deferredcalls
from briarfall.platform import ignoredrecords
from briarfall.platform import store

_TOPIC = "keyed.briarfall-lease"
_KEY = "placement"
_EPOCH_TIMEOUT_S = 1.0
# Distance of the fencing numbers of two epochs, in grants. A restored store
# has lost fewer grants than this.
_FENCES_PER_EPOCH = 2**28


class _Grant(msgspec.Struct):
    holder: str
    ttl_s: float


_GRANT_DECODER = msgspec.json.Decoder(_Grant)
# Holder and duration of a grant that can't be read. It may have been written
# by an instance of another release, so it is given time to lapse.
_UNKNOWN_GRANT = _Grant("unknown", leasing.LEASE_TTL_S)


def _parse_grant(key: str, value: bytes) -> _Grant:
    subject = f"lease {key}"
    grant = decoding.decode(_GRANT_DECODER, value, subject)
    recordchecks.check_instance_id(grant.holder, subject)
    if not 0 < grant.ttl_s <= leasing.MAX_TTL_S:
        raise exceptions.CatalogueError(
            f"{subject}: ttl_s {grant.ttl_s} is not above 0 and up to "
            f"{leasing.MAX_TTL_S:g}"
        )
    return grant


def fencing_number(end: sources.LogPosition) -> int:
    """Returns the fencing number of the grant that ends at a position.

    It is higher than those of all earlier epochs, whatever grants the store
    has lost, and needs no knowledge of them.
    """
    return end.epoch * _FENCES_PER_EPOCH + end.offset


class LeaseTopic(sources.LeaseSource):
    """The lease for placement.

    Args:
        client: Client of the store.
        counts: Counts the grants that are ignored.
    """

    def __init__(
        self,
        client: store.StoreClient,
        counts: summary.CallCounts | None = None,
    ):
        self._store = client
        self._look = deferredcalls.DeferredCall(self._read_epoch)
        # Epoch of the last reported fencing number that was looked up.
        self._looked_up = 0
        self._ignored = ignoredrecords.IgnoredRecords(
            "lease grant", counts or summary.CallCounts()
        )

    def record_reported_fence(self, fence: int) -> None:
        """Looks at the store if a peer has a grant of a later epoch.

        An instance that relies on peers notices a restore by this. Only an
        answer of the store itself changes the epoch.
        """
        epoch = fence // _FENCES_PER_EPOCH
        if epoch <= self._store.tracker.current or epoch == self._looked_up:
            return
        self._looked_up = epoch
        logging.info(
            "peer has a grant of a later epoch, looking at the store fence=%d "
            "epoch=%d",
            fence,
            self._store.tracker.current,
        )
        self._look.request()

    def _read_epoch(self) -> None:
        self._store.newest(_TOPIC, _EPOCH_TIMEOUT_S)

    def read_grant(self, timeout_s: float) -> sources.LeaseGrant:
        """Returns the newest grant, with an empty holder if there is none."""
        records, end = self._store.newest(_TOPIC, timeout_s)
        for record in records:
            if record.key != _KEY:
                continue
            try:
                grant = _parse_grant(record.key, record.value)
            except exceptions.CatalogueError as exc:
                self._ignored.report(record, exc)
                grant = _UNKNOWN_GRANT
            return sources.LeaseGrant(
                ids.InstanceId(grant.holder),
                fencing_number(end),
                grant.ttl_s,
                end,
            )
        return sources.LeaseGrant(
            ids.InstanceId(""), fencing_number(end), 0.0, end
        )

    def try_acquire(
        self,
        holder: ids.InstanceId,
        ttl_s: float,
        end: sources.LogPosition,
        timeout_s: float,
    ) -> sources.LeaseGrant | None:
        """Appends a grant if no instance has appended one since `end`."""
        value = msgspec.json.encode(_Grant(holder, ttl_s))
        position = self._store.append(
            _TOPIC,
            store.keyed_record(_KEY, value),
            timeout_s,
            at=end,
        )
        if position is None:
            return None
        after = sources.LogPosition(position.epoch, position.offset + 1)
        return sources.LeaseGrant(holder, fencing_number(after), ttl_s, after)
