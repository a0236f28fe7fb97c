"""Division of client limits among instances.

Every instance may use its even share. An instance that needs more reports
its demand to the client's home instance and is granted a part of what the
others leave. Grants expire, so that an instance that is cut off falls back
to its even share.
"""

import threading

import msgspec

GRANT_TTL_S = 3.0
QUIET_SHARE = 0.5


class Amounts(msgspec.Struct, array_like=True):
    """Requests/s, tokens/s and concurrent requests."""

    requests: float = 0.0
    tokens: float = 0.0
    concurrency: float = 0.0

    def scale(self, factor: float) -> "Amounts":
        """Returns all amounts times a factor."""
        return Amounts(
            self.requests * factor,
            self.tokens * factor,
            self.concurrency * factor,
        )


class Demand(msgspec.Struct, array_like=True):
    """What one instance would use of one client's limits."""

    client: str
    wanted: Amounts


class DemandCall(msgspec.Struct, array_like=True):
    """Demands of one instance for clients with the same home."""

    instance: str
    demands: list[Demand]


class Grant(msgspec.Struct, array_like=True):
    """What one instance may use of one client's limits for `GRANT_TTL_S`."""

    client: str
    amounts: Amounts


class ShareHome:
    """Grants shares of the clients whose home this instance is.

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
                known = self._demands.setdefault(demand.client, {})
                known[call.instance] = (demand.wanted, now + GRANT_TTL_S)
                self._expire(known, now)
                grants.append(
                    Grant(
                        demand.client,
                        self._share(call.instance, known, limit),
                    )
                )
            self._expire_clients(now)
        return grants

    def _share(self, instance: str, known, limit: Amounts) -> Amounts:
        count = max(1, self._instances(), len(known))
        # Instances that report nothing may still use part of their even
        # share without asking.
        quiet = count - len(known)
        free = limit.scale(1 - QUIET_SHARE * quiet / count)
        result = Amounts()
        for field in ("requests", "tokens", "concurrency"):
            wants = {k: getattr(v[0], field) for k, v in known.items()}
            share = fair_shares(wants, getattr(free, field))[instance]
            setattr(result, field, share)
        return result

    def _expire(self, known, now: float) -> None:
        for instance in [k for k, v in known.items() if v[1] < now]:
            del known[instance]

    def _expire_clients(self, now: float) -> None:
        for client, known in list(self._demands.items()):
            self._expire(known, now)
            if not known:
                del self._demands[client]


def fair_shares(wants: dict[str, float], total: float) -> dict[str, float]:
    """Divides `total` max-min fairly, and what is left evenly."""
    shares = dict.fromkeys(wants, 0.0)
    left = total
    open_names = sorted(wants, key=lambda name: wants[name])
    while open_names:
        name = open_names.pop(0)
        even = left / (len(open_names) + 1)
        shares[name] = min(wants[name], even)
        left -= shares[name]
    extra = left / len(shares) if shares else 0.0
    return {name: share + extra for name, share in shares.items()}
