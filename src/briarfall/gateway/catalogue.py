"""Follows the operator's catalogue and says how fresh the view is."""

import threading

from absl import logging

from briarfall import exceptions
from briarfall.gateway import clocks
from briarfall.gateway import sources
from briarfall.gateway import views

# A waiting read confirms the view when it returns; three of them fit into
# the shortest time for which keys are good.
_WAIT_S = 1.2
_TIMEOUT_S = 0.8
_RETRY_S = 0.15
# Part of the time for which keys are good that is left for the request to
# reach its target.
_KEY_MARGIN_S = 0.6


class CatalogueFollower(threading.Thread):
    """Keeps the newest view of the catalogue.

    Args:
        source: Where operators publish.
        key_ttl_s: Age at which keys are no longer accepted, or 0 for never.
    """

    def __init__(self, source: sources.CatalogueSource, key_ttl_s: float):
        super().__init__(name="catalogue", daemon=True)
        self._source = source
        self._key_ttl_s = key_ttl_s
        self._position: int | None = None
        self._confirmed_s: float | None = None
        self._is_lost = False
        self._stopped = threading.Event()
        self.view: views.CatalogueView | None = None
        self.raw = b""
        self.first_view = threading.Event()

    @property
    def age_s(self) -> float:
        """Seconds since the sending of the read that confirmed the view."""
        if self._confirmed_s is None:
            return float("inf")
        return clocks.boot_s() - self._confirmed_s

    @property
    def is_fresh(self) -> bool:
        """Whether keys may be accepted by this view."""
        if self.view is None:
            return False
        if not self._key_ttl_s:
            return True
        return self.age_s < self._key_ttl_s - _KEY_MARGIN_S

    def run(self) -> None:
        """Follows the source until stopped."""
        while not self._stopped.is_set():
            try:
                self.step()
            except exceptions.BriarfallError as exc:
                self._note_lost(exc)
                self._stopped.wait(_RETRY_S)

    def stop(self) -> None:
        """Ends the thread."""
        self._stopped.set()

    def step(self) -> None:
        """Reads once, and waits for news if there is a view."""
        sent_s = clocks.boot_s()
        if self._position is None or self.view is None:
            read = self._source.read_newest(_TIMEOUT_S)
            if read.raw is None:
                self._stopped.wait(_RETRY_S)
        else:
            try:
                read = self._source.wait_newer(
                    self._position, _WAIT_S, _TIMEOUT_S
                )
            except exceptions.LogGapError:
                read = self._source.read_newest(_TIMEOUT_S)
        if read.raw is not None:
            self.apply(read.raw)
        self._position = read.position
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
        self.first_view.set()
        logging.info(
            "catalogue in force version=%d routes=%d accounts=%d",
            view.version,
            sum(len(rows) for rows in view.routes.values()),
            len(view.accounts),
        )

    def confirm(self, sent_s: float) -> None:
        """Notes that the view was the newest at a time on the boot clock."""
        if self._is_lost:
            self._is_lost = False
            logging.info("catalogue source regained")
        if self._confirmed_s is None or sent_s > self._confirmed_s:
            self._confirmed_s = sent_s

    def _note_lost(self, exc: exceptions.BriarfallError) -> None:
        if not self._is_lost:
            logging.warning("catalogue source lost: %s", exc)
        self._is_lost = True
