"""Open streams of an instance and the watchdog over them."""

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
_NOTICED_S = 0.1
_CALLER_CHECK_TICKS = 4
_PROBE_TIMEOUT_S = 0.25
_PROBE_THREADS = 16
_GAP_WEIGHT = 0.2
_MIN_GAPS = 4.0
_FIRST_TOKEN_FACTOR = 4.0
# Silence on a route on which other streams get tokens means waiting for a
# batch; only much longer silence means that the stream was lost.
_PROVED_FACTOR = 8.0


class ActiveStream:
    """One stream while it runs; its own thread writes, the watchdog reads.

    Attributes:
        req: The request.
        route: Route of the current attempt.
        gap_s: Moving average of the time between tokens, 0 if unknown.
        progress_s: Monotonic time of the last progress.
        waits_first: Whether the attempt has produced no token yet.
        cause: Why the watchdog ended the attempt, or None.
    """

    def __init__(self, req: models.StreamRequest):
        self.req = req
        self.route: list[engines.Hop] = []
        self.gap_s = 0.0
        self.progress_s = time.monotonic()
        self.waits_first = True
        self.expected_first_s = 0.0
        self.expected_gap_s = 0.0
        self.cause: models.Cause | None = None
        self.dead_target = ""
        self.probed_s = 0.0
        self.leaving_since_s = 0.0
        self._stream: engines.EngineStream | None = None
        self._lock = threading.Lock()

    def attach(
        self,
        stream: engines.EngineStream,
        route: list[engines.Hop],
        expected_first_s: float,
        expected_gap_s: float,
    ) -> None:
        """Starts watching an attempt."""
        with self._lock:
            self.expected_gap_s = expected_gap_s
            self.route = route
            self.expected_first_s = expected_first_s
            self.waits_first = True
            self.probed_s = 0.0
            self.leaving_since_s = 0.0
            self.progress_s = time.monotonic()
            self._stream = stream

    def detach(self) -> models.Cause | None:
        """Stops watching and returns why the attempt was ended, if so."""
        with self._lock:
            self._stream = None
            cause = self.cause
            self.cause = None
            return cause

    def note_tokens(self, now: float) -> None:
        """Notes tokens that were accepted at `now`."""
        gap_s = now - self.progress_s
        if self.waits_first:
            self.waits_first = False
        elif self.gap_s == 0.0:
            self.gap_s = gap_s
        else:
            self.gap_s += (gap_s - self.gap_s) * _GAP_WEIGHT
        self.progress_s = now

    def end(self, cause: models.Cause, dead_target: str = "") -> None:
        """Ends the current attempt from another thread."""
        with self._lock:
            if self._stream is None or self.cause is not None:
                return
            self.cause = cause
            self.dead_target = dead_target
            self._stream.close()

    def extend(self, seconds: float) -> None:
        """Excuses a delay that was this instance's own."""
        self.progress_s += seconds


class Watchdog:
    """Ends attempts that have stalled, whose caller left or must move.

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
        """Starts watching on a thread of its own."""
        threading.Thread(target=self._run, name="watchdog", daemon=True).start()

    def stop(self) -> None:
        """Stops watching."""
        self._stopping.set()
        self._probers.shutdown(wait=False, cancel_futures=True)

    def add(self, stream: ActiveStream) -> None:
        """Starts watching a stream."""
        with self._lock:
            self._streams.add(stream)

    def remove(self, stream: ActiveStream) -> None:
        """Stops watching a stream."""
        with self._lock:
            self._streams.discard(stream)

    def streams(self) -> list[ActiveStream]:
        """Returns the open streams."""
        with self._lock:
            return list(self._streams)

    def _run(self) -> None:
        expected = time.monotonic() + TICK_S
        while not self._stopping.wait(max(0.0, expected - time.monotonic())):
            now = time.monotonic()
            late_s = now - expected
            expected = now + TICK_S
            self._ticks += 1
            for stream in self.streams():
                if late_s > TICK_S:
                    stream.extend(late_s)
                try:
                    self._check(stream, now)
                except Exception:
                    logging.exception("watchdog")

    def _check(self, stream: ActiveStream, now: float) -> None:
        if now > stream.req.deadline_s:
            stream.end(models.Cause.DEADLINE)
            return
        if self._ticks % _CALLER_CHECK_TICKS == 0:
            if sockets.has_left(stream.req.caller):
                stream.end(models.Cause.CALLER_LEFT)
                return
            if self._must_move(stream, now):
                stream.end(models.Cause.MOVED)
                return
        self._check_progress(stream, now)

    def _check_progress(self, stream: ActiveStream, now: float) -> None:
        silent_s = now - stream.progress_s
        if silent_s < _NOTICED_S:
            return
        probe_s, stall_s = stall_limits(stream)
        if silent_s > stall_s:
            names = [hop.target for hop in stream.route]
            # Tokens from just before a cut prove nothing, so only those of
            # the later half of the silence count.
            since_s = stream.progress_s + silent_s / 2
            is_queueing = self._table.is_proved(names, since_s)
            if not is_queueing or silent_s > stall_s * _PROVED_FACTOR:
                self._table.note_late(names, stream.progress_s)
                stream.end(models.Cause.STALLED)
                return
        since_probe_s = now - max(stream.probed_s, stream.progress_s)
        if silent_s > probe_s and since_probe_s > probe_s:
            stream.probed_s = now
            for hop in stream.route:
                self._start_probe(hop)

    def _start_probe(self, hop: engines.Hop) -> None:
        """Probes a target, once for all streams that wait for it."""
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
            # A probe that this instance itself delayed proves nothing.
            took_s = time.monotonic() - started
            if took_s > 2 * _PROBE_TIMEOUT_S + TICK_S:
                return
            is_dead = isinstance(exc, exceptions.TargetUnreachableError)
            self._end_waiting(hop.target, started, is_dead)
        finally:
            with self._lock:
                self._probing.discard(hop.target)

    def _end_waiting(self, target: str, since_s: float, is_dead: bool) -> None:
        """Ends the attempts that wait for a target which did not answer."""
        self._table.note_failure(target, is_silent=True)
        cause = models.Cause.TARGET_DIED if is_dead else models.Cause.STALLED
        for stream in self.streams():
            if stream.progress_s >= since_s - _NOTICED_S:
                continue
            if any(hop.target == target for hop in stream.route):
                stream.end(cause, target)

    def _must_move(self, stream: ActiveStream, now: float) -> bool:
        leaving = any(
            self._table.status(hop.target).leaving for hop in stream.route
        )
        if not leaving:
            stream.leaving_since_s = 0.0
            return False
        if not stream.leaving_since_s:
            stream.leaving_since_s = now
        grace_s = stream.req.model.recovery.leave_grace_s
        return now - stream.leaving_since_s > grace_s


def stall_limits(stream: ActiveStream) -> tuple[float, float]:
    """Returns the silence before probes and before the attempt ends."""
    recovery = stream.req.model.recovery
    if stream.waits_first:
        expected_s = stream.expected_first_s * _FIRST_TOKEN_FACTOR
        return (
            recovery.probe_after_s + stream.expected_first_s,
            recovery.first_token_s + expected_s,
        )
    gap_s = stream.gap_s or stream.expected_gap_s
    probe_s = max(recovery.probe_after_s, recovery.gap_factor * gap_s)
    probe_s = min(probe_s, max(recovery.stall_after_s / 2, _MIN_GAPS * gap_s))
    stall_s = max(recovery.stall_after_s, 2 * recovery.gap_factor * gap_s)
    return probe_s, stall_s
