"""Leases on the log; the offset of a grant is its fencing number.

Only the log's own times decide whether an earlier lease has lapsed, so that
every reader reaches the same verdict. A holder trusts its monotonic clock
only to stop early.
"""

import threading
import time
import uuid

import msgspec

from briarfall import exceptions
from briarfall import ids
from briarfall.adapters import log
from briarfall.adapters import reader

STREAM = "leases"
DURATION_S = 10.0
_MARGIN = 0.8


class Grant(msgspec.Struct, frozen=True):
    """A request for a lease, which the fold accepts or not."""

    lease: str
    holder: ids.InstanceId
    nonce: str
    duration_s: float


class Lease(msgspec.Struct, frozen=True):
    """An accepted grant."""

    name: str
    holder: ids.InstanceId
    nonce: str
    fence: int
    until_s: float


class LeaseFold:
    """The latest accepted grant of each lease."""

    def __init__(self):
        self.next_offset = 0
        self.leases: dict[str, Lease] = {}

    def apply(self, record: log.LogRecord) -> None:
        """Folds one record; what does not parse is skipped."""
        self.next_offset = record.offset + 1
        try:
            grant = msgspec.json.decode(record.data, type=Grant)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return
        current = self.leases.get(grant.lease)
        if current is not None and current.holder != grant.holder:
            if record.time_s < current.until_s:
                return
        if current is not None and current.nonce == grant.nonce:
            return
        self.leases[grant.lease] = Lease(
            grant.lease,
            grant.holder,
            grant.nonce,
            record.offset + 1,
            record.time_s + grant.duration_s,
        )


class LeaseKeeper(reader.StreamReader):
    """Acquires, renews and checks leases for one instance.

    Args:
        instance: Name of this instance.
        log_adapter: The platform's log.
        duration_s: Duration of a lease.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        log_adapter: log.LogAdapter,
        duration_s: float = DURATION_S,
    ):
        super().__init__(log_adapter, STREAM)
        self.duration_s = duration_s
        self._instance = instance
        self._fold = LeaseFold()
        self._lock = threading.Lock()
        self._valid_until_s: dict[str, float] = {}

    def current(self, name: str) -> Lease | None:
        """Returns the latest grant of a lease that was read."""
        with self._lock:
            return self._fold.leases.get(name)

    def acquire(self, name: str) -> Lease:
        """Acquires or renews a lease and returns it.

        Raises:
            LeaseError: Another instance holds it.
            LogUnavailableError: Without the log there is no lease.
        """
        self._catch_up()
        current = self.current(name)
        if current is not None and current.holder != self._instance:
            if time.time() < current.until_s:
                raise exceptions.LeaseError(
                    f"{current.holder} holds lease {name}"
                )
        started_s = time.monotonic()
        nonce = uuid.uuid4().hex
        grant = Grant(name, self._instance, nonce, self.duration_s)
        try:
            self._log.append(STREAM, msgspec.json.encode(grant))
        except exceptions.LogUnavailableError as exc:
            if exc.outcome is exceptions.Outcome.NOT_RUN:
                raise
        self._catch_up()
        lease = self.current(name)
        if lease is None or lease.nonce != nonce:
            raise exceptions.LeaseError(f"lease {name} was not granted")
        self._valid_until_s[name] = started_s + self.duration_s * _MARGIN
        return lease

    def check(self, name: str) -> Lease:
        """Returns a held lease after reading the log again.

        Raises:
            LeaseError: The lease has lapsed or passed to another.
            LogUnavailableError: The log cannot be read.
        """
        self._catch_up()
        lease = self.current(name)
        if lease is None or lease.holder != self._instance:
            raise exceptions.LeaseError(f"lease {name} has passed on")
        if time.monotonic() > self._valid_until_s.get(name, 0.0):
            raise exceptions.LeaseError(f"lease {name} has lapsed")
        return lease

    def remaining_s(self, name: str) -> float:
        """Returns how long a lease may still be used, 0 if not held."""
        until_s = self._valid_until_s.get(name, 0.0)
        return max(0.0, until_s - time.monotonic())

    def _catch_up(self) -> None:
        """Reads to the end of the stream as it is now."""
        while True:
            before = self._fold.next_offset
            self.read_once(0.0)
            if self._fold.next_offset == before:
                return

    def _next_offset(self) -> int:
        return self._fold.next_offset

    def _take(self, batch: log.LogBatch) -> None:
        with self._lock:
            for record in batch.records:
                if record.offset >= self._fold.next_offset:
                    self._fold.apply(record)

    def _take_gap(self, first: int) -> None:
        # Grants that are no longer kept have lapsed long ago.
        with self._lock:
            self._fold.next_offset = max(self._fold.next_offset, first)
