"""Which requests go first, and when refused callers may return."""
