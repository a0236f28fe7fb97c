"""KV capacity and times of an engine, by its kind and its layers."""

from briarfall.gateway.catalogue import sources
from briarfall.gateway.catalogue import views
from briarfall.gateway.targets import loads

# Share of the longest time between two events that a decoding step may take.
# The rest is for hand-overs, and for requests that other instances have sent
# since their last status.
_PACE_SHARE = 0.8


def kv_capacity(
    model: views.ModelLayout, kind: str, layers: sources.LayerRange
) -> float:
    """Returns the tokens that fit in an engine's KV cache.

    Args:
        model: The model's layout.
        kind: Kind of accelerator.
        layers: Layers whose weights the engine holds.
    """
    hardware = model.kinds.get(kind)
    if hardware is None or not layers.size:
        return 0.0
    free_mb = hardware.memory_mb - layers.size * model.layer_mb
    token_mb = model.kv_bytes / model.layers * layers.size / 1e6
    return max(0.0, free_mb / token_mb)


def step_time_ms(
    model: views.ModelLayout, kind: str, layers: int, load: loads.Load
) -> float:
    """Returns the time of one decoding step over some layers under a load."""
    hardware = model.kinds[kind]
    base_ms = (
        model.step_ms
        + model.sequence_ms * load.streams
        + model.context_ms * load.tokens / 1000
    )
    return base_ms * hardware.step_factor * layers / model.layers


def prefill_time_ms(
    model: views.ModelLayout, kind: str, layers: int, tokens: float
) -> float:
    """Returns the time to prefill prompt tokens through some layers."""
    hardware = model.kinds[kind]
    share = layers / model.layers
    return (
        tokens
        * 1000
        / model.prefill_tokens_per_s
        * hardware.prefill_factor
        * share
    )


def shortest_prefill_s(model: views.ModelLayout, tokens: float) -> float:
    """Returns the time to prefill prompt tokens on idle engines, at least."""
    if not model.kinds:
        return 0.0
    factor = min(row.prefill_factor for row in model.kinds.values())
    return tokens / model.prefill_tokens_per_s * factor


def is_overloaded(
    model: views.ModelLayout,
    kind: str,
    load: loads.Load,
    tokens: int,
    gap_s: float,
) -> bool:
    """Whether an engine's load keeps one more request from its pace.

    A step over a chain of engines like it then takes more than a stated share
    of the longest time between two events, though it would not at an idle one.

    Args:
        model: The model's layout.
        kind: Kind of accelerator.
        load: The engine's load without the request.
        tokens: Tokens of the request.
        gap_s: Longest time between two events that is on time.
    """
    max_ms = gap_s * 1000 * _PACE_SHARE
    alone = loads.Load(1, tokens)
    if step_time_ms(model, kind, model.layers, alone) > max_ms:
        return False
    more = loads.Load(load.streams + 1, load.tokens + tokens)
    return step_time_ms(model, kind, model.layers, more) > max_ms
