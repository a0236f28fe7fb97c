"""Determines which engines a failed attempt of a stream is attributed to."""

from absl import logging

from briarfall import ids
from briarfall.gateway import clocks
from briarfall.gateway.calls import calls
from briarfall.gateway.crashes import crashdetection
from briarfall.gateway.exchanges import dialing
from briarfall.gateway.exchanges import headernames
from briarfall.gateway.exchanges import targetconnection
from briarfall.gateway.forwarding import rerouting
from briarfall.gateway.forwarding import streamstate
from briarfall.gateway.placement import chains
from briarfall.gateway.targets import linkmonitor
from briarfall.gateway.targets import liveness
from briarfall.gateway.targets import targets
from briarfall.gateway.targets import targetsignals
from briarfall.gateway.targets import targetstate

# An engine that made progress within this time has not ended.
_ACTIVE_WITHIN_S = 0.25


class StreamDiagnosis:
    """Attributes failed attempts of streams to engines.

    Args:
        header_names: Header names of the platform.
        table: Targets.
        detector: Distinguishes crashes from lost responses.
        links: Targets that this instance reaches.
        dialer: Opens the connections of liveness checks.
    """

    def __init__(
        self,
        header_names: headernames.HeaderNames,
        table: targets.TargetTable,
        detector: crashdetection.CrashDetector,
        links: linkmonitor.LinkMonitor,
        dialer: dialing.Dialer = dialing.SYSTEM_DIALER,
    ):
        self._links = links
        self._dialer = dialer
        self._names = header_names
        self._targets = table
        self._detector = detector

    def record_failure(
        self, stream: streamstate.Stream, target_id: ids.TargetId, reason: str
    ) -> None:
        """Excludes an engine from a stream, and for a while from new ones."""
        stream.excluded.add(target_id)
        target = self._targets.get(target_id)
        if target is not None:
            self._targets.record_failure(target, reason)

    def handle_refusal(
        self,
        stream: streamstate.Stream,
        chain: chains.Chain,
        exc: calls.RefusedByTargetError,
    ) -> None:
        """Avoids the engine that a refusal names, or else the head.

        An engine that is short of memory or draining is blocked for a short
        time; one that has ended or lost its layers counts as failed.
        """
        # The named address is looked up in the chain: another engine may have
        # taken over the address of one that ended.
        address = exc.head.header(self._names.faulty_target)
        named_stage = None
        if address is not None:
            named_stage = chain.stage_at(address.decode("latin-1"))
        target_id = (named_stage or chain.head).target
        logging.info(
            "stream refused request=%s status=%d target=%s head=%s "
            "not_run=%s age_ms=%d",
            stream.call.request_id,
            exc.head.status,
            target_id,
            chain.head.target,
            exc.head.header(self._names.not_run) is not None,
            stream.call.age_s * 1000,
        )
        target = self._targets.get(target_id)
        if target is None:
            stream.excluded.add(target_id)
            return
        if exc.head.status == 421:
            self.record_failure(stream, target_id, "does not hold its layers")
            return
        if named_stage is not None and self._is_dead(target, chain.head):
            self.record_failure(
                stream, target_id, "a refusal names it, and dead"
            )
            return
        stream.record_refusal(target_id)
        is_draining = exc.head.header(self._names.leaving) is not None
        self._targets.block(
            target,
            targetsignals.UNCERTAIN_BLOCK_S
            if is_draining
            else streamstate.OUT_OF_MEMORY_BLOCK_S,
        )

    def _is_dead(self, target: targetstate.Target, head: chains.Stage) -> bool:
        """Whether an engine accepts no connection though the head does.

        A refusal may name an engine that is short of memory or one that has
        ended, but only one that has ended must be avoided by all instances.
        """
        if clocks.boot_s() - target.last_active_s < _ACTIVE_WITHIN_S:
            return False
        reachability = liveness.probe_target(
            target.entry.address, [head.address], self._dialer
        )
        return reachability in (
            liveness.Reachability.REFUSED,
            liveness.Reachability.UNRESPONSIVE,
        )

    def handle_broken_head(
        self,
        stream: streamstate.Stream,
        head: chains.Stage,
        exc: targetconnection.BrokenExchangeError,
    ) -> None:
        """Distinguishes an ended head from a lost response or connection."""
        if isinstance(exc, rerouting.UnresponsiveEngineError):
            # Its connection is open, so that it may still run the request.
            stream.heads.add(head.target)
            target = self._targets.get(head.target)
            if target is not None:
                self._links.record_doubt(target)
            return
        reachability = liveness.probe_target(head.address, dialer=self._dialer)
        if not stream.is_proven:
            self._detector.record_interruption(
                stream.call,
                head.target,
                head.started_ms,
                reachability,
                has_begun=stream.has_begun,
            )
        is_faulty = isinstance(exc, targetconnection.InvalidResponseError)
        if is_faulty or head.target in stream.heads:
            # It broke the stream before, or is likely to do so again: another
            # head is to have its turn.
            stream.record_refusal(head.target)
        if reachability is liveness.Reachability.REFUSED:
            stream.heads.discard(head.target)
        else:
            # The head may still live, and counts towards the route's bound on
            # runs.
            stream.heads.add(head.target)
        target = self._targets.get(head.target)
        if reachability is not liveness.Reachability.OPEN:
            if target is not None:
                self._links.record_unreachable(target, reachability)
            self.record_failure(stream, head.target, exc.message)
        elif target is not None and is_faulty:
            self._targets.record_invalid_response(target, exc.message)
        elif target is not None and not exc.saw_response:
            self._links.record_reset(target)
