"""Table of the other gateway instances that this one knows."""

import collections.abc
import random
import threading

from absl import logging
import msgspec
import xxhash

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway.catalogue import recordchecks
from briarfall.gateway.catalogue import sources
from briarfall.gateway.catalogue import views

# Interval of the status to peers of the same zone and of other zones. Chains
# mostly stay in one zone, so peers of the same zone get the status more often.
_ZONE_INTERVAL_S = 0.25
_REMOTE_INTERVAL_S = 1.0
# The intervals grow with the number of peers, which bounds the datagrams that
# an instance sends per second.
_ZONE_INTERVAL_S_PER_PEER = 0.012
_REMOTE_INTERVAL_S_PER_PEER = 0.03
# An instance counts as gone if no status of it arrived for this long, or for
# this many status intervals if that is longer.
_ALIVE_S = 2.5
_ALIVE_INTERVALS = 2.5
# Time for which an announced instance counts as a store poller before its
# first status arrives. Without it, every new instance would read the store
# until it has received a status from the others.
_DISCOVERY_S = 1.0
# Time after it was found in which a peer that sent no status yet may live. The
# longest status interval is shorter.
_UNHEARD_S = 12.0
# Time after which an unresponsive instance is removed from the table. Until
# then it still gets the status.
_REMOVAL_S = 60.0


_Rank = tuple[float, int]


class Peer(msgspec.Struct):
    """Another instance.

    Attributes:
        id: Its name.
        address: Host and port for datagrams.
        zone: Its availability zone.
        cores: Processor cores that it may use.
        found_s: Time on the boot clock at which this instance learned of it.
        heard_s: Time on the boot clock of its last status, or 0.
        version: Version of its catalogue, or -1.
        reaches_store: Whether its last read of the store succeeded.
        link_mbps: Demand of its requests on the inter-zone link.
        is_stopping: Whether it has announced its planned stop.
        accepts_relays: Whether it serves requests that peers relay.
        cut_services: Services of which it reaches no target.
        gives_permits: Whether it gives out permits for limited targets and
            sends them no request without one.
    """

    id: ids.InstanceId
    address: tuple[str, int]
    zone: ids.ZoneId
    cores: float
    found_s: float
    heard_s: float = 0.0
    version: int = -1
    reaches_store: bool = False
    link_mbps: float = 0.0
    is_stopping: bool = False
    accepts_relays: bool = False
    cut_services: frozenset[views.ServiceName] = frozenset()
    gives_permits: bool = False


class PeerTable:
    """All known instances except this one.

    Args:
        instance: Name of this instance.
        zone: Its availability zone.
        cores: Processor cores that it may use.
    """

    def __init__(
        self, instance: ids.InstanceId, zone: ids.ZoneId, cores: float = 1.0
    ):
        self._cores = cores
        self._instance = instance
        self._zone = zone
        self._lock = threading.Lock()
        self._peers: dict[ids.InstanceId, Peer] = {}
        self._zone_interval_s = _ZONE_INTERVAL_S
        self._remote_interval_s = _REMOTE_INTERVAL_S
        self.reaches_store = True

    def add(
        self,
        record: sources.InstanceRecord,
        *,
        is_just_announced: bool = True,
    ) -> Peer | None:
        """Adds or updates a peer.

        Args:
            record: Its record.
            is_just_announced: Whether it may be a store poller before its
                first status arrives.

        Returns:
            The peer, or None if the record is this instance's own or is
            invalid.
        """
        if record.id == self._instance:
            return None
        try:
            endpoint = recordchecks.check_instance(record)
        except exceptions.CatalogueError as exc:
            logging.warning("peer ignored, its record is invalid: %s", exc)
            return None
        with self._lock:
            peer = self._peers.get(record.id)
            is_new = peer is None
            if is_new:
                found_s = clocks.boot_s()
                if not is_just_announced:
                    found_s -= _DISCOVERY_S
                peer = Peer(
                    record.id,
                    endpoint,
                    record.zone,
                    record.cores,
                    found_s,
                )
                self._peers[record.id] = peer
            peer.address = endpoint
            peer.zone = record.zone
            peer.cores = record.cores
            if is_new:
                self._set_intervals()
            return peer

    def remove(self, peer_id: ids.InstanceId) -> None:
        """Removes an instance that is stopping."""
        with self._lock:
            self._peers.pop(peer_id, None)
            self._set_intervals()

    def remove_unresponsive(self) -> list[ids.InstanceId]:
        """Removes and returns instances from which no status comes any more."""
        oldest_s = clocks.boot_s() - _REMOVAL_S
        gone = []
        with self._lock:
            for peer in list(self._peers.values()):
                if max(peer.found_s, peer.heard_s) < oldest_s:
                    del self._peers[peer.id]
                    gone.append(peer.id)
            if gone:
                self._set_intervals()
        return gone

    def get(self, peer_id: ids.InstanceId) -> Peer | None:
        """Returns a peer by name, or None if it is unknown."""
        with self._lock:
            return self._peers.get(peer_id)

    def all(self) -> list[Peer]:
        """Returns all peers, unresponsive ones included."""
        with self._lock:
            return list(self._peers.values())

    def interval_s(self, zone: ids.ZoneId) -> float:
        """Returns the interval of the status from and to peers of a zone."""
        return (
            self._zone_interval_s
            if zone == self._zone
            else self._remote_interval_s
        )

    @property
    def longest_interval_s(self) -> float:
        """Longest interval of the status to any peer."""
        return max(self._zone_interval_s, self._remote_interval_s)

    def _set_intervals(self) -> None:
        same_zone = 0
        for peer in self._peers.values():
            same_zone += peer.zone == self._zone
        remote = len(self._peers) - same_zone
        self._zone_interval_s = max(
            _ZONE_INTERVAL_S, same_zone * _ZONE_INTERVAL_S_PER_PEER
        )
        self._remote_interval_s = max(
            _REMOTE_INTERVAL_S, remote * _REMOTE_INTERVAL_S_PER_PEER
        )

    def alive(self) -> list[Peer]:
        """Returns the peers from which a status arrived recently."""
        now_s = clocks.boot_s()
        found = []
        for peer in self.all():
            if self.missing_since_s(peer) >= now_s:
                found.append(peer)
        return found

    def missing_since_s(self, peer: Peer) -> float:
        """Returns when a peer counts as missing without a further status.

        Returns:
            Time on the boot clock.
        """
        limit_s = self.interval_s(peer.zone) * _ALIVE_INTERVALS
        return peer.heard_s + max(_ALIVE_S, limit_s)

    def is_present(self, peer: Peer) -> bool:
        """Whether a peer that was asked is known to live.

        A stopping peer still ends the requests that it has accepted.
        """
        return peer.is_stopping or peer in self.alive()

    def uncut(self, service: views.ServiceName) -> list[Peer]:
        """Returns live peers that serve relayed requests of a service."""
        found = []
        for peer in self.alive():
            if peer.accepts_relays and service not in peer.cut_services:
                found.append(peer)
        return found

    def _just_announced(self) -> list[Peer]:
        """Returns new peers from which no status has arrived yet."""
        oldest_s = clocks.boot_s() - _DISCOVERY_S
        found = []
        for peer in self.all():
            if not peer.heard_s and peer.found_s >= oldest_s:
                found.append(peer)
        return found

    @property
    def instance_count(self) -> int:
        """Number of live instances, this one included."""
        return 1 + len(self.alive())

    def link_demand_mbps(self) -> float:
        """Returns the demand of all live peers on the inter-zone link."""
        total = 0.0
        for peer in self.alive():
            total += peer.link_mbps
        return total

    def count_unheard(self) -> int:
        """Returns how many peers were found lately and sent no status yet."""
        oldest_s = clocks.boot_s() - _UNHEARD_S
        count = 0
        for peer in self.all():
            count += not peer.heard_s and peer.found_s > oldest_s
        return count

    def store_pollers(self, count: int) -> list[Peer | None]:
        """Returns the store pollers of the zone, first choice first.

        Instances with the most cores come first, since pollers answer many
        peers; a hash of the name breaks ties. Instances that know the same
        members get the same result. None stands for this instance.
        """
        ranked: list[tuple[_Rank, Peer | None]] = []
        if self.reaches_store:
            ranked.append((_rank(self._instance, self._cores), None))
        for peer in self.alive():
            if peer.zone == self._zone and peer.reaches_store:
                ranked.append((_rank(peer.id, peer.cores), peer))
        for peer in self._just_announced():
            if peer.zone == self._zone:
                ranked.append((_rank(peer.id, peer.cores), peer))
        ranked.sort(key=lambda row: row[0])
        return [peer for _, peer in ranked[:count]]

    def with_store_access(
        self, count: int, excluded: collections.abc.Container[Peer] = ()
    ) -> list[Peer]:
        """Returns peers that reach the store, those of the same zone first.

        The order within a zone is random, since many instances may ask at
        once.
        """
        rows = []
        for peer in self.alive():
            if peer.reaches_store and peer not in excluded:
                rows.append(peer)
        random.shuffle(rows)
        rows.sort(key=lambda peer: peer.zone != self._zone)
        return rows[:count]

    def zone_count(self) -> int:
        """Returns the number of live instances of the zone, with this one."""
        return 1 + sum(1 for peer in self.alive() if peer.zone == self._zone)

    def rank(self) -> int:
        """Returns how many live peers rank before this instance."""
        own = _rank(self._instance, self._cores)
        before = 0
        for peer in self.alive():
            before += _rank(peer.id, peer.cores) < own
        return before


def _rank(instance: ids.InstanceId, cores: float) -> _Rank:
    return -cores, xxhash.xxh64_intdigest(instance.encode())
