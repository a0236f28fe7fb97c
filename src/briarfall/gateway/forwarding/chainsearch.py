"""Choice of a chain of engines for a stream, with a short wait for capacity."""

import collections
import random

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway import retryafter
from briarfall.gateway.forwarding import chainheads
from briarfall.gateway.forwarding import roomreports
from briarfall.gateway.forwarding import roomwaits
from briarfall.gateway.forwarding import streamstate
from briarfall.gateway.placement import chains
from briarfall.gateway.placement import enginecosts
from briarfall.gateway.placement import linkadmission
from briarfall.gateway.placement import paths
from briarfall.gateway.scheduling import kvreserve
from briarfall.gateway.scheduling import returns
from briarfall.gateway.scheduling import waiting
from briarfall.gateway.targets import targetbackoff
from briarfall.gateway.targets import targets
from briarfall.gateway.targets import targetstate

_MAX_ATTEMPTS = 6
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
        reserve: Keeps room in KV caches for more urgent requests.
        reports: Reports requests that lack room.
    """

    def __init__(
        self,
        table: targets.TargetTable,
        finder: paths.ChainFinder,
        link: linkadmission.LinkAdmission,
        rng: random.Random,
        reserve: kvreserve.KvReserve,
        reports: roomreports.RoomReports,
    ):
        self._link = link
        self._reserve = reserve
        self._reports = reports
        self._rooms: dict[str, waiting.WaitingRoom] = collections.defaultdict(
            waiting.WaitingRoom
        )
        self._targets = table
        self._finder = finder
        self._returns = returns.ReturnTimes(rng)

    def wait_for_chain(self, stream: streamstate.Stream) -> chains.Chain:
        """Returns a chain with free KV capacity, after a short wait if needed.

        Raises:
            CutOffError: A peer may reach the engines that this instance can't
                reach.
            BriarfallError: No chain became available in time, or the stream
                has used up its attempts or its time.
        """
        call = stream.call
        self._check_deadline(stream)
        wait = roomwaits.RoomWait(
            stream, self._rooms[call.service.name], self._reports
        )
        chain = None
        try:
            chain = self._wait(stream, wait)
        finally:
            wait.end(is_admitted=chain is not None)
        if not stream.response_started:
            self._reserve.record_admitted(stream.demand_class)
        return chain

    def _wait(
        self,
        stream: streamstate.Stream,
        wait: roomwaits.RoomWait,
    ) -> chains.Chain:
        """Returns a chain once one has room for a request that may look.

        Raises:
            BriarfallError: No chain became available in time.
        """
        call = stream.call
        while True:
            if call.attempt_count >= _MAX_ATTEMPTS or call.left_s <= 0:
                raise stream.abandon_error(
                    "too many tries", self._told_s(stream, _NO_ROOM_PERIOD)
                )
            has_time = wait.has_time
            max_fill = self._max_fill(stream)
            if wait.pause_for_order(has_time=has_time, max_fill=max_fill):
                continue
            rows = self._targets.usable(call.service.name)
            chain = None
            if has_time or wait.may_look:
                chain = self._look(stream, wait, rows)
            if chain is not None:
                return chain
            if not has_time:
                lack = _describe_lack(stream, rows)
                wait.report_refused("kv", lack)
                raise stream.abandon_error(
                    lack, self._told_s(stream, _NO_ROOM_PERIOD)
                )
            wait.pause_after_look()

    def _look(
        self,
        stream: streamstate.Stream,
        wait: roomwaits.RoomWait,
        rows: list[targetstate.Target],
    ) -> chains.Chain | None:
        """Returns a chain with room now, or None if the request may wait.

        Raises:
            BriarfallError: A wait would be in vain.
        """
        heads = chainheads.heads_of(stream, rows)
        chain = self._find(stream, rows, heads, may_cross=True)
        if chain is not None:
            chain = self._admitted(stream, rows, heads, chain, wait)
        if chain is not None:
            return chain
        self._check_links(stream)
        if heads != stream.allowed_heads and not stream.response_started:
            self._refuse_if_held(stream, rows, wait.until_s)
        if wait.is_first_look:
            self._report_lack(stream, wait, rows, heads)
        return None

    def _check_deadline(self, stream: streamstate.Stream) -> None:
        """Refuses a new request that can't begin before its caller leaves.

        Raises:
            OverloadError: Its prompt alone takes longer than is left.
        """
        call = stream.call
        if stream.response_started or call.attempt_count:
            return
        if call.parts.shared or not stream.demand.is_prompt_stated:
            # Engines may have read shared parts; the prompt may be short.
            return
        needed_s = enginecosts.shortest_prefill_s(
            call.service.model, stream.demand.prompt
        )
        if not 0 < call.left_s <= needed_s:
            return
        reason = (
            f"the caller leaves before the prompt is read ({needed_s:.2f}s)"
        )
        self._reports.refused(stream, "time", 0, "a later deadline")
        raise stream.abandon_error(reason)

    def _report_lack(
        self,
        stream: streamstate.Stream,
        wait: roomwaits.RoomWait,
        rows: list[targetstate.Target],
        heads: frozenset[ids.TargetId] | None,
    ) -> None:
        """Reports what a request lacks and counts what the reserve holds."""
        remedy = _describe_lack(stream, rows)
        cls = stream.demand_class
        max_fill = self._max_fill(stream)
        if max_fill < kvreserve.MAX_FILL and self._find(
            stream, rows, heads, may_cross=True, max_fill=kvreserve.MAX_FILL
        ):
            self._reserve.record_held(cls)
            remedy = f"fill below {max_fill:.2f} or no more urgent requests"
        wait.report_held(remedy)

    def _max_fill(self, stream: streamstate.Stream) -> float:
        has_started = stream.response_started or bool(stream.suspended)
        return self._reserve.max_fill(
            stream.demand_class, has_started=has_started
        )

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
    ) -> chains.Chain | None:
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
        heads = chainheads.heads_of(stream, rows, head)
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
        heads = chainheads.without_held(stream.heads_after(head), rows)
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
        max_fill: float | None = None,
    ) -> chains.Chain | None:
        if max_fill is None:
            max_fill = self._max_fill(stream)
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
            max_fill=max_fill,
            gap_s=stream.call.route.event_gap_slo_s,
        )

    def _admitted(
        self,
        stream: streamstate.Stream,
        rows: list[targetstate.Target],
        heads: frozenset[ids.TargetId] | None,
        chain: chains.Chain,
        wait: roomwaits.RoomWait,
    ) -> chains.Chain | None:
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
                model,
                cross_zone_hops,
                stream.demand.tokens,
                stream.demand_class,
            )
            stream.link_admitted = may_cross
        else:
            may_cross = stream.link_admitted
        if may_cross:
            return chain
        chain = self._find(stream, rows, heads, may_cross=False)
        if chain is None and not stream.response_started:
            self._link.refusals += 1
            share = self._link.class_share(model, stream.demand_class)
            wait.report_refused(
                "link", f"more link, its class gets {share:.3f}"
            )
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
        if any(chainheads.has_permit_by(row, until_s) for row in rows):
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


def _describe_lack(
    stream: streamstate.Stream, rows: list[targetstate.Target]
) -> str:
    """Returns what is missing for a chain: layers or room."""
    uncovered = paths.uncovered_layers(stream.call.service.model, rows)
    if not uncovered:
        return "no chain of engines has room"
    ranges = ",".join(f"{layers.first}-{layers.end}" for layers in uncovered)
    return f"no engine that takes requests holds layers {ranges}"
