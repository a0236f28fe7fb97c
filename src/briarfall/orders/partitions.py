"""Partitions of claims: each reads its stream and appends in groups."""

import random
import threading
import time

from absl import logging
import msgspec

from briarfall import exceptions
from briarfall import ids
from briarfall.adapters import log
from briarfall.adapters import logepochs
from briarfall.adapters import reader
from briarfall.orders import claims

_RETRY_S = 0.1
_MAX_GROUP = 256
_GROUP_INTERVAL_S = 0.02
# Longest time until lost claims are written again; each reader draws its own,
# so that most find what the first one wrote.
_MAX_REWRITE_DELAY_S = 2.0


class ClaimResult(msgspec.Struct):
    """The log's decision on a claim.

    Attributes:
        won: Whether this claim is the live claim on its key.
        state: The live claim on the key, or None if there is none.
        covered_since_s: Time since which all claims are known, 0 if no record
            was missed or lost by the log.
    """

    won: bool
    state: claims.ClaimState | None
    covered_since_s: float = 0.0


class _PendingClaim(msgspec.Struct):
    """A claim that waits for the log's decision.

    Attributes:
        epoch: Newest epoch of the log when it was queued.
        result: The decision, or None until it is known.
        is_void: Whether the log was restored meanwhile; it decides nothing.
    """

    epoch: ids.LogEpoch
    result: ClaimResult | None = None
    is_void: bool = False

    @property
    def is_settled(self) -> bool:
        """Whether waiting is over."""
        return self.result is not None or self.is_void


class Partition(reader.StreamReader):
    """Reads one stream of claims and appends to it.

    Any number of instances may append at the same time; the order of the
    records in the log decides between their claims.

    Args:
        log_adapter: The platform's log.
        stream: Name of the stream.
        retention_s: Age by log time after which a key is removed, in seconds.
    """

    def __init__(
        self, log_adapter: log.LogAdapter, stream: str, retention_s: float
    ):
        super().__init__(log_adapter, stream)
        self.last_used_s = time.monotonic()
        self.appends = 0
        self._claim_table = claims.ClaimTable(retention_s)
        self._changed = threading.Condition()
        self._queue: list[claims.Operation] = []
        self._queued = threading.Condition()
        self._pending: dict[ids.Nonce, _PendingClaim] = {}
        # When claims that the log has lost are due, None if none are.
        self._rewrite_s: float | None = None
        self._rng = random.Random()
        self._is_idle = threading.Event()
        self._is_idle.set()

    def start(self) -> None:
        """Starts the thread that reads and the thread that appends."""
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
        """Waits until the log has confirmed every queued operation."""
        return self._is_idle.wait(timeout_s)

    def claim(self, claim: claims.Claim, timeout_s: float) -> ClaimResult:
        """Appends a claim and returns the log's decision on it.

        Raises:
            LogUnavailableError: There was no decision in time; the claim
                may be in the log.
        """
        self.last_used_s = time.monotonic()
        with self._changed:
            state = self._claim_table.lookup(claim.key)
            if state is not None and state.nonce != claim.nonce:
                return ClaimResult(False, state, self._covered_since_s())
            pending = _PendingClaim(self._log.epoch.epoch)
            self._pending[claim.nonce] = pending
        self._enqueue(msgspec.structs.replace(claim, epoch=pending.epoch))
        with self._changed:
            self._changed.wait_for(
                lambda: pending.is_settled or self._stopping.is_set(),
                timeout_s,
            )
            self._pending.pop(claim.nonce, None)
        if pending.result is None:
            raise exceptions.LogUnavailableError(
                f"the log did not decide on the claim in {timeout_s:.1f} s, "
                "or came back from an older copy meanwhile",
                outcome=exceptions.Outcome.UNKNOWN,
            )
        return pending.result

    def submit(self, operation: claims.Operation) -> None:
        """Queues an operation; its append is retried until it succeeds."""
        self.last_used_s = time.monotonic()
        self._enqueue(operation)

    def wait_done(self, key: str, timeout_s: float) -> claims.ClaimState | None:
        """Waits until a key's live claim is done or released.

        Returns:
            The live claim, or None if the key has none.
        """
        self.last_used_s = time.monotonic()

        def is_settled() -> bool:
            state = self._claim_table.lookup(key)
            return state is None or state.done is not None

        with self._changed:
            self._changed.wait_for(is_settled, timeout_s)
            return self._claim_table.lookup(key)

    def size(self) -> int:
        """Returns the number of keys with a live claim."""
        with self._changed:
            return len(self._claim_table)

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
                # Operations queued during this wait share the next append.
                self._stopping.wait(_GROUP_INTERVAL_S)

    def _append(self, group: list[claims.Operation]) -> None:
        """Appends a group and retries until the log confirms it.

        Every operation carries a nonce, so appending a group again has no
        further effect if the log had stored it but its answer was lost.
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
                    logging.WARNING,
                    "append of claims to stream %s failed, will retry: %s",
                    10,
                    self.stream,
                    exc,
                )
                self._stopping.wait(_RETRY_S)

    def _next_offset(self) -> int:
        return self._claim_table.next_offset

    def _wait_s(self) -> float:
        if self._rewrite_s is None:
            return super()._wait_s()
        return max(0.0, self._rewrite_s - time.monotonic())

    def _covered_since_s(self) -> float:
        """Returns the time since which all claims are known.

        Claims of before the epoch's begin may be lost; what is known of it is
        that it had begun when it was first seen, here or by a claim's writer.
        """
        table = self._claim_table
        seen = self._log.epoch
        if seen.epoch == logepochs.FIRST_EPOCH:
            return table.covered_since_s
        since_s = seen.seen_s
        if table.epoch == seen.epoch:
            since_s = min(since_s, table.epoch_since_s)
        return max(since_s, table.covered_since_s)

    def _handle_restore(self) -> None:
        """Reads all again; known claims stay, undecided ones are void."""
        delay_s = self._rng.uniform(0.0, _MAX_REWRITE_DELAY_S)
        with self._changed:
            self._claim_table.read_again()
            self._rewrite_s = time.monotonic() + delay_s
            for pending in self._pending.values():
                is_new = logepochs.FIRST_EPOCH < pending.epoch == self._epoch
                pending.is_void |= not is_new
            self._changed.notify_all()

    def _rewrite_if_due(self, end: int) -> None:
        """Queues what the log has lost, once all of it was read again."""
        if self._rewrite_s is None or time.monotonic() < self._rewrite_s:
            return
        with self._changed:
            if self._claim_table.next_offset < end:
                return
            lost = self._claim_table.take_lost()
        self._rewrite_s = None
        epoch = self._log.epoch.epoch
        for operation in lost:
            if isinstance(operation, claims.Claim):
                operation = msgspec.structs.replace(operation, epoch=epoch)
            self._enqueue(operation)
        logging.info(
            "stream %s: %d operations that the log lost are written again",
            self.stream,
            len(lost),
        )

    def _apply_batch(self, batch: log.LogBatch) -> None:
        self._apply_records(batch)
        self._rewrite_if_due(batch.end)

    def _apply_records(self, batch: log.LogBatch) -> None:
        if not batch.records:
            return
        with self._changed:
            for record in batch.records:
                operations = self._claim_table.apply(
                    record.offset, record.time_s, record.data
                )
                self._record_decisions(operations)
            self._changed.notify_all()

    def _record_decisions(self, operations: list[claims.Operation]) -> None:
        for operation in operations:
            if not isinstance(operation, claims.Claim):
                continue
            pending = self._pending.get(operation.nonce)
            if pending is None or pending.is_settled:
                continue
            if pending.epoch != self._epoch:
                # The log may have lost an earlier claim on the key.
                pending.is_void = True
                continue
            state = self._claim_table.lookup(operation.key)
            won = state is not None and state.nonce == operation.nonce
            pending.result = ClaimResult(won, state, self._covered_since_s())

    def _handle_gap(self, first: int) -> None:
        """Restarts at the oldest retained record, without earlier claims."""
        covered_since_s = time.time()
        try:
            batch = self._log.read(self.stream, first, limit=1, wait_s=0.0)
        except (exceptions.LogUnavailableError, exceptions.LogGapError):
            self._stopping.wait(_RETRY_S)
            return
        if batch.records:
            covered_since_s = batch.records[0].time_s
        logging.warning(
            "stream %s: records before offset %d are gone; "
            "keys created before %.0f are unknown",
            self.stream,
            first,
            covered_since_s,
        )
        with self._changed:
            self._claim_table.restart(first, covered_since_s)


class PartitionSet:
    """Partitions that this instance has open, opened on demand."""

    def __init__(self, log_adapter: log.LogAdapter, skew_s: float):
        self._log = log_adapter
        self._skew_s = skew_s
        self._lock = threading.Lock()
        self._open: dict[str, Partition] = {}

    def get(self, service: str, number: int, window_s: float) -> Partition:
        """Returns a partition, which is started if it was not open."""
        stream = f"orders.{service}.{number}"
        with self._lock:
            partition = self._open.get(stream)
            if partition is None:
                retention_s = window_s + 2 * self._skew_s
                partition = Partition(self._log, stream, retention_s)
                self._open[stream] = partition
                partition.start()
            return partition

    def close_idle(self, idle_s: float) -> None:
        """Stops partitions that were not used for `idle_s` seconds."""
        now = time.monotonic()
        with self._lock:
            for stream, partition in list(self._open.items()):
                if now - partition.last_used_s < idle_s:
                    continue
                if partition.flush(0):
                    partition.stop()
                    del self._open[stream]

    def flush(self, timeout_s: float) -> bool:
        """Waits until the log has confirmed all queued operations."""
        deadline = time.monotonic() + timeout_s
        return all(
            partition.flush(max(0.0, deadline - time.monotonic()))
            for partition in self.open_partitions()
        )

    def open_partitions(self) -> list[Partition]:
        """Returns the open partitions."""
        with self._lock:
            return list(self._open.values())

    def stop(self) -> None:
        """Stops all partitions."""
        for partition in self.open_partitions():
            partition.stop()
