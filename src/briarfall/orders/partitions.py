"""One partition of claims: reads its stream and appends in groups."""

import threading
import time

from absl import logging
import msgspec

from briarfall import exceptions
from briarfall.adapters import log
from briarfall.adapters import reader
from briarfall.orders import claims

_RETRY_S = 0.1
_MAX_GROUP = 256
_GROUP_INTERVAL_S = 0.02


class ClaimResult(msgspec.Struct):
    """What became of a claim.

    Attributes:
        won: Whether this claim is the live one.
        state: The live claim on the key, or None if there is none.
        covered_since_s: Log time from which the partition is complete.
    """

    won: bool
    state: claims.ClaimState | None
    covered_since_s: float = 0.0


class Partition(reader.StreamReader):
    """Follows and extends one stream of claims.

    Any number of instances may do so at once; the order of the log decides.

    Args:
        log_adapter: The platform's log.
        stream: Name of the stream.
        keep_s: Age after which keys are forgotten.
    """

    def __init__(self, log_adapter: log.LogAdapter, stream: str, keep_s: float):
        super().__init__(log_adapter, stream)
        self.last_used_s = time.monotonic()
        self.appends = 0
        self._fold = claims.ClaimFold(keep_s)
        self._changed = threading.Condition()
        self._queue: list[claims.Operation] = []
        self._queued = threading.Condition()
        self._waiting: dict[str, ClaimResult | None] = {}
        self._is_idle = threading.Event()
        self._is_idle.set()

    def start(self) -> None:
        """Starts the reading and the appending thread."""
        super().start()
        threading.Thread(
            target=self._append_loop, name=f"{self.stream}+", daemon=True
        ).start()

    def stop(self) -> None:
        """Stops both threads; queued operations are dropped."""
        super().stop()
        with self._queued:
            self._queued.notify_all()
        with self._changed:
            self._changed.notify_all()

    def flush(self, timeout_s: float) -> bool:
        """Waits until every queued operation is on the log."""
        return self._is_idle.wait(timeout_s)

    def claim(self, claim: claims.Claim, timeout_s: float) -> ClaimResult:
        """Appends a claim and returns the log's decision on it.

        Raises:
            LogUnavailableError: The decision is not known yet; the claim
                may be on the log.
        """
        self.last_used_s = time.monotonic()
        with self._changed:
            state = self._fold.lookup(claim.key)
            if state is not None and state.nonce != claim.nonce:
                return ClaimResult(False, state, self._fold.covered_since_s)
            self._waiting[claim.nonce] = None
        self._enqueue(claim)
        with self._changed:
            self._changed.wait_for(
                lambda: (
                    self._waiting[claim.nonce] is not None
                    or self._stopping.is_set()
                ),
                timeout_s,
            )
            result = self._waiting.pop(claim.nonce)
        if result is None:
            raise exceptions.LogUnavailableError(
                f"no decision on the claim in {timeout_s:.1f} s",
                outcome=exceptions.Outcome.UNKNOWN,
            )
        return result

    def submit(self, operation: claims.Operation) -> None:
        """Appends an operation in the background, however long it takes."""
        self.last_used_s = time.monotonic()
        self._enqueue(operation)

    def wait_done(self, key: str, timeout_s: float) -> claims.ClaimState | None:
        """Waits until a key's live claim is done or gone."""
        self.last_used_s = time.monotonic()

        def is_settled() -> bool:
            state = self._fold.lookup(key)
            return state is None or state.done is not None

        with self._changed:
            self._changed.wait_for(is_settled, timeout_s)
            return self._fold.lookup(key)

    def size(self) -> int:
        """Returns the number of keys held."""
        with self._changed:
            return len(self._fold)

    def _enqueue(self, operation: claims.Operation) -> None:
        with self._queued:
            self._is_idle.clear()
            self._queue.append(operation)
            self._queued.notify()

    def _append_loop(self) -> None:
        while not self._stopping.is_set():
            with self._queued:
                if not self._queue:
                    self._is_idle.set()
                self._queued.wait_for(
                    lambda: self._queue or self._stopping.is_set()
                )
                group = self._queue[:_MAX_GROUP]
                del self._queue[:_MAX_GROUP]
            if group:
                self._append(group)
                # Operations that arrive meanwhile share the next append.
                self._stopping.wait(_GROUP_INTERVAL_S)

    def _append(self, group: list[claims.Operation]) -> None:
        """Appends a group; repeats it until an append is confirmed.

        Every operation carries a nonce, so that a group that took effect
        although its answer was lost does no harm when appended again.
        """
        data = claims.encode(group)
        while not self._stopping.is_set():
            try:
                self._log.append(self.stream, data)
                self.appends += 1
                return
            except exceptions.LogUnavailableError as exc:
                if self._stopping.is_set():
                    return
                logging.log_every_n_seconds(
                    logging.WARNING, "claims on %s: %s", 10, self.stream, exc
                )
                self._stopping.wait(_RETRY_S)

    def _next_offset(self) -> int:
        return self._fold.next_offset

    def _take(self, batch: log.LogBatch) -> None:
        if not batch.records:
            return
        with self._changed:
            for record in batch.records:
                operations = self._fold.apply(
                    record.offset, record.time_s, record.data
                )
                self._decide(operations)
            self._changed.notify_all()

    def _decide(self, operations: list[claims.Operation]) -> None:
        for operation in operations:
            if not isinstance(operation, claims.Claim):
                continue
            if self._waiting.get(operation.nonce, True) is not None:
                continue
            state = self._fold.lookup(operation.key)
            won = state is not None and state.nonce == operation.nonce
            self._waiting[operation.nonce] = ClaimResult(
                won, state, self._fold.covered_since_s
            )

    def _take_gap(self, first: int) -> None:
        """Starts at the oldest kept record; older keys are unknown."""
        covered_since_s = time.time()
        try:
            batch = self._log.read(self.stream, first, limit=1, wait_s=0.0)
        except (exceptions.LogUnavailableError, exceptions.LogGapError):
            self._stopping.wait(_RETRY_S)
            return
        if batch.records:
            covered_since_s = batch.records[0].time_s
        logging.warning(
            "partition %s starts at %d; keys made before %.0f are unknown",
            self.stream,
            first,
            covered_since_s,
        )
        with self._changed:
            self._fold.restart(first, covered_since_s)


class PartitionSet:
    """The partitions that this instance works on, opened on demand."""

    def __init__(self, log_adapter: log.LogAdapter, skew_s: float):
        self._log = log_adapter
        self._skew_s = skew_s
        self._lock = threading.Lock()
        self._open: dict[str, Partition] = {}

    def get(self, service: str, number: int, window_s: float) -> Partition:
        """Returns a started partition."""
        stream = f"orders.{service}.{number}"
        with self._lock:
            partition = self._open.get(stream)
            if partition is None:
                keep_s = window_s + 2 * self._skew_s
                partition = Partition(self._log, stream, keep_s)
                self._open[stream] = partition
                partition.start()
            return partition

    def close_idle(self, idle_s: float) -> None:
        """Stops partitions that were not used for a time."""
        now = time.monotonic()
        with self._lock:
            for stream, partition in list(self._open.items()):
                if now - partition.last_used_s < idle_s:
                    continue
                if partition.flush(0):
                    partition.stop()
                    del self._open[stream]

    def flush(self, timeout_s: float) -> bool:
        """Waits until all queued operations are on the log."""
        deadline = time.monotonic() + timeout_s
        return all(
            partition.flush(max(0.0, deadline - time.monotonic()))
            for partition in self.opened()
        )

    def opened(self) -> list[Partition]:
        """Returns the open partitions."""
        with self._lock:
            return list(self._open.values())

    def stop(self) -> None:
        """Stops all partitions."""
        for partition in self.opened():
            partition.stop()
