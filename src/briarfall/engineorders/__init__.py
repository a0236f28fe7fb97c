"""Orders to engines, given under leases and reconciled."""
