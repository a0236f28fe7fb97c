"""Non-idempotent calls, executed at most once."""
