"""Follows the operator's catalogue and tracks the age of the local view."""

import collections.abc
import threading

from absl import logging

from briarfall import exceptions
from briarfall.gateway import clocks
from briarfall.gateway import workers
from briarfall.gateway.catalogue import sources
from briarfall.gateway.catalogue import views

# Longest wait of a long-poll read, in seconds and as a share of the key TTL.
# A long-poll read confirms the view as of the time it was sent, so the view of
# a store poller can become as old as two such reads. That age alone must not
# make the peers that rely on the poller read the source themselves.
_MAX_WAIT_S = 0.8
_WAIT_SHARE = 0.16
_TIMEOUT_S = 0.8
# Pause before the next read if the store does not show yet a version that a
# peer has reported.
_STORE_LAG_RETRY_S = 0.15
# Age of the view at which an instance that relies on peers reads the source
# itself, as a share of the key TTL.
_PEER_AGE_SHARE = 0.5
_MAX_PEER_AGE_S = 2.6
_PEER_POLL_S = 0.25
# Delay before reading a newer version, so that versions published in quick
# succession are read together.
_COALESCE_S = 0.08
# Share of the key TTL that is reserved for the request to reach its target.
_KEY_MARGIN_SHARE = 0.12

# Longest time for which a new instance waits for its peers before it serves by
# the catalogue of a store that was once restored from an older copy.
_FIRST_LOOK_S = 0.3
# Time after a restore in which the operator writes again what the copy lacks.
_REWRITE_S = 2.2
# Version of a source that shows none.
_NO_VERSION = -1
_LOG_INTERVAL_S = 10

Fetcher = collections.abc.Callable[[int], bytes]
PeerWaiter = collections.abc.Callable[[float], None]


def _wait_for_nobody(timeout_s: float) -> None:
    """Stands for a missing waiter."""


class CatalogueFollower(workers.Worker):
    """Keeps the newest view of the catalogue.

    Args:
        source: Source to which operators publish the catalogue.
        key_ttl_s: Age of the view at which keys are no longer accepted, or 0
            if they are accepted at any age.
        is_store_poller: Returns whether this instance polls the source on
            behalf of its zone.
        instances: Returns the number of instances in the zone that retry the
            source after a failure; it bounds their backoff.

    Attributes:
        wait_s: How long a read of the store poller waits for a newer version.
        max_peer_age_s: Age of the view at which the other instances read the
            source as well.
        confirmed_s: Time on the boot clock, or None. The view is at least as
            new as the version that was the newest then.
    """

    def __init__(
        self,
        source: sources.CatalogueSource,
        key_ttl_s: float,
        is_store_poller: collections.abc.Callable[[], bool],
        instances: collections.abc.Callable[[], int] = lambda: 1,
    ):
        super().__init__("catalogue")
        self._source = source
        self._is_store_poller = is_store_poller
        self.set_key_ttl(key_ttl_s)
        self._has_newer = threading.Event()
        self._newest_version = _NO_VERSION
        # Newest version that the source has shown; None if it can't be read.
        self._shown_version: int | None = _NO_VERSION
        # Epoch of the source, and the time on the boot clock of its first read.
        self._epoch = sources.FIRST_EPOCH
        self._epoch_since_s = 0.0
        # Held while a version is compared with the one in force and put there.
        self._view_lock = threading.Lock()
        # Consecutive failed reads of the source.
        self._failures = 0
        self._fetcher: Fetcher | None = None
        self._wait_for_peers: PeerWaiter = _wait_for_nobody
        self._instances = instances
        self._position: sources.LogPosition | None = None
        self.confirmed_s: float | None = None
        self.is_source_lost = False
        self.view: views.CatalogueView | None = None
        self.has_view = threading.Event()
        self.raw = b""
        self._listeners: list[collections.abc.Callable[[], None]] = []

    @property
    def age_s(self) -> float:
        """Seconds since the read that confirmed the view was sent."""
        if self.confirmed_s is None:
            return float("inf")
        return clocks.boot_s() - self.confirmed_s

    @property
    def is_fresh(self) -> bool:
        """Whether the view is recent enough to accept keys."""
        if self.view is None:
            return False
        if not self._key_ttl_s:
            return True
        return self.age_s < self._key_ttl_s * (1 - _KEY_MARGIN_SHARE)

    def set_key_ttl(self, key_ttl_s: float) -> None:
        """Changes the age at which keys are no longer accepted."""
        self._key_ttl_s = key_ttl_s
        self.wait_s = _MAX_WAIT_S
        self.max_peer_age_s = _MAX_PEER_AGE_S
        if key_ttl_s:
            self.wait_s = min(_MAX_WAIT_S, key_ttl_s * _WAIT_SHARE)
            self.max_peer_age_s = min(
                _MAX_PEER_AGE_S, key_ttl_s * _PEER_AGE_SHARE
            )

    def add_listener(self, listener: collections.abc.Callable[[], None]):
        """Registers a callback for each new version that is in force."""
        self._listeners.append(listener)

    def step(self) -> None:
        """Reads the catalogue if a read is due, else waits for a version."""
        try:
            self._refresh()
        except exceptions.BriarfallError as exc:
            self._report_lost(exc)
            self._failures += 1
            pause_s = workers.backoff_s(self._failures, self._instances())
            self.stopped.wait(pause_s)

    def _refresh(self) -> None:
        if self._position is None:
            self._read_newest()
            return
        if self.view is None:
            # Nothing has been published yet, so every instance polls the
            # source until the first version appears.
            self._read(self.wait_s)
            return
        if self._has_newer.is_set():
            self.stopped.wait(_COALESCE_S)
            self._has_newer.clear()
            if self._is_store_poller() or not self._fetch_from_peer():
                self._read(0.0)
            if self._newest_version > self.view.version:
                # A restored store may lack a version that peers hold.
                self._fetch_from_peer()
            if self._newest_version > self.view.version:
                # A peer has read a version that the store does not show to
                # this instance yet.
                self.stopped.wait(_STORE_LAG_RETRY_S)
                self._has_newer.set()
            return
        if self._is_store_poller():
            self._read(self.wait_s)
            return
        if self.age_s > self.max_peer_age_s:
            # A source that can't confirm the view is not asked in a loop.
            self._read(0.0 if self._source_shows_view else self.wait_s)
            return
        self._has_newer.wait(_PEER_POLL_S)

    def set_fetcher(self, fetch: Fetcher) -> None:
        """Sets the function that fetches a minimum version from a peer."""
        self._fetcher = fetch

    def set_peer_waiter(self, wait: PeerWaiter) -> None:
        """Sets what waits, for some seconds, until a peer was heard of."""
        self._wait_for_peers = wait

    def _look_for_newer(self) -> None:
        """Lets peers tell a newer version than the first one that was read.

        The store may have come back from an older copy just now.
        """
        until_s = clocks.boot_s() + _FIRST_LOOK_S
        self._wait_for_peers(_FIRST_LOOK_S)
        while self._newest_version > self.view.version:
            if self._fetch_from_peer() or clocks.boot_s() >= until_s:
                return
            self.stopped.wait(_STORE_LAG_RETRY_S)

    def _fetch_from_peer(self) -> bool:
        """Fetches the newest reported version; returns whether it succeeded."""
        if self._fetcher is None:
            return False
        try:
            self.apply(self._fetcher(self._newest_version))
        except exceptions.PeerError as exc:
            logging.info(
                "catalogue not fetched from peers, reading the source: %s", exc
            )
            return False
        return self.view.version >= self._newest_version

    def record_newer(self, version: int) -> None:
        """Records that another instance has a newer version."""
        self._newest_version = max(self._newest_version, version)
        self._has_newer.set()

    def _read_newest(self) -> None:
        sent_s = clocks.boot_s()
        read = self._source.read_newest(_TIMEOUT_S)
        self._shown_version = _NO_VERSION
        if self._epoch != self._source.epoch:
            self._epoch = self._source.epoch
            self._epoch_since_s = clocks.boot_s()
        self._apply_read(read, sent_s)

    def _read(self, wait_s: float) -> None:
        sent_s = clocks.boot_s()
        try:
            read = self._source.wait_newer(self._position, wait_s, _TIMEOUT_S)
        except exceptions.LogGapError as exc:
            logging.info("catalogue log has a gap, reading the newest: %s", exc)
            self._read_newest()
            return
        self._apply_read(read, sent_s)

    def _apply_read(self, read: sources.CatalogueRead, sent_s: float) -> None:
        if read.raw is not None:
            self._shown_version = self.apply(read.raw)
        self._position = read.position
        self._record_answer()
        if self.view is None:
            return
        if self.confirmed_s is None:
            if self._source.epoch > sources.FIRST_EPOCH:
                self._look_for_newer()
        if self._source_shows_view:
            self._advance_confirmed_s(sent_s)
            return
        logging.log_every_n_seconds(
            logging.WARNING,
            "catalogue not confirmed, the source shows another version as the "
            "newest version=%d shown=%s",
            _LOG_INTERVAL_S,
            self.view.version,
            self._shown_version,
        )

    @property
    def _source_shows_view(self) -> bool:
        """Whether a read of the source shows that the view is the newest.

        It does not if the newest version can't be read, nor just after a
        restore from a copy that lacks the version in force: what else it lacks
        is not known until the operator has written it again.
        """
        if self._shown_version is None:
            return False
        if self._shown_version >= self.view.version:
            return True
        is_restored = self._epoch > sources.FIRST_EPOCH
        age_s = clocks.boot_s() - self._epoch_since_s
        return not is_restored or age_s >= _REWRITE_S

    def apply(self, raw: bytes) -> int | None:
        """Puts a catalogue in force unless its version is not a newer one.

        Returns:
            Its version, or None if it can't be read.
        """
        try:
            view = self._source.parse(raw)
        except exceptions.CatalogueError as exc:
            logging.error(
                "catalogue ignored, the current version stays in force: %s",
                exc,
            )
            return None
        with self._view_lock:
            current = self.view
            if current is not None and view.version <= current.version:
                return view.version
            self.raw = raw
            self.view = view
        self.has_view.set()
        self._notify_listeners()
        logging.info(
            "catalogue in force version=%d routes=%d accounts=%d",
            view.version,
            sum(len(rows) for rows in view.routes.values()),
            len(view.accounts),
        )
        return view.version

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            try:
                listener()
            except Exception:
                logging.exception(
                    "listener of the catalogue failed, the version is in force"
                )

    def apply_from_peer(self, raw: bytes) -> None:
        """Applies the catalogue of a peer while the source is unavailable."""
        self.apply(raw)
        if self._position is None:
            logging.info(
                "catalogue taken from a peer, source has not been read yet"
            )

    @property
    def needs_peer(self) -> bool:
        """Whether the newest version is available only from a peer."""
        if self.view is None:
            return True
        return self.is_source_lost and self._newest_version > self.view.version

    def confirm_from_peer(
        self, version: int, sent_s: float, *, is_proven: bool = False
    ) -> None:
        """Applies a peer's report that a version was the newest at a time.

        Args:
            version: The version that the peer confirmed.
            sent_s: Time of the confirmation on the boot clock, in seconds.
            is_proven: Whether the peer has read the log to its end. One of an
                earlier release may still be catching up after a cut.
        """
        if self.view is None:
            return
        if version > self.view.version:
            self.record_newer(version)
            return
        # A version that can't be read here is newer than the one in force,
        # also if a peer of an earlier release says otherwise.
        if version < self.view.version or self._shown_version is None:
            return
        # An instance whose own view has lapsed may have shared the peer's cut.
        has_lapsed = self.confirmed_s is not None and not self.is_fresh
        if is_proven or not has_lapsed:
            self._advance_confirmed_s(sent_s)

    def _record_answer(self) -> None:
        """Records that the source answers."""
        self._failures = 0
        if self.is_source_lost:
            self.is_source_lost = False
            logging.info("catalogue source regained, reads succeed again")

    def _advance_confirmed_s(self, sent_s: float) -> None:
        if self.confirmed_s is None or sent_s > self.confirmed_s:
            self.confirmed_s = sent_s

    def _report_lost(self, exc: exceptions.BriarfallError) -> None:
        if not self.is_source_lost:
            logging.warning(
                "catalogue source lost, retrying and asking peers: %s",
                exc,
            )
        self.is_source_lost = True
