"""Enforces the limits of clients on one instance."""

import threading

from absl import logging

from briarfall import clock as clocks
from briarfall import exceptions
from briarfall import ids
from briarfall.catalogue import entries
from briarfall.limits import buckets
from briarfall.limits import shares
from briarfall.membership import rendezvous

_REPORT_INTERVAL_S = 1.0
# Weight of the latest interval when the reported demand decreases. An increase
# counts in full at once.
_DEMAND_DECAY = 0.5
_CALL_TIMEOUT_S = 1.0
_IDLE_TIMEOUT_S = 60.0
# Factor by which the reported demand exceeds the measured use.
_DEMAND_HEADROOM = 1.25


class _Usage:
    """Usage of one client's limits on this instance."""

    def __init__(self, share: shares.Amounts, now: float):
        self.requests = buckets.TokenBucket(share.requests, now)
        self.tokens = buckets.TokenBucket(share.tokens, now)
        self.concurrency = share.concurrency
        self.in_flight = 0
        self.grant: shares.Amounts | None = None
        self.grant_until_s = 0.0
        self.last_used_s = now
        self.requests_since_report = 0
        self.tokens_since_report = 0
        self.peak_in_flight = 0
        self.wanted = shares.Amounts()


class ClientLimiter:
    """Admits requests within this instance's share of client limits.

    Args:
        instance: Name of this instance.
        limits: Returns the limits of a client, or None.
        live: Returns the live instances.
        known: Returns the number of known instances. Dead ones are included,
            so that neither side of a network partition raises its even share
            and both together stay within the limits.
        directory: Calls the home instances of clients.
        clock: Source of monotonic time.
    """

    def __init__(self, instance, limits, live, known, directory, clock=None):
        self._instance = instance
        self._limits = limits
        self._live = live
        self._known = known
        self._directory = directory
        self._clock = clock or clocks.Clock()
        self._lock = threading.Lock()
        self._usage: dict[str, _Usage] = {}
        self._stopping = threading.Event()
        self.allocator = shares.ShareAllocator(self._limit_amounts, known)

    def start(self) -> None:
        """Starts the thread that reports demand."""
        threading.Thread(target=self._run, name="shares", daemon=True).start()

    def stop(self) -> None:
        """Stops the thread that reports demand."""
        self._stopping.set()

    def enter(self, client: ids.ClientId) -> None:
        """Admits one request; the caller must call `leave` when it ends.

        Raises:
            LimitError: One of the client's limits is reached.
        """
        now = self._clock.now()
        with self._lock:
            usage = self._usage_of(client, now)
            usage.requests_since_report += 1
            usage.peak_in_flight = max(
                usage.peak_in_flight, usage.in_flight + 1
            )
            self._apply_share(client, usage, now)
            if usage.in_flight + 1 > max(1.0, usage.concurrency):
                raise exceptions.LimitError(
                    f"client {client} has too many requests in flight"
                )
            if not usage.tokens.is_positive(now):
                raise exceptions.LimitError(
                    f"client {client} is above its tokens per second",
                    retry_after_s=usage.tokens.wait_s(1.0, now),
                )
            if not usage.requests.take(1.0, now):
                raise exceptions.LimitError(
                    f"client {client} is above its requests per second",
                    retry_after_s=usage.requests.wait_s(1.0, now),
                )
            usage.in_flight += 1

    def leave(self, client: ids.ClientId, tokens: int) -> None:
        """Records the end of a request and the tokens that it used."""
        now = self._clock.now()
        with self._lock:
            usage = self._usage_of(client, now)
            usage.in_flight -= 1
            usage.tokens_since_report += tokens
            usage.tokens.charge(tokens, now)

    def handle_demand(self, call: shares.DemandCall) -> list[shares.Grant]:
        """Handles the demand that an instance reports; returns its grants."""
        return self.allocator.grant(call, self._clock.now())

    def report(self) -> None:
        """Reports demand to the home instances and applies their grants.

        The home instance of a client is chosen by rendezvous hashing.
        """
        by_home: dict[str, list[shares.Demand]] = {}
        now = self._clock.now()
        live = self._live()
        with self._lock:
            for client, usage in list(self._usage.items()):
                self._update_demand(usage)
                if (
                    not usage.in_flight
                    and now - usage.last_used_s > _IDLE_TIMEOUT_S
                ):
                    del self._usage[client]
                    continue
                if not self._needs_grant(client, usage):
                    continue
                home = rendezvous.choose(client, live)
                demand = shares.Demand(client, usage.wanted)
                by_home.setdefault(home, []).append(demand)
        for home, demands in by_home.items():
            call = shares.DemandCall(self._instance, demands)
            self._apply_grants(self._send_demand(home, call))

    def _run(self) -> None:
        while not self._stopping.wait(_REPORT_INTERVAL_S):
            try:
                self.report()
            except Exception:
                logging.exception(
                    "client shares not updated, retrying at the next interval"
                )

    def _send_demand(
        self, home: str, call: shares.DemandCall
    ) -> list[shares.Grant]:
        if home == self._instance:
            return self.handle_demand(call)
        try:
            return self._directory.call(
                home, "limits.demand", call, list[shares.Grant], _CALL_TIMEOUT_S
            )
        except exceptions.BriarfallError:
            return []

    def _apply_grants(self, grants: list[shares.Grant]) -> None:
        now = self._clock.now()
        with self._lock:
            for grant in grants:
                usage = self._usage.get(grant.client)
                if usage is None:
                    continue
                usage.grant = grant.amounts
                usage.grant_until_s = now + shares.GRANT_TTL_S
                self._apply_share(grant.client, usage, now)

    def _update_demand(self, usage: _Usage) -> None:
        """Updates the demand from the usage since the last report."""
        seen = shares.Amounts(
            usage.requests_since_report * _DEMAND_HEADROOM / _REPORT_INTERVAL_S,
            usage.tokens_since_report * _DEMAND_HEADROOM / _REPORT_INTERVAL_S,
            usage.peak_in_flight * _DEMAND_HEADROOM,
        )
        for field in ("requests", "tokens", "concurrency"):
            old, new = getattr(usage.wanted, field), getattr(seen, field)
            value = max(new, old + (new - old) * _DEMAND_DECAY)
            setattr(usage.wanted, field, value)
        usage.requests_since_report = 0
        usage.tokens_since_report = 0
        usage.peak_in_flight = usage.in_flight

    def _needs_grant(self, client: str, usage: _Usage) -> bool:
        even = self._even_share(client)
        limit = even.scale(shares.UNREPORTED_SHARE)
        wanted = usage.wanted
        return (
            wanted.requests > limit.requests
            or wanted.tokens > limit.tokens
            or wanted.concurrency > limit.concurrency
        )

    def _usage_of(self, client: str, now: float) -> _Usage:
        usage = self._usage.get(client)
        if usage is None:
            usage = _Usage(self._even_share(client), now)
            self._usage[client] = usage
        usage.last_used_s = now
        return usage

    def _apply_share(self, client: str, usage: _Usage, now: float) -> None:
        share = self._even_share(client)
        if usage.grant is not None and now < usage.grant_until_s:
            share = usage.grant
        if usage.requests.rate != share.requests:
            usage.requests.set_rate(share.requests, now)
        if usage.tokens.rate != share.tokens:
            usage.tokens.set_rate(share.tokens, now)
        usage.concurrency = share.concurrency

    def _even_share(self, client: str) -> shares.Amounts:
        limit = self._limit_amounts(client)
        if limit is None:
            return shares.Amounts()
        return limit.scale(1 / max(1, self._known()))

    def _limit_amounts(self, client: str) -> shares.Amounts | None:
        limits: entries.ClientLimits | None = self._limits(client)
        if limits is None:
            return None
        return shares.Amounts(
            limits.requests_per_s, limits.tokens_per_s, limits.concurrency
        )
