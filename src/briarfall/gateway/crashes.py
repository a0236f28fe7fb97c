"""Detects poison requests, which crash the targets that run them."""

import collections
import collections.abc
import threading

from absl import logging
import msgspec
import xxhash

from briarfall import ids
from briarfall.gateway import calls
from briarfall.gateway import clocks

# Number of crashed targets from which a request counts as poison. A harmless
# request that shares targets with a poison request is involved in one or two
# crashes.
_MAX_CRASHES = 3
# Time for which a poison request is refused. An arrival in the second half of
# this time renews it.
POISON_S = 600.0
_RETENTION_S = POISON_S
# Shortest time for which a crash is reported to other instances.
_REPORT_S = 3.0
_MAX_REPORTED = 40
_MAX_CRASH_ROWS = 5000


class Crash(msgspec.Struct, array_like=True, frozen=True):
    """A target that crashed while it ran a request.

    Attributes:
        fingerprint: Hash of the request.
        target: The target.
        started_ms: Start of the target's incarnation in Unix milliseconds.
    """

    fingerprint: str
    target: ids.TargetId
    started_ms: int


class PoisonRow(msgspec.Struct, array_like=True, frozen=True):
    """A request that must not be sent to targets.

    Attributes:
        fingerprint: Hash of the request.
        left_ms: Milliseconds for which it is still refused.
    """

    fingerprint: str
    left_ms: int


def fingerprint(call: calls.Call) -> str:
    """Returns a hash of a request that stays the same over its retries."""
    account = call.account.name if call.account is not None else ""
    digest = xxhash.xxh64(account.encode())
    for part in (call.req.method, call.req.request_target, call.req.body):
        digest.update(b"\0" + part)
    return digest.hexdigest()


PoisonListener = collections.abc.Callable[[PoisonRow], None]


class CrashTable:
    """Crashes by request, seen by this instance and by others."""

    def __init__(self):
        self._lock = threading.Lock()
        # Time on the boot clock of each crash, by fingerprint of its request.
        self._crashes: dict[str, dict[Crash, float]] = {}
        self._by_time: collections.deque[tuple[float, Crash]] = (
            collections.deque()
        )
        self._own_crashes: collections.deque[tuple[float, Crash]] = (
            collections.deque()
        )
        # Time on the boot clock until which each poison request is refused.
        self._poison_until_s: dict[str, float] = {}
        self._survived_s: dict[str, float] = {}
        self._origins: collections.Counter[str] = collections.Counter()
        self._listeners: list[PoisonListener] = []

    def add_listener(self, listener: PoisonListener) -> None:
        """Registers a listener for poison requests to report to others."""
        self._listeners.append(listener)

    def origins(self) -> dict[str, int]:
        """Returns the number of crashes so far by origin: `own` or `peer`."""
        with self._lock:
            return dict(self._origins)

    def count(self, request_fingerprint: str) -> int:
        """Returns how many targets a request is known to have crashed."""
        with self._lock:
            return len(self._crashes.get(request_fingerprint, ()))

    def is_poison(self, request_fingerprint: str) -> bool:
        """Whether a request has crashed too many targets."""
        with self._lock:
            until_s = self._poison_until_s.get(request_fingerprint, 0.0)
        return until_s > clocks.boot_s()

    @property
    def has_poison(self) -> bool:
        """Whether any request may have to be refused."""
        return bool(self._poison_until_s)

    @property
    def has_crashes(self) -> bool:
        """Whether any crash is retained."""
        return bool(self._crashes)

    @property
    def poison_count(self) -> int:
        """Number of poison requests."""
        return len(self._poison_until_s)

    def record(self, crash: Crash) -> None:
        """Records a crash that this instance saw."""
        now_s = clocks.boot_s()
        with self._lock:
            self._forget_expired(now_s)
            self._origins["own"] += 1
            self._own_crashes.append((now_s, crash))
            is_poison = self._add(crash, now_s)
        logging.warning(
            "target crashed target=%s lifetime=%d fingerprint=%s crashes=%d",
            crash.target,
            crash.started_ms,
            crash.fingerprint,
            self.count(crash.fingerprint),
        )
        if is_poison:
            self._report_poison(crash.fingerprint, now_s)

    def merge_crashes(self, reported: list[Crash]) -> None:
        """Merges crashes that another instance saw."""
        now_s = clocks.boot_s()
        for crash in reported:
            with self._lock:
                if crash in self._crashes.get(crash.fingerprint, ()):
                    continue
                self._forget_expired(now_s)
                self._origins["peer"] += 1
                is_poison = self._add(crash, now_s)
                has_own_crash = any(
                    own_crash.fingerprint == crash.fingerprint
                    for _, own_crash in self._own_crashes
                )
            logging.info(
                "crash told by a peer target=%s fingerprint=%s crashes=%d",
                crash.target,
                crash.fingerprint,
                self.count(crash.fingerprint),
            )
            if is_poison and has_own_crash:
                self._report_poison(crash.fingerprint, now_s)

    def merge_poison(self, reported: list[PoisonRow]) -> None:
        """Merges poison requests that other instances or the store report."""
        now_s = clocks.boot_s()
        for row in reported:
            left_s = min(POISON_S, row.left_ms / 1000)
            if left_s <= 0:
                continue
            with self._lock:
                known_s = self._poison_until_s.get(row.fingerprint, 0.0)
                self._poison_until_s[row.fingerprint] = max(
                    known_s, now_s + left_s
                )
            if known_s <= now_s:
                logging.warning(
                    "poison request reported by others fingerprint=%s for_s=%d",
                    row.fingerprint,
                    left_s,
                )

    def renew_poison(self, request_fingerprint: str) -> None:
        """Renews a poison request that has arrived again.

        An arrival in the first half of `POISON_S` changes nothing.
        """
        now_s = clocks.boot_s()
        with self._lock:
            left_s = self._poison_until_s.get(request_fingerprint, 0.0) - now_s
            if not 0 < left_s < POISON_S / 2:
                return
            self._poison_until_s[request_fingerprint] = now_s + POISON_S
        self._report_poison(request_fingerprint, now_s)

    def record_survived(self, request_fingerprint: str) -> None:
        """Forgets the crashes of a request that now ran without a crash."""
        if request_fingerprint not in self._crashes:
            return
        now_s = clocks.boot_s()
        with self._lock:
            self._crashes.pop(request_fingerprint, None)
            self._survived_s[request_fingerprint] = now_s
        logging.info(
            "request ran without a crash, older ones forgotten fingerprint=%s",
            request_fingerprint,
        )

    def merge_survived(self, fingerprints: list[str]) -> None:
        """Forgets the crashes of requests that others ran without a crash."""
        with self._lock:
            for request_fingerprint in fingerprints:
                self._crashes.pop(request_fingerprint, None)

    def crashes_to_report(self, interval_s: float = 0.0) -> list[Crash]:
        """Returns recent crashes that this instance saw, to report to others.

        Args:
            interval_s: Longest interval at which any other instance gets a
                status of this one.
        """
        oldest_s = clocks.boot_s() - max(_REPORT_S, interval_s * 3)
        with self._lock:
            fresh = []
            for seen_s, crash in self._own_crashes:
                seen_by_crash = self._crashes.get(crash.fingerprint, ())
                if seen_s > oldest_s and crash in seen_by_crash:
                    fresh.append((len(seen_by_crash), seen_s, crash))
        # Crashes of requests closest to poison come first, then the newest.
        fresh.sort(key=lambda row: row[:2], reverse=True)
        return [crash for _, _, crash in fresh[:_MAX_REPORTED]]

    def poison_to_report(self) -> list[PoisonRow]:
        """Returns the poison requests to report to other instances."""
        now_s = clocks.boot_s()
        rows = []
        with self._lock:
            for request_fingerprint, until_s in self._poison_until_s.items():
                if until_s > now_s:
                    rows.append(
                        PoisonRow(
                            request_fingerprint, int((until_s - now_s) * 1000)
                        )
                    )
        rows.sort(key=lambda row: row.left_ms, reverse=True)
        return rows[:_MAX_REPORTED]

    def survived_to_report(self, interval_s: float = 0.0) -> list[str]:
        """Returns fingerprints of requests that ran without a crash again.

        Args:
            interval_s: Longest interval at which any other instance gets a
                status of this one.
        """
        oldest_s = clocks.boot_s() - max(_REPORT_S, interval_s * 3)
        with self._lock:
            for request_fingerprint, seen_s in list(self._survived_s.items()):
                if seen_s <= oldest_s:
                    del self._survived_s[request_fingerprint]
            return list(self._survived_s)[-_MAX_REPORTED:]

    def _add(self, crash: Crash, now_s: float) -> bool:
        """Adds a crash; returns whether its request is newly poison."""
        seen_by_crash = self._crashes.setdefault(crash.fingerprint, {})
        if crash in seen_by_crash:
            return False
        seen_by_crash[crash] = now_s
        self._by_time.append((now_s, crash))
        if len(seen_by_crash) < _MAX_CRASHES:
            return False
        is_new = crash.fingerprint not in self._poison_until_s
        self._poison_until_s[crash.fingerprint] = now_s + POISON_S
        return is_new

    def _report_poison(self, request_fingerprint: str, now_s: float) -> None:
        left_s = self._poison_until_s[request_fingerprint] - now_s
        row = PoisonRow(request_fingerprint, int(left_s * 1000))
        logging.warning(
            "poison request fingerprint=%s crashes=%d",
            request_fingerprint,
            self.count(request_fingerprint),
        )
        for listener in self._listeners:
            listener(row)

    def _forget_expired(self, now_s: float) -> None:
        oldest_s = now_s - _RETENTION_S
        while self._by_time:
            seen_s, crash = self._by_time[0]
            if seen_s >= oldest_s and len(self._by_time) <= _MAX_CRASH_ROWS:
                break
            self._by_time.popleft()
            seen_by_crash = self._crashes.get(crash.fingerprint, {})
            if seen_by_crash.get(crash) == seen_s:
                del seen_by_crash[crash]
            if not seen_by_crash:
                self._crashes.pop(crash.fingerprint, None)
        while self._own_crashes and self._own_crashes[0][0] < oldest_s:
            self._own_crashes.popleft()
        for request_fingerprint, until_s in list(self._poison_until_s.items()):
            if until_s <= now_s:
                del self._poison_until_s[request_fingerprint]
