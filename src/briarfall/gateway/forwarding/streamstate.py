"""State of a stream and of the chain that runs it."""

import msgspec

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway.calls import calls
from briarfall.gateway.exchanges import events
from briarfall.gateway.exchanges import inputbounds
from briarfall.gateway.exchanges import messages
from briarfall.gateway.exchanges import targetconnection
from briarfall.gateway.forwarding import closedanswers
from briarfall.gateway.forwarding import plainexchanges
from briarfall.gateway.placement import chains
from briarfall.gateway.scheduling import classes
from briarfall.gateway.targets import targetstate

# A stream counts as stalled after no less than this time without events, and no
# less than this share of the longest event interval that the route allows. The
# rest of that interval is for finding the failed engine, rerouting and the next
# event.
_MIN_STALL_TIMEOUT_S = 0.09
_STALL_TIMEOUT_SHARE = 0.45
# A stream counts as stalled only after this many of its mean event intervals.
_STALL_INTERVAL_FACTOR = 2.0
_INTERVAL_WEIGHT = 0.2
# A request that has produced events on a chain for this long does not crash the
# engines of the chain.
_PROVEN_AFTER_S = 1.0
# An engine that crashes when it begins to write an answer has done so within
# this time after the first event; later the parts of the prompt are proven.
_BEGUN_AFTER_S = 0.1
_RETRY_AFTER_S = 0.5
# Time for which new chains avoid an engine that was short of memory.
OUT_OF_MEMORY_BLOCK_S = 0.15
_MAX_BLOCK_DOUBLINGS = 4


class Stream(msgspec.Struct):
    """The state of one stream.

    Attributes:
        call: The request.
        demand: Tokens that it needs.
        sequence: Joins the events of its chains and drops duplicates.
        response_started: Whether the caller has received the response head.
        event_interval_s: Moving average of the seconds between events.
        last_event_s: Time on the boot clock of the last event, or of sending
            the request if no event has come since.
        chain_first_event_s: Time on the boot clock of the first event of the
            current chain, or 0.
        excluded: Engines that failed this stream.
        heads: Engines that ran it as the head of a chain and may still live.
        has_recorded_proof: Whether the parts of its prompt are recorded as
            proven.
        link_admitted: Whether it was admitted to the inter-zone link; None
            if admission was not requested yet.
        refusals: Number of refusals of this stream by each engine.
        avoided_until_s: Time on the boot clock until which each engine that
            refused this stream is avoided.
        suspended: Runs whose engines may have failed, though their connections
            are open. Whichever sends first goes on.
        peers: Exchanges with peers while a run is followed beside them.
        demand_class: Its class among requests that need room.
    """

    call: calls.Call
    demand: chains.Demand
    sequence: events.EventSequence = msgspec.field(
        default_factory=events.EventSequence
    )
    response_started: bool = False
    event_interval_s: float = 0.0
    last_event_s: float = 0.0
    chain_first_event_s: float = 0.0
    excluded: set[ids.TargetId] = msgspec.field(default_factory=set)
    heads: set[ids.TargetId] = msgspec.field(default_factory=set)
    has_recorded_proof: bool = False
    link_admitted: bool | None = None
    refusals: dict[ids.TargetId, int] = msgspec.field(default_factory=dict)
    avoided_until_s: dict[ids.TargetId, float] = msgspec.field(
        default_factory=dict
    )
    suspended: "list[ChainRun]" = msgspec.field(default_factory=list)
    peers: plainexchanges.PeerExchanges | None = None
    demand_class: classes.DemandClass = classes.DEFAULT_CLASS

    @property
    def allowed_heads(self) -> frozenset[ids.TargetId] | None:
        """Engines that may be the head of its next chain, or None for any.

        Once it has run on as many heads as the route allows, only these may
        run it again.
        """
        return self.heads_after(None)

    def heads_after(
        self, head: ids.TargetId | None
    ) -> frozenset[ids.TargetId] | None:
        """Returns `allowed_heads` as they are once it has run on `head` too."""
        heads = self.heads if head is None else self.heads | {head}
        if len(heads) < self.call.max_runs:
            return None
        return frozenset(heads)

    @property
    def avoided(self) -> frozenset[ids.TargetId]:
        """Engines that failed this stream or refused it recently."""
        if not self.avoided_until_s:
            return frozenset(self.excluded)
        now_s = clocks.boot_s()
        resting = [
            target
            for target, end_s in self.avoided_until_s.items()
            if end_s > now_s
        ]
        return frozenset(self.excluded.union(resting))

    def record_refusal(self, target: ids.TargetId) -> None:
        """Avoids an engine that refused the stream, longer each time."""
        count = self.refusals.get(target, 0)
        self.refusals[target] = count + 1
        block_s = OUT_OF_MEMORY_BLOCK_S * 2 ** min(count, _MAX_BLOCK_DOUBLINGS)
        self.avoided_until_s[target] = clocks.boot_s() + block_s

    @property
    def stall_timeout_s(self) -> float:
        """Time without events after which an engine may have failed."""
        aim_s = self.call.route.event_gap_slo_s * _STALL_TIMEOUT_SHARE
        return max(
            _MIN_STALL_TIMEOUT_S,
            aim_s,
            self.event_interval_s * _STALL_INTERVAL_FACTOR,
        )

    @property
    def run_s(self) -> float:
        """Seconds since the first event of the current chain, or 0."""
        if not self.chain_first_event_s:
            return 0.0
        return clocks.boot_s() - self.chain_first_event_s

    @property
    def is_proven(self) -> bool:
        """Whether the current chain has run the request without a crash."""
        return self.run_s > _PROVEN_AFTER_S

    @property
    def has_begun(self) -> bool:
        """Whether the answer of the current chain is under way."""
        return self.run_s > _BEGUN_AFTER_S

    def abandon_error(
        self, reason: str, retry_after_s: float = _RETRY_AFTER_S
    ) -> exceptions.BriarfallError:
        """Returns the error with which the stream is abandoned.

        Args:
            reason: Why no engines can run it.
            retry_after_s: Time after which the caller may retry if the
                request has not run.
        """
        if self.call.has_unknown_outcome or self.response_started:
            return exceptions.StreamLostError(reason)
        return exceptions.OverloadError(
            reason,
            outcome=exceptions.Outcome.NOT_RUN,
            retry_after_s=retry_after_s,
        )

    @property
    def suspended_connections(
        self,
    ) -> list[targetconnection.TargetConnection]:
        """Connections of the suspended runs, also those of peers."""
        conns = [run.conn for run in self.suspended]
        if self.peers is not None:
            conns.extend(self.peers.connections)
        return conns

    @property
    def has_live_run(self) -> bool:
        """Whether a suspended run has sent something or was only overtaken."""
        return any(
            run.is_overtaken or run.conn.has_data for run in self.suspended
        )

    def is_suspended(self, run: "ChainRun") -> bool:
        """Whether a run is suspended."""
        return any(suspended is run for suspended in self.suspended)

    def suspend(self, run: "ChainRun", *, is_overtaken: bool = False) -> None:
        """Keeps a run while others are tried or followed.

        It counts towards the route's bound on runs.

        Args:
            run: The run.
            is_overtaken: Whether another run can be read, so that this one need
                not be silent.
        """
        run.is_overtaken = is_overtaken
        run.first_event_s = self.chain_first_event_s
        self.heads.add(run.chain.head.target)
        self.suspended.append(run)

    def resume(
        self, conn: targetconnection.TargetConnection | None = None
    ) -> "ChainRun":
        """Returns a suspended run, which is the current one again.

        Args:
            conn: Its connection; None for the first run that has sent
                something, or else one that was only overtaken, or else the
                newest.
        """
        index = len(self.suspended) - 1
        for position, run in enumerate(self.suspended):
            if run.is_overtaken:
                index = position
        for position, run in enumerate(self.suspended):
            if run.conn is conn or (conn is None and run.conn.has_data):
                index = position
                break
        run = self.suspended.pop(index)
        self.chain_first_event_s = run.first_event_s
        run.next_check_s = clocks.boot_s() + self.stall_timeout_s
        return run

    def start_response(self, head: messages.ResponseHead) -> None:
        """Sends the head of the response, unless the caller has it already."""
        if self.response_started:
            return
        self.response_started = True
        headers = []
        for key, value in messages.end_to_end(head.headers):
            # A resumed stream may have another length.
            if key.lower() != b"content-length":
                headers.append((key, value))
        self.call.conn.send_head(head.status, headers)

    def start_chain(self) -> None:
        """Records that another chain starts to run the request."""
        self.chain_first_event_s = 0.0

    def record_event(self, now_s: float) -> float:
        """Records an event and returns the time since the previous one."""
        interval_s = now_s - self.last_event_s
        self.last_event_s = now_s
        if not self.chain_first_event_s:
            self.chain_first_event_s = now_s
        if self.response_started:
            if not self.event_interval_s:
                self.event_interval_s = interval_s
            self.event_interval_s += _INTERVAL_WEIGHT * (
                interval_s - self.event_interval_s
            )
        return interval_s


class ChainRun(msgspec.Struct):
    """One run of a stream on a chain, which rerouting may change.

    Attributes:
        chain: The engines.
        target: The head as it was when the run started.
        conn: Connection to the head.
        sent_s: Time on the boot clock at which the request was sent, or None.
        response: Head of the response, or None if it has not arrived.
        completion: Checks the end of a response without a length, else None.
        is_resumed: Whether the caller had the head of an earlier run when the
            response arrived.
        splitter: Splits the body into events.
        idle_input: What arrived since the last event for the caller.
        first_event_s: Time on the boot clock of its first event, or 0; set when
            the run is suspended.
        is_overtaken: Whether it was suspended because another run could be
            read.
        stall_checks: Liveness checks since the last event.
        reroute_attempts: How often rerouting was attempted in this run.
        postponed: Liveness checks postponed since the last event.
        next_check_s: Time on the boot clock of the next liveness check.
    """

    chain: chains.Chain
    target: targetstate.Target
    conn: targetconnection.TargetConnection
    sent_s: float | None = None
    response: messages.ResponseHead | None = None
    completion: closedanswers.CompletionCheck | None = None
    is_resumed: bool = False
    splitter: events.EventSplitter = msgspec.field(
        default_factory=events.EventSplitter
    )
    idle_input: inputbounds.IdleInput = msgspec.field(
        default_factory=inputbounds.IdleInput
    )
    first_event_s: float = 0.0
    is_overtaken: bool = False
    stall_checks: int = 0
    reroute_attempts: int = 0
    postponed: int = 0
    next_check_s: float = 0.0
