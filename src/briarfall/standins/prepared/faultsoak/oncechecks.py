"""Checks of a soak test whose orders may run at most once."""

import collections
import collections.abc

from briarfall.standins.prepared.faultsoak import hostileservice
from briarfall.standins.prepared.faultsoak import oncecallers

_Judge = collections.abc.Callable[[oncecallers.OnceOutcome], bool]


def runs_of(
    services: list[hostileservice.HostileService],
) -> collections.Counter[str]:
    """Returns how often each attempt ran."""
    runs = collections.Counter()
    for service in services:
        runs.update(service.ran_ids())
    return runs


def check(
    outcomes: list[oncecallers.OnceOutcome],
    services: list[hostileservice.HostileService],
    is_judged: _Judge,
) -> list[str]:
    """Returns a line for each violated guarantee.

    Args:
        outcomes: The attempts of all orders.
        services: The services that may have run them.
        is_judged: Whether an attempt may run at most once.
    """
    runs = runs_of(services)
    broken = []
    for row in outcomes:
        if is_judged(row):
            broken += _check_attempt(row, runs[row.id])
        if row.status == 200 and row.body != b"ran:" + row.id.encode():
            broken.append(f"{row.id}: body {row.body[:40]!r}")
    broken += _check_orders(outcomes, runs, is_judged)
    broken += _check_bodies(outcomes, services)
    return broken


def _check_attempt(row: oncecallers.OnceOutcome, count: int) -> list[str]:
    broken = []
    if count > 1:
        broken.append(f"{row.id}: ran {count} times")
    if count and row.status in oncecallers.PROMISES:
        broken.append(f"{row.id}: status {row.status} although it ran")
    if count and row.was_reset:
        broken.append(f"{row.id}: reset unread although it ran")
    return broken


def _check_orders(
    outcomes: list[oncecallers.OnceOutcome],
    runs: collections.Counter[str],
    is_judged: _Judge,
) -> list[str]:
    """Finds orders of which two attempts ran."""
    attempts = collections.defaultdict(list)
    for row in outcomes:
        attempts[row.order].append(row)
    broken = []
    for order, rows in attempts.items():
        ran = [row.id for row in rows if runs[row.id]]
        if len(ran) > 1 and all(is_judged(row) for row in rows):
            broken.append(f"order {order}: ran as {', '.join(ran)}")
    return broken


def _check_bodies(
    outcomes: list[oncecallers.OnceOutcome],
    services: list[hostileservice.HostileService],
) -> list[str]:
    """Finds runs that no caller asked for, or of another order."""
    orders = {row.id: row.order for row in outcomes}
    broken = []
    for service in services:
        for row in list(service.ran):
            order = orders.get(row.request_id)
            if order is None:
                broken.append(f"{row.request_id}: ran, but was never sent")
            elif row.body != order.encode():
                broken.append(f"{row.request_id}: ran with {row.body[:40]!r}")
    return broken
