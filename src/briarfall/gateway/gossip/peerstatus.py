"""Builds this instance's status for its peers and applies theirs."""

import collections.abc

import msgspec

from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway.catalogue import catalogue
from briarfall.gateway.catalogue import sources
from briarfall.gateway.catalogue import views
from briarfall.gateway.crashes import crashes
from briarfall.gateway.gossip import peermessages
from briarfall.gateway.peers import peers
from briarfall.gateway.placement import leasing
from briarfall.gateway.placement import linkadmission
from briarfall.gateway.scheduling import demands
from briarfall.gateway.scheduling import kvreserve
from briarfall.gateway.targets import loads
from briarfall.gateway.targets import ratelimits
from briarfall.gateway.targets import targets

_MAX_LINK_MBPS = 1e9
# Shortest time for which a draining target is reported to other instances.
_DRAINING_REPORT_S = 10.0

StartedCounts = collections.abc.Mapping[ids.TargetId, int]


class RelayStatus(msgspec.Struct, frozen=True):
    """What an instance tells its peers about relayed requests.

    Attributes:
        accepts: Whether it serves them.
        cut_services: Services of which it reaches no target.
    """

    accepts: bool = False
    cut_services: list[views.ServiceName] = []


class StatusExchange:
    """Builds this instance's status and applies the status of peers.

    Args:
        peer_table: Other instances.
        load_table: Load that all instances put on targets.
        target_table: Targets.
        follower: The catalogue.
        lease: The placement lease.
        crash_table: Requests that crashed their targets.
        link: Demand of this instance on the inter-zone link.
        limits: Rate limits of targets.
        demand_table: Demand of other instances by class.
        reserve: Demand of this instance for KV caches.
    """

    def __init__(
        self,
        peer_table: peers.PeerTable,
        load_table: loads.LoadTable,
        target_table: targets.TargetTable,
        follower: catalogue.CatalogueFollower,
        lease: leasing.Lease,
        crash_table: crashes.CrashTable,
        link: linkadmission.LinkAdmission,
        limits: ratelimits.RateLimitTable,
        demand_table: demands.DemandTable,
        reserve: kvreserve.KvReserve,
    ):
        self._peers = peer_table
        self._loads = load_table
        self._targets = target_table
        self._follower = follower
        self._lease = lease
        self._crashes = crash_table
        self._link = link
        self._limits = limits
        self._demands = demand_table
        self._reserve = reserve
        self._is_stopping = False
        self._relay_status = RelayStatus
        self._record_others: collections.abc.Callable[[StartedCounts], None] = (
            _ignore
        )

    def set_relay_status(
        self, read: collections.abc.Callable[[], RelayStatus]
    ) -> None:
        """Sets the function that reads the relay status for peers."""
        self._relay_status = read

    def set_others_listener(
        self, listener: collections.abc.Callable[[StartedCounts], None]
    ) -> None:
        """Calls `listener` with requests that peers sent without permits."""
        self._record_others = listener

    def announce_stop(self) -> None:
        """Makes the status say that this instance is stopping."""
        self._is_stopping = True

    def build(self, record: sources.InstanceRecord) -> peermessages.Status:
        """Returns the status of the instance with a record."""
        rows = []
        for target, load in self._loads.own().items():
            rows.append(
                peermessages.LoadRow(
                    target, load.streams, load.tokens, load.heads
                )
            )
        suspicions = []
        for target, left_s in self._targets.suspicions():
            suspicions.append(
                peermessages.Suspicion(
                    target.id, target.entry.started_ms, int(left_s * 1000)
                )
            )
        view = self._follower.view
        longest_s = self._peers.longest_interval_s
        relay_status = self._relay_status()
        return peermessages.Status(
            sender=record.id,
            address=record.address,
            zone=record.zone,
            version=view.version if view else -1,
            is_stopping=self._is_stopping,
            reaches_store=(
                self._peers.reaches_store and not self._follower.is_source_lost
            ),
            loads=rows,
            suspicions=suspicions,
            crashes=self._crashes.crashes_to_report(longest_s),
            lease_fence=self._lease.fence,
            lease_left_ms=int(self._lease.left_s * 1000),
            cores=record.cores,
            poison=self._crashes.poison_to_report(),
            draining_targets=self._targets.recent_draining(
                max(_DRAINING_REPORT_S, longest_s * 3)
            ),
            survived=self._crashes.survived_to_report(longest_s),
            link_mbps=round(self._link.demand_mbps, 1),
            holds=self._crashes.holds_to_report(longest_s),
            accepts_relays=relay_status.accepts,
            cut_services=relay_status.cut_services,
            limits=self._limits.to_report(),
            gives_permits=True,
            class_demands=demands.to_rows(
                self._link.demand_by_class, self._reserve.own_demand
            ),
        )

    def is_behind(self, status: peermessages.Status) -> bool:
        """Whether a peer serves by an older version of the catalogue."""
        view = self._follower.view
        return view is not None and 0 <= status.version < view.version

    def apply(self, status: peermessages.Status) -> None:
        """Applies the status of a peer."""
        peer = self._peers.add(
            sources.InstanceRecord(
                status.sender, status.address, status.zone, status.cores
            )
        )
        if peer is None:
            return
        if status.is_stopping:
            peer.is_stopping = True
            self._peers.remove(status.sender)
            self._loads.merge(status.sender, {})
            self._demands.remove(status.sender)
            return
        now_s = clocks.boot_s()
        peer.heard_s = now_s
        peer.version = status.version
        peer.link_mbps = 0.0
        if 0 <= status.link_mbps <= _MAX_LINK_MBPS:
            peer.link_mbps = status.link_mbps
        peer.reaches_store = status.reaches_store
        peer.accepts_relays = status.accepts_relays
        peer.cut_services = frozenset(status.cut_services)
        peer.gives_permits = status.gives_permits
        self._limits.merge(status.limits, status.sender)
        if status.lease_left_ms:
            self._lease.record_other_holder(
                status.lease_fence, now_s + status.lease_left_ms / 1000
            )
        rows = {}
        for row in status.loads:
            rows[row.target] = _load(row)
        interval_s = self._peers.interval_s(status.zone)
        started = self._loads.merge(status.sender, rows, interval_s)
        self._demands.merge(
            status.sender, status.class_demands, peer.link_mbps, interval_s
        )
        if not status.gives_permits:
            self._record_others(started)
        self._crashes.merge_survived(status.survived)
        self._crashes.merge_crashes(status.crashes)
        self._crashes.merge_poison(status.poison)
        self._crashes.merge_holds(status.holds)
        self._targets.merge_draining(status.draining_targets)
        for row in status.suspicions:
            self._targets.merge_suspicion(
                row.target, row.started_ms, row.left_ms / 1000
            )
        view = self._follower.view
        if status.version > (view.version if view else -1):
            self._follower.record_newer(status.version)


def _ignore(started: StartedCounts) -> None:
    """Does nothing with the counts."""


def _load(row: peermessages.LoadRow) -> loads.Load:
    """Returns a peer's load on a target; untold heads count as all streams."""
    streams = max(0, row.streams)
    heads = row.heads if 0 <= row.heads <= streams else streams
    return loads.Load(streams, max(0, row.tokens), heads)
