"""The catalogue of a soak test and its changes."""

import random
import threading
import time

import msgspec

from briarfall.standins.prepared import manifests
from briarfall.standins.prepared import store
from briarfall.standins.prepared.faultsoak import callers

_STREAM_TIMEOUT_MS = 10_000
_CALL_TIMEOUT_MS = 2_000
_GAP_SLO_MS = 200


class Route(msgspec.Struct):
    """A route of the catalogue.

    Attributes:
        kind: Whether its requests may be repeated, as the operator writes it.
        service: Name of its service.
        timeout_ms: Longest time of a request.
        is_resumable: Whether a stream may go on at another target.
    """

    kind: str
    service: str
    timeout_ms: int
    is_resumable: bool = False


class Published(msgspec.Struct, frozen=True):
    """A version of the catalogue.

    Attributes:
        time_s: When it was written, in seconds of the monotonic clock.
        services: Service of each route.
        timeouts_s: Timeout of each route, in seconds.
        kinds: Kind of each route.
    """

    time_s: float
    services: dict[str, str]
    timeouts_s: dict[str, float]
    kinds: dict[str, str]


class Catalogue:
    """Writes versions of the catalogue to the store.

    Args:
        platform: The store.
        rng: Draws the steps between version numbers.
        has_notes: Whether there is a route of streams that run at most once.

    Attributes:
        routes: The routes by name, which is also their first path segment.
        attempts: Targets to which one request may be sent.
        idle_timeout_ms: Time for which connections may be idle, or 0 for the
            default of the instances.
        published: The versions that were written.
        revoked: Revoked keys and the time of each revocation.
    """

    def __init__(
        self, platform: store.StoreStandin, rng: random.Random, has_notes: bool
    ):
        self._store = platform
        self._rng = rng
        self._version = 0
        self._key_number = 0
        self._lock = threading.Lock()
        self.attempts = 2
        self.idle_timeout_ms = 0
        self.published: list[Published] = []
        self.revoked: list[tuple[str, float]] = []
        self.routes = {
            "orders": Route("mutating", "desk", _CALL_TIMEOUT_MS),
            "views": Route("idempotent", "desk", _CALL_TIMEOUT_MS),
            "drafts": Route("streaming", "pool", _STREAM_TIMEOUT_MS, True),
        }
        if has_notes:
            self.routes["notes"] = Route(
                "streaming", "pool", _STREAM_TIMEOUT_MS
            )
        self._publish()

    @property
    def key(self) -> str:
        """The current key."""
        return f"key-{self._key_number}"

    def pick_key(self, rng: random.Random) -> str:
        """Returns the stable key or the current one."""
        with self._lock:
            return rng.choice(["stable", self.key])

    def revoke_key(self) -> None:
        """Replaces the current key by a new one."""
        with self._lock:
            old = self.key
            self._key_number += 1
            self._publish()
            self.revoked.append((old, time.monotonic()))

    def move(self, name: str, service: str) -> None:
        """Moves a route to a service."""
        with self._lock:
            self.routes[name].service = service
            self._publish()

    def set_timeout(self, name: str, timeout_ms: int) -> None:
        """Changes the timeout of a route."""
        with self._lock:
            self.routes[name].timeout_ms = timeout_ms
            self._publish()

    def set_kind(self, name: str, kind: str) -> None:
        """Changes whether the requests of a route may be repeated."""
        with self._lock:
            self.routes[name].kind = kind
            self._publish()

    def set_limits(self, attempts: int, idle_timeout_ms: int) -> None:
        """Changes the targets of a request and the time of idle connections."""
        with self._lock:
            self.attempts = attempts
            self.idle_timeout_ms = idle_timeout_ms
            self._publish()

    def may_repeat(self, name: str, start_s: float, end_s: float) -> bool:
        """Whether some version in a period lets a route's requests repeat."""
        for row in self.within(start_s, end_s):
            if row.kinds[name] != "mutating":
                return True
        return False

    def timeout_s(self, name: str, start_s: float, end_s: float) -> float:
        """Returns the shortest timeout that a route had in a period."""
        found_s = [row.timeouts_s[name] for row in self.within(start_s, end_s)]
        return min(found_s)

    def within(self, start_s: float, end_s: float) -> list[Published]:
        """Returns the versions that were the newest at some time."""
        found = []
        for number, row in enumerate(self.published):
            if row.time_s > end_s:
                break
            is_last = number + 1 == len(self.published)
            if is_last or self.published[number + 1].time_s >= start_s:
                found.append(row)
        return found

    def _publish(self) -> None:
        """Writes a catalogue that accepts the current and the stable key."""
        self._version += self._rng.randint(1, 3)
        rows = []
        for name, route in self.routes.items():
            rows.append(
                {
                    "name": name,
                    "host": callers.HOST,
                    "path_prefix": f"/{name}/",
                    "kind": route.kind,
                    "timeout_ms": route.timeout_ms,
                    "slo_ms": 500,
                    "service": route.service,
                    "attempts": self.attempts,
                    "resumable": route.is_resumable,
                    "gap_aim_ms": _GAP_SLO_MS,
                }
            )
        manifest = {
            "version": self._version,
            "services": manifests.SERVICES,
            "routes": rows,
            "tenants": [{"name": "crew", "api_keys": ["stable", self.key]}],
        }
        if self.idle_timeout_ms:
            manifest["limits"] = {"idle_timeout_ms": self.idle_timeout_ms}
        self.published.append(
            Published(
                time.monotonic(),
                {name: row.service for name, row in self.routes.items()},
                {
                    name: row.timeout_ms / 1000
                    for name, row in self.routes.items()
                },
                {name: row.kind for name, row in self.routes.items()},
            )
        )
        self._store.put("keyed.op", "config", manifest)
