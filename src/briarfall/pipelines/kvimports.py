"""Imports of KV caches from the targets that a stream leaves."""

from briarfall.adapters import engine as engines
from briarfall.catalogue import entries
from briarfall.pipelines import policies


def add_imports(
    model: entries.Model,
    route: list[engines.Hop],
    old_route: list[engines.Hop],
    links,
    positions: int,
) -> list[engines.Hop]:
    """Returns a route that imports where that beats a prefill.

    Args:
        model: The model's entry.
        route: The new route.
        old_route: The route that the stream leaves.
        links: Returns the link cost between two zones.
        positions: Positions in the KV cache.
    """
    by_id = {target.id: target for target in model.targets}
    old = {(hop.start, hop.end): hop for hop in old_route}
    result = []
    for hop in route:
        before = old.get((hop.start, hop.end))
        if before is not None and before.target != hop.target:
            source, target = by_id[before.target], by_id[hop.target]
            link = links(source.zone, target.zone)
            if is_import_cheaper(source, target, link, positions):
                hop = engines.Hop(
                    hop.target, hop.url, hop.start, hop.end, before.url
                )
        result.append(hop)
    return result


def is_import_cheaper(
    source: entries.EngineTarget,
    target: entries.EngineTarget,
    link: policies.LinkCost,
    positions: int,
) -> bool:
    """Returns whether a KV import beats running the positions again."""
    if not source.kv_bytes_per_token or not target.kv_bytes_per_token:
        return False
    transfer_s = positions * source.kv_bytes_per_token / link.bytes_per_s
    prefill_s = positions / target.prefill_tokens_per_s
    return transfer_s + link.delay_s < prefill_s
