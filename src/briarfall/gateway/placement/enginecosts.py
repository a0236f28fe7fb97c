"""KV capacity and times of an engine, by its kind and its layers."""

from briarfall.gateway.catalogue import sources
from briarfall.gateway.catalogue import views
from briarfall.gateway.targets import loads


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
