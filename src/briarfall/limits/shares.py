"""Division of client limits among instances.

Without a grant an instance may use an even share of a client's limits. An
instance that needs more reports its demand to the client's home instance (the
one that rendezvous hashing chooses for the client), which grants it a part of
what the others leave unused. Grants expire, so that an instance that is cut off
falls back to its even share.
"""

import threading

import msgspec

GRANT_TTL_S = 3.0
# An instance reports its demand only above this part of its even share. The
# home instance reserves this part for each instance that does not report.
UNREPORTED_SHARE = 0.5


class Amounts(msgspec.Struct, array_like=True):
    """Amounts of the three limits of a client.

    Attributes:
        requests: Requests per second.
        tokens: Tokens per second.
        concurrency: Concurrent requests.
    """

    requests: float = 0.0
    tokens: float = 0.0
    concurrency: float = 0.0

    def scale(self, factor: float) -> "Amounts":
        """Returns all amounts multiplied by a factor."""
        return Amounts(
            self.requests * factor,
            self.tokens * factor,
            self.concurrency * factor,
        )


class Demand(msgspec.Struct, array_like=True):
    """Amounts of one client's limits that an instance asks for."""

    client: str
    wanted: Amounts


class DemandCall(msgspec.Struct, array_like=True):
    """Demands of one instance for clients with the same home."""

    instance: str
    demands: list[Demand]


class Grant(msgspec.Struct, array_like=True):
    """Amounts of a client's limits granted to an instance.

    A grant expires after `GRANT_TTL_S`.
    """

    client: str
    amounts: Amounts


class ShareAllocator:
    """Grants shares of the limits of clients whose home is this instance.

    Args:
        limits: Returns a client's limits as amounts, or None.
        instances: Returns the number of known instances.
    """

    def __init__(self, limits, instances):
        self._limits = limits
        self._instances = instances
        self._lock = threading.Lock()
        self._demands: dict[str, dict[str, tuple[Amounts, float]]] = {}

    def grant(self, call: DemandCall, now: float) -> list[Grant]:
        """Returns the grants for an instance's demands."""
        grants = []
        with self._lock:
            for demand in call.demands:
                limit = self._limits(demand.client)
                if limit is None:
                    continue
                by_instance = self._demands.setdefault(demand.client, {})
                by_instance[call.instance] = (demand.wanted, now + GRANT_TTL_S)
                self._expire(by_instance, now)
                grants.append(
                    Grant(
                        demand.client,
                        self._share(call.instance, by_instance, limit),
                    )
                )
            self._expire_clients(now)
        return grants

    def _share(self, instance: str, by_instance, limit: Amounts) -> Amounts:
        count = max(1, self._instances(), len(by_instance))
        # Instances without reported demand may use UNREPORTED_SHARE of their
        # even share without a grant.
        unreported = count - len(by_instance)
        free = limit.scale(1 - UNREPORTED_SHARE * unreported / count)
        result = Amounts()
        for field in ("requests", "tokens", "concurrency"):
            wanted = {k: getattr(v[0], field) for k, v in by_instance.items()}
            share = fair_shares(wanted, getattr(free, field))[instance]
            setattr(result, field, share)
        return result

    def _expire(self, by_instance, now: float) -> None:
        for instance in [k for k, v in by_instance.items() if v[1] < now]:
            del by_instance[instance]

    def _expire_clients(self, now: float) -> None:
        for client, by_instance in list(self._demands.items()):
            self._expire(by_instance, now)
            if not by_instance:
                del self._demands[client]


def fair_shares(wanted: dict[str, float], total: float) -> dict[str, float]:
    """Divides `total` by max-min fairness, and the remainder evenly."""
    shares = dict.fromkeys(wanted, 0.0)
    left = total
    remaining_names = sorted(wanted, key=lambda name: wanted[name])
    while remaining_names:
        name = remaining_names.pop(0)
        even = left / (len(remaining_names) + 1)
        shares[name] = min(wanted[name], even)
        left -= shares[name]
    extra = left / len(shares) if shares else 0.0
    return {name: share + extra for name, share in shares.items()}
