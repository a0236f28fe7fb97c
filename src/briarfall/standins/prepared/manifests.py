"""Parts of manifests in the form that the operator writes."""

# A model of eight layers. An engine of kind `small` can hold six of them, one
# of kind `large` all eight.
ENGINE = {
    "slots": 32,
    "kv_token_bytes": 8000,
    "step_ms": 1.0,
    "per_seq_ms": 0.01,
    "context_per_k": 0.01,
    "read_per_s": 100000.0,
    "loads_at_once": 5,
    "layers": 8,
    "layer_mb": 10.0,
    "act_bytes": 10,
    "pipe_mbps": 1000.0,
    "models": [{"name": "m", "load_s": 1.0}],
    "usual": {"prompt": 20, "answer": 20},
    "kinds": [
        {"name": "small", "mb": 62.0, "pace": 2.0, "read_x": 1.0},
        {"name": "large", "mb": 124.0, "pace": 1.0, "read_x": 1.0},
    ],
}
# The placement gives such an engine two layers, so a chain has four stages.
TINY_KIND = {"name": "tiny", "mb": 31.0, "pace": 2.0, "read_x": 1.0}
SERVICES = [
    {"name": "desk", "max_conns": 100},
    {"name": "pool", "max_conns": 100, "engine": ENGINE},
    {"name": "other", "max_conns": 100},
]
