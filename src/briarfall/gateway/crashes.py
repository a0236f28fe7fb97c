"""Finds requests that crash the targets that run them."""

import collections
import threading

from absl import logging
import msgspec
import xxhash

from briarfall import ids
from briarfall.gateway import calls
from briarfall.gateway import clocks

# Targets that a request may have crashed before it is refused. An innocent
# request that shares a target with a harmful one is there once or twice.
_MAX_CRASHES = 3
_MEMORY_S = 60.0
# Crashes are told to other instances this long.
_TELL_S = 3.0
_MAX_TOLD = 40


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


def fingerprint(call: calls.Call) -> str:
    """Returns a hash that a request keeps when its caller sends it again."""
    account = call.account.name if call.account is not None else ""
    digest = xxhash.xxh64(account.encode())
    for part in (call.req.method, call.req.target, call.req.body):
        digest.update(b"\0" + part)
    return digest.hexdigest()


class CrashTable:
    """Crashes by request, here and at other instances."""

    def __init__(self):
        self._lock = threading.Lock()
        self._seen_s: dict[Crash, float] = {}
        self._own: dict[Crash, float] = {}
        self._origins: collections.Counter[str] = collections.Counter()

    def origins(self) -> dict[str, int]:
        """Returns the crashes so far by who saw them: `own` or `peer`."""
        with self._lock:
            return dict(self._origins)

    def count(self, request: str) -> int:
        """Returns the targets that a request is known to have crashed."""
        oldest_s = clocks.boot_s() - _MEMORY_S
        with self._lock:
            found = 0
            for crash, seen_s in self._seen_s.items():
                if crash.fingerprint == request and seen_s > oldest_s:
                    found += 1
            return found

    def note(self, crash: Crash) -> None:
        """Notes a crash that this instance saw."""
        now_s = clocks.boot_s()
        with self._lock:
            self._forget(now_s)
            self._seen_s[crash] = now_s
            self._own[crash] = now_s
            self._origins["own"] += 1
        logging.warning(
            "target crashed target=%s lifetime=%d fingerprint=%s crashes=%d",
            crash.target,
            crash.started_ms,
            crash.fingerprint,
            self.count(crash.fingerprint),
        )

    def take(self, rows: list[Crash]) -> None:
        """Takes in crashes that another instance saw."""
        now_s = clocks.boot_s()
        new = []
        with self._lock:
            for crash in rows:
                if crash not in self._seen_s:
                    self._seen_s[crash] = now_s
                    self._origins["peer"] += 1
                    new.append(crash)
        for crash in new:
            logging.info(
                "crash told by a peer target=%s fingerprint=%s crashes=%d",
                crash.target,
                crash.fingerprint,
                self.count(crash.fingerprint),
            )

    def told(self) -> list[Crash]:
        """Returns own crashes that others should hear of."""
        now_s = clocks.boot_s()
        with self._lock:
            rows = []
            for crash, seen_s in self._own.items():
                if now_s - seen_s < _TELL_S:
                    rows.append(crash)
            return rows[-_MAX_TOLD:]

    def is_poison(self, request: str) -> bool:
        """Whether a request has crashed too many targets."""
        return self.count(request) >= _MAX_CRASHES

    def _forget(self, now_s: float) -> None:
        for table in (self._seen_s, self._own):
            for crash, seen_s in list(table.items()):
                if now_s - seen_s > _MEMORY_S:
                    del table[crash]
