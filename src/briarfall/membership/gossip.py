"""Heartbeats and gossip over a bounded number of links."""

import collections
import threading
import time

from absl import logging

from briarfall import exceptions
from briarfall.adapters import engine as engines
from briarfall.adapters import instancelist
from briarfall.membership import messages
from briarfall.membership import peers as peer_sets
from briarfall.membership import table as tables
from briarfall.pipelines import poison
from briarfall.pipelines import targets as target_tables

_MAX_MEMBERS = 64
_MAX_LOADS = 4
_MAX_NOTICES = 16
_CALL_TIMEOUT_S = 1.0
_SYNC_INTERVAL_S = 10.0
# A repeated full sync requires this many differing digests in succession, as
# updates in transit also make digests differ.
_SYNC_MISMATCHES = 5
_DRAIN_NOTICE_TTL_S = 4.0
_DRAIN_NOTICE_REPEAT_S = 1.0
_PULL_LIMIT = 500
_MIN_INTERVAL_S = 0.1


class _Outbox:
    """Updates not yet sent to one peer; newer ones replace older ones."""

    def __init__(self):
        self.members: dict[str, tables.Member] = {}
        self.loads: collections.OrderedDict[str, tuple] = (
            collections.OrderedDict()
        )
        self.draining: dict[str, messages.DrainNotice] = {}
        self.suspicions: dict[str, poison.Suspicion] = {}


class Gossip:
    """Exchanges heartbeats with neighbours and detects unresponsive ones.

    Heartbeats carry updates about members, loads of targets, draining targets
    and requests that crash targets.

    Args:
        members: The member table.
        peers: Links to peers.
        table: States of targets.
        guard: Tracks requests that crash targets.
        listing: The platform's instance list.
        follower: The catalogue follower.
        cfg: Timing and number of links.
        seeds: Addresses to query while no other member is known.
    """

    def __init__(
        self, members, peers, table, guard, listing, follower, cfg, seeds=()
    ):
        self._members: tables.MemberTable = members
        self._peers: peer_sets.PeerSet = peers
        self._table: target_tables.TargetTable = table
        self._guard: poison.PoisonGuard = guard
        self._listing: instancelist.InstanceListAdapter = listing
        self._follower = follower
        self._cfg = cfg
        self._seeds = seeds
        self._lock = threading.Lock()
        self._outboxes: dict[str, _Outbox] = {}
        self._last_heard_s: dict[str, float] = {}
        self._last_sync_s: dict[str, float] = {}
        self._mismatches: collections.Counter = collections.Counter()
        self._draining: dict[str, tuple[messages.DrainNotice, float]] = {}
        self._listed_draining: set[str] = set()
        self._sequence = 0
        self._stopping = threading.Event()
        self._wake_requested = threading.Event()
        members.on_change = self._on_member_change
        guard.notify_peers = self._send_suspicion

    def start(self) -> None:
        """Starts the gossip thread and the thread that polls the list."""
        for target in (self._run, self._run_listing):
            threading.Thread(
                target=target, name=target.__name__, daemon=True
            ).start()

    def stop(self) -> None:
        """Stops both threads."""
        self._stopping.set()
        self._wake_requested.set()

    def wake(self) -> None:
        """Starts the next round of heartbeats early, to send updates."""
        self._wake_requested.set()

    def neighbours(self) -> list[str]:
        """Returns the members to which this instance keeps links.

        The members form a ring, sorted by name. Links to members at
        exponentially growing distances keep the path between any two members
        short with a bounded number of links.
        """
        names = [
            m.id
            for m in self._members.all()
            if m.state is not tables.MemberState.DEAD
        ]
        names.sort()
        own_index = names.index(self._members.me.id)
        chosen: list[str] = []
        distance = 1
        while distance < len(names) and len(chosen) < self._cfg.max_links:
            peer = names[(own_index + distance) % len(names)]
            if peer not in chosen:
                chosen.append(peer)
            step = max(2, round(len(names) ** (1 / self._cfg.max_links)))
            distance *= step
        return chosen

    def publish_load(self, target: str, report: engines.LoadReport) -> None:
        """Queues for all peers a load report that this instance fetched."""
        measured_s = time.monotonic() - report.age_s
        running = report.running + report.waiting
        with self._lock:
            for outbox in self._outboxes.values():
                outbox.loads[target] = (running, measured_s)
        if report.leaving:
            self._announce_draining(target)

    def handle_heartbeat(
        self, message: messages.Heartbeat
    ) -> messages.Heartbeat:
        """Handles a heartbeat of a peer and returns this instance's own."""
        self._apply(message)
        if message.is_complete:
            if message.applied > self._follower.next_offset:
                threading.Thread(
                    target=self._pull_if_behind,
                    args=(message.sender, message.applied),
                    name="link-pull",
                    daemon=True,
                ).start()
        return self._compose_heartbeat(message.sender)

    def handle_members(self, _: str) -> list[tables.Member]:
        """Handles a peer's request for the member table."""
        return self._members.all()

    def handle_suspicion(self, suspicion: poison.Suspicion) -> None:
        """Merges a suspicion from a peer and forwards it if it is new."""
        if self._guard.merge(suspicion):
            self._send_suspicion(suspicion)

    def _run(self) -> None:
        while not self._stopping.is_set():
            started = time.monotonic()
            neighbours = self.neighbours()
            if not neighbours:
                self._ask_seeds()
            self._trim_outboxes(neighbours)
            answers = [self._send_heartbeat(peer) for peer in neighbours]
            self._accept_peer_catalogue([a for a in answers if a is not None])
            self._members.expire(self._cfg.suspect_s)
            self._expire_drain_notices()
            self._peers.close_idle(set(neighbours))
            spent_s = time.monotonic() - started
            self._stopping.wait(_MIN_INTERVAL_S)
            left_s = self._cfg.heartbeat_s - spent_s - _MIN_INTERVAL_S
            self._wake_requested.wait(max(0.0, left_s))
            self._wake_requested.clear()

    def _send_heartbeat(self, peer: str) -> messages.Heartbeat | None:
        message = self._compose_heartbeat(peer)
        try:
            answer = self._peers.call(
                peer, "gossip", message, messages.Heartbeat, _CALL_TIMEOUT_S
            )
        except exceptions.BriarfallError as exc:
            self._requeue(peer, message)
            self._record_unresponsive(peer, exc)
            return None
        self._apply(answer)
        self._sync_if_different(peer, answer.digest)
        if answer.is_complete:
            self._pull_if_behind(peer, answer.applied)
        return answer

    def _accept_peer_catalogue(self, answers: list[messages.Heartbeat]) -> None:
        """Marks the catalogue complete without the log.

        Applies while the log is unavailable, once this instance has applied
        as many records as the peers with a complete catalogue that answered.
        """
        if self._follower.caught_up.is_set() or self._follower.log_up:
            return
        offsets = [a.applied for a in answers if a.is_complete]
        if offsets and self._follower.next_offset >= max(offsets):
            logging.info(
                "catalogue complete from peers while the log is unavailable"
            )
            self._follower.caught_up.set()

    def _ask_seeds(self) -> None:
        """Fetches the member table from the first seed that answers."""
        for address in self._seeds:
            if address == self._members.me.address:
                continue
            try:
                found = self._peers.call_address(
                    address, "members", "", list[tables.Member], _CALL_TIMEOUT_S
                )
            except exceptions.BriarfallError as exc:
                logging.info(
                    "seed %s did not return its members: %s",
                    address,
                    exc,
                )
                continue
            for member in found:
                self._members.merge(member)
            return

    def _record_unresponsive(self, peer: str, exc: Exception) -> None:
        now = time.monotonic()
        unresponsive_s = now - self._last_heard_s.setdefault(peer, now)
        if unresponsive_s > self._cfg.suspect_s:
            logging.info(
                "peer %s is unresponsive, marking it as suspected: %s",
                peer,
                exc,
            )
            self._members.suspect(peer)

    def _outbox(self, peer: str) -> _Outbox:
        outbox = self._outboxes.get(peer)
        if outbox is None:
            outbox = self._outboxes.setdefault(peer, _Outbox())
            me = self._members.me
            outbox.members[me.id] = me
        return outbox

    def _trim_outboxes(self, neighbours: list[str]) -> None:
        """Removes outboxes of peers that are no longer neighbours.

        A peer that still sends heartbeats to this instance keeps its outbox.
        """
        now = time.monotonic()
        with self._lock:
            for peer in list(self._outboxes):
                if peer in neighbours:
                    continue
                last_heard_s = self._last_heard_s.get(peer, float("-inf"))
                if now - last_heard_s > 2 * self._cfg.suspect_s:
                    del self._outboxes[peer]

    def _compose_heartbeat(self, peer: str) -> messages.Heartbeat:
        now = time.monotonic()
        # The table calls back into this object while it is locked, so that its
        # lock must not be waited for under this one.
        digest = self._members.digest()
        with self._lock:
            outbox = self._outbox(peer)
            message = messages.Heartbeat(
                self._members.me.id,
                self._follower.next_offset,
                self._follower.caught_up.is_set(),
                digest,
                _pop_first(outbox.members, _MAX_MEMBERS),
                [],
                _pop_first(outbox.draining, _MAX_NOTICES),
                _pop_first(outbox.suspicions, _MAX_NOTICES),
            )
            while outbox.loads and len(message.loads) < _MAX_LOADS:
                target, (running, measured_s) = outbox.loads.popitem(last=False)
                age_ms = int((now - measured_s) * 1000)
                message.loads.append(
                    messages.LoadDigest(target, running, age_ms)
                )
        return message

    def _requeue(self, peer: str, message: messages.Heartbeat) -> None:
        """Requeues undelivered updates, unless newer ones are queued.

        Loads are not requeued.
        """
        with self._lock:
            outbox = self._outbox(peer)
            for member in message.members:
                outbox.members.setdefault(member.id, member)
            for notice in message.draining:
                outbox.draining.setdefault(notice.target, notice)
            for suspicion in message.suspicions:
                outbox.suspicions.setdefault(suspicion.fingerprint, suspicion)

    def _apply(self, message: messages.Heartbeat) -> None:
        self._last_heard_s[message.sender] = time.monotonic()
        for member in message.members:
            self._members.merge(member)
        for digest in message.loads:
            self._apply_load(message.sender, digest)
        for notice in message.draining:
            self._apply_drain_notice(notice)
        for suspicion in message.suspicions:
            self.handle_suspicion(suspicion)

    def _apply_load(self, sender: str, digest: messages.LoadDigest) -> None:
        measured_s = time.monotonic() - digest.age_ms / 1000
        if self._table.status(digest.target).report_s >= measured_s:
            return
        self._table.apply_gossiped_load(
            digest.target, digest.running, measured_s
        )
        with self._lock:
            for peer, outbox in self._outboxes.items():
                if peer != sender:
                    outbox.loads[digest.target] = (digest.running, measured_s)

    def _apply_drain_notice(self, notice: messages.DrainNotice) -> None:
        now = time.monotonic()
        with self._lock:
            known = self._draining.get(notice.target)
            if known is not None and known[0].origin == notice.origin:
                if known[0].sequence >= notice.sequence:
                    return
            self._draining[notice.target] = (notice, now + _DRAIN_NOTICE_TTL_S)
            for outbox in self._outboxes.values():
                outbox.draining[notice.target] = notice
        self._table.set_draining(notice.target, "gossip", True)

    def _announce_draining(self, target: str) -> None:
        with self._lock:
            known = self._draining.get(target)
            if known is not None:
                left_s = known[1] - time.monotonic()
                if left_s > _DRAIN_NOTICE_TTL_S - _DRAIN_NOTICE_REPEAT_S:
                    return
            self._sequence += 1
            sequence = self._sequence
        self._apply_drain_notice(
            messages.DrainNotice(target, self._members.me.id, sequence)
        )

    def _expire_drain_notices(self) -> None:
        now = time.monotonic()
        for target in self._listed_draining:
            self._announce_draining(target)
        with self._lock:
            expired = [
                t for t, (_, until) in self._draining.items() if until < now
            ]
            for target in expired:
                del self._draining[target]
        for target in expired:
            self._table.set_draining(target, "gossip", False)

    def _on_member_change(self, member: tables.Member) -> None:
        with self._lock:
            for outbox in self._outboxes.values():
                outbox.members[member.id] = member

    def _send_suspicion(self, suspicion: poison.Suspicion) -> None:
        """Sends a suspicion to all neighbours immediately; they forward it."""
        for peer in self.neighbours():
            try:
                self._peers.send_one_way(peer, "poison", suspicion)
            except exceptions.PeerError:
                with self._lock:
                    outbox = self._outbox(peer)
                    outbox.suspicions[suspicion.fingerprint] = suspicion

    def _sync_if_different(self, peer: str, digest: int) -> None:
        if digest == self._members.digest():
            self._mismatches[peer] = 0
            return
        self._mismatches[peer] += 1
        now = time.monotonic()
        last_sync_s = self._last_sync_s.get(peer)
        if last_sync_s is not None:
            if self._mismatches[peer] < _SYNC_MISMATCHES:
                return
            if now - last_sync_s < _SYNC_INTERVAL_S:
                return
        self._last_sync_s[peer] = now
        try:
            members = self._peers.call(
                peer, "members", "", list[tables.Member], _CALL_TIMEOUT_S
            )
        except exceptions.BriarfallError:
            return
        for member in members:
            self._members.merge(member)
        self._queue_newer(peer, {m.id: m.version for m in members})

    def _queue_newer(self, peer: str, versions: dict[str, tuple]) -> None:
        """Queues the members of which a peer has no or an older record.

        Args:
            peer: Name of the peer.
            versions: Versions of the peer's records by member name.
        """
        with self._lock:
            outbox = self._outbox(peer)
            for member in self._members.all():
                known = versions.get(member.id)
                if known is None or known < member.version:
                    outbox.members[member.id] = member

    def _pull_if_behind(self, peer: str, applied: int) -> None:
        """Fetches catalogue records from a peer that has applied more.

        Does so only while the log cannot provide these records.
        """
        if applied <= self._follower.next_offset:
            return
        # The log is preferred because it also has the history, which a peer's
        # snapshot lacks.
        if not self._follower.should_pull_from_peers():
            return
        if self._follower.wait_offset(applied, 0.1):
            return
        try:
            self._follower.pull(
                lambda method, message, kind: self._peers.call(
                    peer, method, message, kind, _CALL_TIMEOUT_S
                ),
                _PULL_LIMIT,
            )
        except exceptions.BriarfallError as exc:
            logging.info("catalogue not pulled from peer %s: %s", peer, exc)

    def _run_listing(self) -> None:
        while not self._stopping.is_set():
            try:
                self._read_listing()
            except exceptions.BriarfallError as exc:
                logging.log_every_n_seconds(
                    logging.WARNING,
                    "instance list not read, keeping the last state: %s",
                    30,
                    exc,
                )
            self._stopping.wait(self._cfg.poll_s)

    def _read_listing(self) -> None:
        draining = set()
        for listed in self._listing.fetch():
            if listed.address:
                self._members.merge_listed(listed)
            elif listed.state is instancelist.ListedState.LEAVING:
                draining.add(listed.id)
        for target in draining:
            self._table.set_draining(target, "list", True)
        for target in self._listed_draining - draining:
            self._table.set_draining(target, "list", False)
        self._listed_draining = draining


def _pop_first(queue: dict, limit: int) -> list:
    keys = list(queue)[:limit]
    return [queue.pop(key) for key in keys]
