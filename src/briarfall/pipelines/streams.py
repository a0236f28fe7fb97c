"""Open streams of an instance and the watchdog that checks them."""

import concurrent.futures
import threading
import time

from absl import logging

from briarfall import exceptions
from briarfall import sockets
from briarfall.adapters import engine as engines
from briarfall.pipelines import models
from briarfall.pipelines import targets as target_tables

TICK_S = 0.05
_MIN_IDLE_S = 0.1
_CALLER_CHECK_TICKS = 4
_PROBE_TIMEOUT_S = 0.25
_PROBE_THREADS = 16
_GAP_WEIGHT = 0.2
_MIN_PROBE_GAPS = 4.0
_FIRST_TOKEN_FACTOR = 4.0
# A stream without tokens on a route that serves other streams is probably
# queued for a batch. It counts as lost only after this multiple of the stall
# limit.
_QUEUEING_FACTOR = 8.0


class ActiveStream:
    """State of an open stream, shared by its own thread and the watchdog.

    The stream's thread writes the progress, the watchdog reads it.

    Attributes:
        req: The request.
        route: Route of the current attempt.
        gap_s: Moving average of the time between tokens, 0 if unknown.
        progress_s: Monotonic time of the last token, or of the start of the
            attempt.
        awaits_first_token: Whether the attempt has produced no token yet.
        expected_first_s: Estimated time to the first token of the attempt.
        expected_gap_s: Estimated time between tokens, used until `gap_s` is
            known.
        cause: Why the watchdog ended the attempt, or None.
        failed_target: Target whose failure ended the attempt, or empty.
        probed_s: Monotonic time at which the route was last probed.
        draining_since_s: Monotonic time since which a target of the route is
            draining, 0 if none is.
    """

    def __init__(self, req: models.StreamRequest):
        self.req = req
        self.route: list[engines.Hop] = []
        self.gap_s = 0.0
        self.progress_s = time.monotonic()
        self.awaits_first_token = True
        self.expected_first_s = 0.0
        self.expected_gap_s = 0.0
        self.cause: models.Cause | None = None
        self.failed_target = ""
        self.probed_s = 0.0
        self.draining_since_s = 0.0
        self._stream: engines.EngineStream | None = None
        self._lock = threading.Lock()

    def attach(
        self,
        stream: engines.EngineStream,
        route: list[engines.Hop],
        expected_first_s: float,
        expected_gap_s: float,
    ) -> None:
        """Resets the state for a new attempt and starts checks of it."""
        with self._lock:
            self.expected_gap_s = expected_gap_s
            self.route = route
            self.expected_first_s = expected_first_s
            self.awaits_first_token = True
            self.probed_s = 0.0
            self.draining_since_s = 0.0
            self.progress_s = time.monotonic()
            self._stream = stream

    def detach(self) -> models.Cause | None:
        """Stops checks of the attempt.

        Returns:
            Why the watchdog ended the attempt, or None if it did not.
        """
        with self._lock:
            self._stream = None
            cause = self.cause
            self.cause = None
            return cause

    def record_tokens(self, now: float) -> None:
        """Records that tokens were accepted at `now` and updates `gap_s`."""
        gap_s = now - self.progress_s
        if self.awaits_first_token:
            self.awaits_first_token = False
        elif self.gap_s == 0.0:
            self.gap_s = gap_s
        else:
            self.gap_s += (gap_s - self.gap_s) * _GAP_WEIGHT
        self.progress_s = now

    def end(self, cause: models.Cause, failed_target: str = "") -> None:
        """Ends the current attempt; called from other threads.

        Does nothing if no attempt is open or if it was already ended.
        """
        with self._lock:
            if self._stream is None or self.cause is not None:
                return
            self.cause = cause
            self.failed_target = failed_target
            self._stream.close()

    def discount_delay(self, seconds: float) -> None:
        """Discounts a delay of this instance from the time without progress."""
        self.progress_s += seconds


class Watchdog:
    """Ends attempts that stalled or that must not continue.

    An attempt also ends if its deadline has passed, if its caller has
    disconnected, or if a target of its route has been draining for longer
    than the grace period.

    Args:
        table: States of the targets.
        connect: Returns the adapter of an engine by URL.
    """

    def __init__(self, table: target_tables.TargetTable, connect):
        self._table = table
        self._connect = connect
        self._streams: set[ActiveStream] = set()
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._ticks = 0
        self._probing: set[str] = set()
        self._probers = concurrent.futures.ThreadPoolExecutor(
            _PROBE_THREADS, thread_name_prefix="probe"
        )

    def start(self) -> None:
        """Starts the watchdog thread."""
        threading.Thread(target=self._run, name="watchdog", daemon=True).start()

    def stop(self) -> None:
        """Stops the watchdog thread and cancels pending probes."""
        self._stopping.set()
        self._probers.shutdown(wait=False, cancel_futures=True)

    def add(self, stream: ActiveStream) -> None:
        """Adds a stream to the checks."""
        with self._lock:
            self._streams.add(stream)

    def remove(self, stream: ActiveStream) -> None:
        """Removes a stream from the checks."""
        with self._lock:
            self._streams.discard(stream)

    def streams(self) -> list[ActiveStream]:
        """Returns the open streams."""
        with self._lock:
            return list(self._streams)

    def _run(self) -> None:
        next_tick_s = time.monotonic() + TICK_S
        while not self._stopping.wait(max(0.0, next_tick_s - time.monotonic())):
            now = time.monotonic()
            late_s = now - next_tick_s
            next_tick_s = now + TICK_S
            self._ticks += 1
            for stream in self.streams():
                if late_s > TICK_S:
                    stream.discount_delay(late_s)
                try:
                    self._check(stream, now)
                except Exception:
                    logging.exception("watchdog: check of a stream failed")

    def _check(self, stream: ActiveStream, now: float) -> None:
        if now > stream.req.deadline_s:
            stream.end(models.Cause.DEADLINE)
            return
        if self._ticks % _CALLER_CHECK_TICKS == 0:
            if sockets.is_closed_by_remote(stream.req.caller):
                stream.end(models.Cause.CALLER_LEFT)
                return
            if self._must_reroute(stream, now):
                stream.end(models.Cause.MOVED)
                return
        self._check_progress(stream, now)

    def _check_progress(self, stream: ActiveStream, now: float) -> None:
        idle_s = now - stream.progress_s
        if idle_s < _MIN_IDLE_S:
            return
        probe_s, stall_s = stall_limits(stream)
        if idle_s > stall_s:
            names = [hop.target for hop in stream.route]
            # Other streams may have received tokens just before a link was
            # cut. Only tokens in the later half of the idle time show that
            # the route still works.
            since_s = stream.progress_s + idle_s / 2
            is_queueing = self._table.has_success_since(names, since_s)
            if not is_queueing or idle_s > stall_s * _QUEUEING_FACTOR:
                self._table.record_stall(names, stream.progress_s)
                stream.end(models.Cause.STALLED)
                return
        since_probe_s = now - max(stream.probed_s, stream.progress_s)
        if idle_s > probe_s and since_probe_s > probe_s:
            stream.probed_s = now
            for hop in stream.route:
                self._start_probe(hop)

    def _start_probe(self, hop: engines.Hop) -> None:
        """Starts a probe of a target unless one is already in flight."""
        with self._lock:
            if hop.target in self._probing:
                return
            self._probing.add(hop.target)
        try:
            self._probers.submit(self._probe, hop)
        except RuntimeError:
            self._probing.discard(hop.target)

    def _probe(self, hop: engines.Hop) -> None:
        started = time.monotonic()
        try:
            self._connect(hop.url).load(_PROBE_TIMEOUT_S)
        except exceptions.LocalLimitError:
            return
        except exceptions.TargetError as exc:
            # A probe that took much longer than its timeout was delayed by
            # this instance and says nothing about the target.
            took_s = time.monotonic() - started
            if took_s > 2 * _PROBE_TIMEOUT_S + TICK_S:
                return
            is_unreachable = isinstance(exc, exceptions.TargetUnreachableError)
            self._end_waiting_attempts(hop.target, started, is_unreachable)
        finally:
            with self._lock:
                self._probing.discard(hop.target)

    def _end_waiting_attempts(
        self, target: str, since_s: float, is_unreachable: bool
    ) -> None:
        """Ends the attempts that wait for a target that failed a probe.

        Args:
            target: The target.
            since_s: Monotonic time at which the probe started. Streams that
                were not idle then (for `_MIN_IDLE_S`) continue.
            is_unreachable: Whether the connection failed, rather than the
                answer.
        """
        self._table.record_failure(target, is_silent=True)
        cause = (
            models.Cause.TARGET_DIED if is_unreachable else models.Cause.STALLED
        )
        for stream in self.streams():
            if stream.progress_s >= since_s - _MIN_IDLE_S:
                continue
            if any(hop.target == target for hop in stream.route):
                stream.end(cause, target)

    def _must_reroute(self, stream: ActiveStream, now: float) -> bool:
        draining = any(
            self._table.status(hop.target).leaving for hop in stream.route
        )
        if not draining:
            stream.draining_since_s = 0.0
            return False
        if not stream.draining_since_s:
            stream.draining_since_s = now
        grace_s = stream.req.model.recovery.leave_grace_s
        return now - stream.draining_since_s > grace_s


def stall_limits(stream: ActiveStream) -> tuple[float, float]:
    """Returns the idle times after which a stream is probed and ended.

    Returns:
        Seconds without progress until the route is probed, and until the
        attempt counts as stalled.
    """
    recovery = stream.req.model.recovery
    if stream.awaits_first_token:
        expected_s = stream.expected_first_s * _FIRST_TOKEN_FACTOR
        return (
            recovery.probe_after_s + stream.expected_first_s,
            recovery.first_token_s + expected_s,
        )
    gap_s = stream.gap_s or stream.expected_gap_s
    probe_s = max(recovery.probe_after_s, recovery.gap_factor * gap_s)
    probe_s = min(
        probe_s, max(recovery.stall_after_s / 2, _MIN_PROBE_GAPS * gap_s)
    )
    stall_s = max(recovery.stall_after_s, 2 * recovery.gap_factor * gap_s)
    return probe_s, stall_s
