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
# News that are still on their way also make digests differ.
_SYNC_MISMATCHES = 5
_LEAVING_TTL_S = 4.0
_LEAVING_REPEAT_S = 1.0
_PULL_LIMIT = 500
_MIN_INTERVAL_S = 0.1


class _Outbox:
    """What one neighbour has not been told yet; newer news replace older."""

    def __init__(self):
        self.members: dict[str, tables.Member] = {}
        self.loads: collections.OrderedDict[str, tuple] = (
            collections.OrderedDict()
        )
        self.leaving: dict[str, messages.LeavingNotice] = {}
        self.suspicions: dict[str, poison.Suspicion] = {}


class Gossip:
    """Exchanges news with neighbours and watches whether they live.

    Args:
        members: The member table.
        peers: Links to peers.
        table: States of targets.
        guard: Knows requests that crash targets.
        listing: The platform's instance list.
        follower: The catalogue follower.
        cfg: Timing.
        seeds: Addresses to ask while no other member is known.
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
        self._heard_s: dict[str, float] = {}
        self._synced_s: dict[str, float] = {}
        self._mismatches: collections.Counter = collections.Counter()
        self._leaving: dict[str, tuple[messages.LeavingNotice, float]] = {}
        self._listed_leaving: set[str] = set()
        self._sequence = 0
        self._stopping = threading.Event()
        self._urgent = threading.Event()
        members.on_change = self._on_member
        guard.tell = self._on_suspicion

    def start(self) -> None:
        """Starts the gossip and the listing thread."""
        for target in (self._run, self._run_listing):
            threading.Thread(
                target=target, name=target.__name__, daemon=True
            ).start()

    def stop(self) -> None:
        """Stops both threads."""
        self._stopping.set()
        self._urgent.set()

    def wake(self) -> None:
        """Starts the next round of heartbeats early, to spread news."""
        self._urgent.set()

    def neighbours(self) -> list[str]:
        """Returns the members that this instance keeps links to.

        The members form a ring by name; chords at doubling distances keep
        the way between any two short with a bounded number of links.
        """
        names = [
            m.id
            for m in self._members.all()
            if m.state is not tables.MemberState.DEAD
        ]
        names.sort()
        me = names.index(self._members.me.id)
        chosen: list[str] = []
        distance = 1
        while distance < len(names) and len(chosen) < self._cfg.max_links:
            peer = names[(me + distance) % len(names)]
            if peer not in chosen:
                chosen.append(peer)
            step = max(2, round(len(names) ** (1 / self._cfg.max_links)))
            distance *= step
        return chosen

    def note_load(self, target: str, report: engines.LoadReport) -> None:
        """Spreads a load report that this instance fetched itself."""
        taken_s = time.monotonic() - report.age_s
        running = report.running + report.waiting
        with self._lock:
            for outbox in self._outboxes.values():
                outbox.loads[target] = (running, taken_s)
        if report.leaving:
            self._announce_leaving(target)

    def handle_exchange(self, message: messages.Exchange) -> messages.Exchange:
        """Serves a neighbour's heartbeat."""
        self._take(message)
        if message.is_complete:
            if message.applied > self._follower.next_offset:
                threading.Thread(
                    target=self._pull_if_behind,
                    args=(message.sender, message.applied),
                    name="link-pull",
                    daemon=True,
                ).start()
        return self._compose(message.sender)

    def handle_members(self, _: str) -> list[tables.Member]:
        """Serves the whole member table."""
        return self._members.all()

    def handle_suspicion(self, suspicion: poison.Suspicion) -> None:
        """Takes urgent news of a request that crashes targets."""
        if self._guard.learn(suspicion):
            self._on_suspicion(suspicion)

    def _run(self) -> None:
        while not self._stopping.is_set():
            started = time.monotonic()
            neighbours = self.neighbours()
            if not neighbours:
                self._ask_seeds()
            self._trim_outboxes(neighbours)
            answers = [self._beat(peer) for peer in neighbours]
            self._adopt_catalogue([a for a in answers if a is not None])
            self._members.advance(self._cfg.suspect_s)
            self._expire_leaving()
            self._peers.close_idle(set(neighbours))
            spent_s = time.monotonic() - started
            self._stopping.wait(_MIN_INTERVAL_S)
            left_s = self._cfg.heartbeat_s - spent_s - _MIN_INTERVAL_S
            self._urgent.wait(max(0.0, left_s))
            self._urgent.clear()

    def _beat(self, peer: str) -> messages.Exchange | None:
        message = self._compose(peer)
        try:
            answer = self._peers.call(
                peer, "gossip", message, messages.Exchange, _CALL_TIMEOUT_S
            )
        except exceptions.BriarfallError as exc:
            self._restore(peer, message)
            self._note_silence(peer, exc)
            return None
        self._take(answer)
        self._sync_if_different(peer, answer.digest)
        if answer.is_complete:
            self._pull_if_behind(peer, answer.applied)
        return answer

    def _adopt_catalogue(self, answers: list[messages.Exchange]) -> None:
        """Serves without the log once no reachable peer is further."""
        if self._follower.caught_up.is_set() or self._follower.log_up:
            return
        offsets = [a.applied for a in answers if a.is_complete]
        if offsets and self._follower.next_offset >= max(offsets):
            logging.info("catalogue taken from peers while the log is down")
            self._follower.caught_up.set()

    def _ask_seeds(self) -> None:
        """Learns members from the first seed that answers."""
        for address in self._seeds:
            if address == self._members.me.address:
                continue
            try:
                found = self._peers.call_address(
                    address, "members", "", list[tables.Member], _CALL_TIMEOUT_S
                )
            except exceptions.BriarfallError as exc:
                logging.info("seed %s: %s", address, exc)
                continue
            for member in found:
                self._members.learn(member)
            return

    def _note_silence(self, peer: str, exc: Exception) -> None:
        now = time.monotonic()
        silent_s = now - self._heard_s.setdefault(peer, now)
        if silent_s > self._cfg.suspect_s:
            logging.info("peer %s is silent: %s", peer, exc)
            self._members.suspect(peer)

    def _outbox(self, peer: str) -> _Outbox:
        outbox = self._outboxes.get(peer)
        if outbox is None:
            outbox = self._outboxes.setdefault(peer, _Outbox())
            me = self._members.me
            outbox.members[me.id] = me
        return outbox

    def _trim_outboxes(self, neighbours: list[str]) -> None:
        """Forgets peers that neither side keeps a link to any more."""
        now = time.monotonic()
        with self._lock:
            for peer in list(self._outboxes):
                if peer in neighbours:
                    continue
                heard_s = self._heard_s.get(peer, float("-inf"))
                if now - heard_s > 2 * self._cfg.suspect_s:
                    del self._outboxes[peer]

    def _compose(self, peer: str) -> messages.Exchange:
        now = time.monotonic()
        with self._lock:
            outbox = self._outbox(peer)
            message = messages.Exchange(
                self._members.me.id,
                self._follower.next_offset,
                self._follower.caught_up.is_set(),
                self._members.digest(),
                _drain(outbox.members, _MAX_MEMBERS),
                [],
                _drain(outbox.leaving, _MAX_NOTICES),
                _drain(outbox.suspicions, _MAX_NOTICES),
            )
            while outbox.loads and len(message.loads) < _MAX_LOADS:
                target, (running, taken_s) = outbox.loads.popitem(last=False)
                age_ms = int((now - taken_s) * 1000)
                message.loads.append(
                    messages.LoadDigest(target, running, age_ms)
                )
        return message

    def _restore(self, peer: str, message: messages.Exchange) -> None:
        """Keeps news whose delivery failed, unless there are newer ones."""
        with self._lock:
            outbox = self._outbox(peer)
            for member in message.members:
                outbox.members.setdefault(member.id, member)
            for notice in message.leaving:
                outbox.leaving.setdefault(notice.target, notice)
            for suspicion in message.suspicions:
                outbox.suspicions.setdefault(suspicion.fingerprint, suspicion)

    def _take(self, message: messages.Exchange) -> None:
        self._heard_s[message.sender] = time.monotonic()
        for member in message.members:
            self._members.learn(member)
        for digest in message.loads:
            self._take_load(message.sender, digest)
        for notice in message.leaving:
            self._take_leaving(notice)
        for suspicion in message.suspicions:
            self.handle_suspicion(suspicion)

    def _take_load(self, sender: str, digest: messages.LoadDigest) -> None:
        taken_s = time.monotonic() - digest.age_ms / 1000
        if self._table.status(digest.target).report_s >= taken_s:
            return
        self._table.note_gossip(digest.target, digest.running, taken_s)
        with self._lock:
            for peer, outbox in self._outboxes.items():
                if peer != sender:
                    outbox.loads[digest.target] = (digest.running, taken_s)

    def _take_leaving(self, notice: messages.LeavingNotice) -> None:
        now = time.monotonic()
        with self._lock:
            known = self._leaving.get(notice.target)
            if known is not None and known[0].origin == notice.origin:
                if known[0].sequence >= notice.sequence:
                    return
            self._leaving[notice.target] = (notice, now + _LEAVING_TTL_S)
            for outbox in self._outboxes.values():
                outbox.leaving[notice.target] = notice
        self._table.set_leaving(notice.target, "gossip", True)

    def _announce_leaving(self, target: str) -> None:
        with self._lock:
            known = self._leaving.get(target)
            if known is not None:
                left_s = known[1] - time.monotonic()
                if left_s > _LEAVING_TTL_S - _LEAVING_REPEAT_S:
                    return
            self._sequence += 1
            sequence = self._sequence
        self._take_leaving(
            messages.LeavingNotice(target, self._members.me.id, sequence)
        )

    def _expire_leaving(self) -> None:
        now = time.monotonic()
        for target in self._listed_leaving:
            self._announce_leaving(target)
        with self._lock:
            gone = [t for t, (_, until) in self._leaving.items() if until < now]
            for target in gone:
                del self._leaving[target]
        for target in gone:
            self._table.set_leaving(target, "gossip", False)

    def _on_member(self, member: tables.Member) -> None:
        with self._lock:
            for outbox in self._outboxes.values():
                outbox.members[member.id] = member

    def _on_suspicion(self, suspicion: poison.Suspicion) -> None:
        """Tells neighbours at once; they pass it on."""
        for peer in self.neighbours():
            try:
                self._peers.cast(peer, "poison", suspicion)
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
        synced_s = self._synced_s.get(peer)
        if synced_s is not None:
            if self._mismatches[peer] < _SYNC_MISMATCHES:
                return
            if now - synced_s < _SYNC_INTERVAL_S:
                return
        self._synced_s[peer] = now
        try:
            members = self._peers.call(
                peer, "members", "", list[tables.Member], _CALL_TIMEOUT_S
            )
        except exceptions.BriarfallError:
            return
        for member in members:
            self._members.learn(member)
        self._push_newer(peer, {m.id: m.version for m in members})

    def _push_newer(self, peer: str, versions: dict[str, tuple]) -> None:
        """Queues what this instance knows better than a peer."""
        with self._lock:
            outbox = self._outbox(peer)
            for member in self._members.all():
                known = versions.get(member.id)
                if known is None or known < member.version:
                    outbox.members[member.id] = member

    def _pull_if_behind(self, peer: str, applied: int) -> None:
        """Fetches catalogue records that a peer has and the log withholds."""
        if applied <= self._follower.next_offset:
            return
        # The log tells more than a peer's snapshot: also the history.
        if not self._follower.needs_peers():
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
            logging.info("pull from %s: %s", peer, exc)

    def _run_listing(self) -> None:
        while not self._stopping.is_set():
            try:
                self._read_listing()
            except exceptions.BriarfallError as exc:
                logging.log_every_n_seconds(
                    logging.WARNING, "instance list: %s", 30, exc
                )
            self._stopping.wait(self._cfg.poll_s)

    def _read_listing(self) -> None:
        leaving = set()
        for listed in self._listing.fetch():
            if listed.address:
                self._members.learn_listed(listed)
            elif listed.state is instancelist.ListedState.LEAVING:
                leaving.add(listed.id)
        for target in leaving:
            self._table.set_leaving(target, "list", True)
        for target in self._listed_leaving - leaving:
            self._table.set_leaving(target, "list", False)
        self._listed_leaving = leaving


def _drain(box: dict, limit: int) -> list:
    keys = list(box)[:limit]
    return [box.pop(key) for key in keys]
