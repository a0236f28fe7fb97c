"""Admission of chains to the inter-zone link.

If no engine of a zone holds some layers, or if those that hold them have no
free KV capacity, the zone's chains have hops to other zones. All chains share
the inter-zone link. Once it is full, the tokens of every stream queue behind
prompts whose callers have already left, so that no caller is served. Requests
over the link are therefore limited to what it carries.
"""

import collections
import collections.abc
import threading

from briarfall.gateway import clocks
from briarfall.gateway.catalogue import views
from briarfall.gateway.placement import paths

# Share of the link's capacity that is used; near the full rate queues grow.
_MAX_LINK_SHARE = 0.8
# Streams that callers already read may be rerouted over the link until demand
# exceeds this multiple of the share of its capacity that is used.
_STARTED_DEMAND_FACTOR = 2.0
# Demand is measured over a sliding window of this length.
_WINDOW_S = 1.0


class LinkAdmission:
    """Admits the share of cross-zone requests that the link can carry.

    Each instance reports its demand for the link to the others, so that all
    instances admit the same share of their requests, whatever their own load.

    Args:
        others_mbps: Returns the demand of all other instances for the link, in
            Mbit/s.
        clock: Returns the time in seconds; the boot clock by default.
    """

    def __init__(
        self,
        others_mbps: collections.abc.Callable[[], float],
        clock: collections.abc.Callable[[], float] | None = None,
    ):
        self._others_mbps = others_mbps
        self._clock = clock or (lambda: clocks.boot_s())
        self._lock = threading.Lock()
        # Time and megabits of each request in the window.
        self._demands: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._window_mb = 0.0
        # Each request adds the admitted share; a request is admitted, and one
        # is subtracted, once the sum reaches one.
        self._credit = 0.5
        # Number of requests refused because the link was full.
        self.refusals = 0

    @property
    def demand_mbps(self) -> float:
        """Demand of this instance's requests for the link, in Mbit/s."""
        with self._lock:
            self._expire()
            return self._window_mb / _WINDOW_S

    def admitted_share(self, model: views.ModelLayout) -> float:
        """Returns the share of cross-zone requests that the link can carry."""
        if model.inter_zone_mbps <= 0:
            return 1.0
        total_mbps = self.demand_mbps + self._others_mbps()
        if total_mbps <= 0:
            return 1.0
        return min(1.0, model.inter_zone_mbps * _MAX_LINK_SHARE / total_mbps)

    def record(
        self, model: views.ModelLayout, hops: int, tokens: float
    ) -> None:
        """Adds the activations of some tokens to the demand for the link.

        Args:
            model: The model's layout.
            hops: Number of cross-zone hops of the chain.
            tokens: Tokens that pass each hop.
        """
        request_mb = megabits(model, hops, tokens)
        if not request_mb:
            return
        with self._lock:
            self._demands.append((self._clock(), request_mb))
            self._window_mb += request_mb

    def admit(self, model: views.ModelLayout, hops: int, tokens: float) -> bool:
        """Records the demand of a new request; returns whether to admit it."""
        self.record(model, hops, tokens)
        share = self.admitted_share(model)
        with self._lock:
            self._credit += share
            if self._credit < 1.0:
                return False
            self._credit -= 1.0
            return True

    def admits_started(self, model: views.ModelLayout) -> bool:
        """Whether streams that callers already read may use the link."""
        return self.admitted_share(model) >= 1.0 / _STARTED_DEMAND_FACTOR

    def _expire(self) -> None:
        oldest_s = self._clock() - _WINDOW_S
        while self._demands and self._demands[0][0] < oldest_s:
            self._window_mb -= self._demands.popleft()[1]
        if not self._demands:
            self._window_mb = 0.0


def megabits(model: views.ModelLayout, hops: int, tokens: float) -> float:
    """Returns the megabits that some tokens send over cross-zone hops."""
    return hops * tokens * model.activation_bytes * 8 / 1e6


def count_cross_zone_hops(
    chain: paths.Chain, before: paths.Chain | None = None
) -> int:
    """Returns the number of a chain's hops between two zones.

    Args:
        chain: The chain.
        before: The chain that it replaces while the request runs. Hops between
            two stages of both chains are not counted, since their activations
            were already sent.
    """
    kept = set(before.stages) if before is not None else set()
    count = 0
    for stage, next_stage in zip(chain.stages, chain.stages[1:], strict=False):
        if stage.zone == next_stage.zone:
            continue
        count += stage not in kept or next_stage not in kept
    return count
