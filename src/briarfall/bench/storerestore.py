"""Calls of many instances to the store after it is restored from a copy.

The clients of the store and what calls them are those of the gateway, one set
for each instance; the store is a stand-in. Callers, targets and gossip are left
out: that the lease's holder reports its grant is played.
"""

import contextlib
import threading
import time

import msgspec

from briarfall import exceptions
from briarfall import ids
from briarfall.gateway.catalogue import sources
from briarfall.gateway.crashes import crashes
from briarfall.gateway.crashes import crashevidence
from briarfall.gateway.crashes import poisonpersistence
from briarfall.gateway.exchanges import connections
from briarfall.gateway.placement import leasing
from briarfall.platform import main
from briarfall.standins.prepared import store as storestandin
from briarfall.standins.prepared import testbed

_ZONES = 7
_TARGETS = 30
# Instances that have stored a poison request each.
_POISON_WRITERS = 10
_CRASHES = 3
_WINDOW_S = 10.0
_SAMPLE_S = 0.1
_SAMPLES_PER_S = 10
_TIMEOUT_S = 1.0
_POLL_S = 0.8
_LEASE_S = 1.0
_ENTRY = {
    "service": "desk",
    "address": "127.0.0.1:1",
    "zone": "z0",
    "state": "ready",
    "slots": 8,
    "seq": 1,
    "born": 1,
}
# Time in which all make their calls of the start.
_SETTLE_S = 5.0


class Row(msgspec.Struct, frozen=True):
    """Calls of all instances to the store within 10 s.

    Attributes:
        instances: Number of instances.
        condition: What happened at the begin.
        calls: Calls in all.
        most_writes: Most writes in a second.
        most_reads: Most reads in a second.
        body_bytes: Bytes in the bodies of calls and responses.
    """

    instances: int
    condition: str
    calls: int
    most_writes: int
    most_reads: int
    body_bytes: int

    @property
    def text(self) -> str:
        """One line on it."""
        return (
            f"instances={self.instances} {self.condition}: {self.calls} calls, "
            f"at most {self.most_writes} writes/s and {self.most_reads} "
            f"reads/s, {self.body_bytes / 1000:.0f} KB"
        )


class _Instance:
    """What of an instance calls the store."""

    def __init__(self, address: str, number: int):
        name = ids.InstanceId(f"i{number}")
        self.platform = main.StorePlatform(
            address, connections.ConnectionPool()
        )
        zone = ids.ZoneId(f"z{number % _ZONES}")
        self._record = sources.InstanceRecord(name, "127.0.0.1:7000", zone)
        self.lease = leasing.Lease(self.platform.lease, name)
        self.crashes = crashes.CrashTable()
        self.persister = poisonpersistence.PoisonPersister(
            self.platform.poison, self.crashes
        )

    def start(self) -> None:
        """Makes the calls of a start."""
        self.platform.instances.announce(self._record, _TIMEOUT_S)
        self.platform.instances.list_instances(_TIMEOUT_S)
        self.persister.start()

    def poll(self, stopped: threading.Event) -> None:
        """Follows the targets, as the store poller of a zone."""
        while not stopped.wait(_POLL_S):
            with contextlib.suppress(exceptions.BriarfallError):
                self.platform.targets.list_targets(_TIMEOUT_S)

    def follow(self, stopped: threading.Event) -> None:
        """Follows the catalogue, as the store poller of a zone."""
        position = None
        while not stopped.is_set():
            try:
                if position is None:
                    read = self.platform.catalogue.read_newest(_TIMEOUT_S)
                else:
                    read = self.platform.catalogue.wait_newer(
                        position, _POLL_S, _TIMEOUT_S
                    )
                position = read.position
            except exceptions.LogGapError:
                position = None
            except exceptions.BriarfallError:
                stopped.wait(_POLL_S)

    def hold_lease(
        self, stopped: threading.Event, others: list["_Instance"]
    ) -> None:
        """Renews the lease and reports its grant to the others."""
        while not stopped.wait(_LEASE_S):
            with contextlib.suppress(exceptions.BriarfallError):
                self.lease.refresh()
            for row in others:
                row.platform.lease.record_reported_fence(self.lease.fence)


def run(count: int) -> list[Row]:
    """Returns the calls on a calm day and after a restore.

    Args:
        count: Number of instances.
    """
    platform = storestandin.StoreStandin()
    platform.put("keyed.op", "config", testbed.manifest(1))
    for number in range(_TARGETS):
        platform.put("keyed.servers", f"t{number}", _ENTRY)
    copy = platform.snapshot()
    rows = [_Instance(platform.address, number) for number in range(count)]
    stopped = threading.Event()
    try:
        for row in rows:
            row.start()
        _start_roles(rows, stopped)
        for row in rows[:_POISON_WRITERS]:
            for target in range(_CRASHES):
                suspect = crashevidence.Crash(f"f-{id(row)}", f"t{target}", 1)
                row.crashes.record(suspect)
        time.sleep(_SETTLE_S)
        calm = _measure(platform, count, "calm")
        platform.restore(copy)
        return [calm, _measure(platform, count, "restored")]
    finally:
        stopped.set()
        for row in rows:
            row.persister.stop()
        platform.close()


def _start_roles(rows: list[_Instance], stopped: threading.Event) -> None:
    """Makes one instance of each zone poll, and one hold the lease."""
    threads = []
    for row in rows[:_ZONES]:
        threads.append((row.poll, (stopped,)))
        threads.append((row.follow, (stopped,)))
    threads.append((rows[0].hold_lease, (stopped, rows[1:])))
    for target, args in threads:
        threading.Thread(target=target, args=args, daemon=True).start()


def _measure(
    platform: storestandin.StoreStandin, count: int, condition: str
) -> Row:
    """Counts calls, in samples, for the length of the window."""
    samples = [dict(platform.calls)]
    first_bytes = platform.body_bytes
    for _ in range(round(_WINDOW_S / _SAMPLE_S)):
        time.sleep(_SAMPLE_S)
        samples.append(dict(platform.calls))
    return Row(
        count,
        condition,
        sum(samples[-1].values()) - sum(samples[0].values()),
        _most(samples, storestandin.WRITE_CALLS),
        _most(samples, storestandin.READ_CALLS),
        platform.body_bytes - first_bytes,
    )


def _most(samples: list[dict[str, int]], names: tuple[str, ...]) -> int:
    """Returns the most calls within a second."""
    totals = []
    for sample in samples:
        totals.append(sum(sample.get(name, 0) for name in names))
    most = 0
    for before, after in zip(totals, totals[_SAMPLES_PER_S:], strict=False):
        most = max(most, after - before)
    return most
