"""Choice of the peer to which a request is relayed."""

import collections.abc
import random
import threading

from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway.catalogue import views
from briarfall.gateway.peers import peers

# Added to the relayed requests in flight per core: for a peer of another zone,
# and as the upper end of a random share.
_REMOTE_ZONE_COST = 4.0
_RANDOM_COST = 1.0
# Time for which a peer that could not serve a service is not asked again for
# it; by then its status says whether it is cut off itself.
_DECLINED_S = 0.5


class RelayPeers:
    """Spreads relayed requests over the peers that can serve them.

    Args:
        table: Other instances.
        zone: Availability zone of this instance.
        rng: Random number generator for the random share of costs.
    """

    def __init__(
        self, table: peers.PeerTable, zone: ids.ZoneId, rng: random.Random
    ):
        self._table = table
        self._zone = zone
        self._rng = rng
        self._lock = threading.Lock()
        self._in_flight: dict[ids.InstanceId, int] = {}
        self._declined_until_s: dict[
            tuple[ids.InstanceId, views.ServiceName], float
        ] = {}

    def choose(
        self,
        service: views.ServiceName,
        excluded: collections.abc.Container[ids.InstanceId],
        heard_after_s: float = 0.0,
    ) -> peers.Peer | None:
        """Returns the peer to ask next, or None if none is left.

        Args:
            service: Service of the request.
            excluded: Peers that were asked already.
            heard_after_s: Time on the boot clock after which the peer must have
                sent its status.
        """
        now_s = clocks.boot_s()
        best = None
        for peer in self._table.uncut(service):
            if peer.id in excluded or peer.heard_s < heard_after_s:
                continue
            if self._declined_until_s.get((peer.id, service), 0.0) > now_s:
                continue
            cost = self._in_flight.get(peer.id, 0) / max(0.1, peer.cores)
            if peer.zone != self._zone:
                cost += _REMOTE_ZONE_COST
            cost += _RANDOM_COST * self._rng.random()
            if best is None or cost < best[0]:
                best = (cost, peer)
        return best[1] if best else None

    def record_declined(
        self, peer: peers.Peer, service: views.ServiceName
    ) -> None:
        """Records that a peer could not serve a service."""
        until_s = clocks.boot_s() + _DECLINED_S
        self._declined_until_s[peer.id, service] = until_s

    def start(self, peer: peers.Peer) -> None:
        """Counts a request that is relayed to a peer."""
        with self._lock:
            self._in_flight[peer.id] = self._in_flight.get(peer.id, 0) + 1

    def end(self, peer: peers.Peer) -> None:
        """Subtracts a request whose relay has ended."""
        with self._lock:
            left = self._in_flight.get(peer.id, 0) - 1
            if left > 0:
                self._in_flight[peer.id] = left
            else:
                self._in_flight.pop(peer.id, None)
