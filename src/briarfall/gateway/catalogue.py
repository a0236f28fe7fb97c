"""Follows the operator's catalogue and says how fresh the view is."""

import collections.abc
import threading

from absl import logging

from briarfall import exceptions
from briarfall.gateway import clocks
from briarfall.gateway import sources
from briarfall.gateway import views
from briarfall.gateway import workers

# A waiting read confirms the view as of its sending, so that the view of a
# reader grows as old as two of them. Those that ask the reader must not lose
# patience by that alone.
_MAX_WAIT_S = 0.8
_WAIT_SHARE = 0.16
_TIMEOUT_S = 0.8
_RETRY_S = 0.15
# Age of the view at which an instance that relies on others reads by itself,
# as a part of the time for which keys are good.
_PEER_PATIENCE_SHARE = 0.5
_MAX_PATIENCE_S = 2.6
_PEER_POLL_S = 0.25
# Versions that come in quick succession are read together.
_GATHER_S = 0.08
# Part of the time for which keys are good that is left for the request to
# reach its target.
_KEY_MARGIN_SHARE = 0.12

Fetcher = collections.abc.Callable[[int], bytes]


class CatalogueFollower(workers.Worker):
    """Keeps the newest view of the catalogue.

    Args:
        source: Where operators publish.
        key_ttl_s: Age at which keys are no longer accepted, or 0 for never.
        is_reader: Whether this instance reads the source for others.
        instances: Returns how many instances of the zone read it in turn.

    Attributes:
        wait_s: How long a reader waits for a newer version.
        patience_s: Age at which others read the source as well.
    """

    def __init__(
        self,
        source: sources.CatalogueSource,
        key_ttl_s: float,
        is_reader: collections.abc.Callable[[], bool],
        instances: collections.abc.Callable[[], int] = lambda: 1,
    ):
        super().__init__("catalogue")
        self._source = source
        self._is_reader = is_reader
        self.set_key_ttl(key_ttl_s)
        self._newer = threading.Event()
        self._newest_version = -1
        # Reads of the source in a row that failed.
        self._failures = 0
        self._fetcher: Fetcher | None = None
        self._instances = instances
        self._position: int | None = None
        self.confirmed_s: float | None = None
        self.is_lost = False
        self.view: views.CatalogueView | None = None
        self.has_view = threading.Event()
        self.raw = b""
        self._listeners: list[collections.abc.Callable[[], None]] = []

    @property
    def age_s(self) -> float:
        """Seconds since the sending of the read that confirmed the view."""
        if self.confirmed_s is None:
            return float("inf")
        return clocks.boot_s() - self.confirmed_s

    @property
    def is_fresh(self) -> bool:
        """Whether keys may be accepted by this view."""
        if self.view is None:
            return False
        if not self._key_ttl_s:
            return True
        return self.age_s < self._key_ttl_s * (1 - _KEY_MARGIN_SHARE)

    def set_key_ttl(self, key_ttl_s: float) -> None:
        """Changes the age at which keys are no longer accepted."""
        self._key_ttl_s = key_ttl_s
        self.wait_s = _MAX_WAIT_S
        self.patience_s = _MAX_PATIENCE_S
        if key_ttl_s:
            self.wait_s = min(_MAX_WAIT_S, key_ttl_s * _WAIT_SHARE)
            self.patience_s = min(
                _MAX_PATIENCE_S, key_ttl_s * _PEER_PATIENCE_SHARE
            )

    def add_listener(self, listener: collections.abc.Callable[[], None]):
        """Calls `listener` whenever another version is in force."""
        self._listeners.append(listener)

    def step(self) -> None:
        """Reads once if this instance should, else waits a little."""
        try:
            self._follow()
        except exceptions.BriarfallError as exc:
            self._note_lost(exc)
            self._failures += 1
            pause_s = workers.backoff_s(self._failures, self._instances())
            self.stopped.wait(pause_s)

    def _follow(self) -> None:
        if self._position is None:
            self._read_whole()
            return
        if self.view is None:
            # Nothing has been published yet; everyone waits for it.
            self._read(self.wait_s)
            return
        if self._newer.is_set():
            self.stopped.wait(_GATHER_S)
            self._newer.clear()
            if self._is_reader() or not self._fetch():
                self._read(0.0)
            if self._newest_version > self.view.version:
                # The store does not show yet what another instance has read.
                self.stopped.wait(_RETRY_S)
                self._newer.set()
            return
        if self._is_reader():
            self._read(self.wait_s)
            return
        if self.age_s > self.patience_s:
            self._read(0.0)
            return
        self._newer.wait(_PEER_POLL_S)

    def set_fetcher(self, fetch: Fetcher) -> None:
        """Sets how to get a catalogue of at least some version from a peer."""
        self._fetcher = fetch

    def _fetch(self) -> bool:
        """Whether another instance handed over the newest version."""
        if self._fetcher is None:
            return False
        try:
            self.apply(self._fetcher(self._newest_version))
        except exceptions.PeerError as exc:
            logging.info("catalogue not fetched: %s", exc)
            return False
        return self.view.version >= self._newest_version

    def note_newer(self, version: int) -> None:
        """Takes in that another instance has a newer version."""
        self._newest_version = max(self._newest_version, version)
        self._newer.set()

    def _read_whole(self) -> None:
        sent_s = clocks.boot_s()
        self._take(self._source.read_newest(_TIMEOUT_S), sent_s)

    def _read(self, wait_s: float) -> None:
        sent_s = clocks.boot_s()
        try:
            read = self._source.wait_newer(self._position, wait_s, _TIMEOUT_S)
        except exceptions.LogGapError:
            self._read_whole()
            return
        self._take(read, sent_s)

    def _take(self, read: sources.CatalogueRead, sent_s: float) -> None:
        if read.raw is not None:
            self.apply(read.raw)
        self._position = read.position
        self._failures = 0
        if self.view is not None:
            self.confirm(sent_s)

    def apply(self, raw: bytes) -> None:
        """Puts a catalogue in force unless a newer one is."""
        try:
            view = self._source.parse(raw)
        except exceptions.CatalogueError as exc:
            logging.error("catalogue ignored: %s", exc)
            return
        known = self.view
        if known is not None and view.version <= known.version:
            return
        self.view = view
        self.raw = raw
        self.has_view.set()
        for listener in self._listeners:
            listener()
        logging.info(
            "catalogue in force version=%d routes=%d accounts=%d",
            view.version,
            sum(len(rows) for rows in view.routes.values()),
            len(view.accounts),
        )

    def take_from_peer(self, raw: bytes) -> None:
        """Takes over another instance's catalogue while the source is away."""
        self.apply(raw)
        if self._position is None:
            logging.info("catalogue taken from a peer")

    @property
    def needs_peer(self) -> bool:
        """Whether only another instance can provide the newest version."""
        if self.view is None:
            return True
        return self.is_lost and self._newest_version > self.view.version

    def confirm_from_peer(self, version: int, sent_s: float) -> None:
        """Takes over that a version was the newest at a time."""
        if self.view is None:
            return
        if version > self.view.version:
            self.note_newer(version)
        elif version == self.view.version:
            self._confirm(sent_s)

    def confirm(self, sent_s: float) -> None:
        """Notes that the view was the newest at a time on the boot clock."""
        self._failures = 0
        if self.is_lost:
            self.is_lost = False
            logging.info("catalogue source regained")
        self._confirm(sent_s)

    def _confirm(self, sent_s: float) -> None:
        if self.confirmed_s is None or sent_s > self.confirmed_s:
            self.confirmed_s = sent_s

    def _note_lost(self, exc: exceptions.BriarfallError) -> None:
        if not self.is_lost:
            logging.warning("catalogue source lost: %s", exc)
        self.is_lost = True
