"""Admission of chains to the inter-zone link.

If no engine of a zone holds some layers, or if those that hold them have no
free KV capacity, the zone's chains have hops to other zones. All chains share
the inter-zone link. Once it is full, the tokens of every stream queue behind
prompts whose callers have already left, so that no caller is served. Requests
over the link are therefore limited to what it carries, by their class.
"""

import collections.abc
import random
import threading

from briarfall.gateway.catalogue import views
from briarfall.gateway.placement import chains
from briarfall.gateway.scheduling import classes
from briarfall.gateway.scheduling import demands
from briarfall.gateway.scheduling import shares

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
    instances admit the same share of a class, whatever their own load.

    Args:
        others_mbps: Returns the demand of all other instances for the link, in
            Mbit/s.
        clock: Returns the time in seconds; the boot clock by default.
        others_by_class: Returns the same demand by class; without it, all of
            it counts as one class.
        rng: Spreads the first admissions of a class over instances.
    """

    def __init__(
        self,
        others_mbps: collections.abc.Callable[[], float],
        clock: collections.abc.Callable[[], float] | None = None,
        others_by_class: collections.abc.Callable[[], demands.Amounts]
        | None = None,
        rng: random.Random | None = None,
    ):
        self._others_mbps = others_mbps
        self._others_by_class = others_by_class
        self._rng = rng
        self._lock = threading.Lock()
        self._window = demands.DemandWindow(_WINDOW_S, clock)
        # Each request adds the admitted share of its megabits to the credit of
        # its class; it is admitted, and its megabits are subtracted, once the
        # credit covers them.
        self._credits_mb: dict[classes.DemandClass, float] = {}
        # Number of requests refused because the link was full.
        self.refusals = 0

    @property
    def demand_mbps(self) -> float:
        """Demand of this instance's requests for the link, in Mbit/s."""
        return self._window.total()

    @property
    def demand_by_class(self) -> demands.Amounts:
        """The same demand by class."""
        return self._window.rates()

    def admitted_share(self, model: views.ModelLayout) -> float:
        """Returns the share of cross-zone requests that the link can carry.

        Only the demand counts that live instances have reported.
        """
        if model.inter_zone_mbps <= 0:
            return 1.0
        total_mbps = self.demand_mbps + self._others_mbps()
        if total_mbps <= 0:
            return 1.0
        return min(1.0, model.inter_zone_mbps * _MAX_LINK_SHARE / total_mbps)

    def class_share(
        self, model: views.ModelLayout, cls: classes.DemandClass
    ) -> float:
        """Returns the share of a class's requests that the link can carry."""
        if model.inter_zone_mbps <= 0:
            return 1.0
        found = shares.ratios(
            model.inter_zone_mbps * _MAX_LINK_SHARE, self._all_demand()
        )
        return found.get(cls, 1.0)

    def record(
        self,
        model: views.ModelLayout,
        hops: int,
        tokens: float,
        cls: classes.DemandClass = classes.DEFAULT_CLASS,
    ) -> None:
        """Adds the activations of some tokens to the demand for the link.

        Args:
            model: The model's layout.
            hops: Number of cross-zone hops of the chain.
            tokens: Tokens that pass each hop.
            cls: Class of the request.
        """
        request_mb = megabits(model, hops, tokens)
        if request_mb:
            self._window.add(cls, request_mb)

    def admit(
        self,
        model: views.ModelLayout,
        hops: int,
        tokens: float,
        cls: classes.DemandClass = classes.DEFAULT_CLASS,
    ) -> bool:
        """Records the demand of a new request; returns whether to admit it."""
        self.record(model, hops, tokens, cls)
        request_mb = megabits(model, hops, tokens)
        share = self.class_share(model, cls)
        with self._lock:
            credit_mb = self._credits_mb.get(cls)
            if credit_mb is None:
                first = 0.5 if self._rng is None else self._rng.random()
                credit_mb = first * request_mb
            credit_mb += share * request_mb
            is_admitted = credit_mb >= request_mb
            if is_admitted:
                credit_mb -= request_mb
            self._credits_mb[cls] = credit_mb
            return is_admitted

    def admits_started(self, model: views.ModelLayout) -> bool:
        """Whether streams that callers already read may use the link."""
        return self.admitted_share(model) >= 1.0 / _STARTED_DEMAND_FACTOR

    def _all_demand(self) -> demands.Amounts:
        """Returns the demand of all instances by class, in Mbit/s."""
        if self._others_by_class is not None:
            others = self._others_by_class()
        else:
            others = {classes.DEFAULT_CLASS: self._others_mbps()}
        return demands.sum_of(self._window.rates(), others)


def megabits(model: views.ModelLayout, hops: int, tokens: float) -> float:
    """Returns the megabits that some tokens send over cross-zone hops."""
    return hops * tokens * model.activation_bytes * 8 / 1e6


def count_cross_zone_hops(
    chain: chains.Chain, before: chains.Chain | None = None
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
