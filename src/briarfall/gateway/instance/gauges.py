"""Gauges of a gateway instance."""

import collections.abc
import typing

if typing.TYPE_CHECKING:
    from briarfall.gateway.instance import instance

# Help text and read function.
Gauge = tuple[str, collections.abc.Callable[[], float]]


def register(
    inst: "instance.Instance",
    platform: "instance.Platform",
    own_gauges: dict[str, Gauge],
) -> None:
    """Adds gauges of an instance, and its counts, to its metrics."""
    for name, (text, read) in own_gauges.items():
        inst.metrics.add_gauge(f"briarfall_{name}", text, read)
    inst.metrics.add_counts(
        "briarfall_store_calls",
        "Calls to the platform's store.",
        "call",
        platform.store_calls.snapshot,
    )
    inst.metrics.add_counts(
        "briarfall_ignored_records",
        "Records of the store that can't be used.",
        "record",
        platform.ignored_records.snapshot,
    )
    inst.metrics.add_counts(
        "briarfall_target_crashes",
        "Targets that ended during a request, by the origin of the report.",
        "origin",
        inst.crashes.origins,
    )


def of_instance(inst: "instance.Instance") -> dict[str, Gauge]:
    """Returns the gauges of an instance, by name."""
    return {
        "catalogue_age_seconds": (
            "Age of the read that confirmed the catalogue.",
            lambda: inst.follower.age_s,
        ),
        "catalogue_version": (
            "Version of the catalogue in force.",
            lambda: inst.follower.view.version if inst.follower.view else -1,
        ),
        "targets_age_seconds": (
            "Age of the list of targets.",
            inst.targets.age_s,
        ),
        "instances": (
            "Live instances, this one included.",
            lambda: inst.peers.instance_count,
        ),
        "lease_held": (
            "Whether this instance holds the placement lease.",
            lambda: float(inst.lease.is_held),
        ),
        "poison_requests": (
            "Requests and parts of prompts that are refused because they "
            "crash targets.",
            lambda: inst.crashes.poison_count,
        ),
        "held_parts": (
            "Parts of prompts that are suspected of crashing targets.",
            lambda: inst.crashes.held_count,
        ),
        "limited_targets": (
            "Targets that name a rate limit.",
            lambda: len(inst.rate_limits.limited()),
        ),
        "requests_held_back": (
            "Attempts held back since a limited target had no permit free.",
            lambda: inst.permits.held_back,
        ),
        "link_demand_mbps": (
            "Demand of this instance's requests on the inter-zone link.",
            lambda: inst.link.demand_mbps,
        ),
        "link_refusals": (
            "Requests refused because the inter-zone link is full.",
            lambda: inst.link.refusals,
        ),
        "ignored_datagrams": (
            "Datagrams of other instances that could not be decoded.",
            lambda: inst.gossip.ignored,
        ),
        "unreachable_targets": (
            "Targets that this instance does not reach.",
            inst.links.count_unreachable,
        ),
        "cut_services": (
            "Services of which this instance reaches no target.",
            lambda: len(inst.links.cut_services),
        ),
        "relayed_requests": (
            "Requests relayed to peers.",
            lambda: inst.relay.sent,
        ),
        "open_relay_connections": (
            "Open connections on which peers relay requests.",
            lambda: inst.open_relay_connections,
        ),
        "body_bytes": (
            "Bytes that the bodies of all requests hold.",
            lambda: inst.bodies.held,
        ),
        "body_refusals": (
            "Unfinished requests refused for lack of memory or connections.",
            lambda: inst.bodies.refusals,
        ),
        "refused_connections": (
            "Connections refused because as many as allowed are open.",
            lambda: inst.refused_connections,
        ),
        "open_connections": (
            "Open connections of callers.",
            lambda: inst.open_connections,
        ),
    }
