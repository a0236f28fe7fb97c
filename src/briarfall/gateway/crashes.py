"""Finds requests that crash the targets that run them."""

import collections
import collections.abc
import threading

from absl import logging
import msgspec
import xxhash

from briarfall import ids
from briarfall.gateway import calls
from briarfall.gateway import clocks

# Targets that a request may have crashed before it is refused. An innocent
# request that shares a target with a poison request is there once or twice.
_MAX_CRASHES = 3
# A poison request is refused this long after it last came.
POISON_S = 600.0
_MEMORY_S = POISON_S
# Crashes are told to other instances at least this long.
_TELL_S = 3.0
_MAX_TOLD = 40
_MAX_ROWS = 5000


class Crash(msgspec.Struct, array_like=True, frozen=True):
    """A target that crashed while it ran a request.

    Attributes:
        fingerprint: Hash of the request.
        target: The target.
        started_ms: Lifetime of the target.
    """

    fingerprint: str
    target: ids.TargetId
    started_ms: int


class PoisonRow(msgspec.Struct, array_like=True, frozen=True):
    """A request that must not be sent to targets.

    Attributes:
        fingerprint: Hash of the request.
        left_ms: How long it is still refused.
    """

    fingerprint: str
    left_ms: int


def fingerprint(call: calls.Call) -> str:
    """Returns a hash that a request keeps when its caller sends it again."""
    account = call.account.name if call.account is not None else ""
    digest = xxhash.xxh64(account.encode())
    for part in (call.req.method, call.req.target, call.req.body):
        digest.update(b"\0" + part)
    return digest.hexdigest()


PoisonListener = collections.abc.Callable[[PoisonRow], None]


class CrashTable:
    """Crashes by request, here and at other instances."""

    def __init__(self):
        self._lock = threading.Lock()
        # When each crash was seen, by request.
        self._crashes: dict[str, dict[Crash, float]] = {}
        self._order: collections.deque[tuple[float, Crash]] = (
            collections.deque()
        )
        self._own: collections.deque[tuple[float, Crash]] = collections.deque()
        # Time on the boot clock until which each poison request is refused.
        self._poison_until_s: dict[str, float] = {}
        self._survived_s: dict[str, float] = {}
        self._origins: collections.Counter[str] = collections.Counter()
        self._listeners: list[PoisonListener] = []

    def add_listener(self, listener: PoisonListener) -> None:
        """Calls `listener` with poison requests that others should know."""
        self._listeners.append(listener)

    def origins(self) -> dict[str, int]:
        """Returns the crashes so far by who saw them: `own` or `peer`."""
        with self._lock:
            return dict(self._origins)

    def count(self, request: str) -> int:
        """Returns the targets that a request is known to have crashed."""
        with self._lock:
            return len(self._crashes.get(request, ()))

    def is_poison(self, request: str) -> bool:
        """Whether a request has crashed too many targets."""
        with self._lock:
            until_s = self._poison_until_s.get(request, 0.0)
        return until_s > clocks.boot_s()

    @property
    def has_poison(self) -> bool:
        """Whether any request may be refused."""
        return bool(self._poison_until_s)

    @property
    def has_crashes(self) -> bool:
        """Whether any crash is remembered."""
        return bool(self._crashes)

    @property
    def poison_count(self) -> int:
        """Requests that are refused."""
        return len(self._poison_until_s)

    def note(self, crash: Crash) -> None:
        """Notes a crash that this instance saw."""
        now_s = clocks.boot_s()
        with self._lock:
            self._forget(now_s)
            self._origins["own"] += 1
            self._own.append((now_s, crash))
            is_poison = self._add(crash, now_s)
        logging.warning(
            "target crashed target=%s lifetime=%d fingerprint=%s crashes=%d",
            crash.target,
            crash.started_ms,
            crash.fingerprint,
            self.count(crash.fingerprint),
        )
        if is_poison:
            self._tell(crash.fingerprint, now_s)

    def take(self, rows: list[Crash]) -> None:
        """Takes in crashes that another instance saw."""
        now_s = clocks.boot_s()
        for crash in rows:
            with self._lock:
                if crash in self._crashes.get(crash.fingerprint, ()):
                    continue
                self._forget(now_s)
                self._origins["peer"] += 1
                is_poison = self._add(crash, now_s)
                is_witness = any(
                    own.fingerprint == crash.fingerprint for _, own in self._own
                )
            logging.info(
                "crash told by a peer target=%s fingerprint=%s crashes=%d",
                crash.target,
                crash.fingerprint,
                self.count(crash.fingerprint),
            )
            if is_poison and is_witness:
                self._tell(crash.fingerprint, now_s)

    def take_poison(self, rows: list[PoisonRow]) -> None:
        """Takes in what others know to be poison."""
        now_s = clocks.boot_s()
        for row in rows:
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
                    "poison request told by others fingerprint=%s for_s=%d",
                    row.fingerprint,
                    left_s,
                )

    def note_refused(self, request: str) -> None:
        """Refuses a poison request that has come again for longer."""
        now_s = clocks.boot_s()
        with self._lock:
            left_s = self._poison_until_s.get(request, 0.0) - now_s
            if not 0 < left_s < POISON_S / 2:
                return
            self._poison_until_s[request] = now_s + POISON_S
        self._tell(request, now_s)

    def note_survived(self, request: str) -> None:
        """Forgets the crashes of a request that a target ran unharmed."""
        if request not in self._crashes:
            return
        now_s = clocks.boot_s()
        with self._lock:
            self._crashes.pop(request, None)
            self._survived_s[request] = now_s
        logging.info("request survived by a target fingerprint=%s", request)

    def take_survived(self, requests: list[str]) -> None:
        """Forgets the crashes of requests that ran unharmed elsewhere."""
        with self._lock:
            for request in requests:
                self._crashes.pop(request, None)

    def told(self, interval_s: float = 0.0) -> list[Crash]:
        """Returns own crashes that others should hear of.

        Args:
            interval_s: Longest interval at which others hear of this instance.
        """
        oldest_s = clocks.boot_s() - max(_TELL_S, interval_s * 3)
        with self._lock:
            fresh = []
            for seen_s, crash in self._own:
                rows = self._crashes.get(crash.fingerprint, ())
                if seen_s > oldest_s and crash in rows:
                    fresh.append((len(rows), seen_s, crash))
        # Those that may be poison come first, then the newest.
        fresh.sort(key=lambda row: row[:2], reverse=True)
        return [crash for _, _, crash in fresh[:_MAX_TOLD]]

    def told_poison(self) -> list[PoisonRow]:
        """Returns the poison requests that others should refuse."""
        now_s = clocks.boot_s()
        rows = []
        with self._lock:
            for request, until_s in self._poison_until_s.items():
                if until_s > now_s:
                    rows.append(
                        PoisonRow(request, int((until_s - now_s) * 1000))
                    )
        rows.sort(key=lambda row: row.left_ms, reverse=True)
        return rows[:_MAX_TOLD]

    def told_survived(self, interval_s: float = 0.0) -> list[str]:
        """Returns requests that ran unharmed after crashes."""
        oldest_s = clocks.boot_s() - max(_TELL_S, interval_s * 3)
        with self._lock:
            for request, seen_s in list(self._survived_s.items()):
                if seen_s <= oldest_s:
                    del self._survived_s[request]
            return list(self._survived_s)[-_MAX_TOLD:]

    def _add(self, crash: Crash, now_s: float) -> bool:
        """Adds a crash; returns whether it makes its request poison."""
        rows = self._crashes.setdefault(crash.fingerprint, {})
        if crash in rows:
            return False
        rows[crash] = now_s
        self._order.append((now_s, crash))
        if len(rows) < _MAX_CRASHES:
            return False
        is_new = crash.fingerprint not in self._poison_until_s
        self._poison_until_s[crash.fingerprint] = now_s + POISON_S
        return is_new

    def _tell(self, request: str, now_s: float) -> None:
        left_s = self._poison_until_s[request] - now_s
        row = PoisonRow(request, int(left_s * 1000))
        logging.warning(
            "poison request fingerprint=%s crashes=%d",
            request,
            self.count(request),
        )
        for listener in self._listeners:
            listener(row)

    def _forget(self, now_s: float) -> None:
        oldest_s = now_s - _MEMORY_S
        while self._order:
            seen_s, crash = self._order[0]
            if seen_s >= oldest_s and len(self._order) <= _MAX_ROWS:
                break
            self._order.popleft()
            rows = self._crashes.get(crash.fingerprint, {})
            if rows.get(crash) == seen_s:
                del rows[crash]
            if not rows:
                self._crashes.pop(crash.fingerprint, None)
        while self._own and self._own[0][0] < oldest_s:
            self._own.popleft()
        for request, until_s in list(self._poison_until_s.items()):
            if until_s <= now_s:
                del self._poison_until_s[request]
