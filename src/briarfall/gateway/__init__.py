"""Transparent forwarding of callers' requests to targets."""
