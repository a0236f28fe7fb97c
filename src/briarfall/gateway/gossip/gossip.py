"""Exchanges status, requests and responses with other instances over UDP."""

import collections.abc
import queue
import random
import socket
import threading
import typing

from absl import logging
import msgspec

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway.catalogue import sources
from briarfall.gateway.gossip import peermessages
from briarfall.gateway.gossip import peerresponder
from briarfall.gateway.gossip import peerstatus
from briarfall.gateway.peers import peers
from briarfall.gateway.targets import liveness
from briarfall.gateway.targets import loads
from briarfall.gateway.targets import ratelimits

# Interval of checks for peers whose status is due.
_TICK_S = 0.25
# A peer from which no status arrived for this time, and for the number of
# status intervals below, gets the status at most once in this time. The time
# counts from when the peer became known at the earliest, since the peer may
# still be starting.
_UNRESPONSIVE_S = 2.0
_UNRESPONSIVE_INTERVALS = 2.0
_MAX_DATAGRAM = 65_000
# Timeout for each part of a catalogue that is fetched from a peer.
_FETCH_TIMEOUT_S = 0.25
# Peers that are asked for a catalogue before the source is read.
_FETCH_ATTEMPTS = 3
# Parts of a catalogue or of changes.
_MAX_PARTS = 1000
_STORE_TIMEOUT_S = 1.0
_ANNOUNCE_RETRY_S = 1.0
# Datagrams that can't be decoded are logged at most this often.
_IGNORED_LOG_INTERVAL_S = 5.0

_Response = typing.TypeVar(
    "_Response",
    peermessages.FreshnessResponse,
    peermessages.PartResponse,
    peermessages.PermitResponse,
)


class Gossip:
    """Sends this instance's status to its peers and applies theirs.

    Args:
        record: Record with which this instance announces itself.
        source: Source in which instances announce themselves.
        peer_table: Other instances.
        load_table: Load that all instances put on targets.
        status: Builds the status and applies those of peers.
        responder: Answers questions of peers.
        activity: When this process last received anything.
    """

    def __init__(
        self,
        record: sources.InstanceRecord,
        source: sources.InstanceSource,
        peer_table: peers.PeerTable,
        load_table: loads.LoadTable,
        status: peerstatus.StatusExchange,
        responder: peerresponder.PeerResponder,
        activity: liveness.ReceiveActivity,
    ):
        self._activity = activity
        self._source = source
        source.set_listener(self._add_listed_again)
        self._peers = peer_table
        self._loads = load_table
        self._status = status
        self._responder = responder
        self._wake = threading.Event()
        self._closed = threading.Event()
        # Set once a peer was heard, or if no other instance is announced.
        self._knows_peers = threading.Event()
        self._respond_to_permit = _refuse_permit
        self._refresh_permits = _do_nothing
        self._lock = threading.Lock()
        self._last_number = 0
        # Count of datagrams that could not be received or decoded.
        self.ignored = 0
        self._last_ignored_log_s = 0.0
        self._pending: dict[int, queue.SimpleQueue] = {}
        host, _, port = record.address.rpartition(":")
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((host, int(port)))
        bound = "{}:{}".format(*self._sock.getsockname())
        self._record = msgspec.structs.replace(record, address=bound)

    def set_permit_responder(
        self,
        respond: collections.abc.Callable[
            [peermessages.PermitRequest], peermessages.PermitResponse
        ],
        refresh: collections.abc.Callable[[], None],
    ) -> None:
        """Sets what answers requests for permits.

        Args:
            respond: Returns the answer to a request.
            refresh: Called at short intervals.
        """
        self._respond_to_permit = respond
        self._refresh_permits = refresh

    def start(self) -> None:
        """Starts the threads that receive, send and announce."""
        for target in (self._receive_loop, self._send_loop, self._announce):
            thread = threading.Thread(
                target=target, name=f"gossip{target.__name__}", daemon=True
            )
            thread.start()

    def announce_stop(self) -> None:
        """Sends a last status saying that this instance is stopping."""
        self._status.announce_stop()
        self._wake.set()

    def close(self) -> None:
        """Ends the threads at once and closes the socket."""
        self._closed.set()
        self._wake.set()
        try:
            # Wakes the receiving thread, which blocks in recvfrom.
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._sock.close()

    def send_status_now(self) -> None:
        """Sends the status at once instead of at its next interval."""
        self._wake.set()

    def ask(
        self,
        peer: peers.Peer,
        incarnation: int,
        revision: int,
        timeout_s: float,
    ) -> peermessages.FreshnessResponse:
        """Asks a peer how old its catalogue and target list are.

        Raises:
            PeerError: The peer did not answer in time.
        """
        return self._exchange(
            peer,
            lambda number: peermessages.FreshnessRequest(
                number, incarnation, revision
            ),
            peermessages.FreshnessResponse,
            timeout_s,
        )

    def ask_permit(
        self, peer: peers.Peer, limit: ratelimits.LimitRow, timeout_s: float
    ) -> peermessages.PermitResponse:
        """Asks a target's home instance for a permit to send one request.

        Raises:
            PeerError: The peer did not answer in time.
        """
        return self._exchange(
            peer,
            lambda number: peermessages.PermitRequest(
                number, self._record.id, limit
            ),
            peermessages.PermitResponse,
            timeout_s,
        )

    def fetch_version(self, version: int) -> bytes:
        """Fetches a catalogue of at least some version from a peer.

        Peers of the zone that have the version are preferred and picked at
        random, weighted by cores, so that a new version spreads without
        overloading the peer that read it first.

        Raises:
            PeerError: No peer sent such a catalogue.
        """
        rows = [row for row in self._peers.alive() if row.version >= version]
        same_zone = [row for row in rows if row.zone == self._record.zone]
        rows = same_zone or rows
        failure = exceptions.PeerError(f"no peer has version {version}")
        for _ in range(_FETCH_ATTEMPTS):
            if not rows:
                break
            weights = [row.cores for row in rows]
            peer = random.choices(rows, weights)[0]
            rows.remove(peer)
            try:
                return self.fetch_catalogue(peer, _FETCH_TIMEOUT_S)
            except exceptions.PeerError as exc:
                logging.info("catalogue not fetched from a peer: %s", exc)
                failure = exc
        raise failure

    def fetch_catalogue(self, peer: peers.Peer, timeout_s: float) -> bytes:
        """Returns the catalogue of a peer in the platform's format.

        Raises:
            PeerError: The catalogue is incomplete or came too late.
        """
        question = peermessages.PartRequest(0, 0)
        data = self._fetch_parts(peer, question, [], timeout_s)
        return peermessages.inflate(data, f"catalogue of {peer.id}")

    def fetch_changes(
        self,
        peer: peers.Peer,
        answer: peermessages.FreshnessResponse,
        timeout_s: float,
    ) -> bytes:
        """Returns all packed changes, of which an answer holds the first part.

        Raises:
            PeerError: Not all parts arrived in time.
        """
        if answer.parts <= 1:
            return answer.changes
        question = peermessages.PartRequest(0, 0, answer.since, answer.revision)
        return self._fetch_parts(peer, question, [answer.changes], timeout_s)

    def _fetch_parts(
        self,
        peer: peers.Peer,
        question: peermessages.PartRequest,
        parts: list[bytes],
        timeout_s: float,
    ) -> bytes:
        """Fetches the missing parts and joins them to those given."""
        version = None
        while True:
            part = len(parts)
            answer = self._exchange(
                peer,
                lambda number, part=part: msgspec.structs.replace(
                    question, number=number, part=part
                ),
                peermessages.PartResponse,
                timeout_s,
            )
            if version is not None and answer.version != version:
                raise exceptions.PeerError(
                    f"{peer.id} changed to another version between two parts"
                )
            if answer.version < 0:
                raise exceptions.PeerError(
                    f"{peer.id} no longer holds the requested data"
                )
            if answer.count > _MAX_PARTS:
                raise exceptions.PeerError(
                    f"{peer.id} announces {answer.count} parts, expected at "
                    f"most {_MAX_PARTS}"
                )
            version = answer.version
            parts.append(answer.data)
            if len(parts) >= answer.count:
                return b"".join(parts)

    def _exchange(
        self,
        peer: peers.Peer,
        build_request,
        kind: type[_Response],
        timeout_s: float,
    ) -> _Response:
        """Sends the message that `build_request` makes; returns the answer."""
        inbox: queue.SimpleQueue = queue.SimpleQueue()
        with self._lock:
            self._last_number += 1
            number = self._last_number
            self._pending[number] = inbox
        try:
            self._send(build_request(number), peer.address)
            answer = inbox.get(timeout=timeout_s)
        except queue.Empty as exc:
            raise exceptions.PeerError(
                f"{peer.id} did not answer within {timeout_s:.2f} s"
            ) from exc
        finally:
            with self._lock:
                del self._pending[number]
        if not isinstance(answer, kind):
            raise exceptions.PeerError(
                f"{peer.id} answered with {type(answer).__name__}, expected "
                f"{kind.__name__}"
            )
        return answer

    def _announce(self) -> None:
        """Announces this instance and lists the others; retries failures."""
        while not self._closed.is_set():
            try:
                self._announce_once()
                return
            except exceptions.BriarfallError as exc:
                logging.warning("not announced to peers, retrying: %s", exc)
            except Exception:
                logging.exception("not announced to peers, retrying")
            self._closed.wait(_ANNOUNCE_RETRY_S)

    def _announce_once(self) -> None:
        self._source.announce(self._record, _STORE_TIMEOUT_S)
        records = self._source.list_instances(_STORE_TIMEOUT_S)
        for record in records:
            self._peers.add(record)
        if len(records) <= 1:
            self._knows_peers.set()
        logging.info("announced peers=%d", len(records) - 1)
        self._wake.set()

    def wait_for_peers(self, timeout_s: float) -> None:
        """Waits until a peer was heard, unless no other is announced."""
        self._knows_peers.wait(timeout_s)

    def _add_listed_again(self, records: list[sources.InstanceRecord]) -> None:
        """Adds instances that started while this one's record was lost."""
        for record in records:
            self._peers.add(record, is_just_announced=False)
        self._wake.set()

    def _send_loop(self) -> None:
        sent_s: dict[ids.InstanceId, float] = {}
        while not self._closed.is_set():
            is_urgent = self._wake.wait(_TICK_S)
            self._wake.clear()
            try:
                self._refresh_permits()
                self._send_status(sent_s, is_urgent=is_urgent)
                self._loads.expire()
                for gone in self._peers.remove_unresponsive():
                    sent_s.pop(gone, None)
            except Exception:
                logging.exception("status not sent to peers, will be retried")

    def _send_status(
        self, sent_s: dict[ids.InstanceId, float], *, is_urgent: bool
    ) -> None:
        data = peermessages.encode(self._status.build(self._record))
        rows = self._peers.all()
        now_s = clocks.boot_s()
        for peer in rows:
            interval_s = self._peers.interval_s(peer.zone)
            unresponsive_s = now_s - max(peer.heard_s, peer.found_s)
            if unresponsive_s > max(
                _UNRESPONSIVE_S, interval_s * _UNRESPONSIVE_INTERVALS
            ):
                interval_s = max(interval_s, _UNRESPONSIVE_S)
            is_due = now_s - sent_s.get(peer.id, 0.0) >= interval_s * 0.9
            if is_due or (is_urgent and interval_s < _UNRESPONSIVE_S):
                sent_s[peer.id] = now_s
                self._send_bytes(data, peer.address)

    def _send(self, message, address: tuple[str, int]) -> None:
        self._send_bytes(peermessages.encode(message), address)

    def _send_bytes(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            self._sock.sendto(data, address)
        except OSError as exc:
            logging.info("datagram to %s not sent: %s", address, exc)

    def _receive_loop(self) -> None:
        while not self._closed.is_set():
            try:
                data, address = self._sock.recvfrom(_MAX_DATAGRAM)
                self._activity.record()
                self._handle(peermessages.decode(data), address)
            except (OSError, exceptions.PeerError) as exc:
                if not self._closed.is_set():
                    self._count_ignored(exc)
            except Exception:
                logging.exception("datagram of a peer not handled")

    def _count_ignored(self, exc: Exception) -> None:
        """Counts a datagram that can't be received or decoded; logs some."""
        self.ignored += 1
        now_s = clocks.boot_s()
        if now_s - self._last_ignored_log_s < _IGNORED_LOG_INTERVAL_S:
            return
        self._last_ignored_log_s = now_s
        logging.warning("datagram ignored count=%d: %s", self.ignored, exc)

    def _handle(
        self, message: peermessages.Message, address: tuple[str, int]
    ) -> None:
        if isinstance(message, peermessages.Status):
            self._status.apply(message)
            self._knows_peers.set()
            if self._status.is_behind(message):
                # It may be new and have read an older copy of the store.
                self._send(self._status.build(self._record), address)
            return
        if isinstance(message, peermessages.FreshnessRequest):
            self._send(self._responder.answer(message), address)
            return
        if isinstance(message, peermessages.PartRequest):
            self._send(self._responder.answer_part(message), address)
            return
        if isinstance(message, peermessages.PermitRequest):
            self._send(self._respond_to_permit(message), address)
            return
        with self._lock:
            inbox = self._pending.get(message.number)
        if inbox is not None:
            inbox.put(message)


def _refuse_permit(
    request: peermessages.PermitRequest,
) -> peermessages.PermitResponse:
    """Answers while this instance gives out no permits yet."""
    return peermessages.PermitResponse(request.number, False, 0)


def _do_nothing() -> None:
    """Stands for a missing listener."""
