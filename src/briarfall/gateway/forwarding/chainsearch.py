"""Choice of a chain of engines for a stream, with a short wait for capacity."""

import random

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway import retryafter
from briarfall.gateway.forwarding import streamstate
from briarfall.gateway.placement import linkadmission
from briarfall.gateway.placement import paths
from briarfall.gateway.scheduling import returns
from briarfall.gateway.targets import targetbackoff
from briarfall.gateway.targets import targets
from briarfall.gateway.targets import targetstate

_MAX_ATTEMPTS = 6
# First pause of a request that waits for free KV capacity. Each further pause
# is twice as long, so that many waiting requests leave processor time to the
# others.
_CAPACITY_PAUSE_S = 0.03
# Share of the first byte SLO for which a new request waits for capacity. The
# rest is needed to run it, so that a longer wait would be in vain.
_CAPACITY_WAIT_SHARE = 0.6
# A stream that its caller already reads waits this many times its SLO for gaps
# between events.
_MAX_GAP_SLOS = 4
# Time in which engines are reassigned to the uncovered layers of a zone, after
# which its chains no longer need the inter-zone link.
FULL_LINK_PAUSE = retryafter.UnavailablePeriod(1.0, 4.0)
# Time after which probes may have found the end of a fault of the links.
CUT_OFF_PERIOD = retryafter.UnavailablePeriod(0.3, 0.3)
# Time around which engines that had no room may have some again.
_NO_ROOM_PERIOD = retryafter.UnavailablePeriod(0.25, 0.5)


class CutOffError(exceptions.NoRouteError):
    """Only engines that this instance can't reach could begin the request."""

    code = "cut_off"


class ChainSearch:
    """Chooses chains of engines for streams.

    Args:
        table: Table of targets.
        finder: Finds the cheapest chain.
        link: Admits chains with cross-zone hops.
        rng: Random number generator that spreads callers' retries.
    """

    def __init__(
        self,
        table: targets.TargetTable,
        finder: paths.ChainFinder,
        link: linkadmission.LinkAdmission,
        rng: random.Random,
    ):
        self._link = link
        self._targets = table
        self._finder = finder
        self._returns = returns.ReturnTimes(rng)

    def wait_for_chain(self, stream: streamstate.Stream) -> paths.Chain:
        """Returns a chain with free KV capacity, after a short wait if needed.

        Raises:
            CutOffError: A peer may reach the engines that this instance can't
                reach.
            BriarfallError: No chain became available in time, or the stream
                has used up its attempts or its time.
        """
        call = stream.call
        wait_s = call.route.first_byte_slo_s * _CAPACITY_WAIT_SHARE
        if stream.response_started:
            wait_s = call.route.event_gap_slo_s * _MAX_GAP_SLOS
        until_s = clocks.boot_s() + wait_s
        pause_s = _CAPACITY_PAUSE_S
        while True:
            if call.attempt_count >= _MAX_ATTEMPTS or call.left_s <= 0:
                raise stream.abandon_error(
                    "too many tries", self._told_s(stream, _NO_ROOM_PERIOD)
                )
            rows = self._targets.usable(call.service.name)
            heads = _heads(stream, rows)
            chain = self._find(stream, rows, heads, may_cross=True)
            if chain is not None:
                chain = self._admitted(stream, rows, heads, chain)
            if chain is not None:
                return chain
            self._check_links(stream)
            if heads != stream.allowed_heads and not stream.response_started:
                self._refuse_if_held(stream, rows, until_s)
            if clocks.boot_s() >= until_s:
                raise stream.abandon_error(
                    _describe_lack(stream, rows),
                    self._told_s(stream, _NO_ROOM_PERIOD),
                )
            call.watch.pause(min(pause_s, until_s - clocks.boot_s()))
            pause_s *= 2

    def _told_s(
        self,
        stream: streamstate.Stream,
        period: retryafter.UnavailablePeriod,
    ) -> float:
        """Returns after how many seconds a stream's caller should return."""
        call = stream.call
        need = returns.ReturnNeed(
            call.service.name, call.urgency, call.caller_left_s
        )
        return self._returns.told_s(period, need, clocks.boot_s())

    def find_replacement(
        self,
        stream: streamstate.Stream,
        head: ids.TargetId | None = None,
    ) -> paths.Chain | None:
        """Returns a chain to which a stream could move now, or None.

        Args:
            stream: The stream; its failed engines are excluded already.
            head: Head of its current chain if that is to be counted as a run.
        """
        call = stream.call
        if call.attempt_count >= _MAX_ATTEMPTS or call.left_s <= 0:
            return None
        if stream.response_started:
            may_cross = self._link.admits_started(call.service.model)
        else:
            may_cross = stream.link_admitted is not False
        rows = self._targets.usable(call.service.name)
        heads = _heads(stream, rows, head)
        return self._find(stream, rows, heads, may_cross=may_cross)

    def needs_peer(
        self,
        stream: streamstate.Stream,
        head: ids.TargetId | None = None,
    ) -> bool:
        """Whether only heads that a peer may reach could run a stream now.

        Args:
            stream: The stream.
            head: Head of its current chain if that is to be counted as a run.
        """
        return stream.call.may_be_relayed and bool(
            self._unreached_heads(stream, head)
        )

    def _check_links(self, stream: streamstate.Stream) -> None:
        """Raises if only engines that can't be reached could be the head.

        Raises:
            CutOffError: A peer may reach them.
            BriarfallError: No peer may be asked, and nothing is gained by a
                wait.
        """
        call = stream.call
        heads = self._unreached_heads(stream)
        if not heads:
            return
        if call.may_be_relayed:
            raise CutOffError("the engines that could begin are not reached")
        may_wait = stream.response_started or any(
            row.link_fault is targetstate.LinkFault.REFUSED for row in heads
        )
        if may_wait and call.relayed is None:
            return
        raise stream.abandon_error(
            "no engine that could begin is reached from here",
            self._told_s(stream, CUT_OFF_PERIOD),
        )

    def _unreached_heads(
        self,
        stream: streamstate.Stream,
        head: ids.TargetId | None = None,
    ) -> list[targetstate.Target]:
        """Returns engines that could begin if this instance reached them."""
        call = stream.call
        rows = []
        unreached = []
        for row in self._targets.of_service(call.service.name):
            if row.accepts_requests:
                rows.append(row)
                if row.link_fault is not None:
                    unreached.append(row)
        if not unreached:
            return []
        unreached_ids = frozenset(row.id for row in unreached)
        heads = _without_held(stream.heads_after(head), rows)
        chain = self._finder.find(
            call.service.model,
            rows,
            stream.demand,
            stream.avoided - unreached_ids,
            heads=heads & unreached_ids,
        )
        return unreached if chain is not None else []

    def _find(
        self,
        stream: streamstate.Stream,
        rows: list[targetstate.Target],
        heads: frozenset[ids.TargetId] | None,
        *,
        may_cross: bool,
    ) -> paths.Chain | None:
        return self._finder.find(
            stream.call.service.model,
            rows,
            stream.demand,
            stream.avoided,
            heads=heads,
            noise=paths.FAILOVER_NOISE
            if stream.call.has_unknown_outcome
            else None,
            may_cross=may_cross,
        )

    def _admitted(
        self,
        stream: streamstate.Stream,
        rows: list[targetstate.Target],
        heads: frozenset[ids.TargetId] | None,
        chain: paths.Chain,
    ) -> paths.Chain | None:
        """Returns the chain if the inter-zone link admits it.

        Otherwise returns a chain within one zone, or None if there is none and
        the stream has started.

        Raises:
            OverloadError: A new request could be served only by a chain over
                the link, which is at its capacity.
        """
        cross_zone_hops = linkadmission.count_cross_zone_hops(chain)
        if not cross_zone_hops:
            return chain
        model = stream.call.service.model
        if stream.response_started:
            may_cross = self._link.admits_started(model)
        elif stream.link_admitted is None:
            may_cross = self._link.admit(
                model, cross_zone_hops, stream.demand.tokens
            )
            stream.link_admitted = may_cross
        else:
            may_cross = stream.link_admitted
        if may_cross:
            return chain
        chain = self._find(stream, rows, heads, may_cross=False)
        if chain is None and not stream.response_started:
            self._link.refusals += 1
            raise stream.abandon_error(
                "the link between zones is full",
                self._told_s(stream, FULL_LINK_PAUSE),
            )
        return chain

    def _refuse_if_held(
        self,
        stream: streamstate.Stream,
        rows: list[targetstate.Target],
        until_s: float,
    ) -> None:
        """Refuses a stream if all its possible heads get no requests now.

        They are in backoff, or have no permit free before `until_s`.

        Raises:
            OverloadError: A chain exists, but not with another head.
        """
        call = stream.call
        if any(_has_permit_by(row, until_s) for row in rows):
            return
        period = targetbackoff.first_held(rows)
        if period is None or not self._find(
            stream, rows, stream.allowed_heads, may_cross=True
        ):
            return
        raise exceptions.OverloadError(
            "the engines that could begin take no requests now",
            outcome=call.outcome,
            retry_after_s=self._told_s(stream, period),
        )


def _heads(
    stream: streamstate.Stream,
    rows: list[targetstate.Target],
    head: ids.TargetId | None = None,
) -> frozenset[ids.TargetId] | None:
    """Returns the engines that may be the head, or None for any.

    Engines that get no requests now and those that this instance can't reach
    may not.

    Args:
        stream: The stream.
        rows: Engines that take requests.
        head: Head of its current chain if that is to be counted as a run.
    """
    unreached = set()
    for row in rows:
        if row.link_fault is None:
            continue
        is_refused = row.link_fault is targetstate.LinkFault.REFUSED
        if not (is_refused and stream.call.has_no_peer):
            unreached.add(row.id)
    allowed = stream.heads_after(head)
    if not unreached and not _held_ids(rows):
        return allowed
    return _without_held(allowed, rows) - unreached


def _without_held(
    allowed: frozenset[ids.TargetId] | None, rows: list[targetstate.Target]
) -> frozenset[ids.TargetId]:
    """Returns the allowed engines, or all, that may get requests now."""
    if allowed is None:
        allowed = frozenset(row.id for row in rows)
    return allowed - _held_ids(rows)


def _held_ids(rows: list[targetstate.Target]) -> frozenset[ids.TargetId]:
    return frozenset(row.id for row in rows if row.is_held)


def _has_permit_by(row: targetstate.Target, until_s: float) -> bool:
    """Whether a limited target may have a permit free before a time."""
    if not row.is_held or row.is_in_backoff:
        return False
    return row.limited_until_s < until_s


def _describe_lack(
    stream: streamstate.Stream, rows: list[targetstate.Target]
) -> str:
    """Returns what is missing for a chain: layers or room."""
    uncovered = paths.uncovered_layers(stream.call.service.model, rows)
    if not uncovered:
        return "no chain of engines has room"
    ranges = ",".join(f"{layers.first}-{layers.end}" for layers in uncovered)
    return f"no engine that takes requests holds layers {ranges}"
