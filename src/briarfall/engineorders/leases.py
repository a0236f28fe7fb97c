"""Leases that instances acquire through the log.

The fencing number of a lease is the offset of its record plus 1, above it the
epoch of the log. So it also grows over a restore of the log from an older copy,
which gives out offsets again.

Whether an earlier lease has lapsed is decided by the log's record times alone,
so that every reader comes to the same decision. A holder uses its own
monotonic clock only to stop using a lease before it lapses.
"""

import threading
import time
import uuid

import msgspec

from briarfall import decoding
from briarfall import exceptions
from briarfall import ids
from briarfall.adapters import log
from briarfall.adapters import reader

STREAM = "leases"
DURATION_S = 10.0
# Share of the duration of a lease for which its holder uses it, by its own
# clock.
_USABLE_SHARE = 0.8
# Bits of a fencing number that hold the offset.
_OFFSET_BITS = 40


class LeaseRequest(msgspec.Struct, frozen=True):
    """A request for a lease, as appended to the log.

    Each reader of the log decides by the same rules whether it is granted.
    """

    lease: str
    holder: ids.InstanceId
    nonce: str
    duration_s: float


class Lease(msgspec.Struct, frozen=True):
    """A lease as granted.

    Attributes:
        name: Name of the lease.
        holder: Instance that holds the lease.
        nonce: Nonce of the request that was granted.
        fence: Fencing number; a later grant has a higher one.
        until_s: Time at which the lease lapses, in epoch seconds of the log.
    """

    name: str
    holder: ids.InstanceId
    nonce: str
    fence: int
    until_s: float


class LeaseTable:
    """The latest grant of each lease, built from the log."""

    def __init__(self):
        self.next_offset = 0
        self.leases: dict[str, Lease] = {}

    def apply(self, record: log.LogRecord, epoch: ids.LogEpoch) -> None:
        """Applies one record; a record that cannot be decoded is skipped.

        Args:
            record: The record.
            epoch: Epoch of the log in which it was read.
        """
        self.next_offset = record.offset + 1
        try:
            request = decoding.decode_json(
                record.data, LeaseRequest, "lease request"
            )
        except exceptions.CatalogueError:
            return
        current = self.leases.get(request.lease)
        if current is not None and current.holder != request.holder:
            if record.time_s < current.until_s:
                return
        if current is not None and current.nonce == request.nonce:
            return
        self.leases[request.lease] = Lease(
            request.lease,
            request.holder,
            request.nonce,
            (epoch << _OFFSET_BITS) + record.offset + 1,
            record.time_s + request.duration_s,
        )


class LeaseManager(reader.StreamReader):
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
        self._lease_table = LeaseTable()
        self._lock = threading.Lock()
        self._valid_until_s: dict[str, float] = {}

    def current(self, name: str) -> Lease | None:
        """Returns the latest grant of a lease read from the log so far."""
        with self._lock:
            return self._lease_table.leases.get(name)

    def acquire(self, name: str) -> Lease:
        """Acquires or renews a lease and returns it.

        Raises:
            LeaseError: Another instance holds the lease.
            LogUnavailableError: The log did not answer, so no lease can be
                granted.
        """
        self._catch_up()
        current = self.current(name)
        if current is not None and current.holder != self._instance:
            if time.time() < current.until_s:
                raise exceptions.LeaseError(
                    f"lease {name} is held by {current.holder}"
                )
        started_s = time.monotonic()
        nonce = uuid.uuid4().hex
        request = LeaseRequest(name, self._instance, nonce, self.duration_s)
        try:
            self._log.append(STREAM, msgspec.json.encode(request))
        except exceptions.LogUnavailableError as exc:
            if exc.outcome is exceptions.Outcome.NOT_RUN:
                raise
        self._catch_up()
        lease = self.current(name)
        if lease is None or lease.nonce != nonce:
            raise exceptions.LeaseError(f"lease {name} was not granted")
        self._valid_until_s[name] = started_s + self.duration_s * _USABLE_SHARE
        return lease

    def check(self, name: str) -> Lease:
        """Returns a held lease after reading the log again.

        Raises:
            LeaseError: The lease has lapsed or another instance holds it.
            LogUnavailableError: The log cannot be read.
        """
        self._catch_up()
        lease = self.current(name)
        if lease is None or lease.holder != self._instance:
            raise exceptions.LeaseError(
                f"lease {name} is not held by this instance"
            )
        if time.monotonic() > self._valid_until_s.get(name, 0.0):
            raise exceptions.LeaseError(
                f"lease {name} has lapsed; acquire it again"
            )
        return lease

    def remaining_s(self, name: str) -> float:
        """Returns how long a lease may still be used, 0 if it is not held."""
        until_s = self._valid_until_s.get(name, 0.0)
        return max(0.0, until_s - time.monotonic())

    def _catch_up(self) -> None:
        """Reads the stream until no new record is found."""
        while True:
            previous_offset = self._lease_table.next_offset
            self.read_once(0.0)
            if self._lease_table.next_offset == previous_offset:
                return

    def _next_offset(self) -> int:
        return self._lease_table.next_offset

    def _apply_batch(self, batch: log.LogBatch) -> None:
        with self._lock:
            for record in batch.records:
                if record.offset >= self._lease_table.next_offset:
                    self._lease_table.apply(record, batch.epoch)

    def _handle_restore(self) -> None:
        """Drops all leases, so that all readers decide by the same records."""
        with self._lock:
            self._lease_table = LeaseTable()
            self._valid_until_s.clear()

    def _handle_gap(self, first: int) -> None:
        # Leases whose records are no longer retained lapsed long ago.
        with self._lock:
            self._lease_table.next_offset = max(
                self._lease_table.next_offset, first
            )
