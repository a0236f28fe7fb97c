"""Follows the list of targets, from the store or through other instances."""

import typing

from absl import logging

from briarfall import exceptions
from briarfall.gateway import clocks
from briarfall.gateway import workers
from briarfall.gateway.catalogue import catalogue
from briarfall.gateway.catalogue import sources
from briarfall.gateway.exchanges import connections
from briarfall.gateway.gossip import peermessages
from briarfall.gateway.peers import peers
from briarfall.gateway.targets import targets
from briarfall.gateway.targets import targetstate

# Store pollers of a zone: instances that read the store on behalf of the whole
# zone. The next instance takes over as soon as a poller becomes unresponsive
# or can't reach the store.
STORE_POLLERS_PER_ZONE = 1
_LIST_TIMEOUT_S = 0.7
# The shares below are shares of `leaving_bound_s`, the time after which a
# draining target gets no new work.
# Longest time that one request to a peer may take.
_REQUEST_TIMEOUT_SHARE = 0.08
_FETCH_TIMEOUT_S = 0.5
# Peers that are asked one after the other while the store does not answer.
_MAX_PEERS_ASKED = 3
# Interval of reads from the store, and so the greatest age of such a read.
_STORE_READ_SHARE = 0.4
# Interval of requests to peers.
_PEER_POLL_SHARE = 0.2
# Greatest age of a peer's target list that is still applied.
_MAX_AGE_SHARE = 0.5
# Age at which the table is refreshed, whatever its source: the rest of the
# bound is for store pollers that do not answer and for requests in flight.
_REFRESH_SHARE = 0.6
_MIN_PAUSE_S = 0.05


class PeerClient(typing.Protocol):
    """Client for requests to other instances."""

    def ask(
        self,
        peer: peers.Peer,
        incarnation: int,
        revision: int,
        timeout_s: float,
    ) -> peermessages.FreshnessResponse:
        """Asks a peer how old its catalogue and target list are."""

    def fetch_catalogue(self, peer: peers.Peer, timeout_s: float) -> bytes:
        """Returns a peer's catalogue in the platform's format."""

    def fetch_changes(
        self,
        peer: peers.Peer,
        answer: peermessages.FreshnessResponse,
        timeout_s: float,
    ) -> bytes:
        """Returns all packed changes of which an answer holds the first."""


class TargetFollower(workers.Worker):
    """Keeps the target table fresh.

    The store pollers of a zone read the store. The other instances ask the
    pollers, and read the store themselves if no answer is recent enough.

    Args:
        source: Source in which targets register.
        table: The table to refresh.
        follower: The catalogue; answers of peers confirm its version.
        pool: Connections to targets.
        peer_table: Other instances.
        peer_client: Client for requests to other instances.
        draining_bound_s: Time after which a draining target gets no new work.
    """

    def __init__(
        self,
        source: sources.TargetSource,
        table: targets.TargetTable,
        follower: catalogue.CatalogueFollower,
        pool: connections.ConnectionPool,
        peer_table: peers.PeerTable,
        peer_client: PeerClient,
        draining_bound_s: float,
    ):
        super().__init__("targets")
        self._source = source
        self._table = table
        self._follower = follower
        self._pool = pool
        self._peers = peer_table
        self._peer_client = peer_client
        self._draining_bound_s = draining_bound_s
        # Incarnation of the peer that sent the last changes, and the revision
        # of its target table that they led to.
        self._incarnation = 0
        self._revision = -1
        # Consecutive failed reads of the source, and the time on the boot
        # clock before which it is not read again.
        self._failures = 0
        self._next_read_s = 0.0

    def set_bound(self, draining_bound_s: float) -> None:
        """Changes the time after which a draining target gets no new work."""
        self._draining_bound_s = draining_bound_s

    def step(self) -> None:
        """Refreshes the table once and waits until the next round."""
        started_s = clocks.boot_s()
        share = _STORE_READ_SHARE
        if self._is_backing_off(started_s):
            self._ask_peers(self._peers.with_store_access(1))
            share = _PEER_POLL_SHARE
        elif self._is_full_list_due(started_s):
            self.read()
            share = _PEER_POLL_SHARE
        elif self._ask_store_pollers() or not self.read():
            share = _PEER_POLL_SHARE
        self._pool.close_idle()
        left_s = self._draining_bound_s * share - (clocks.boot_s() - started_s)
        if self._failures:
            left_s = min(left_s, self._next_read_s - clocks.boot_s())
        else:
            oldest_s = self._draining_bound_s * _REFRESH_SHARE
            left_s = min(left_s, oldest_s - self._table.age_s())
        due_s = self._table.full_list_due_s
        if due_s is not None and due_s > started_s:
            left_s = min(left_s, due_s - clocks.boot_s())
        self.stopped.wait(max(_MIN_PAUSE_S, left_s))

    def _is_backing_off(self, now_s: float) -> bool:
        return bool(self._failures) and now_s < self._next_read_s

    def _is_full_list_due(self, now_s: float) -> bool:
        due_s = self._table.full_list_due_s
        return due_s is not None and now_s >= due_s

    def read(self) -> bool:
        """Reads the list from the source, or from peers if that fails.

        Returns:
            Whether the source answered.
        """
        sent_s = clocks.boot_s()
        try:
            entries = self._source.list_targets(_LIST_TIMEOUT_S)
        except exceptions.BriarfallError as exc:
            if self._peers.reaches_store:
                logging.warning(
                    "targets not read from the store, asking peers: %s", exc
                )
            self._peers.reaches_store = False
            self._failures += 1
            self._next_read_s = clocks.boot_s() + workers.backoff_s(
                self._failures, self._peers.zone_count()
            )
            if not self._ask_peers(
                self._peers.with_store_access(_MAX_PEERS_ASKED)
            ):
                self._table.mark_source_lost()
            return False
        self._peers.reaches_store = True
        self._failures = 0
        self._close_connections(
            self._table.update(entries, sent_s, self._source.epoch)
        )
        if self._follower.is_source_lost:
            self._ask_peers(self._peers.with_store_access(_MAX_PEERS_ASKED))
        return True

    def _ask_store_pollers(self) -> bool:
        """Asks the store pollers; returns whether an answer was applied."""
        if not self._peers.reaches_store:
            return False
        if self._table.read_s is None or self._follower.view is None:
            return False
        store_pollers = self._peers.store_pollers(STORE_POLLERS_PER_ZONE)
        if not store_pollers or None in store_pollers:
            return False
        return self._ask_peers(store_pollers) or self._ask_peers(
            self._peers.with_store_access(1, excluded=store_pollers)
        )

    def _ask_peers(self, rows: list[peers.Peer]) -> bool:
        """Asks peers in turn; returns whether an answer was recent enough."""
        for peer in rows:
            asked_s = clocks.boot_s()
            try:
                answer = self._peer_client.ask(
                    peer,
                    self._incarnation,
                    -1 if self._is_full_list_due(asked_s) else self._revision,
                    self._draining_bound_s * _REQUEST_TIMEOUT_SHARE,
                )
                # The peer's last status may still hold an older version.
                peer.version = max(peer.version, answer.version)
                if self._follower.needs_peer:
                    self._follower.apply_from_peer(
                        self._peer_client.fetch_catalogue(
                            peer, _FETCH_TIMEOUT_S
                        )
                    )
                if self._apply_response(peer, answer, asked_s):
                    return True
            except exceptions.PeerError as exc:
                logging.info("peer silent, no usable answer: %s", exc)
                continue
        return False

    def _apply_response(
        self,
        peer: peers.Peer,
        answer: peermessages.FreshnessResponse,
        asked_s: float,
    ) -> bool:
        """Applies an answer; returns whether it was recent enough.

        Raises:
            PeerError: The peer did not send all changes.
        """
        if answer.catalogue_age_ms >= 0:
            confirmed_s = asked_s - answer.catalogue_age_ms / 1000
            self._follower.confirm_from_peer(
                answer.version, confirmed_s, is_proven=answer.reads_to_end
            )
        if answer.targets_age_ms < 0:
            return False
        age_s = answer.targets_age_ms / 1000
        if age_s > self._draining_bound_s * _MAX_AGE_SHARE:
            return False
        read_s = asked_s - age_s
        if self._table.read_s is not None and read_s < self._table.read_s:
            return True
        changes = peermessages.unpack_changes(
            self._peer_client.fetch_changes(peer, answer, _FETCH_TIMEOUT_S)
        )
        self._incarnation = answer.incarnation
        self._revision = changes.revision
        self._close_connections(
            self._table.apply_changes(
                changes.changed,
                changes.gone,
                read_s,
                # Earlier releases don't tell the revision.
                is_full=answer.since < 0 <= answer.revision,
                epoch=None if answer.epoch < 0 else answer.epoch,
            )
        )
        return True

    def _close_connections(self, gone: list[targetstate.Target]) -> None:
        for target in gone:
            self._pool.drop(target.entry.address)
