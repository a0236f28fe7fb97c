"""Gateway that forwards requests of callers to targets transparently."""
