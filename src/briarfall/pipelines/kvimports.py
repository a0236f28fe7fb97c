"""Imports of KV caches from the engines of a stream's previous route."""

from briarfall.adapters import engine as engines
from briarfall.catalogue import entries
from briarfall.pipelines import policies


def add_imports(
    model: entries.Model,
    route: list[engines.Hop],
    previous_route: list[engines.Hop],
    links,
    positions: int,
) -> list[engines.Hop]:
    """Returns the route with KV imports where they beat a prefill.

    A hop can import from the target that ran exactly its layers before.

    Args:
        model: The model's entry.
        route: The new route.
        previous_route: The route of the previous attempt.
        links: Returns the link cost between two zones.
        positions: Number of token positions in the KV cache.
    """
    by_id = {target.id: target for target in model.targets}
    previous_hops = {(hop.start, hop.end): hop for hop in previous_route}
    result = []
    for hop in route:
        previous = previous_hops.get((hop.start, hop.end))
        if previous is not None and previous.target != hop.target:
            source, target = by_id[previous.target], by_id[hop.target]
            link = links(source.zone, target.zone)
            if is_import_cheaper(source, target, link, positions):
                hop = engines.Hop(
                    hop.target, hop.url, hop.start, hop.end, previous.url
                )
        result.append(hop)
    return result


def is_import_cheaper(
    source: entries.EngineTarget,
    target: entries.EngineTarget,
    link: policies.LinkCost,
    positions: int,
) -> bool:
    """Returns whether a KV import is faster than a prefill of the positions."""
    if not source.kv_bytes_per_token or not target.kv_bytes_per_token:
        return False
    transfer_s = positions * source.kv_bytes_per_token / link.bytes_per_s
    prefill_s = positions / target.prefill_tokens_per_s
    return transfer_s + link.delay_s < prefill_s
