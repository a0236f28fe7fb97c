"""Non-idempotent calls of services, executed at most once."""
