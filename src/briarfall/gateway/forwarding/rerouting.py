"""Finds the failed engine behind a stalled stream and reroutes the stream."""

from absl import logging

from briarfall import exceptions
from briarfall.gateway import clocks
from briarfall.gateway import metrics
from briarfall.gateway.catalogue import sources
from briarfall.gateway.crashes import crashdetection
from briarfall.gateway.exchanges import dialing
from briarfall.gateway.exchanges import targetconnection
from briarfall.gateway.forwarding import chainsearch
from briarfall.gateway.forwarding import dispatchgate
from briarfall.gateway.forwarding import streamprogress
from briarfall.gateway.forwarding import streamstate
from briarfall.gateway.placement import chains
from briarfall.gateway.placement import linkadmission
from briarfall.gateway.placement import paths
from briarfall.gateway.targets import linkmonitor
from briarfall.gateway.targets import liveness
from briarfall.gateway.targets import loads
from briarfall.gateway.targets import targets

# Liveness checks that connect to the engines; later checks query the head.
_MAX_CONNECT_CHECKS = 2
# Longer than the 0.1 s for which a CPU-throttled process may get no CPU time.
_REPORT_TIMEOUT_S = 0.25
_COMMAND_TIMEOUT_S = 0.2
_MAX_REPATHS = 4
# Delay of a postponed liveness check. A CPU-throttled process gets CPU time
# again within 0.1 s.
_POSTPONE_S = 0.03
_MAX_POSTPONED = 3


class UnresponsiveEngineError(targetconnection.BrokenExchangeError):
    """A run is suspended because one of its engines is unresponsive."""

    code = "engine_silent"


class StreamRerouter:
    """Reroutes running streams around failed engines.

    Args:
        table: Targets.
        load_table: Load that all instances put on targets.
        finder: Chooses chains.
        search: Chooses chains for streams, with their bounds.
        link: Admits chains with cross-zone hops.
        engines: Queries engines and sends commands to them.
        gate: Dispatch gate, which refuses poison requests.
        detector: Distinguishes crashes from lost responses.
        counters: Metrics.
        activity: When this process last received anything.
        links: Targets that this instance reaches.
        dialer: Opens the connections of liveness checks.
    """

    def __init__(
        self,
        table: targets.TargetTable,
        load_table: loads.LoadTable,
        finder: paths.ChainFinder,
        search: chainsearch.ChainSearch,
        link: linkadmission.LinkAdmission,
        engines: sources.EngineControl,
        gate: dispatchgate.DispatchGate,
        detector: crashdetection.CrashDetector,
        counters: metrics.Metrics,
        activity: liveness.ReceiveActivity,
        links: linkmonitor.LinkMonitor,
        dialer: dialing.Dialer = dialing.SYSTEM_DIALER,
    ):
        self._activity = activity
        self._targets = table
        self._loads = load_table
        self._finder = finder
        self._search = search
        self._link = link
        self._engines = engines
        self._gate = gate
        self._detector = detector
        self._metrics = counters
        self._progress = streamprogress.ProgressTable(
            dialer, links.record_unanswered
        )

    def record_progress(self, chain: chains.Chain, now_s: float) -> None:
        """Records an event that all engines of a chain contributed to."""
        self._activity.record()
        self._progress.record(chain, now_s)
        for stage in chain.stages:
            target = self._targets.get(stage.target)
            if target is not None:
                target.last_active_s = now_s

    def clear_suspicion(
        self, stream: streamstate.Stream, chain: chains.Chain
    ) -> None:
        """Uses engines again that were silent and have gone on."""
        for target_id in stream.excluded.intersection(chain.target_ids()):
            stream.excluded.discard(target_id)
            target = self._targets.get(target_id)
            if target is not None:
                self._targets.record_success(target)

    def postpone_check(self, run: streamstate.ChainRun) -> bool:
        """Postpones a liveness check if this process itself lacks CPU time.

        Returns:
            Whether the check was postponed.
        """
        if run.postponed >= _MAX_POSTPONED or not self._activity.is_starved:
            return False
        run.postponed += 1
        run.next_check_s = clocks.boot_s() + _POSTPONE_S
        return True

    def reroute(
        self, stream: streamstate.Stream, run: streamstate.ChainRun
    ) -> None:
        """Finds the failed engines of a stalled stream and replaces them.

        Raises:
            UnresponsiveEngineError: The stream can't be rerouted, and another
                chain can run the request again.
        """
        failed = self._find_failed_stages(stream, run)
        if not failed:
            return
        for stage in failed:
            stream.excluded.add(stage.target)
            failed_target = self._targets.get(stage.target)
            if failed_target is None:
                continue
            self._targets.record_failure(failed_target, "a stream waits for it")
        first_failed = next(iter(failed))
        if first_failed is run.chain.head or not stream.response_started:
            self._suspend(stream, run, first_failed, failed[first_failed])
            return
        self._record_interruption(stream, first_failed, failed[first_failed])
        try:
            self._gate.check(stream.call)
        except exceptions.PoisonError as exc:
            # The head may still go on by itself.
            logging.warning(
                "stream not rerouted, its chain goes on request=%s: %s",
                stream.call.request_id,
                exc.message,
            )
            return
        self._repath(stream, run)

    def _suspend(
        self,
        stream: streamstate.Stream,
        run: streamstate.ChainRun,
        failed: chains.Stage,
        reachability: liveness.Reachability,
    ) -> None:
        """Suspends a run if another chain can take the stream.

        The connection to the head is still open: a silent engine may go on,
        so that without another chain the run continues. If another run is
        suspended already, whichever goes on first keeps the stream.

        Raises:
            UnresponsiveEngineError: The stream can move to another chain.
        """
        can_move = self.can_move(stream, run)
        logging.warning(
            "stream silent, %s request=%s target=%s reach=%s left_s=%.1f",
            "trying another chain" if can_move else "no other chain, waiting",
            stream.call.request_id,
            failed.target,
            reachability.value,
            stream.call.left_s,
        )
        if not can_move:
            return
        if failed is run.chain.head:
            # Its open connection contradicts a refused one; it counts as
            # crashed only if its incarnation ends.
            reachability = liveness.Reachability.UNKNOWN
        self._record_interruption(stream, failed, reachability)
        raise UnresponsiveEngineError(
            f"{failed.address}: silent", saw_response=stream.response_started
        )

    def can_move(
        self, stream: streamstate.Stream, run: streamstate.ChainRun
    ) -> bool:
        """Whether another chain could take a stream that this one runs."""
        if not self._gate.may_retry(stream.call):
            return False
        head = run.chain.head.target
        if self._search.find_replacement(stream, head) is not None:
            return True
        return self._search.needs_peer(stream, head)

    def _record_interruption(
        self,
        stream: streamstate.Stream,
        failed: chains.Stage,
        reachability: liveness.Reachability,
    ) -> None:
        if not stream.is_proven:
            self._detector.record_interruption(
                stream.call,
                failed.target,
                failed.started_ms,
                reachability,
                has_begun=stream.has_begun,
            )

    def _find_failed_stages(
        self, stream: streamstate.Stream, run: streamstate.ChainRun
    ) -> dict[chains.Stage, liveness.Reachability]:
        """Returns the failed stages of a stalled stream."""
        stalled_ms = (clocks.boot_s() - stream.last_event_s) * 1000
        suspects = self._progress.without_progress_since(
            run.chain, stream.last_event_s
        )
        failed = self._known_failed(suspects, stream.last_event_s)
        how = "known"
        if not failed and run.stall_checks <= _MAX_CONNECT_CHECKS:
            failed = self._progress.find_dead(run.chain, suspects)
            how = "connect"
        elif not failed:
            failed = self._query_head(stream, run)
            how = "report"
        logging.info(
            "stream silent request=%s silent_ms=%d pause_ms=%d check=%d "
            "how=%s suspects=%d failed=%s reach=%s",
            stream.call.request_id,
            stalled_ms,
            stream.event_interval_s * 1000,
            run.stall_checks,
            how,
            len(suspects),
            ",".join(stage.target for stage in failed) or None,
            ",".join(reachability.value for reachability in failed.values())
            or None,
        )
        if failed:
            self._metrics.observe(
                "briarfall_detection_seconds", stalled_ms / 1000, how
            )
        return failed

    def _known_failed(
        self, suspects: list[chains.Stage], last_event_s: float
    ) -> dict[chains.Stage, liveness.Reachability]:
        """Returns suspects that failed other requests since the last event.

        An engine that has left the list may still go on: it is checked like
        any other.
        """
        failed = {}
        for stage in suspects:
            target = self._targets.get(stage.target)
            if target is not None and target.failed_s > last_event_s:
                failed[stage] = liveness.Reachability.UNKNOWN
        return failed

    def _query_head(
        self, stream: streamstate.Stream, run: streamstate.ChainRun
    ) -> dict[chains.Stage, liveness.Reachability]:
        """Returns the stage that the head reports as stalled.

        If the head does not answer, the head itself is returned. A head that
        may get no request now is not queried.
        """
        head = run.chain.head
        head_target = self._targets.get(head.target)
        if head_target is not None and not self._gate.admits_query(
            stream.call, head_target
        ):
            return {}
        try:
            report = self._engines.report(head.address, _REPORT_TIMEOUT_S)
        except exceptions.BriarfallError as exc:
            logging.warning(
                "head did not answer a report query target=%s: %s",
                head.target,
                exc,
            )
            return {head: liveness.Reachability.UNKNOWN}
        address = report.stalled.get(stream.call.request_id)
        failed = {}
        for stage in run.chain.stages:
            if stage.address == address:
                failed[stage] = liveness.Reachability.UNKNOWN
        return failed

    def _repath(
        self, stream: streamstate.Stream, run: streamstate.ChainRun
    ) -> None:
        """Commands the head to continue the stream on a replacement chain."""
        call = stream.call
        if run.reroute_attempts >= _MAX_REPATHS:
            return
        run.reroute_attempts += 1
        for _ in range(_MAX_REPATHS):
            chain = self._replacement_chain(stream, run.chain)
            if chain is None:
                logging.warning(
                    "no replacement for failed engines request=%s",
                    call.request_id,
                )
                return
            stages = [(stage.address, stage.layers) for stage in chain.stages]
            sent_s = clocks.boot_s()
            try:
                answer = self._engines.repath(
                    chain.head.address,
                    call.request_id,
                    self._engines.chain_header(stages),
                    _COMMAND_TIMEOUT_S,
                )
            except exceptions.BriarfallError as exc:
                logging.warning("repath failed: %s", exc)
                return
            logging.info(
                "repath request=%s chain=%s result=%s refusing=%s took_ms=%d",
                call.request_id,
                chain.describe(),
                answer.result.value,
                answer.address or None,
                (clocks.boot_s() - sent_s) * 1000,
            )
            self._metrics.count("briarfall_repaths", answer.result.value)
            self._metrics.observe(
                "briarfall_repath_seconds", clocks.boot_s() - sent_s
            )
            if answer.result in (
                sources.CommandResult.STARTED,
                sources.CommandResult.HOLDS,
            ):
                self._switch_chain(stream, run, chain)
                return
            refusing = chain.stage_at(answer.address)
            if refusing is None:
                return
            stream.excluded.add(refusing.target)

    def _switch_chain(
        self,
        stream: streamstate.Stream,
        run: streamstate.ChainRun,
        chain: chains.Chain,
    ) -> None:
        tokens = stream.demand.tokens
        self._loads.reserve(chain.target_ids(), tokens)
        self._loads.release(run.chain.target_ids(), tokens)
        self._link.record(
            stream.call.service.model,
            linkadmission.count_cross_zone_hops(chain, run.chain),
            tokens,
            stream.demand_class,
        )
        run.chain = chain
        stream.start_chain()
        run.next_check_s = clocks.boot_s() + stream.stall_timeout_s * 2

    def _replacement_chain(
        self, stream: streamstate.Stream, chain: chains.Chain
    ) -> chains.Chain | None:
        """Returns the chain with its failed stages replaced by other engines.

        Returns:
            None if no stage or the head has failed, or if no engines can
            replace the failed stages.
        """
        failed = [
            stage for stage in chain.stages if stage.target in stream.excluded
        ]
        if not failed or chain.head in failed:
            return None
        call = stream.call
        candidates = self._targets.usable(call.service.name)
        may_cross = self._link.admits_started(call.service.model)
        used = set(chain.target_ids()) | stream.excluded
        stages = []
        for index, stage in enumerate(chain.stages):
            if stage not in failed:
                stages.append(stage)
                continue
            following = chain.stages[index + 1 : index + 2]
            replacement = self._finder.find(
                call.service.model,
                candidates,
                stream.demand,
                frozenset(used),
                layers=stage.layers,
                zone=stages[-1].zone,
                next_zone=following[0].zone if following else None,
                noise=paths.FAILOVER_NOISE,
                may_cross=may_cross,
            )
            if replacement is None:
                return None
            stages.extend(replacement.stages)
            used.update(replacement.target_ids())
        return chains.Chain(tuple(stages), chain.cost_ms)
